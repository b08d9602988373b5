"""Parsers of request fields that the HTTP and the gRPC front end share."""

from __future__ import annotations

import re

from larklb import interface as io

# Accounts are numbers below this bound.
ACCOUNT_BOUND = 1 << 33
# Python's float() and int() accept more than plain numbers (nan, 1e12, +1, 1_0, digits of other scripts).
# Such texts are rejected here, as they would reach the quota's arithmetic.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
_WHOLE_NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
_ACCOUNT = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)


class MalformedError(Exception):
    """A request is malformed; the message states why."""


def parse_decimal(text: str) -> float:
    """Returns a plain number of at least 0.  Raises MalformedError for any other text."""
    if _DECIMAL.fullmatch(text) is None:
        raise MalformedError("a number is malformed")
    return float(text)


def parse_quota_info(text: str, settings: io.Settings) -> tuple[float, int, int]:
    """Returns the units, spread and first of a text such as ``units=2,spread=3,first=1``.

    The pairs may come in any order, and units default to 1.  Raises MalformedError if a pair is repeated,
    missing or malformed, or if a value is out of range.
    """
    pairs = [part.strip().partition("=")[::2] for part in text.split(",")]
    fields = {"units": "1", **dict(pairs)}
    whole_numbers = all(_WHOLE_NUMBER.fullmatch(fields.get(name, "")) for name in ("spread", "first"))
    if len(dict(pairs)) < len(pairs) or not whole_numbers:
        raise MalformedError("the quota information is malformed")
    units, spread, first = parse_decimal(fields["units"]), int(fields["spread"]), int(fields["first"])
    if not (0 < units <= settings.most_units and 1 <= spread <= settings.gateways
            and first < settings.gateways):
        raise MalformedError("the quota information is out of range")
    return units, spread, first


def parse_account(text: str) -> str:
    """Returns the customer's account in lower case.

    An account is a number below 2^33, written as 16 hex digits; both cases denote the same one.
    Raises MalformedError for any other text.
    """
    if _ACCOUNT.fullmatch(text) is None or int(text, 16) >= ACCOUNT_BOUND:
        raise MalformedError("the account is not a valid customer account")
    return text.lower()
