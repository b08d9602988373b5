"""Explores what can become of one job in custody, exhaustively to a depth (see ``check.py``).

Three custodians, and two tries of one key, each at a limiter of its own.  A try claims the job, keeps that it
sends, sends, gets its answer, keeps it, passes it on; each of these steps reaches all custodians, some or
none, with or without their words coming back; what did not arrive may arrive later.  A limiter may be
killed, may rest for any time, and a custodian may start anew, empty.  The node's rack drops repeats within a
window.

No job may run twice, no term may have two holders, and who comes back after an answer was passed on must not
be told that the job failed.  Once words arrive again, a third try must come to an end.  ``STARTS`` are
worlds in which something is under way already.
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
WINDOW = 4000.0            # ms in which the rack drops repeats
KEEP_MS = 20_000.0
STEP = LEASE_MS * 0.6      # ms that a wait takes: two are longer than a lease
REACHED = ((0, 1, 2), (0, 1), (1, 2), (0, 2), (0,), (2,), ())
MOST_LATE = 2              # messages that may arrive later

KEPT_AS = {"keep sent": JobState.SENT, "keep answer": JobState.ANSWERED, "keep unknown": JobState.UNKNOWN}

Steps = tuple[tuple[str, int], ...]
#: Deeds of the first try (0) and of the second (10), by what they reach (an index of REACHED), before the
#: exploration begins; a careless try leaves out what it does not do.
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
    """One try at its limiter; ``at`` is the next thing that it does."""

    hand: HolderSession
    at: str = "claim"
    record: Record | None = None
    end: str = ""


class World:
    """``make`` and ``hand`` give custodians and hands, so that tests can put faults into them; ``careless``
    leaves out a step of whoever holds the job."""

    def __init__(self, start: str = "empty", make: Callable[[int, float], Custodian] | None = None,
                 hand: type[HolderSession] = HolderSession, careless: str = "") -> None:
        self.make = make or (lambda number, now: Custodian(number, now, KEEP_MS, 1 << 20))
        self.kind, self.careless = hand, careless
        self.now = 1000.0
        self.of = [self.make(i, self.now) for i in GROUP]
        self.now += KEEP_MS + 1.0
        self.restarted = 0
        self.tries = [self._try(0)]
        self.late: list[tuple[int, CustodyMessage]] = []
        self.ran: list[float] = []                      # when the job ran, in its rack
        self.holders: dict[int, int] = {}               # by term
        self.fault = ""
        for name, n in STARTS[start]:
            self.act((name, n))

    def _try(self, number: int) -> Try:
        return Try(self.kind(10 + number, 1, KEY, BODY, GROUP))

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
                self.now += STEP
            case "long":
                self.now += WINDOW
            case "return":
                self.tries.append(self._try(len(self.tries)))
            case "kill":
                self.tries[n].end = "killed"
            case "beat":
                for c in self.of:
                    c.handle(self.now, Heartbeat(self.tries[n].hand.number, 1))
            case "restart":
                self.restarted += 1
                self.of[n] = self.make(n, self.now)
            case "late":
                custodian, ask = self.late.pop(n)
                self.of[custodian].handle(self.now, ask)
            case "step":
                self._step(self.tries[n // 10], REACHED[n % 10], True)
            case "deaf":
                self._step(self.tries[n // 10], REACHED[n % 10], False)
            case _:
                self._do(self.tries[n])

    # One try ------------------------------------------------------------------------------

    def _step(self, t: Try, reached: tuple[int, ...], words: bool) -> None:
        """A question to the group, and what its words come to."""
        if t.end or t.at in ("send", "answer", "pass on"):
            return
        if t.at == "claim":
            turn = None
            for i, word in self._words(t.hand.claim(self.now), reached, words):
                turn = t.hand.count_vote(i, word) if turn is None else turn
            if turn is ClaimOutcome.ACQUIRED:
                self._mine(t)
            elif turn is ClaimOutcome.ENDED:
                record = t.hand.record
                t.end = "answered" if record is not None and record.answer is not None else "failed"
            else:
                for _ in self._words(t.hand.withdraw(), reached, words):
                    pass
        else:
            good = self._keep(t, KEPT_AS[t.at], reached, words)
            if t.at == "keep answer":
                t.at = "pass on"
                t.end = "" if good else "unkept"
            elif t.at == "keep unknown":
                t.end = "failed"
            else:
                t.at = "send" if good else "keep sent"

    def _words(
        self, ask: CustodyMessage, reached: tuple[int, ...], words: bool
    ) -> list[tuple[int, Reply | None]]:
        found: list[tuple[int, Reply | None]] = []
        for i in GROUP:
            if i in reached:
                word = self.of[i].handle(self.now, ask)
                found.append((i, word if words else None))
            else:
                found.append((i, None))
                if len(self.late) < MOST_LATE and not isinstance(ask, Heartbeat):
                    self.late.append((i, ask))
        return found

    def _mine(self, t: Try) -> None:
        if self.holders.setdefault(t.hand.term, t.hand.number) != t.hand.number:
            self.fault = f"term {t.hand.term} has two holders"
        told = t.hand.record
        sent = told.sent if told is not None and self.careless != "forgets" else ()
        t.record = Record(KEY, BODY, 0, 0, 0, 1, JobState.SENT, 1e6, sent)
        t.at = "keep sent" if may_send_again(WINDOW, sent) else "keep unknown"
        if self.careless == "sends first" and t.at == "keep sent":
            t.at = "send"

    def _keep(self, t: Try, state: JobState, reached: tuple[int, ...], words: bool) -> bool:
        assert t.record is not None
        record = msgspec.structs.replace(t.record, state=state)
        if state is JobState.SENT:
            record = msgspec.structs.replace(record, sent=(*record.sent, SentAttempt("s", "a", 0, 0.0)))
        if state is JobState.ANSWERED:
            record = msgspec.structs.replace(record, answer=StoredAnswer(200, b"", b"done"))
        good = None
        for i, word in self._words(t.hand.keep(self.now, record), reached, words):
            good = t.hand.count_kept(i, word) if good is None else good
        if good:
            t.record = record
        return bool(good)

    def _do(self, t: Try) -> None:
        if t.end in ("killed", "served", "failed", "answered"):
            return
        match t.at:
            case "send":
                if self.careless != "sends first" and not t.hand.may_send(self.now):
                    t.at = "keep sent"               # it rested: the record is kept anew, or it is not sent
                    assert t.record is not None
                    t.record = msgspec.structs.replace(t.record, sent=t.record.sent[:-1])
                    return
                if not self.ran or self.now - self.ran[0] >= WINDOW:
                    self.ran.append(self.now)
                t.at = "answer"
            case "answer":
                t.at = "pass on" if self.careless == "passes on" else "keep answer"
            case _:
                t.end = "unkept" if t.end == "unkept" else "served"

    # What holds ---------------------------------------------------------------------------

    def find_violation(self) -> str:
        """What does not hold here, if anything."""
        if self.fault:
            return self.fault
        if len(self.ran) > 1:
            return f"the job ran {len(self.ran)} times"
        ends = [t.end for t in self.tries]
        if "served" in ends and "failed" in ends and not self.restarted:
            return "one try was served, and another was told that the job failed"
        return ""

    def find_divergence(self) -> str:
        """With all custodians there, a third try comes to an end."""
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
        """Worlds that look alike go on alike; times count in parts of a step."""
        def age(at: float) -> int:
            return round(min(99.0, max(-99.0, (self.now - at) / STEP * 2)))

        def of(r: Record | None) -> object:
            return None if r is None else (r.term, r.step, r.holder, r.state,
                                           tuple(round(s.age / STEP) for s in r.sent), r.answer is not None)

        custodians = []
        for c in self.of:
            slot = c.keys.get(KEY)
            beats = tuple(sorted((w, age(b[1])) for w, b in c.heartbeats.items()))
            custodians.append(
                (
                    age(c.started_at),
                    beats,
                    None
                    if slot is None
                    else (
                        slot.term,
                        slot.holder,
                        slot.start,
                        age(slot.last_heard_at),
                        age(slot.received_at),
                        of(slot.record),
                    ),
                )
            )
        tries = tuple((t.at, t.end, t.hand.term, t.hand.step, age(t.hand.lease_until), of(t.record))
                      for t in self.tries)
        late = tuple((i, type(a).__name__, getattr(a, "term", 0), of(getattr(a, "record", None)))
                     for i, a in self.late)
        return tuple(custodians), tries, late, tuple(age(at) for at in self.ran), self.restarted
