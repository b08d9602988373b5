"""Shared by the benchmarks: a load on limiters over persistent connections, CPU and memory of a process."""

from __future__ import annotations

import asyncio
import os
import platform
from collections import Counter
from contextlib import suppress
from pathlib import Path

from larklb.lab.cluster import job, read_answer


def machine() -> str:
    """Returns the number and model of the CPUs and the Python version, to be printed with the figures."""
    models = [line.partition(":")[2].strip() for line in Path("/proc/cpuinfo").read_text().splitlines()
              if line.startswith("model name")]
    model = models[0] if models else platform.machine()
    return f"{os.cpu_count()} x {model}, Python {platform.python_version()}"


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time of all threads of a process in s, with ns resolution (proc(5), schedstat)."""
    return sum(int(path.read_text().split()[0])
               for path in Path(f"/proc/{pid}/task").glob("*/schedstat")) / 1e9


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Submitter:
    """One persistent connection that sends a job as soon as the last one is answered."""

    def __init__(self) -> None:
        self.statuses: Counter[int] = Counter()
        self.unanswered = 0              # jobs that ended without an answer

    async def run(self, port: int, requests: asyncio.Queue[str] | list[str], stop: asyncio.Event) -> None:
        """Sends requests until ``stop`` is set or a list of requests is exhausted."""
        iterator = iter(requests) if isinstance(requests, list) else None
        streams = None
        while not stop.is_set():
            text = next(iterator, None) if iterator is not None else await requests.get()  # type: ignore[union-attr]
            if text is None:
                break
            try:
                if streams is None:
                    streams = await asyncio.open_connection("127.0.0.1", port)
                streams[1].write(text.encode())
                status, headers, _ = await read_answer(streams[0])
                self.statuses[status] += 1
                if headers.get("connection") == "close":
                    streams[1].close()
                    streams = None
            except (OSError, asyncio.IncompleteReadError):
                self.unanswered += 1
                if streams is not None:
                    streams[1].close()
                    streams = None
                await asyncio.sleep(0.05)
        if streams is not None:
            with suppress(OSError):
                streams[1].close()


def job_requests(count: int, accounts: int, plan: str = "wide", spread: int = 1) -> list[str]:
    """Returns the requests of ``count`` jobs, of ``accounts`` customers in turn."""
    return [job(service="place-order" if i % 2 else "stock-check", plan=plan, account=1 + i % accounts,
                spread=spread) for i in range(count)]
