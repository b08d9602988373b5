"""Request and reply messages between limiters over TCP, if the operator's file enables custody.

A frame is a length (4 bytes) and msgpack: a number and a message of ``fleet/custody.py``.  The answer carries
the same number.  Each limiter is reached over one connection, which is opened on demand and closed when the
limiter does not answer in time.
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

# A request and an answer of 64 KiB each, with their framing.
MAX_FRAME_BYTES = 256 * 1024
# Time for the rest of a frame that has begun.
FRAME_TIMEOUT_S = 2.5
# Unanswered questions to one limiter.
MAX_PENDING_REQUESTS = 4096
# Accepted connections.
MAX_INBOUND_LINKS = 256
# Delay before a limiter that refused a connection or did not answer is tried again.
RECONNECT_DELAY_S = 0.2
_LENGTH_BYTES = 4


class _Question(msgspec.Struct, array_like=True):
    number: int
    ask: CustodyMessage


class _PackedQuestion(msgspec.Struct, array_like=True):
    """A question whose content is encoded already, since it goes to several limiters."""

    number: int
    ask: msgspec.Raw


class _Answer(msgspec.Struct, array_like=True):
    number: int
    word: Reply


AnswerCallback = Callable[[Reply | None], object]

_ENCODE = msgspec.msgpack.Encoder()
_QUESTION, _ANSWER = msgspec.msgpack.Decoder(_Question), msgspec.msgpack.Decoder(_Answer)


class FrameError(Exception):
    """The received data is not a valid frame."""


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    """Reads the next frame.  Waits for its start indefinitely, for its rest at most FRAME_TIMEOUT_S."""
    first = await reader.readexactly(1)
    try:
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            length = int.from_bytes(first + await reader.readexactly(_LENGTH_BYTES - 1), "big")
            if not 0 < length <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            return await reader.readexactly(length)
    except TimeoutError as error:
        raise FrameError(f"a frame that was not whole within {FRAME_TIMEOUT_S:g} s") from error


def _with_length(data: bytes) -> bytes:
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class _Outbound:
    """Outgoing connection to one limiter."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.pending: dict[int, AnswerCallback] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.unsent_frames: list[bytes] = []
        self.retry_at = 0.0         # earliest time of the next connection, in seconds of the event loop


class PeerLinks:
    """Connections to the other limiters and from them."""

    def __init__(self, number: int, addresses: tuple[tuple[str, int], ...], counters: Counters,
                 answer: Callable[[CustodyMessage], Reply]) -> None:
        """``addresses`` lists all limiters by number; ``answer`` answers the questions of others."""
        self.number, self.counters, self.answer = number, counters, answer
        self.outbound = {i: _Outbound(address) for i, address in enumerate(addresses) if i != number}
        self.request_numbers = itertools.count(1)
        self.server: asyncio.Server | None = None
        self.inbound: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens on the address; raises OSError if it is not available."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=MAX_FRAME_BYTES)

    def ask(
        self, limiters: Iterable[int], ask: CustodyMessage, on_answer: Callable[[int, Reply | None], object]
    ) -> None:
        """Asks limiters; ``on_answer`` is called once for each, with None if its connection was lost.

        A caller that stops waiting calls ``mark_unresponsive``."""
        encoded = None
        for limiter in limiters:
            if limiter == self.number:
                on_answer(limiter, self.answer(ask))
                continue
            encoded = encoded or msgspec.Raw(_ENCODE.encode(ask))
            self._send(limiter, encoded, functools.partial(on_answer, limiter))

    def _send(self, limiter: int, encoded: msgspec.Raw, on_answer: AnswerCallback) -> None:
        outbound, loop = self.outbound[limiter], asyncio.get_running_loop()
        number = next(self.request_numbers)
        data = _with_length(_ENCODE.encode(_PackedQuestion(number, encoded)))
        if (len(data) > MAX_FRAME_BYTES or len(outbound.pending) >= MAX_PENDING_REQUESTS
                or outbound.writer is None and loop.time() < outbound.retry_at):
            on_answer(None)
            return
        outbound.pending[number] = on_answer
        self.counters.add("custody.bytes", len(data))
        if outbound.writer is not None:
            outbound.writer.write(data)
            return
        outbound.unsent_frames.append(data)
        if outbound.task is None or outbound.task.done():
            outbound.task = loop.create_task(self._run_connection(outbound))

    def busy(self, limiter: int) -> bool:
        """Whether a question to the limiter is unanswered."""
        return limiter != self.number and bool(self.outbound[limiter].pending)

    def mark_unresponsive(self, limiter: int) -> None:
        """Closes the connection of a limiter that did not answer in time, with its delayed messages."""
        self.counters.add("custody.silent")
        self.outbound[limiter].retry_at = asyncio.get_running_loop().time() + RECONNECT_DELAY_S
        if (writer := self.outbound[limiter].writer) is not None:
            writer.transport.abort()

    async def _run_connection(self, outbound: _Outbound) -> None:
        """Runs one outgoing connection from its start to its end."""
        try:
            reader, writer = await asyncio.open_connection(*outbound.address, limit=MAX_FRAME_BYTES)
        except OSError:
            outbound.retry_at = asyncio.get_running_loop().time() + RECONNECT_DELAY_S
            self._fail_pending(outbound)
            return
        outbound.writer = writer
        try:
            with self._reading():
                writer.writelines(outbound.unsent_frames)
                outbound.unsent_frames.clear()
                while True:
                    answer = _ANSWER.decode(await _read_frame(reader))
                    if (on_answer := outbound.pending.pop(answer.number, None)) is not None:
                        on_answer(answer.word)
        finally:
            outbound.writer = None
            writer.transport.abort()
            self._fail_pending(outbound)

    @contextmanager
    def _reading(self) -> Iterator[None]:
        """Ends the block quietly when the connection ends or sends invalid data."""
        try:
            yield
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (FrameError, msgspec.DecodeError) as error:
            self.counters.add("custody.unreadable")
            log.warning("invalid message from a limiter: %s", error)

    @staticmethod
    def _fail_pending(outbound: _Outbound) -> None:
        outbound.unsent_frames.clear()
        waiting, outbound.pending = outbound.pending, {}
        for on_answer in waiting.values():
            on_answer(None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.inbound) >= MAX_INBOUND_LINKS:
            writer.transport.abort()
            return
        self.inbound.add(writer)
        try:
            with self._reading():
                while True:
                    question = _QUESTION.decode(await _read_frame(reader))
                    answer = _Answer(question.number, self.answer(question.ask))
                    writer.write(_with_length(_ENCODE.encode(answer)))
                    await writer.drain()
        finally:
            self.inbound.discard(writer)
            writer.transport.abort()

    async def stop(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.inbound):
            writer.transport.abort()
        for outbound in self.outbound.values():
            if outbound.task is not None:
                outbound.task.cancel()
        await asyncio.gather(*(outbound.task for outbound in self.outbound.values() if outbound.task),
                             return_exceptions=True)
