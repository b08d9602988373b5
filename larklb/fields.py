"""Texts that both fronts read in the same way: the customer, its set of limiters and the units."""

from __future__ import annotations

import math


class MalformedError(Exception):
    """What came is no job; the text says why."""


def quota_info(text: str) -> tuple[float, int, int]:
    """Units, spread and first of ``units=2,spread=3,first=1``, in any order; units default to 1."""
    fields = dict(part.strip().partition("=")[::2] for part in text.split(","))
    try:
        units, spread, first = float(fields.get("units", "1")), int(fields["spread"]), int(fields["first"])
    except (KeyError, ValueError) as error:
        raise MalformedError("the quota information makes no sense") from error
    if not (math.isfinite(units) and units > 0 and spread >= 1 and first >= 0):
        raise MalformedError("the quota information makes no sense")
    return units, spread, first


def account(text: str) -> str:
    """The customer: 16 hex digits; both cases name the same one."""
    if len(text) != 16 or not all(c in "0123456789abcdefABCDEF" for c in text):
        raise MalformedError("the account is no 16 hex digits")
    return text.lower()
