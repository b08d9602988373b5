"""Pooled connections to execute nodes, and the attempts made on them."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from larklb import interface as io
from larklb.core import Core, Job
from larklb.net.bulk import STALL_TIMEOUT_MS, Sink, Upload, UploadAbortedError
from larklb.net.http import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    Link,
    PeerTooSlowError,
    TooLongError,
    await_connection,
    dial,
)
from larklb.net.machines import Machines
from larklb.settings import Config
from larklb.wheel import Timer

log = logging.getLogger(__name__)

# Share of the nodes' own idle limit, so that a request doesn't cross the node's close.
IDLE_LIMIT_SHARE = 0.4
# Share of the file descriptors available to connections to execute nodes.
DESCRIPTOR_SHARE = 0.3
# Time from an answer to the next use of its connection; excess bytes after the answer have arrived by then.
MIN_REST_MS = 10.0
# The longest trusted idle time is adapted: it shrinks with each connection that was found closed and grows
# with each that was not.  It never goes below this bound, even where nodes close connections early.
MIN_MAX_IDLE_MS = 40.0
MAX_IDLE_DECREASE = 0.9
MAX_IDLE_INCREASE = 1.02
SWEEP_INTERVAL_MS = 1000.0
# A reset this soon after the send means that the connection had been closed before.
STALE_RESET_MS = 20.0
# Longest gap between two chunks of an answer, or this share of the smallest latency target if that is longer.
ANSWER_GAP_MS = 500.0
ANSWER_GAP_TARGET_SHARE = 1 / 3
# An answer of unknown length is buffered for this long before it is streamed.
UNKNOWN_LENGTH_BUFFER_MS = 1000.0
_CLIENT_ERRORS = (OSError, h11.RemoteProtocolError, PeerTooSlowError, TooLongError)
_LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Share of the drain grace that is used; the rest allows for the network delay to the node.
DRAIN_GRACE_SHARE = 0.8


class Content(NamedTuple):
    """The parts of a request that are forwarded unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes                          # complete, unless ``upload`` is set
    upload: Upload | None = None         # a body that is streamed


class AttemptOutcome(NamedTuple):
    """The result of an attempt; with OK also the content type and body of the answer.

    ``duration`` is in milliseconds."""

    result: io.Result
    duration: float
    kind: bytes = b""
    body: bytes = b""
    unusable: bool = False           # an answer arrived but can't be used
    stale: bool = False         # already closed connection, or no local resources
    streamed: bool = False      # the answer was passed on in chunks
    whole: bool = True          # the answer is complete


class NodeAddress(NamedTuple):
    """An execute node at an address, since another node may start at the address of an old one."""

    server: str
    address: tuple[str, int]


