"""Strict readers for the values of quota messages.

Each reader raises InvalidMessageError with the name of the key if the value is missing, has the wrong type or
is out of range.
"""

from __future__ import annotations

from typing import Any

from larklb.admission.errors import InvalidMessageError

# Numbers above this bound can't come from a correct limiter.
MAX_NUMBER = 1e12


def read_number(message: dict[str, Any], key: str, minimum: float = 0.0) -> float:
    """Return the finite number at ``key``, which must be between ``minimum`` and MAX_NUMBER."""
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= MAX_NUMBER:
        raise InvalidMessageError(key)
    return float(value)


def read_integer(message: dict[str, Any], key: str, minimum: int = 0) -> int:
    """Return the integer at ``key``, which must be at least ``minimum`` and fit into 63 bits."""
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value < 1 << 63:
        raise InvalidMessageError(key)
    return value


def read_text(message: dict[str, Any], key: str) -> str:
    """Return the string at ``key``, which must have 1 to 512 characters."""
    value = message.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= 512:
        raise InvalidMessageError(key)
    return value
