"""The operator's configuration: the document as it was sent, and the typed view of it that has been checked.

The document is what is kept, digested and read back, with every field the operator put into it; the typed
view knows only the fields that this program acts on.
"""

import json
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal, NoReturn, TypeVar

from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField
from mashumaro.helper import field_options
from mashumaro.mixins.dict import DataClassDictMixin
from xxhash import xxh3_128_hexdigest

from larklb.schema.errors import InvalidError, UnreadableError

Document = dict[str, Any]

# Levels of nesting taken. The schema has eight; walking a document recurses, and must end
# before the stack does.
DEPTH_MAX = 64
# Characters of an offending value that are shown in a problem.
SHOWN = 60
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

# Values that are shown in no problem: a client's key lets anyone in who reads the log.
SECRET = frozenset({"keys"})


# --- reading of fields: strict, since the library would take "7", 7.9 or True for the number 7


def text(value: Any) -> str:
    """A string that isn't empty. ValueError says what would do, as in the readers below."""
    if not isinstance(value, str) or not value:
        raise ValueError("a string that isn't empty")
    return value


def whole(value: Any) -> int:
    """A whole number; 2.0 is taken for 2."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a whole number")
    return value


def amount(value: Any) -> float:
    """A finite number of 0 or more."""
    if not isinstance(value, bool) and isinstance(value, int | float):
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        if 0 <= number < math.inf:
            return number
    raise ValueError("a number of 0 or more")


def flag(value: Any) -> bool:
    """True or False, and no number for them."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def choice(*names: str) -> Callable[[Any], str]:
    """A reader that takes one of `names`."""

    def read(value: Any) -> str:
        if not isinstance(value, str) or value not in names:
            raise ValueError(" or ".join(f"'{name}'" for name in names))
        return value

    return read


def at_least(low: int) -> Callable[[Any], int]:
    """A reader of whole numbers from `low` up."""

    def read(value: Any) -> int:
        try:
            number = whole(value)
        except ValueError:
            number = low - 1
        if number < low:
            raise ValueError(f"a whole number of {low} or more")
        return number

    return read


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


class Item(DataClassDictMixin):
    """Base of what is read from the wire: camelCase names, strict types, null as if not given."""

    __slots__ = ()

    class Config(BaseConfig):
        serialization_strategy = {
            str: {"deserialize": text},
            int: {"deserialize": whole},
            float: {"deserialize": amount},
            bool: {"deserialize": flag},
        }

    @classmethod
    def __pre_deserialize__(cls, d: dict[Any, Any]) -> dict[Any, Any]:
        if not isinstance(d, dict):
            raise ValueError("an object")
        return {key: value for key, value in d.items() if value is not None}


def wire(alias: str, read: Callable[[Any], Any] | None = None) -> dict[str, Any]:
    """Metadata of a field that is called `alias` on the wire and is read by `read`."""
    return field_options(alias=alias) if read is None else field_options(alias=alias, deserialize=read)


# --- the typed view


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


# --- problems


def shown(value: Any) -> str:
    """A value for a problem, cut to SHOWN characters. Of an object or list only that: keys may be in it."""
    if isinstance(value, dict | list):
        return "(an object)" if isinstance(value, dict) else "(a list)"
    try:
        out = json.dumps(value)
    except (TypeError, ValueError):
        out = type(value).__name__
    return out if len(out) <= SHOWN else out[: SHOWN - 3] + "..."


def problem(where: str, value: Any, remedy: str) -> str:
    """'field: value: what would do'."""
    return f"{where}: {shown(value)}: {remedy}"


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def explain(error: BaseException, where: str, value: Any) -> str:
    """The problem behind an error of `from_dict(value)`; the innermost field's is the one that helps."""
    names, remedy, hidden, missing = [where] if where else [], "a value that can be read", False, False
    node: BaseException | None = error
    while node is not None:
        if isinstance(node, InvalidFieldValue):
            names.append(_camel(node.field_name))
            value, hidden = node.field_value, hidden or node.field_name in SECRET
        elif isinstance(node, MissingField):
            names.append(_camel(node.field_name))
            remedy, missing = "must be given", True
        elif isinstance(node, ValueError):
            remedy = str(node)
        node = node.__context__
    name = ".".join(names)
    if missing or hidden:
        return f"{name}: ({'missing' if missing else 'not shown'}): {remedy}"
    return problem(name, value, remedy)


ItemT = TypeVar("ItemT", bound=Item)


def read(kind: type[ItemT], value: Any, where: str, problems: list[str]) -> ItemT | None:
    """`value` as `kind`, or None and one more problem."""
    try:
        return kind.from_dict(value)
    except (ValueError, LookupError) as error:
        problems.append(explain(error, where, value))
        return None


