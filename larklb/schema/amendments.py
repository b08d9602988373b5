"""Amendments: partial changes that are applied to a complete configuration document."""

from typing import Any

from larklb.schema.document import Document
from larklb.schema.errors import InvalidError
from larklb.schema.fields import format_problem, read_version

UPSERT_PARTS = ("services", "limits", "tenants", "hosts")
REMOVE_PARTS = ("routes", "services", "tenants", "hosts")


def _named_items(items: Any, path: str, key: str = "name") -> list[tuple[str, Document]]:
    """Pair each item with its name, found under `key`. `items` is at `path` in the document.

    Raises InvalidError if `items` is not a list of objects with non-empty names.
    """
    if items is None:
        return []
    if not isinstance(items, list):
        raise InvalidError([format_problem(path, items, "a list")])
    named: list[tuple[str, Document]] = []
    for index, item in enumerate(items):
        name = item.get(key) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            raise InvalidError([format_problem(f"{path}[{index}].{key}", name, "a name that isn't empty")])
        named.append((name, item))
    return named


def _section(change: Document, key: str, allowed: tuple[str, ...]) -> Document:
    """Return the object `change[key]`, or an empty one if it is absent.

    Raises InvalidError if it contains anything but `allowed`: an unsupported part must not be acknowledged as
    applied.
    """
    section = change.get(key)
    if section is None:
        return {}
    if not isinstance(section, dict):
        raise InvalidError([format_problem(key, section, "an object")])
    unknown = [
        format_problem(f"{key}.{name}", value, f"one of {', '.join(allowed)}")
        for name, value in section.items()
        if name not in allowed
    ]
    if unknown:
        raise InvalidError(unknown)
    return section


def _removed_names(remove: Document, key: str) -> set[str]:
    """Return the names listed under `remove[key]`. Raises InvalidError if they are malformed."""
    names = remove.get(key)
    if names is None:
        return set()
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidError([format_problem(f"remove.{key}", names, "a list of names")])
    return set(names)


def _amend_hosts(document: Document, upsert: Any, routes: set[str], hosts: set[str]) -> list[Any]:
    """Return the new list of hosts. Entries that don't change are shared with `document`.

    `upsert` is the list of hosts to insert or update; `routes` and `hosts` are the names to remove.
    """
    removed_hosts = {host.lower() for host in hosts}
    entries = _named_items(document.get("hosts"), "hosts", "host")
    # The routes of each entry by name.
    paths = [
        dict(_named_items(entry.get("paths"), f"hosts[{i}].paths")) for i, (_, entry) in enumerate(entries)
    ]
    entry_of_route = {name: i for i, routes_of_entry in enumerate(paths) for name in routes_of_entry}
    entry_of_host: dict[str, int] = {}
    for i, (host, _) in enumerate(entries):
        entry_of_host.setdefault(host.lower(), i)
    changed: set[int] = set()
    # Entries that lost a route, and are dropped if none is left.
    shrunk: set[int] = set()
    for upsert_index, (host, entry) in enumerate(_named_items(upsert, "upsert.hosts", "host")):
        index = entry_of_host.get(host.lower())
        extra = {key: value for key, value in entry.items() if key not in ("host", "paths")}
        if index is None:
            index = entry_of_host[host.lower()] = len(entries)
            entries.append((host, {"host": host, **extra}))
            paths.append({})
        elif extra:
            entries[index] = (entries[index][0], {**entries[index][1], **extra})
        changed.add(index)
        for name, route in _named_items(entry.get("paths"), f"upsert.hosts[{upsert_index}].paths"):
            old_index = entry_of_route.get(name)
            if old_index is not None and entries[old_index][0].lower() == host.lower():
                paths[old_index][name] = route
                changed.add(old_index)
                continue
            if old_index is not None:
                del paths[old_index][name]
                shrunk.add(old_index)
            paths[index][name] = route
            entry_of_route[name] = index
    for name in routes:
        if name in entry_of_route:
            del paths[entry_of_route[name]][name]
            shrunk.add(entry_of_route[name])
    amended_entries: list[Any] = []
    for index, (host, entry) in enumerate(entries):
        if host.lower() in removed_hosts or (index in shrunk and not paths[index]):
            continue
        amended_entries.append(
            {**entry, "paths": list(paths[index].values())} if index in changed or index in shrunk else entry
        )
    return amended_entries


def amend(document: Document, change: Document) -> Document:
    """Return a copy of `document` with the version of `change`, its `upsert` applied, then its `remove`.

    The inputs are not modified; unchanged parts are shared with the result. A replaced item keeps its
    position and new items are appended. A route that is upserted under another host moves there, and a host
    that loses its last route is removed. Removing a name that doesn't exist is not an error.

    Raises InvalidError if the change is malformed. The result still has to pass `configuration.check`.
    """
    if not isinstance(change, dict):
        raise InvalidError([format_problem("change", change, "an object")])
    problems: list[str] = []
    amended = {**document, "version": read_version(change, problems)}
    if problems:
        raise InvalidError(problems)
    upsert = _section(change, "upsert", UPSERT_PARTS)
    remove = _section(change, "remove", REMOVE_PARTS)
    if upsert.get("limits") is not None:
        if not isinstance(upsert["limits"], dict):
            raise InvalidError([format_problem("upsert.limits", upsert["limits"], "an object")])
        amended["limits"] = upsert["limits"]
    for key in ("services", "tenants"):
        new, removed = _named_items(upsert.get(key), f"upsert.{key}"), _removed_names(remove, key)
        if new or removed and document.get(key) is not None:
            items = {**dict(_named_items(document.get(key), key)), **dict(new)}
            amended[key] = [item for name, item in items.items() if name not in removed]
    routes, hosts = _removed_names(remove, "routes"), _removed_names(remove, "hosts")
    if upsert.get("hosts") is not None or routes or hosts:
        amended["hosts"] = _amend_hosts(document, upsert.get("hosts"), routes, hosts)
    return amended
