"""HTTP/1.1 connections on h11 and asyncio streams, for clients and servers of the platform's protocol."""

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

# Bodies up to this size are buffered; longer ones are streamed.
MAX_BUFFERED_BYTES = 64 * 1024
# Largest body of a request or an answer.
MAX_BODY_BYTES = 33 * 1024 * 1024
# Bytes of a message that are not its body: its head, 1xx answers before it, and chunk sizes.  Each body byte
# adds to the allowance, for bodies in very small chunks.
MAX_FRAMING_BYTES = 96 * 1024
FRAMING_PER_BODY_BYTE = 16
# Unread bytes after which the sender is paused.
READ_BUFFER_BYTES = 32 * 1024
_READ_BYTES = 64 * 1024


class TooLongError(Exception):
    """A message exceeds the size that is allowed."""


class PeerTooSlowError(Exception):
    """The peer was given up because it sends too slowly."""


class WatchedReader(asyncio.StreamReader):
    """A stream reader that calls ``on_end`` once, when the peer has closed or broken the connection.

    With ``expect_silence`` set it also does so when data arrives, since none is expected on an idle
    connection.
    """

    on_end: Callable[[], object] | None = None
    expect_silence = False
    too_slow = False

    def __init__(self) -> None:
        super().__init__(limit=READ_BUFFER_BYTES, loop=asyncio.get_running_loop())

    def feed_data(self, data: Any) -> None:
        super().feed_data(data)
        if self.expect_silence:
            self._notify()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._notify()

    def set_exception(self, exc: BaseException) -> None:
        super().set_exception(exc)          # type: ignore[arg-type]
        self._notify()

    def _notify(self) -> None:
        if self.on_end is not None:
            callback, self.on_end = self.on_end, None
            callback()

    def mark_too_slow(self) -> None:
        """Wakes a pending read, which then raises PeerTooSlowError in Link."""
        self.too_slow = True
        self._wakeup_waiter()               # type: ignore[attr-defined]

    def waiting(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._buffer)           # type: ignore[attr-defined]

    def ended(self) -> bool:
        """Whether the peer has closed or broken the connection."""
        return bool(self._eof) or self.exception() is not None      # type: ignore[attr-defined]


