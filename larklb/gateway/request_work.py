"""The work on one client request: its attempts, its deadline and what happens when it is ended early.

The rules, which cause ends which work in which phase, are in ``larklb.admission.cancellation``.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar

from attrs import define, field

from larklb.admission.cancellation import TIMEOUT_CAUSES, Action, Cause, Phase, action_for
from larklb.net.http import Link
from larklb.wheel import Timer, Wheel

# Work that continues for longer than one of these bounds after its client has left is counted under it.
CONTINUED_WORK_BOUNDS_MS = (100, 500, 2_000)
T = TypeVar("T")


@define(eq=False)
class Attempt:
    """One attempt at a server: first without a connection, then dialling, then sent on a connection."""

    dialling: asyncio.Future[Link] | None = None
    link: Link | None = None
    # Whether any byte of the request may have been written.
    sent: bool = False
    # Whether its end has been recorded for the server.
    recorded: bool = False
    # What ended the attempt before its answer, if anything did.
    ended_by: Cause | None = None

    @property
    def phase(self) -> Phase:
        """The progress of the attempt."""
        return Phase.DIALLING if self.link is None else Phase.WAITING

    @property
    def timed_out(self) -> bool:
        """Whether the attempt was ended because all the time of the request had been used."""
        return self.ended_by in TIMEOUT_CAUSES

    def end(self, cause: Cause) -> None:
        """Cancels the dial or aborts the connection; whatever awaits it finds ``cause`` in ``ended_by``."""
        if self.ended_by is not None:
            return
        self.ended_by = cause
        if self.dialling is not None:
            self.dialling.cancel()
        if self.link is not None:
            self.link.abort()


@define(eq=False)
class RequestWork:
    """The work on one request, which ends at ``deadline`` (ms of the wheel's clock) at the latest.

    ``safe`` tells whether the request may run more than once. ``count`` takes the counters of what ended the
    work and in which phase.
    """

    wheel: Wheel
    count: Counter[str]
    safe: bool
    deadline: float
    # The cause that applies when ``deadline`` passes.
    deadline_cause: Cause = Cause.DEADLINE
    # The first cause that ended the work.
    ended_by: Cause | None = field(default=None, init=False)
    attempts: set[Attempt] = field(factory=set, init=False)
    # The task that is waiting for the decision on the quota.
    _quota_task: asyncio.Task[object] | None = field(default=None, init=False)
    _quota_task_cancelled: bool = field(default=False, init=False)
    # Whether any attempt may have written a byte of the request.
    sent: bool = field(default=False, init=False)
    _finished: bool = field(default=False, init=False)
    _client_gone_at: float | None = field(default=None, init=False)
    _timer: Timer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._timer = self.wheel.after(self.deadline - self.wheel.now(), self.end, self.deadline_cause)

    def end(self, cause: Cause) -> None:
        """Prevents further attempts, and stops, aborts or continues those in progress as the rules say."""
        if cause is Cause.CLIENT_GONE:
            self._client_gone_at = self.wheel.now()
        if self.ended_by is None:
            self.ended_by = cause
        if self._quota_task is not None and not self._quota_task_cancelled:
            # A second cancellation would count as one by other code.
            self._quota_task_cancelled = True
            self._quota_task.cancel()
        if not self.attempts:
            phase = Phase.CHOOSING if self._quota_task is None else Phase.QUOTA
            self._count_end(cause, phase, action_for(cause, phase, safe=self.safe))
        for attempt in tuple(self.attempts):
            self._end_attempt(attempt, cause)

    def end_attempts(self, cause: Cause = Cause.OTHER_ANSWERED) -> None:
        """Ends the attempts that are still in progress once another one has returned the answer."""
        for attempt in tuple(self.attempts):
            self._end_attempt(attempt, cause)

    def _end_attempt(self, attempt: Attempt, cause: Cause) -> None:
        action = action_for(cause, attempt.phase, safe=self.safe)
        self._count_end(cause, attempt.phase, action)
        if action is not Action.FINISH:
            attempt.end(cause)

    def _count_end(self, cause: Cause, phase: Phase, action: Action) -> None:
        kind = "safe" if self.safe else "unsafe"
        self.count[f"ended.{cause.value}.{phase.value}.{kind}.{action.value}"] += 1

    async def run_unless_ended(self, quota_request: Awaitable[T]) -> T | None:
        """Awaits ``quota_request``; cancels it and returns None as soon as the work is ended."""
        task = self._quota_task = asyncio.current_task()
        assert task is not None
        try:
            return await quota_request
        except asyncio.CancelledError:
            # As in ``asyncio.timeout``, a cancellation by other code is passed on.
            if self.ended_by is None or task.uncancel() > 0:
                raise
            return None
        finally:
            self._quota_task = None

    @property
    def may_attempt(self) -> bool:
        """Whether a further attempt is allowed: the work has neither been ended nor finished."""
        return self.ended_by is None and not self._finished

    @property
    def abandoned(self) -> bool:
        """Whether the work was ended for another reason than a timeout."""
        return self.ended_by is not None and self.ended_by not in TIMEOUT_CAUSES

    def start_attempt(self) -> Attempt:
        """Adds and returns a new attempt; the caller must call ``finish_attempt`` when it has ended."""
        attempt = Attempt()
        self.attempts.add(attempt)
        return attempt

    def finish_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended, for whatever reason."""
        self.attempts.discard(attempt)
        self.sent = self.sent or attempt.sent
        self._clean_up()

    def finish(self) -> None:
        """Records that the request has its answer, or that nobody waits for it any more.

        An attempt that is allowed to run to its end keeps its deadline."""
        self._finished = True
        self._clean_up()

    def _clean_up(self) -> None:
        """Cancels the timer and counts work that outlasted its client, once nothing is in progress."""
        if not self._finished or self.attempts:
            return
        self._timer.cancel()
        if self._client_gone_at is None:
            return
        continued_ms = self.wheel.now() - self._client_gone_at
        kind = "safe" if self.safe else "unsafe"
        for bound in CONTINUED_WORK_BOUNDS_MS:
            if continued_ms > bound:
                self.count[f"client_gone.{kind}.went_on.{bound}ms"] += 1
