"""Settings and a test bed that several test modules share."""

from __future__ import annotations

import heapq
import os
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from larklb import interface as io
from larklb.decide import Gateway
from larklb.lab import cluster

# Each worker of a parallel run uses a range of ports of its own, because another process could take a port
# between the check that it is free and its use.
if "PYTEST_XDIST_WORKER" in os.environ:
    _worker, _workers = (
        int(os.environ["PYTEST_XDIST_WORKER"][2:]), int(os.environ["PYTEST_XDIST_WORKER_COUNT"]))
    _first_port, _port_count = 10000, 22000 // _workers
    cluster._candidate_ports = iter(range(
        _first_port + _worker * _port_count, _first_port + (_worker + 1) * _port_count))

SAFE = io.ServiceClass("read", aim=1000.0, deadline=4000.0)
KEYED = io.ServiceClass("write", aim=1000.0, deadline=4000.0, repeat=io.RepeatPolicy.KEYED,
                        group=io.DedupScope.CELL, window=2000.0)
ONCE = io.ServiceClass("lock", aim=1000.0, deadline=4000.0, repeat=io.RepeatPolicy.NEVER)
RATE = io.Plan("rate", rate=1.0, burst=3.0)
OPEN = io.Plan("open", most_open=2)
FREE = io.Plan("free")


def settings(**changes: Any) -> io.Settings:
    """Settings of a single gateway, with changes."""
    values: dict[str, Any] = dict(
        number=0, gateways=1, classes=(SAFE, KEYED, ONCE), plans=(RATE, OPEN, FREE), tick=2.0,
        inbox_per_s=100.0, can_cancel=True, max_attempts=4, max_retry_after=2000.0, cold_share=0.2,
        warm_within=10000.0, tip_multiple=2.0, drain_grace=1000.0)
    values.update(changes)
    return io.Settings(**values)


class Bed:
    """Several gateways in simulated time, connected by messages that take ``delay`` ms.

    ``cut`` drops all messages between gateways, ``drop(sender, receiver)`` those it returns True for.  With
    ``serve`` set, servers answer after so many ms; else a test ends each attempt with ``end``.  ``log`` holds
    all actions, with the time and the gateway.
    """

    def __init__(self, gateways: int = 1, servers: int = 2, delay: float = 5.0, **changes: Any) -> None:
        self.now, self.delay, self.cut = 0.0, delay, False
        self.serve: float | None = None
        self.sent: Counter[tuple[int, str]] = Counter()
        self.drop: Callable[[int, int], bool] = lambda sender, to: False
        self.queue: list[tuple[float, int, int, io.Event]] = []
        self.count = 0
        self.done: dict[int, list[io.Action]] = {}
        self.log: list[tuple[float, int, io.Action]] = []
        self.changes = {"gateways": gateways, **changes}
        self.gateways: dict[int, Gateway] = {}
        self.entries = tuple(io.Entry(f"s{i}", cell=i % 2) for i in range(servers))
        for i in range(gateways):
            self.begin(i)
        self.run(600)

    def begin(self, i: int) -> None:
        """Starts gateway ``i``, or restarts it without its state."""
        self.queue = [q for q in self.queue if q[2] != i]
        heapq.heapify(self.queue)
        self.gateways[i] = Gateway(settings(number=i, **self.changes), 7 + i, self.now)
        self._act(i, self.gateways[i].start(self.now))
        self.give(i, io.ServerList(io.ListKind.CACHED, 1, self.entries))

    def give(self, i: int, event: io.Event) -> list[io.Action]:
        """Passes an event to gateway ``i`` and carries out the actions."""
        actions = self.gateways[i].handle(self.now, event)
        self._act(i, actions)
        return actions

    def ask(self, i: int, name: str, service: str = "read", plan: str = "rate", customer: str = "c",
            due: float = 4000.0, **more: Any) -> list[io.Action]:
        """Sends a request to gateway ``i``, due in so many ms."""
        more.setdefault("spread", len(self.gateways))
        return self.give(i, io.Request(name, service, plan, customer, self.now + due, **more))

    def end(self, i: int, name: str, result: io.Result = io.Result.OK, attempt: int = 0,
            took: float = 50.0) -> list[io.Action]:
        """Ends an attempt of a request with a result."""
        sends = [a for _, g, a in self.log if g == i and isinstance(a, io.Send) and a.request == name]
        server = sends[attempt]
        return self.give(i, io.Outcome(name, attempt, server.server, result, took, result is io.Result.OK))

    def run(self, ms: float) -> None:
        """Lets so many ms pass."""
        until = self.now + ms
        while self.queue and self.queue[0][0] <= until:
            self.now, _, i, event = heapq.heappop(self.queue)
            self.give(i, event)
        self.now = until

    def of(self, kind: type, name: str | None = None) -> list[Any]:
        """All actions of a kind so far, or those for one request."""
        return [a for _, _, a in self.log if isinstance(a, kind)
                and (name is None or getattr(a, "request", None) == name)]

    def _act(self, i: int, actions: list[io.Action]) -> None:
        for a in actions:
            self.log.append((self.now, i, a))
            self.count += 1
            if isinstance(a, io.SetTimer):
                heapq.heappush(self.queue, (self.now + a.after, self.count, i, io.Timer(a.timer_id)))
            elif isinstance(a, io.Send) and self.serve is not None:
                attempt = self.sent[i, a.request]
                outcome = io.Outcome(a.request, attempt, a.server, io.Result.OK, self.serve, True)
                heapq.heappush(self.queue, (self.now + self.serve, self.count, i, outcome))
                self.sent[i, a.request] += 1
            elif isinstance(a, io.SendToPeer) and not self.cut and not self.drop(i, a.peer):
                heapq.heappush(self.queue, (self.now + self.delay, self.count, a.peer,
                                            io.PeerMessage(i, a.data)))


@pytest.fixture
def bed() -> type[Bed]:
    return Bed
