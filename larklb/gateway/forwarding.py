"""Calls that this limiter has forwarded to another one, until they are answered.

There is no I/O: the caller provides ``send`` and ``after``. An answer settles a call only if it comes from
the machine that was asked, and repeats this process's session id and the call's number. Numbers start at 1 in
each process, so an answer to the previous process, or from another machine, could otherwise settle the wrong
call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from attrs import define, field

from larklb.gateway.messages import CallAnswer, ForwardedCall, Message

AnswerHandler = Callable[[CallAnswer | None], object]

# Time for an answer of another limiter; callers wait for one second.
CALL_TIMEOUT_MS = 850.0
# Calls beyond this number fail at once.
MAX_PENDING_CALLS = 1024


class Cancellable(Protocol):
    """A timer that is running."""

    def cancel(self) -> None:
        """Stops the timer."""


After = Callable[[float, Callable[[], object]], Cancellable]


@define
class PendingCall:
    """A call that was sent to the machine at ``ip``; ``done`` is called with its answer, or with None."""

    ip: str
    done: AnswerHandler
    timer: Cancellable | None = None


@define
class CallForwarder:
    """The forwarded calls of one process. ``session`` is a random id of this process."""

    session: str
    send: Callable[[str, Message], object]
    after: After
    pending: dict[int, PendingCall] = field(factory=dict)
    last_number: int = 0

    def forward(self, ip: str, call: ForwardedCall, done: AnswerHandler) -> None:
        """Forwards a call to the machine at ``ip`` under a number of its own.

        ``done`` is called once: with the answer, or with None if there is none in time."""
        if len(self.pending) >= MAX_PENDING_CALLS:
            done(None)
            return
        self.last_number += 1
        number = self.last_number
        self.pending[number] = pending = PendingCall(ip, done)
        pending.timer = self.after(CALL_TIMEOUT_MS, lambda: self._time_out(number))
        self.send(ip, msgspec.structs.replace(call, number=number, session=self.session))

    def _time_out(self, number: int) -> None:
        if (pending := self.pending.pop(number, None)) is not None:
            pending.done(None)

    def handle_answer(self, answer: CallAnswer) -> bool:
        """Handles an answer; returns whether it has settled a call."""
        pending = self.pending.get(answer.number)
        if pending is None or answer.session != self.session or answer.address != pending.ip:
            return False
        del self.pending[answer.number]
        if pending.timer is not None:
            pending.timer.cancel()
        pending.done(answer)
        return True
