"""The typed view of an operator's configuration, and its validation.

The document itself is what is stored, digested and returned to operators (see ``document``). The typed view
contains only the fields that this program uses.
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
    read_item,
    read_version,
    wire,
)
from larklb.schema.header_text import can_be_sent, visible_text

# A route is invalid if its setpoint exceeds its timeout by this much or more.
INVALID_SETPOINT_EXCESS_MS = 60_000.0

# Defaults of optional fields.
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_SETPOINT_MS = 1_000.0
DEFAULT_SATURATION = 100
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 64 << 20
DEFAULT_HEADER_MS = 10_000.0
DEFAULT_IDLE_MS = 15_000.0


def _parse_prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        raise ValueError("a path that begins and ends with a slash")
    return value


def _parse_keys(value: Any) -> list[str]:
    if not isinstance(value, list) or not all(isinstance(key, str) for key in value):
        raise ValueError("a list of strings")
    return value


def _parse_shares(value: Any) -> "list[Share]":
    if not isinstance(value, list):
        raise ValueError("a list of objects with target and gain")
    return [Share.from_dict(share) for share in value]


@dataclass(frozen=True, slots=True, kw_only=True)
class Share(Item):
    """A service's share of a route's requests: its `gain` relative to the sum of gains."""

    target: str
    gain: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route(Item):
    """How the requests for one host whose paths begin with one prefix are handled.

    `timeout_ms` is the maximum time that a request is held, `setpoint_ms` the latency up to which a response
    has its full value, `tries` the maximum number of servers to which one request is sent, and `precedence`
    the rank, with 0 as the highest. At least one of `distribution` and `target` is given, and `distribution`
    is used first. With `affinity` 'caller', requests of one caller are kept on the same server; a caller is
    identified by its tenant, the route and, if `affinity_header` is given, the value of that header. Without
    `affinity` the program's default applies. Requests to an `unkeyed` route need no key.
    """

    name: str
    prefix: str = field(metadata=wire("prefix", _parse_prefix))
    # Only the operator knows which requests may be repeated, so a route is unsafe unless declared otherwise.
    route_type: Literal["safe", "unsafe"] = field(
        default="unsafe", metadata=wire("routeType", choice("safe", "unsafe"))
    )
    timeout_ms: float = field(default=DEFAULT_TIMEOUT_MS, metadata=wire("timeoutMs"))
    setpoint_ms: float = field(default=DEFAULT_SETPOINT_MS, metadata=wire("setpointMs"))
    precedence: int = 0
    target: str | None = None
    distribution: list[Share] = field(default_factory=list, metadata=wire("distribution", _parse_shares))
    tries: int = field(default=1, metadata=wire("tries", at_least(1)))
    unkeyed: bool = False
    affinity: str | None = field(default=None, metadata=wire("affinity", choice("none", "caller")))
    affinity_header: str | None = field(default=None, metadata=wire("affinityHeader"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Host(Item):
    """A host name as written by the operator, and its routes."""

    host: str
    paths: list[Route] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service(Item):
    """A service, under whose name servers register.

    `probe` is the path of the health check. `saturation` is the number of connections that one server accepts
    from all callers together.
    """

    name: str
    probe: str = "/"
    saturation: int = field(default=DEFAULT_SATURATION, metadata=wire("saturation", at_least(0)))
    protocol: str = "h1"
    tls: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits(Item):
    """Limits on clients: sizes of header and body in bytes, times to send a header and to stay idle in ms."""

    header_bytes: int = field(default=DEFAULT_HEADER_BYTES, metadata=wire("headerBytes", at_least(0)))
    body_bytes: int = field(default=DEFAULT_BODY_BYTES, metadata=wire("bodyBytes", at_least(0)))
    header_ms: float = field(default=DEFAULT_HEADER_MS, metadata=wire("headerMs"))
    idle_ms: float = field(default=DEFAULT_IDLE_MS, metadata=wire("idleMs"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant(Item):
    """A tenant and its keys.

    Servers are sent `name`, and clients send one of `keys`, in a header, which doesn't transmit blanks at its
    ends.

    `rate_per_s` limits its requests per second over all machines together, with bursts of up to `burst`
    requests; 0 means no limit. `precedence` is the rank, with 0 as the highest, and overrides the route's.
    """

    name: str
    keys: list[str] = field(default_factory=list, metadata=wire("keys", _parse_keys))
    precedence: int = 0
    rate_per_s: float = field(default=0.0, metadata=wire("ratePerS"))
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A valid configuration.

    `tenants` is None if the document contains no list of tenants, in which case requests need no key.
    """

    version: int
    services: list[Service]
    limits: Limits
    tenants: list[Tenant] | None
    hosts: list[Host]


def targets(route: Route) -> list[str]:
    """Return the services that may handle a route's requests: those with a positive gain, else its target.

    The list is empty if no service serves the route.
    """
    services = [share.target for share in route.distribution if share.gain > 0]
    if not services and route.target is not None:
        services.append(route.target)
    return services


def _read_list(parent: Mapping[str, Any], key: str, path: str, problems: list[str]) -> list[Any]:
    """Return the list `parent[key]`; if invalid, add a message to `problems` and return an empty list."""
    value = parent.get(key)
    if not isinstance(value, list):
        problems.append(format_problem(path, value, "a list"))
        return []
    return value