class Link:
    """One HTTP connection: its streams and its h11 state.  Times are in milliseconds of the event loop."""

    __slots__ = ("reader", "writer", "http", "since", "partial_since", "new", "busy", "received_bytes",
                 "body_bytes", "length", "body_wait_ms", "waiting_since", "aborted")

    def __init__(self, reader: WatchedReader, writer: asyncio.StreamWriter, role: Any) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(role)
        self.since = asyncio.get_running_loop().time() * 1000.0     # opened, or last idle
        self.partial_since = 0.0          # when a message was first seen incomplete
        self.new = True           # has carried no message
        self.busy = False
        self.aborted = False      # by this side
        # Bytes received of the current message, and of its body.
        self.received_bytes = self.body_bytes = 0
        self.length: int | None = None      # of the body, from the head; None if unknown
        self.body_wait_ms = 0.0   # time spent waiting for the current body
        self.waiting_since = 0.0  # start of the current wait; 0 if there is none
        # asyncio reads four times as much by default.
        writer.transport.max_size = _READ_BYTES  # type: ignore[attr-defined]
        writer.transport.set_write_buffer_limits(high=0)      # drain() then waits for the last byte

    async def _event(self, on_partial: Callable[[], object] | None = None) -> Any:
        """Returns the next event of a message.

        Raises OSError where the connection breaks, PeerTooSlowError where the peer was given up, TooLongError
        where the framing of the message is too long.

        ``begun`` is called when part of the message is still to come."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.http.send(interim) or b"")
            if on_partial is not None and self.received_bytes:
                on_partial()
            if self.receiving_body():
                clock = asyncio.get_running_loop().time
                self.waiting_since = clock() * 1000.0
                data = await self.reader.read(_READ_BYTES)
                self.body_wait_ms += clock() * 1000.0 - self.waiting_since
                self.waiting_since = 0.0
            else:
                data = await self.reader.read(_READ_BYTES)
            if not data and self.reader.too_slow and not self.reader.ended():
                raise PeerTooSlowError
            if not data and self.aborted:
                # Otherwise the body might look complete.
                raise ConnectionAbortedError("connection aborted locally")
            self.received_bytes += len(data)
            if self.received_bytes > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self.body_bytes:
                raise TooLongError
            self.http.receive_data(data)

    async def read_head(self, on_partial: Callable[[], object] | None = None) -> Any:
        """Returns the head of the next message, or None if the peer closed before it."""
        self.received_bytes = self.body_bytes = 0
        self.body_wait_ms = 0.0
        self.reader.too_slow = False
        while True:
            event = await self._event(on_partial)
            kind = type(event)
            if kind is h11.Request or kind is h11.Response:
                self.length = _length(event)
                self.body_wait_ms = 0.0
                return event
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None

    async def read_chunk(self, on_partial: Callable[[], object] | None = None) -> bytes | None:
        """Returns the next part of the body, or None at its end."""
        while True:
            event = await self._event(on_partial)
            kind = type(event)
            if kind is h11.Data:
                self.body_bytes += len(event.data)
                return bytes(event.data)
            if kind is h11.EndOfMessage:
                return None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed in the middle of a body")

    async def read(self, max_bytes: int = MAX_BUFFERED_BYTES) -> tuple[Any, bytes] | None:
        """Returns head and body of the next message, or None if the peer closed before it.

        Raises TooLongError beyond ``max_bytes`` of body."""
        head = await self.read_head()
        if head is None:
            return None
        body: list[bytes] = []
        while (part := await self.read_chunk()) is not None:
            body.append(part)
            if self.body_bytes > max_bytes:
                raise TooLongError
        return head, b"".join(body)

    def has_unread_data(self) -> bool:
        """Whether the peer has sent data that was not read as part of a complete message."""
        return (self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])
                or self.reader.waiting())

    def receiving_body(self) -> bool:
        """Whether the peer is in the middle of a body."""
        return self.http.their_state is h11.SEND_BODY

    def can_respond(self) -> bool:
        """Whether no answer to the message has been started."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def pipelined_requests(self) -> int:
        """Returns the number of messages received after the one being answered, as far as they were read."""
        if not self.has_unread_data():
            return 0
        waiting = self.http.trailing_data[0] + bytes(self.reader._buffer)     # type: ignore[attr-defined]
        return waiting.count(b"\r\n\r\n")

    def received_nothing(self) -> bool:
        """Whether nothing was received, including the socket buffer, which the event loop may read late."""
        if self.has_unread_data():
            return False
        got = array.array("i", [0])
        with contextlib.suppress(OSError, ValueError):       # ValueError: just closed
            fcntl.ioctl(self.writer.get_extra_info("socket"), termios.FIONREAD, got)
        return not got[0]

    def write(self, head: Any, body: bytes = b"") -> None:
        """Queues a complete message."""
        data = [self.http.send(head)]
        if body:
            data.append(self.http.send(h11.Data(data=body)))
        data.append(self.http.send(h11.EndOfMessage()))
        self.writer.write(b"".join(part for part in data if part))

    def start_next_cycle(self) -> bool:
        """Prepares for the next message; returns whether the connection can carry one."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def pause(self) -> None:
        """Stops reading; further input stays in the socket."""
        self.writer.transport.pause_reading()       # type: ignore[attr-defined]

    def resume(self) -> None:
        """Reads again after ``pause``."""
        self.writer.transport.resume_reading()      # type: ignore[attr-defined]

    def abort(self) -> None:
        """Closes the connection at once; pending reads fail."""
        self.aborted = True
        self.writer.transport.abort()


def _length(head: h11.Request | h11.Response) -> int | None:
    """Returns the body length given in the head, or None if chunks or the connection's close mark its end."""
    names = [name for name, _ in head.headers]
    if b"content-length" not in names:
        return 0 if isinstance(head, h11.Request) and b"transfer-encoding" not in names else None
    if b"transfer-encoding" in names:
        # Request smuggling: another parser might go by the other length.
        raise h11.RemoteProtocolError("a body has two lengths", error_status_hint=400)
    return int(head.headers[names.index(b"content-length")][1])


async def await_connection(dialling: asyncio.Future[Link], timeout_ms: float, wheel: Wheel) -> Link | None:
    """Returns the dialled connection, or None if it was refused, cancelled or not up in ``timeout_ms``."""
    timer = wheel.after(timeout_ms, dialling.cancel)
    try:
        await asyncio.wait((dialling,))
    finally:
        timer.cancel()
        # If the waiting task was cancelled, nothing else retrieves the result or exception.
        dialling.add_done_callback(lambda done: done.cancelled() or done.exception())
        dialling.cancel()
    return None if dialling.cancelled() or dialling.exception() is not None else dialling.result()


async def dial(host: str, port: int, tls: ssl.SSLContext | None = None) -> Link:
    """Opens a client connection; with ``tls`` the server certificate must match the host.  Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = WatchedReader()
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader, loop=loop), host, port, ssl=tls)
    return Link(reader, asyncio.StreamWriter(transport, protocol, reader, loop), h11.CLIENT)
