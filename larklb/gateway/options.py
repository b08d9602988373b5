"""The command line of a limiter's process."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from attrs import define

LAST_PORT = 65_535


@define(frozen=True)
class Options:
    """``caller_affinity``: callers keep their server where a route doesn't say; ``metrics_port``: where the
    process tells its figures, 0 for nowhere."""

    caller_affinity: bool = False
    metrics_port: int = 0


def _port(text: str) -> int:
    port = int(text)
    if not 0 <= port <= LAST_PORT:
        raise ValueError(text)
    return port


def parse(arguments: Sequence[str]) -> Options:
    """The options in ``arguments``; SystemExit with status 2, after a line of usage, where they are wrong."""
    parser = argparse.ArgumentParser(prog="python3 -m larklb.gateway", allow_abbrev=False)
    parser.add_argument("--affinity", choices=("none", "caller"), default="none")
    parser.add_argument("--metrics-port", type=_port, default=0)
    parsed = parser.parse_args(arguments)
    return Options(parsed.affinity == "caller", parsed.metrics_port)
