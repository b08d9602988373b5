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
        self.verdicts = [make(number) for number in range(LIMITERS)]
        self.starts = [1] * LIMITERS
        # Limiters that have ever found the subject bad.
        self.observers: set[int] = set()
        # Sender, receiver and finding.
        self.in_flight: list[tuple[int, int, Finding]] = []
        # The limiter whose links are cut.
        self.cut: int | None = None

    def enabled_actions(self) -> list[Action]:
        """Returns the actions that are possible in this state."""
        enabled: list[Action] = []
        for number, verdicts in enumerate(self.verdicts):
            enabled += [("bad", number), ("good", number)]
            if self.starts[number] < 2:
                enabled.append(("restart", number))
            if len(self.in_flight) < MAX_MESSAGES and verdicts.unsent:
                enabled += [("tell", number * LIMITERS + receiver)
                            for receiver in range(LIMITERS) if receiver != number]
        for index in range(len(self.in_flight)):
            enabled += [("deliver", index), ("repeat", index), ("lose", index)]
        return enabled + ([("cut", 0)] if self.cut is None else [("heal", 0)])

    def perform_action(self, action: Action) -> None:
        """Performs an action, which changes this state."""
        name, argument = action
        match name:
            case "bad" | "good":
                self.now += STEP_MS
                self.verdicts[argument].record_evidence(
                    self.now, SUBJECT, TOPIC, 8.0 if name == "bad" else 1.0)
                self.observers |= {argument} if name == "bad" else set()
            case "restart":
                self.starts[argument] += 1
                self.verdicts[argument] = self.make(argument)
            case "tell":
                self._send(*divmod(argument, LIMITERS))
            case "cut" | "heal":
                self.cut = 0 if name == "cut" else None
            case "lose":
                self.in_flight.pop(argument)
            case _:
                sender, receiver, finding = (
                    self.in_flight[argument] if name == "repeat" else self.in_flight.pop(argument))
                self.verdicts[receiver].receive(self.now, sender, finding)

    def _send(self, sender: int, receiver: int) -> None:
        for finding in self.verdicts[sender].findings_for(self.now, receiver, 1):
            if self.cut is None or self.cut not in (sender, receiver):
                self.in_flight.append((sender, receiver, finding))

    def find_violation(self) -> str:
        """Returns the invariant that this state violates, or an empty string."""
        for number, verdicts in enumerate(self.verdicts):
            bad_observers = {observer for observer, finding in verdicts.findings.get(NAME, {}).items()
                             if finding.slowness >= BAD_SLOWNESS and observer != number}
            if verdicts.verdict(self.now, *NAME) >= BAD_SLOWNESS and len(bad_observers) < QUORUM:
                return f"limiter {number} condemns on the word of {sorted(bad_observers)}"
            if bad_observers - self.observers:
                return (f"limiter {number} believes that {sorted(bad_observers - self.observers)} found it "
                        "bad, and they did not")
            if number in {observer for observer, finding in verdicts.findings.get(NAME, {}).items()
                          if finding.source != number}:
                return f"limiter {number} took its own former word for news"
        return ""

    def find_divergence(self) -> str:
        """Exchanges all findings and returns what still disagrees afterwards, or an empty string.

        The messages that were in flight before arrive in between, and last.
        """
        delayed, self.cut = list(self.in_flight), None
        for _ in range(3):
            for sender in range(LIMITERS):
                for receiver in range(LIMITERS):
                    for name, by_observer in (
                            self.verdicts[sender].findings.items() if sender != receiver else ()):
                        for observer, stored in by_observer.items():
                            finding = Finding(
                                *name, stored.slowness, self.now - stored.at, observer, stored.stamp)
                            self.verdicts[receiver].receive(self.now, sender, finding)
            for sender, receiver, finding in delayed:
                self.verdicts[receiver].receive(self.now, sender, finding)
        for limiter in range(LIMITERS):
            for other in range(limiter):
                # A restart loses a limiter's own findings; only those of the third limiter must be equal.
                third = LIMITERS - limiter - other
                first, second = (self._finding_of(number, third) for number in (limiter, other))
                if first != second:
                    return (f"limiters {other} and {limiter} differ on what {third} found: "
                            f"{second} and {first}")
        return self.find_violation()

    def _finding_of(self, limiter: int, observer: int) -> tuple[float, int] | None:
        finding = self.verdicts[limiter].findings.get(NAME, {}).get(observer)
        return (finding.slowness, finding.stamp) if finding is not None else None

    def fingerprint(self) -> object:
        """Returns a value that is equal for equivalent states; only the order of stamps matters."""
        stamps = sorted({finding.stamp for verdicts in self.verdicts
                         for finding in verdicts.findings.get(NAME, {}).values()}
                        | {finding.stamp for _, _, finding in self.in_flight})
        rank = {stamp: position for position, stamp in enumerate(stamps)}
        findings = tuple(
            (
                tuple(
                    sorted(
                        (
                            observer,
                            finding.slowness,
                            rank[finding.stamp],
                            finding.remaining_sends,
                            finding.source,
                            tuple(sorted(finding.sent_to)),
                        )
                        for observer, finding in verdicts.findings.get(NAME, {}).items()
                    )
                ),
                tuple(verdicts.unsent),
                verdicts.own_evidence.get(NAME, (0.0, 0.0))[0] >= BAD_SLOWNESS,
            )
            for verdicts in self.verdicts
        )
        in_flight = tuple((sender, receiver, finding.observer, finding.slowness, rank[finding.stamp])
                          for sender, receiver, finding in self.in_flight)
        return findings, tuple(self.starts), in_flight, self.cut, tuple(self.observers)
