"""Strict readers for the values of quota messages, which are JSON objects with these keys:

    k      kind: "ask" and its reply "verdict", "back" (release of a slice) and "backed", "hello" (request of
           leases) and "hi", "free" (release of leases)
    n      number of the ask; in "hi" the ring number of the sender
    t      tenant; in "hello" and "free" a list of tenants, in "hi" of pairs of a tenant and a time as in
           "held"
    r, b   rate in requests per second and burst in requests
    v      version of the configuration that rate and burst are from
    life   incarnation of the process that asks or requests leases, repeated in "hi"
    spent  requests that the asker's slice has admitted; a verdict repeats the number
    heard  the part of them that an owner has acknowledged
    left   tokens of the owner's bucket, in an ask as the asker estimates them
    age    time in ms since the ask that brought the asker's bucket copy
    held   time in ms for which another owner still holds the asker's share; a negative number tells how long
           ago the last lease to another owner ended, and it is missing if there was none lately
    at     time of the request on the clock of the limiter that requests leases, repeated in "hi"
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
MAX_TEXT_LENGTH = 512
# Tenants in one message on leases.
MAX_LEASE_TENANTS = 16


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
    """Return the string at ``key``, which must have 1 to MAX_TEXT_LENGTH characters."""
    return _check_text(message.get(key), key)


def read_tenants(message: dict[str, Any]) -> list[str]:
    """Return the list of at most MAX_LEASE_TENANTS tenants at "t"."""
    tenants = message.get("t")
    if not isinstance(tenants, list) or len(tenants) > MAX_LEASE_TENANTS:
        raise InvalidMessageError("t")
    return [_check_text(tenant, "t") for tenant in tenants]


def read_leases(message: dict[str, Any]) -> list[tuple[str, float]]:
    """Return the pairs of a tenant and a number at "t", MAX_LEASE_TENANTS at most."""
    pairs = message.get("t")
    if not isinstance(pairs, list) or len(pairs) > MAX_LEASE_TENANTS:
        raise InvalidMessageError("t")
    if not all(isinstance(pair, list) and len(pair) == 2 for pair in pairs):
        raise InvalidMessageError("t")
    return [(_check_text(tenant, "t"), read_number({"t": held}, "t", -MAX_NUMBER)) for tenant, held in pairs]


def _check_text(value: object, key: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise InvalidMessageError(key)
    return value
