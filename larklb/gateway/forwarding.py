"""Calls that this limiter passes on to another one, until their answers come.

Without I/O: ``send`` and ``after`` are the caller's. An answer settles a call only if it comes from the
machine that was asked, and names this process's session and the call's number: numbers begin anew in each
process, and an answer to the process before, or of a machine that was asked something else, must not settle
a call of this one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from attrs import define, field

from larklb.gateway.messages import CallAnswer, ForwardedCall, Message

Answered = Callable[[CallAnswer | None], object]

CALL_MS = 850.0  # for an answer of another limiter: callers wait a second
MAX_PENDING_CALLS = 1024  # calls that wait at the same time; more are given up at once


class Cancellable(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """It doesn't go off any more."""


After = Callable[[float, Callable[[], object]], Cancellable]


@define
class PendingCall:
    """A call that was sent to the machine at ``ip``."""

    ip: str
    done: Answered
    timer: Cancellable | None = None


@define
class CallForwarder:
    """Of one process. ``session``: random, of this process alone."""

    session: str
    send: Callable[[str, Message], object]
    after: After
    pending: dict[int, PendingCall] = field(factory=dict)
    last: int = 0

    def forward(self, ip: str, call: ForwardedCall, done: Answered) -> None:
        """Passes a call on, under a number and session of its own; ``done`` is called once, with the answer,
        or None where none comes in time."""
        if len(self.pending) >= MAX_PENDING_CALLS:
            done(None)
            return
        self.last += 1
        number = self.last
        self.pending[number] = pending = PendingCall(ip, done)
        pending.timer = self.after(CALL_MS, lambda: self._give_up(number))
        self.send(ip, msgspec.structs.replace(call, number=number, session=self.session))

    def _give_up(self, number: int) -> None:
        if (pending := self.pending.pop(number, None)) is not None:
            pending.done(None)

    def handle_answer(self, answer: CallAnswer) -> bool:
        """An answer has come; whether it settled a call."""
        pending = self.pending.get(answer.number)
        if pending is None or answer.session != self.session or answer.address != pending.ip:
            return False
        del self.pending[answer.number]
        if pending.timer is not None:
            pending.timer.cancel()
        pending.done(answer)
        return True
