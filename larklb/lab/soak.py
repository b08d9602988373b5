"""Soak test: limiter processes on loopback under overlapping series of signals, restarts, cuts and changes.

Clients use their connections until the process is gone, and some disconnect during a request. Some tenants
send more than their quota at times. These violations are detected from the records of clients and servers:

    twice     an unsafe request ran more than once
    promise   a request ran though its status (408, 421, 429, 503) promises that it didn't
    wrong     a success has another body than its own, or no server completed the request
    lost      a request that had reached a server was disconnected by a process that wasn't killed
    gone      a run began, or a safe run continued, more than half a second after its client had disconnected
    quota     more requests of a tenant were sent and run within a window than its limit allows
    end       a process didn't exit with 0 within its grace period after SIGTERM
    settled   at the end, not all limiters are ready with the last acknowledged configuration
    nobody    at the end, a limiter that is ready doesn't serve a request
    leak      connections to servers are still open some time after the last request
    error     a limiter has counted an unexpected error

    python -m larklb.lab.soak [--seeds N] [--first S] [--seconds T] [--jobs J] [--limiters L]

prints one line per seed, and exits with 1 on any violation. The processes' logs of such a seed are retained.
``lag_ms`` is the longest time that this process itself, with all clients and servers, was late.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from attrs import define, field

from larklb.lab.soak_clients import (
    CLIENT_TIMEOUT_S,
    KEY,
    MAX_REFUSAL_PAUSE_S,
    ClientRequest,
    PersistentClient,
    Run,
    SoakServer,
)
from larklb.lab.soak_quotas import ALLOWANCES, QUOTA_CONFIGURATION, TenantLoad
from larklb.lab.soak_relays import Relays
from larklb.lab.system import RECOVERY_TIMEOUT_S, START_TIMEOUT_S, Trial
from larklb.lab.system_clients import NOT_RUN_STATUSES
from larklb.lab.system_network import CORES, GRACE_S, LIMITERS, TrialError, call, free_net
from larklb.schema import calls

# The work of a request must end within this time after its client has disconnected.
ABANDONED_WORK_S = 0.5
SLACK_S = 0.35  # additional time allowed for a loaded machine
# A disconnect this shortly before or after a kill is attributed to the kill.
KILL_WINDOW_S = 0.4
# A limiter must serve a request within this time after all faults have ended and all limiters are ready.
LAST_REQUESTS_S = 6.0
# Idle connections to servers are closed within this time; how often a limiter is asked for their number.
IDLE_END_S, STATUS_INTERVAL_S = 9.0, 0.5
LAG_INTERVAL_S = 0.05  # time between measurements of this process's lateness
CLIENTS = 14
DOWN_S = (0.2, 1.0)  # time between the end and the restart of a process, (min, max)
# How long a process is suspended, and how long a limiter is cut off from the others, (min, max).
FREEZE_S, CUT_S = (0.2, 2.0), (1.0, 12.0)
# With more limiters there are no relays between them, and so no cuts.
MAX_RELAYED_LIMITERS = 16
DEFAULT_DURATION_S = 8.0
Step = Callable[[random.Random], Awaitable[None]]


@define
class Violation:
    """A violated rule, and the request or process concerned."""

    rule: str
    detail: str


@define
class Result:
    """Result of one seed; ``counts`` has requests by status, clients that disconnected, and signals."""

    seed: int
    counts: Counter[str]
    broken: list[Violation] = field(factory=list)
    logs: str = ""  # folder of the logs after a violation


class Soak(Trial):
    """The run for one seed, which stops everything it started."""

    def __init__(self, folder: Path, seconds: float, seed: int, limiters: int = LIMITERS) -> None:
        relayed = limiters <= MAX_RELAYED_LIMITERS
        super().__init__(folder, seconds, True, free_net(limiters, own_peer_ports=relayed))
        self.relays = Relays(self.net) if relayed else None
        self.seed, self.rng = seed, random.Random(seed)
        self.soak_servers = [
            SoakServer(s.id, s.service, s.zone, s.ip, s.port, s.controls, random.Random(seed + k))
            for k, s in enumerate(self.servers)
        ]
        self.servers = list(self.soak_servers)
        self.persistent_clients = [
            PersistentClient(f"c{n}", self.net, random.Random(seed * 1_000 + n), self._target)
            for n in range(CLIENTS)
        ]
        self.loads = [
            TenantLoad(
                allowance,
                self.net,
                random.Random(seed * 1_000 + 500 + n),
                self._ready_limiters,
                lambda: sorted(self.cut_off),
            )
            for n, allowance in enumerate(ALLOWANCES)
        ]
        self.cut_off: set[int] = set()
        # Kills by limiter and time, and the times at which one was suspended.
        self.kills: list[tuple[int, float]] = []
        self.restarting: set[int] = set()
        self.core_lock = asyncio.Lock()  # one core machine at a time, the most that may be lost
        self.version = int(QUOTA_CONFIGURATION["version"])
        self.counts: Counter[str] = Counter()
        self.broken: list[Violation] = []
        # Processes that are suspended now.
        self.suspended: set[asyncio.subprocess.Process] = set()

    def _ready_limiters(self) -> list[int]:
        return self.clients.ready() or list(range(self.net.limiters))

    def _target(self) -> int:
        return self.rng.choice(self._ready_limiters())

    async def play(self) -> Result:
        """Runs the soak, from the first start to the final checks.

        Raises:
            TrialError: The limiters don't become ready.
        """
        if self.relays is not None:
            await self.relays.start()
        self.tasks.append(asyncio.ensure_future(self._measure_lag()))
        for server in self.servers:
            await server.start()
            self.tasks.append(asyncio.ensure_future(server.send_heartbeats()))
        for i in range(self.net.limiters):
            await self.start(i, True)
        self.tasks.append(asyncio.ensure_future(self.clients.poll_readiness()))
        await self.change(calls.REPLACE, 0, QUOTA_CONFIGURATION)
        if not await self.wait_until("all limiters are ready", START_TIMEOUT_S, self.all_converged):
            raise TrialError("they never got ready")
        until = asyncio.get_running_loop().time() + self.seconds
        await asyncio.gather(
            *(client.run(until) for client in self.persistent_clients),
            *(load.run(until) for load in self.loads),
            *(series for series in self._series(until)),
        )
        self.clients.killed = {}
        await asyncio.sleep(ABANDONED_WORK_S + SLACK_S)
        self.broken += self._check_requests()
        self.broken += [
            Violation("quota", text) for load in self.loads if (text := load.excess(self._runs_of))
        ]
        await self._check_settled()
        await asyncio.gather(*(self._check_limiter(i) for i in range(self.net.limiters)))
        return Result(self.seed, self.counts, self.broken)

    async def _measure_lag(self) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            due_at = clock() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.counts["lag_ms"] = max(self.counts["lag_ms"], round((clock() - due_at) * 1000.0))

    async def stop(self) -> None:
        """Resumes suspended processes, and ends everything that was started."""
        for process in self.suspended:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
        await super().stop()
        if self.relays is not None:
            self.relays.stop()

    # Faults -----------------------------------------------------------------------------

    def _series(self, until: float) -> Iterator[asyncio.Future[None]]:
        """Starts the overlapping series of faults, each at its own rate."""
        steps = [(self._term, 2), (self._hang_up, 2), (self._kill, 1), (self._amend, 1), (self._freeze, 1)]
        if self.relays is not None:
            steps.append((self._cut, 1))
        for step, count in steps:
            for _ in range(count):
                yield asyncio.ensure_future(self._repeat(step, until))

    async def _repeat(self, step: Step, until: float) -> None:
        clock, rng = asyncio.get_running_loop().time, random.Random(self.rng.random())
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        gap = rng.uniform(0.2, 1.6)
        while clock() < until - 0.5:
            await step(rng)
            await asyncio.sleep(gap * rng.uniform(0.3, 1.7))

    async def _restart(self, i: int, signal_number: signal.Signals, rng: random.Random) -> None:
        if i in self.restarting:
            return
        self.restarting.add(i)
        try:
            if i < CORES:
                async with self.core_lock:
                    await self._restart_process(i, signal_number, rng)
                    await self._wait_until_serving(i)
            else:
                await self._restart_process(i, signal_number, rng)
        finally:
            self.restarting.discard(i)

    async def _restart_process(self, i: int, signal_number: signal.Signals, rng: random.Random) -> None:
        clock, process = asyncio.get_running_loop().time, self.processes[i]
        # A process that has just started may not handle the signal yet, and is then ended by it.
        expected_codes = (0,) if await self.status(i, calls.COUNTS) else (0, -signal.SIGTERM)
        self.counts[signal_number.name] += 1
        self.clients.killed[i] = clock()
        if signal_number is signal.SIGKILL:
            self.kills.append((i, clock()))
        if process.returncode is not None:
            self.broken.append(Violation("end", f"limiter-{i} ended by itself: {self.last_log_line(i)}"))
        with suppress(ProcessLookupError):
            process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S + 1.5)
        except TimeoutError:
            self.broken.append(Violation("end", f"limiter-{i} runs on after its grace"))
            self.kills.append((i, clock()))
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        if signal_number is signal.SIGTERM and process.returncode not in expected_codes:
            self.broken.append(
                Violation("end", f"limiter-{i} ended with {process.returncode}: {self.last_log_line(i)}")
            )
        await asyncio.sleep(rng.uniform(*DOWN_S))
        await self.start(i, False)

    async def _wait_until_serving(self, i: int) -> None:
        """Waits up to 6 s for a core machine to serve again; until then it counts as lost."""
        for _ in range(60):
            if ((await self.status(i, calls.CORE)).get("core") or {}).get("serves"):
                return
            await asyncio.sleep(0.1)

    async def _term(self, rng: random.Random) -> None:
        await self._restart(rng.randrange(self.net.limiters), signal.SIGTERM, rng)

    async def _kill(self, rng: random.Random) -> None:
        await self._restart(rng.randrange(self.net.limiters), signal.SIGKILL, rng)

    async def _hang_up(self, rng: random.Random) -> None:
        i = rng.randrange(self.net.limiters)
        if await self._is_undisturbed(i):
            self.counts["SIGHUP"] += 1
            self.processes[i].send_signal(signal.SIGHUP)

    async def _is_undisturbed(self, i: int) -> bool:
        """Returns whether a process is ready, and is neither being restarted nor suspended.

        A process that has just started doesn't handle signals yet."""
        ready = (await self.status(i, calls.COUNTS)).get("ready")
        return bool(ready) and i not in self.restarting and self.processes[i].returncode is None

    async def _freeze(self, rng: random.Random) -> None:
        """Suspends a process for a while; what its clients see meanwhile counts like a kill."""
        i, clock = rng.randrange(self.net.limiters), asyncio.get_running_loop().time
        if not await self._is_undisturbed(i):
            return
        self.restarting.add(i)
        process, until = self.processes[i], clock() + rng.uniform(*FREEZE_S)
        self.counts["SIGSTOP"] += 1
        process.send_signal(signal.SIGSTOP)
        self.suspended.add(process)
        try:
            while clock() < until:
                self.kills.append((i, clock()))
                await asyncio.sleep(KILL_WINDOW_S / 2)
        finally:
            process.send_signal(signal.SIGCONT)
            self.suspended.discard(process)
            self.kills.append((i, clock()))
            self.restarting.discard(i)

    async def _cut(self, rng: random.Random) -> None:
        """Cuts a limiter off from the core or from all others; at most one core machine at a time."""
        i = rng.randrange(self.net.limiters)
        if i >= CORES:
            await self._cut_off(i, rng)
            return
        async with self.core_lock:
            await self._cut_off(i, rng)
            await self._wait_until_serving(i)

    async def _cut_off(self, i: int, rng: random.Random) -> None:
        assert self.relays is not None
        others = range(CORES) if rng.random() < 0.5 else range(self.net.limiters)
        self.counts["cut"] += 1
        pairs = self.relays.cut(i, others)
        self.cut_off.add(i)
        try:
            await asyncio.sleep(rng.uniform(*CUT_S))
        finally:
            self.relays.join(pairs)
            self.cut_off.discard(i)

    async def _amend(self, rng: random.Random) -> None:
        route = {**QUOTA_CONFIGURATION["hosts"][0]["paths"][1], "timeoutMs": rng.randrange(3_500, 4_500)}
        base, self.version = self.version, self.version + rng.randrange(1, 4)
        await self.change(
            calls.AMEND,
            base,
            {"version": self.version, "upsert": {"hosts": [{"host": "shop.example", "paths": [route]}]}},
        )
        self.counts["amended"] += 1

    # What must hold -----------------------------------------------------------------------

    def _runs_of(self, path: str) -> list[Run]:
        return [run for server in self.soak_servers for run in server.runs_by_path.get(path, ())]

    def _was_killed(self, request: ClientRequest, at: float) -> bool:
        """Whether its limiter was killed between its sending and ``at``, within KILL_WINDOW_S."""
        return any(
            i == request.limiter and request.sent_at - KILL_WINDOW_S <= killed_at <= at + KILL_WINDOW_S
            for i, killed_at in self.kills
        )

    def _check_requests(self) -> Iterator[Violation]:
        clients = [*self.persistent_clients, *(client for load in self.loads for client in load.clients)]
        for client in clients:
            for request in client.requests:
                self.counts[
                    str(request.status) if request.status else "left" if request.closed_at else "cut"
                ] += 1
                yield from self._check_request(request, self._runs_of(request.path))

    def _check_request(self, request: ClientRequest, runs: list[Run]) -> Iterator[Violation]:
        if not request.safe and len(runs) > 1:
            yield Violation("twice", request.path)
        if request.status in NOT_RUN_STATUSES and runs:
            yield Violation("promise", f"{request.path}: {request.status}")
        if request.status == 200 and (
            not any(run.completed for run in runs)
            or request.body.decode("utf-8", "replace") != f"{request.path} for {request.tenant}"
        ):
            yield Violation("wrong", request.path)
        if (
            request.disconnected_at is not None
            and runs
            and not self._was_killed(request, request.disconnected_at)
        ):
            yield Violation("lost", f"{request.path} at limiter-{request.limiter}")
        if request.closed_at is not None and not self._was_killed(
            request, request.closed_at + ABANDONED_WORK_S
        ):
            yield from self._gone(request, request.closed_at + ABANDONED_WORK_S + SLACK_S, runs)

    @staticmethod
    def _gone(request: ClientRequest, bound: float, runs: list[Run]) -> Iterator[Violation]:
        for run in runs:
            if run.started_at > bound or request.safe and (run.ended_at is None or run.ended_at > bound):
                work = "-" if run.ended_at is None else f"{run.ended_at:.3f}"
                yield Violation(
                    "gone",
                    f"{request.path} at limiter-{request.limiter}: sent {request.sent_at:.3f}, closed "
                    f"{request.closed_at:.3f}, run {run.started_at:.3f} to {work}",
                )

    async def _check_settled(self) -> None:
        if not await self.wait_until("all limiters are there", RECOVERY_TIMEOUT_S, self.all_converged):
            self.broken.append(Violation("settled", "not all limiters are back with one configuration"))
        configuration = await self._read_back()
        if configuration.get("version") != self.version:
            self.broken.append(
                Violation("settled", f"{configuration.get('version')} is read, not {self.version}")
            )

    async def _check_limiter(self, i: int) -> None:
        """Checks that a limiter serves, has met no unexpected error, and leaves no connection behind."""
        status = await self._status_of_last_requests(i)
        if status != 200:
            self.broken.append(Violation("nobody", f"limiter-{i} answers {status or 'nothing'}"))
        open_connections, counts = -1, {}
        for _ in range(round(IDLE_END_S / STATUS_INTERVAL_S)):
            document = await self.status(i, calls.COUNTS)
            counts = document.get("counts", {})
            open_connections = document.get("open", {}).get("servers", -1)
            if not open_connections:
                break
            await asyncio.sleep(STATUS_INTERVAL_S)
        if open_connections:
            self.broken.append(
                Violation("leak", f"limiter-{i} has {open_connections} connections to servers")
            )
        errors = {name: count for name, count in counts.items() if name.startswith("internal_error")}
        if errors:
            self.broken.append(Violation("error", f"limiter-{i}: {errors}"))

    async def _status_of_last_requests(self, i: int) -> int:
        """Sends requests to a limiter until one is served; returns the status of the last, 0 for no answer.

        Tenants may be refused for a moment after the last faults, and try again."""
        clock = asyncio.get_running_loop().time
        until, status, number = clock() + LAST_REQUESTS_S, 0, 0
        while status != 200 and clock() < until:
            number += 1
            name = f"last-{i}-{number}"
            headers = {"Host": "shop.example", "Authorization": f"Bearer {KEY}", "X-Attempt-Id": name}
            address = f"{self.net.ip(i)}:{self.net.edge}"
            with suppress(OSError, TimeoutError):
                status, _, _ = await call(
                    address, "GET", f"/parts/{name}", headers, timeout_s=CLIENT_TIMEOUT_S
                )
            if status != 200:
                self.counts[f"last_{status}"] += 1
                await asyncio.sleep(MAX_REFUSAL_PAUSE_S)
        return status


