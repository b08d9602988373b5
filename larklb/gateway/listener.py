"""A listening address that speaks HTTP/1.1: its connections, their limits, and one answer for each request.

The requests are interpreted by the handler of the address: the data plane for clients, the control API for
servers and operators, and the readiness check for the platform.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

import h11
from attrs import define

from larklb.gateway.client_reader import ClientReader
from larklb.gateway.error_log import ErrorLog
from larklb.gateway.errors import AddressError
from larklb.gateway.servers import Reply
from larklb.net.http import Link, PeerTooSlowError, TooLongError
from larklb.wheel import Wheel

log = logging.getLogger("listener")

LISTEN_BACKLOG = 512
SWEEP_INTERVAL_MS = 250.0
# What arrives behind a refused request is discarded for this time and in this many reads at most, as closing
# a socket with unread bytes would reset the connection and lose the answer.
LINGER_MS = 2_000.0
MAX_LINGER_READS = 64
# Statuses of refusals after which part of the request may be unread.
_LINGERING_STATUSES = (400, 408, 413, 431, 501)

# Longest head of a request, whatever the limits are.
MAX_HEAD_BYTES = 64 * 1024

RequestHandler = Callable[[h11.Request, bytes, Link], Awaitable[Reply]]


@define
class RequestLimits:
    """Limits on the size of a request in bytes, and on the time to send one or to stay idle in ms."""

    head_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_ms: float = 10_000.0
    idle_ms: float = 30_000.0

    @property
    def max_head(self) -> int:
        """The longest head that is read, in bytes."""
        return min(self.head_bytes, MAX_HEAD_BYTES)


def _head_size(head: h11.Request) -> int:
    """Returns the size in bytes of a request's first line and headers, without blanks around values."""
    separators = len(b"  HTTP/1.1\r\n\r\n")
    headers = sum(len(name) + len(value) + len(b": \r\n") for name, value in head.headers)
    return len(head.method) + len(head.target) + separators + headers


