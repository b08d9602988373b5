"""Several gateways beside the rules' model, through days drawn from fixed seeds, in simulated time.

A day is a list of steps: jobs, floods, restarts, lists that change, nodes that lie, owners that move; its
messages are late, lost, repeated and out of order.  A broken rule is told with the seed and the shortest
prefix of the day's steps that shows it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

import pytest

from larklb import interface as io
from tests import rules_model as model
from tests.conftest import Bed

MOST_SPREAD, SERVERS, SLOTS = 4, 6, 3
STEPS = 220


@dataclass(frozen=True)
class Size:
    """A deployment."""

    gateways: int = 3
    aim: float = 1000.0        # ms; deadlines, work and warming up go with it
    rate: float = 1.0          # times the units a second of the plans below
    inbox: float = 200.0       # messages a second that a gateway takes in

    def heard(self) -> bool:
        """Whether verdicts come before an ask is given up, after 0.35 aims: messages take up to 39 ms."""
        return 0.35 * self.aim > 2 * 39.0

    def classes(self) -> tuple[io.ServiceClass, ...]:
        a = self.aim
        return (io.ServiceClass("read", aim=a, deadline=3 * a, late_worth=0.2),
                io.ServiceClass("write", aim=1.2 * a, deadline=3 * a, repeat=io.RepeatPolicy.KEYED,
                                group=io.DedupScope.CELL, window=0.4 * a),
                io.ServiceClass("lock", aim=a, deadline=3 * a, repeat=io.RepeatPolicy.NEVER))

    def plans(self) -> tuple[io.Plan, ...]:
        r = self.rate
        small = max(2.0 * r, 4.0)
        return (io.Plan("small", rate=2.0 * r, burst=small, ceiling_rate=8.0 * r, ceiling_burst=4 * small,
                        ceiling_slack=1.0, beyond_earns=0.5),
                io.Plan("large", rate=20.0 * r, burst=max(30.0 * r, 4.0), beyond_earns=0.5), io.Plan("free"))

    def figures(self) -> model.Figures:
        return model.Figures(most_attempts=3, answer_grace=16.0, drain_grace=250.0, cold_share=0.25,
                             warm_within=8.0 * self.aim, tip_multiple=1.0, tip_time=self.aim,
                             lag=0.4 * self.aim)


MOODS = {"good": (io.Result.OK, 1.0), "slow": (io.Result.OK, 6.0), "errors": (io.Result.ERROR, 0.2),
         "full": (io.Result.FULL, 0.02), "refuses": (io.Result.CONNECT_FAILED, 0.02),
         "resets": (io.Result.RESET, 0.5), "silent": (io.Result.TIMEOUT, 1e9)}


class Day(Bed):
    """Gateways, nodes and messages; everything that can be seen is told to the model."""

    def __init__(self, seed: int, faults: bool, size: Size) -> None:
        self.chance, self.faults, self.size = random.Random(seed), faults, size
        self.classes, self.plans, self.figures = size.classes(), size.plans(), size.figures()
        kinds = {c.name: model.Class(c.repeat.value, c.group.value, c.window, c.aim) for c in self.classes}
        quotas = {p.name: model.Quota(p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack)
                  for p in self.plans}
        self.rules = model.Rules(self.figures, kinds, quotas)
        self.rules.exact = not faults and size.heard()
        self.work = 0.12 * size.aim
        self.inbox: Counter[tuple[int, int]] = Counter()
        self.nodes: dict[str, io.Entry] = {}
        self.moods: dict[str, str] = {}
        self.tries: dict[str, int] = {}
        self.jobs = 0
        self.sets = {f"c{i}": self._set(size.gateways) for i in range(8)}
        self.plan_of = {c: self.plans[i % 3].name for i, c in enumerate(self.sets)}
        self.down: set[int] = set()
        f = self.figures
        super().__init__(gateways=size.gateways, servers=0, classes=self.classes, plans=self.plans, tick=2.0,
                         inbox_per_s=size.inbox, max_attempts=f.most_attempts, cold_share=f.cold_share,
                         warm_within=f.warm_within, tip_multiple=f.tip_multiple, drain_grace=f.drain_grace)
        for n in range(SERVERS):
            self._node(f"s{n}", n % 3, None)
        for i in self.gateways:
            self._list(i, list(self.nodes.values()), io.ListKind.FULL)
        self.run(100.0)

    def _set(self, gateways: int) -> tuple[int, int]:
        return self.chance.randrange(gateways), self.chance.randint(1, min(gateways, MOST_SPREAD))

    # What surrounds the gateways ------------------------------------------------------------

    def _node(self, name: str, cell: int, started: float | None) -> io.Entry:
        entry = self.nodes[name] = io.Entry(name, zone="ab"[cell % 2], cell=cell, started=started)
        at = -1e12 if started is None else started
        self.rules.servers[name] = model.Server(entry.zone, cell, SLOTS * 1000.0 / self.work, at)
        self.moods[name] = "good"
        return entry

    def _list(self, i: int, entries: list[io.Entry], kind: io.ListKind = io.ListKind.CHANGES) -> None:
        for e in entries:
            self.rules.told(self.now, i, e.server, e.state.value, e.started)
        self.give(i, io.ServerList(kind, 2, tuple(entries)))

    def _change(self, *entries: io.Entry) -> None:
        """Each gateway is told at a time of its own."""
        for e in entries:
            self.nodes[e.server] = e
        for i in self.gateways:
            self._later(self.chance.uniform(1.0, 1500.0 if self.faults else 20.0), i, entries)

    def _later(self, after: float, i: int, what: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, i, what))

    def give(self, i: int, event: Any) -> list[io.Action]:
        if i in self.down or i not in self.gateways:
            return []
        if isinstance(event, tuple):
            self._list(i, list(event))
            return []
        if isinstance(event, io.Outcome):
            if self.tries.get(event.request) != event.attempt:
                return []                      # it was called off and has had its outcome
            del self.tries[event.request]
            self.rules.ended(self.now, event.request, event.attempt, event.result in io.NEVER_RAN,
                             event.result is io.Result.OK)
            event = replace(event, complete=event.complete or self.rules.jobs[event.request].over)
        self.rules.clock(self.now)
        return super().give(i, event)

    def _act(self, i: int, actions: list[io.Action]) -> None:
        for a in actions:
            match a:
                case io.SetTimer():
                    self._later(a.after, i, io.Timer(a.timer_id))
                case io.SendToPeer():
                    self._message(i, a)
                case io.Send():
                    self._send(i, a)
                case io.Cancel():
                    self._later(1.0, i, io.Outcome(a.request, a.attempt, "", io.Result.CANCELLED, 1.0, False))
                case io.Refuse():
                    self.rules.refused(self.now, a.request, a.over_quota)
                case io.Fail():
                    self.rules.failed(self.now, a.request)

    def _message(self, i: int, a: io.SendToPeer) -> None:
        assert len(a.data) <= 256
        for _ in range(1 + (self.faults and self.chance.random() < 0.1)):
            second = (a.peer, int(self.now // 1000.0))
            self.inbox[second] += 1
            if self.inbox[second] <= self.size.inbox and (not self.faults or self.chance.random() > 0.15):
                late = self.chance.random() < 0.03 if self.faults else False
                self._later(self.chance.uniform(1.0, 3000.0 if late else 39.0), a.peer,
                            io.PeerMessage(i, a.data))

    def _send(self, i: int, a: io.Send) -> None:
        job = self.rules.jobs[a.request]
        self.rules.sent(self.now, a.request, a.server, a.stamp.beyond if a.stamp else False)
        attempt = len(job.tries) - 1
        self.tries[a.request] = attempt
        result, slow = MOODS[self.moods[a.server]]
        warm = 1.0
        if (started := self.nodes[a.server].started) is not None:
            warm = min(1.0, 0.25 + 0.75 * (self.now - started) / self.figures.warm_within)
        took = self.work * self.chance.uniform(0.7, 1.3) * slow / warm
        most = min(a.timeout or 1e12, job.due - self.now)
        if took >= most:
            took, result = most, io.Result.TIMEOUT
        self._later(took, i, io.Outcome(a.request, attempt, a.server, result, took, result is io.Result.OK))

    # Steps ------------------------------------------------------------------------------------

    def job(self, customer: str, at: int | None = None) -> None:
        first, spread = self.sets[customer]
        limiters = [(first + k) % len(self.gateways) for k in range(spread)]
        i = at if at is not None else self.chance.choice(limiters)
        if i in self.down:
            return
        self.jobs += 1
        name, kind, plan = f"j{self.jobs}", self.chance.choice(self.classes), self.plan_of[customer]
        due = self.now + kind.deadline * self.chance.uniform(0.5, 1.0)
        self.rules.taken(self.now, i, name, kind.name, plan, customer, 1.0, due)
        self.give(i, io.Request(name, kind.name, plan, customer, due, 1.0, first, spread))

    def greedy(self) -> None:
        """One customer asks for far more than its quota."""
        for _ in range(12):
            self.job("c0")

    def flood(self) -> None:
        for _ in range(40):
            self.job(self.chance.choice([c for c, p in self.plan_of.items() if p != "small"]))

    def restart(self, i: int, down: float = 300.0, gateways: int | None = None) -> None:
        """Killed, and back with nothing but an old list."""
        old = list(self.nodes.values())
        self.down.add(i)
        self.rules.died(i)
        self.queue = [q for q in self.queue if q[2] != i or isinstance(q[3], io.PeerMessage)]
        heapq.heapify(self.queue)
        for c in self.sets:
            self._explained(c, restarts=1)
        self.run(down)
        self.down.discard(i)
        if gateways is not None:
            self.changes["gateways"] = gateways
        super().begin(i)
        self._list(i, old, io.ListKind.CACHED)
        self._list(i, list(self.nodes.values()))

    def resize(self) -> None:
        """Another list of limiters: all are started anew under it, one after the other."""
        usual = self.size.gateways
        limiters = usual + 1 if len(self.gateways) == usual else usual
        for i in range(min(limiters, len(self.gateways))):
            self.restart(i, 100.0, limiters)
        for i in [i for i in self.gateways if i >= limiters]:
            self.rules.died(i)
            del self.gateways[i]
        for i in range(len(self.gateways), limiters):
            self.gateways[i] = self.gateways[0]     # so that it counts; begun anew at once
            self.restart(i, 0.0, limiters)
        for c in self.sets:
            self._explained(c, moves=1)

    def move(self) -> None:
        """A customer's set changes, and with it perhaps its owner."""
        c = self.chance.choice(list(self.sets))
        self.sets[c] = self._set(len(self.gateways))
        self._explained(c, moves=1)

    def _explained(self, customer: str, restarts: int = 0, moves: int = 0) -> None:
        plan = next(p for p in self.plans if p.name == self.plan_of[customer])
        if customer not in self.rules.excess:      # others go by late copies until they are settled
            others = self.sets[customer][1] - 1
            self.rules.excess[customer] = others * (plan.burst + 1.2 * plan.rate + 1.0)
        self.rules.excess[customer] += (restarts + moves) * plan.burst

    def drain(self) -> None:
        up = [e for e in self.nodes.values() if e.state is io.ServerState.UP]
        if len(up) > 3:
            self._change(replace(self.chance.choice(up), state=self.chance.choice(
                [io.ServerState.DRAINING, io.ServerState.GONE])))

    def dark(self) -> None:
        """No node is up for longer than a deadline."""
        up = [e for e in self.nodes.values() if e.state is io.ServerState.UP]
        self._change(*(replace(e, state=io.ServerState.DRAINING) for e in up))
        self.job(self.chance.choice(list(self.sets)))
        self.run(4.0 * self.size.aim)
        self._change(*up)

    def start_node(self) -> None:
        away = [e for e in self.nodes.values() if e.state is not io.ServerState.UP]
        name = self.chance.choice(away).server if away else f"s{len(self.nodes)}"
        self._change(self._node(name, int(name[1:]) % 3, self.now))

    def mood(self) -> None:
        name = self.chance.choice(list(self.moods))
        self.moods[name] = self.chance.choice(["good", "good", *MOODS])

    def leave(self) -> None:
        held = [(n, j) for n, j in self.rules.jobs.items() if not j.over]
        if held:
            name, job = self.chance.choice(held)
            self.rules.gone(name)
            self.give(job.limiter, io.ClientGone(name))