async def _run_soak(folder: Path, seconds: float, seed: int, limiters: int) -> Result:
    soak = Soak(folder, seconds, seed, limiters)
    play = asyncio.ensure_future(soak.play())
    # Ended by a signal, it ends its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, play.cancel)
    try:
        return await play
    except TrialError as error:
        return Result(seed, soak.counts, [*soak.broken, Violation("settled", str(error))])
    except asyncio.CancelledError:
        return Result(seed, soak.counts, [*soak.broken, Violation("fault", "ended by a signal")])
    finally:
        await soak.stop()


def play(seed: int, seconds: float = DEFAULT_DURATION_S, limiters: int = LIMITERS) -> Result:
    """Runs one seed in this process; the limiters' logs are retained on a violation."""
    folder = tempfile.mkdtemp(prefix=f"larklb-soak-{seed}-")
    result = asyncio.run(_run_soak(Path(folder), seconds, seed, limiters))
    if result.broken:
        result.logs = folder
    else:
        shutil.rmtree(folder)
    return result


def _run_in_subprocess(seed: int, seconds: float, limiters: int) -> str:
    """Runs one seed in a subprocess and returns its line of JSON."""
    completed_process = subprocess.run(
        [
            sys.executable,
            "-m",
            "larklb.lab.soak",
            "--first",
            str(seed),
            "--seeds",
            "1",
            "--seconds",
            str(seconds),
            "--limiters",
            str(limiters),
        ],
        capture_output=True,
        text=True,
    )
    return completed_process.stdout.strip() or json.dumps(
        {"seed": seed, "broken": [["fault", completed_process.stderr[-400:]]]}
    )


def format_result(result: Result) -> str:
    """Formats the result of a seed as a line of JSON."""
    return json.dumps(
        {
            "seed": result.seed,
            "broken": [[b.rule, b.detail] for b in result.broken],
            "logs": result.logs,
            **dict(sorted(result.counts.items())),
        }
    )


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m larklb.lab.soak")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--limiters", type=int, default=LIMITERS)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    if options.seeds == 1:
        result = play(options.first, options.seconds, options.limiters)
        print(format_result(result), flush=True)
        return 1 if result.broken else 0
    failed = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for result_line in pool.map(
            lambda seed: _run_in_subprocess(seed, options.seconds, options.limiters), seeds
        ):
            print(result_line, flush=True)
            failed += bool(json.loads(result_line)["broken"])
    print(f"{len(seeds)} seeds, {failed} with anything broken", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
