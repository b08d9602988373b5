"""The first moments of a limiter's process: signals that arrive before it is ready."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from larklb.lab.system_network import GRACE_S, free_net, settings

START_S = 10.0


@pytest.fixture
def process(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    """A limiter that is being started."""
    file = tmp_path / "settings.toml"
    file.write_text(settings(free_net(), 3, tmp_path, True))
    started = subprocess.Popen(
        [sys.executable, "-m", "larklb.gateway"], env={**os.environ, "LARKLB_SETTINGS": str(file)},
        stderr=subprocess.PIPE, text=True)
    yield started
    started.kill()
    started.communicate()


def wait_until_blocked(process: subprocess.Popen[str], number: signal.Signals) -> None:
    """Waits until the process blocks a signal, which takes a few hundredths of a second of its start."""
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        status = Path(f"/proc/{process.pid}/status").read_text()
        blocked = re.search(r"SigBlk:\t([0-9a-f]+)", status)
        if blocked is not None and int(blocked[1], 16) >> (number - 1) & 1:
            return
        time.sleep(0.001)
    raise AssertionError("the process never blocks the signal")


def lines_until(process: subprocess.Popen[str], expected: str) -> list[str]:
    """Returns the lines of the log until one that contains ``expected``."""
    assert process.stderr is not None
    lines: list[str] = []
    while not lines or expected not in lines[-1]:
        line = process.stderr.readline()
        assert line, ("the process has ended", lines)
        lines.append(line)
    return lines


def test_a_change_of_settings_in_the_first_moment_ends_no_process(process: subprocess.Popen[str]) -> None:
    """Guards against LOST: SIGHUP in the first 0.4 s ended the process."""
    wait_until_blocked(process, signal.SIGHUP)
    process.send_signal(signal.SIGHUP)
    lines = lines_until(process, "settings reloaded") + lines_until(process, "is listening")
    assert process.poll() is None, lines


def test_a_termination_in_the_first_moment_is_graceful(process: subprocess.Popen[str]) -> None:
    """Guards against LOST: SIGTERM ended a process that had only begun without a word."""
    wait_until_blocked(process, signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    lines_until(process, "has ended")
    assert process.wait(GRACE_S + START_S) == 0
