"""Helpers round h11 and asyncio streams that both sides of the platform's protocol use."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import termios
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h11

from larklb.wheel import Wheel

if TYPE_CHECKING:
    import ssl

MAX_BUFFERED_BYTES = 64 * 1024          # is held whole; more flows in pieces
MAX_BODY_BYTES = 33 * 1024 * 1024   # of a body or an answer, and no more
MOST_FRAMING = 96 * 1024       # of a message is not its body: its head, 1xx answers ahead of it, ...
FRAMING = 16                   # ... and chunk sizes: so many bytes for each of a body that is cut small
BUFFER = 32 * 1024             # bytes that wait unread before the other side is told to wait
_CHUNK = 64 * 1024


class TooLongError(Exception):
    """A body exceeds what is allowed."""


class PeerTooSlowError(Exception):
    """The other side was given up: it sends too slowly."""


class WatchedReader(asyncio.StreamReader):
    """A stream reader that also tells, once, when its other side has closed or broken the connection.

    With ``quiet`` set it tells as well when something arrives: nothing was asked, so nothing may come.
    """

    on_end: Callable[[], object] | None = None
    expect_silence = False
    too_slow = False

    def __init__(self) -> None:
        super().__init__(limit=BUFFER, loop=asyncio.get_running_loop())

    def feed_data(self, data: Any) -> None:
        super().feed_data(data)
        if self.expect_silence:
            self._tell()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._tell()

    def set_exception(self, exc: BaseException) -> None:
        super().set_exception(exc)          # type: ignore[arg-type]
        self._tell()

    def _tell(self) -> None:
        if self.on_end is not None:
            tell, self.on_end = self.on_end, None
            tell()

    def mark_too_slow(self) -> None:
        """Whoever waits for more finds that it is late."""
        self.too_slow = True
        self._wakeup_waiter()               # type: ignore[attr-defined]

    def waiting(self) -> bool:
        """Whether bytes have come that nobody has read."""
        return bool(self._buffer)           # type: ignore[attr-defined]

    def ended(self) -> bool:
        return bool(self._eof) or self.exception() is not None      # type: ignore[attr-defined]


class Link:
    """One connection: its streams and its h11 state."""

    __slots__ = ("reader", "writer", "http", "since", "partial_since", "new", "busy", "received_bytes",
                 "body_bytes", "length", "body_wait_ms", "waiting_since", "aborted")

    def __init__(self, reader: WatchedReader, writer: asyncio.StreamWriter, role: Any) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(role)
        self.since = asyncio.get_running_loop().time() * 1000.0     # made, or last put down
        self.partial_since = 0.0          # when a message was first seen to hang in the middle
        self.new = True           # has carried no message yet
        self.busy = False
        self.aborted = False          # by us
        # Bytes received of the current message, and of its body.
        self.received_bytes = self.body_bytes = 0
        self.length: int | None = None      # of its body, as its head tells it
        self.body_wait_ms = 0.0         # ms that its body, or its head, was waited for, ...
        self.waiting_since = 0.0    # ... and since when it is waited for now, if it is
        writer.transport.max_size = _CHUNK  # type: ignore[attr-defined]      # asyncio reads four times as much
        writer.transport.set_write_buffer_limits(high=0)      # so that drain() waits for the last byte

    async def _event(self, begun: Callable[[], object] | None = None) -> Any:
        """The next event of a message; OSError where the connection breaks, LateError where it was given up.

        ``begun`` is called when it turns out that more of the message is still to come."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.http.send(interim) or b"")
            if begun is not None and self.received_bytes:
                begun()
            if self.receiving_body():            # its pace counts
                clock = asyncio.get_running_loop().time
                self.waiting_since = clock() * 1000.0
                data = await self.reader.read(_CHUNK)
                self.body_wait_ms += clock() * 1000.0 - self.waiting_since
                self.waiting_since = 0.0
            else:
                data = await self.reader.read(_CHUNK)
            if not data and self.reader.too_slow and not self.reader.ended():
                raise PeerTooSlowError
            if not data and self.aborted:
                raise ConnectionAbortedError("it was broken off here")      # else it might look whole
            self.received_bytes += len(data)
            if self.received_bytes > MOST_FRAMING + FRAMING * self.body_bytes:
                raise TooLongError
            self.http.receive_data(data)

    async def read_head(self, begun: Callable[[], object] | None = None) -> Any:
        """The head of the next message; None where the other side closed before one."""
        self.received_bytes = self.body_bytes = 0
        self.body_wait_ms = 0.0
        self.reader.too_slow = False
        while True:
            event = await self._event(begun)
            kind = type(event)
            if kind is h11.Request or kind is h11.Response:
                self.length = _length(event)
                self.body_wait_ms = 0.0
                return event
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None

    async def read_chunk(self, begun: Callable[[], object] | None = None) -> bytes | None:
        """The next part of the body; None at its end."""
        while True:
            event = await self._event(begun)
            kind = type(event)
            if kind is h11.Data:
                self.body_bytes += len(event.data)
                return bytes(event.data)
            if kind is h11.EndOfMessage:
                return None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("it ended in the middle of a body")

    async def read(self, most: int = MAX_BUFFERED_BYTES) -> tuple[Any, bytes] | None:
        """The next whole message, its head and its body; None where the other side closed before one."""
        head = await self.read_head()
        if head is None:
            return None
        body: list[bytes] = []
        while (part := await self.read_chunk()) is not None:
            body.append(part)
            if self.body_bytes > most:
                raise TooLongError
        return head, b"".join(body)

    def has_unread_data(self) -> bool:
        """Whether the other side has sent anything that was not read as part of a whole message."""
        return (self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])
                or self.reader.waiting())

    def receiving_body(self) -> bool:
        """Whether the other side is in the middle of a body."""
        return self.http.their_state is h11.SEND_BODY

    def can_respond(self) -> bool:
        """Whether no answer to the message has begun."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def pipelined_requests(self) -> int:
        """How many messages have come behind the one that is answered now, as far as they were read."""
        if not self.has_unread_data():
            return 0
        waiting = self.http.trailing_data[0] + bytes(self.reader._buffer)     # type: ignore[attr-defined]
        return waiting.count(b"\r\n\r\n")

    def received_nothing(self) -> bool:
        """Whether nothing has come, not even to the socket: the loop may be late to read from it."""
        if self.has_unread_data():
            return False
        got = array.array("i", [0])
        with contextlib.suppress(OSError, ValueError):       # ValueError: it has just been closed
            fcntl.ioctl(self.writer.get_extra_info("socket"), termios.FIONREAD, got)
        return not got[0]

    def write(self, head: Any, body: bytes = b"") -> None:
        data = [self.http.send(head)]
        if body:
            data.append(self.http.send(h11.Data(data=body)))
        data.append(self.http.send(h11.EndOfMessage()))
        self.writer.write(b"".join(part for part in data if part))

    def start_next_cycle(self) -> bool:
        """Ready for the next message on this connection, if it can carry one."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def pause(self) -> None:
        """What comes from now on waits in the socket."""
        self.writer.transport.pause_reading()       # type: ignore[attr-defined]

    def resume(self) -> None:
        self.writer.transport.resume_reading()      # type: ignore[attr-defined]

    def abort(self) -> None:
        self.aborted = True
        self.writer.transport.abort()


