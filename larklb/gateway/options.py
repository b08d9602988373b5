"""Command-line options of a limiter."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from attrs import define

MAX_PORT = 65_535


@define(frozen=True)
class Options:
    """The command-line options.

    ``caller_affinity``: callers are assigned to a server on routes that don't set their affinity.
    ``metrics_port``: port for scrapes of the metrics, 0 for none."""

    caller_affinity: bool = False
    metrics_port: int = 0


def _port(text: str) -> int:
    port = int(text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(text)
    return port


def parse(arguments: Sequence[str]) -> Options:
    """Parses ``arguments``; prints the usage and raises ``SystemExit`` with status 2 if they are invalid."""
    parser = argparse.ArgumentParser(prog="python3 -m larklb.gateway", allow_abbrev=False)
    parser.add_argument("--affinity", choices=("none", "caller"), default="none")
    parser.add_argument("--metrics-port", type=_port, default=0)
    parsed = parser.parse_args(arguments)
    return Options(parsed.affinity == "caller", parsed.metrics_port)
