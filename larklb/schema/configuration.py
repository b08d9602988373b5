"""The typed view of an operator's configuration, and the checks that it has to pass.

The document is what is kept, digested and read back (``document``); the typed view knows only the fields that
this program acts on.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from larklb.schema.document import Document
from larklb.schema.errors import InvalidError
from larklb.schema.fields import (
    Item,
    ItemT,
    at_least,
    choice,
    format_problem,
    read,
    read_version,
    wire,
)

# A set point this much above its route's time-out (ms) makes a configuration invalid.
SETPOINT_EXCESS_MS = 60_000.0

# What holds where the operator gives no value.
TIMEOUT_MS = 30_000.0
SETPOINT_MS = 1_000.0
SATURATION = 100
HEADER_BYTES = 16_384
BODY_BYTES = 64 << 20
HEADER_MS = 10_000.0
IDLE_MS = 15_000.0


def _prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        raise ValueError("a path that begins and ends with a slash")
    return value


def _keys(value: Any) -> list[str]:
    if not isinstance(value, list) or not all(isinstance(key, str) for key in value):
        raise ValueError("a list of strings")
    return value


def _shares(value: Any) -> "list[Share]":
    if not isinstance(value, list):
        raise ValueError("a list of objects with target and gain")
    return [Share.from_dict(share) for share in value]


@dataclass(frozen=True, slots=True, kw_only=True)
class Share(Item):
    """A service's part in a route: `gain` against the sum of gains."""

    target: str
    gain: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route(Item):
    """Requests of one host under one prefix.

    `timeout_ms` is how long a try may be held, `setpoint_ms` the time of full worth, `tries` the most servers
    that one try goes to, `precedence` the rank with 0 highest. `distribution` goes before `target`; one of
    them is there. `affinity` 'caller': requests of one caller stay at its server; the caller is the tenant
    with the route and, if named, the value of the header `affinity_header`. Without it the program's default
    holds.
    """

    name: str
    prefix: str = field(metadata=wire("prefix", _prefix))
    # What may be repeated is told by the operator alone: a route that doesn't say is kept from running twice.
    route_type: Literal["safe", "unsafe"] = field(
        default="unsafe", metadata=wire("routeType", choice("safe", "unsafe"))
    )
    timeout_ms: float = field(default=TIMEOUT_MS, metadata=wire("timeoutMs"))
    setpoint_ms: float = field(default=SETPOINT_MS, metadata=wire("setpointMs"))
    precedence: int = 0
    target: str | None = None
    distribution: list[Share] = field(default_factory=list, metadata=wire("distribution", _shares))
    tries: int = field(default=1, metadata=wire("tries", at_least(1)))
    unkeyed: bool = False
    affinity: str | None = field(default=None, metadata=wire("affinity", choice("none", "caller")))
    affinity_header: str | None = field(default=None, metadata=wire("affinityHeader"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Host(Item):
    """A host's name as the operator wrote it, and its routes."""

    host: str
    paths: list[Route] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service(Item):
    """What servers register under. `saturation`: connections that a server takes, all callers together."""

    name: str
    probe: str = "/"
    saturation: int = field(default=SATURATION, metadata=wire("saturation", at_least(0)))
    protocol: str = "h1"
    tls: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits(Item):
    """What a client may send (bytes) and how long it may take over a head or stay idle (ms)."""

    header_bytes: int = field(default=HEADER_BYTES, metadata=wire("headerBytes", at_least(0)))
    body_bytes: int = field(default=BODY_BYTES, metadata=wire("bodyBytes", at_least(0)))
    header_ms: float = field(default=HEADER_MS, metadata=wire("headerMs"))
    idle_ms: float = field(default=IDLE_MS, metadata=wire("idleMs"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant(Item):
    """Who holds which keys. `rate_per_s` requests a second, `burst` on top, on all machines; 0: no limit."""

    name: str
    keys: list[str] = field(default_factory=list, metadata=wire("keys", _keys))
    precedence: int = 0
    rate_per_s: float = field(default=0.0, metadata=wire("ratePerS"))
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A checked configuration. `tenants` is None where the document has none: then no key is needed."""

    version: int
    services: list[Service]
    limits: Limits
    tenants: list[Tenant] | None
    hosts: list[Host]


def targets(route: Route) -> list[str]:
    """Services that may run a route's requests: those with a gain above 0, else its target. Empty: nobody."""
    found = [share.target for share in route.distribution if share.gain > 0]
    if not found and route.target is not None:
        found.append(route.target)
    return found


def _list(holder: Mapping[str, Any], key: str, where: str, problems: list[str]) -> list[Any]:
    value = holder.get(key)
    if not isinstance(value, list):
        problems.append(format_problem(where, value, "a list"))
        return []
    return value


def _all(kind: type[ItemT], document: Document, key: str, problems: list[str]) -> list[ItemT]:
    found = (
        read(kind, value, f"{key}[{i}]", problems)
        for i, value in enumerate(_list(document, key, key, problems))
    )
    return [item for item in found if item is not None]


def _twice(names: Iterable[str], where: str, problems: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            problems.append(format_problem(where, name, "each name once"))
        seen.add(name)


def _hosts(document: Document, services: set[str] | None, problems: list[str]) -> list[Host]:
    hosts: list[Host] = []
    taken: dict[tuple[str, str], str] = {}
    names: list[str] = []
    for i, entry in enumerate(_list(document, "hosts", "hosts", problems)):
        where = f"hosts[{i}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
            problems.append(format_problem(f"{where}.host", entry, "an object with a host and its paths"))
            continue
        routes: list[Route] = []
        for j, value in enumerate(_list(entry, "paths", f"{where}.paths", problems)):
            at = f"{where}.paths[{j}]"
            route = read(Route, value, at, problems)
            if route is None:
                continue
            routes.append(route)
            names.append(route.name)
            place = (entry["host"].lower(), route.prefix)
            if place in taken:
                problems.append(
                    format_problem(f"{at}.prefix", route.prefix, f"one route a prefix: {taken[place]} has it")
                )
            taken.setdefault(place, route.name)
            # Without a time-out of the operator's there is nothing that the set point could exceed.
            excess = route.setpoint_ms - route.timeout_ms
            if excess >= SETPOINT_EXCESS_MS and value.get("timeoutMs") is not None:
                problems.append(
                    format_problem(f"{at}.setpointMs", route.setpoint_ms, "less than timeoutMs and a minute")
                )
            named = [
                (f"{at}.distribution[{k}].target", share.target) for k, share in enumerate(route.distribution)
            ]
            if route.target is not None:
                named.append((f"{at}.target", route.target))
            problems += [
                format_problem(spot, name, "a service of this configuration")
                for spot, name in named
                if services is not None and name not in services
            ]
            if not targets(route):
                if route.distribution:
                    problems.append(
                        format_problem(
                            f"{at}.distribution",
                            value["distribution"],
                            "a gain above 0: nobody could serve this route",
                        )
                    )
                else:
                    problems.append(format_problem(f"{at}.target", None, "a target or a distribution"))
        hosts.append(Host(host=entry["host"], paths=routes))
    _twice(names, "hosts.paths.name", problems)
    return hosts


def _tenants(document: Document, problems: list[str]) -> list[Tenant] | None:
    if document.get("tenants") is None:
        return None
    tenants = _all(Tenant, document, "tenants", problems)
    _twice((tenant.name for tenant in tenants), "tenants.name", problems)
    holders: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.keys:
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                problems.append(
                    format_problem(
                        "tenants.keys",
                        f"a key of {holder} and {tenant.name}",
                        "keys that no other tenant has",
                    )
                )
    return tenants


def check(document: Document, above: int) -> Configuration:
    """The typed view of a configuration that may follow version `above`. InvalidError lists what is wrong."""
    if not isinstance(document, dict):
        raise InvalidError([format_problem("configuration", document, "an object")])
    problems: list[str] = []
    services = _all(Service, document, "services", problems)
    # A service that can't be read is the problem, and not each route that names it.
    known = None if problems else {service.name for service in services}
    _twice((service.name for service in services), "services.name", problems)
    unread: list[str] = []
    version = read_version(document, unread)
    problems += unread
    if not unread and version <= above:
        problems.append(format_problem("version", version, f"above {above}"))
    limits: Limits | None = Limits()
    if document.get("limits") is not None:
        limits = read(Limits, document["limits"], "limits", problems)
    tenants = _tenants(document, problems)
    hosts = _hosts(document, known, problems)
    if problems or limits is None:
        raise InvalidError(problems)
    return Configuration(version=version, services=services, limits=limits, tenants=tenants, hosts=hosts)
