"""Exhaustive exploration of the exchange of findings between three limiters (see ``check.py``).

The model has one server and one service class.  Limiters record good or bad evidence, send findings to peers
and restart; messages are delivered, duplicated or lost in every order; a link may be cut.  In no state may a
verdict rest on fewer observers than the quorum.  Once all findings have been exchanged, all limiters must
hold the same findings, the newest of each.  Time advances by one stamp with each finding, so that nothing
decays within the depth.
"""

from __future__ import annotations

from collections.abc import Callable

from larklb.fleet.verdicts import BAD_SLOWNESS, QUORUM, Finding, Verdicts
from larklb.lab.check import Action

LIMITERS = 3
SUBJECT, TOPIC = 7, 1
NAME = SUBJECT, TOPIC
# Bound on the messages in flight at the same time.
MAX_MESSAGES = 2
# Time between findings, and their half-life, so long that nothing decays during an exploration.
STEP_MS, HALF_LIFE_MS = 1000.0, 1e9


def make_verdicts(number: int) -> Verdicts:
    """Returns the verdicts of a limiter in a fleet that is large enough for a quorum of two."""
    return Verdicts(number, 8, HALF_LIFE_MS)


class World:
    """One state of the model.

    ``make`` creates the verdicts of a limiter; tests pass faulty implementations.
    """

    def __init__(self, make: Callable[[int], Verdicts] = make_verdicts) -> None:
        self.make = make
        self.now = STEP_MS
        self.verdicts = [make(i) for i in range(LIMITERS)]
        self.starts = [1] * LIMITERS
        # Limiters that have ever found the subject bad.
        self.observers: set[int] = set()
        self.in_flight: list[tuple[int, int, Finding]] = []
        self.cut: int | None = None

    def actions(self) -> list[Action]:
        found: list[Action] = []
        for i, v in enumerate(self.verdicts):
            found += [("bad", i), ("good", i)]
            if self.starts[i] < 2:
                found.append(("restart", i))
            if len(self.in_flight) < MAX_MESSAGES and v.unsent:
                found += [("tell", i * LIMITERS + j) for j in range(LIMITERS) if j != i]
        for n in range(len(self.in_flight)):
            found += [("deliver", n), ("repeat", n), ("lose", n)]
        return found + ([("cut", 0)] if self.cut is None else [("heal", 0)])

    def act(self, action: Action) -> None:
        name, n = action
        match name:
            case "bad" | "good":
                self.now += STEP_MS
                self.verdicts[n].record_evidence(self.now, SUBJECT, TOPIC, 8.0 if name == "bad" else 1.0)
                self.observers |= {n} if name == "bad" else set()
            case "restart":
                self.starts[n] += 1
                self.verdicts[n] = self.make(n)
            case "tell":
                self._send(*divmod(n, LIMITERS))
            case "cut" | "heal":
                self.cut = 0 if name == "cut" else None
            case "lose":
                self.in_flight.pop(n)
            case _:
                sender, to, finding = self.in_flight[n] if name == "repeat" else self.in_flight.pop(n)
                self.verdicts[to].receive(self.now, sender, finding)

    def _send(self, sender: int, to: int) -> None:
        for finding in self.verdicts[sender].findings_for(self.now, to, 1):
            if self.cut is None or self.cut not in (sender, to):
                self.in_flight.append((sender, to, finding))

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        for i, v in enumerate(self.verdicts):
            bad = {o for o, k in v.findings.get(NAME, {}).items() if k.slowness >= BAD_SLOWNESS and o != i}
            if v.verdict(self.now, *NAME) >= BAD_SLOWNESS and len(bad) < QUORUM:
                return f"limiter {i} condemns on the word of {sorted(bad)}"
            if bad - self.observers:
                return (f"limiter {i} believes that {sorted(bad - self.observers)} found it bad, "
                        "and they did not")
            if i in {o for o, k in v.findings.get(NAME, {}).items() if k.source != i}:
                return f"limiter {i} took its own former word for news"
        return ""

    def find_divergence(self) -> str:
        """Exchanges all findings and returns what still disagrees afterwards, or an empty string.

        The messages that were in flight before arrive in between, and last.
        """
        delayed, self.cut = list(self.in_flight), None
        for _ in range(3):
            for sender in range(LIMITERS):
                for to in range(LIMITERS):
                    for name, by_observer in self.verdicts[sender].findings.items() if sender != to else ():
                        for o, k in by_observer.items():
                            finding = Finding(*name, k.slowness, self.now - k.at, o, k.stamp)
                            self.verdicts[to].receive(self.now, sender, finding)
            for sender, to, finding in delayed:
                self.verdicts[to].receive(self.now, sender, finding)
        for i in range(LIMITERS):
            for j in range(i):
                # A restart loses a limiter's own findings; only those of the third limiter must be equal.
                third = LIMITERS - i - j
                first, second = (self._finding_of(n, third) for n in (i, j))
                if first != second:
                    return f"limiters {j} and {i} differ on what {third} found: {second} and {first}"
        return self.find_violation()

    def _finding_of(self, limiter: int, observer: int) -> tuple[float, int] | None:
        finding = self.verdicts[limiter].findings.get(NAME, {}).get(observer)
        return (finding.slowness, finding.stamp) if finding is not None else None

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states; only the order of stamps matters."""
        stamps = sorted({k.stamp for v in self.verdicts for k in v.findings.get(NAME, {}).values()}
                        | {f.stamp for _, _, f in self.in_flight})
        rank = {stamp: n for n, stamp in enumerate(stamps)}
        findings = tuple(
            (
                tuple(
                    sorted(
                        (o, k.slowness, rank[k.stamp], k.remaining_sends, k.source, tuple(sorted(k.sent_to)))
                        for o, k in v.findings.get(NAME, {}).items()
                    )
                ),
                tuple(v.unsent),
                v.own_evidence.get(NAME, (0.0, 0.0))[0] >= BAD_SLOWNESS,
            )
            for v in self.verdicts
        )
        in_flight = tuple((s, t, f.observer, f.slowness, rank[f.stamp]) for s, t, f in self.in_flight)
        return findings, tuple(self.starts), in_flight, self.cut, tuple(self.observers)
