"""What follows when an attempt at a server has ended: the answer, another attempt, or which refusal.

The table is the rule: an unsafe request goes out again only after it certainly has not run, and 503 is
answered only where it certainly has not.
"""

from __future__ import annotations

from enum import Enum

from attrs import define


class AttemptOutcome(Enum):
    """How an attempt ended."""

    ANSWER = "answer"  # a whole answer of the server, to be passed on
    ERROR = "error"  # the same, a server's error: it has run
    NOT_RUN = "not run"  # the server says that it has not run it
    UNSENT = "unsent"  # no byte of it was written
    BROKEN = "broken"  # written, and no whole answer came: it may have run
    TIMED_OUT = "silent"  # the same, for want of time
    ABANDONED = "abandoned"  # the same: it was broken off here, as nobody waits for it


class NextStep(Enum):
    """What follows."""

    FORWARD = "pass"  # the server's answer goes on
    RETRY = "again"  # another server, where tries, time and budget allow it; else ...
    REFUSE = "refuse"  # 503: it has not run
    FAIL = "fail"  # 502: it may have run
    TIME_OUT = "late"  # 504: it may have run, and there is no time


#                 safe                        unsafe
NEXT_STEPS: dict[AttemptOutcome, tuple[tuple[NextStep, NextStep], tuple[NextStep, NextStep]]] = {
    AttemptOutcome.ANSWER: ((NextStep.FORWARD, NextStep.FORWARD), (NextStep.FORWARD, NextStep.FORWARD)),
    AttemptOutcome.ERROR: ((NextStep.RETRY, NextStep.FORWARD), (NextStep.FORWARD, NextStep.FORWARD)),
    AttemptOutcome.NOT_RUN: ((NextStep.RETRY, NextStep.REFUSE), (NextStep.RETRY, NextStep.REFUSE)),
    AttemptOutcome.UNSENT: ((NextStep.RETRY, NextStep.REFUSE), (NextStep.RETRY, NextStep.REFUSE)),
    AttemptOutcome.BROKEN: ((NextStep.RETRY, NextStep.FAIL), (NextStep.FAIL, NextStep.FAIL)),
    AttemptOutcome.TIMED_OUT: ((NextStep.RETRY, NextStep.TIME_OUT), (NextStep.TIME_OUT, NextStep.TIME_OUT)),
    AttemptOutcome.ABANDONED: ((NextStep.FAIL, NextStep.FAIL), (NextStep.FAIL, NextStep.FAIL)),
}

MAX_UNSENT_ATTEMPTS = 4  # attempts of one request that reach no server at all


@define
class AttemptHistory:
    """One request's attempts so far."""

    safe: bool
    max_attempts: int  # servers that it may be sent to
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def record_outcome(self, end: AttemptOutcome) -> tuple[NextStep, NextStep]:
        """What follows an attempt's end, and what where that can't be."""
        if end is AttemptOutcome.UNSENT:
            self.unsent += 1
        else:
            self.sent += 1
            if end is not AttemptOutcome.NOT_RUN:
                self.may_have_run = True
        first, otherwise = NEXT_STEPS[end][0 if self.safe else 1]
        if first is NextStep.RETRY and (self.sent >= self.max_attempts or self.unsent >= MAX_UNSENT_ATTEMPTS):
            first = otherwise
        return self.without_false_refusal(first), self.without_false_refusal(otherwise)

    def without_false_refusal(self, step: NextStep) -> NextStep:
        """A refusal promises that nothing has run, so what may have run fails instead."""
        return NextStep.FAIL if step is NextStep.REFUSE and self.may_have_run else step

    def needs_budget(self) -> bool:
        """Whether the next attempt is one of those that the budget pays for."""
        return self.sent > 0
