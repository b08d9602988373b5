"""HTTP calls of servers and operators: their paths, as in `openapi.yaml`, and the body of heartbeats."""

import re
from dataclasses import dataclass, field
from typing import Any, Literal

from larklb.schema.document import parse
from larklb.schema.errors import InvalidError
from larklb.schema.fields import Item, at_least, choice, format_problem, read_item, wire

# To be used with fullmatch(). The group is the server's id; its length is bounded because it becomes a key of
# tables.
HEARTBEAT_PATTERN = re.compile(r"/larklb/instances/([^/?#\s]{1,128})/heartbeat")
LEAVE_PATTERN = re.compile(r"/larklb/instances/([^/?#\s]{1,128})/leave")
REPLACE = "/larklb/config/replace"
AMEND = "/larklb/config/amend"
READ = "/larklb/config/read"
READINESS = "/larklb/readiness"
# Status calls, which a limiter answers from its own memory.
MEMBERS = "/larklb/status/members"
SERVERS = "/larklb/status/servers"
QUOTAS = "/larklb/status/quotas"
CORE = "/larklb/status/core"
COUNTS = "/larklb/status/counts"
STATUS_PATHS = (MEMBERS, SERVERS, QUOTAS, CORE, COUNTS)
# Maximum rows in the answer to a status call. Further rows are requested with the last key as a cursor.
MAX_STATUS_ROWS = 500
# Header with the configuration version on which a change is based.
BASE_VERSION_HEADER = "x-base-version"

_ADDRESS = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")
# Fields of the objects in the body of a heartbeat.
_INFO_FIELDS = ("target", "version", "zone", "capacity")
_OBSERVED_FIELDS = ("state", "sequence", "warmupLeftMs")


def parse_address(value: Any) -> str:
    """Return `value` if it is of the form 'host:port', without anything else, ready to be connected to.

    Raises ValueError, whose message is the expected form.
    """
    match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[1]) < 65536:
        raise ValueError("host:port")
    return match[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Item):
    """A server's report about itself.

    `capacity` is the number of requests that it handles concurrently. `sequence` increases with each
    heartbeat of one incarnation of the server.
    """

    address: str = field(metadata=wire("address", parse_address))
    target: str
    version: str = ""
    zone: str = ""
    capacity: int = field(metadata=wire("capacity", at_least(1)))
    state: Literal["steady", "draining"] = field(metadata=wire("state", choice("steady", "draining")))
    sequence: int
    warmup_left_ms: float = field(default=0.0, metadata=wire("warmupLeftMs"))


def parse_heartbeat(body: bytes) -> Heartbeat:
    """Parse the body of a heartbeat.

    Raises UnreadableError if it is not a JSON object, and InvalidError if a field is missing or invalid.
    """
    document = parse(body)
    flat: dict[str, Any] = {"address": document.get("address")}
    for section, names in (("info", _INFO_FIELDS), ("observed", _OBSERVED_FIELDS)):
        values = document.get(section)
        if not isinstance(values, dict):
            raise InvalidError([format_problem(section, values, f"an object with {', '.join(names)}")])
        flat |= {name: values.get(name) for name in names}
    problems: list[str] = []
    parsed = read_item(Heartbeat, flat, "", problems)
    if parsed is None:
        raise InvalidError(problems)
    return parsed
