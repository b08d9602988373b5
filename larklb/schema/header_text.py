"""Texts of a configuration that are sent as the values of HTTP headers, and the forms in which they travel.

HTTP (RFC 9110, section 5.5) doesn't transmit blanks at the ends of a header's value, and carries no control
characters but tabs.
"""

import re
from typing import Any

_BLANKS = " \t"
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def parse_header_text(value: Any) -> str:
    """Return a non-empty string that a header can carry.

    Raises ValueError with a description of the values it accepts.
    """
    if not isinstance(value, str) or not value or _CONTROL_CHARACTERS.search(value):
        raise ValueError("a string that isn't empty, without control characters")
    return value


def visible_text(text: str) -> str:
    """Return what a receiver sees of a text that was sent as a header's value."""
    return text.strip(_BLANKS)


def header_value(text: str) -> bytes:
    """Return a text as the value of a header, in UTF-8."""
    return visible_text(text).encode()