def _read_items(item_type: type[ItemT], document: Document, key: str, problems: list[str]) -> list[ItemT]:
    """Parse the items of the list `document[key]`; invalid ones are left out and added to `problems`."""
    items = (
        read_item(item_type, value, f"{key}[{i}]", problems)
        for i, value in enumerate(_read_list(document, key, key, problems))
    )
    return [item for item in items if item is not None]


def _check_unique(
    names: Iterable[str], path: str, problems: list[str], expected: str = "each name once"
) -> None:
    """Add a message to `problems` for each repetition of a name; `expected` tells what it should be."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            problems.append(format_problem(path, name, expected))
        seen.add(name)


def _read_hosts(document: Document, services: set[str] | None, problems: list[str]) -> list[Host]:
    """Parse and validate the hosts. Routes may refer to `services`, or to any service if it is None."""
    hosts: list[Host] = []
    route_names: dict[tuple[str, str], str] = {}
    names: list[str] = []
    for host_index, entry in enumerate(_read_list(document, "hosts", "hosts", problems)):
        path = f"hosts[{host_index}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
            problems.append(format_problem(f"{path}.host", entry, "an object with a host and its paths"))
            continue
        routes: list[Route] = []
        for route_index, value in enumerate(_read_list(entry, "paths", f"{path}.paths", problems)):
            route_path = f"{path}.paths[{route_index}]"
            route = read_item(Route, value, route_path, problems)
            if route is None:
                continue
            if targets(route):  # otherwise nobody could serve it, as is reported below
                routes.append(route)
            names.append(route.name)
            location = (entry["host"].lower(), route.prefix)
            if location in route_names:
                problems.append(
                    format_problem(
                        f"{route_path}.prefix",
                        route.prefix,
                        f"one route a prefix: {route_names[location]} has it",
                    )
                )
            route_names.setdefault(location, route.name)
            # The setpoint is compared only with a timeout that the operator gave, not with the default.
            excess = route.setpoint_ms - route.timeout_ms
            if excess >= INVALID_SETPOINT_EXCESS_MS and value.get("timeoutMs") is not None:
                problems.append(
                    format_problem(
                        f"{route_path}.setpointMs", route.setpoint_ms, "less than timeoutMs and a minute"
                    )
                )
            references = [
                (f"{route_path}.distribution[{k}].target", share.target)
                for k, share in enumerate(route.distribution)
            ]
            if route.target is not None:
                references.append((f"{route_path}.target", route.target))
            problems += [
                format_problem(reference_path, name, "a service of this configuration")
                for reference_path, name in references
                if services is not None and name not in services
            ]
            if not targets(route):
                if route.distribution:
                    problems.append(
                        format_problem(
                            f"{route_path}.distribution",
                            value["distribution"],
                            "a gain above 0: nobody could serve this route",
                        )
                    )
                else:
                    problems.append(
                        format_problem(f"{route_path}.target", None, "a target or a distribution")
                    )
        hosts.append(Host(host=entry["host"], paths=routes))
    _check_unique(names, "hosts.paths.name", problems)
    return hosts


def _read_tenants(document: Document, problems: list[str]) -> list[Tenant] | None:
    """Parse and validate the tenants, or return None if the document has no list of them."""
    if document.get("tenants") is None:
        return None
    tenants = _read_items(Tenant, document, "tenants", problems)
    problems += [
        format_problem(f"tenants.name[{index}]", tenant.name, "a string without control characters")
        for index, tenant in enumerate(tenants)
        if not can_be_sent(tenant.name)
    ]
    # Servers couldn't tell two tenants apart whose names differ only in blanks at the ends.
    visible_names = (visible_text(tenant.name) for tenant in tenants)
    _check_unique(visible_names, "tenants.name", problems, "each name once, apart from blanks at its ends")
    holders: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.keys:
            holder = holders.setdefault(visible_text(key), tenant.name)
            if holder != tenant.name:
                problems.append(
                    format_problem(
                        "tenants.keys",
                        f"a key of {holder} and {tenant.name}",
                        "keys that no other tenant has",
                    )
                )
    return tenants


def check(document: Document, previous_version: int) -> Configuration:
    """Validate a configuration document and return its typed view.

    Its version must be above `previous_version`. Raises InvalidError with a message about each invalid value.
    """
    if not isinstance(document, dict):
        raise InvalidError([format_problem("configuration", document, "an object")])
    configuration, problems = read_stored(document, previous_version)
    if problems:
        raise InvalidError(problems)
    return configuration


def read_stored(document: Document, previous_version: int = 0) -> tuple[Configuration, list[str]]:
    """Return the typed view of a document without its invalid items, and a message about each invalid value.

    A version of this program may have stored a document that a later one calls invalid. Then all valid items
    must still be served.
    """
    problems: list[str] = []
    services = _read_items(Service, document, "services", problems)
    # An invalid service is reported once, and not for each route that refers to it.
    service_names = None if problems else {service.name for service in services}
    _check_unique((service.name for service in services), "services.name", problems)
    version_problems: list[str] = []
    version = read_version(document, version_problems)
    problems += version_problems
    if not version_problems and version <= previous_version:
        problems.append(format_problem("version", version, f"above {previous_version}"))
    limits: Limits | None = Limits()
    if document.get("limits") is not None:
        limits = read_item(Limits, document["limits"], "limits", problems)
    tenants = _read_tenants(document, problems)
    hosts = _read_hosts(document, service_names, problems)
    configuration = Configuration(
        version=version, services=services, limits=limits or Limits(), tenants=tenants, hosts=hosts
    )
    return configuration, problems
