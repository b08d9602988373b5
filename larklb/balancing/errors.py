"""Exceptions of the balancing package; errors raised by lower layers are wrapped in one of these."""

from __future__ import annotations


class BalancingError(Exception):
    """Base class of all exceptions of this package."""


class UnreadableError(BalancingError):
    """A message of another limiter is malformed or holds impossible values."""
