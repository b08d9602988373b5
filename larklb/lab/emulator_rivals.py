"""Baseline server selectors for comparison; all of them avoid servers known to be down."""

from __future__ import annotations

from collections.abc import Collection

from attrs import define, field

from larklb.admission.choice import ServerSelector, ServerState


@define
class BaselineSelector(ServerSelector):
    """Base of the selectors, which differ in `best` only; ejected and silent servers are skipped alike."""

    next_turn: dict[str, int] = field(factory=dict)

    def ready(self, now: float, target: str, exclude: Collection[str]) -> list[ServerState]:
        """Return the servers that may be chosen."""
        max_in_flight = self.in_flight_limit(target)
        available = [p for p in self.by_target.get(target, ())
                     if not p.draining and p.id not in exclude and p.in_flight < max_in_flight]
        return [p for p in available if not (p.silent or p.probing or now < p.ejected_until)] or available

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        """Return one of `ready`, which isn't empty."""
        raise NotImplementedError

    def pick(self, now: float, target: str, route: str, aim: float,
             exclude: Collection[str] = (), caller: int | None = None) -> ServerState | None:
        ready = self.ready(now, target, exclude)
        return self.best(now, target, ready) if ready else None


class LeastConnections(BaselineSelector):
    """Selects the server with the fewest requests in flight from this limiter."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        return min(ready, key=lambda p: (p.in_flight, self.random.random()))


class TwoChoices(BaselineSelector):
    """Selects the server with fewer requests in flight from this limiter, of two random ones."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        two = self.random.sample(ready, min(2, len(ready)))
        return min(two, key=lambda p: p.in_flight)


class LoadOnly(BaselineSelector):
    """Selects the lowest load per slot: the last reported load plus this limiter's requests in flight."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        return min(ready, key=lambda p: ((p.others_in_flight + p.in_flight) / max(1, p.slots),
                                         self.random.random()))


class RoundRobin(BaselineSelector):
    """Selects the servers in turn; each limiter begins at a random position."""

    def best(self, now: float, target: str, ready: list[ServerState]) -> ServerState:
        turn = self.next_turn.setdefault(target, self.random.randrange(1 << 16)) + 1
        self.next_turn[target] = turn
        return ready[turn % len(ready)]


RIVALS: dict[str, type[ServerSelector]] = {
    "present": ServerSelector, "least connections": LeastConnections, "two choices": TwoChoices,
    "X-Load only": LoadOnly, "round robin": RoundRobin,
}
