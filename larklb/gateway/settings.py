"""The settings file (TOML) of a process, whose path is in LARKLB_SETTINGS; all of its values are
validated."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from attrs import define, field

from larklb.gateway.errors import SettingsError

Address = tuple[str, int]


@define(frozen=True)
class Bounds:
    """Time bounds, limits and ratios of the service.

    ``retry_slack`` is a number of retries, and ``quota_slack`` a number of requests, allowed in each window
    in addition to the ratio."""

    contact_ms: float = 3_000.0
    ack_ms: float = 5_000.0
    drain_ms: float = 2_500.0
    grace_ms: float = 6_000.0
    apply_ms: float = 2_500.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 64.0
    settling_ms: float = 15_000.0
    convergence_ms: float = 4_000.0
    quota_window_ms: float = 5_000.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


@define(frozen=True)
class Settings:
    """The settings of one process; addresses are pairs of host and port."""

    path: str
    node: str
    ip: str
    zone: str
    region: str
    bootstrap: bool
    # Folder of the core machine's disk, empty on other limiters.
    data_dir: str
    counted: bool
    memory_mb: float
    descriptors: int
    # Processor cores available to the process.
    cores: float
    edge: Address | None
    readiness: Address | None
    control: Address | None
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    zones: dict[str, str]
    # Time between the heartbeats of a server.
    heartbeat_period_ms: float
    tolerance: int
    bounds: Bounds = field(factory=Bounds)

    @property
    def port(self) -> int:
        """The port for messages between limiters, the same on all machines."""
        return self.ports[0]


class _Table:
    """A table of the settings file, with accessors that validate each field and raise ``SettingsError``."""

    def __init__(self, path: str, section: str, table: Any) -> None:
        if not isinstance(table, dict):
            raise SettingsError(f"{path}: [{section}] is missing")
        self.path, self.section, self.table = path, section, table

    def get(self, name: str, expected_type: type | tuple[type, ...], default: Any = None) -> Any:
        value = self.table.get(name, default)
        if (
            value is None
            or not isinstance(value, expected_type)
            or (isinstance(value, bool) and expected_type is not bool)
        ):
            type_name = getattr(expected_type, "__name__", "a number")
            raise SettingsError(f"{self.path}: {self.section}.{name}: {value!r}: must be {type_name}")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = float(self.get(name, (int, float), default))
        if not 0 <= value < 1e12:
            raise SettingsError(f"{self.path}: {self.section}.{name}: {value!r}: must not be negative")
        return value

    def address(self, name: str) -> Address | None:
        return _address(self.path, f"{self.section}.{name}", self.table[name]) if name in self.table else None


def _address(path: str, section: str, value: Any) -> Address:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{path}: {section}: {value!r}: must be host:port")
    return host, int(port)


def read(path: str) -> Settings:
    """Reads and validates a settings file; raises ``SettingsError`` if it can't be used."""
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: no TOML: {error}") from error
    own = _Table(path, "self", document.get("self"))
    network = _Table(path, "network", document.get("network"))
    bindings = _Table(path, "network.bindings", network.table.get("bindings"))
    limits = _Table(path, "self.limits", own.table.get("limits", {}))
    terms = _Table(path, "terms", document.get("terms", {}))
    bounds = _Table(path, "terms.bounds", terms.table.get("bounds", {}))
    substrate = _Table(path, "substrate", document.get("substrate", {}))
    tolerance = _Table(path, "terms.tolerance", terms.table.get("tolerance", {}))
    ports = network.get("portRange", list)
    if (
        len(ports) != 2
        or not all(isinstance(port, int) and 0 < port < 65536 for port in ports)
        or ports[0] > ports[1]
    ):
        raise SettingsError(f"{path}: network.portRange: {ports!r}: must be [first, last]")
    seeds = tuple(_address(path, "network.seeds", seed) for seed in network.get("seeds", list, []))
    zone = own.get("zone", str)
    zones = {str(name): str(region) for name, region in network.get("zones", dict, {}).items()}
    defaults = Bounds()
    return Settings(
        path=path,
        node=own.get("node", str),
        ip=own.get("ip", str),
        zone=zone,
        region=own.get("region", str, zones.get(zone, "")),
        bootstrap=own.get("bootstrap", bool, False),
        data_dir=own.get("dataDir", str, ""),
        counted=own.get("counted", bool, False),
        memory_mb=limits.number("memoryMb", 300),
        descriptors=int(limits.number("descriptors", 1024)),
        cores=limits.number("cpuShare", 1.0) * limits.number("cores", 1),
        edge=bindings.address("edge"),
        readiness=bindings.address("readiness"),
        control=bindings.address("control"),
        ports=(ports[0], ports[1]),
        seeds=seeds,
        zones=zones,
        heartbeat_period_ms=max(50.0, substrate.number("reportPeriodMs", 1500)),
        tolerance=int(tolerance.number("machines", 1)),
        bounds=Bounds(
            contact_ms=bounds.number("contactMs", defaults.contact_ms),
            ack_ms=bounds.number("ackMs", defaults.ack_ms),
            drain_ms=bounds.number("drainMs", defaults.drain_ms),
            grace_ms=bounds.number("graceS", 6) * 1000.0,
            apply_ms=bounds.number("applyMs", defaults.apply_ms),
            retry_ratio=bounds.number("retryRatio", defaults.retry_ratio),
            retry_window_ms=bounds.number("retryWindowS", 10) * 1000.0,
            retry_slack=bounds.number("retrySlack", defaults.retry_slack),
            settling_ms=bounds.number("settlingS", 15) * 1000.0,
            convergence_ms=bounds.number("convergenceS", 4) * 1000.0,
            quota_window_ms=bounds.number("quotaWindowS", 5) * 1000.0,
            quota_overshoot=bounds.number("quotaOvershoot", defaults.quota_overshoot),
            quota_slack=bounds.number("quotaSlack", defaults.quota_slack),
        ),
    )
