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

MOST_BODY = 64 * 1024
MOST_FRAMING = 32 * 1024       # of a message is not its body: its head, 1xx answers ahead of it, chunk sizes
BUFFER = 32 * 1024             # bytes that wait unread before the other side is told to wait
_CHUNK = 64 * 1024


class TooLongError(Exception):
    """A body exceeds what the protocol allows."""


class WatchedReader(asyncio.StreamReader):
    """A stream reader that also tells, once, when its other side has closed or broken the connection.

    With ``quiet`` set it tells as well when something arrives: nothing was asked, so nothing may come.
    """

    on_end: Callable[[], object] | None = None
    quiet = False

    def __init__(self) -> None:
        super().__init__(limit=BUFFER, loop=asyncio.get_running_loop())

    def feed_data(self, data: Any) -> None:
        super().feed_data(data)
        if self.quiet:
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

    def waiting(self) -> bool:
        """Whether bytes have come that nobody has read."""
        return bool(self._buffer)           # type: ignore[attr-defined]

    def ended(self) -> bool:
        return bool(self._eof) or self.exception() is not None      # type: ignore[attr-defined]


class Link:
    """One connection: its streams and its h11 state."""

    __slots__ = ("reader", "writer", "http", "since", "begun", "new", "busy")

    def __init__(self, reader: WatchedReader, writer: asyncio.StreamWriter, role: Any) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(role)
        self.since = asyncio.get_running_loop().time() * 1000.0     # made, or last put down
        self.begun = 0.0          # when a message was first seen to hang in the middle
        self.new = True           # has carried no message yet
        self.busy = False
        writer.transport.set_write_buffer_limits(high=0)      # so that drain() waits for the last byte

    async def read(self, most: int = MOST_BODY,
                   begun: Callable[[], object] = bool) -> tuple[Any, bytes] | None:
        """The next whole message, its head and its body; None where the other side closed before one.

        ``begun`` is called, once, if it comes in more than one piece."""
        head: Any = None
        body: list[bytes] = []
        size = taken = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self.writer.write(self.http.send(go_on) or b"")
                if taken:
                    begun()
                    begun = bool
                try:
                    data = await self.reader.read(_CHUNK)
                except OSError:
                    data = b""
                taken += len(data)
                if taken > most + MOST_FRAMING:
                    raise TooLongError
                self.http.receive_data(data)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > most:
                    raise TooLongError
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return head, b"".join(body)
            elif isinstance(event, h11.Request | h11.Response):
                head = event
                if _length(head) > most:
                    raise TooLongError
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None

    def more(self) -> bool:
        """Whether the other side has sent anything that was not read as part of a whole message."""
        return (self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])
                or self.reader.waiting())

    def silent(self) -> bool:
        """Whether nothing has come, not even to the socket: the loop may be late to read from it."""
        if self.more():
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

    def again(self) -> bool:
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
        self.writer.transport.abort()


def _length(head: h11.Request | h11.Response) -> int:
    """The body's length as the head tells it; 0 where its end is told otherwise."""
    names = [name for name, _ in head.headers]
    if b"content-length" not in names:
        if isinstance(head, h11.Response) and head.status_code == 200 and b"transfer-encoding" not in names:
            # Its body would end with the connection, and a broken one look whole.
            raise h11.RemoteProtocolError("the answer has no length")
        return 0
    if b"transfer-encoding" in names:
        # Whoever goes by the other one finds another message in the body.
        raise h11.RemoteProtocolError("a body has two lengths", error_status_hint=400)
    return int(head.headers[names.index(b"content-length")][1])


async def finished(dialling: asyncio.Future[Link], within: float, wheel: Wheel) -> Link | None:
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
