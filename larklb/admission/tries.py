"""What follows an attempt at a server: forwarding the answer, a retry, or an error response.

Two rules govern the table: an unsafe request is sent again only if it certainly has not run, and 503 is
answered only if the request certainly has not run.
"""

from __future__ import annotations

from enum import Enum

from attrs import define


class AttemptOutcome(Enum):
    """How an attempt ended."""

    # A complete answer arrived, to be forwarded.
    ANSWER = "answer"
    # A complete answer that reports a server error: the request has run.
    ERROR = "error"
    # The server states that it has not run the request.
    NOT_RUN = "not run"
    # No byte of the request was written.
    UNSENT = "unsent"
    # The request was written but no complete answer came: it may have run.
    BROKEN = "broken"
    # As BROKEN, because time ran out.
    TIMED_OUT = "silent"
    # As BROKEN, because this limiter aborted the attempt when nobody waited for it any more.
    ABANDONED = "abandoned"


class NextStep(Enum):
    """What the limiter does after an attempt."""

    # Forward the server's answer.
    FORWARD = "pass"
    # Send the request to another server if attempts, time and budget allow it; otherwise the alternative
    # applies.
    RETRY = "again"
    # Answer 503: the request has not run.
    REFUSE = "refuse"
    # Answer 502: the request may have run.
    FAIL = "fail"
    # Answer 504: the request may have run, and there is no time left.
    TIME_OUT = "late"


# For safe and for unsafe requests: the next step, and the alternative if a retry is not possible.
NEXT_STEPS: dict[AttemptOutcome, tuple[tuple[NextStep, NextStep], tuple[NextStep, NextStep]]] = {
    AttemptOutcome.ANSWER: ((NextStep.FORWARD, NextStep.FORWARD), (NextStep.FORWARD, NextStep.FORWARD)),
    AttemptOutcome.ERROR: ((NextStep.RETRY, NextStep.FORWARD), (NextStep.FORWARD, NextStep.FORWARD)),
    AttemptOutcome.NOT_RUN: ((NextStep.RETRY, NextStep.REFUSE), (NextStep.RETRY, NextStep.REFUSE)),
    AttemptOutcome.UNSENT: ((NextStep.RETRY, NextStep.REFUSE), (NextStep.RETRY, NextStep.REFUSE)),
    AttemptOutcome.BROKEN: ((NextStep.RETRY, NextStep.FAIL), (NextStep.FAIL, NextStep.FAIL)),
    AttemptOutcome.TIMED_OUT: ((NextStep.RETRY, NextStep.TIME_OUT), (NextStep.TIME_OUT, NextStep.TIME_OUT)),
    AttemptOutcome.ABANDONED: ((NextStep.FAIL, NextStep.FAIL), (NextStep.FAIL, NextStep.FAIL)),
}

# Attempts of one request that may end before any byte is written.
MAX_UNSENT_ATTEMPTS = 4


@define
class AttemptHistory:
    """The attempts of one request so far.

    ``max_attempts`` bounds the attempts that are sent to a server; ``sent`` and ``unsent`` count the attempts
    that were and were not sent.
    """

    safe: bool
    max_attempts: int
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def record_outcome(self, outcome: AttemptOutcome) -> tuple[NextStep, NextStep]:
        """Record the end of an attempt; return the next step and the alternative if that is not possible."""
        if outcome is AttemptOutcome.UNSENT:
            self.unsent += 1
        else:
            self.sent += 1
            if outcome is not AttemptOutcome.NOT_RUN:
                self.may_have_run = True
        step, alternative = NEXT_STEPS[outcome][0 if self.safe else 1]
        if step is NextStep.RETRY and (self.sent >= self.max_attempts or self.unsent >= MAX_UNSENT_ATTEMPTS):
            step = alternative
        return self.without_false_refusal(step), self.without_false_refusal(alternative)

    def without_false_refusal(self, step: NextStep) -> NextStep:
        """Return ``step``, or FAIL instead of REFUSE if the request may have run: 503 promises it has not."""
        return NextStep.FAIL if step is NextStep.REFUSE and self.may_have_run else step

    def needs_budget(self) -> bool:
        """Return whether the next attempt is a retry, which the retry budget must cover."""
        return self.sent > 0
