"""What follows when an attempt at a server has ended: the answer, another attempt, or which refusal.

The table is the rule: an unsafe request goes out again only after it certainly has not run, and 503 is
answered only where it certainly has not.
"""

from __future__ import annotations

from enum import Enum

from attrs import define


class End(Enum):
    """How an attempt ended."""

    ANSWER = "answer"  # a whole answer of the server, to be passed on
    ERROR = "error"  # the same, a server's error: it has run
    NOT_RUN = "not run"  # the server says that it has not run it
    UNSENT = "unsent"  # no byte of it was written
    BROKEN = "broken"  # written, and no whole answer came: it may have run
    SILENT = "silent"  # the same, for want of time
    ABANDONED = "abandoned"  # the same: it was broken off here, as nobody waits for it


class Next(Enum):
    """What follows."""

    PASS = "pass"  # the server's answer goes on
    AGAIN = "again"  # another server, where tries, time and budget allow it; else ...
    REFUSE = "refuse"  # 503: it has not run
    FAIL = "fail"  # 502: it may have run
    LATE = "late"  # 504: it may have run, and there is no time


#                 safe                        unsafe
TABLE: dict[End, tuple[tuple[Next, Next], tuple[Next, Next]]] = {
    End.ANSWER: ((Next.PASS, Next.PASS), (Next.PASS, Next.PASS)),
    End.ERROR: ((Next.AGAIN, Next.PASS), (Next.PASS, Next.PASS)),
    End.NOT_RUN: ((Next.AGAIN, Next.REFUSE), (Next.AGAIN, Next.REFUSE)),
    End.UNSENT: ((Next.AGAIN, Next.REFUSE), (Next.AGAIN, Next.REFUSE)),
    End.BROKEN: ((Next.AGAIN, Next.FAIL), (Next.FAIL, Next.FAIL)),
    End.SILENT: ((Next.AGAIN, Next.LATE), (Next.LATE, Next.LATE)),
    End.ABANDONED: ((Next.FAIL, Next.FAIL), (Next.FAIL, Next.FAIL)),
}

MOST_UNSENT = 4  # attempts of one request that reach no server at all


@define
class Course:
    """One request's attempts so far."""

    safe: bool
    tries: int  # servers that it may be sent to
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False

    def after(self, end: End) -> tuple[Next, Next]:
        """What follows an attempt's end, and what where that can't be."""
        if end is End.UNSENT:
            self.unsent += 1
        else:
            self.sent += 1
            if end is not End.NOT_RUN:
                self.may_have_run = True
        first, otherwise = TABLE[end][0 if self.safe else 1]
        if first is Next.AGAIN and (self.sent >= self.tries or self.unsent >= MOST_UNSENT):
            first = otherwise
        return self.honest(first), self.honest(otherwise)

    def honest(self, step: Next) -> Next:
        """A refusal promises that nothing has run, so what may have run fails instead."""
        return Next.FAIL if step is Next.REFUSE and self.may_have_run else step

    def costs(self) -> bool:
        """Whether the next attempt is one of those that the budget pays for."""
        return self.sent > 0
