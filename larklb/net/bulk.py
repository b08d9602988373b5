"""Streaming of bodies and answers that are too long to be buffered.

An ``Upload`` is a client's body on its way to an execute node; a ``Sink`` takes a node's answer on its way
to the client.  Each chunk is written before the next one is read, so that a slow receiver applies
backpressure to the sender and memory stays bounded.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol

from larklb.net.http import MAX_BODY_BYTES, Link, TooLongError

# A body or answer in transfer is aborted when no chunk has been read or written for this long.
STALL_TIMEOUT_MS = 20000.0


class UploadAbortedError(Exception):
    """The client has gone, or was too slow, in the middle of its body."""


class Upload:
    """A body of which ``first`` is buffered and the rest is still to be read.

    ``length`` is that of the whole body in bytes, or None for chunked encoding.
    """

    def __init__(self, link: Link, first: bytes) -> None:
        self.link, self.first, self.length = link, first, link.length
        self._spent: Callable[[], object] = bool
        self._whole: Callable[[], object] = bool
        self.spent = False

    def set_callbacks(self, spent: Callable[[], object], whole: Callable[[], object]) -> None:
        """Sets the callbacks: ``spent`` once more than ``first`` was passed on, so that the body can't be
        sent again, and ``whole`` after its last byte."""
        self._spent, self._whole = spent, whole

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body from its start; it can be restarted until more than ``first`` was taken.

        Raises OSError, PeerTooSlowError or RemoteProtocolError if the client fails, TooLongError beyond
        MAX_BODY_BYTES."""
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
    """Destination of an answer that is too long to be buffered."""

    async def begin(self, kind: bytes, length: int | None) -> None:
        """Starts the answer with its content type and, if known, its length in bytes.

        Raises OSError where the receiver has gone."""

    async def piece(self, data: bytes) -> None:
        """Writes a chunk; returns when it has been sent."""

    async def end(self) -> None:
        """Completes the answer."""