class ExecuteNodes:
    """All connections to execute nodes, and the attempts made on them."""

    def __init__(self, config: Config, core: Core, machines: Machines) -> None:
        self.core, self.wheel, self.machines = core, core.wheel, machines
        self.descriptor_share = self.max_connections = int(config.sockets * DESCRIPTOR_SHARE)
        self.max_idle = math.inf                 # ms; a connection idle for longer is not reused
        self.retired = False                     # after a handover: connections are not kept
        self.apply_config(config)
        self.open_count = 0
        self.pools: defaultdict[NodeAddress, list[Link]] = defaultdict(list)
        self.links_by_node: Counter[str] = Counter()     # by node, including those being dialled
        self.limits = core.gateway.limits        # fleet-wide limits
        self.limits.open_connections = self._links_of
        self._sweep()

    def apply_config(self, config: Config) -> None:
        """Applies the timeouts of a new configuration."""
        self.dial_timeout = config.dial_timeout
        self.idle_limit = config.conn_idle * IDLE_LIMIT_SHARE
        self.max_idle = min(self.max_idle, self.idle_limit)
        self.answer_gap = max(ANSWER_GAP_MS, ANSWER_GAP_TARGET_SHARE * min(
            c.aim for c in config.settings.classes))
        self.drain_grace = config.settings.drain_grace * DRAIN_GRACE_SHARE

    def share_descriptors(self, shared: bool) -> None:
        """Halves the descriptor budget while another process of this limiter has connections."""
        self.max_connections = self.descriptor_share // 2 if shared else self.descriptor_share

    def retire(self, retired: bool) -> None:
        """Marks this process as replaced: idle connections are closed and no longer kept."""
        self.retired = retired
        for place, pool in list(self.pools.items()) if retired else ():
            for link in list(pool):
                self._drop(place, link)

    # Connections --------------------------------------------------------------------------

    def _sweep(self) -> None:
        """Closes idle connections well before the node does, and those of nodes that left the list."""
        self.wheel.after(min(self.idle_limit / 4, SWEEP_INTERVAL_MS), self._sweep)
        now = self.wheel.now()
        listed = {NodeAddress(name, m.address) for name, m in self.machines.by_id.items()
                  if m.closed_at is None}
        for place, pool in list(self.pools.items()):
            for link in list(pool):
                if (now - link.since > max(self.max_idle, SWEEP_INTERVAL_MS) or place not in listed
                        or self._exceeds_limit(place, 0)):
                    self._drop(place, link)
            if not pool:
                del self.pools[place]

    def _drop(self, place: NodeAddress, link: Link) -> None:
        if link in self.pools[place]:
            self.pools[place].remove(link)
        self._close(place, link)

    def _close(self, place: NodeAddress, link: Link) -> None:
        link.reader.on_end = None
        link.abort()
        self._count_closed(place)

    def _count_closed(self, place: NodeAddress) -> None:
        self.open_count -= 1
        self.links_by_node[place.server] -= 1
        if not self.links_by_node[place.server]:
            del self.links_by_node[place.server]

    def _links_of(self, short: int) -> int:
        """Returns the number of connections to the node with this short id."""
        server = self.core.gateway.server_pool.by_short_id.get(short)
        return self.links_by_node[server.entry.server] if server is not None else 0

    def _exceeds_limit(self, place: NodeAddress, more: int) -> bool:
        """Whether ``more`` connections to a node would exceed this limiter's share of the node's limit."""
        server = self.core.gateway.servers.get(place.server) if self.limits.node_attempts else None
        return server is not None and (
            self.links_by_node[place.server] + more > self.limits.allowed(self.wheel.now(), server.short_id))

    def _pooled(self, place: NodeAddress) -> Link | None:
        """Takes the most recently used connection that has rested for MIN_REST_MS."""
        pool, now = self.pools.get(place, []), self.wheel.now()
        for link in reversed(pool):
            if now - link.since > self.max_idle:
                break
            if now - link.since >= MIN_REST_MS:
                pool.remove(link)
                link.reader.on_end, link.reader.expect_silence = None, False
                return link
        return None

    def _adjust_max_idle(self, rest: float, stale: bool) -> None:
        """Adapts the longest trusted idle time, since an early close by a node shows only on use."""
        if stale and rest < self.max_idle:
            self.max_idle = max(MIN_MAX_IDLE_MS, min(
                self.max_idle * MAX_IDLE_DECREASE, max(rest, self.max_idle / 2)))
        elif not stale and rest > self.max_idle / 2:
            self.max_idle = min(self.idle_limit, self.max_idle * MAX_IDLE_INCREASE)

    def _keep(self, place: NodeAddress, link: Link) -> None:
        # Bytes after an answer belong to no job, and would be read as the answer to the next one.
        if (self.retired or link.reader.ended() or link.has_unread_data() or not link.start_next_cycle()
                or self._exceeds_limit(place, 0)):
            self._close(place, link)
            return
        link.since = self.wheel.now()
        link.reader.on_end, link.reader.expect_silence = lambda: self._drop(place, link), True
        self.pools[place].append(link)

    async def _dial(self, place: NodeAddress, within: float, attempt: _Attempt) -> Link | None:
        if self.open_count >= self.max_connections:
            idle = [(link.since, at) for at, pool in self.pools.items() for link in pool[:1]]
            if not idle:
                self.core.counters.add("errors.no_descriptor")
                attempt.local_failure = True
                return None
            at = min(idle)[1]
            self._drop(at, self.pools[at][0])
        if self._exceeds_limit(place, 1):
            # An idle connection is evicted; if there is none, the share has just shrunk.
            if not self.pools.get(place):
                self.core.counters.add("held_back.limit")
                attempt.local_failure = True
                return None
            self._drop(place, self.pools[place][0])
        self.open_count += 1
        self.links_by_node[place.server] += 1
        self.core.counters.add("dialled")
        dialling = attempt.dialling = asyncio.ensure_future(dial(*place.address))
        link = None
        try:
            link = await await_connection(dialling, within, self.wheel)
        finally:
            attempt.dialling = None
            if link is None:
                self._count_closed(place)
        error = None if link is not None or dialling.cancelled() else dialling.exception()
        if isinstance(error, MemoryError) or isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS:
            self.core.counters.add("errors.no_descriptor")
            attempt.local_failure = True
        return link

    # Attempts -----------------------------------------------------------------------------

    async def attempt(self, job: Job, send: io.Send, content: Content, sink: Sink) -> AttemptOutcome:
        """Makes one attempt, from the choice of a connection to its single outcome.

        An answer that is too long to be buffered goes to ``sink``.  Raises UploadAbortedError where the
        client fails in the middle of its body."""
        started = self.wheel.now()
        job.attempts += 1
        machine = self.machines.by_id.get(send.server)
        left = min(job.due - started, send.timeout or job.due - started)
        if machine is None or left <= 0:
            return AttemptOutcome(io.Result.NOT_SENT, 0.0)
        place, attempt = NodeAddress(send.server, machine.address), _Attempt(send.server, started)
        job.abort_attempt = attempt.stop
        attempt.timer = self.wheel.after(left, attempt.stop, io.Result.TIMEOUT)
        link: Link | None = None
        reusable = False
        try:
            link = self._pooled(place)
            rest = None if link is None else started - link.since
            if link is None:
                link = await self._dial(place, min(left, self.dial_timeout), attempt)
            if link is None:
                result = io.Result.CONNECT_FAILED if attempt.result is None else io.Result.NOT_SENT
                return AttemptOutcome(result, self.wheel.now() - started, stale=attempt.local_failure)
            await self.core.charge(job, send.stamp)
            if attempt.result is not None:           # cancelled or timed out before a byte was written
                reusable = True
                self._keep(place, link)
                return AttemptOutcome(io.Result.NOT_SENT, self.wheel.now() - started)
            # The dial may have outlasted the node's drain grace, after which no new request may be sent.
            if machine.closed_at is not None and self.wheel.now() - machine.closed_at > self.drain_grace:
                self.core.counters.add("held_back.drain")
                return AttemptOutcome(io.Result.NOT_SENT, self.wheel.now() - started)
            if job.may_send is not None and not job.may_send():
                reusable = True
                self._keep(place, link)
                return AttemptOutcome(io.Result.NOT_SENT, self.wheel.now() - started)
            attempt.link = link
            wait = max(0.001, (started + left - self.wheel.now()) / 1000.0)
            head = h11.Request(method=content.method, target=content.target, headers=[
                (b"Host", b"service.internal"), *content.headers, (b"X-Time-Left", b"%.3f" % wait)])
            if content.upload is None:
                link.write(head, content.body)
                ended = await self._answer(link, attempt, job, sink)
            else:
                ended = await self._attempt_upload(link, attempt, job, sink, head, content.upload)
            if rest is not None and ended.result in (io.Result.OK, io.Result.RESET) and not ended.unusable:
                stale = ended.result is io.Result.RESET and ended.duration < STALE_RESET_MS
                self._adjust_max_idle(rest, stale)
                if stale:
                    self.core.counters.add("errors.stale_connection")
                ended = ended._replace(stale=stale)
            if ended.result in (io.Result.OK, io.Result.ERROR, io.Result.FULL) and ended.whole:
                reusable = True
                self._keep(place, link)
            return ended
        finally:
            attempt.timer.cancel()
            job.abort_attempt = None
            if link is not None and not reusable:
                self._close(place, link)

    async def _attempt_upload(self, link: Link, attempt: _Attempt, job: Job, sink: Sink, head: h11.Request,
                       upload: Upload) -> AttemptOutcome:
        """Makes an attempt with a streamed body, which is aborted if the answer arrives before its end."""
        sending = asyncio.ensure_future(self._send_upload(link, attempt, job, head, upload))
        answering = asyncio.ensure_future(self._answer(link, attempt, job, sink, sending))
        try:
            await asyncio.wait((sending, answering), return_when=asyncio.FIRST_COMPLETED)
            if sending.done() and sending.exception() is not None:
                attempt.stop(io.Result.CONNECT_FAILED)      # the last byte was never sent, so it has not run
            ended = await answering
        finally:
            answering.cancel()
            if not sending.done():
                sending.cancel()
            await asyncio.wait((sending, answering))
        if not sending.cancelled() and isinstance(error := sending.exception(), _CLIENT_ERRORS):
            raise UploadAbortedError from error
        if sending.cancelled() or sending.exception() is not None:
            return ended._replace(whole=False)
        return ended

    async def _send_upload(self, link: Link, attempt: _Attempt, job: Job, head: h11.Request,
                     upload: Upload) -> None:
        link.writer.write(link.http.send(head) or b"")
        async for part in upload.chunks():
            data = link.http.send(h11.Data(data=part))
            try:
                link.writer.write(data or b"")
                await link.writer.drain()
            except OSError as error:
                raise _NodeError from error
        link.writer.write(link.http.send(h11.EndOfMessage()) or b"")
        attempt.timer.cancel()
        attempt.timer = self.wheel.after(job.due - self.wheel.now(), attempt.stop, io.Result.TIMEOUT)

    async def _answer(self, link: Link, attempt: _Attempt, job: Job, sink: Sink,
                      sending: asyncio.Future[None] | None = None) -> AttemptOutcome:
        """Reads the answer.  The gap between two chunks of a buffered answer is limited by ``answer_gap``."""
        body_pending, head, body = True, None, b""
        began = attempt.started
        rest: list[Timer] = []
        reading: asyncio.Future[Any] | None = None

        def more() -> None:
            for timer in rest:
                timer.cancel()
            rest[:] = [self.wheel.after(self.answer_gap, attempt.mark_unusable, "it does not end")]

        try:
            if sending is None:
                await link.writer.drain()            # returns once the last byte is written
                body_pending = False
                self._count_sent(job)
            else:
                reading = asyncio.ensure_future(link.read_head(more))
                await asyncio.wait((reading, sending), return_when=asyncio.FIRST_COMPLETED)
                if sending.done() and sending.exception() is None:
                    body_pending, began = False, self.wheel.now()
                    self._count_sent(job)
                head = await reading
                if head is not None and body_pending:
                    # The request can't have run yet, so a 200 is not valid here.  Both completions may be
                    # reported in the same turn of the event loop, hence the short wait.
                    await asyncio.wait((sending,), timeout=0.05)
                    if sending.done() and sending.exception() is None:
                        body_pending, began = False, self.wheel.now()
                        self._count_sent(job)
                    elif head.status_code == 200:
                        raise h11.RemoteProtocolError("answer received before the request was complete")
            head = head or await link.read_head(more)
            if head is not None and head.status_code == 200:
                if (link.length or 0) > MAX_BODY_BYTES:
                    raise TooLongError
                took = self.wheel.now() - began
                body, whole = await self._buffer_answer(link, more)
                for timer in rest:
                    timer.cancel()
                if not whole and attempt.result is None:
                    attempt.timer.cancel()
                    return await self._stream_answer(link, attempt, job, sink, head, body, took)
            elif head is not None:
                while await link.read_chunk(more) is not None:
                    if link.body_bytes > MAX_BUFFERED_BYTES:
                        raise TooLongError
        except OSError:
            head = None
        except (h11.RemoteProtocolError, TooLongError) as error:
            head = None
            if not link.reader.ended():
                attempt.mark_unusable(str(error) or "it is too long")
        finally:
            if reading is not None:
                reading.cancel()
            for timer in rest:
                timer.cancel()
        took = self.wheel.now() - began
        if attempt.result is not None:
            return AttemptOutcome(attempt.result, took)
        if head is None:
            # A connection that broke before the last byte was written can't have run the request.  After
            # that, or with an unreadable answer, it may have run.
            if attempt.unusable:
                self.core.counters.add("errors.spoilt_answer")
                log.info("unusable answer from an execute node: %s", attempt.unusable)
            result = io.Result.CONNECT_FAILED if body_pending else io.Result.RESET
            return AttemptOutcome(result, took, unusable=bool(attempt.unusable))
        if head.status_code == 200:
            return AttemptOutcome(io.Result.OK, took, _content_type(head), body)
        unprocessed = head.status_code in (503, 504) and (b"x-unprocessed", b"1") in list(head.headers)
        return AttemptOutcome(io.Result.FULL if unprocessed else io.Result.ERROR, took)

    def _count_sent(self, job: Job) -> None:
        """Counts an attempt whose last byte has been written."""
        self.core.crash_point("after send")
        self.core.counters.add("sent")
        self.core.counters.add(f"sent.{job.request.service}")
        if job.ticket is not None:
            job.ticket.fully_sent = True

    async def _buffer_answer(self, link: Link, more: Callable[[], object]) -> tuple[bytes, bool]:
        """Reads as much of an answer as may be buffered; returns it and whether it is complete."""
        parts: list[bytes] = []
        until = self.wheel.now() + UNKNOWN_LENGTH_BUFFER_MS
        while link.length is None or link.length <= MAX_BUFFERED_BYTES:
            part = await link.read_chunk(more)
            if part is None:
                return b"".join(parts), True
            parts.append(part)
            if link.length is None and (link.body_bytes > MAX_BUFFERED_BYTES or self.wheel.now() > until):
                break
        return b"".join(parts), False

    async def _stream_answer(self, link: Link, attempt: _Attempt, job: Job, sink: Sink, head: h11.Response,
                      first: bytes, took: float) -> AttemptOutcome:
        """Streams the rest of an answer; a stall of either side aborts it."""
        self.core.stream_started(job, attempt.server, took)
        self.core.counters.add("streamed")
        stall = self.wheel.after(STALL_TIMEOUT_MS, link.abort)
        whole = False
        try:
            await sink.begin(_content_type(head), link.length)
            part: bytes | None = first
            while part is not None:
                if part:
                    await sink.piece(part)
                stall.cancel()
                stall = self.wheel.after(STALL_TIMEOUT_MS, link.abort)
                part = await link.read_chunk()
                if link.body_bytes > MAX_BODY_BYTES:
                    raise TooLongError
            await sink.end()
            whole = True
        except (OSError, h11.ProtocolError, TooLongError) as error:
            self.core.counters.add("errors.streamed")
            log.info("streamed answer aborted: %s", error or type(error).__name__)
        finally:
            stall.cancel()
        return AttemptOutcome(io.Result.OK, took, streamed=True, whole=whole)


def _content_type(head: h11.Response) -> bytes:
    return next((v for n, v in head.headers if n == b"content-type"), b"application/octet-stream")


class _NodeError(Exception):
    """The connection to the execute node failed while a body was sent."""


class _Attempt:
    """Handle for ending an attempt before its answer arrives."""

    __slots__ = ("result", "link", "dialling", "unusable", "local_failure", "timer", "started", "server")

    def __init__(self, server: str, began: float) -> None:
        self.server, self.started = server, began
        self.timer = Timer(bool, ())  # ends the attempt at its timeout
        self.result: io.Result | None = None
        self.link: Link | None = None
        self.dialling: asyncio.Future[Link] | None = None
        self.unusable = ""            # why the answer can't be used
        self.local_failure = False             # out of descriptors or memory; not the node's fault

    def mark_unusable(self, why: str) -> None:
        """Records why the answer can't be used and closes the connection, which wakes the reader."""
        self.unusable = why[:100]
        if self.link is not None:
            self.link.abort()

    def stop(self, result: io.Result) -> None:
        """Sets the result and closes the connection, which wakes the reader."""
        if self.result is None:
            self.result = result
            if self.dialling is not None:
                self.dialling.cancel()
            if self.link is not None:
                self.link.abort()
