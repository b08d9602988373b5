"""The errors of the replicated configuration store."""

from __future__ import annotations


class HeadworksError(Exception):
    """Base of all errors of this package."""


class MalformedError(HeadworksError):
    """A message or a stored value doesn't have the shape that it must have."""


class RefusedError(HeadworksError):
    """A change that is invalid against the current document; raised by the ``apply`` of the caller."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
