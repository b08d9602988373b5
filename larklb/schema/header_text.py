"""Texts of a configuration that are sent as the values of HTTP headers, and the forms in which they travel.

HTTP (RFC 9110, section 5.5) doesn't transmit blanks at the ends of a header's value, and carries no control
characters but tabs.
"""

import re

_BLANKS = " \t"
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def can_be_sent(text: str) -> bool:
    """Return whether a header can carry a text."""
    return _CONTROL_CHARACTERS.search(text) is None


def visible_text(text: str) -> str:
    """Return what a receiver sees of a text that was sent as a header's value."""
    return text.strip(_BLANKS)


def header_value(text: str) -> bytes:
    """Return a text as the value of a header, in UTF-8."""
    return visible_text(text).encode()


def received_forms(text: str) -> set[str]:
    """Return the forms in which a text may be received, decoded as Latin-1.

    Clients send texts beyond ASCII in UTF-8 or in Latin-1."""
    forms = {header_value(text).decode("latin-1")}
    if all(ord(character) < 256 for character in text):
        forms.add(visible_text(text))
    return forms
