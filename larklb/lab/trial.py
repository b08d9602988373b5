"""``larklb try``: starts the example on one machine and demonstrates it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

import grpc
import grpc.aio

from larklb.grpc.front import SERVICE
from larklb.grpc.ratelimit_pb2 import RateLimitDescriptor
from larklb.grpc.rls_pb2 import RateLimitRequest, RateLimitResponse
from larklb.lab import example
from larklb.lab.cluster import ROOT, Discovery, ask, job

# Account of the first customer; the next numbers are those of others.
CUSTOMER = 0x2A
# Time in which every instance must answer its health check.
START_TIMEOUT_S = 30.0


def show(text: str) -> None:
    """Prints a line and flushes it, so that the output appears while the demonstration runs."""
    print(text, flush=True)


class Trial:
    """One run of the demonstration; ``stop`` ends the agent and ``failed`` counts the failed checks."""

    def __init__(self, folder: Path) -> None:
        """Writes the example into ``folder``, with ports that are free."""
        self.folder, self.first_port = folder, example.free_first_port()
        self.operator = example.write(folder, self.first_port)
        self.nodes = example.execute_nodes(self.first_port)
        self.discovery = Discovery(self.first_port + 30)
        self.agent: asyncio.subprocess.Process | None = None
        self.failed = 0

    def _environment(self) -> dict[str, str]:
        """Returns the environment of processes that import the program from this source tree."""
        return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, (
            str(ROOT), os.environ.get("PYTHONPATH"))))}

    async def start(self) -> None:
        """Starts the stand-ins and the agent and waits for all instances.

        Raises ``RuntimeError`` if an instance does not become ready in time.
        """
        await self.discovery.start()
        for node in self.nodes:
            await node.start()
        log_file = (self.folder / "agent.log").open("wb")
        self.agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", "agent", str(self.operator), env=self._environment(),
            stdout=log_file, stderr=log_file)
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        for number in range(example.INSTANCES):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if (await ask(self.first_port + number,
                                  "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                        break
                if asyncio.get_running_loop().time() > deadline or self.agent.returncode is not None:
                    raise RuntimeError(f"instance n{number} did not start: see {self.folder / 'agent.log'}")
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Terminates the agent and waits for it."""
        if self.agent is not None and self.agent.returncode is None:
            self.agent.send_signal(signal.SIGTERM)
            await self.agent.wait()

    async def command(self, *arguments: str) -> str:
        """Runs a larklb command, prints it with its output, and returns the output."""
        show(f"\n    $ larklb {' '.join(arguments)}")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larklb", *arguments, env=self._environment(),
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output = (await process.communicate())[0].decode()
        for line in output.splitlines():
            show(f"      {line}")
        if process.returncode:
            self.failed += 1
            show(f"      (ended with {process.returncode})")
        return output

    async def send_orders(self, count: int, account: int = CUSTOMER) -> Counter[int]:
        """Sends ``count`` orders of one customer to the instances in turn and counts the HTTP statuses."""
        statuses: Counter[int] = Counter()
        for index in range(count):
            request = job(service="place-order", plan="taller", account=account, spread=example.INSTANCES)
            statuses[(await ask(self.first_port + index % example.INSTANCES, request))[0]] += 1
        return statuses

    async def check_quota(self, count: int, account: int) -> Counter[str]:
        """Sends ``count`` rate limit requests over gRPC to the instances in turn and counts the codes."""
        codes: Counter[str] = Counter()
        entries = {"account": f"{account:016x}", "plan": "taller", "class": "place-order",
                   "set": f"spread={example.INSTANCES},first=0"}
        request = RateLimitRequest(domain="manta-yard", descriptors=[RateLimitDescriptor(
            entries=[RateLimitDescriptor.Entry(key=k, value=v) for k, v in entries.items()])])
        for index in range(count):
            address = f"127.0.0.1:{self.first_port + 20 + index % example.INSTANCES}"
            async with grpc.aio.insecure_channel(address) as channel:
                call = channel.unary_unary(f"/{SERVICE}/ShouldRateLimit",
                                           RateLimitRequest.SerializeToString, RateLimitResponse.FromString)
                answer = await call(request, timeout=5, wait_for_ready=True)
                codes[RateLimitResponse.Code.Name(answer.overall_code)] += 1
        return codes

    def check(self, passed: bool, description: str) -> None:
        """Prints the result of a check and counts it if it failed."""
        show(f"  {'as it should be' if passed else 'NOT as it should be'}: {description}")
        self.failed += not passed

    async def demonstrate(self) -> None:
        """Demonstrates quotas, a change of plans, reservations and the export of use, and checks each."""
        show(f"Three instances run, on ports {self.first_port} to {self.first_port + 2}; "
            "execute nodes and discovery are stand-ins.\n\n"
            "1. One quota over all three: plan `taller` has a burst of 7 units.")
        statuses = await self.send_orders(12)
        self.check(statuses[429] >= 4 and statuses[200] >= 7,
                   f"12 orders over HTTP: {statuses[200]} served, {statuses[429]} beyond the quota (429)")
        codes = await self.check_quota(9, CUSTOMER + 1)
        self.check(codes["OVER_LIMIT"] >= 1 and codes["OK"] >= 7,
                   f"9 questions over gRPC for another customer: {codes['OK']} OK, "
                   f"{codes['OVER_LIMIT']} OVER_LIMIT")
        show("\n2. A plan changes in service: version 2 gives `taller` a burst of 20, filled at 20 a second.")
        now = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
        new_plans = self.folder / "plans-2.toml"
        new_plans.write_text(
            example.CATALOGUE + f'\n[[version]]\nnumber = 2\nfrom = {now}\nnote = "a busy week"\n'
            "plans.taller = { rate = 20.0, burst = 20.0 }\n")
        await self.command("plans", "diff", str(new_plans), str(self.operator))
        # ``plans diff`` exits with 1 if the plans differ, which ``command`` counts as a failure.
        self.failed -= 1
        await self.command("plans", "apply", str(new_plans), str(self.operator))
        await asyncio.sleep(1.2)
        statuses = await self.send_orders(15)
        self.check(statuses[200] == 15, f"15 orders of the first customer: {statuses[200]} served")
        show("\n3. Allowance reserved ahead: 30 units for a refit, within two minutes.")
        customer = f"{CUSTOMER + 2:016x}"
        await self.command("reserve", "add", str(self.operator), "refit", "--customer", customer, "--plan",
                           "taller", "--units", "30", "--from", "now", "--until", "+120", "--set",
                           "spread=3,first=0")
        statuses = await self.send_orders(60, CUSTOMER + 2)
        await self.command("reserve", "list", str(self.operator))
        self.check(statuses[200] >= 45,
                   f"60 orders at once: {statuses[200]} served, of the bucket and the reservation")
        show("\n4. Use, exported once and only once: into a folder here, to a billing receiver elsewhere.")
        await self.command("usage", "export", str(self.operator))
        await self.command("usage", "verify", str(self.operator))
        executed = sum(len(node.attempts) for node in self.nodes)
        billed = sum(event["data"]["tries"] for path in (self.folder / "billed").iterdir()
                     for event in json.loads(path.read_bytes()))
        self.check(executed + codes["OK"] == billed,
                   f"the execute nodes saw {executed} orders and {codes['OK']} "
                   f"questions were granted; {billed} tries are in the exported files")

    def instructions(self) -> str:
        """Returns the commands with which a user can inspect the running example."""
        command = "larklb" if sys.argv[0].endswith("larklb") else "python -m larklb"
        return (f"\nLook around, in another terminal:\n"
                f"  {command} status {self.operator}\n"
                f"  {command} plans show {self.operator} --live\n"
                f"  {command} reserve list {self.operator}\n"
                f"  {command} usage show {self.operator} --rows\n"
                f"  ls {self.folder / 'billed'}\n"
                f"  curl -i http://127.0.0.1:{self.first_port}/stock-check/cleat-12 "
                f"-H 'X-Service-Class: stock-check' -H 'Plan: taller' -H 'Account: {CUSTOMER:016x}' "
                f"-H 'X-Correlation-Id: mine-1' -H 'X-Time-Left: 2' "
                f"-H 'Quota-Info: units=1,spread=3,first=0'\n"
                f"The example's files are explained in deploy/operator.toml and docs/operators/.")


async def _run(once: bool) -> int:
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    with tempfile.TemporaryDirectory(prefix="larklb-try-") as folder:
        trial = Trial(Path(folder))
        task = asyncio.ensure_future(_run_demonstration(trial))
        stopped = asyncio.ensure_future(stop.wait())
        try:
            await asyncio.wait((task, stopped), return_when=asyncio.FIRST_COMPLETED)
            if task.done() and not once and not task.exception():
                show(trial.instructions() + "\nCtrl-C ends all of it.")
                await stopped
        finally:
            task.cancel()
            stopped.cancel()
            await trial.stop()
        if task.done() and not task.cancelled() and (error := task.exception()) is not None:
            show(f"larklb: {error}")
            return 1
        show("Ended: instances, stand-ins and files.")
        return 1 if trial.failed and task.done() and not stop.is_set() else 0


async def _run_demonstration(trial: Trial) -> None:
    await trial.start()
    await trial.demonstrate()


def run(once: bool) -> int:
    """Runs the demonstration and returns the exit status: 0 if all checks passed.

    Unless ``once`` is set, the example keeps running until SIGINT or SIGTERM.
    """
    return asyncio.run(_run(once))
