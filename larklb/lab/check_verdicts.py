"""Explores what can become of findings between three limiters, exhaustively to a depth (see ``check.py``).

One server, one class.  A limiter finds it bad or good, tells a peer what it has for it, starts anew; a
message arrives, comes twice, or is lost, in every order; a link may be cut.  At each step no verdict may
stand on fewer observers than the quorum.  Once all have spoken, all must know the same findings, the newest
of each.  Time goes on by one step of a stamp with each finding, so that nothing fades within the depth.
"""

from __future__ import annotations

from collections.abc import Callable

from larklb.fleet.verdicts import BAD_SLOWNESS, QUORUM, Finding, Verdicts
from larklb.lab.check import Action

LIMITERS = 3
SUBJECT, TOPIC = 7, 1
NAME = SUBJECT, TOPIC
MOST_MESSAGES = 2          # under way at once
STEP, HALF = 1000.0, 1e9   # ms between findings, and a half-life beside which that is nothing


def plain(number: int) -> Verdicts:
    """As of a limiter in a fleet that is large enough for a quorum of two."""
    return Verdicts(number, 8, HALF)


class World:
    """Three limiters; ``make`` gives one's verdicts, so that tests can put faults into them."""

    def __init__(self, make: Callable[[int], Verdicts] = plain) -> None:
        self.make = make
        self.now = STEP
        self.of = [make(i) for i in range(LIMITERS)]
        self.starts = [1] * LIMITERS
        self.found: set[int] = set()                    # limiters that ever found it bad
        self.in_flight: list[tuple[int, int, Finding]] = []
        self.cut: int | None = None

    def actions(self) -> list[Action]:
        found: list[Action] = []
        for i, v in enumerate(self.of):
            found += [("bad", i), ("good", i)]
            if self.starts[i] < 2:
                found.append(("restart", i))
            if len(self.in_flight) < MOST_MESSAGES and v.unsent:
                found += [("tell", i * LIMITERS + j) for j in range(LIMITERS) if j != i]
        for n in range(len(self.in_flight)):
            found += [("deliver", n), ("repeat", n), ("lose", n)]
        return found + ([("cut", 0)] if self.cut is None else [("heal", 0)])

    def act(self, action: Action) -> None:
        name, n = action
        match name:
            case "bad" | "good":
                self.now += STEP
                self.of[n].record_evidence(self.now, SUBJECT, TOPIC, 8.0 if name == "bad" else 1.0)
                self.found |= {n} if name == "bad" else set()
            case "restart":
                self.starts[n] += 1
                self.of[n] = self.make(n)
            case "tell":
                self._tell(*divmod(n, LIMITERS))
            case "cut" | "heal":
                self.cut = 0 if name == "cut" else None
            case "lose":
                self.in_flight.pop(n)
            case _:
                sender, to, finding = self.in_flight[n] if name == "repeat" else self.in_flight.pop(n)
                self.of[to].receive(self.now, sender, finding)

    def _tell(self, sender: int, to: int) -> None:
        for finding in self.of[sender].findings_for(self.now, to, 1):
            if self.cut is None or self.cut not in (sender, to):
                self.in_flight.append((sender, to, finding))

    def find_violation(self) -> str:
        """What does not hold here, if anything."""
        for i, v in enumerate(self.of):
            bad = {o for o, k in v.findings.get(NAME, {}).items() if k.slowness >= BAD_SLOWNESS and o != i}
            if v.verdict(self.now, *NAME) >= BAD_SLOWNESS and len(bad) < QUORUM:
                return f"limiter {i} condemns on the word of {sorted(bad)}"
            if bad - self.found:
                return f"limiter {i} believes that {sorted(bad - self.found)} found it bad, and they did not"
            if i in {o for o, k in v.findings.get(NAME, {}).items() if k.source != i}:
                return f"limiter {i} took its own former word for news"
        return ""

    def find_divergence(self) -> str:
        """Once all have spoken: what does not agree, if anything.  Old words come in between, and last."""
        old, self.cut = list(self.in_flight), None
        for _ in range(3):
            for sender in range(LIMITERS):
                for to in range(LIMITERS):
                    for name, here in self.of[sender].findings.items() if sender != to else ():
                        for o, k in here.items():
                            told = Finding(*name, k.slowness, self.now - k.at, o, k.stamp)
                            self.of[to].receive(self.now, sender, told)
            for sender, to, finding in old:
                self.of[to].receive(self.now, sender, finding)
        for i in range(LIMITERS):
            for j in range(i):
                # What each says of itself after a restart it has forgotten; of third ones all know the same.
                third = LIMITERS - i - j
                mine, its = (self._known(n, third) for n in (i, j))
                if mine != its:
                    return f"limiters {j} and {i} differ on what {third} found: {its} and {mine}"
        return self.find_violation()

    def _known(self, limiter: int, observer: int) -> tuple[float, int] | None:
        known = self.of[limiter].findings.get(NAME, {}).get(observer)
        return (known.slowness, known.stamp) if known is not None else None

    def fingerprint(self) -> object:
        """Worlds that look alike go on alike; stamps are told apart by their order alone."""
        stamps = sorted({k.stamp for v in self.of for k in v.findings.get(NAME, {}).values()}
                        | {f.stamp for _, _, f in self.in_flight})
        rank = {stamp: n for n, stamp in enumerate(stamps)}
        known = tuple(
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
            for v in self.of
        )
        in_flight = tuple((s, t, f.observer, f.slowness, rank[f.stamp]) for s, t, f in self.in_flight)
        return known, tuple(self.starts), in_flight, self.cut, tuple(self.found)
