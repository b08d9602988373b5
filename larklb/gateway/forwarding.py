"""Calls that this limiter passes on to another one, until their answers come.

Without I/O: ``post`` and ``after`` are the caller's. An answer settles a call only if it comes from the
machine that was asked, and names this process's session and the call's number: numbers begin anew in each
process, and an answer to the process before, or of a machine that was asked something else, must not settle
a call of this one."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from attrs import define, field

Word = dict[str, Any]
Answered = Callable[[Word | None], object]

CALL_MS = 850.0  # for an answer of another limiter: callers wait a second
MOST_PENDING = 1024  # calls that wait at the same time; more are given up at once


class Cancellable(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """It doesn't go off any more."""


After = Callable[[float, Callable[[], object]], Cancellable]


@define
class Pending:
    """A call that was sent to the machine at ``ip``."""

    ip: str
    done: Answered
    timer: Cancellable | None = None


@define
class Forwarding:
    """Of one process. ``session``: random, of this process alone."""

    session: str
    post: Callable[[str, Word], object]
    after: After
    pending: dict[int, Pending] = field(factory=dict)
    last: int = 0

    def ask(self, ip: str, word: Mapping[str, Any], done: Answered) -> None:
        """Passes a call on; ``done`` is called once, with the answer, or None where none comes in time."""
        if len(self.pending) >= MOST_PENDING:
            done(None)
            return
        self.last += 1
        number = self.last
        self.pending[number] = call = Pending(ip, done)
        call.timer = self.after(CALL_MS, lambda: self._give_up(number))
        self.post(ip, {"k": "call", "n": number, "l": self.session, **word})

    def _give_up(self, number: int) -> None:
        if (call := self.pending.pop(number, None)) is not None:
            call.done(None)

    def answered(self, ip: str, word: Word) -> bool:
        """An answer came from ``ip``; whether it settled a call. KeyError or ValueError where it is none."""
        number = int(word["n"])
        call = self.pending.get(number)
        if call is None or word["l"] != self.session or ip != call.ip:
            return False
        del self.pending[number]
        if call.timer is not None:
            call.timer.cancel()
        call.done(word)
        return True


def answer_to(call: Mapping[str, Any], settled: Mapping[str, Any]) -> Word:
    """The word that answers a call of another limiter."""
    return {"k": "answer", "n": call["n"], "l": call["l"], **settled}
