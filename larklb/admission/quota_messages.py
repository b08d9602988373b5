"""Strict readers of the values in messages about quotas. All raise UnreadableError with the value's key."""

from __future__ import annotations

from typing import Any

from larklb.admission.errors import InvalidMessageError

MAX_NUMBER = 1e12  # no figure of a sane word is above it


def read_number(message: dict[str, Any], key: str, least: float = 0.0) -> float:
    """A finite number of ``least`` or more."""
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= MAX_NUMBER:
        raise InvalidMessageError(key)
    return float(value)


def read_integer(message: dict[str, Any], key: str, least: int = 0) -> int:
    """A whole number of ``least`` or more, of 63 bits."""
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < 1 << 63:
        raise InvalidMessageError(key)
    return value


def read_text(message: dict[str, Any], key: str) -> str:
    """A string that is neither empty nor longer than 512 characters."""
    value = message.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= 512:
        raise InvalidMessageError(key)
    return value