class Listener:
    """One listening address and its connections."""

    def __init__(self, wheel: Wheel, handler: RequestHandler, max_connections: int) -> None:
        """Creates a listener of at most ``max_connections``; ``handler`` answers each request."""
        self.wheel, self.handler, self.max_connections = wheel, handler, max_connections
        self.limits = RequestLimits()
        self.connections: dict[Link, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        # Whether each connection is closed after its next answer.
        self.draining = False
        self.closed = False
        self.error_log = ErrorLog(log)

    async def start(self, host: str, port: int) -> None:
        """Starts to accept connections; raises ``AddressError`` if the address can't be listened on."""
        loop = asyncio.get_running_loop()

        def on_connect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert isinstance(reader, ClientReader)
            link = Link(reader, writer, h11.SERVER)
            link.http = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.max_head)
            task = loop.create_task(self._serve_connection(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        try:
            self.server = await loop.create_server(
                lambda: asyncio.StreamReaderProtocol(ClientReader(), on_connect, loop=loop),
                host,
                port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
        except OSError as error:
            raise AddressError(f"{host}:{port}: {error}") from error
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        """Ends connections that have been idle, or in the middle of a request, for longer than the limits."""
        if self.closed:
            return
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)
        now = self.wheel.now()
        for link in list(self.connections):
            if link.busy:
                if isinstance(link.reader, ClientReader):
                    link.reader.poll_for_close(link.writer.get_extra_info("socket"))
                if link.waiting_since and now - link.waiting_since > self.limits.idle_ms:
                    # The body has stopped arriving.
                    link.reader.mark_too_slow()
                continue
            if link.has_unread_data():
                link.partial_since = link.partial_since or now
                if now - link.partial_since > self.limits.head_ms:
                    link.reader.mark_too_slow()
            elif now - link.since > self.limits.idle_ms or self.draining and link.received_nothing():
                link.writer.close()

    def _make_room(self) -> bool:
        if len(self.connections) < self.max_connections:
            return True
        for link in self.connections:
            if not link.busy and link.received_nothing():
                del self.connections[link]
                link.abort()
                return True
        return False

    async def _serve_connection(self, link: Link) -> None:
        if not self._make_room():
            link.abort()
            return
        self.connections[link] = None
        sock: socket.socket | None = link.writer.get_extra_info("socket")
        try:
            if sock is not None:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while await self._serve_request(link):
                link.busy, link.partial_since, link.new = False, 0.0, False
                link.since = self.wheel.now()
                self.connections.pop(link, None)
                # The order is by idle time, with the connection that has been idle longest first.
                self.connections[link] = None
        except (OSError, h11.LocalProtocolError):
            # The peer has gone, or the state of the connection allows no answer.
            pass
        except Exception:
            log.exception("listener: unexpected error on a connection.")
        finally:
            self.connections.pop(link, None)
            link.writer.close()

    async def _serve_request(self, link: Link) -> bool:
        """Reads a request and answers it; returns whether another request may follow on the connection."""
        try:
            head = await link.read_head()
            if head is None:
                return False
            link.busy = True
            if link.received_bytes > self.limits.max_head and _head_size(head) > self.limits.max_head:
                return await self._refuse(link, 431)
            if (link.length or 0) > self.limits.body_bytes:
                raise TooLongError
            body = []
            while (piece := await link.read_chunk()) is not None:
                body.append(piece)
                if link.body_bytes > self.limits.body_bytes:
                    raise TooLongError
        except PeerTooSlowError:
            return await self._refuse(link, 408)
        except TooLongError:
            return await self._refuse(link, 413)
        except h11.RemoteProtocolError as error:
            return False if link.reader.ended() else await self._refuse(link, error.error_status_hint)
        reply = await self._handle(head, b"".join(body), link)
        close = self._write_or_fail(link, reply, reply.close or self.draining, head.method)
        await link.writer.drain()
        return not close and not link.reader.ended() and link.start_next_cycle()

    async def _handle(self, head: h11.Request, body: bytes, link: Link) -> Reply:
        """Returns the handler's answer, or 500 after an unexpected error, which promises nothing."""
        try:
            return await self.handler(head, body, link)
        except Exception:
            self.error_log.exception(self.wheel.now(), "listener: unexpected error while handling a request")
            return Reply(500, close=True)

    def _write_or_fail(self, link: Link, reply: Reply, close: bool, method: bytes) -> bool:
        """Queues an answer, or 502 in place of one that HTTP can't carry.

        Returns whether the connection ends. Raises ``LocalProtocolError`` if the state of the connection
        allows no answer."""
        try:
            self._write(link, reply, close, method)
        except h11.LocalProtocolError:
            if not link.can_respond():
                raise
            self.error_log.exception(self.wheel.now(), "listener: an answer can't be sent")
            self._write(link, Reply(502), True, method)
            return True
        return close

    async def _refuse(self, link: Link, status: int) -> bool:
        """Answers a request that can't be read, if an answer is still possible; the connection then ends."""
        link.busy = True
        if link.can_respond():
            self._write(link, Reply(status), True, b"GET")
            await link.writer.drain()
            if status in _LINGERING_STATUSES:
                timer = self.wheel.after(LINGER_MS, link.abort)
                link.writer.write_eof()
                for _ in range(MAX_LINGER_READS):
                    if not await link.reader.read(64 * 1024):
                        break
                timer.cancel()
        return False

    @staticmethod
    def _write(link: Link, reply: Reply, close: bool, method: bytes) -> None:
        headers = list(reply.headers)
        bodiless = reply.status in (204, 304) or method == b"HEAD"
        if reply.content_length:
            headers.append((b"Content-Length", reply.content_length))
        elif reply.status not in (204, 304):
            headers.append((b"Content-Length", b"%d" % len(reply.body)))
        if close:
            headers.append((b"Connection", b"close"))
        link.write(
            h11.Response(status_code=reply.status, headers=headers, reason=reply.reason),
            b"" if bodiless else reply.body,
        )

    def drain(self) -> None:
        """Closes each connection when it is idle; new ones are still accepted, for one answer each."""
        self.draining = True

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self.server is not None:
            self.server.close()

    def active_requests(self) -> int:
        """Returns the number of connections with a request in progress."""
        return sum(link.busy or link.has_unread_data() for link in self.connections)

    async def close(self) -> None:
        """Closes the address and all connections, and cancels the requests in progress."""
        self.closed = True
        self.stop_listening()
        for link in list(self.connections):
            link.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
