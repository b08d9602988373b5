"""A listening address that speaks HTTP/1.1: its connections, their bounds, and one answer for each request.

What the requests mean is the business of whoever answers them: clients at the front, servers and operators
at the control address, the platform at the readiness address.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

import h11
from attrs import define

from larklb.gateway.client_reader import ClientReader
from larklb.gateway.errors import AddressError
from larklb.gateway.servers import Reply
from larklb.net.http import LateError, Link, TooLongError
from larklb.wheel import Wheel

log = logging.getLogger("listener")

LISTEN_BACKLOG = 512
SWEEP_INTERVAL_MS = 250.0
LINGER_MS = 2_000.0  # in which what arrives behind a refusal is thrown away ...
MAX_LINGER_READS = 64  # ... in so many reads: a close over unread bytes would lose the answer
_LINGERING_STATUSES = (400, 408, 413, 431, 501)

Answer = Callable[[h11.Request, bytes, Link], Awaitable[Reply]]


@define
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle (ms)."""

    head_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_ms: float = 10_000.0
    idle_ms: float = 30_000.0


class Listener:
    """One listening address."""

    def __init__(self, wheel: Wheel, answer: Answer, max_connections: int) -> None:
        """``answer`` is asked for each request; ``most`` connections are kept at once."""
        self.wheel, self.answer, self.max_connections = wheel, answer, max_connections
        self.limits = RequestLimits()
        self.connections: dict[Link, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.draining = False  # each connection ends with its next answer
        self.closed = False

    async def start(self, host: str, port: int) -> None:
        """AddressError where the address can't be had."""
        loop = asyncio.get_running_loop()

        def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert isinstance(reader, ClientReader)
            task = loop.create_task(self._connection(Link(reader, writer, h11.SERVER)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        try:
            self.server = await loop.create_server(
                lambda: asyncio.StreamReaderProtocol(ClientReader(), connected, loop=loop),
                host,
                port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
        except OSError as error:
            raise AddressError(f"{host}:{port}: {error}") from error
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        """What says nothing, or hangs in the middle of a head, must not hold a descriptor for good."""
        if self.closed:
            return
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)
        now = self.wheel.now()
        for link in list(self.connections):
            if link.busy:
                if isinstance(link.reader, ClientReader):
                    link.reader.look_for_close(link.writer.get_extra_info("socket"))
                if link.waits_since and now - link.waits_since > self.limits.idle_ms:
                    link.reader.give_up()  # in the middle of a body
                continue
            if link.more():
                link.begun = link.begun or now
                if now - link.begun > self.limits.head_ms:
                    link.reader.give_up()
            elif now - link.since > self.limits.idle_ms or self.draining and link.silent():
                link.writer.close()

    def _make_room(self) -> bool:
        if len(self.connections) < self.max_connections:
            return True
        for link in self.connections:
            if not link.busy and link.silent():
                del self.connections[link]
                link.abort()
                return True
        return False

    async def _connection(self, link: Link) -> None:
        if not self._make_room():
            link.abort()
            return
        self.connections[link] = None
        sock: socket.socket | None = link.writer.get_extra_info("socket")
        try:
            if sock is not None:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while await self._message(link):
                link.busy, link.begun, link.new = False, 0.0, False
                link.since = self.wheel.now()
                self.connections.pop(link, None)
                self.connections[link] = None  # the one that rested longest stands first
        except (OSError, h11.LocalProtocolError):
            pass  # the caller has gone, or what it does allows no answer
        except Exception:
            log.exception("listener: a connection failed.")
        finally:
            self.connections.pop(link, None)
            link.writer.close()

    async def _message(self, link: Link) -> bool:
        """One request and its answer; whether another may follow."""
        try:
            head = await link.head()
            if head is None:
                return False
            link.busy = True
            if (link.length or 0) > self.limits.body_bytes:
                raise TooLongError
            body = []
            while (part := await link.piece()) is not None:
                body.append(part)
                if link.size > self.limits.body_bytes:
                    raise TooLongError
        except LateError:
            return await self._refuse(link, 408)
        except TooLongError:
            return await self._refuse(link, 413)
        except h11.RemoteProtocolError as error:
            return False if link.reader.ended() else await self._refuse(link, error.error_status_hint)
        reply = await self.answer(head, b"".join(body), link)
        close = reply.close or self.draining
        self._write(link, reply, close, head.method)
        await link.writer.drain()
        return not close and not link.reader.ended() and link.again()

    async def _refuse(self, link: Link, status: int) -> bool:
        """What can't be read is answered, if it can be, and its connection ends."""
        link.busy = True
        if link.may_answer():
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
        if reply.length:
            headers.append((b"Content-Length", reply.length))
        elif reply.status not in (204, 304):
            headers.append((b"Content-Length", b"%d" % len(reply.body)))
        if close:
            headers.append((b"Connection", b"close"))
        link.write(
            h11.Response(status_code=reply.status, headers=headers, reason=reply.reason),
            b"" if bodiless else reply.body,
        )

    def drain(self) -> None:
        """Connections end as they come to rest; new ones are still taken, for one answer each."""
        self.draining = True

    def stop_listening(self) -> None:
        """Takes no more connections."""
        if self.server is not None:
            self.server.close()

    def active_requests(self) -> int:
        """Requests that are in work."""
        return sum(link.busy or link.more() for link in self.connections)

    async def close(self) -> None:
        """Ends everything."""
        self.closed = True
        self.stop_listening()
        for link in list(self.connections):
            link.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
