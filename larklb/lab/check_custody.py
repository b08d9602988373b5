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
    """One try at its limiter; ``at`` is its next step and ``end`` its outcome."""

    session: HolderSession
    at: str = "claim"
    record: Record | None = None
    end: str = ""


class World:
    """One state of the model.

    ``make`` creates a custodian and ``session_type`` the session of a holder; tests pass faulty
    implementations.
    ``omitted_step`` names a step that every holder omits.
    """

    def __init__(self, start: str = "empty", make: Callable[[int, float], Custodian] | None = None,
                 session_type: type[HolderSession] = HolderSession, omitted_step: str = "") -> None:
        self.make = make or (lambda number, now: Custodian(number, now, KEEP_MS, 1 << 20))
        self.session_type, self.omitted_step = session_type, omitted_step
        self.now = 1000.0
        self.custodians = [self.make(i, self.now) for i in GROUP]
        self.now += KEEP_MS + 1.0
        self.restarted = 0
        self.tries = [self._try(0)]
        self.late: list[tuple[int, CustodyMessage]] = []
        # Times at which the rack ran the job.
        self.runs: list[float] = []
        # Holder of the job, by term.
        self.holders: dict[int, int] = {}
        self.violation = ""
        for name, n in STARTS[start]:
            self.act((name, n))

    def _try(self, number: int) -> Try:
        return Try(self.session_type(10 + number, 1, KEY, BODY, GROUP))

    def actions(self) -> list[Action]:
        found: list[Action] = [("wait", 0), ("long", 0)]
        for i, t in enumerate(self.tries):
            if t.end:
                continue
            if t.at in ("send", "answer", "pass on"):
                found.append(("do", i))
            else:
                found += [("step", i * 10 + n) for n in range(len(REACHED))] + [("deaf", i * 10 + 1)]
            found += [("kill", i), ("beat", i)]
        if len(self.tries) < 2:
            found.append(("return", 0))
        found += [("late", n) for n in range(len(self.late))]
        return found + ([("restart", i) for i in (0, 2)] if not self.restarted else [])

    def act(self, action: Action) -> None:
        name, n = action
        match name:
            case "wait":
                self.now += STEP_MS
            case "long":
                self.now += WINDOW_MS
            case "return":
                self.tries.append(self._try(len(self.tries)))
            case "kill":
                self.tries[n].end = "killed"
            case "beat":
                for c in self.custodians:
                    c.handle(self.now, Heartbeat(self.tries[n].session.limiter_number, 1))
            case "restart":
                self.restarted += 1
                self.custodians[n] = self.make(n, self.now)
            case "late":
                custodian, message = self.late.pop(n)
                self.custodians[custodian].handle(self.now, message)
            case "step":
                self._step(self.tries[n // 10], REACHED[n % 10], True)
            case "deaf":
                self._step(self.tries[n // 10], REACHED[n % 10], False)
            case _:
                self._do(self.tries[n])

    # Steps of a try -----------------------------------------------------------------------

    def _step(self, t: Try, reached: tuple[int, ...], replies_arrive: bool) -> None:
        """Sends the next message of a try to the custodians and processes their replies."""
        if t.end or t.at in ("send", "answer", "pass on"):
            return
        if t.at == "claim":
            outcome = None
            for i, reply in self._replies(t.session.claim(self.now), reached, replies_arrive):
                outcome = t.session.count_claim_reply(i, reply) if outcome is None else outcome
            if outcome is ClaimOutcome.ACQUIRED:
                self._acquire(t)
            elif outcome is ClaimOutcome.ENDED:
                record = t.session.record
                t.end = "answered" if record is not None and record.answer is not None else "failed"
            else:
                for _ in self._replies(t.session.withdraw(), reached, replies_arrive):
                    pass
        else:
            stored = self._store(t, STORED_STATES[t.at], reached, replies_arrive)
            if t.at == "keep answer":
                t.at = "pass on"
                t.end = "" if stored else "unkept"
            elif t.at == "keep unknown":
                t.end = "failed"
            else:
                t.at = "send" if stored else "keep sent"

    def _replies(
        self, message: CustodyMessage, reached: tuple[int, ...], replies_arrive: bool
    ) -> list[tuple[int, Reply | None]]:
        found: list[tuple[int, Reply | None]] = []
        for i in GROUP:
            if i in reached:
                reply = self.custodians[i].handle(self.now, message)
                found.append((i, reply if replies_arrive else None))
            else:
                found.append((i, None))
                if len(self.late) < MAX_LATE and not isinstance(message, Heartbeat):
                    self.late.append((i, message))
        return found

    def _acquire(self, t: Try) -> None:
        if self.holders.setdefault(t.session.term, t.session.limiter_number) != t.session.limiter_number:
            self.violation = f"term {t.session.term} has two holders"
        previous = t.session.record
        sent = previous.sent if previous is not None and self.omitted_step != "forgets" else ()
        t.record = Record(KEY, BODY, 0, 0, 0, 1, JobState.SENT, 1e6, sent)
        t.at = "keep sent" if may_send_again(WINDOW_MS, sent) else "keep unknown"
        if self.omitted_step == "sends first" and t.at == "keep sent":
            t.at = "send"

    def _store(self, t: Try, state: JobState, reached: tuple[int, ...], replies_arrive: bool) -> bool:
        assert t.record is not None
        record = msgspec.structs.replace(t.record, state=state)
        if state is JobState.SENT:
            record = msgspec.structs.replace(record, sent=(*record.sent, SentAttempt("s", "a", 0, 0.0)))
        if state is JobState.ANSWERED:
            record = msgspec.structs.replace(record, answer=StoredAnswer(200, b"", b"done"))
        stored = None
        for i, reply in self._replies(t.session.keep(self.now, record), reached, replies_arrive):
            stored = t.session.count_store_reply(i, reply) if stored is None else stored
        if stored:
            t.record = record
        return bool(stored)

    def _do(self, t: Try) -> None:
        if t.end in ("killed", "served", "failed", "answered"):
            return
        match t.at:
            case "send":
                if self.omitted_step != "sends first" and not t.session.may_send(self.now):
                    # The limiter was suspended past its lease: it stores the record again, or does not send.
                    t.at = "keep sent"
                    assert t.record is not None
                    t.record = msgspec.structs.replace(t.record, sent=t.record.sent[:-1])
                    return
                if not self.runs or self.now - self.runs[0] >= WINDOW_MS:
                    self.runs.append(self.now)
                t.at = "answer"
            case "answer":
                t.at = "pass on" if self.omitted_step == "passes on" else "keep answer"
            case _:
                t.end = "unkept" if t.end == "unkept" else "served"

    # Invariants ---------------------------------------------------------------------------

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        if self.violation:
            return self.violation
        if len(self.runs) > 1:
            return f"the job ran {len(self.runs)} times"
        ends = [t.end for t in self.tries]
        if "served" in ends and "failed" in ends and not self.restarted:
            return "one try was served, and another was told that the job failed"
        return ""

    def find_divergence(self) -> str:
        """Runs a third try with all custodians reachable and returns the violated invariant, if any."""
        for t in self.tries:
            t.end = t.end or "killed"
        for _ in range(3):
            self.act(("wait", 0))
        t = self._try(len(self.tries))
        self.tries.append(t)
        for _ in range(4):
            if not t.end and t.at == "claim":
                self._step(t, REACHED[0], True)
        if t.at == "claim" and not t.end and not self.restarted:
            return "a third try neither has the job nor is told how it ended"
        while not t.end:
            if t.at in ("send", "answer", "pass on"):
                self._do(t)
            else:
                self._step(t, REACHED[0], True)
            if t.at == "claim":
                break
        return self.find_violation()

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states; times are compared in half steps."""
        def age(at: float) -> int:
            return round(min(99.0, max(-99.0, (self.now - at) / STEP_MS * 2)))

        def of(r: Record | None) -> object:
            return None if r is None else (r.term, r.step, r.holder, r.state,
                                           tuple(round(s.age / STEP_MS) for s in r.sent),
                                           r.answer is not None)

        custodians = []
        for c in self.custodians:
            job = c.jobs.get(KEY)
            beats = tuple(sorted((w, age(b[1])) for w, b in c.heartbeats.items()))
            custodians.append(
                (
                    age(c.started_at),
                    beats,
                    None
                    if job is None
                    else (
                        job.term,
                        job.holder,
                        job.start,
                        age(job.last_heard_at),
                        age(job.received_at),
                        of(job.record),
                    ),
                )
            )
        tries = tuple((t.at, t.end, t.session.term, t.session.step, age(t.session.lease_until), of(t.record))
                      for t in self.tries)
        late = tuple((i, type(a).__name__, getattr(a, "term", 0), of(getattr(a, "record", None)))
                     for i, a in self.late)
        return tuple(custodians), tries, late, tuple(age(at) for at in self.runs), self.restarted
