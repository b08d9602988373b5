"""Plain ways of choosing that the project's own is measured against; all heed what is known to be down."""

from __future__ import annotations

from collections.abc import Collection

from attrs import define, field

from larklb.admission.choice import ServerSelector, ServerState


@define
class BaselineSelector(ServerSelector):
    """The way of choosing differs; servers at rest are passed over alike."""

    turn: dict[str, int] = field(factory=dict)

    def ready(self, now: float, target: str, exclude: Collection[str]) -> list[ServerState]:
        """Who may be chosen."""
        most = self.in_flight_limit(target)
        mine = [p for p in self.by_target.get(target, ())
                if not p.draining and p.id not in exclude and p.in_flight < most]
        return [p for p in mine if not (p.silent or p.probing or now < p.ejected_until)] or mine

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        """One of ``ready``, which isn't empty."""
        raise NotImplementedError

    def pick(self, now: float, target: str, route: str, aim: float,
             exclude: Collection[str] = (), caller: int | None = None) -> ServerState | None:
        ready = self.ready(now, target, exclude)
        return self.best(now, target, ready) if ready else None


class LeastConnections(BaselineSelector):
    """The fewest requests in hand from here."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        return min(ready, key=lambda p: (p.in_flight, self.random.random()))


class TwoChoices(BaselineSelector):
    """The one with fewer in hand from here, of two by chance."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        two = self.random.sample(ready, min(2, len(ready)))
        return min(two, key=lambda p: p.in_flight)


class LoadOnly(BaselineSelector):
    """The least load for each slot as last told, with what has gone there from here."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        return min(ready, key=lambda p: ((p.others_in_flight + p.in_flight) / max(1, p.slots),
                                         self.random.random()))


class RoundRobin(BaselineSelector):
    """One after another, each limiter from its own place in the list."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        turn = self.turn.setdefault(target, self.random.randrange(1 << 16)) + 1
        self.turn[target] = turn
        return ready[turn % len(ready)]


RIVALS: dict[str, type[ServerSelector]] = {
    "present": ServerSelector, "least connections": LeastConnections, "two choices": TwoChoices,
    "X-Load only": LoadOnly, "round robin": RoundRobin,
}