def _length(head: h11.Request | h11.Response) -> int | None:
    """The body's length as the head tells it; None where its end is told by chunks or by the connection's."""
    names = [name for name, _ in head.headers]
    if b"content-length" not in names:
        return 0 if isinstance(head, h11.Request) and b"transfer-encoding" not in names else None
    if b"transfer-encoding" in names:
        # Whoever goes by the other one finds another message in the body.
        raise h11.RemoteProtocolError("a body has two lengths", error_status_hint=400)
    return int(head.headers[names.index(b"content-length")][1])


async def await_connection(dialling: asyncio.Future[Link], within: float, wheel: Wheel) -> Link | None:
    """The connection, or None if it was refused, called off or not there in time."""
    timer = wheel.after(within, dialling.cancel)
    try:
        await asyncio.wait((dialling,))
    finally:
        timer.cancel()
        # Whoever waited may have been called off: then nobody else reads what became of it.
        dialling.add_done_callback(lambda done: done.cancelled() or done.exception())
        dialling.cancel()
    return None if dialling.cancelled() or dialling.exception() is not None else dialling.result()


async def dial(host: str, port: int, tls: ssl.SSLContext | None = None) -> Link:
    """A client's connection; with ``tls`` its certificate must be the host's."""
    loop = asyncio.get_running_loop()
    reader = WatchedReader()
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader, loop=loop), host, port, ssl=tls)
    return Link(reader, asyncio.StreamWriter(transport, protocol, reader, loop), h11.CLIENT)
