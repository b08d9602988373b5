"""Exhaustive exploration of one job in custody, up to a depth (see ``check.py``).

The model has three custodians and two tries of one key, each at a limiter of its own.  A try claims the job,
stores that it is about to send, sends, receives the answer, stores the answer and passes it on.  Each message
reaches all custodians, some or none, with or without their replies arriving; a message that did not arrive
may arrive later.  A limiter may be killed or suspended for any time, and a custodian may restart with empty
state.  The node's rack drops duplicates within a window.

The job must not run twice, no term may have two holders, and a client that repeats its request after an
answer was passed on must not be told that the job failed.  Once messages arrive again, a third try must come
to an end.  ``STARTS`` are worlds in which something is in progress already.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from larklb.fleet.custody import (
    LEASE_MS,
    ClaimOutcome,
    Custodian,
    CustodyMessage,
    Heartbeat,
    HolderSession,
    JobState,
    Record,
    Reply,
    SentAttempt,
    StoredAnswer,
    may_send_again,
)
from larklb.lab.check import Action

KEY, BODY = 7, 1
GROUP = (0, 1, 2)
# Time in which the rack drops duplicates.
WINDOW_MS = 4000.0
KEEP_MS = 20_000.0
# Duration of a wait.  Two waits are longer than a lease.
STEP_MS = LEASE_MS * 0.6
# Sets of custodians that a message may reach.
REACHED = ((0, 1, 2), (0, 1), (1, 2), (0, 2), (0,), (2,), ())
# Bound on the messages that may arrive later.
MAX_LATE = 2

STORED_STATES = {
    "keep sent": JobState.SENT, "keep answer": JobState.ANSWERED, "keep unknown": JobState.UNKNOWN}

Steps = tuple[tuple[str, int], ...]
#: Actions of the first try (0) and the second (10) before the exploration begins; the last digit of a step is
#: the index in ``REACHED``.  A try that omits a step ignores the actions that do not apply to it.
STARTS: dict[str, Steps] = {
    "empty": (),
    "claimed": (("step", 0),),
    "two claims": (("step", 0), ("wait", 0), ("wait", 0), ("return", 0), ("step", 10), ("step", 10),
                   ("step", 0)),
    "sent": (("step", 0), ("step", 1), ("do", 0)),
    "about to send, and taken over": (("step", 0), ("step", 1), ("wait", 0), ("wait", 0), ("return", 0),
                                      ("step", 10), ("step", 10), ("step", 10)),
    "sent and away": (("step", 0), ("step", 1), ("do", 0), ("kill", 0), ("wait", 0), ("wait", 0),
                      ("return", 0)),
    "sent and long away": (("step", 0), ("step", 1), ("do", 0), ("kill", 0), ("long", 0), ("return", 0)),
    "answered": (("step", 0), ("step", 1), ("do", 0), ("do", 0), ("step", 1), ("do", 0), ("long", 0),
                 ("return", 0)),
}


@dataclass
class Try:
    """One try at its limiter; ``outcome`` is empty while it is in progress."""

    session: HolderSession
    next_step: str = "claim"
    record: Record | None = None
    outcome: str = ""


class World:
    """One state of the model.

    ``make`` creates a custodian and ``session_type`` the session of a holder; tests pass faulty
    implementations.  ``omitted_step`` names a step that every holder omits: "sends first" (it sends before
    the record is stored and without a check of its lease), "passes on" (it does not store the answer) or
    "forgets" (it ignores the attempts of earlier holders).
    """

    def __init__(self, start: str = "empty", make: Callable[[int, float], Custodian] | None = None,
                 session_type: type[HolderSession] = HolderSession, omitted_step: str = "") -> None:
        self.make = make or (lambda number, now: Custodian(number, now, KEEP_MS, 1 << 20))
        self.session_type, self.omitted_step = session_type, omitted_step
        self.now = 1000.0
        self.custodians = [self.make(i, self.now) for i in GROUP]
        self.now += KEEP_MS + 1.0
        self.restarted = 0
        self.tries = [self._new_try(0)]
        # Messages that may arrive later, with the custodians that they are sent to.
        self.late: list[tuple[int, CustodyMessage]] = []
        # Times at which the rack ran the job.
        self.runs: list[float] = []
        # Holder of the job, by term.
        self.holders: dict[int, int] = {}
        self.violation = ""
        for name, n in STARTS[start]:
            self.perform_action((name, n))

    def _new_try(self, number: int) -> Try:
        return Try(self.session_type(10 + number, 1, KEY, BODY, GROUP))

    def enabled_actions(self) -> list[Action]:
        """Returns the actions that are possible in this state.

        The argument of ``step`` and ``deaf`` is ten times the number of the try, plus an index in
        ``REACHED``; with ``deaf`` the replies are lost.
        """
        enabled: list[Action] = [("wait", 0), ("long", 0)]
        for number, attempt in enumerate(self.tries):
            if attempt.outcome:
                continue
            if attempt.next_step in ("send", "answer", "pass on"):
                enabled.append(("do", number))
            else:
                enabled += [("step", number * 10 + index) for index in range(len(REACHED))] + [
                    ("deaf", number * 10 + 1)]
            enabled += [("kill", number), ("beat", number)]
        if len(self.tries) < 2:
            enabled.append(("return", 0))
        enabled += [("late", index) for index in range(len(self.late))]
        return enabled + ([("restart", number) for number in (0, 2)] if not self.restarted else [])

    def perform_action(self, action: Action) -> None:
        """Performs an action, which changes this state."""
        name, argument = action
        match name:
            case "wait":
                self.now += STEP_MS
            case "long":
                self.now += WINDOW_MS
            case "return":
                self.tries.append(self._new_try(len(self.tries)))
            case "kill":
                self.tries[argument].outcome = "killed"
            case "beat":
                for custodian in self.custodians:
                    custodian.handle(self.now, Heartbeat(self.tries[argument].session.limiter_number, 1))
            case "restart":
                self.restarted += 1
                self.custodians[argument] = self.make(argument, self.now)
            case "late":
                number, message = self.late.pop(argument)
                self.custodians[number].handle(self.now, message)
            case "step":
                self._send_next_message(self.tries[argument // 10], REACHED[argument % 10], True)
            case "deaf":
                self._send_next_message(self.tries[argument // 10], REACHED[argument % 10], False)
            case _:
                self._perform_local_step(self.tries[argument])

    # Steps of a try -----------------------------------------------------------------------

    def _send_next_message(self, attempt: Try, reached: tuple[int, ...], replies_arrive: bool) -> None:
        """Sends the next message of a try to the custodians and processes their replies."""
        if attempt.outcome or attempt.next_step in ("send", "answer", "pass on"):
            return
        if attempt.next_step == "claim":
            claim_outcome = None
            for number, reply in self._replies(attempt.session.claim(self.now), reached, replies_arrive):
                claim_outcome = (
                    attempt.session.count_claim_reply(number, reply)
                    if claim_outcome is None else claim_outcome)
            if claim_outcome is ClaimOutcome.ACQUIRED:
                self._acquire(attempt)
            elif claim_outcome is ClaimOutcome.ENDED:
                record = attempt.session.record
                attempt.outcome = "answered" if record is not None and record.answer is not None else "failed"
            else:
                for _ in self._replies(attempt.session.withdraw(), reached, replies_arrive):
                    pass
        else:
            stored = self._store(attempt, STORED_STATES[attempt.next_step], reached, replies_arrive)
            if attempt.next_step == "keep answer":
                attempt.next_step = "pass on"
                attempt.outcome = "" if stored else "unkept"
            elif attempt.next_step == "keep unknown":
                attempt.outcome = "failed"
            else:
                attempt.next_step = "send" if stored else "keep sent"

    def _replies(
        self, message: CustodyMessage, reached: tuple[int, ...], replies_arrive: bool
    ) -> list[tuple[int, Reply | None]]:
        """Sends a message to all custodians and returns their numbers and replies, None if there is none."""
        replies: list[tuple[int, Reply | None]] = []
        for number in GROUP:
            if number in reached:
                reply = self.custodians[number].handle(self.now, message)
                replies.append((number, reply if replies_arrive else None))
            else:
                replies.append((number, None))
                if len(self.late) < MAX_LATE and not isinstance(message, Heartbeat):
                    self.late.append((number, message))
        return replies

    def _acquire(self, attempt: Try) -> None:
        """Lets a try proceed as the holder of the job."""
        if (self.holders.setdefault(attempt.session.term, attempt.session.limiter_number)
                != attempt.session.limiter_number):
            self.violation = f"term {attempt.session.term} has two holders"
        previous = attempt.session.record
        sent = previous.sent if previous is not None and self.omitted_step != "forgets" else ()
        attempt.record = Record(KEY, BODY, 0, 0, 0, 1, JobState.SENT, 1e6, sent)
        attempt.next_step = "keep sent" if may_send_again(WINDOW_MS, sent) else "keep unknown"
        if self.omitted_step == "sends first" and attempt.next_step == "keep sent":
            attempt.next_step = "send"

    def _store(self, attempt: Try, state: JobState, reached: tuple[int, ...], replies_arrive: bool) -> bool:
        """Sends the record of a try in a new state to the custodians; returns whether it is stored."""
        assert attempt.record is not None
        record = msgspec.structs.replace(attempt.record, state=state)
        if state is JobState.SENT:
            record = msgspec.structs.replace(record, sent=(*record.sent, SentAttempt("s", "a", 0, 0.0)))
        if state is JobState.ANSWERED:
            record = msgspec.structs.replace(record, answer=StoredAnswer(200, b"", b"done"))
        stored = None
        for number, reply in self._replies(attempt.session.keep(self.now, record), reached, replies_arrive):
            stored = attempt.session.count_store_reply(number, reply) if stored is None else stored
        if stored:
            attempt.record = record
        return bool(stored)

    def _perform_local_step(self, attempt: Try) -> None:
        """Performs the next step of a try that needs no custodian: send, receive the answer or pass it on."""
        if attempt.outcome in ("killed", "served", "failed", "answered"):
            return
        match attempt.next_step:
            case "send":
                if self.omitted_step != "sends first" and not attempt.session.may_send(self.now):
                    # The limiter was suspended past its lease: it stores the record again, or does not send.
                    attempt.next_step = "keep sent"
                    assert attempt.record is not None
                    attempt.record = msgspec.structs.replace(attempt.record, sent=attempt.record.sent[:-1])
                    return
                if not self.runs or self.now - self.runs[0] >= WINDOW_MS:
                    self.runs.append(self.now)
                attempt.next_step = "answer"
            case "answer":
                attempt.next_step = "pass on" if self.omitted_step == "passes on" else "keep answer"
            case _:
                attempt.outcome = "unkept" if attempt.outcome == "unkept" else "served"

    # Invariants ---------------------------------------------------------------------------

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        if self.violation:
            return self.violation
        if len(self.runs) > 1:
            return f"the job ran {len(self.runs)} times"
        outcomes = [attempt.outcome for attempt in self.tries]
        if "served" in outcomes and "failed" in outcomes and not self.restarted:
            return "one try was served, and another was told that the job failed"
        return ""

    def find_divergence(self) -> str:
        """Runs a third try with all custodians reachable and returns the violated invariant, if any."""
        for attempt in self.tries:
            attempt.outcome = attempt.outcome or "killed"
        for _ in range(3):
            self.perform_action(("wait", 0))
        attempt = self._new_try(len(self.tries))
        self.tries.append(attempt)
        for _ in range(4):
            if not attempt.outcome and attempt.next_step == "claim":
                self._send_next_message(attempt, REACHED[0], True)
        if attempt.next_step == "claim" and not attempt.outcome and not self.restarted:
            return "a third try neither has the job nor is told how it ended"
        while not attempt.outcome:
            if attempt.next_step in ("send", "answer", "pass on"):
                self._perform_local_step(attempt)
            else:
                self._send_next_message(attempt, REACHED[0], True)
            if attempt.next_step == "claim":
                break
        return self.find_violation()

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states; times are compared in half steps."""
        def age(time_ms: float) -> int:
            return round(min(99.0, max(-99.0, (self.now - time_ms) / STEP_MS * 2)))

        def state_of(record: Record | None) -> object:
            return None if record is None else (
                record.term, record.step, record.holder, record.state,
                tuple(round(sent.age / STEP_MS) for sent in record.sent), record.answer is not None)

        custodians = []
        for custodian in self.custodians:
            job = custodian.jobs.get(KEY)
            heartbeats = tuple(sorted(
                (holder, age(heartbeat[1])) for holder, heartbeat in custodian.heartbeats.items()))
            custodians.append(
                (
                    age(custodian.started_at),
                    heartbeats,
                    None
                    if job is None
                    else (
                        job.term,
                        job.holder,
                        job.start,
                        age(job.last_heard_at),
                        age(job.received_at),
                        state_of(job.record),
                    ),
                )
            )
        tries = tuple(
            (attempt.next_step, attempt.outcome, attempt.session.term, attempt.session.step,
             age(attempt.session.lease_until), state_of(attempt.record)) for attempt in self.tries)
        late = tuple(
            (number, type(message).__name__, getattr(message, "term", 0),
             state_of(getattr(message, "record", None))) for number, message in self.late)
        return tuple(custodians), tries, late, tuple(age(run_at) for run_at in self.runs), self.restarted
