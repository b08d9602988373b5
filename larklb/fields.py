"""Texts that both fronts read in the same way: the customer, its set of limiters and the units."""

from __future__ import annotations

import re

from larklb import interface as io

ACCOUNT_BOUND = 1 << 33
# What Python's float() and int() take beside plain numbers (nan, 1e12, +1, 1_0, other scripts' digits) is no
# number here: it would reach the quota's arithmetic.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
_WHOLE = re.compile(r"[0-9]{1,9}", re.ASCII)
_ACCOUNT = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)


class MalformedError(Exception):
    """What came is no job; the text says why."""


def parse_decimal(text: str) -> float:
    """A plain number from 0 on."""
    if _DECIMAL.fullmatch(text) is None:
        raise MalformedError("a number makes no sense")
    return float(text)


def parse_quota_info(text: str, settings: io.Settings) -> tuple[float, int, int]:
    """Units, spread and first of ``units=2,spread=3,first=1``, in any order; units default to 1."""
    pairs = [part.strip().partition("=")[::2] for part in text.split(",")]
    fields = {"units": "1", **dict(pairs)}
    whole = all(_WHOLE.fullmatch(fields.get(name, "")) for name in ("spread", "first"))
    if len(dict(pairs)) < len(pairs) or not whole:
        raise MalformedError("the quota information makes no sense")
    units, spread, first = parse_decimal(fields["units"]), int(fields["spread"]), int(fields["first"])
    if not (0 < units <= settings.most_units and 1 <= spread <= settings.gateways
            and first < settings.gateways):
        raise MalformedError("the quota information is out of range")
    return units, spread, first


def parse_account(text: str) -> str:
    """The customer: a number below 2^33 as 16 hex digits; both cases name the same one."""
    if _ACCOUNT.fullmatch(text) is None or int(text, 16) >= ACCOUNT_BOUND:
        raise MalformedError("the account is no customer's")
    return text.lower()
