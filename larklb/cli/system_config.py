"""Commands that check settings files, and check, compare, send and read configurations."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from larklb.cli.system_calls import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNUSABLE,
    Caller,
    Document,
    NoAnswerError,
    Row,
    UnusableError,
    config_error,
    parse_addresses,
    print_error,
    print_json,
    print_table,
    read_document,
)
from larklb.gateway import settings as gateway_settings
from larklb.gateway.errors import SettingsError
from larklb.schema import amendments, calls
from larklb.schema import configuration as schema
from larklb.schema.document import digest
from larklb.schema.errors import InvalidError
from larklb.schema.fields import SECRET_FIELDS, format_problem

# 200 for files and other non-sockets, and 64 for sockets.
MIN_DESCRIPTORS = 264


def check_settings(file: Path, *, json: bool = False) -> int:
    """Check a settings file the way a limiter reads it at startup; no limiter needs to run.

    0: usable; 1: usable, but with settings that are probably mistakes; 2: a limiter would exit with 2.

    :param file: The settings file (TOML), as named by LARKLB_SETTINGS.
    :param json: Print one JSON line for programs.
    """
    try:
        settings = gateway_settings.read(str(file))
    except SettingsError as error:
        if json:
            print_json({"file": str(file), "usable": False, "problems": str(error).splitlines(),
                        "doubts": []})
        print_error(str(error))
        return EXIT_UNUSABLE
    warnings = [f"{file}: {text}" for text in _warnings(settings)]
    if json:
        print_json({"file": str(file), "usable": True, "problems": [], "doubts": warnings})
    else:
        bound = [name for name in ("edge", "readiness", "control") if getattr(settings, name) is not None]
        print(f"{file}: usable, {settings.node} at {settings.ip} in {settings.zone}, "
              f"serves {', '.join(bound) or '-'}"
              f"{', core machine' if settings.data_dir and settings.control else ''}")
    print_error("\n".join(warnings))
    return EXIT_FAILED if warnings else EXIT_OK


def _warnings(s: gateway_settings.Settings) -> list[str]:
    """Settings that are valid and yet probably mistakes, a line each."""
    found = []
    if s.zones and s.zone not in s.zones:
        found.append(f"self.zone: {s.zone!r}: must be one of network.zones, {', '.join(sorted(s.zones))}")
    if s.data_dir and s.control is None:
        found.append("self.dataDir: is of no use without network.bindings.control")
    if s.edge is not None and s.readiness is None:
        found.append("network.bindings.readiness: missing: no client comes to who never says it is ready")
    if s.edge is None and s.control is None:
        found.append("network.bindings: missing: with neither edge nor control nobody can call this limiter")
    if not s.seeds:
        found.append("network.seeds: []: must name limiters through which this one finds the others")
    if s.descriptors < MIN_DESCRIPTORS:
        found.append(f"self.limits.descriptors: {s.descriptors}: must be {MIN_DESCRIPTORS} or more")
    taken: dict[gateway_settings.Address, str] = {(s.ip, s.port): "network.portRange"}
    for name in ("edge", "readiness", "control"):
        if (address := getattr(s, name)) is not None:
            if address in taken:
                found.append(f"network.bindings.{name}: '{address[0]}:{address[1]}': must not be that of "
                             f"{taken[address]}")
            taken.setdefault(address, f"network.bindings.{name}")
    return found


def check_config(file: Path, *, base: Path | None = None, json: bool = False) -> int:
    """Check a configuration, or a change to one, before it is sent; no limiter needs to run.

    0: usable; 2: a limiter would refuse it.

    :param file: A configuration (JSON), or a change (upsert and remove), which requires a base.
    :param base: The configuration that it builds on; the file's version must be higher.
    :param json: Print one JSON line for programs.
    """
    try:
        document, version = _check_document(file, base)
    except InvalidError as error:
        if json:
            print_json({"file": str(file), "usable": False, "problems": error.problems})
        raise config_error(file, error) from error
    checked = schema.check(document, version)
    sizes = {"version": checked.version, "services": len(checked.services), "hosts": len(checked.hosts),
             "routes": sum(len(host.paths) for host in checked.hosts), "tenants": len(checked.tenants or ())}
    if json:
        print_json({"file": str(file), "usable": True, "problems": [], "digest": digest(document), **sizes})
    else:
        print(f"{file}: usable, " + ", ".join(f"{name} {count}" for name, count in sizes.items()))
    return EXIT_OK


def _check_document(file: Path, base: Path | None) -> tuple[Document, int]:
    """Return the configuration that would be in force, and the version that it follows.

    Raises UnusableError and InvalidError."""
    document = read_document(file)
    if base is None:
        if "upsert" in document or "remove" in document:
            raise UnusableError(f"{file}: this is a change: --base must name the configuration it changes")
        base_version = 0
    else:
        old = read_document(base)
        try:
            base_version = schema.check(old, -1).version
        except InvalidError as error:
            raise config_error(base, error) from error
        if "upsert" in document or "remove" in document:
            document = amendments.amend(old, document)
    schema.check(document, base_version)
    return document, base_version


def diff_config(old: Path, new: Path, *, json: bool = False) -> int:
    """Compare two configurations item by item; tenants' keys are counted, not shown.

    0: they are equivalent; 1: they differ; 2: one of them can't be used.

    :param old: A configuration (JSON), or the control address of a limiter to read it from.
    :param new: The configuration to compare it with, given in the same way.
    :param json: Print a JSON line for each difference.
    """
    rows = differences(_load_either(old), _load_either(new))
    if json:
        for row in rows:
            print_json(row)
    elif rows:
        print_table(rows, ("what", "name", "field", "old", "new"))
    return EXIT_FAILED if rows else EXIT_OK


def _load_either(source: Path) -> Document:
    """Load a configuration from a file, or from a limiter if `source` looks like host:port."""
    if source.exists() or "/" in str(source) or ":" not in str(source):
        document = read_document(source)
    else:
        document = _read(parse_addresses(str(source)))
    try:
        schema.check(document, -1)
    except InvalidError as error:
        raise config_error(source, error) from error
    return document


def differences(old: Document, new: Document) -> list[Row]:
    """Compare two configurations: a row for each changed field, and for each item added or removed.

    Both documents must have passed `check`."""
    rows: list[Row] = []
    for key in sorted((old.keys() | new.keys()) - {"services", "tenants", "hosts", "limits"}):
        _compare(rows, "configuration", "", {key: old.get(key)}, {key: new.get(key)})
    _compare(rows, "limits", "", old.get("limits") or {}, new.get("limits") or {})
    for what, key in (("service", "services"), ("tenant", "tenants")):
        if (old.get(key) is None) != (new.get(key) is None):
            rows.append({"what": "configuration", "name": "", "field": key, "old": _item_count(old.get(key)),
                         "new": _item_count(new.get(key))})
        _compare_items(rows, what, _by_name(old.get(key)), _by_name(new.get(key)))
    _compare_items(rows, "host", _hosts(old), _hosts(new))
    _compare_items(rows, "route", _routes(old), _routes(new))
    return rows


def _item_count(value: Any) -> str:
    return "none" if value is None else f"{len(value)} of them"


def _by_name(items: Any) -> dict[str, Document]:
    return {str(item["name"]): item for item in items or ()}


def _hosts(document: Document) -> dict[str, Document]:
    return {h["host"].lower(): {k: v for k, v in h.items() if k not in ("host", "paths")}
            for h in document["hosts"]}


def _routes(document: Document) -> dict[str, Document]:
    """Routes by name, with their host as a field, so that a route moved to another host shows as changed."""
    return {r["name"]: {"host": h["host"].lower(), **r} for h in document["hosts"] for r in h["paths"]}


def _compare_items(rows: list[Row], what: str, old: dict[str, Document], new: dict[str, Document]) -> None:
    for name in [*old, *(name for name in new if name not in old)]:
        if name not in new or name not in old:
            rows.append({"what": what, "name": name, "field": "", "old": "there" if name in old else "",
                         "new": "there" if name in new else ""})
        else:
            _compare(rows, what, name, old[name], new[name])


def _compare(rows: list[Row], what: str, name: str, old: Document, new: Document) -> None:
    for field in [*old, *(field for field in new if field not in old)]:
        before, after = old.get(field), new.get(field)
        if digest({"": before}) == digest({"": after}):
            continue
        if field in SECRET_FIELDS:
            removed, added = (set(a or ()) - set(b or ()) for a, b in ((before, after), (after, before)))
            if not removed and not added:
                continue
            before, after = f"{len(before or ())}, {len(removed)} go", f"{len(after or ())}, {len(added)} new"
        rows.append({"what": what, "name": name, "field": field, "old": before, "new": after})


def replace(address: str, file: Path, *, base: int, json: bool = False) -> int:
    """Replace the configuration; the call is retried until there is a clear answer.

    0: in force, stored by a majority of disks; 1: refused, or no clear answer (the same call may then be
    repeated); 2: the file can't be used and nothing was sent.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param file: The whole configuration (JSON).
    :param base: The version that it builds on; 0 for the first.
    :param json: Print one JSON line for programs.
    """
    document = read_document(file)
    try:
        schema.check(document, base)
    except InvalidError as error:
        raise config_error(file, error) from error
    return _send_change(address, calls.REPLACE, file, base, document, json)


def amend(address: str, file: Path, *, base: int, json: bool = False) -> int:
    """Change items of the configuration by name; the call is retried until there is a clear answer.

    0: in force, stored by a majority of disks; 1: refused, or no clear answer (the same call may then be
    repeated); 2: the file can't be used and nothing was sent.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param file: The change (JSON): version, upsert, remove.
    :param base: The version that it builds on.
    :param json: Print one JSON line for programs.
    """
    document = read_document(file)
    try:
        amendments.amend({"version": base, "services": [], "hosts": []}, document)
        if document["version"] <= base:
            raise InvalidError([format_problem("version", document["version"], f"above {base}")])
    except InvalidError as error:
        raise config_error(file, error) from error
    return _send_change(address, calls.AMEND, file, base, document, json)


def _send_change(address: str, path: str, file: Path, base: int, document: Document, json: bool) -> int:
    if base < 0:
        raise UnusableError(f"--base: {base}: must be 0 or more")
    try:
        # The file's bytes are sent as they are, so that reading it back returns what the operator wrote.
        answer = Caller(parse_addresses(address)).call("POST", path, file.read_bytes(),
                                                       {calls.BASE_VERSION_HEADER: str(base)})
    except NoAnswerError as error:
        if json:
            print_json({"outcome": "unknown", "version": document["version"], "base": base,
                        "why": str(error)})
        print_error(f"no clear answer, version {document['version']} may be in force or not: "
                    f"give the same call again: {error}")
        return EXIT_FAILED
    taken = answer.status < 300
    if json:
        print_json({"outcome": "taken" if taken else "refused", "status": answer.status, "by": answer.address,
                    "version": document["version"], "base": base,
                    "problems": [] if taken else answer.problems()})
    elif taken:
        print(f"version {document['version']} is in force, taken by {answer.address}")
    if answer.status == 412:
        print_error(f"--base: {base}: another version is in force: read it, and build on it")
    elif not taken:
        print_error("\n".join(f"{answer.address}: {text}" for text in answer.problems()))
    return EXIT_OK if taken else EXIT_FAILED


def read(address: str, *, json: bool = False) -> int:
    """Read the newest configuration that is stored by a majority of disks.

    0: printed; 1: no limiter returned one.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param json: Print the whole document as it was sent, including tenants' keys; otherwise a summary
        without them.
    """
    document = _read(parse_addresses(address))
    if json:
        print_json(document)
        return EXIT_OK
    try:
        checked = schema.check(document, -1)
    except InvalidError as error:
        raise NoAnswerError(f"{address}: the answer is not a configuration: {error}") from error
    print(f"version {checked.version}, digest {digest(document)}")
    print_table([{"service": s.name, "probe": s.probe, "saturation": s.saturation,
                  "routes": sum(s.name in schema.targets(r) for h in checked.hosts for r in h.paths)}
                 for s in checked.services], ("service", "probe", "saturation", "routes"))
    print_table([{"tenant": t.name, "keys": len(t.keys), "precedence": t.precedence, "ratePerS": t.rate_per_s,
                  "burst": t.burst} for t in checked.tenants or ()],
                ("tenant", "keys", "precedence", "ratePerS", "burst"))
    print_table([{"route": r.name, "host": h.host, "prefix": r.prefix, "type": r.route_type,
                  "to": ", ".join(schema.targets(r)), "tries": r.tries, "timeoutMs": r.timeout_ms}
                 for h in checked.hosts for r in h.paths],
                ("route", "host", "prefix", "type", "to", "tries", "timeoutMs"))
    return EXIT_OK


def _read(control_addresses: list[str]) -> Document:
    answer = Caller(control_addresses).call("GET", calls.READ)
    if answer.status >= 300:
        raise NoAnswerError(f"{answer.address}: {answer.problems()[0]}")
    return answer.document()
