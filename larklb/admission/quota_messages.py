"""Strict readers for the values of quota messages, which are JSON objects with these keys:

    k      kind: "ask" and its reply "verdict", "back" (release of a slice) and "backed", "hello" and "hi"
    n      number of the ask; in "hi" the ring number of the sender
    t      tenant
    r, b   rate in requests per second and burst in requests
    v      version of the configuration that rate and burst are from
    life   incarnation of the asker's process
    spent  requests that the asker's slice has admitted; a verdict repeats the number
    heard  the part of them that an owner has acknowledged
    left   tokens of the owner's bucket, in an ask as the asker estimates them
    age    time in ms since the ask that brought the asker's bucket copy
    of     ring number of the limiter that the bucket copy came from
    ok     whether the request is allowed
    wait   time in ms after which a refused request may be sent again
    ring   digest of the ring

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
