"""Trial of the whole system on loopback: limiters as processes, stand-in servers, clients and faults.

Three core limiters with a data directory each and two without a disk serve four servers of two services.
While requests go on, a configuration is installed and amended, the leader is killed and restarted, and a
server is drained. The verdict rests on the counts of the servers and the clients alone, not on the
limiters' reports.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from pathlib import Path

from larklb.lab.cluster import ROOT
from larklb.lab.system_clients import Clients
from larklb.lab.system_network import (
    AMENDMENT,
    CONFIGURATION,
    CORES,
    DRAIN_BOUND_S,
    GRACE_S,
    REQUEST_INTERVAL_S,
    SMALL_RATE,
    ZONES,
    Document,
    Net,
    TrialError,
    call,
    free_net,
    settings,
)
from larklb.lab.system_servers import StandInServer
from larklb.schema import calls
from larklb.schema.amendments import amend
from larklb.schema.document import digest, parse

# Minimum duration of the request stream, so that a killed limiter is back before its end.
MIN_DURATION_S = 6.0
# For all limiters to become ready; they start slowly on a busy machine.
START_TIMEOUT_S = 25.0
# After the last request, for all limiters to be up with the same configuration.
RECOVERY_TIMEOUT_S = 20.0
# Between killing the leader and restarting it.
DOWNTIME_S = 2.0


class Trial:
    """One run of the trial; `stop` ends every process, task and server that it started.

    :param folder: Directory for the settings, logs and disks of the limiters.
    :param seconds: Duration of the request stream.
    :param quiet: Print nothing and skip the demonstration of the commands.
    :param net: The addresses; free ones by default.
    """

    def __init__(self, folder: Path, seconds: float, quiet: bool, net: Net | None = None) -> None:
        self.folder, self.seconds, self.quiet = folder, seconds, quiet
        self.net, rng = net or free_net(), random.Random(11)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.clients = Clients(self.net, rng)
        self.servers = [
            StandInServer(f"{service}-{n}", service, ZONES[n], self.net.ip(100 + k), self.net.server,
                          self.net.controls(), random.Random(k))
            for k, (service, n) in enumerate(
                (s, n) for s in ("orders", "catalogue") for n in (0, 1))]
        self.tasks: list[asyncio.Task[None]] = []
        self.failures: list[str] = []       # descriptions of the checks that failed

    def say(self, text: str) -> None:
        """Print a line of progress unless the trial is quiet."""
        if not self.quiet:
            print(text, flush=True)

    def check(self, passed: bool, text: str) -> None:
        """Print the result of a check and record it if it failed."""
        self.say(f"  {'as it should be' if passed else 'NOT as it should be'}: {text}")
        if not passed:
            self.failures.append(text)

    async def command(self, *arguments: str, status: int = 0) -> None:
        """Run a `larklb system` command and print it with its output; does nothing if the trial is quiet.

        An exit status other than `status` is recorded as a failed check.
        """
        if self.quiet:
            return
        self.say(f"\n    $ larklb system {' '.join(arguments)}")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb.cli.system", *arguments, env=_environment(),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        for line in (await process.communicate())[0].decode().splitlines():
            self.say(f"      {line}")
        if process.returncode != status:
            self.check(False, f"it ended with {process.returncode}, not {status}")

    async def start(self, i: int, first: bool) -> None:
        """Start limiter `i` as a process; `first` is true on the first start of the system."""
        file = self.folder / f"limiter-{i}.toml"
        file.write_text(settings(self.net, i, self.folder, first))
        with (self.folder / f"limiter-{i}.log").open("ab") as log:
            self.processes[i] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "larklb.gateway", env={**_environment(), "LARKLB_SETTINGS": str(file)},
                stdout=log, stderr=log)

    async def wait_until(self, what: str, timeout_s: float,
                         condition: Callable[[], Awaitable[bool]]) -> bool:
        """Poll `condition` until it holds; after `timeout_s` record a failed check and return False.

        :raises TrialError: A limiter has ended that the trial did not kill.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not await condition():
            for i, process in self.processes.items():
                if process.returncode is not None and i not in self.clients.killed:
                    raise TrialError(
                        f"limiter-{i} has ended with {process.returncode}: {self.last_log_line(i)}")
            if loop.time() > deadline:
                self.check(False, f"within {timeout_s:g} s {what}")
                return False
            await asyncio.sleep(0.1)
        return True

    def last_log_line(self, i: int) -> str:
        """Return the last line of a limiter's log."""
        lines = (self.folder / f"limiter-{i}.log").read_text("utf-8", "replace").splitlines()
        return lines[-1] if lines else "it said nothing"

    async def change(self, path: str, base: int, document: Document) -> None:
        """Send a configuration change, retrying it unchanged until an answer is conclusive.

        :raises TrialError: The change was rejected, or there was no conclusive answer in time.
        """
        body, deadline = json.dumps(document).encode(), asyncio.get_running_loop().time() + START_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            for address in self.net.controls():
                with suppress(OSError, TimeoutError):
                    status, _, response = await call(
                        address, "POST", path, {calls.BASE_VERSION_HEADER: str(base)}, body)
                    if status < 300:
                        return
                    if status in (400, 412):
                        raise TrialError(f"{path}: {status}: {response.decode('utf-8', 'replace')[:200]}")
            await asyncio.sleep(0.2)
        raise TrialError(f"{path}: no clear answer")

    async def status(self, i: int, path: str) -> Document:
        """Return a status document of a limiter, or an empty one if it gives none."""
        with suppress(OSError, TimeoutError):
            code, _, body = await call(f"{self.net.ip(i)}:{self.net.control}", "GET", path)
            if code == 200:
                return parse(body)
        return {}

    async def leader(self) -> int:
        """Return the number of the core limiter that reports that it leads, or 0 if none does."""
        for i in range(CORES):
            if ((await self.status(i, calls.CORE)).get("core") or {}).get("leads"):
                return i
        return 0

    async def all_converged(self) -> bool:
        """Return whether all limiters are ready with one configuration and see each other and all servers."""
        expected = {s.id for s in self.servers if not s.draining}
        registries = [await self.status(i, calls.SERVERS) for i in range(self.net.limiters)]
        members = [await self.status(i, calls.MEMBERS) for i in range(self.net.limiters)]
        return (all(registry.get("ready")
                    and expected <= {s["id"] for s in registry["servers"] if not s["silent"]}
                    for registry in registries)
                and len({registry["version"] for registry in registries}) == 1
                and all(sum(m["state"] == "up" for m in view.get("members", ())) == self.net.limiters
                        for view in members))

    async def show(self) -> None:
        """Run the trial to its end and print its course.

        :raises TrialError: The trial cannot go on.
        """
        clients, seconds = self.clients, self.seconds
        last = self.net.ip(self.net.limiters - 1)
        self.say(f"Limiters at {self.net.ip(0)} to {last}, each a process: three with a disk, two without.\n"
                 "Four stand-in servers of two services beat at them.")
        for server in self.servers:
            await server.start()
            self.tasks.append(asyncio.ensure_future(server.send_heartbeats()))
        for i in range(self.net.limiters):
            await self.start(i, True)
        self.tasks.append(asyncio.ensure_future(clients.poll_readiness()))
        await self.change(calls.REPLACE, 0, CONFIGURATION)
        self.say("\nVersion 1 of a configuration is acknowledged: a majority of the three disks has it.")
        if not await self.wait_until("all limiters are ready", START_TIMEOUT_S, self.all_converged):
            lines = (f"limiter-{i}: {self.last_log_line(i)}" for i in range(self.net.limiters))
            raise TrialError("; ".join(lines))
        await self.wait_until("the platform finds them ready", 3.0, self._all_ready)
        self.say(
            f"All five are ready. Requests begin, {1 / REQUEST_INTERVAL_S:.0f} a second for {seconds:g} s.")
        started_at = asyncio.get_running_loop().time()
        stream = asyncio.ensure_future(clients.stream(seconds))
        try:
            await self._inject_faults(started_at)
            await stream
        finally:
            stream.cancel()
        await self._end()

    async def _all_ready(self) -> bool:
        return len(self.clients.ready()) == self.net.limiters

    async def _inject_faults(self, started_at: float) -> None:
        loop, seconds = asyncio.get_running_loop(), self.seconds

        async def sleep_until(offset_s: float) -> None:
            await asyncio.sleep(max(0.0, started_at + offset_s - loop.time()))

        await sleep_until(0.08 * seconds)
        await self.change(calls.AMEND, 1, AMENDMENT)
        changed_at = loop.time()
        self.say("\nVersion 3 adds a route; it was acknowledged while requests went on.")
        await sleep_until(0.25 * seconds)
        victim = await self.leader()
        self.clients.killed[victim] = loop.time()
        self.processes[victim].kill()
        await self.processes[victim].wait()
        killed_at = loop.time()
        self.say(f"The leader, limiter-{victim}, is killed.")
        await asyncio.sleep(max(0.0, changed_at + 2.5 - loop.time()))
        self.clients.kinds = ["place-order", "look-up", "place-order", "price-list"]
        await asyncio.sleep(max(0.0, killed_at + DOWNTIME_S - loop.time()))
        await self.start(victim, False)
        self.say(f"limiter-{victim} is started again, with its disk.")
        await sleep_until(0.6 * seconds)
        server = self.servers[-1]
        self.say(f"Server {server.id} drains.")
        self.tasks.append(asyncio.ensure_future(server.leave()))

    async def _end(self) -> None:
        self.clients.killed = {}
        await self.wait_until("all limiters are back with one version", RECOVERY_TIMEOUT_S,
                              self.all_converged)
        leaving = self.servers[-1]
        await asyncio.sleep(max(0.0, leaving.drain_acknowledged_at + DRAIN_BOUND_S + 0.6
                                - asyncio.get_running_loop().time()))
        address = ",".join(self.net.controls())
        await self.command("versions", address)
        await self.command("core", address)
        await self.command("servers", address, status=1)       # a server has left
        self.say("\nWhat the clients and the servers have seen:")
        for text, good in self.verdicts(await self._read_back()):
            self.check(good, text)

    async def _read_back(self) -> Document:
        for address in self.net.controls():
            with suppress(OSError, TimeoutError):
                status, _, body = await call(address, "GET", calls.READ)
                if status == 200:
                    return parse(body)
        return {}

    def runs(self) -> Counter[str]:
        """Return how often each path has run, over all servers."""
        return sum((server.runs for server in self.servers), Counter())

    def duplicated(self) -> list[str]:
        """Return the paths of unsafe requests that ran more than once."""
        return sorted(path for path, n in self.runs().items() if n > 1 and path.startswith("/orders/"))

    def contradicted(self) -> list[str]:
        """Return the paths whose outcome the servers' counts contradict.

        These are requests served that no server ran, and requests refused with the promise that they had not
        run although a server ran them.
        """
        runs = self.runs()
        return sorted(path for path, outcome in self.clients.figures.outcome.items()
                      if (not runs[path] if outcome == "served" else
                          runs[path] if outcome in ("refused", "over") else False))

    def verdicts(self, document: Document) -> Iterator[tuple[str, bool]]:
        """Yield a description of each result and whether it passes."""
        figures, duplicated, contradicted = self.clients.figures, self.duplicated(), self.contradicted()
        served, refused, unknown = figures.served.total(), figures.refused.total(), figures.unknown.total()
        yield (f"{served} requests served ({_format_counts(figures.served)}), in {figures.tries} tries",
               served > 0)
        yield (f"{refused} refused in the end, {figures.over_quota} over a quota of {SMALL_RATE} a second",
               figures.over_quota > 0)
        yield f"{unknown} failed: unsafe ones at the limiter that was killed, not sent again", True
        yield (f"{len(figures.lost)} lost{_format_examples(figures.lost)}", not figures.lost)
        yield (f"{len(duplicated)} unsafe ones ran twice{_format_examples(duplicated)}", not duplicated)
        yield (f"{len(contradicted)} answers or promises that weren't true{_format_examples(contradicted)}",
               not contradicted)
        yield ("nothing came to the drained server after its bound" if not self.servers[-1].late_requests else
               f"{self.servers[-1].late_requests} requests came to the drained server after its bound",
               not self.servers[-1].late_requests)
        expected = amend(CONFIGURATION, AMENDMENT)
        yield ("the configuration read back is version 3, as it was amended",
               bool(document) and digest(document) == digest(expected))

    async def stop(self) -> None:
        """End the tasks, servers and processes that the trial started.

        Limiters that don't end within their grace period are killed, which is recorded as a failed check.
        """
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        running = [p for p in self.processes.values() if p.returncode is None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        for process in running:
            try:
                await asyncio.wait_for(process.wait(), GRACE_S + 2.0)
            except TimeoutError:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
                self.check(False, "a limiter had to be killed in the end")


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{kind} {n}" for kind, n in sorted(counts.items()))


def _format_examples(names: list[str]) -> str:
    return f": {', '.join(names[:5])}" if names else ""


def _environment() -> dict[str, str]:
    paths = filter(None, (str(ROOT), os.environ.get("PYTHONPATH")))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}


