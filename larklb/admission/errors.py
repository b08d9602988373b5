"""Exceptions of the admission package.  Errors of lower layers are raised again as one of these."""

from __future__ import annotations


class AdmissionError(Exception):
    """Base class of all exceptions of the package."""


class InvalidMessageError(AdmissionError):
    """A quota message of another limiter is malformed or has a value out of range."""
