"""A model of execute nodes in simulated time: cores, a queue, a cold start, crashes and unreachable machines.

A node is given each job with its arrival time and returns the outcome and the duration.  It is independent of
limiters, networks and clocks; the caller must submit jobs in order of time.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field

MAX_QUEUE_MS = 2000.0      # longest wait for a core; a job that would wait longer is rejected unprocessed


@dataclass
class Model:
    """The parameters that all nodes of a simulation share; times in ms."""

    work: float = 60.0                     # mean service time of a job on a core of a warm node
    cores: int = 4
    cold_share: float = 0.25               # share of its capacity that a node has at its start
    warm_ms: float = 12_000.0              # duration of the linear growth to full capacity
    tip: float = 3.0                       # multiple of its present capacity at which a cold node crashes
    tip_ms: float = 1000.0                 # window over which that load is measured


@dataclass
class Node:
    """One node; ``state`` is up, refusing (its process is down) or silent (its machine is down).

    Times are in ms; a node that was never restarted is warm.
    """

    name: str
    zone: str
    model: Model
    random_source: random.Random
    state: str = "up"
    work_factor: float = 1.0              # factor on service times
    started: float = -math.inf
    crashes: int = 0
    max_overload: float = 0.0             # largest ratio of arrivals to the overload threshold while cold
    busy: list[float] = field(default_factory=list)          # a heap of the times when cores become free
    arrivals: deque[float] = field(default_factory=deque)

    def warmth(self, now: float) -> float:
        """Returns the share of its capacity that the node has at ``now``."""
        model = self.model
        return min(
            1.0, model.cold_share + (1.0 - model.cold_share) * max(0.0, now - self.started) / model.warm_ms)

    def start(self, now: float) -> None:
        """Restarts the process, cold and with an empty queue."""
        self.state, self.started = "up", now
        self.busy.clear()
        self.arrivals.clear()

    def sustainable_jobs(self, now: float) -> float:
        """Returns the number of jobs within ``tip_ms`` that the node sustains while it is cold."""
        model = self.model
        return model.tip * self.warmth(now) * model.cores * model.tip_ms / model.work

    def submit(self, now: float) -> tuple[str, float]:
        """Submits a job that has arrived in full; returns its outcome and its duration in ms.

        The outcome is ``ok``, ``full`` (rejected), ``refused`` (the job made the node crash), or the node's
        state if that is not up.
        """
        if self.state != "up":
            return self.state, 0.0
        model, warmth = self.model, self.warmth(now)
        if warmth < 1.0:
            self.arrivals.append(now)
            while self.arrivals[0] < now - model.tip_ms:
                self.arrivals.popleft()
            threshold = self.sustainable_jobs(now)
            # Arrivals are random: up to three standard deviations above the threshold are no overload.
            self.max_overload = max(
                self.max_overload, len(self.arrivals) / (threshold + 3.0 * math.sqrt(threshold) + 3.0))
            if self.max_overload > 1.0:
                self.state = "refusing"
                self.crashes += 1
                return "refused", 0.0
        while len(self.busy) > model.cores - 1 and self.busy[0] <= now:
            heapq.heappop(self.busy)
        start_ms = now if len(self.busy) < model.cores else heapq.heappop(self.busy)
        if start_ms - now > MAX_QUEUE_MS:
            heapq.heappush(self.busy, start_ms)
            return "full", 0.0
        end_ms = start_ms + model.work * self.random_source.uniform(0.5, 1.5) * self.work_factor / warmth
        heapq.heappush(self.busy, end_ms)
        return "ok", end_ms - now
