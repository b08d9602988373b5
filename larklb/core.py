"""Drives one Gateway: feeds it events under one clock and routes its actions to the jobs they concern.

This module is independent of any protocol.  A front end submits a request, which creates a Job, and reads the
actions from the job's mailbox; the code that carries out an attempt reports how it ended.
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
    """An accepted request with a mailbox, from which its task reads the gateway's decisions in order."""

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
        # The open entry in the ledger, from the first attempt on.
        self.ticket: Ticket | None = None
        # Called right before an attempt is written to a node; False stops it.
        self.may_send: Callable[[], bool] | None = None
        self._mailbox: deque[io.Action] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, action: io.Action) -> None:
        """Appends an action to the mailbox and wakes its reader."""
        self._mailbox.append(action)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def next(self) -> io.Action:
        """Waits for the next action and removes it from the mailbox."""
        while not self._mailbox:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._mailbox.popleft()


class Core:
    """One Gateway and the jobs that it decides on."""

    def __init__(self, settings: io.Settings, seed: int, wheel: Wheel, counters: Counters,
                 entitlements: Entitlements | None = None, limits: FleetLimits | None = None) -> None:
        self.settings = settings
        self.wheel = wheel
        self.counters = counters
        self.gateway = Gateway(settings, seed, wheel.now(), entitlements, limits)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}           # names allowed in requests
        self.jobs: dict[str, Job] = {}
        self.send_to_peer: Callable[[int, bytes], None] = lambda peer, data: None
        self.record_draw: Callable[[io.RecordDraw], None] = lambda drawn: None
        self.ledger: Ledger | None = None
        # Called with the name of each step at which a test may stop the process.
        self.crash_point: Callable[[str], object] = bool

    def start(self) -> None:
        """Starts the gateway."""
        self._carry_out(self.gateway.start(self.wheel.now()))

    def ping_peers(self) -> None:
        """Sends a ping to each other limiter, which answers if the link works in both directions."""
        self._carry_out(self.gateway.ping_peers(self.wheel.now()))

    def zones_changed(self) -> None:
        """Applies a change of the zones that the operator has taken out of service."""
        self._carry_out(self.gateway.zones_changed(self.wheel.now()))

    def apply_settings(self, settings: io.Settings) -> None:
        """Applies new settings to all later requests.

        Raises ValueError, and changes nothing, if the settings cannot be changed while in service.
        """
        new_settings = settings_for_reload(self.settings, settings, self.gateway.topics)
        if not self.gateway.entitlements.extended:        # else the catalogue defines the plans
            self.gateway.entitlements.replace_catalogue(self.wheel.now(),
                                                        settings_catalogue(new_settings.plans))
        self.settings = new_settings
        self.classes = {c.name: c for c in new_settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.gateway.apply_settings(self.wheel.now(), new_settings)

    def feed(self, event: io.Event) -> None:
        """Passes an event to the gateway and carries out the actions that it returns."""
        try:
            actions = self.gateway.handle(self.wheel.now(), event)
        except Exception:
            # The gateway recorded its actions up to the failure.  They are carried out, so that its state
            # agrees with what was sent.
            log.exception("the gateway failed to handle an event of type %s", type(event).__name__)
            self.counters.add("errors.module")
            actions = self.gateway.actions
            self._carry_out(actions)
            if isinstance(event, io.Request | io.Outcome):
                self._fail_undecided(event.request, actions)
            return
        self._carry_out(actions)

    def _fail_undecided(self, name: str, actions: list[io.Action]) -> None:
        """Fails a job that an error in the gateway left without a decision; the gateway forgets it."""
        if name in self.jobs and not any(isinstance(a, io.Send | io.Grant | io.Refuse | io.Fail)
                                         and a.request == name for a in actions):
            self.feed(io.ClientGone(name))
            self.jobs[name].put(io.Fail(name))

    def _carry_out(self, actions: list[io.Action]) -> None:
        for action in actions:
            try:
                match action:
                    case io.SetTimer():
                        self.wheel.after(action.after, self.feed, io.Timer(action.timer_id))
                    case io.RecordDraw():
                        self.record_draw(action)           # before any message that mentions it is sent
                    case io.SendToPeer():
                        self.send_to_peer(action.peer, action.data)
                    case io.Cancel():
                        job = self.jobs.get(action.request)
                        if (job is not None and job.abort_attempt is not None
                                and action.attempt == job.attempts - 1):
                            job.abort_attempt(io.Result.CANCELLED)
                    case io.Send() | io.Grant() | io.Refuse() | io.Fail():
                        if action.request in self.jobs:
                            self.jobs[action.request].put(action)
                    case io.Log():
                        log.info("%s", action.text)
            except Exception:
                # The other actions are still carried out, so that the gateway's state agrees with what was
                # sent.
                log.exception("failed to carry out an action of type %s", type(action).__name__)
                self.counters.add("errors.action")

    def take(self, request: io.Request) -> Job:
        """Accepts a request; from here on its job must get exactly one final answer."""
        job = Job(request)
        # The gateway answers before the due time, or an attempt times out at it.  In case neither happens,
        # this timer ends the job two ticks later.
        job.deadline_timer = self.wheel.after(request.due - self.wheel.now() + 2 * self.settings.tick,
                                       self._fail_overdue, job)
        self.jobs[request.request] = job
        self.feed(request)
        return job

    def _fail_overdue(self, job: Job) -> None:
        self.counters.add("errors.overdue")
        job.put(io.Fail(job.id))
        if job.abort_attempt is not None:
            job.abort_attempt(io.Result.TIMEOUT)

    def abandon(self, job: Job) -> None:
        """Records that the client has gone; an attempt in progress continues."""
        if job.abandoned or job.id not in self.jobs:
            return
        job.abandoned = True
        self.counters.add("gone")
        self.feed(io.ClientGone(job.id))
        job.put(io.Fail(job.id))

    def body_consumed(self, job: Job) -> None:
        """Records that the request body has been consumed and cannot be sent again."""
        self.feed(io.BodyConsumed(job.id))

    def set_due(self, job: Job, due: float) -> None:
        """Sets a new due time (ms), once the last byte of the request has arrived."""
        job.due = due
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
            job.deadline_timer = self.wheel.after(due - self.wheel.now() + 2 * self.settings.tick,
                                           self._fail_overdue, job)

    def stream_started(self, job: Job, server: str, took: float) -> None:
        """Records that the answer has begun to stream: no deadline applies and no retry is made from here on.

        ``took`` is the time to the first byte in ms.
        """
        job.abort_attempt = None
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        self.feed(io.StreamStarted(job.id, job.attempts - 1, server, took))

    def attempt_ended(self, job: Job, server: str, result: io.Result, took: float, unreadable: bool = False,
                      server_blameless: bool = False) -> None:
        """Reports the result of the job's latest attempt to the gateway; ``took`` is its duration in ms.

        ``unreadable``: the answer could not be parsed.  ``server_blameless``: the failure says nothing about
        the server, for instance because an idle connection had already been closed.
        """
        number, job.attempts, job.abort_attempt = job.attempts - 1, job.attempts, None
        complete = job.abandoned or result is io.Result.OK
        self.counters.add(f"outcome.{result.value}")
        self.feed(
            io.Outcome(
                job.id, number, server, result, took, complete, unreadable=unreadable,
                server_blameless=server_blameless
            )
        )

    def withdraw(self, job: Job, send: io.Send) -> None:
        """Drops an attempt that the gateway decided on, because the job belongs to another limiter now."""
        self.feed(io.ClientGone(job.id))
        job.attempts += 1
        self.attempt_ended(job, send.server, io.Result.NOT_SENT, 0.0)

    async def charge(self, job: Job, stamp: io.Stamp | None) -> None:
        """Records the job's usage in the ledger before its first byte, or its grant, is sent."""
        ledger, request = self.ledger, job.request
        if ledger is None or stamp is None or job.ticket is not None or request.charged:
            return
        key = ledger.key(request.customer, stamp.plan, stamp.version, request.service, stamp.reservation,
                         stamp.beyond)
        if request.quota_only:
            await ledger.record_use(key, request.units)
        else:
            job.ticket = await ledger.begin(job.id, key, request.units)

    def close(self, job: Job) -> None:
        """Removes a job that has received its answer."""
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        if job.ticket is not None and self.ledger is not None:
            self.ledger.end(job.ticket)
        self.jobs.pop(job.id, None)
