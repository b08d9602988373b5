"""Randomized runs of several gateways, checked against the model of the rules, in simulated time.

A run is a sequence of steps drawn from a fixed seed: jobs, floods, restarts, changes of the list of servers,
servers that fail, customers whose owner changes.  With faults, messages are also delayed, lost, duplicated
and reordered.  A violation is reported with the seed and the number of steps that lead to it.
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

MAX_SPREAD, SERVERS, SLOTS = 4, 6, 3
STEP_COUNT = 220


@dataclass(frozen=True)
class Size:
    """Size of a deployment.

    ``aim`` is in ms; deadlines, work and warm-up scale with it.  ``rate`` multiplies the rates of the plans.
    ``inbox`` is the number of messages a second that a gateway takes in.
    """

    gateways: int = 3
    aim: float = 1000.0
    rate: float = 1.0
    inbox: float = 200.0

    def verdicts_arrive(self) -> bool:
        """Whether verdicts arrive before an ask times out after 0.35 aims; messages take up to 39 ms."""
        return 0.35 * self.aim > 2 * 39.0

    def classes(self) -> tuple[io.ServiceClass, ...]:
        aim = self.aim
        return (io.ServiceClass("read", aim=aim, deadline=3 * aim, late_worth=0.2),
                io.ServiceClass("write", aim=1.2 * aim, deadline=3 * aim, repeat=io.RepeatPolicy.KEYED,
                                group=io.DedupScope.CELL, window=0.4 * aim),
                io.ServiceClass("lock", aim=aim, deadline=3 * aim, repeat=io.RepeatPolicy.NEVER))

    def plans(self) -> tuple[io.Plan, ...]:
        rate = self.rate
        small = max(2.0 * rate, 4.0)
        return (io.Plan("small", rate=2.0 * rate, burst=small, ceiling_rate=8.0 * rate,
                        ceiling_burst=4 * small, ceiling_slack=1.0, beyond_earns=0.5),
                io.Plan("large", rate=20.0 * rate, burst=max(30.0 * rate, 4.0), beyond_earns=0.5),
                io.Plan("free"))

    def bounds(self) -> model.Bounds:
        return model.Bounds(max_attempts=3, answer_grace=16.0, drain_grace=250.0, cold_share=0.25,
                            warm_within=8.0 * self.aim, tip_multiple=1.0, overload_window=self.aim,
                            max_send_lag=0.4 * self.aim)


# Result of an attempt at a server, and its duration as a multiple of the usual one.
BEHAVIOURS = {"good": (io.Result.OK, 1.0), "slow": (io.Result.OK, 6.0), "errors": (io.Result.ERROR, 0.2),
              "full": (io.Result.FULL, 0.02), "refuses": (io.Result.CONNECT_FAILED, 0.02),
              "resets": (io.Result.RESET, 0.5), "silent": (io.Result.TIMEOUT, 1e9)}


class Simulation(Bed):
    """Gateways, servers and messages; whatever can be observed is reported to the model."""

    def __init__(self, seed: int, faults: bool, size: Size) -> None:
        self.rng, self.faults, self.size = random.Random(seed), faults, size
        self.classes, self.plans, self.bounds = size.classes(), size.plans(), size.bounds()
        classes = {c.name: model.ServiceClass(c.repeat.value, c.group.value, c.window, c.aim)
                   for c in self.classes}
        quotas = {p.name: model.Quota(p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack)
                  for p in self.plans}
        self.rules = model.Rules(self.bounds, classes, quotas)
        self.rules.exact = not faults and size.verdicts_arrive()
        self.mean_work = 0.12 * size.aim
        self.inbox: Counter[tuple[int, int]] = Counter()
        self.listed: dict[str, io.Entry] = {}
        self.behaviours: dict[str, str] = {}
        self.current_attempt: dict[str, int] = {}
        self.jobs = 0
        self.limiter_sets = {f"c{i}": self._random_limiters(size.gateways) for i in range(8)}
        self.plan_of = {c: self.plans[i % 3].name for i, c in enumerate(self.limiter_sets)}
        self.down: set[int] = set()
        bounds = self.bounds
        super().__init__(gateways=size.gateways, servers=0, classes=self.classes, plans=self.plans, tick=2.0,
                         inbox_per_s=size.inbox, max_attempts=bounds.max_attempts,
                         cold_share=bounds.cold_share, warm_within=bounds.warm_within,
                         tip_multiple=bounds.tip_multiple, drain_grace=bounds.drain_grace)
        for n in range(SERVERS):
            self._add_server(f"s{n}", n % 3, None)
        for i in self.gateways:
            self._deliver_list(i, list(self.listed.values()), io.ListKind.FULL)
        self.run(100.0)

    def _random_limiters(self, gateways: int) -> tuple[int, int]:
        return self.rng.randrange(gateways), self.rng.randint(1, min(gateways, MAX_SPREAD))

    # Servers, lists and messages ------------------------------------------------------------

    def _add_server(self, name: str, cell: int, started: float | None) -> io.Entry:
        entry = self.listed[name] = io.Entry(name, zone="ab"[cell % 2], cell=cell, started=started)
        at = -1e12 if started is None else started
        self.rules.servers[name] = model.Server(entry.zone, cell, SLOTS * 1000.0 / self.mean_work, at)
        self.behaviours[name] = "good"
        return entry

    def _deliver_list(self, i: int, entries: list[io.Entry], kind: io.ListKind = io.ListKind.CHANGES) -> None:
        for e in entries:
            self.rules.list_received(self.now, i, e.server, e.state.value, e.started)
        self.give(i, io.ServerList(kind, 2, tuple(entries)))

    def _announce(self, *entries: io.Entry) -> None:
        """Changes entries of the list; each gateway receives them after a random delay."""
        for e in entries:
            self.listed[e.server] = e
        for i in self.gateways:
            self._schedule(self.rng.uniform(1.0, 1500.0 if self.faults else 20.0), i, entries)

    def _schedule(self, after: float, i: int, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, i, event))

    def give(self, i: int, event: Any) -> list[io.Action]:
        if i in self.down or i not in self.gateways:
            return []
        if isinstance(event, tuple):
            self._deliver_list(i, list(event))
            return []
        if isinstance(event, io.Outcome):
            if self.current_attempt.get(event.request) != event.attempt:
                # The attempt was cancelled, and its outcome was delivered.
                return []
            del self.current_attempt[event.request]
            self.rules.attempt_ended(self.now, event.request, event.attempt, event.result in io.NEVER_RAN,
                             event.result is io.Result.OK)
            event = replace(event, complete=event.complete or self.rules.jobs[event.request].finished)
        self.rules.check_time(self.now)
        return super().give(i, event)

    def _act(self, i: int, actions: list[io.Action]) -> None:
        for a in actions:
            match a:
                case io.SetTimer():
                    self._schedule(a.after, i, io.Timer(a.timer_id))
                case io.SendToPeer():
                    self._message(i, a)
                case io.Send():
                    self._send(i, a)
                case io.Cancel():
                    self._schedule(
                        1.0, i, io.Outcome(a.request, a.attempt, "", io.Result.CANCELLED, 1.0, False))
                case io.Refuse():
                    self.rules.refused(self.now, a.request, a.over_quota)
                case io.Fail():
                    self.rules.failed(self.now, a.request)

    def _message(self, i: int, a: io.SendToPeer) -> None:
        assert len(a.data) <= 256
        for _ in range(1 + (self.faults and self.rng.random() < 0.1)):
            second = (a.peer, int(self.now // 1000.0))
            self.inbox[second] += 1
            if self.inbox[second] <= self.size.inbox and (not self.faults or self.rng.random() > 0.15):
                late = self.rng.random() < 0.03 if self.faults else False
                self._schedule(self.rng.uniform(1.0, 3000.0 if late else 39.0), a.peer,
                            io.PeerMessage(i, a.data))

    def _send(self, i: int, a: io.Send) -> None:
        job = self.rules.jobs[a.request]
        self.rules.attempt_sent(self.now, a.request, a.server, a.stamp.beyond if a.stamp else False)
        attempt = len(job.attempts) - 1
        self.current_attempt[a.request] = attempt
        result, slowness = BEHAVIOURS[self.behaviours[a.server]]
        warm_share = 1.0
        if (started := self.listed[a.server].started) is not None:
            warm_share = min(1.0, 0.25 + 0.75 * (self.now - started) / self.bounds.warm_within)
        took = self.mean_work * self.rng.uniform(0.7, 1.3) * slowness / warm_share
        timeout = min(a.timeout or 1e12, job.due - self.now)
        if took >= timeout:
            took, result = timeout, io.Result.TIMEOUT
        self._schedule(
            took, i, io.Outcome(a.request, attempt, a.server, result, took, result is io.Result.OK))

    # Steps ------------------------------------------------------------------------------------

    def job(self, customer: str, at: int | None = None) -> None:
        first, spread = self.limiter_sets[customer]
        limiters = [(first + k) % len(self.gateways) for k in range(spread)]
        i = at if at is not None else self.rng.choice(limiters)
        if i in self.down:
            return
        self.jobs += 1
        name, cls, plan = f"j{self.jobs}", self.rng.choice(self.classes), self.plan_of[customer]
        due = self.now + cls.deadline * self.rng.uniform(0.5, 1.0)
        self.rules.accepted(self.now, i, name, cls.name, plan, customer, 1.0, due)
        self.give(i, io.Request(name, cls.name, plan, customer, due, 1.0, first, spread))

    def exceed_quota(self) -> None:
        """One customer sends far more than its quota."""
        for _ in range(12):
            self.job("c0")

    def flood(self) -> None:
        for _ in range(40):
            self.job(self.rng.choice([c for c, p in self.plan_of.items() if p != "small"]))

    def restart(self, i: int, down: float = 300.0, gateways: int | None = None) -> None:
        """Kills a gateway and starts it again with an old list of servers and no other state."""
        old = list(self.listed.values())
        self.down.add(i)
        self.rules.limiter_killed(i)
        self.queue = [q for q in self.queue if q[2] != i or isinstance(q[3], io.PeerMessage)]
        heapq.heapify(self.queue)
        for c in self.limiter_sets:
            self._allow_excess(c, restarts=1)
        self.run(down)
        self.down.discard(i)
        if gateways is not None:
            self.changes["gateways"] = gateways
        super().begin(i)
        self._deliver_list(i, old, io.ListKind.CACHED)
        self._deliver_list(i, list(self.listed.values()))

    def resize(self) -> None:
        """Changes the number of limiters and restarts all of them, one after the other."""
        initial = self.size.gateways
        limiters = initial + 1 if len(self.gateways) == initial else initial
        for i in range(min(limiters, len(self.gateways))):
            self.restart(i, 100.0, limiters)
        for i in [i for i in self.gateways if i >= limiters]:
            self.rules.limiter_killed(i)
            del self.gateways[i]
        for i in range(len(self.gateways), limiters):
            # Placeholder, so that the new limiter counts; it is started at once.
            self.gateways[i] = self.gateways[0]
            self.restart(i, 0.0, limiters)
        for c in self.limiter_sets:
            self._allow_excess(c, moves=1)

    def move_customer(self) -> None:
        """Changes the limiters of a customer, and with them perhaps its owner."""
        c = self.rng.choice(list(self.limiter_sets))
        self.limiter_sets[c] = self._random_limiters(len(self.gateways))
        self._allow_excess(c, moves=1)

    def _allow_excess(self, customer: str, restarts: int = 0, moves: int = 0) -> None:
        """Raises the units that a customer may use beyond its quota because of faults."""
        plan = next(p for p in self.plans if p.name == self.plan_of[customer])
        # The other limiters decide by copies of the bucket until their counts are settled.
        if customer not in self.rules.allowed_excess:
            others = self.limiter_sets[customer][1] - 1
            self.rules.allowed_excess[customer] = others * (plan.burst + 1.2 * plan.rate + 1.0)
        self.rules.allowed_excess[customer] += (restarts + moves) * plan.burst

    def drain(self) -> None:
        up = [e for e in self.listed.values() if e.state is io.ServerState.UP]
        if len(up) > 3:
            self._announce(replace(self.rng.choice(up), state=self.rng.choice(
                [io.ServerState.DRAINING, io.ServerState.GONE])))

    def stop_all_servers(self) -> None:
        """No server is up for longer than a deadline."""
        up = [e for e in self.listed.values() if e.state is io.ServerState.UP]
        self._announce(*(replace(e, state=io.ServerState.DRAINING) for e in up))
        self.job(self.rng.choice(list(self.limiter_sets)))
        self.run(4.0 * self.size.aim)
        self._announce(*up)

    def start_server(self) -> None:
        """Starts a server anew, or a further one if all are up."""
        stopped = [e for e in self.listed.values() if e.state is not io.ServerState.UP]
        name = self.rng.choice(stopped).server if stopped else f"s{len(self.listed)}"
        self._announce(self._add_server(name, int(name[1:]) % 3, self.now))

    def change_behaviour(self) -> None:
        """A server behaves differently from now on."""
        name = self.rng.choice(list(self.behaviours))
        self.behaviours[name] = self.rng.choice(["good", "good", *BEHAVIOURS])

    def client_leaves(self) -> None:
        """The client of an unfinished job disconnects."""
        unfinished = [(n, j) for n, j in self.rules.jobs.items() if not j.finished]
        if unfinished:
            name, job = self.rng.choice(unfinished)
            self.rules.client_gone(name)
            self.give(job.limiter, io.ClientGone(name))


def simulate(seed: int, faults: bool, size: Size, steps: int = STEP_COUNT) -> None:
    """Plays a run of so many steps and checks all rules."""
    simulation = Simulation(seed, faults, size)
    for c in simulation.limiter_sets if not simulation.rules.exact else ():
        simulation._allow_excess(c)
    rng = random.Random(seed + 1)
    for step in range(steps):
        try:
            draw = rng.random()
            if draw < 0.03:
                simulation.flood()
            elif draw < 0.06:
                simulation.drain()
            elif draw < 0.11:
                simulation.start_server()
            elif draw < 0.14:
                simulation.change_behaviour()
            elif draw < 0.16:
                simulation.client_leaves()
            elif draw < 0.165:
                simulation.stop_all_servers()
            elif draw < 0.3:
                simulation.exceed_quota()
            elif faults and draw < 0.32:
                simulation.restart(rng.choice(list(simulation.gateways)))
            elif faults and draw < 0.325:
                simulation.resize()
            elif faults and draw < 0.34:
                simulation.move_customer()
            else:
                for _ in range(rng.randint(1, 6)):
                    simulation.job(rng.choice(list(simulation.limiter_sets)))
            simulation.run(rng.uniform(0.005, 0.2) * size.aim)
        except model.RuleViolationError as broken:
            raise AssertionError(f"seed {seed}, {size}, the first {step + 1} steps: {broken}") from broken
    simulation.run(4.0 * size.aim)
    simulation.rules.check_time(simulation.now)
    assert not simulation.rules.open and simulation.jobs > steps


@pytest.mark.parametrize("seed", range(8))
def test_runs_without_faults_keep_all_rules_and_exact_quotas(seed: int) -> None:
    simulate(seed, False, Size())


@pytest.mark.parametrize("seed", range(100, 116))
def test_runs_with_faults_keep_all_rules_and_the_bounds_of_quotas(seed: int) -> None:
    simulate(seed, True, Size())


@pytest.mark.parametrize("faults", [False, True])
@pytest.mark.parametrize("size", [
    Size(gateways=2), Size(gateways=12, inbox=60.0), Size(gateways=32, inbox=60.0), Size(aim=300.0),
    Size(aim=100.0),
    Size(aim=30000.0, rate=0.05), Size(rate=0.05, inbox=30.0), Size(rate=50.0)])
def test_other_deployment_sizes_and_loads_keep_all_rules(size: Size, faults: bool) -> None:
    """Guards against constants that fit one size of deployment only."""
    for seed in (200, 201):
        simulate(seed, faults, size, 150)
