"""The errors of the replicated configuration store."""

from __future__ import annotations

from collections.abc import Iterable


class ConsensusError(Exception):
    """Base of all errors of this package."""


class MalformedError(ConsensusError):
    """A message or a stored value doesn't have the shape that it must have."""


class InvalidChangeError(ConsensusError):
    """A change that is invalid against the current document; raised by the ``apply`` of the caller.

    ``problems``: each thing wrong with it, where the caller knows them apart; else the text alone."""

    def __init__(self, status: int, text: str, problems: Iterable[str] = ()) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.problems = tuple(problems) or (text,)
