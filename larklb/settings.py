"""What an instance is told: the EDGE_* variables and the JSON configuration, checked once."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from larklb import interface as io
from larklb.settings_mapping import settings_from_wire


class ConfigError(Exception):
    """The configuration cannot be used; the text is one plain line."""


class Instance(msgspec.Struct, rename="camel"):
    """One execute node as discovery writes it."""

    instance_id: str
    host_port: str
    zone: str = ""
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    started_at_ms: float = 0.0


class MachineList(msgspec.Struct):
    """A machine list, whole (``reset``) or the changes since another one."""

    generation: int
    reset: bool = False
    instances: list[Instance] = []


class Limits(msgspec.Struct):
    memory_mb: int = 192
    sockets: int = 1024


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    admin: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    known: MachineList | None = None


class Config(msgspec.Struct, frozen=True):
    """All of it, in the form that the program uses."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    peer_listen: tuple[str, int] | None
    peers: tuple[tuple[str, int], ...]
    known: MachineList | None
    settings: io.Settings
    dial_timeout: float
    conn_idle: float
    memory_mb: int = 192
    keys: frozenset[str] = frozenset()         # of the file, those that a later one must have too
    admin: tuple[str, int] | None = None      # the second address, for the operators' staff


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of ``host:port`` or ``[v6]:port``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{text!r} is no host:port")
    return host.strip("[]"), int(port)


def _keys(data: bytes) -> frozenset[str]:
    """What a file has: its keys, those of its settings and of the objects in these; but for the list."""
    whole = msgspec.json.decode(data, type=dict[str, Any])
    settings = whole["settings"]
    parts = {f"settings.{k}": v for k, v in settings.items()}
    inner = {f"{k}.{i}" for k, v in parts.items() if isinstance(v, dict) for i in v}
    return frozenset({*whole, *parts, *inner} - {"known"})


def load(env: Mapping[str, str] = os.environ, before: frozenset[str] = frozenset()) -> Config:
    """The instance's configuration; EDGE_NAME, _LISTEN, _DISCOVERY and _ADMIN win over the file.

    ``before`` are the keys of the file that holds now: one that lacks any of them has been cut."""
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG names no configuration file")
    try:
        data = Path(path).read_bytes()
        raw = msgspec.json.decode(data, type=_File)
        keys = _keys(data)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if lacking := sorted(before - keys):
        raise ConfigError(f"{path}: {lacking[0]} is missing")
    try:
        settings = settings_from_wire(raw.settings)
        limits = raw.settings["limits"]
        dial, idle = float(limits.get("dial_timeout") or 250.0), float(limits.get("conn_idle") or 30000.0)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {type(error).__name__}: {error}") from error
    try:
        seed = int(raw.seed, 16)
    except ValueError as error:
        raise ConfigError(f"{path}: seed {raw.seed!r} is no hex number") from error
    peers = tuple(parse_address(peer) for peer in raw.peers)
    admin = env.get("EDGE_ADMIN") or raw.admin
    if settings.can_tell and settings.gateways > 1 and len(peers) != settings.gateways:
        raise ConfigError(f"{path}: {len(peers)} peers for {settings.gateways} limiters")
    if raw.limits.sockets < 64:
        raise ConfigError(f"{path}: {raw.limits.sockets} sockets are too few")
    return Config(
        name=env.get("EDGE_NAME") or raw.name or "limiter",
        listen=parse_address(env.get("EDGE_LISTEN") or raw.listen),
        discovery=parse_address(env.get("EDGE_DISCOVERY") or raw.discovery), seed=seed,
        sockets=min(raw.limits.sockets, 1024), peers=peers,
        peer_listen=parse_address(raw.peer_listen) if raw.peer_listen else None,
        known=raw.known, settings=settings, dial_timeout=dial, conn_idle=idle,
        memory_mb=raw.limits.memory_mb, keys=keys, admin=parse_address(admin) if admin else None)


class StoreEntry(msgspec.Struct, forbid_unknown_fields=True):
    url: str
    prefix: str = "larklb"


class PlansEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Where the catalogue of plan versions is, as a path from the operator's file."""

    file: str


class QuotaEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Which side quotas err on while limiters cannot hear each other, and whether that is settled."""

    err: str = "service"
    settle: bool = True

    def reserve(self) -> float:
        """How far a share may grow with traffic that moves: ``quota`` 0, ``service`` 1."""
        return {"quota": 0.0, "service": 1.0}[self.err]


class LimitsEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What all limiters together may do, 0 for no limit: attempts at once at one execute node, and as many
    connections to it; further attempts for each first one."""

    node_attempts: int = 0
    further_attempts: float = 0.0


class CustodyEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Custody of jobs that must not run twice, over TCP at the limiters' ``peers`` addresses.

    ``keep_s``: a record is kept so long after its last word; ``most_mb`` for all records of an instance;
    ``marked``: submitters mark each further try of a key (X-Repeat: 1), so a try without it is the first;
    ``lost``: where too few custodians can say, a first try is served without custody ("serve") or turned
    away ("refuse")."""

    keep_s: float = 30.0
    most_mb: float = 16.0
    marked: bool = True
    lost: str = "serve"


class StateEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Where instances keep what outlives them, each in a folder of its own; ``sync_ms`` between syncs."""

    folder: str
    sync_ms: float = 500.0


