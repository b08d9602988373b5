"""Scenario files of the fleet rig in TOML: the size of the fleet, its load, its faults and expected figures.

The fields of the structs are the keys of these files.  Patterns select the targets of a fault: ``n3`` or
``n*`` are limiters, ``s2`` or ``s*`` are nodes, and ``@a`` is everything in zone ``a``.  Limiters and nodes
are assigned to the zones in turn.
"""

from __future__ import annotations

import fnmatch
from pathlib import Path
from typing import Any, Literal

import msgspec

SCENARIOS_DIR = Path(__file__).parent / "scenarios"
FaultKind = Literal["kill", "pause", "apart", "refused", "silent", "delayed", "failing", "slow", "restart",
               "unlisted", "deaf"]


class ScriptError(Exception):
    """Raised when a scenario file is unusable; the message is one line."""


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The load: ``rate`` jobs per second over the whole fleet from ``customers`` customers.

    Each customer uses a set of ``spread`` limiters, of which ``n0`` receives ``hot`` times as many jobs as
    any other.  The fraction ``keyed`` of the jobs are orders with an idempotency key; the others are stock
    checks, which may be repeated.
    """

    rate: float = 80.0
    customers: int = 24
    spread: int = 3
    hot: float = 1.0
    keyed: float = 0.2
    quota: float = 0.0         # units per second of a customer; 0: above its demand
    burst: float = 4.0         # units; without effect unless ``quota`` is set


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault that begins at ``at`` and lasts ``lasts``, in seconds; with ``lasts`` 0 it is never reverted.

    - ``kill``: limiters ``who`` are killed, and restarted at the end; ``pause``: they are stopped and
      resumed.
    - ``apart``: the fraction ``part`` of datagrams from ``who`` to limiters ``to`` is lost, and also of those
      in the other direction unless ``one_way``; ``part`` below 1 with equal ``who`` and ``to``
      simulates random message loss.
    - ``refused``, ``silent``, ``delayed`` (by ``ms``): routes from limiters ``who`` to nodes ``to``.
    - ``failing``: nodes ``to`` answer 500, only to ``service`` if it is set; ``slow``: their work takes
      ``times`` as long; ``restart``: they are unreachable, and return cold at the end.
    - ``unlisted``: nodes ``to`` drain and leave the discovery list, and are listed again at the end.
    - ``deaf``: limiters ``who`` receive no updates from discovery.
    """

    at: float
    what: FaultKind
    lasts: float = 0.0
    who: tuple[str, ...] = ("n*",)
    to: tuple[str, ...] = ("s*",)
    one_way: bool = False
    part: float = 1.0
    ms: float = 0.0
    times: float = 1.0
    service: str = ""


class Script(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario; ``expect`` holds the lower and upper bounds of its figures by name (see ``fleet.py``)."""

    words: str                             # description in one line
    limiters: int = 6
    nodes: int = 9
    zones: tuple[str, ...] = ("a", "b", "c")
    length: float = 10.0                   # s of load
    inbox: float = 60.0                    # messages per second that a limiter accepts
    loss: float = 0.02                     # fraction of datagrams lost without any fault
    work: float = 30.0                     # mean service time of a job at a node, in ms
    cores: int = 4
    operator: str = ""                     # text for the operator file
    load: Load = Load()
    fault: tuple[Fault, ...] = ()
    expect: dict[str, tuple[float, float]] = {}

    def zone(self, number: int) -> str:
        """Returns the zone of the limiter or node with this number."""
        return self.zones[number % len(self.zones)]

    def limiters_of(self, patterns: tuple[str, ...]) -> list[int]:
        """Returns the numbers of the limiters that match any of the patterns."""
        return [i for i in range(self.limiters) if self._matches(f"n{i}", i, patterns)]

    def nodes_of(self, patterns: tuple[str, ...]) -> list[str]:
        """Returns the names of the nodes that match any of the patterns."""
        return [f"s{i}" for i in range(self.nodes) if self._matches(f"s{i}", i, patterns)]

    def _matches(self, name: str, number: int, patterns: tuple[str, ...]) -> bool:
        return any(fnmatch.fnmatchcase(name, pattern) or pattern == f"@{self.zone(number)}"
                   for pattern in patterns)

    def find_inconsistency(self) -> str:
        """Returns the first inconsistency of the scenario in one line, or an empty string."""
        if not (1 <= self.limiters <= 32 and 1 <= self.nodes <= 64 and self.zones and 0 < self.length <= 600):
            return "1 to 32 limiters, 1 to 64 nodes, a zone and a length of 600 s at most are needed"
        load = self.load
        if not (0 < load.rate <= 1000 and 1 <= load.customers and 1 <= load.spread <= self.limiters):
            return "load: the figures make no sense"
        for fault in self.fault:
            if not (0 <= fault.at <= self.length and fault.lasts >= 0 and 0 <= fault.part <= 1):
                return f"fault {fault.what}: it does not lie within the day"
            limiters = fault.what in ("kill", "pause", "apart", "refused", "silent", "delayed", "deaf")
            nodes = fault.what in ("refused", "silent", "delayed", "failing", "slow", "restart", "unlisted")
            if (limiters and not self.limiters_of(fault.who) or nodes and not self.nodes_of(fault.to)
                    or fault.what == "apart" and not self.limiters_of(fault.to)):
                return f"fault {fault.what}: it meets nobody"
        return ""


def load(name: str) -> Script:
    """Loads a built-in scenario by name, or a scenario file by path; raises ScriptError if it is unusable."""
    path = SCENARIOS_DIR / f"{name}.toml" if "/" not in name and not name.endswith(".toml") else Path(name)
    try:
        script = msgspec.toml.decode(path.read_bytes(), type=Script)
    except OSError as error:
        raise ScriptError(f"{name}: {error.strerror}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise ScriptError(f"{name}: {str(error).splitlines()[0]}") from error
    if problem := script.find_inconsistency():
        raise ScriptError(f"{name}: {problem}")
    return script


def builtin_scenarios() -> list[dict[str, Any]]:
    """Returns the name and description of each built-in scenario."""
    return [{"name": path.stem, "what": load(path.stem).words}
            for path in sorted(SCENARIOS_DIR.glob("*.toml"))]