def play(seed: int, faults: bool, size: Size, steps: int = STEPS) -> None:
    day = Day(seed, faults, size)
    for c in day.sets if not day.rules.exact else ():
        day._explained(c)
    chance = random.Random(seed + 1)
    for step in range(steps):
        try:
            what = chance.random()
            if what < 0.03:
                day.flood()
            elif what < 0.06:
                day.drain()
            elif what < 0.11:
                day.start_node()
            elif what < 0.14:
                day.mood()
            elif what < 0.16:
                day.leave()
            elif what < 0.165:
                day.dark()
            elif what < 0.3:
                day.greedy()
            elif faults and what < 0.32:
                day.restart(chance.choice(list(day.gateways)))
            elif faults and what < 0.325:
                day.resize()
            elif faults and what < 0.34:
                day.move()
            else:
                for _ in range(chance.randint(1, 6)):
                    day.job(chance.choice(list(day.sets)))
            day.run(chance.uniform(0.005, 0.2) * size.aim)
        except model.BrokenError as broken:
            raise AssertionError(f"seed {seed}, {size}, the first {step + 1} steps: {broken}") from broken
    day.run(4.0 * size.aim)
    day.rules.clock(day.now)
    assert not day.rules.open and day.jobs > steps


@pytest.mark.parametrize("seed", range(8))
def test_runs_without_faults_keep_all_rules_and_exact_quotas(seed: int) -> None:
    play(seed, False, Size())


@pytest.mark.parametrize("seed", range(100, 116))
def test_runs_with_faults_keep_all_rules_and_the_bounds_of_quotas(seed: int) -> None:
    play(seed, True, Size())


@pytest.mark.parametrize("faults", [False, True])
@pytest.mark.parametrize("size", [
    Size(gateways=2), Size(gateways=12, inbox=60.0), Size(gateways=32, inbox=60.0), Size(aim=300.0),
    Size(aim=100.0),
    Size(aim=30000.0, rate=0.05), Size(rate=0.05, inbox=30.0), Size(rate=50.0)])
def test_other_deployment_sizes_and_loads_keep_all_rules(size: Size, faults: bool) -> None:
    """Figures that were fitted to one deployment would show here."""
    for seed in (200, 201):
        play(seed, faults, size, 150)
