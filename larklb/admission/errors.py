"""What can go wrong in this package; errors from below leave it as one of these."""

from __future__ import annotations


class AdmissionError(Exception):
    """The base of all errors of the package."""


class InvalidMessageError(AdmissionError):
    """A word of another limiter that makes no sense."""
