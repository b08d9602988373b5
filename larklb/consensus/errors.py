"""The errors of the replicated configuration store."""

from __future__ import annotations

from collections.abc import Iterable


class ConsensusError(Exception):
    """Base class of all errors of this package."""


class MalformedError(ConsensusError):
    """A message or a stored value is malformed."""


class InvalidChangeError(ConsensusError):
    """A change is invalid against the current document; raised by the caller's ``apply`` function.

    ``status`` is the status of the answer, ``text`` its message. ``problems`` lists each fault separately,
    or holds the text alone if none are given.
    """

    def __init__(self, status: int, text: str, problems: Iterable[str] = ()) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.problems = tuple(problems) or (text,)
