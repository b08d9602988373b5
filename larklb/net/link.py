"""Questions and answers between limiters over TCP, where an operator's file turns that on.

Frames of a length (4 bytes) and msgpack: a number, and a message of ``fleet/custody.py``; the answer has the
same number.  One connection goes to each limiter that is asked, and comes up when it is needed.  Who does not
answer in time is as good as lost: its connection is closed then.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import msgspec

from larklb.counters import Counters
from larklb.fleet.custody import CustodyMessage, Reply

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 256 * 1024    # bytes: a request and an answer of 64 KiB each, and what stands around them
WHOLE_S = 2.5              # for the rest of a frame that has begun
MAX_PENDING_REQUESTS = 4096        # questions to one limiter that wait for an answer
MAX_INBOUND_LINKS = 256           # connections that are taken in
AGAIN_S = 0.2              # after a connection that did not come up, or was silent, before another is tried
_LENGTH = 4


class _Question(msgspec.Struct, array_like=True):
    number: int
    ask: CustodyMessage


class _Packed(msgspec.Struct, array_like=True):
    """The same with what is asked packed already: it goes to several."""

    number: int
    ask: msgspec.Raw


class _Answer(msgspec.Struct, array_like=True):
    number: int
    word: Reply


Heard = Callable[[Reply | None], object]

_ENCODE = msgspec.msgpack.Encoder()
_QUESTION, _ANSWER = msgspec.msgpack.Decoder(_Question), msgspec.msgpack.Decoder(_Answer)


class FrameError(Exception):
    """What came is no frame of ours."""


async def _frame(reader: asyncio.StreamReader) -> bytes:
    """The next frame, however long nothing comes; one that has begun is to be whole soon."""
    first = await reader.readexactly(1)
    try:
        async with asyncio.timeout(WHOLE_S):
            length = int.from_bytes(first + await reader.readexactly(_LENGTH - 1), "big")
            if not 0 < length <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            return await reader.readexactly(length)
    except TimeoutError as error:
        raise FrameError(f"a frame that was not whole within {WHOLE_S:g} s") from error


def _framed(data: bytes) -> bytes:
    return len(data).to_bytes(_LENGTH, "big") + data


class _To:
    """The way to one limiter."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.waiting: dict[int, Heard] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.unsent: list[bytes] = []
        self.again = 0.0                             # when another connection may be tried, the loop's time


class Links:
    """To the other limiters, and from them."""

    def __init__(self, number: int, addresses: tuple[tuple[str, int], ...], counters: Counters,
                 answer: Callable[[CustodyMessage], Reply]) -> None:
        """``addresses`` of all limiters by number; ``answer`` to a question of another."""
        self.number, self.counters, self.answer = number, counters, answer
        self.to = {i: _To(address) for i, address in enumerate(addresses) if i != number}
        self.numbers = itertools.count(1)
        self.server: asyncio.Server | None = None
        self.taken: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """OSError where the address cannot be had."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=MAX_FRAME_BYTES)

    def ask(
        self, limiters: Iterable[int], ask: CustodyMessage, heard: Callable[[int, Reply | None], object]
    ) -> None:
        """To some limiters; ``heard`` is called once for each with its word, or with None where its
        connection is lost before.  Who waits for it no longer calls ``give_up``."""
        packed = None
        for limiter in limiters:
            if limiter == self.number:
                heard(limiter, self.answer(ask))
                continue
            packed = packed or msgspec.Raw(_ENCODE.encode(ask))
            self._post(limiter, packed, functools.partial(heard, limiter))

    def _post(self, limiter: int, packed: msgspec.Raw, heard: Heard) -> None:
        to, loop = self.to[limiter], asyncio.get_running_loop()
        number = next(self.numbers)
        data = _framed(_ENCODE.encode(_Packed(number, packed)))
        if (len(data) > MAX_FRAME_BYTES or len(to.waiting) >= MAX_PENDING_REQUESTS
                or to.writer is None and loop.time() < to.again):
            heard(None)
            return
        to.waiting[number] = heard
        self.counters.add("custody.bytes", len(data))
        if to.writer is not None:
            to.writer.write(data)
            return
        to.unsent.append(data)
        if to.task is None or to.task.done():
            to.task = loop.create_task(self._connected(to))

    def busy(self, limiter: int) -> bool:
        """Whether a question waits there."""
        return limiter != self.number and bool(self.to[limiter].waiting)

    def give_up(self, limiter: int) -> None:
        """It did not answer in time: what is stuck in its connection would come long after its time."""
        self.counters.add("custody.silent")
        self.to[limiter].again = asyncio.get_running_loop().time() + AGAIN_S
        if (writer := self.to[limiter].writer) is not None:
            writer.transport.abort()

    async def _connected(self, to: _To) -> None:
        """One connection, from its start to its end."""
        try:
            reader, writer = await asyncio.open_connection(*to.address, limit=MAX_FRAME_BYTES)
        except OSError:
            to.again = asyncio.get_running_loop().time() + AGAIN_S
            self._lost(to)
            return
        to.writer = writer
        try:
            with self._readable():
                writer.writelines(to.unsent)
                to.unsent.clear()
                while True:
                    answer = _ANSWER.decode(await _frame(reader))
                    if (heard := to.waiting.pop(answer.number, None)) is not None:
                        heard(answer.word)
        finally:
            to.writer = None
            writer.transport.abort()
            self._lost(to)

    @contextmanager
    def _readable(self) -> Iterator[None]:
        """Ends with the connection, or with the first thing on it that cannot be read."""
        try:
            yield
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (FrameError, msgspec.DecodeError) as error:
            self.counters.add("custody.unreadable")
            log.warning("a limiter's words cannot be read: %s", error)

    @staticmethod
    def _lost(to: _To) -> None:
        to.unsent.clear()
        waiting, to.waiting = to.waiting, {}
        for heard in waiting.values():
            heard(None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.taken) >= MAX_INBOUND_LINKS:
            writer.transport.abort()
            return
        self.taken.add(writer)
        try:
            with self._readable():
                while True:
                    question = _QUESTION.decode(await _frame(reader))
                    answer = _Answer(question.number, self.answer(question.ask))
                    writer.write(_framed(_ENCODE.encode(answer)))
                    await writer.drain()
        finally:
            self.taken.discard(writer)
            writer.transport.abort()

    async def stop(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.taken):
            writer.transport.abort()
        for to in self.to.values():
            if to.task is not None:
                to.task.cancel()
        await asyncio.gather(*(to.task for to in self.to.values() if to.task), return_exceptions=True)
