"""The fleet rig: real limiters on loopback under injected faults, compared with the expected outcome.

Limiters are processes of the program.  Each has separate routes to every other (``relay.py``) and to every
node (``streams.py``), and its own discovery service, so that each can fail independently.  The audit counts
at nodes and clients and takes no figures from limiters.  Times are in s from the start of the run, unless
stated otherwise.
"""

from __future__ import annotations

import asyncio
import random
import signal
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from larklb.lab.cluster import Cluster, Discovery, Limiter, ask, job
from larklb.lab.machines import COLD_SHARE, CRASH_FACTOR, CRASH_WINDOW_S, WARM_S, Cells, Machine
from larklb.lab.relay import Relay
from larklb.lab.script import Fault, Script
from larklb.lab.streams import NodeRoutes, Route
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import members

T = TypeVar("T")
UNLIMITED_RATE = 500.0     # units per second of a customer whose quota should never be reached
RETRY_DELAY_S = 0.1        # before a client retries a job that was refused or failed
MAX_RETRIES = 2            # per job, before its deadline
GRACE_S = 0.3              # wait for an answer after the deadline, before the try counts as lost
LAG_INTERVAL_S = 0.05      # between measurements of the lag of the event loop
WINDOW_S = 0.5             # step of the figures over time
# Outcomes of tries by status; any other status except 200 counts as failed.
OUTCOMES = {429: "refused", 503: "refused", 0: "lost", -1: "unreached", -2: "spoilt"}
COLUMNS = ("s", "tries", "in time", "late", "refused", "failed", "unreached", "lost")
AIMS_MS = {"stock-check": 1500.0, "place-order": 2000.0}     # as in the cluster's settings
DEADLINES_S = {"stock-check": 4.0, "place-order": 5.0}


def for_each(action: Callable[[T], object], items: Iterable[T]) -> None:
    """Performs an action on each of the items."""
    for item in items:
        action(item)


@dataclass
class Try:
    """One request of a client to a limiter.

    ``status`` is the HTTP status, 0 for no answer, -1 if the limiter was unreachable, or -2 for a wrong body.
    """

    name: str                          # correlation id in hex: 16 times the job's number, plus the retry's
    customer: int
    limiter: int
    service: str
    submitted_at: float
    duration_s: float = 0.0
    status: int = 0


@dataclass
class Audit:
    """The results of a run."""

    tries: list[Try] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    windows: list[dict[str, Any]] = field(default_factory=list)  # tries and their outcomes per ``WINDOW_S``
    stderr: dict[str, str] = field(default_factory=dict)         # of killed limiters, by name

    def violations(self, script: Script) -> list[str]:
        """Returns one line for each figure outside of the bounds that the script expects."""
        return [f"{name} is {self.figures.get(name, float('nan')):.3f}, expected {low:g} to {high:g}"
                for name, (low, high) in script.expect.items()
                if not low <= self.figures.get(name, float("nan")) <= high]