# --- the document


def _refuse(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is no JSON")


def _finite(digits: str) -> float:
    number = float(digits)
    if math.isinf(number):
        raise ValueError("a number beyond what can be kept")
    return number


def parse(body: bytes) -> Document:
    """The JSON object that `body` is, whole. The caller bounds its size.

    UnreadableError: no JSON, bytes behind it, no object, over DEPTH_MAX levels, NaN or infinite numbers.
    """
    try:
        document = json.loads(body, parse_constant=_refuse, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"no JSON: {str(error)[:SHOWN]}") from error
    if not isinstance(document, dict):
        raise UnreadableError("no JSON object")
    level: list[Any] = [document]
    for _ in range(DEPTH_MAX):
        level = [
            child
            for parent in level
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, dict | list)
        ]
        if not level:
            return document
    raise UnreadableError(f"nested more than {DEPTH_MAX} deep")


def _version(document: Mapping[str, Any], problems: list[str]) -> int:
    version = document.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        problems.append(problem("version", version, "a whole number"))
        return 0
    return version


def _list(holder: Mapping[str, Any], key: str, where: str, problems: list[str]) -> list[Any]:
    value = holder.get(key)
    if not isinstance(value, list):
        problems.append(problem(where, value, "a list"))
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
            problems.append(problem(where, name, "each name once"))
        seen.add(name)


def _hosts(document: Document, services: set[str] | None, problems: list[str]) -> list[Host]:
    hosts: list[Host] = []
    taken: dict[tuple[str, str], str] = {}
    names: list[str] = []
    for i, entry in enumerate(_list(document, "hosts", "hosts", problems)):
        where = f"hosts[{i}]"
        if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
            problems.append(problem(f"{where}.host", entry, "an object with a host and its paths"))
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
                    problem(f"{at}.prefix", route.prefix, f"one route a prefix: {taken[place]} has it")
                )
            taken.setdefault(place, route.name)
            # Without a time-out of the operator's there is nothing that the set point could exceed.
            excess = route.setpoint_ms - route.timeout_ms
            if excess >= SETPOINT_EXCESS_MS and value.get("timeoutMs") is not None:
                problems.append(
                    problem(f"{at}.setpointMs", route.setpoint_ms, "less than timeoutMs and a minute")
                )
            named = [
                (f"{at}.distribution[{k}].target", share.target) for k, share in enumerate(route.distribution)
            ]
            if route.target is not None:
                named.append((f"{at}.target", route.target))
            problems += [
                problem(spot, name, "a service of this configuration")
                for spot, name in named
                if services is not None and name not in services
            ]
            if not targets(route):
                if route.distribution:
                    problems.append(
                        problem(
                            f"{at}.distribution",
                            value["distribution"],
                            "a gain above 0: nobody could serve this route",
                        )
                    )
                else:
                    problems.append(problem(f"{at}.target", None, "a target or a distribution"))
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
                    problem(
                        "tenants.keys",
                        f"a key of {holder} and {tenant.name}",
                        "keys that no other tenant has",
                    )
                )
    return tenants


def check(document: Document, above: int) -> Configuration:
    """The typed view of a configuration that may follow version `above`. InvalidError lists what is wrong."""
    if not isinstance(document, dict):
        raise InvalidError([problem("configuration", document, "an object")])
    problems: list[str] = []
    services = _all(Service, document, "services", problems)
    # A service that can't be read is the problem, and not each route that names it.
    known = None if problems else {service.name for service in services}
    _twice((service.name for service in services), "services.name", problems)
    unread: list[str] = []
    version = _version(document, unread)
    problems += unread
    if not unread and version <= above:
        problems.append(problem("version", version, f"above {above}"))
    limits: Limits | None = Limits()
    if document.get("limits") is not None:
        limits = read(Limits, document["limits"], "limits", problems)
    tenants = _tenants(document, problems)
    hosts = _hosts(document, known, problems)
    if problems or limits is None:
        raise InvalidError(problems)
    return Configuration(version=version, services=services, limits=limits, tenants=tenants, hosts=hosts)


# --- amendments

UPSERT_PARTS = ("services", "limits", "tenants", "hosts")
REMOVE_PARTS = ("routes", "services", "tenants", "hosts")


def _named(items: Any, where: str, key: str = "name") -> list[tuple[str, Document]]:
    """Items with the name of each; InvalidError where they are no list of objects with names."""
    if items is None:
        return []
    if not isinstance(items, list):
        raise InvalidError([problem(where, items, "a list")])
    found: list[tuple[str, Document]] = []
    for i, item in enumerate(items):
        name = item.get(key) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            raise InvalidError([problem(f"{where}[{i}].{key}", name, "a name that isn't empty")])
        found.append((name, item))
    return found


