"""Amendments: what a partial change makes of a whole configuration."""

from typing import Any

from larklb.schema.document import Document
from larklb.schema.errors import InvalidError
from larklb.schema.fields import format_problem, read_version

UPSERT_PARTS = ("services", "limits", "tenants", "hosts")
REMOVE_PARTS = ("routes", "services", "tenants", "hosts")


def _named(items: Any, where: str, key: str = "name") -> list[tuple[str, Document]]:
    """Items with the name of each; InvalidError where they are no list of objects with names."""
    if items is None:
        return []
    if not isinstance(items, list):
        raise InvalidError([format_problem(where, items, "a list")])
    found: list[tuple[str, Document]] = []
    for i, item in enumerate(items):
        name = item.get(key) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            raise InvalidError([format_problem(f"{where}[{i}].{key}", name, "a name that isn't empty")])
        found.append((name, item))
    return found


def _section(change: Document, key: str, known: tuple[str, ...]) -> Document:
    """`change[key]`, all of it known: what isn't understood must not be acknowledged as done."""
    section = change.get(key)
    if section is None:
        return {}
    if not isinstance(section, dict):
        raise InvalidError([format_problem(key, section, "an object")])
    unknown = [
        format_problem(f"{key}.{name}", value, f"one of {', '.join(known)}")
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
        raise InvalidError([format_problem(f"remove.{key}", names, "a list of names")])
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
        raise InvalidError([format_problem("change", change, "an object")])
    problems: list[str] = []
    out = {**document, "version": read_version(change, problems)}
    if problems:
        raise InvalidError(problems)
    upsert = _section(change, "upsert", UPSERT_PARTS)
    remove = _section(change, "remove", REMOVE_PARTS)
    if upsert.get("limits") is not None:
        if not isinstance(upsert["limits"], dict):
            raise InvalidError([format_problem("upsert.limits", upsert["limits"], "an object")])
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
