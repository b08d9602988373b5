"""The rule QUOTA: how many requests of a tenant may run within a window, and which window has the most."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from typing import Protocol, TypeVar

from larklb.admission.quota_records import Allowance, OvershootBound


class TimedRun(Protocol):
    """A request that ran, with the time at which its client sent it and that at which a server began."""

    @property
    def sent_at(self) -> float:
        """When its client sent it."""

    @property
    def run_at(self) -> float:
        """When a server began to work on it."""


T = TypeVar("T", bound=TimedRun)


def allowed_per_window(allowance: Allowance, bound: OvershootBound) -> float:
    """Returns how many requests of a tenant may run in a window."""
    quota = allowance.rate * bound.window_s + allowance.burst
    return quota * (1.0 + bound.overshoot) + bound.slack


def worst_window(runs: Iterable[T], window: float) -> list[T]:
    """Returns the runs of the window with the most requests that were both sent and run in it.

    ``window`` is its length, in the unit of the runs' times."""
    worst: list[T] = []
    # Runs that were sent within a window before the present one, by the time of sending.
    current: list[tuple[float, int, T]] = []
    for index, run in enumerate(sorted(runs, key=lambda run: run.run_at)):
        insort(current, (run.sent_at, index, run))
        while current and current[0][0] < run.run_at - window:
            current.pop(0)
        if len(current) > len(worst):
            worst = [entry[2] for entry in current]
    return worst