def _section(change: Document, key: str, known: tuple[str, ...]) -> Document:
    """`change[key]`, all of it known: what isn't understood must not be acknowledged as done."""
    section = change.get(key)
    if section is None:
        return {}
    if not isinstance(section, dict):
        raise InvalidError([problem(key, section, "an object")])
    unknown = [
        problem(f"{key}.{name}", value, f"one of {', '.join(known)}")
        for name, value in section.items()
        if name not in known
    ]
    if unknown:
        raise InvalidError(unknown)
    return section


def _names(remove: Document, key: str) -> set[str]:
    names = remove.get(key)
    if names is None:
        return set()
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidError([problem(f"remove.{key}", names, "a list of names")])
    return set(names)


def _amend_hosts(document: Document, upsert: Any, routes: set[str], hosts: set[str]) -> list[Any]:
    """The new list of hosts. Entries that nothing changes are the old ones."""
    gone = {host.lower() for host in hosts}
    entries = _named(document.get("hosts"), "hosts", "host")
    paths = [dict(_named(entry.get("paths"), f"hosts[{i}].paths")) for i, (_, entry) in enumerate(entries)]
    stood = {name: i for i, held in enumerate(paths) for name in held}
    first: dict[str, int] = {}
    for i, (host, _) in enumerate(entries):
        first.setdefault(host.lower(), i)
    changed: set[int] = set()
    left: set[int] = set()
    for i, (host, entry) in enumerate(_named(upsert, "upsert.hosts", "host")):
        place = first.get(host.lower())
        extra = {key: value for key, value in entry.items() if key not in ("host", "paths")}
        if place is None:
            place = first[host.lower()] = len(entries)
            entries.append((host, {"host": host, **extra}))
            paths.append({})
        elif extra:
            entries[place] = (entries[place][0], {**entries[place][1], **extra})
        changed.add(place)
        for name, route in _named(entry.get("paths"), f"upsert.hosts[{i}].paths"):
            old = stood.get(name)
            if old is not None and entries[old][0].lower() == host.lower():
                paths[old][name] = route
                changed.add(old)
                continue
            if old is not None:
                del paths[old][name]
                left.add(old)
            paths[place][name] = route
            stood[name] = place
    for name in routes:
        if name in stood:
            del paths[stood[name]][name]
            left.add(stood[name])
    out: list[Any] = []
    for i, (host, entry) in enumerate(entries):
        if host.lower() in gone or (i in left and not paths[i]):
            continue
        out.append({**entry, "paths": list(paths[i].values())} if i in changed or i in left else entry)
    return out


def amend(document: Document, change: Document) -> Document:
    """A new document: `document` with the change's version, its `upsert` put in, then its `remove` taken out.

    Neither input is touched; unchanged parts are shared. A replaced item keeps its place, new ones go last, a
    route that is put under another host leaves the old one, and a host that loses its last route goes. Names
    that aren't there are no error. InvalidError: the change is malformed. The result has yet to pass `check`.
    """
    if not isinstance(change, dict):
        raise InvalidError([problem("change", change, "an object")])
    problems: list[str] = []
    out = {**document, "version": _version(change, problems)}
    if problems:
        raise InvalidError(problems)
    upsert = _section(change, "upsert", UPSERT_PARTS)
    remove = _section(change, "remove", REMOVE_PARTS)
    if upsert.get("limits") is not None:
        if not isinstance(upsert["limits"], dict):
            raise InvalidError([problem("upsert.limits", upsert["limits"], "an object")])
        out["limits"] = upsert["limits"]
    for key in ("services", "tenants"):
        new, gone = _named(upsert.get(key), f"upsert.{key}"), _names(remove, key)
        if new or gone and document.get(key) is not None:
            items = {**dict(_named(document.get(key), key)), **dict(new)}
            out[key] = [item for name, item in items.items() if name not in gone]
    routes, hosts = _names(remove, "routes"), _names(remove, "hosts")
    if upsert.get("hosts") is not None or routes or hosts:
        out["hosts"] = _amend_hosts(document, upsert.get("hosts"), routes, hosts)
    return out


# --- digests


def _plain(value: Any) -> Any:
    """`value` with whole floats as integers: 63.0 and 63 are the same number to an operator."""
    if isinstance(value, dict):
        return {key: _plain(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_plain(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def digest(document: Document) -> str:
    """32 hex digits over the document's meaning: the order of keys doesn't count, nor does 63.0 for 63."""
    return xxh3_128_hexdigest(json.dumps(_plain(document), sort_keys=True, separators=(",", ":")).encode())
