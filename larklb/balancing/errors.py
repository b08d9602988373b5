"""What can go wrong in this package; errors from below leave it as one of these."""

from __future__ import annotations


class BalancingError(Exception):
    """The base of all errors of the package."""


class UnreadableError(BalancingError):
    """Words of another limiter that make no sense."""
