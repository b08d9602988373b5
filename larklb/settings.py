"""Configuration of an instance: the EDGE_* variables, its JSON file and the operator's TOML file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from larklb import interface as io
from larklb.settings_mapping import settings_from_wire


class ConfigError(Exception):
    """The configuration is unusable; the message is one line that states why."""


class Instance(msgspec.Struct, rename="camel"):
    """An execute node in the form that discovery sends."""

    instance_id: str
    host_port: str
    zone: str = ""
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    started_at_ms: float = 0.0


class MachineList(msgspec.Struct):
    """A list of execute nodes: complete (``reset``), or the changes since an earlier list."""

    generation: int
    reset: bool = False
    instances: list[Instance] = []


class Limits(msgspec.Struct):
    """Limits of the process: memory in MB and the number of sockets."""

    memory_mb: int = 192
    sockets: int = 1024


class _File(msgspec.Struct):
    """The JSON configuration file."""

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
    """The configuration of an instance after validation.

    ``dial_timeout`` and ``conn_idle`` are in ms.
    """

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
    # Keys of the file; a file that is loaded later must have them too.
    keys: frozenset[str] = frozenset()
    # The second address, for the operators' staff.
    admin: tuple[str, int] | None = None


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of ``host:port`` or ``[v6]:port``.  Raises ConfigError for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{text!r} must be host:port")
    return host.strip("[]"), int(port)


def _keys(data: bytes) -> frozenset[str]:
    """Returns the keys of a file, of its settings and of the objects in these, except the machine list."""
    content = msgspec.json.decode(data, type=dict[str, Any])
    settings = content["settings"]
    qualified = {f"settings.{key}": value for key, value in settings.items()}
    nested = {f"{key}.{inner_key}" for key, value in qualified.items() if isinstance(value, dict)
              for inner_key in value}
    return frozenset({*content, *qualified, *nested} - {"known"})


def load(env: Mapping[str, str] = os.environ, required_keys: frozenset[str] = frozenset()) -> Config:
    """Returns the configuration of the instance from the file that EDGE_CONFIG names.

    EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_ADMIN take precedence over the file.  ``required_keys``
    are the keys of the file in force: a file that lacks any of them has been truncated.  Raises ConfigError
    if the configuration is unusable.
    """
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG does not name a configuration file")
    try:
        data = Path(path).read_bytes()
        raw = msgspec.json.decode(data, type=_File)
        keys = _keys(data)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if missing := sorted(required_keys - keys):
        raise ConfigError(f"{path}: {missing[0]} is missing")
    try:
        settings = settings_from_wire(raw.settings)
        limits = raw.settings["limits"]
        dial_timeout, conn_idle = (
            float(limits.get("dial_timeout") or 250.0), float(limits.get("conn_idle") or 30000.0))
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {type(error).__name__}: {error}") from error
    try:
        seed = int(raw.seed, 16)
    except ValueError as error:
        raise ConfigError(f"{path}: seed {raw.seed!r} is not a hex number") from error
    peers = tuple(parse_address(peer) for peer in raw.peers)
    admin = env.get("EDGE_ADMIN") or raw.admin
    if settings.can_tell and settings.gateways > 1 and len(peers) != settings.gateways:
        raise ConfigError(f"{path}: {len(peers)} peers are listed for {settings.gateways} limiters")
    if raw.limits.sockets < 64:
        raise ConfigError(f"{path}: {raw.limits.sockets} sockets are too few: 64 is the minimum")
    return Config(
        name=env.get("EDGE_NAME") or raw.name or "limiter",
        listen=parse_address(env.get("EDGE_LISTEN") or raw.listen),
        discovery=parse_address(env.get("EDGE_DISCOVERY") or raw.discovery), seed=seed,
        sockets=min(raw.limits.sockets, 1024), peers=peers,
        peer_listen=parse_address(raw.peer_listen) if raw.peer_listen else None,
        known=raw.known, settings=settings, dial_timeout=dial_timeout, conn_idle=conn_idle,
        memory_mb=raw.limits.memory_mb, keys=keys, admin=parse_address(admin) if admin else None)


class StoreEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The shared store: its URL and the prefix of the keys."""

    url: str
    prefix: str = "larklb"


class PlansEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The catalogue of plan versions: its path, relative to the operator's file."""

    file: str


class QuotaEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Which way quotas err while limiters can't reach each other (``err``: "quota" or "service").

    ``settle`` states whether the units admitted meanwhile are settled afterwards.
    """

    err: str = "service"
    settle: bool = True

    def reserve(self) -> float:
        """Returns how far a share may grow with traffic that moves: 0 for "quota", 1 for "service"."""
        return {"quota": 0.0, "service": 1.0}[self.err]


class LimitsEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits for all limiters together; 0 means no limit.

    ``node_attempts`` limits concurrent attempts at one execute node, and the connections to it.
    ``further_attempts`` limits the further attempts per first attempt.
    """

    node_attempts: int = 0
    further_attempts: float = 0.0


class CustodyEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Custody of jobs that must not run twice, over TCP at the limiters' ``peers`` addresses.

    A record is kept for ``keep_s`` after its last message, and all records of an instance take at most
    ``most_mb``.  With ``marked`` submitters mark each further try of a key (X-Repeat: 1), so a try without
    the mark is the first.  ``lost`` states what happens to a first try while too few custodians can answer:
    it is served without custody ("serve") or rejected ("refuse").
    """

    keep_s: float = 30.0
    most_mb: float = 16.0
    marked: bool = True
    lost: str = "serve"


class StateEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The folder of the instances' durable state, a subfolder for each, and the time between syncs."""

    folder: str
    sync_ms: float = 500.0


class ReservationsEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Bounds of reservations.

    All customers together may reserve ``fleet_share`` of ``fleet_rate`` units per second (0: no bound), and
    one customer ``customer_share`` of its plan's rate.
    """

    fleet_rate: float = 0.0
    fleet_share: float = 0.3
    customer_share: float = 1.0


class LedgerEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The ledger of use, which is counted per period of ``period_s`` and sealed every ``seal_s``.

    At most ``most_mb`` wait for acknowledgement, and the log is compacted when it reaches ``rewrite_mb``.
    Where the instances share the folder of [state], another instance exports the counts of one that has been
    away for ``adopt_s``; 0 means that each instance exports only its own.
    """

    period_s: int = 3600
    seal_s: float = 60.0
    most_mb: float = 64.0
    rewrite_mb: float = 8.0
    adopt_s: float = 0.0


class ExportEntry(msgspec.Struct, forbid_unknown_fields=True):
    """Where use is exported: to a receiver's ``url`` (``ca``: certificates to trust) or into a ``folder``."""

    url: str = ""
    ca: str = ""
    folder: str = ""
    most_wait_s: float = 60.0


class ZonesEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Whether the fleet evacuates failing zones (``leave``).

    ``regions`` are named groups of zones: a region that has lost most of its zones is evacuated as a whole.
    """

    leave: bool = True
    regions: dict[str, list[str]] = {}

    def of_zones(self) -> dict[str, str]:
        """Returns the region of each zone that belongs to one."""
        return {zone: region for region, zones in self.regions.items() for zone in zones}


class InstanceEntry(msgspec.Struct, forbid_unknown_fields=True):
    """An instance in an operator's file.

    ``config`` and ``admin`` (its socket) are paths relative to that file; ``zone`` is the instance's zone.
    """

    name: str
    config: str
    grpc: str = ""
    admin: str = ""
    zone: str = ""


class Operator(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's file: the instances of an agent, and settings that the platform does not have."""

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
        """Returns the first problem of the file in one line, or an empty text if there is none."""
        if self.quota.err not in ("quota", "service"):
            return 'quota: err is either "quota" or "service"'
        if not (0 <= self.limits.node_attempts <= 65535 and 0 <= self.limits.further_attempts <= 10):
            return "limits: the figures make no sense"
        if len(self.zones.of_zones()) < sum(map(len, self.zones.regions.values())):
            return "zones: a zone is in one region at the most"
        custody = self.custody
        if custody is not None and not (custody.keep_s > 0 and 0.01 <= custody.most_mb <= 1024
                                        and custody.lost in ("serve", "refuse")):
            return 'custody: keep_s, most_mb or lost ("serve" or "refuse") makes no sense'
        reservations, ledger, state, export = self.reservations, self.ledger, self.state, self.export
        if (reservations is not None or ledger is not None) and state is None:
            return "reservations and a ledger need a [state] folder"
        if reservations is not None and not (
                reservations.fleet_rate >= 0 and 0 <= reservations.fleet_share <= 1
                and reservations.customer_share >= 0):
            return "reservations: the shares make no sense"
        if ledger is not None and not (1 <= ledger.period_s <= 31 * 86400 and ledger.seal_s > 0
                                       and ledger.most_mb > 0 and ledger.rewrite_mb > 0
                                       and (ledger.adopt_s == 0 or ledger.adopt_s >= 0.5)):
            return "ledger: the figures make no sense"
        if state is not None and not 10 <= state.sync_ms <= 60000:
            return "state: sync_ms is not between 10 and 60000"
        if export is not None and (ledger is None or bool(export.url) == bool(export.folder)
                                   or not export.most_wait_s >= 0.1):
            return "export: it needs a [ledger], either a url or a folder, and a most_wait_s of 0.1 or more"
        if any((entry.admin == "") != (self.instance[0].admin == "") for entry in self.instance):
            return "either all instances have an admin address or none has"
        return ""

    def instance_entry(self, name: str) -> InstanceEntry:
        """Returns the instance of that name.  Raises ConfigError if there is none."""
        for entry in self.instance:
            if entry.name == name:
                return entry
        raise ConfigError(f"the operator's file has no instance {name!r}")


def load_operator(path: Path) -> Operator:
    """Returns the operator's file at ``path``.  Raises ConfigError if it is unusable."""
    try:
        operator = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise ConfigError(f"{path}: {str(error).splitlines()[0]}") from error
    names = [entry.name for entry in operator.instance]
    if not names or len(set(names)) < len(names):
        raise ConfigError(f"{path}: there must be an instance, and their names must be unique")
    for entry in operator.instance:
        if entry.grpc:
            parse_address(entry.grpc)
    if problem := operator.find_problem():
        raise ConfigError(f"{path}: {problem}")
    return operator
