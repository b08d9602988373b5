"""The execute nodes: pooled connections and attempts."""

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

IDLE_PART = 0.4          # of the nodes' own idle limit: a request must not cross the node's close
SOCKETS_PART = 0.3       # of the descriptors may be connections to execute nodes
REST = 10.0              # ms from an answer to the next use of its connection: what follows it has come then
FRESH_LEAST = 40.0       # ms of rest are trusted even where nodes close connections early ...
FRESH_SHRINK = 0.9       # ... the trusted rest shrinks so with each that was found closed ...
FRESH_GROW = 1.02        # ... and grows so with each that was not
SWEPT = 1000.0           # ms between looks for connections that are no longer used
STALE_WITHIN = 20.0      # ms from the send to the reset of a connection that was closed before
ANSWER_REST = 500.0      # ms for the next piece of an answer that has begun, and ...
REST_AIM = 1 / 3         # ... more where aims are long: this part of the least
HOLD = 1000.0            # ms for which an answer is held that tells no length
_OF_SUBMITTERS = (OSError, h11.RemoteProtocolError, PeerTooSlowError, TooLongError)
_OURS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
GRACE_PART = 0.8         # of the drain grace is used, the rest is for what lies between us and the node


class Content(NamedTuple):
    """What goes on unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes                          # all of it, or ...
    upload: Upload | None = None         # ... where it comes in pieces


class AttemptOutcome(NamedTuple):
    """How an attempt ended; with OK the answer's type and body."""

    result: io.Result
    took: float
    kind: bytes = b""
    body: bytes = b""
    spoilt: bool = False        # there was an answer, of no use
    stale: bool = False         # the connection had been closed before, or we had no means for one
    streamed: bool = False      # its answer has gone out in pieces, ...
    whole: bool = True          # ... all of it


class NodeAddress(NamedTuple):
    """An execute node at an address: another node may come up at an old one's."""

    server: str
    address: tuple[str, int]


