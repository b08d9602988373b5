"""One client's request while it is in work; the table in ``admission.cancellation`` says what ends it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar

from attrs import define, field

from larklb.admission.cancellation import TIMEOUT_CAUSES, Action, Cause, Phase, action_for
from larklb.net.http import Link
from larklb.wheel import Timer, Wheel

CONTINUED_WORK_BOUNDS_MS = (
    100,
    500,
    2_000,
)  # work that ended later than this after its client's close is counted
T = TypeVar("T")


@define(eq=False)
class Attempt:
    """One attempt at a server: first it has neither, then a dial, then a connection on which it was sent."""

    dialling: asyncio.Future[Link] | None = None
    link: Link | None = None
    ended_by: Cause | None = None  # what ended it before its answer

    @property
    def phase(self) -> Phase:
        """How far it has come."""
        return Phase.DIALLING if self.link is None else Phase.WAITING

    @property
    def out_of_time(self) -> bool:
        """Whether its server had all the time there was."""
        return self.ended_by in TIMEOUT_CAUSES

    def end(self, cause: Cause) -> None:
        """Calls its dial off, or closes its connection; whoever waits for it finds the cause here."""
        if self.ended_by is not None:
            return
        self.ended_by = cause
        if self.dialling is not None:
            self.dialling.cancel()
        if self.link is not None:
            self.link.abort()


@define(eq=False)
class RequestWork:
    """One request in work, until ``due`` (wheel's ms); ``count`` takes what ends it and when."""

    wheel: Wheel
    count: Counter[str]
    safe: bool
    due: float
    limit: Cause = Cause.DEADLINE  # whose time ends at ``due``
    ended_by: Cause | None = field(default=None, init=False)  # the first of what ended it
    attempts: set[Attempt] = field(factory=set, init=False)
    _asking: asyncio.Task[object] | None = field(default=None, init=False)  # waits for a quota
    _answered: bool = field(default=False, init=False)
    _closed_at: float | None = field(default=None, init=False)
    _timer: Timer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._timer = self.wheel.after(self.due - self.wheel.now(), self.end, self.limit)

    def end(self, cause: Cause) -> None:
        """No further attempt follows; what becomes of those under way stands in the table."""
        if cause is Cause.CLIENT_GONE:
            self._closed_at = self.wheel.now()
        if self.ended_by is None:
            self.ended_by = cause
        if self._asking is not None:
            self._asking.cancel()
        if not self.attempts:
            phase = Phase.CHOOSING if self._asking is None else Phase.QUOTA
            self._counted(cause, phase, action_for(cause, phase, safe=self.safe))
        for attempt in tuple(self.attempts):
            self._end_attempt(attempt, cause)

    def end_others(self, cause: Cause = Cause.OTHER_ANSWERED) -> None:
        """One attempt has brought the answer: for those that are left."""
        for attempt in tuple(self.attempts):
            self._end_attempt(attempt, cause)

    def _end_attempt(self, attempt: Attempt, cause: Cause) -> None:
        chosen = action_for(cause, attempt.phase, safe=self.safe)
        self._counted(cause, attempt.phase, chosen)
        if chosen is not Action.FINISH:
            attempt.end(cause)

    def _counted(self, cause: Cause, phase: Phase, chosen: Action) -> None:
        kind = "safe" if self.safe else "unsafe"
        self.count[f"ended.{cause.value}.{phase.value}.{kind}.{chosen.value}"] += 1

    async def unless_ended(self, asked: Awaitable[T]) -> T | None:
        """What comes of ``asked``; None as soon as the work is ended, and ``asked`` is called off."""
        task = self._asking = asyncio.current_task()
        assert task is not None
        try:
            return await asked
        except asyncio.CancelledError:
            # As ``asyncio.timeout`` does: a cancellation by anybody else goes on.
            if self.ended_by is None or task.uncancel() > 0:
                raise
            return None
        finally:
            self._asking = None

    @property
    def wanted(self) -> bool:
        """Whether a further attempt is of use to anybody."""
        return self.ended_by is None and not self._answered

    @property
    def abandoned(self) -> bool:
        """Whether it was ended while there was still time."""
        return self.ended_by is not None and self.ended_by not in TIMEOUT_CAUSES

    def attempted(self) -> Attempt:
        """A new attempt; ``attempt_over`` is to be called at its end."""
        attempt = Attempt()
        self.attempts.add(attempt)
        return attempt

    def attempt_over(self, attempt: Attempt) -> None:
        """An attempt has ended, however it did."""
        self.attempts.discard(attempt)
        self._rest()

    def answered(self) -> None:
        """The request has its answer, or nobody waits for it; an attempt that finishes keeps its deadline."""
        self._answered = True
        self._rest()

    def _rest(self) -> None:
        if not self._answered or self.attempts:
            return
        self._timer.cancel()
        if self._closed_at is None:
            return
        went_on = self.wheel.now() - self._closed_at
        kind = "safe" if self.safe else "unsafe"
        for bound in CONTINUED_WORK_BOUNDS_MS:
            if went_on > bound:
                self.count[f"client_gone.{kind}.went_on.{bound}ms"] += 1
