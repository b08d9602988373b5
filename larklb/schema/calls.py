"""The calls of servers and operators: paths as in `openapi.yaml`, and the servers' calls as typed values."""

import re
from dataclasses import dataclass, field
from typing import Any, Literal

from larklb.schema.document import parse
from larklb.schema.errors import InvalidError
from larklb.schema.fields import Item, at_least, choice, format_problem, read, wire

# Full matches; the group is the server's id, bounded since it becomes a key of tables.
HEARTBEAT_PATTERN = re.compile(r"/larklb/instances/([^/?#\s]{1,128})/heartbeat")
LEAVE_PATTERN = re.compile(r"/larklb/instances/([^/?#\s]{1,128})/leave")
REPLACE = "/larklb/config/replace"
AMEND = "/larklb/config/amend"
READ = "/larklb/config/read"
READINESS = "/larklb/readiness"
# What a limiter tells an operator of itself, from its memory.
MEMBERS = "/larklb/status/members"
SERVERS = "/larklb/status/servers"
QUOTAS = "/larklb/status/quotas"
CORE = "/larklb/status/core"
COUNTS = "/larklb/status/counts"
STATUS_PATHS = (MEMBERS, SERVERS, QUOTAS, CORE, COUNTS)
# Rows of a status answer at the most; the rest is asked for behind the last key.
MAX_STATUS_ROWS = 500
# The header with the version that a change builds on.
BASE_VERSION_HEADER = "x-base-version"

_ADDRESS = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")
# Where each field stands in the body.
_INFO = ("target", "version", "zone", "capacity")
_OBSERVED = ("state", "sequence", "warmupLeftMs")


def parse_address(value: Any) -> str:
    """'host:port', nothing else: it is connected to as it stands. ValueError says what would do."""
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[1]) < 65536:
        raise ValueError("host:port")
    return match[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Item):
    """What a server says of itself. `capacity`: requests at once; `sequence` rises within one life."""

    address: str = field(metadata=wire("address", parse_address))
    target: str
    version: str = ""
    zone: str = ""
    capacity: int = field(metadata=wire("capacity", at_least(1)))
    state: Literal["steady", "draining"] = field(metadata=wire("state", choice("steady", "draining")))
    sequence: int
    warmup_left_ms: float = field(default=0.0, metadata=wire("warmupLeftMs"))


def parse_heartbeat(body: bytes) -> Heartbeat:
    """The heartbeat in `body`. UnreadableError: no JSON object. InvalidError: a field is missing or wrong."""
    document = parse(body)
    flat: dict[str, Any] = {"address": document.get("address")}
    for part, names in (("info", _INFO), ("observed", _OBSERVED)):
        held = document.get(part)
        if not isinstance(held, dict):
            raise InvalidError([format_problem(part, held, f"an object with {', '.join(names)}")])
        flat |= {name: held.get(name) for name in names}
    problems: list[str] = []
    found = read(Heartbeat, flat, "", problems)
    if found is None:
        raise InvalidError(problems)
    return found
