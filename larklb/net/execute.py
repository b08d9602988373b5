"""The execute nodes: pooled connections and attempts."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from collections import defaultdict
from typing import NamedTuple

import h11

from larklb import interface as io
from larklb.core import Core, Job
from larklb.net.http import Link, TooLongError, dial, finished
from larklb.net.machines import Machines
from larklb.settings import Config

log = logging.getLogger(__name__)

IDLE_PART = 0.4          # of the nodes' own idle limit: a request must not cross the node's close
SOCKETS_PART = 0.3       # of the descriptors may be connections to execute nodes
REST = 10.0              # ms from an answer to the next use of its connection: what follows it has come then
FRESH_LEAST = 40.0       # ms of rest are trusted even where nodes close connections early ...
FRESH_SHRINK = 0.9       # ... the trusted rest shrinks so with each that was found closed ...
FRESH_GROW = 1.02        # ... and grows so with each that was not
SWEPT = 1000.0           # ms between looks for connections that are no longer used
STALE_WITHIN = 20.0      # ms from the send to the reset of a connection that was closed before
ANSWER_REST = 500.0      # ms for the rest of an answer that has begun, and ...
REST_AIM = 1 / 3         # ... more where aims are long: this part of the least
_OURS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
GRACE_PART = 0.8         # of the drain grace is used, the rest is for what lies between us and the node


class Content(NamedTuple):
    """What goes on unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Ended(NamedTuple):
    """How an attempt ended; with OK the answer's type and body."""

    result: io.Result
    took: float
    kind: bytes = b""
    body: bytes = b""
    spoilt: bool = False        # there was an answer, of no use
    stale: bool = False         # the connection had been closed before, or we had no means for one


