"""Configuration documents: the operator's JSON, stored unchanged with all its fields, and their digests."""

import json
import math
import re
from typing import Any, NoReturn

from xxhash import xxh3_128_hexdigest

from larklb.schema.errors import UnreadableError
from larklb.schema.fields import MAX_SHOWN_CHARACTERS

Document = dict[str, Any]

# Maximum nesting depth of a document. The schema needs eight levels; the bound keeps functions that recurse
# over a document within the stack.
MAX_DEPTH = 64


# How a surrogate is written in JSON; most documents contain none. UTF-8 itself has no bytes for one.
_SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")


def _reject_constant(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is no JSON")


def _parse_finite(digits: str) -> float:
    number = float(digits)
    if math.isinf(number):
        raise ValueError("a number beyond the range of a float")
    return number


def parse(body: bytes) -> Document:
    """Parse `body` as a JSON object. The caller bounds its size.

    Raises UnreadableError if it is not valid JSON in UTF-8, has trailing bytes, is not an object, is nested
    more than MAX_DEPTH levels deep, or contains NaN, infinite numbers, or a half of a surrogate pair, which
    is no text and can't be encoded.
    """
    try:
        text = body.decode("utf-8-sig")
        document = json.loads(text, parse_constant=_reject_constant, parse_float=_parse_finite)
        if _SURROGATE_ESCAPE.search(body):
            json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"no JSON: {str(error)[:MAX_SHOWN_CHARACTERS]}") from error
    if not isinstance(document, dict):
        raise UnreadableError("no JSON object")
    level: list[Any] = [document]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for parent in level
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, dict | list)
        ]
        if not level:
            return document
    raise UnreadableError(f"nested more than {MAX_DEPTH} levels deep")


def _normalize(value: Any) -> Any:
    """Replace integral floats by integers, since 63.0 and 63 are the same number to an operator."""
    if isinstance(value, dict):
        return {key: _normalize(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_normalize(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def digest(document: Document) -> str:
    """Return a digest of the document's meaning, as 32 hex digits.

    It doesn't depend on the order of keys, nor on whether a number is written as 63.0 or 63.
    """
    return xxh3_128_hexdigest(
        json.dumps(_normalize(document), sort_keys=True, separators=(",", ":")).encode()
    )
