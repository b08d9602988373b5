"""Fault injection for the control side in simulated time: the real control plane of a core and some limiters.

There are six scenarios, the last of which combines the others.

    cut          a core machine is cut off for 20 s, frozen, or has a slow, full or hanging disk, and is
                 called meanwhile; a machine that has just acknowledged a drain is lost
    races        concurrent orders on one version (up to eight), lost answers, and late retries
    replacement  lost disks, machines replaced or shut down, replacements that are interrupted, and a second
                 loss as soon as the first one counts as repaired
    history      hundreds of changes while a member is absent, is restarted repeatedly or has a slow disk; the
                 leader is lost as the member returns
    answers      lost, duplicated and late messages, and restarted processes, which may cause answers to reach
                 the wrong call
    mixed        all of these

The following invariants are checked, mostly on the answers to callers (``control_history``): the history of
the orders is linearizable; no acknowledged order is lost or refused; no refused order is in force; no machine
sends out a stale version; an order is acknowledged within ``ackMs`` of the core being undisturbed; all
connected machines know of an acknowledged drain within ``drainMs``; a machine that is cut off rejects calls
at once.

    python -m larklb.lab.control_faults [--days N] [--seed S] [--scenario NAME] [--core N] [--jobs J]
    [--break NAME]

prints progress. On a failure it prints the seed, the shortest prefix of the day that still fails and its
steps, and exits with 1. ``--break NAME`` disables one guard (``all``: each in turn) and exits with 1 if a
disabled guard isn't detected within 300 days.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
import sys
import time
from collections.abc import Iterator
from contextlib import nullcontext

from attrs import define

from larklb.lab.control_breaks import BREAKS, without
from larklb.lab.control_day import LENGTH_MS, SCENARIOS, Day
from larklb.lab.control_history import InvariantViolationError
from larklb.lab.parallel import play_in_processes

MAX_DETECTION_DAYS = 300  # a disabled guard must be detected within so many days
SHOWN_STEPS = 60  # last steps printed of a failed day
CORES = (3, 3, 3, 4, 5, 5, 6, 7, 8)


# Many days ------------------------------------------------------------------------------------


@define(frozen=True)
class Task:
    """Parameters of a simulated day. ``length`` is in ms; ``guard`` names a disabled guard, if any."""

    scenario: str
    seed: int
    cores: int
    guard: str = ""
    length: float = LENGTH_MS

    @property
    def tolerance(self) -> int:
        """Disks that may be lost at once: the maximum for the core, or one less in some larger cores."""
        max_tolerance = (self.cores - 1) // 2
        return max_tolerance if self.seed % 2 or max_tolerance == 1 else max_tolerance - 1


@define(frozen=True)
class Outcome:
    """The result of a day; ``reason`` is empty if all invariants held."""

    task: Task
    reason: str = ""


def generate_tasks(
    days: int, seed: int, scenario: str = "", cores: int = 0, guard: str = ""
) -> Iterator[Task]:
    """Yields the tasks of a run, which cycle through scenarios and core sizes."""
    names = (scenario,) if scenario else SCENARIOS
    for number in range(seed, seed + days):
        yield Task(
            names[number % len(names)], number, cores or CORES[number // len(names) % len(CORES)], guard
        )


def play_day(task: Task, faults: int = 1 << 30) -> tuple[Outcome, Day]:
    """Runs a day with at most its first ``faults`` faults."""
    with without(task.guard) if task.guard else nullcontext():
        day = Day(task.scenario, task.seed, task.cores, task.tolerance, faults, task.length)
        try:
            day.play()
        except InvariantViolationError as error:
            return Outcome(task, str(error)), day
        except Exception as error:  # an unhandled error would end a real process
            if not task.guard:
                logging.getLogger(__name__).exception("the day ended by an error")
            return Outcome(task, f"{type(error).__name__}: {error}"), day
    return Outcome(task), day


def play_task(task: Task) -> Outcome:
    """Runs a day in a worker process."""
    logging.getLogger("larklb").setLevel(logging.CRITICAL)
    return play_day(task)[0]


def shortest_failing_prefix(task: Task) -> tuple[Outcome, Day]:
    """Reruns a failed day with the fewest first faults that still fail."""
    result, day = play_day(task)
    for faults in range(day.fault_count):
        attempt, shorter_day = play_day(task, faults)
        if attempt.reason:
            return attempt, shorter_day
    return result, day


def run_days(days: int, seed: int, scenario: str, cores: int, jobs: int) -> int:
    """Runs days until one fails, and returns the exit status."""
    started_at, count = time.monotonic(), 0
    for result in play_in_processes(play_task, jobs, generate_tasks(days, seed, scenario, cores)):
        count += 1
        if result.reason:
            return _report_failure(result)
        if count % 100 == 0:
            print(f"{count} days, {count / (time.monotonic() - started_at):.1f} a second", flush=True)
    elapsed_s = time.monotonic() - started_at
    names = 1 if scenario else len(SCENARIOS)
    print(f"{count / elapsed_s:.2f} days a second")
    print(f"{count} days of {names} scenarios: nothing broken")
    return 0


def _report_failure(result: Outcome) -> int:
    task = result.task
    print(f"broken: {result.reason}")
    print(
        f"scenario {task.scenario}, seed {task.seed}, core of {task.cores}, tolerance {task.tolerance}",
        flush=True,
    )
    shortest_outcome, day = shortest_failing_prefix(task)
    print(f"shortest: the first {day.fault_count} faults: {shortest_outcome.reason}")
    print("\n".join(day.world.log[-SHOWN_STEPS:]))
    return 1


def days_until_detected(guard: str, days: int, seed: int, jobs: int) -> int | None:
    """Returns after how many days a disabled guard was detected, or None."""
    scenario = BREAKS[guard].scenario
    for count, result in enumerate(
        play_in_processes(play_task, jobs, generate_tasks(days, seed, scenario, BREAKS[guard].cores, guard)),
        1,
    ):
        if result.reason:
            print(
                f"{guard}: found after {count} days of {scenario}, seed {result.task.seed}: {result.reason}",
                flush=True,
            )
            return count
    print(f"{guard}: not found in {days} days", flush=True)
    return None


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m larklb.lab.control_faults")
    parser.add_argument("--days", type=int, default=600)
    parser.add_argument("--seed", type=int, default=1, help="of the first day")
    parser.add_argument("--scenario", choices=SCENARIOS, default="", help="this one alone")
    parser.add_argument(
        "--core", type=int, choices=range(3, 9), default=0, help="core machines; else 3 to 8 in turn"
    )
    parser.add_argument("--jobs", type=int, default=multiprocessing.cpu_count())
    parser.add_argument(
        "--break", dest="guard", choices=[*BREAKS, "all"], default="", help="take this guard out"
    )
    options = parser.parse_args(arguments)
    logging.getLogger("larklb").setLevel(logging.CRITICAL)
    if options.guard:
        guards = list(BREAKS) if options.guard == "all" else [options.guard]
        return (
            0
            if all(
                [
                    days_until_detected(guard, MAX_DETECTION_DAYS, options.seed, options.jobs)
                    for guard in guards
                ]
            )
            else 1
        )
    return run_days(options.days, options.seed, options.scenario, options.core, options.jobs)


if __name__ == "__main__":
    sys.exit(main())