async def _run(seconds: float, as_json: bool) -> int:
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    with tempfile.TemporaryDirectory(prefix="larklb-system-") as folder:
        trial = Trial(Path(folder), seconds, as_json)
        shown = asyncio.ensure_future(trial.show())
        stopped = asyncio.ensure_future(stop.wait())
        try:
            await asyncio.wait((shown, stopped), return_when=asyncio.FIRST_COMPLETED)
        finally:
            stopped.cancel()
            shown.cancel()
            await asyncio.gather(shown, return_exceptions=True)
            await trial.stop()
    if shown.cancelled():
        print("larklb: ended before its time", file=sys.stderr)
        return 1
    if (error := shown.exception()) is not None:
        if not isinstance(error, TrialError):
            raise error
        print(f"larklb: {error}", file=sys.stderr)
        return 1
    figures = trial.clients.figures
    if as_json:
        print(json.dumps({
            "served": figures.served.total(), "refused": figures.refused.total(),
            "overQuota": figures.over_quota, "unknown": figures.unknown.total(), "lost": figures.lost,
            "ranTwice": trial.duplicated(), "false": trial.contradicted(), "tries": figures.tries,
            "off": trial.failures}))
    trial.say("Ended: limiters, servers and files.")
    return 1 if trial.failures else 0


def run(seconds: float, as_json: bool) -> int:
    """Run the trial and return its exit status.

    :param seconds: Duration of the request stream.
    :param as_json: Print only the figures, as one JSON line.
    :return: 0 if all checks passed; 1 if one failed or the trial ended early.
    """
    return asyncio.run(_run(seconds, as_json))
