"""A configuration as it was sent: JSON, kept whole, with every field that the operator put into it."""

import json
import math
from typing import Any, NoReturn

from xxhash import xxh3_128_hexdigest

from larklb.schema.errors import UnreadableError
from larklb.schema.fields import SHOWN

Document = dict[str, Any]

# Levels of nesting taken. The schema has eight; walking a document recurses, and must end
# before the stack does.
DEPTH_MAX = 64


def _refuse(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is no JSON")


def _finite(digits: str) -> float:
    number = float(digits)
    if math.isinf(number):
        raise ValueError("a number beyond what can be kept")
    return number


def parse(body: bytes) -> Document:
    """The JSON object that `body` is, whole. The caller bounds its size.

    UnreadableError: no JSON, bytes behind it, no object, over DEPTH_MAX levels, NaN or infinite numbers.
    """
    try:
        document = json.loads(body, parse_constant=_refuse, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"no JSON: {str(error)[:SHOWN]}") from error
    if not isinstance(document, dict):
        raise UnreadableError("no JSON object")
    level: list[Any] = [document]
    for _ in range(DEPTH_MAX):
        level = [
            child
            for parent in level
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, dict | list)
        ]
        if not level:
            return document
    raise UnreadableError(f"nested more than {DEPTH_MAX} deep")


def _plain(value: Any) -> Any:
    """`value` with whole floats as integers: 63.0 and 63 are the same number to an operator."""
    if isinstance(value, dict):
        return {key: _plain(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_plain(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def digest(document: Document) -> str:
    """32 hex digits over the document's meaning: the order of keys doesn't count, nor does 63.0 for 63."""
    return xxh3_128_hexdigest(json.dumps(_plain(document), sort_keys=True, separators=(",", ":")).encode())