class ReservationsEntry(msgspec.Struct, forbid_unknown_fields=True):
    """What may be reserved: ``fleet_share`` of ``fleet_rate`` units a second (0: no bound) by all customers,
    and by one ``customer_share`` of its plan's rate."""

    fleet_rate: float = 0.0
    fleet_share: float = 0.3
    customer_share: float = 1.0


class LedgerEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Use is told apart by periods, sealed every ``seal_s``; at most ``most_mb`` wait to be acknowledged.

    The log is written anew, shorter, when it has ``rewrite_mb``.  Where the instances share the folder of
    [state], what one that has been away for ``adopt_s`` counted is exported by another; 0: only by itself."""

    period_s: int = 3600
    seal_s: float = 60.0
    most_mb: float = 64.0
    rewrite_mb: float = 8.0
    adopt_s: float = 0.0


class ExportEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Where use is brought: a receiver's ``url`` (``ca``: certificates to trust) or a ``folder``."""

    url: str = ""
    ca: str = ""
    folder: str = ""
    most_wait_s: float = 60.0


class ZonesEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Whether zones that fail are left by the fleet (``leave``); ``regions`` are groups of zones by name: of
    which most are lost, it is left as a whole."""

    leave: bool = True
    regions: dict[str, list[str]] = {}

    def of_zones(self) -> dict[str, str]:
        """The region of each zone that has one."""
        return {zone: region for region, zones in self.regions.items() for zone in zones}


class InstanceEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One instance in an operator's file; ``config`` and ``admin`` (its socket) are paths from that file;
    ``zone`` is where it stands."""

    name: str
    config: str
    grpc: str = ""
    admin: str = ""
    zone: str = ""


class Operator(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's file: the instances that an agent manages, and what they have that the platform lacks."""

    instance: list[InstanceEntry]
    store: StoreEntry | None = None
    quota: QuotaEntry = QuotaEntry()
    limits: LimitsEntry = LimitsEntry()
    zones: ZonesEntry = ZonesEntry()
    custody: CustodyEntry | None = None
    plans: PlansEntry | None = None
    state: StateEntry | None = None
    reservations: ReservationsEntry | None = None
    ledger: LedgerEntry | None = None
    export: ExportEntry | None = None

    def find_problem(self) -> str:
        """What makes no sense in it, in one line; empty if all does."""
        if self.quota.err not in ("quota", "service"):
            return 'quota: err is either "quota" or "service"'
        if not (0 <= self.limits.node_attempts <= 65535 and 0 <= self.limits.further_attempts <= 10):
            return "limits: the figures make no sense"
        if len(self.zones.of_zones()) < sum(map(len, self.zones.regions.values())):
            return "zones: a zone is in one region at the most"
        c = self.custody
        if c is not None and not (c.keep_s > 0 and 0.01 <= c.most_mb <= 1024
                                  and c.lost in ("serve", "refuse")):
            return 'custody: keep_s, most_mb or lost ("serve" or "refuse") makes no sense'
        r, e, s, x = self.reservations, self.ledger, self.state, self.export
        if (r is not None or e is not None) and s is None:
            return "reservations and a ledger need a [state] folder"
        if r is not None and not (r.fleet_rate >= 0 and 0 <= r.fleet_share <= 1 and r.customer_share >= 0):
            return "reservations: the shares make no sense"
        if e is not None and not (1 <= e.period_s <= 31 * 86400 and e.seal_s > 0 and e.most_mb > 0
                              and e.rewrite_mb > 0 and (e.adopt_s == 0 or e.adopt_s >= 0.5)):
            return "ledger: the figures make no sense"
        if s is not None and not 10 <= s.sync_ms <= 60000:
            return "state: sync_ms is not between 10 and 60000"
        if x is not None and (e is None or bool(x.url) == bool(x.folder) or not x.most_wait_s >= 0.1):
            return "export: it needs a [ledger], either a url or a folder, and a most_wait_s of 0.1 or more"
        if any((e.admin == "") != (self.instance[0].admin == "") for e in self.instance):
            return "either all instances have an admin address or none has"
        return ""

    def instance_entry(self, name: str) -> InstanceEntry:
        for entry in self.instance:
            if entry.name == name:
                return entry
        raise ConfigError(f"the operator's file names no instance {name!r}")


def load_operator(path: Path) -> Operator:
    try:
        operator = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise ConfigError(f"{path}: {str(error).splitlines()[0]}") from error
    names = [entry.name for entry in operator.instance]
    if not names or len(set(names)) < len(names):
        raise ConfigError(f"{path}: instances need names of their own")
    for entry in operator.instance:
        if entry.grpc:
            parse_address(entry.grpc)
    if why := operator.find_problem():
        raise ConfigError(f"{path}: {why}")
    return operator