class Place(NamedTuple):
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
        self.renew(config)
        self.open = 0
        self.pools: defaultdict[Place, list[Link]] = defaultdict(list)
        self._sweep()

    def renew(self, config: Config) -> None:
        """The times of another configuration count from now on."""
        self.dial_timeout = config.dial_timeout
        self.idle_limit = config.conn_idle * IDLE_PART
        self.fresh = min(self.fresh, self.idle_limit)
        self.rest = max(ANSWER_REST, REST_AIM * min(c.aim for c in config.settings.classes))
        self.grace = config.settings.drain_grace * GRACE_PART

    def share(self, shared: bool) -> None:
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
        listed = {Place(name, m.place) for name, m in self.machines.of.items() if m.closed_at is None}
        for place, pool in list(self.pools.items()):
            for link in list(pool):
                if now - link.since > max(self.fresh, SWEPT) or place not in listed:
                    self._drop(place, link)
            if not pool:
                del self.pools[place]

    def _drop(self, place: Place, link: Link) -> None:
        if link in self.pools[place]:
            self.pools[place].remove(link)
        self._end(link)

    def _end(self, link: Link) -> None:
        link.reader.on_end = None
        link.abort()
        self.open -= 1

    def _pooled(self, place: Place) -> Link | None:
        """The connection that was used last, of those that have rested."""
        pool, now = self.pools.get(place, []), self.wheel.now()
        for link in reversed(pool):
            if now - link.since > self.fresh:
                break
            if now - link.since >= REST:
                pool.remove(link)
                link.reader.on_end, link.reader.quiet = None, False
                return link
        return None

    def _learn_fresh(self, rest: float, stale: bool) -> None:
        """How long a connection may rest: nodes close some early, which shows only when one is used."""
        if stale and rest < self.fresh:
            self.fresh = max(FRESH_LEAST, min(self.fresh * FRESH_SHRINK, max(rest, self.fresh / 2)))
        elif not stale and rest > self.fresh / 2:
            self.fresh = min(self.idle_limit, self.fresh * FRESH_GROW)

    def _keep(self, place: Place, link: Link) -> None:
        # Bytes behind an answer belong to no job: the next one's answer would be read from them.
        if self.retired or link.reader.ended() or link.more() or not link.again():
            self._end(link)
            return
        link.since = self.wheel.now()
        link.reader.on_end, link.reader.quiet = lambda: self._drop(place, link), True
        self.pools[place].append(link)

    async def _dial(self, place: Place, within: float, attempt: _Attempt) -> Link | None:
        if self.open >= self.most:
            idle = [(link.since, at) for at, pool in self.pools.items() for link in pool[:1]]
            if not idle:
                self.core.counters.add("errors.no_descriptor")
                attempt.ours = True
                return None
            at = min(idle)[1]
            self._drop(at, self.pools[at][0])
        self.open += 1
        self.core.counters.add("dialled")
        dialling = attempt.dialling = asyncio.ensure_future(dial(*place.address))
        link = None
        try:
            link = await finished(dialling, within, self.wheel)
        finally:
            attempt.dialling = None
            if link is None:
                self.open -= 1
        error = None if link is not None or dialling.cancelled() else dialling.exception()
        if isinstance(error, MemoryError) or isinstance(error, OSError) and error.errno in _OURS:
            self.core.counters.add("errors.no_descriptor")
            attempt.ours = True
        return link

    # Attempts -----------------------------------------------------------------------------

    async def attempt(self, job: Job, send: io.Send, content: Content) -> Ended:
        """One attempt, from the choice of a connection to its one outcome."""
        started = self.wheel.now()
        job.attempts += 1
        machine = self.machines.of.get(send.server)
        left = min(job.due - started, send.timeout or job.due - started)
        if machine is None or left <= 0:
            return Ended(io.Result.MOOT, 0.0)
        place, attempt = Place(send.server, machine.place), _Attempt()
        job.stop = attempt.stop
        timer = self.wheel.after(left, attempt.stop, io.Result.TIMEOUT)
        link: Link | None = None
        kept = False
        try:
            link = self._pooled(place)
            rest = None if link is None else started - link.since
            if link is None:
                link = await self._dial(place, min(left, self.dial_timeout), attempt)
            if link is None:
                result = io.Result.CONNECT_FAILED if attempt.result is None else io.Result.MOOT
                return Ended(result, self.wheel.now() - started, stale=attempt.ours)
            await self.core.count(job, send.stamp)
            if attempt.result is not None:           # called off or out of time before a byte was written
                kept = True
                self._keep(place, link)
                return Ended(io.Result.MOOT, self.wheel.now() - started)
            # The dial may have taken longer than the node's drain grace: nothing new goes there after it.
            if machine.closed_at is not None and self.wheel.now() - machine.closed_at > self.grace:
                self.core.counters.add("held_back.drain")
                return Ended(io.Result.MOOT, self.wheel.now() - started)
            attempt.link = link
            wait = max(0.001, (started + left - self.wheel.now()) / 1000.0)
            link.write(h11.Request(method=content.method, target=content.target, headers=[
                (b"Host", b"service.internal"), *content.headers, (b"X-Time-Left", b"%.3f" % wait)]),
                content.body)
            ended = await self._answer(link, attempt, started, job)
            if rest is not None and ended.result in (io.Result.OK, io.Result.RESET) and not ended.spoilt:
                stale = ended.result is io.Result.RESET and ended.took < STALE_WITHIN
                self._learn_fresh(rest, stale)
                if stale:
                    self.core.counters.add("errors.stale_connection")
                ended = ended._replace(stale=stale)
            if ended.result in (io.Result.OK, io.Result.ERROR, io.Result.FULL):
                kept = True
                self._keep(place, link)
            return ended
        finally:
            timer.cancel()
            job.stop = None
            if link is not None and not kept:
                self._end(link)

    async def _answer(self, link: Link, attempt: _Attempt, started: float, job: Job) -> Ended:
        unsent, got, rest = True, None, []
        try:
            await link.writer.drain()            # returns once the last byte has left
            unsent = False
            self.core.counters.add("sent")
            self.core.counters.add(f"sent.{job.request.service}")
            if job.ticket is not None:
                job.ticket.whole = True
            got = await link.read(begun=lambda: rest.append(
                self.wheel.after(self.rest, attempt.spoil, "it does not end")))
        except OSError:
            pass
        except (h11.RemoteProtocolError, TooLongError) as error:
            if not link.reader.ended():
                attempt.spoil(str(error) or "it is too long")
        finally:
            for timer in rest:
                timer.cancel()
        took = self.wheel.now() - started
        if attempt.result is not None:
            return Ended(attempt.result, took)
        if got is None:
            # Broken before the last byte left: it cannot have run.  After that, or with an answer that
            # nobody can read, it may have.
            if attempt.spoilt:
                self.core.counters.add("errors.spoilt_answer")
                log.info("a spoilt answer: %s", attempt.spoilt)
            result = io.Result.CONNECT_FAILED if unsent else io.Result.RESET
            return Ended(result, took, spoilt=bool(attempt.spoilt))
        head, body = got
        if head.status_code == 200:
            kind = next((v for n, v in head.headers if n == b"content-type"), b"application/octet-stream")
            return Ended(io.Result.OK, took, kind, body)
        unseen = head.status_code in (503, 504) and (b"x-unprocessed", b"1") in list(head.headers)
        return Ended(io.Result.FULL if unseen else io.Result.ERROR, took)


class _Attempt:
    """The handle by which an attempt that is out is ended before its answer."""

    __slots__ = ("result", "link", "dialling", "spoilt", "ours")

    def __init__(self) -> None:
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
