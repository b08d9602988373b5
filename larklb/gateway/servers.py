"""Connections to servers and the attempts made on them, each with one complete answer or a failure.

An answer is buffered until its last byte, so that a truncated one never looks complete to a client. Surplus
bytes behind an answer end the connection. An answer to another request than the current one is discarded.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections import defaultdict
from collections.abc import Iterable

import h11
from attrs import define, field

from larklb.admission.choice import ServerSelector, ServerState
from larklb.admission.tries import AttemptOutcome
from larklb.gateway.error_log import ErrorLog
from larklb.gateway.request_work import Attempt, RequestWork
from larklb.gateway.serving_check import ServingCheck
from larklb.net.http import Link, PeerTooSlowError, TooLongError, await_connection, dial
from larklb.wheel import Wheel

log = logging.getLogger("servers")

# Longest body of an answer, all of which is buffered.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# An idle connection is closed after this time if its server states no timeout.
DEFAULT_IDLE_TIMEOUT_MS = 4_000.0
# Fraction of a server's stated idle timeout that is used, so that a request doesn't cross the server's close.
IDLE_TIMEOUT_FRACTION = 0.4
# An unsafe request can't be sent twice, so it uses only connections that have been idle for less than this.
MAX_IDLE_FOR_UNSAFE_MS = 1_500.0
# A connection is reused only this long after an answer, by when any surplus bytes behind it have arrived.
MIN_IDLE_BEFORE_REUSE_MS = 10.0
# Time allowed to open a connection within the limiter's region.
REGIONAL_DIAL_TIMEOUT_MS = 250.0
# Time allowed to open a connection to another region.
REMOTE_DIAL_TIMEOUT_MS = 600.0
# Answers to other requests that are discarded before the awaited one.
MAX_STRAY_ANSWERS = 2
# Time between checks for idle connections to close.
SWEEP_INTERVAL_MS = 500.0
# Nothing is sent to a server if less time than this is left.
MIN_TIME_LEFT_MS = 4.0
# Ejection after a 421. The address now belongs to another server, as the registry will report by then.
MISDIRECTED_EJECTION_MS = 10_000.0

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Headers that concern every recipient, so that Connection must not name them (RFC 9110, section 7.6.1).
_NEVER_HOP_BY_HOP_HEADERS = frozenset((b"host", b"x-attempt-id", b"x-server-seal"))
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
Headers = list[tuple[bytes, bytes]]


@define
class Message:
    """A request to a server, without the headers that each attempt adds."""

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@define
class Reply:
    """An answer to a client; ``headers`` are the server's without the hop-by-hop ones."""

    status: int
    headers: Headers = field(factory=list)
    body: bytes = b""
    reason: bytes = b""
    close: bool = False
    # Content-Length of the answer to a HEAD request, whose body is not sent.
    content_length: bytes = b""


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], exclude: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers without the hop-by-hop ones, Content-Length and those in ``exclude``."""
    named = {
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    } - _NEVER_HOP_BY_HOP_HEADERS
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP_HEADERS
        and name != b"content-length"
        and name not in named
        and name not in exclude
    ]


class ServerConnections:
    """Opens, pools and closes the connections to servers, and makes attempts on them."""

    def __init__(
        self, wheel: Wheel, selector: ServerSelector, max_connections: int, count: dict[str, int]
    ) -> None:
        """Creates empty pools for ``max_connections`` open connections at most; ``count`` takes counters."""
        self.wheel, self.selector, self.max_connections, self.count = wheel, selector, max_connections, count
        # Idle connections by server id, each with the time at which it expires.
        self.pools: defaultdict[str, list[tuple[Link, float]]] = defaultdict(list)
        # All connections that are open, idle or in use, and how many are being opened.
        self.open_links: set[Link] = set()
        self.dialling = 0
        # Connections on which an answer without an attempt id has arrived.
        self.unidentified: set[Link] = set()
        self.serving_check = ServingCheck()
        self.error_log = ErrorLog(log)
        wheel.after(SWEEP_INTERVAL_MS, self._sweep)

    # Connections --------------------------------------------------------------------------

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self.open_links) + self.dialling

    def _sweep(self) -> None:
        """Closes idle connections that have expired or whose server drains or is gone."""
        self.wheel.after(SWEEP_INTERVAL_MS, self._sweep)
        now = self.wheel.now()
        for server_id, pool in list(self.pools.items()):
            server = self.selector.servers.get(server_id)
            for link, expires_at in list(pool):
                if now >= expires_at or server is None or server.draining:
                    self._close_idle(server_id, link)
            if not pool:
                del self.pools[server_id]

    def _close_idle(self, server_id: str, link: Link) -> None:
        """Closes a connection that may be idle."""
        pool = self.pools.get(server_id, [])
        pool[:] = [entry for entry in pool if entry[0] is not link]
        self._close(link)

    def _close(self, link: Link) -> None:
        """Closes a connection; one that is closed already is left as it is."""
        link.reader.on_end = None
        link.abort()
        self.unidentified.discard(link)
        self.open_links.discard(link)

    def _take_idle(self, server_id: str, safe: bool) -> Link | None:
        """Takes an idle connection that may be used for a request, the most recently used one first."""
        now = self.wheel.now()
        pool = self.pools.get(server_id, [])
        for index in range(len(pool) - 1, -1, -1):
            link, expires_at = pool[index]
            idle_ms = now - link.since
            if idle_ms < MIN_IDLE_BEFORE_REUSE_MS:
                continue
            if now >= expires_at or not safe and idle_ms > MAX_IDLE_FOR_UNSAFE_MS:
                break
            if not safe and link in self.unidentified:
                # A late copy of that answer could be taken for the next one and state that the request has
                # not run.
                continue
            del pool[index]
            link.reader.on_end, link.reader.expect_silence = None, False
            return link
        return None

    def _put_back(self, server_id: str, link: Link, answer: h11.Response | None) -> None:
        """Keeps a connection for later requests, or closes it if it can't be reused."""
        server = self.selector.servers.get(server_id)
        if (
            server is None
            or server.draining
            or link.reader.ended()
            or link.has_unread_data()
            or not link.start_next_cycle()
        ):
            self._close(link)
            return
        link.since = self.wheel.now()
        timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
        for header, value in answer.headers if answer is not None else ():
            if header == b"keep-alive" and (timeout := _KEEP_ALIVE_TIMEOUT.search(value)):
                timeout_ms = min(timeout_ms, int(timeout[1]) * 1000.0 * IDLE_TIMEOUT_FRACTION)
        link.reader.on_end, link.reader.expect_silence = lambda: self._close_idle(server_id, link), True
        self.pools[server_id].append((link, link.since + timeout_ms))

    def _make_room(self) -> bool:
        """Returns whether another connection may be opened; closes the one idle longest if necessary."""
        if self.open_connections < self.max_connections:
            return True
        idle_pools = [(pool[0][0].since, server_id) for server_id, pool in self.pools.items() if pool]
        if not idle_pools:
            return False
        server_id = min(idle_pools)[1]
        self._close_idle(server_id, self.pools[server_id][0][0])
        return True

    async def _dial(self, server: ServerState, timeout_ms: float, attempt: Attempt) -> Link | None:
        """Opens a connection; returns None if that fails, takes too long or would exceed the limit."""
        if not self._make_room():
            self.count["no_descriptor"] += 1
            self.serving_check.record_local_failure(self.wheel.now())
            return None
        self.dialling += 1
        self.count["dialled"] += 1
        try:
            host, _, port = server.address.rpartition(":")
            attempt.dialling = asyncio.ensure_future(dial(host, int(port)))
            link = await await_connection(attempt.dialling, timeout_ms, self.wheel)
        finally:
            attempt.dialling = None
            self.dialling -= 1
        if link is not None:
            self.open_links.add(link)
        return link

    # Attempts -----------------------------------------------------------------------------

    async def attempt(
        self, server: ServerState, route: str, message: Message, work: RequestWork
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Sends a request to a server; returns the outcome, and the answer if there is one to forward.

        An unexpected error is logged and ends only this attempt."""
        if not work.may_attempt:
            return AttemptOutcome.UNSENT, None
        self.selector.record_start(server)
        attempt = work.start_attempt()
        try:
            return await self._attempt(server, route, message, work, attempt)
        except Exception:
            self._record_error(server, route)
            return AttemptOutcome.BROKEN if attempt.sent else AttemptOutcome.UNSENT, None
        finally:
            if not attempt.recorded:
                self.selector.release(server)
            work.finish_attempt(attempt)

    def _record_error(self, server: ServerState, route: str) -> None:
        """Logs and counts the unexpected error that is being handled."""
        now = self.wheel.now()
        self.count["internal_error.attempt"] += 1
        self.serving_check.record_local_failure(now)
        self.error_log.exception(now, f"servers: unexpected error on route {route} with server {server.id}")

    async def _attempt(
        self, server: ServerState, route: str, message: Message, work: RequestWork, attempt: Attempt
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Makes an attempt on an idle connection or a new one."""
        selector, started = self.selector, self.wheel.now()
        link = self._take_idle(server.id, work.safe)
        if link is None:
            same_region = selector.regions.get(server.zone) == selector.regions.get(selector.zone)
            timeout_ms = min(
                work.deadline - started, REGIONAL_DIAL_TIMEOUT_MS if same_region else REMOTE_DIAL_TIMEOUT_MS
            )
            link = await self._dial(server, timeout_ms, attempt)
            if link is None:
                if attempt.ended_by is None or attempt.timed_out:
                    attempt.recorded = True
                    selector.record_failure(self.wheel.now(), server, True)
                return AttemptOutcome.UNSENT, None
        try:
            return await self._attempt_on(link, server, route, message, work, attempt, started)
        except BaseException:
            self._close_idle(server.id, link)
            raise

    async def _attempt_on(
        self,
        link: Link,
        server: ServerState,
        route: str,
        message: Message,
        work: RequestWork,
        attempt: Attempt,
        started: float,
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Makes an attempt on a connection, which is closed or put back when this returns."""
        selector, now = self.selector, self.wheel.now()
        time_left = work.deadline - now
        # The server may have begun to drain, or left, while the connection was opened.
        unavailable = server.draining or selector.servers.get(server.id) is not server
        if attempt.ended_by is not None or time_left < MIN_TIME_LEFT_MS or unavailable:
            self._close(link)
            return AttemptOutcome.UNSENT, None
        attempt.link = link
        head = h11.Request(
            method=message.method,
            target=message.target,
            headers=[
                *message.headers,
                (b"X-Time-Left", b"%d" % time_left),
                (b"X-Target-Instance", server.id.encode()),
            ],
        )
        try:
            attempt.sent = True
            link.write(head, message.body)
            answer, body = await self._read_answer(link, head, message)
        except (OSError, PeerTooSlowError, TooLongError, h11.RemoteProtocolError):
            answer, body = None, b""
        now = self.wheel.now()
        attempt.recorded = True
        if answer is None:
            self._close(link)
            return self._record_unanswered(now, server, route, now - started, attempt), None
        attempt_ids = [value for header, value in answer.headers if header == b"x-attempt-id"]
        belongs = bool(attempt_ids) or link not in self.unidentified
        if not attempt_ids:
            self.unidentified.add(link)
        if attempt.ended_by is None:
            self._put_back(server.id, link, answer)
        else:
            # The attempt was ended while its answer was arriving.
            self._close(link)
        return self._evaluate(now, server, route, now - started, message, answer, body, belongs)

    def _record_unanswered(
        self, now: float, server: ServerState, route: str, waited_ms: float, attempt: Attempt
    ) -> AttemptOutcome:
        """Records an attempt without an answer for its server; returns the outcome."""
        if attempt.ended_by is None:
            self.selector.record_failure(now, server, False)
            return AttemptOutcome.BROKEN
        if attempt.timed_out:
            self.selector.record_failure(now, server, True)
            return AttemptOutcome.TIMED_OUT
        self.selector.record_abandonment(now, server, route, waited_ms)
        return AttemptOutcome.ABANDONED

    async def _read_answer(
        self, link: Link, head: h11.Request, message: Message
    ) -> tuple[h11.Response | None, bytes]:
        """Returns the answer to this request, or None if the connection brings no usable one.

        An answer that has another request's attempt id is discarded."""
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = await link.read_head()
            if answer is None:
                return None, b""
            body = []
            while (piece := await link.read_chunk()) is not None:
                body.append(piece)
                if link.body_bytes > MAX_ANSWER_BYTES:
                    raise TooLongError
            attempt_ids = [value for header, value in answer.headers if header == b"x-attempt-id"]
            if not attempt_ids or attempt_ids == [message.id]:
                return answer, b"".join(body)
            # This answers an earlier request; the awaited answer follows it.
            if link.http.their_state is not h11.DONE or link.http.our_state is not h11.DONE:
                return None, b""
            rest = link.http.trailing_data[0]
            link.http = h11.Connection(h11.CLIENT)
            link.http.send(head)
            if message.body:
                link.http.send(h11.Data(data=message.body))
            link.http.send(h11.EndOfMessage())
            if rest:
                link.http.receive_data(rest)
        return None, b""

    def _evaluate(
        self,
        now: float,
        server: ServerState,
        route: str,
        latency_ms: float,
        message: Message,
        answer: h11.Response,
        body: bytes,
        belongs: bool,
    ) -> tuple[AttemptOutcome, Reply | None]:
        """Evaluates an answer and records it for the server; returns the outcome and the answer to forward.

        ``belongs`` tells that the answer certainly is this request's: it has the attempt id, or no earlier
        answer on its connection lacked one."""
        headers = dict(answer.headers)
        status, selector = answer.status_code, self.selector
        if b"x-not-run" in headers or status == 421:
            if not belongs:
                selector.record_failure(now, server, False)
                return AttemptOutcome.BROKEN, None
            if status == 421:
                selector.record_failure(now, server, False)
                server.ejected_until = now + MISDIRECTED_EJECTION_MS
            else:
                selector.record_rejection(now, server)
            self.count["turned_away"] += 1
            return AttemptOutcome.NOT_RUN, None
        framed = b"content-length" in headers or b"transfer-encoding" in headers
        complete = framed or status in (204, 304) or message.method == b"HEAD"
        # An answer without an attempt id may belong to any request.
        identified = b"x-attempt-id" in headers
        sealed = b"x-server-seal" in headers or status >= 300
        if not identified or not sealed or not complete or b"content-encoding" in headers:
            selector.record_failure(now, server, False)
            return AttemptOutcome.BROKEN, None
        selector.record_answer(now, server, route, latency_ms, status < 500)
        if load_header := headers.get(b"x-load"):
            self._record_load(now, server, load_header)
        reply = Reply(
            status,
            end_to_end_headers(answer.headers),
            body,
            bytes(answer.reason),
            content_length=headers.get(b"content-length", b"") if message.method == b"HEAD" else b"",
        )
        if status >= 500 or status in (408, 429):
            # These statuses would promise that the request has not run, which the server does not state.
            if status in (408, 429, 503):
                reply = Reply(502)
            return AttemptOutcome.ERROR, reply
        return AttemptOutcome.ANSWER, reply

    def _record_load(self, now: float, server: ServerState, load_header: bytes) -> None:
        """Records an X-Load header: running and waiting requests, and slots, separated by commas."""
        try:
            running, waiting, slots = (int(piece) for piece in load_header.split(b","))
        except ValueError:
            # An unreadable report is ignored.
            return
        if 0 <= running < 1 << 20 and 0 <= waiting < 1 << 20 and 0 < slots < 1 << 20:
            server.slots = slots
            self.selector.record_load(now, server, running, waiting)

    def close(self) -> None:
        """Closes all idle connections."""
        for server_id, pool in list(self.pools.items()):
            for link, _ in list(pool):
                self._close_idle(server_id, link)
