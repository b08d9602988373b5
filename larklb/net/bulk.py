"""Bodies and answers that are not held whole: they flow from one connection to the other in pieces.

An ``Upload`` is a submitter's body on its way to an execute node, a ``Sink`` takes a node's answer on its
way to the submitter.  Each piece is written out before the next one is read, so that whoever is slow slows
the other side down and nothing piles up here.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol

from larklb.net.http import MAX_BODY_BYTES, Link, TooLongError

# A body or answer in transfer is aborted when no chunk has been read or written for this long.
STALL_TIMEOUT_MS = 20000.0


class UploadAbortedError(Exception):
    """The submitter has gone, or was given up, in the middle of its body."""


class Upload:
    """A body of which ``first`` is kept and the rest is still to come.

    ``length``: of all of it in bytes, None where its end shows only when it comes (chunks).
    """

    def __init__(self, link: Link, first: bytes) -> None:
        self.link, self.first, self.length = link, first, link.length
        self._spent: Callable[[], object] = bool
        self._whole: Callable[[], object] = bool
        self.spent = False

    def set_callbacks(self, spent: Callable[[], object], whole: Callable[[], object]) -> None:
        """``spent`` is called when more than ``first`` is passed on: it cannot be sent again; ``whole`` with
        its last byte."""
        self._spent, self._whole = spent, whole

    async def chunks(self) -> AsyncIterator[bytes]:
        """From the start on; once more than ``first`` has been taken there is no second time.

        OSError, LateError, RemoteProtocolError where the submitter fails, TooLongError beyond MOST_BULK."""
        assert not self.spent
        yield self.first
        self.spent = True
        self._spent()
        while (part := await self.link.read_chunk()) is not None:
            if self.link.body_bytes > MAX_BODY_BYTES:
                raise TooLongError
            yield part
        self._whole()


class Sink(Protocol):
    """Where an answer goes that is too long to be held."""

    async def begin(self, kind: bytes, length: int | None) -> None:
        """Its type, and its length in bytes if that is known; OSError where nobody takes it any more."""

    async def piece(self, data: bytes) -> None:
        """Returns when it has been written out."""

    async def end(self) -> None:
        """It is whole."""
