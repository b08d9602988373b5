"""Drives one Gateway: events go in under one clock, actions come out to the job that each is for.

Nothing here knows a wire.  A front makes a Job, hands in its request and reads the actions from the job's
mailbox; whoever carries out an attempt reports how it ended.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from larklb import interface as io
from larklb.counters import Counters
from larklb.decide import Gateway
from larklb.fleet.leases import FleetLimits
from larklb.quota.catalogue import settings_catalogue
from larklb.quota.entitlements import Entitlements
from larklb.settings_mapping import settings_for_reload
from larklb.wheel import Timer, Wheel

if TYPE_CHECKING:
    from larklb.export.ledger import Ledger, Ticket

log = logging.getLogger(__name__)


class Job:
    """A request that was taken; its task reads what the module decided from here, in order."""

    __slots__ = ("id", "due", "request", "abandoned", "attempts", "abort_attempt", "deadline_timer", "ticket",
                 "may_send", "_mailbox", "_waiter")

    def __init__(self, request: io.Request) -> None:
        self.id = request.request
        self.due = request.due
        self.request = request
        self.abandoned = False
        self.attempts = 0
        # Ends the attempt in progress, if any.
        self.abort_attempt: Callable[[io.Result], None] | None = None
        self.deadline_timer: Timer | None = None
        self.ticket: Ticket | None = None        # its count in the ledger, from its first send on
        self.may_send: Callable[[], bool] | None = None          # asked right before an attempt is written
        self._mailbox: deque[io.Action] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, action: io.Action) -> None:
        self._mailbox.append(action)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def next(self) -> io.Action:
        while not self._mailbox:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._mailbox.popleft()


class Core:
    """One Gateway and the jobs it decides on."""

    def __init__(self, settings: io.Settings, seed: int, wheel: Wheel, counters: Counters,
                 book: Entitlements | None = None, limits: FleetLimits | None = None) -> None:
        self.settings = settings
        self.wheel = wheel
        self.counters = counters
        self.gateway = Gateway(settings, seed, wheel.now(), book, limits)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}           # that requests may name
        self.jobs: dict[str, Job] = {}
        self.send_to_peer: Callable[[int, bytes], None] = lambda peer, data: None
        self.record_draw: Callable[[io.RecordDraw], None] = lambda drawn: None
        self.ledger: Ledger | None = None
        self.crash_point: Callable[[str], object] = bool    # named steps at which tests end it

    def start(self) -> None:
        self._carry_out(self.gateway.start(self.wheel.now()))

    def ping_peers(self) -> None:
        """A word goes to each other limiter, and comes back where the way is open."""
        self._carry_out(self.gateway.ping_peers(self.wheel.now()))

    def zones_changed(self) -> None:
        """An operator has left a zone, or come back to it."""
        self._carry_out(self.gateway.zones_changed(self.wheel.now()))

    def apply_settings(self, settings: io.Settings) -> None:
        """Other settings count from now on, for all that comes; ValueError, and nothing changes, where they
        cannot be taken over in service."""
        kept = settings_for_reload(self.settings, settings, self.gateway.topics)
        if not self.gateway.entitlements.extended:        # else plans are the catalogue's
            self.gateway.entitlements.replace_catalogue(self.wheel.now(), settings_catalogue(kept.plans))
        self.settings = kept
        self.classes = {c.name: c for c in kept.classes}
        self.plans = {p.name for p in settings.plans}
        self.gateway.apply_settings(self.wheel.now(), kept)

    def feed(self, event: io.Event) -> None:
        try:
            actions = self.gateway.handle(self.wheel.now(), event)
        except Exception:
            # The module has recorded what it did before it failed: that much is carried out, so that what it
            # believes to be out really is.
            log.exception("the module failed on %s", type(event).__name__)
            self.counters.add("errors.module")
            actions = self.gateway.actions
            self._carry_out(actions)
            if isinstance(event, io.Request | io.Outcome):
                self._undecided(event.request, actions)
            return
        self._carry_out(actions)

    def _undecided(self, name: str, actions: list[io.Action]) -> None:
        """A job that the module's failure left without a decision fails now, and the module lets go of it."""
        if name in self.jobs and not any(isinstance(a, io.Send | io.Grant | io.Refuse | io.Fail)
                                         and a.request == name for a in actions):
            self.feed(io.ClientGone(name))
            self.jobs[name].put(io.Fail(name))

    def _carry_out(self, actions: list[io.Action]) -> None:
        for a in actions:
            try:
                match a:
                    case io.SetTimer():
                        self.wheel.after(a.after, self.feed, io.Timer(a.timer_id))
                    case io.RecordDraw():
                        self.record_draw(a)           # before what tells of it leaves
                    case io.SendToPeer():
                        self.send_to_peer(a.peer, a.data)
                    case io.Cancel():
                        job = self.jobs.get(a.request)
                        if (job is not None and job.abort_attempt is not None
                                and a.attempt == job.attempts - 1):
                            job.abort_attempt(io.Result.CANCELLED)
                    case io.Send() | io.Grant() | io.Refuse() | io.Fail():
                        if a.request in self.jobs:
                            self.jobs[a.request].put(a)
                    case io.Log():
                        log.info("%s", a.text)
            except Exception:
                # The others are carried out all the same: what the module believes to be out must be.
                log.exception("an action was not carried out: %s", type(a).__name__)
                self.counters.add("errors.action")

    def take(self, request: io.Request) -> Job:
        """From here on the job is owed one final answer."""
        job = Job(request)
        # The module answers before the due time or an attempt times out at it.  Should both fail to
        # happen, the job must still end: the guard stands two ticks behind them.
        job.deadline_timer = self.wheel.after(request.due - self.wheel.now() + 2 * self.settings.tick,
                                       self._overdue, job)
        self.jobs[request.request] = job
        self.feed(request)
        return job

    def _overdue(self, job: Job) -> None:
        self.counters.add("errors.overdue")
        job.put(io.Fail(job.id))
        if job.abort_attempt is not None:
            job.abort_attempt(io.Result.TIMEOUT)

    def abandon(self, job: Job) -> None:
        """Nobody waits for the job any more; an attempt that is out runs on."""
        if job.abandoned or job.id not in self.jobs:
            return
        job.abandoned = True
        self.counters.add("gone")
        self.feed(io.ClientGone(job.id))
        job.put(io.Fail(job.id))

    def body_consumed(self, job: Job) -> None:
        """What the job brings cannot be sent again."""
        self.feed(io.BodyConsumed(job.id))

    def set_due(self, job: Job, due: float) -> None:
        """The job's last byte has come: its time runs from now."""
        job.due = due
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
            job.deadline_timer = self.wheel.after(due - self.wheel.now() + 2 * self.settings.tick,
                                           self._overdue, job)

    def stream_started(self, job: Job, server: str, took: float) -> None:
        """The first bytes of its answer go out: from here on it has no deadline and no other attempt."""
        job.abort_attempt = None
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        self.feed(io.StreamStarted(job.id, job.attempts - 1, server, took))

    def attempt_ended(self, job: Job, server: str, result: io.Result, took: float, spoilt: bool = False,
                stale: bool = False) -> None:
        number, job.attempts, job.abort_attempt = job.attempts - 1, job.attempts, None
        complete = job.abandoned or result is io.Result.OK
        self.counters.add(f"outcome.{result.value}")
        self.feed(
            io.Outcome(
                job.id, number, server, result, took, complete, unreadable=spoilt, server_blameless=stale
            )
        )

    def withdraw(self, job: Job, send: io.Send) -> None:
        """An attempt that the module decided on must not leave: the job is not this limiter's any more."""
        self.feed(io.ClientGone(job.id))
        job.attempts += 1
        self.attempt_ended(job, send.server, io.Result.NOT_SENT, 0.0)

    async def charge(self, job: Job, stamp: io.Stamp | None) -> None:
        """The job's use stands in the ledger on return: its first byte, or its grant, may go out."""
        ledger, r = self.ledger, job.request
        if ledger is None or stamp is None or job.ticket is not None or r.charged:
            return
        key = ledger.key(r.customer, stamp.plan, stamp.version, r.service, stamp.reservation, stamp.beyond)
        if r.quota_only:
            await ledger.use(key, r.units)
        else:
            job.ticket = await ledger.begin(job.id, key, r.units)

    def close(self, job: Job) -> None:
        """The job has had its answer."""
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        if job.ticket is not None and self.ledger is not None:
            self.ledger.end(job.ticket)
        self.jobs.pop(job.id, None)
