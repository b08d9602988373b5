"""Simulated runs in several processes."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

Task = TypeVar("Task")
Outcome = TypeVar("Outcome")


def play_in_processes(play: Callable[[Task], Outcome], jobs: int, tasks: Iterable[Task]) -> Iterator[Outcome]:
    """Runs ``play`` for each task in ``jobs`` processes, and yields the outcomes as they complete.

    With one job everything runs in this process."""
    if jobs <= 1:
        yield from map(play, tasks)
        return
    with multiprocessing.Pool(jobs) as pool:
        yield from pool.imap_unordered(play, tasks)