class ExecuteNodes:
    """All connections to execute nodes, and the attempts on them."""

    def __init__(self, config: Config, core: Core, machines: Machines) -> None:
        self.core, self.wheel, self.machines = core, core.wheel, machines
        self.share_of = self.most = int(config.sockets * SOCKETS_PART)
        self.fresh = math.inf                    # a connection that has rested longer is not used again
        self.retired = False                     # another process has our place: connections are not kept
        self.apply_config(config)
        self.open = 0
        self.pools: defaultdict[NodeAddress, list[Link]] = defaultdict(list)
        self.links: Counter[str] = Counter()     # connections by node, those coming up with them
        self.limits = core.gateway.limits        # of the whole fleet
        self.limits.open_connections = self._links
        self._sweep()

    def apply_config(self, config: Config) -> None:
        """The times of another configuration count from now on."""
        self.dial_timeout = config.dial_timeout
        self.idle_limit = config.conn_idle * IDLE_PART
        self.fresh = min(self.fresh, self.idle_limit)
        self.rest = max(ANSWER_REST, REST_AIM * min(c.aim for c in config.settings.classes))
        self.grace = config.settings.drain_grace * GRACE_PART

    def share_descriptors(self, shared: bool) -> None:
        """Whether another process of this limiter still has connections, of the same descriptors."""
        self.most = self.share_of // 2 if shared else self.share_of

    def retire(self, retired: bool) -> None:
        """Whether only the attempts under way matter any more: idle connections are of no use then."""
        self.retired = retired
        for place, pool in list(self.pools.items()) if retired else ():
            for link in list(pool):
                self._drop(place, link)

    # Connections --------------------------------------------------------------------------

    def _sweep(self) -> None:
        """Idle connections go well before the node closes them, and when their node has left the list."""
        self.wheel.after(min(self.idle_limit / 4, SWEPT), self._sweep)
        now = self.wheel.now()
        listed = {NodeAddress(name, m.place) for name, m in self.machines.by_id.items()
                  if m.closed_at is None}
        for place, pool in list(self.pools.items()):
            for link in list(pool):
                if (now - link.since > max(self.fresh, SWEPT) or place not in listed
                        or self._beyond(place, 0)):
                    self._drop(place, link)
            if not pool:
                del self.pools[place]

    def _drop(self, place: NodeAddress, link: Link) -> None:
        if link in self.pools[place]:
            self.pools[place].remove(link)
        self._end(place, link)

    def _end(self, place: NodeAddress, link: Link) -> None:
        link.reader.on_end = None
        link.abort()
        self._closed(place)

    def _closed(self, place: NodeAddress) -> None:
        self.open -= 1
        self.links[place.server] -= 1
        if not self.links[place.server]:
            del self.links[place.server]

    def _links(self, short: int) -> int:
        """Connections to a node, by its short digest."""
        server = self.core.gateway.server_pool.by_short_id.get(short)
        return self.links[server.entry.server] if server is not None else 0

    def _beyond(self, place: NodeAddress, more: int) -> bool:
        """Whether ``more`` connections to a node would be beyond this limiter's share of the limit."""
        server = self.core.gateway.servers.get(place.server) if self.limits.node_attempts else None
        return server is not None and (
            self.links[place.server] + more > self.limits.allowed(self.wheel.now(), server.short_id))

    def _pooled(self, place: NodeAddress) -> Link | None:
        """The connection that was used last, of those that have rested."""
        pool, now = self.pools.get(place, []), self.wheel.now()
        for link in reversed(pool):
            if now - link.since > self.fresh:
                break
            if now - link.since >= REST:
                pool.remove(link)
                link.reader.on_end, link.reader.expect_silence = None, False
                return link
        return None

    def _learn_fresh(self, rest: float, stale: bool) -> None:
        """How long a connection may rest: nodes close some early, which shows only when one is used."""
        if stale and rest < self.fresh:
            self.fresh = max(FRESH_LEAST, min(self.fresh * FRESH_SHRINK, max(rest, self.fresh / 2)))
        elif not stale and rest > self.fresh / 2:
            self.fresh = min(self.idle_limit, self.fresh * FRESH_GROW)

    def _keep(self, place: NodeAddress, link: Link) -> None:
        # Bytes behind an answer belong to no job: the next one's answer would be read from them.
        if (self.retired or link.reader.ended() or link.has_unread_data() or not link.start_next_cycle()
                or self._beyond(place, 0)):
            self._end(place, link)
            return
        link.since = self.wheel.now()
        link.reader.on_end, link.reader.expect_silence = lambda: self._drop(place, link), True
        self.pools[place].append(link)

    async def _dial(self, place: NodeAddress, within: float, attempt: _Attempt) -> Link | None:
        if self.open >= self.most:
            idle = [(link.since, at) for at, pool in self.pools.items() for link in pool[:1]]
            if not idle:
                self.core.counters.add("errors.no_descriptor")
                attempt.ours = True
                return None
            at = min(idle)[1]
            self._drop(at, self.pools[at][0])
        if self._beyond(place, 1):               # one that rests makes room; else a share has just shrunk
            if not self.pools.get(place):
                self.core.counters.add("held_back.limit")
                attempt.ours = True
                return None
            self._drop(place, self.pools[place][0])
        self.open += 1
        self.links[place.server] += 1
        self.core.counters.add("dialled")
        dialling = attempt.dialling = asyncio.ensure_future(dial(*place.address))
        link = None
        try:
            link = await await_connection(dialling, within, self.wheel)
        finally:
            attempt.dialling = None
            if link is None:
                self._closed(place)
        error = None if link is not None or dialling.cancelled() else dialling.exception()
        if isinstance(error, MemoryError) or isinstance(error, OSError) and error.errno in _OURS:
            self.core.counters.add("errors.no_descriptor")
            attempt.ours = True
        return link

    # Attempts -----------------------------------------------------------------------------

    async def attempt(self, job: Job, send: io.Send, content: Content, sink: Sink) -> AttemptOutcome:
        """One attempt, from the choice of a connection to its one outcome.

        An answer that is too long to be held goes to ``sink``."""
        started = self.wheel.now()
        job.attempts += 1
        machine = self.machines.by_id.get(send.server)
        left = min(job.due - started, send.timeout or job.due - started)
        if machine is None or left <= 0:
            return AttemptOutcome(io.Result.NOT_SENT, 0.0)
        place, attempt = NodeAddress(send.server, machine.place), _Attempt(send.server, started)
        job.abort_attempt = attempt.stop
        attempt.timer = self.wheel.after(left, attempt.stop, io.Result.TIMEOUT)
        link: Link | None = None
        kept = False
        try:
            link = self._pooled(place)
            rest = None if link is None else started - link.since
            if link is None:
                link = await self._dial(place, min(left, self.dial_timeout), attempt)
            if link is None:
                result = io.Result.CONNECT_FAILED if attempt.result is None else io.Result.NOT_SENT
                return AttemptOutcome(result, self.wheel.now() - started, stale=attempt.ours)
            await self.core.charge(job, send.stamp)
            if attempt.result is not None:           # called off or out of time before a byte was written
                kept = True
                self._keep(place, link)
                return AttemptOutcome(io.Result.NOT_SENT, self.wheel.now() - started)
            # The dial may have taken longer than the node's drain grace: nothing new goes there after it.
            if machine.closed_at is not None and self.wheel.now() - machine.closed_at > self.grace:
                self.core.counters.add("held_back.drain")
                return AttemptOutcome(io.Result.NOT_SENT, self.wheel.now() - started)
            if job.may_send is not None and not job.may_send():
                kept = True
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
                ended = await self._carried(link, attempt, job, sink, head, content.upload)
            if rest is not None and ended.result in (io.Result.OK, io.Result.RESET) and not ended.spoilt:
                stale = ended.result is io.Result.RESET and ended.took < STALE_WITHIN
                self._learn_fresh(rest, stale)
                if stale:
                    self.core.counters.add("errors.stale_connection")
                ended = ended._replace(stale=stale)
            if ended.result in (io.Result.OK, io.Result.ERROR, io.Result.FULL) and ended.whole:
                kept = True
                self._keep(place, link)
            return ended
        finally:
            attempt.timer.cancel()
            job.abort_attempt = None
            if link is not None and not kept:
                self._end(place, link)

    async def _carried(self, link: Link, attempt: _Attempt, job: Job, sink: Sink, head: h11.Request,
                       upload: Upload) -> AttemptOutcome:
        """An attempt whose body flows.  An answer may come before its end; the body is broken off then."""
        sending = asyncio.ensure_future(self._carry(link, attempt, job, head, upload))
        answering = asyncio.ensure_future(self._answer(link, attempt, job, sink, sending))
        try:
            await asyncio.wait((sending, answering), return_when=asyncio.FIRST_COMPLETED)
            if sending.done() and sending.exception() is not None:
                attempt.stop(io.Result.CONNECT_FAILED)      # its last byte never left: it has not run
            ended = await answering
        finally:
            answering.cancel()
            if not sending.done():
                sending.cancel()
            await asyncio.wait((sending, answering))
        if not sending.cancelled() and isinstance(error := sending.exception(), _OF_SUBMITTERS):
            raise UploadAbortedError from error
        if sending.cancelled() or sending.exception() is not None:
            return ended._replace(whole=False)
        return ended

    async def _carry(self, link: Link, attempt: _Attempt, job: Job, head: h11.Request,
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
        """What comes back.  Between two pieces of an answer that is held lies no more than ``rest``."""
        unsent, head, body = True, None, b""
        began = attempt.began
        rest: list[Timer] = []
        reading: asyncio.Future[Any] | None = None

        def more() -> None:
            for timer in rest:
                timer.cancel()
            rest[:] = [self.wheel.after(self.rest, attempt.spoil, "it does not end")]

        try:
            if sending is None:
                await link.writer.drain()            # returns once the last byte has left
                unsent = False
                self._written(job)
            else:
                reading = asyncio.ensure_future(link.read_head(more))
                await asyncio.wait((reading, sending), return_when=asyncio.FIRST_COMPLETED)
                if sending.done() and sending.exception() is None:
                    unsent, began = False, self.wheel.now()
                    self._written(job)
                head = await reading
                if head is not None and unsent:
                    # It cannot have run yet: a good answer to half a request is none.  (Both ends may have
                    # come to us in one turn of the loop.)
                    await asyncio.wait((sending,), timeout=0.05)
                    if sending.done() and sending.exception() is None:
                        unsent, began = False, self.wheel.now()
                        self._written(job)
                    elif head.status_code == 200:
                        raise h11.RemoteProtocolError("it came before its request was whole")
            head = head or await link.read_head(more)
            if head is not None and head.status_code == 200:
                if (link.length or 0) > MAX_BODY_BYTES:
                    raise TooLongError
                took = self.wheel.now() - began
                body, whole = await self._held(link, more)
                for timer in rest:
                    timer.cancel()
                if not whole and attempt.result is None:
                    attempt.timer.cancel()
                    return await self._passed(link, attempt, job, sink, head, body, took)
            elif head is not None:
                while await link.read_chunk(more) is not None:
                    if link.body_bytes > MAX_BUFFERED_BYTES:
                        raise TooLongError
        except OSError:
            head = None
        except (h11.RemoteProtocolError, TooLongError) as error:
            head = None
            if not link.reader.ended():
                attempt.spoil(str(error) or "it is too long")
        finally:
            if reading is not None:
                reading.cancel()
            for timer in rest:
                timer.cancel()
        took = self.wheel.now() - began
        if attempt.result is not None:
            return AttemptOutcome(attempt.result, took)
        if head is None:
            # Broken before the last byte left: it cannot have run.  After that, or with an answer that
            # nobody can read, it may have.
            if attempt.spoilt:
                self.core.counters.add("errors.spoilt_answer")
                log.info("a spoilt answer: %s", attempt.spoilt)
            result = io.Result.CONNECT_FAILED if unsent else io.Result.RESET
            return AttemptOutcome(result, took, spoilt=bool(attempt.spoilt))
        if head.status_code == 200:
            return AttemptOutcome(io.Result.OK, took, _kind(head), body)
        unseen = head.status_code in (503, 504) and (b"x-unprocessed", b"1") in list(head.headers)
        return AttemptOutcome(io.Result.FULL if unseen else io.Result.ERROR, took)

    def _written(self, job: Job) -> None:
        """An attempt's last byte has left."""
        self.core.crash_point("after send")
        self.core.counters.add("sent")
        self.core.counters.add(f"sent.{job.request.service}")
        if job.ticket is not None:
            job.ticket.whole = True

    async def _held(self, link: Link, more: Callable[[], object]) -> tuple[bytes, bool]:
        """As much of an answer as may be held, and whether that is all of it."""
        parts: list[bytes] = []
        until = self.wheel.now() + HOLD
        while link.length is None or link.length <= MAX_BUFFERED_BYTES:
            part = await link.read_chunk(more)
            if part is None:
                return b"".join(parts), True
            parts.append(part)
            if link.length is None and (link.body_bytes > MAX_BUFFERED_BYTES or self.wheel.now() > until):
                break
        return b"".join(parts), False

    async def _passed(self, link: Link, attempt: _Attempt, job: Job, sink: Sink, head: h11.Response,
                      first: bytes, took: float) -> AttemptOutcome:
        """The rest of an answer, piece by piece; who stops taking it, or giving it, ends it."""
        self.core.stream_started(job, attempt.server, took)
        self.core.counters.add("streamed")
        stall = self.wheel.after(STALL_TIMEOUT_MS, link.abort)
        whole = False
        try:
            await sink.begin(_kind(head), link.length)
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
            log.info("an answer was broken off: %s", error or type(error).__name__)
        finally:
            stall.cancel()
        return AttemptOutcome(io.Result.OK, took, streamed=True, whole=whole)


def _kind(head: h11.Response) -> bytes:
    return next((v for n, v in head.headers if n == b"content-type"), b"application/octet-stream")


class _NodeError(Exception):
    """The execute node's connection broke under a body."""


class _Attempt:
    """The handle by which an attempt that is out is ended before its answer."""

    __slots__ = ("result", "link", "dialling", "spoilt", "ours", "timer", "began", "server")

    def __init__(self, server: str, began: float) -> None:
        self.server, self.began = server, began
        self.timer = Timer(bool, ())  # ends it when its time is up
        self.result: io.Result | None = None
        self.link: Link | None = None
        self.dialling: asyncio.Future[Link] | None = None
        self.spoilt = ""              # why its answer is of no use
        self.ours = False             # no connection for want of descriptors or memory: not the node's fault

    def spoil(self, why: str) -> None:
        """The answer cannot be used; whoever reads it finds that out here."""
        self.spoilt = why[:100]
        if self.link is not None:
            self.link.abort()

    def stop(self, result: io.Result) -> None:
        """Closes its connection; whoever reads from it finds the result here."""
        if self.result is None:
            self.result = result
            if self.dialling is not None:
                self.dialling.cancel()
            if self.link is not None:
                self.link.abort()