class Rig:
    """One run: ``async with`` starts and stops the processes, ``play`` runs load and faults."""

    def __init__(self, script: Script, folder: Path, seed: int = 1, operator: str = "",
                 environment: dict[str, str] | None = None) -> None:
        """``folder`` receives configurations and sockets; ``operator`` extends the script's operator file."""
        self.script, self.seed = script, seed
        self.random = random.Random(seed)
        self.cells = Cells()
        self.machines = {f"s{i}": Machine(i, script.zone(i), script.cores, script.work, self.cells, seed)
                         for i in range(script.nodes)}
        load = script.load
        rate, burst = (load.quota, load.burst) if load.quota else (UNLIMITED_RATE, 2 * UNLIMITED_RATE)
        self.cluster = Cluster(folder, script.limiters, 0, more=script.operator + operator + "\n", plans=[
            {"name": "wide", "quota_rate": rate, "depth": burst}])
        self.cluster.nodes = list(self.machines.values())
        self.cluster.environment.update(environment or {})
        self.cluster.settings = {
            "family_info": {"inbox_per_s": script.inbox}, "dcs": list(script.zones),
            "safety": {"cold_share": COLD_SHARE, "warm_within": WARM_S * 1000.0, "tip_multiple": CRASH_FACTOR,
                       "fall": CRASH_WINDOW_S * 1000.0, "drain_grace": 250.0}}
        self.relay = Relay(self.cluster.peers, seed)
        self.relay.loss = script.loss
        self.routes = NodeRoutes(script.limiters, {name: m.port for name, m in self.machines.items()})
        # Custody uses TCP links between limiters, on ports of the same numbers as those for datagrams.
        uses_links = "[custody]" in self.cluster.more
        self.peer_links = {
            pair: Route(self.cluster.peers[pair[1]], port)
            for pair, port in self.relay.relay_ports.items()} if uses_links else {}
        self.discoveries = [Discovery() for _ in range(script.limiters)]
        self.generation = 1                    # of the node list
        self.listed_nodes = set(self.machines)
        self.cluster.peers_of = self.relay.peers
        self.cluster.discovery_of = lambda number: self.discoveries[number].port
        self.cluster.entries_of = self.entries
        # Senders, receivers and lost fraction of the datagrams between them.
        self.partitions: list[tuple[set[int], set[int], float]] = []
        self.relay.cut = self._is_dropped
        self.tasks: set[asyncio.Task[None]] = set()            # clients with a job in progress
        self.audit = Audit()
        self.started_at = 0.0                  # by the monotonic clock
        self.lag = 0.0                         # s, the largest lag of this process's event loop

    # Environment of the limiters ------------------------------------------------------------------

    def entries(self, number: int) -> list[dict[str, Any]]:
        """Returns the node list for one limiter, with the addresses of its routes."""
        return [self._entry(number, name, "up") for name in self.machines if name in self.listed_nodes]

    def _entry(self, number: int, name: str, lifecycle: str) -> dict[str, Any]:
        address = f"127.0.0.1:{self.routes.by_pair[number, name].port}"
        return self.machines[name].entry(lifecycle) | {"hostPort": address}

    def _publish_nodes(self, names: list[str], lifecycle: str) -> None:
        """Sends the entries of these nodes in a new generation to all limiters."""
        self.generation += 1
        for number, discovery in enumerate(self.discoveries):
            discovery.publish(self.generation, *(self._entry(number, name, lifecycle) for name in names))

    def _is_dropped(self, sender: int, receiver: int) -> bool:
        """Decides whether a partition drops a datagram; at random, if it drops a fraction."""
        return any(sender in senders and receiver in receivers and self.random.random() < fraction
                   for senders, receivers, fraction in self.partitions)

    async def __aenter__(self) -> Rig:
        try:
            await self.relay.start()
            await self.routes.start()
            for link in self.peer_links.values():
                await link.start()
            for discovery in self.discoveries:
                await discovery.start()
            self._publish_nodes(list(self.machines), "up")
            await self.cluster.__aenter__()
        except BaseException:
            await asyncio.sleep(1.0)           # other processes may be starting and must be stopped too
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for limiter in self.cluster.limiters:
            process = limiter.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)        # paused by a fault that has not ended
        await self.cluster.__aexit__()
        self.relay.stop()
        self.routes.stop()
        for_each(Route.stop, self.peer_links.values())

    # Running ------------------------------------------------------------------------------

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def play(self, watch: Callable[[float], Any] | None = None) -> Audit:
        """Runs the script and computes the figures.

        ``watch`` is a function or coroutine function that is called with the time every ``WINDOW_S``.
        """
        self.started_at = time.monotonic()
        coroutines = [self._generate_load(), self._measure_lag()] + [
            self._run_fault(fault) for fault in self.script.fault]
        if watch is not None:
            coroutines.append(self._call_periodically(watch))
        await asyncio.gather(*coroutines)
        while self.tasks:
            await asyncio.wait(self.tasks)
        self._compute_figures()
        return self.audit

    async def _call_periodically(self, watch: Callable[[float], Any]) -> None:
        while self.now() < self.script.length:
            await asyncio.sleep(WINDOW_S)
            result = watch(self.now())
            if asyncio.iscoroutine(result):
                await result

    async def _measure_lag(self) -> None:
        while self.now() < self.script.length:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag = max(self.lag, time.monotonic() - before - LAG_INTERVAL_S)

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self.now()))

    async def _generate_load(self) -> None:
        """Starts a client for each job, at random times and without waiting for earlier jobs."""
        load, submit_at, job_number = self.script.load, 0.0, 0
        while (submit_at := submit_at + self.random.expovariate(load.rate)) < self.script.length:
            await self._sleep_until(submit_at)
            job_number += 1
            customer = self.random.randrange(load.customers)
            member_numbers = members(customer % self.script.limiters, load.spread, self.script.limiters)
            weights = [load.hot if m == 0 else 1.0 for m in member_numbers]
            limiters = self.random.choices(member_numbers, weights)
            limiters += self.random.sample(
                [m for m in member_numbers if m != limiters[0]], len(member_numbers) - 1)
            service = "place-order" if self.random.random() < load.keyed else "stock-check"
            task = asyncio.ensure_future(self._run_client(job_number, customer, limiters, service))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run_client(self, job_number: int, customer: int, limiters: list[int], service: str) -> None:
        """Submits one job, retrying at the next limiter of its set as a front proxy does."""
        deadline = self.now() + DEADLINES_S[service]
        key = f"{job_number:032x}"
        for retry in range(1 + MAX_RETRIES):
            time_left = deadline - self.now()
            if time_left <= 0.05:
                return
            attempt = Try(f"{job_number * 16 + retry:016x}", customer, limiters[retry % len(limiters)],
                          service, self.now())
            await self._send_request(attempt, time_left, key, retry > 0)
            self.audit.tries.append(attempt)
            retryable = service == "stock-check" or attempt.status in (-1, 429, 503)
            if attempt.status == 200 or not retryable:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _send_request(self, attempt: Try, time_left: float, key: str, is_retry: bool) -> None:
        """Sends a try to its limiter and records its status and duration; an order carries ``key``."""
        request = job(attempt.name, attempt.service, "wide", attempt.customer + 1, time_left,
                      self.script.load.spread, attempt.customer % self.script.limiters)
        if attempt.service == "place-order":
            lines = request.split("\r\n")
            key_lines = f"Idempotency-Key: {key}" + "\r\nX-Repeat: 1" * is_retry
            request = "\r\n".join(
                key_lines if line.startswith("Idempotency-Key") else line for line in lines)
        try:
            async with asyncio.timeout(time_left + GRACE_S):
                attempt.status, _, body = await ask(self.cluster.limiters[attempt.limiter].port, request)
                if attempt.status == 200 and not body.startswith(b"done "):
                    attempt.status = -2
        except ConnectionRefusedError:
            attempt.status = -1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            limiter = self.cluster.limiters[attempt.limiter]
            has_exited = limiter.process is None or limiter.process.returncode is not None
            attempt.status = -1 if has_exited else 0
        attempt.duration_s = self.now() - attempt.submitted_at

    # Faults -------------------------------------------------------------------------------

    async def _run_fault(self, fault: Fault) -> None:
        """Injects a fault at its time, and reverts it when it ends."""
        await self._sleep_until(fault.at)
        revert = await self._inject_fault(fault)
        if fault.lasts:
            await self._sleep_until(fault.at + fault.lasts)
            result = revert()
            if asyncio.iscoroutine(result):
                await result

    async def _inject_fault(self, fault: Fault) -> Callable[[], Any]:
        """Injects a fault and returns the function or coroutine function that reverts it."""
        limiters, nodes = self.script.limiters_of(fault.who), self.script.nodes_of(fault.to)
        machines = [self.machines[name] for name in nodes]
        routes = [self.routes.by_pair[number, name] for number in limiters for name in nodes]
        match fault.what:
            case "kill":
                await asyncio.gather(*(self._kill_limiter(self.cluster.limiters[i]) for i in limiters))
                return lambda: self._start_limiters(limiters)
            case "pause":
                for number in limiters:
                    self._send_signal(number, signal.SIGSTOP)
                return lambda: for_each(lambda number: self._send_signal(number, signal.SIGCONT), limiters)
            case "apart":
                one_side, other_side = set(limiters), set(self.script.limiters_of(fault.to))
                cuts = [(one_side, other_side, fault.part)] + (
                    [] if fault.one_way else [(other_side, one_side, fault.part)])
                self.partitions += cuts
                # TCP links lose nothing at random: only a complete cut affects them.
                silenced = [
                    link for (sender, receiver), link in self.peer_links.items() if fault.part >= 1.0 and any(
                        sender in senders and receiver in receivers for senders, receivers, _ in cuts)]
                for_each(lambda link: link.set_state("silent"), silenced)

                def heal() -> None:
                    for_each(self.partitions.remove, cuts)
                    for_each(lambda link: link.set_state("open"), silenced)
                return heal
            case "refused" | "silent":
                for route in routes:
                    route.set_state("refused" if fault.what == "refused" else "silent")
                return lambda: for_each(lambda route: route.set_state("open"), routes)
            case "delayed":
                for route in routes:
                    route.delay = fault.ms / 1000.0
                return lambda: for_each(lambda route: setattr(route, "delay", 0.0), routes)
            case "failing":
                for machine in machines:
                    machine.failing, machine.failing_service = True, fault.service
                return lambda: for_each(lambda machine: setattr(machine, "failing", False), machines)
            case "slow":
                for machine in machines:
                    machine.work_factor = fault.times
                return lambda: for_each(lambda machine: setattr(machine, "work_factor", 1.0), machines)
            case "restart":
                node_routes = [route for (_, name), route in self.routes.by_pair.items() if name in nodes]
                for route in node_routes:
                    route.set_state("refused")
                return lambda: self._restart_nodes(nodes, node_routes)
            case "unlisted":
                self.listed_nodes -= set(nodes)
                self._publish_nodes(nodes, "draining")
                return lambda: self._relist_nodes(nodes)
            case "deaf":
                for number in limiters:
                    self.discoveries[number].muted = True
                return lambda: for_each(self._resume_discovery, limiters)

    async def _kill_limiter(self, limiter: Limiter) -> None:
        await limiter.stop(signal.SIGKILL)
        self.audit.stderr[limiter.name] = self.audit.stderr.get(limiter.name, "") + limiter.errors.decode()

    async def _start_limiters(self, numbers: list[int]) -> None:
        await asyncio.gather(*(self.cluster.limiters[i].start() for i in numbers))

    def _send_signal(self, number: int, signal_number: signal.Signals) -> None:
        process = self.cluster.limiters[number].process
        if process is not None:
            with suppress(ProcessLookupError):
                process.send_signal(signal_number)

    def _restart_nodes(self, nodes: list[str], routes: list[Any]) -> None:
        for name in nodes:
            self.machines[name].restart()
        for route in routes:
            route.set_state("open")
        self._publish_nodes(nodes, "up")

    def _relist_nodes(self, nodes: list[str]) -> None:
        self.listed_nodes |= set(nodes)
        self._publish_nodes(nodes, "up")

    def _resume_discovery(self, number: int) -> None:
        """Closes the watches of a limiter; the ones that it opens next deliver what it missed."""
        self.discoveries[number].muted = False
        self.discoveries[number].disconnect_watchers()

    # Figures ------------------------------------------------------------------------

    def _compute_figures(self) -> None:
        """Computes the figures of the whole run and those of each window.

        The keys of the figures are printed, and scripts state their bounds.
        """
        audit, script = self.audit, self.script
        outcomes = Counter(self._outcome(attempt) for attempt in audit.tries)
        jobs: dict[int, list[Try]] = defaultdict(list)
        for attempt in audit.tries:
            jobs[int(attempt.name, 16) // 16].append(attempt)
        served_in_time = sum(
            any(self._outcome(attempt) == "in time" for attempt in attempts) for attempts in jobs.values())
        # By correlation id: when the first node accepted the try, by the monotonic clock.
        first_accepted_at: dict[str, float] = {}
        sends = 0
        for machine in self.machines.values():
            sends += len(machine.accepted)
            for accepted_at, name in machine.accepted:
                first_accepted_at[name] = min(accepted_at, first_accepted_at.get(name, accepted_at))
        opened = self.routes.opened()
        self.audit.figures = {
            "jobs": len(jobs), "tries": len(audit.tries), "served": served_in_time / max(1, len(jobs)),
            "refused": outcomes["refused"] / max(1, len(audit.tries)),
            "failed": outcomes["failed"] / max(1, len(audit.tries)), "lost": outcomes["lost"],
            "orders": sum(any(self._outcome(attempt) in ("in time", "late") for attempt in attempts)
                          for attempts in jobs.values()
                          if attempts[0].service == "place-order") / max(1, sum(
                              attempts[0].service == "place-order" for attempts in jobs.values())),
            "spoilt": outcomes["spoilt"], "twice": len(self.cells.executed_twice()),
            "wasted": sum(m.failed for m in self.machines.values()), "sends": sends,
            # Attempts beyond the first for each try that reached a node.
            "further": sends / len(first_accepted_at) - 1.0 if first_accepted_at else 0.0,
            "turned away": sum(m.rejected for m in self.machines.values()),
            "fallen": sum(m.crashes for m in self.machines.values()),
            "at once": max(m.max_concurrent_requests for m in self.machines.values()),
            "links": max(m.max_connections for m in self.machines.values()),
            "cold times": max(m.max_cold_load for m in self.machines.values()),
            "opened": sum(opened.values()), "opened a try": sum(opened.values()) / max(1, len(audit.tries)),
            "p50 ms": 1000 * statistics.median(
                [attempt.duration_s for attempt in audit.tries if attempt.status == 200] or [0.0]),
            "over": self._max_excess(first_accepted_at), "messages": self.relay.forwarded,
            "messages a try": self.relay.forwarded / max(1, len(audit.tries))}
        window_count = round(script.length / WINDOW_S)
        for window in range(window_count):
            submitted = [attempt for attempt in audit.tries
                         if window <= attempt.submitted_at / WINDOW_S < window + 1]
            window_outcomes = Counter(self._outcome(attempt) for attempt in submitted)
            audit.windows.append({"s": window * WINDOW_S, "tries": len(submitted), **window_outcomes})

    @staticmethod
    def _outcome(attempt: Try) -> str:
        if attempt.status == 200:
            return "in time" if attempt.duration_s * 1000.0 <= AIMS_MS[attempt.service] else "late"
        return OUTCOMES.get(attempt.status, "failed")

    def _max_excess(self, first_accepted_at: dict[str, float]) -> float:
        """Returns the largest excess in units of a customer's accepted jobs over an ideal token bucket."""
        load, max_excess = self.script.load, 0.0
        if not load.quota:
            return 0.0
        by_name = {attempt.name: attempt for attempt in self.audit.tries}
        for customer in range(load.customers):
            # The ideal bucket may go below zero, and its deficit is the excess.
            bucket = TokenBucket(load.quota, load.burst, load.burst, 0.0)
            accepted = sorted(accepted_at for name, accepted_at in first_accepted_at.items()
                              if by_name[name].customer == customer)
            for accepted_at in accepted:
                bucket.fill(accepted_at * 1000.0)
                bucket.tokens -= 1.0
                max_excess = max(max_excess, -bucket.tokens)
        return max_excess
