"""Commands on what limiters say of themselves: who is there, servers, versions, quotas, the core, counts."""

from __future__ import annotations

import sys

from larklb.cli.system_calls import (
    EXIT_FAILED,
    EXIT_OK,
    Caller,
    Fleet,
    Row,
    UnusableError,
    fetch,
    fetch_all,
    parse_addresses,
    print_error,
    print_json,
    print_table,
)
from larklb.schema import calls


def _show(rows: list[Row], columns: tuple[str, ...], json: bool) -> None:
    if json:
        for row in rows:
            print_json(row)
    else:
        print_table(rows, columns)


def _report_silent(fleet: Fleet) -> bool:
    for node, why in fleet.silent.items():
        print_error(f"{node}: {why}")
    return bool(fleet.silent)


def members(address: str, *, json: bool = False) -> int:
    """Show the limiters that one of them knows.

    0: all are up; 1: one is down or leaving, or nobody answers.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param json: A JSON line for each limiter.
    """
    found = fetch(Caller(parse_addresses(address)), calls.MEMBERS, "members", "node")
    rows = [{**row, "core": bool(row["disk"]), "asked": row["node"] == found["node"]}
            for row in found["members"]]
    _show(rows, ("node", "state", "zone", "control", "number", "core", "life", "asked"), json)
    return EXIT_FAILED if any(row["state"] != "up" for row in rows) or not rows else EXIT_OK


def servers(address: str, *, service: str = "", json: bool = False) -> int:
    """Show the servers that a limiter knows, and how it sees them.

    0: all are steady and heard of; 1: one is draining, gone or silent, or nobody answers.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param service: Only the servers of this service.
    :param json: A JSON line for each server.
    """
    query = {"service": service} if service else {}
    found = fetch(Caller(parse_addresses(address)), calls.SERVERS, "servers", "id", **query)
    rows = found["servers"]
    _show(rows, ("id", "service", "state", "silent", "address", "zone", "slots", "software", "inHand",
                 "failures", "restsMs"), json)
    return (EXIT_FAILED if any(row["silent"] or row["state"] != "steady" for row in rows) or not rows
            else EXIT_OK)


def versions(address: str, *, json: bool = False) -> int:
    """Ask every limiter which configuration is in force there.

    0: the same everywhere; 1: versions differ, or a limiter is silent: both are named.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param json: A JSON line for each limiter.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.COUNTS)
    rows: list[Row] = []
    for member in fleet.members:
        told = fleet.answers.get(member["node"])
        rows.append({"node": member["node"], "state": member["state"], "zone": member["zone"],
                     "version": told["version"] if told else None, "digest": told["digest"] if told else "",
                     "ready": told["ready"] if told else None, "upMs": told["upMs"] if told else None})
    _show(rows, ("node", "state", "zone", "version", "digest", "ready", "upMs"), json)
    off = _report_silent(fleet)
    held: dict[int, list[str]] = {}
    for row in rows:
        if row["version"] is not None:
            held.setdefault(row["version"], []).append(row["node"])
    newest = max(held, default=0)
    for version in sorted(held):
        if version != newest:
            print_error(f"version {version}, not {newest}: {', '.join(held[version])}")
    # A limiter that doesn't know its digest, as its home is another by now, is no proof against it.
    digests = {row["digest"] for row in rows if row["version"] == newest and row["digest"]}
    if len(digests) > 1:
        print_error(f"version {newest} is not the same everywhere: {', '.join(sorted(digests))}")
    return EXIT_FAILED if off or len(held) != 1 or len(digests) > 1 else EXIT_OK


def quota(address: str, tenant: str, *, json: bool = False) -> int:
    """Ask every limiter what it has of a tenant's quota now: the bucket, or a slice.

    0: all answered; 1: a limiter is silent.  No row: nothing was asked for lately, or there is no limit.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param tenant: The tenant's name.
    :param json: A JSON line for each bucket and slice.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.QUOTAS, key="quotas", by="tenant",
                      tenant=tenant)
    numbers = {member["number"]: member["node"] for member in fleet.members}
    rows = [{"node": node, **row, "owner": node if row["role"] == "owner" else numbers.get(row["owner"], "")}
            for node, told in fleet.answers.items() for row in told["quotas"]]
    _show(rows, ("node", "role", "tokens", "rate", "burst", "owner", "askers", "apart", "untold"), json)
    return EXIT_FAILED if _report_silent(fleet) else EXIT_OK


def leading(rows: list[Row]) -> list[Row]:
    """Of the core machines' parts, those that lead in the newest term: an old leader that is cut off still
    thinks that it leads."""
    newest = max((row["term"] for row in rows), default=0)
    return [row for row in rows if row["leads"] and row["term"] == newest]


def core(address: str, *, json: bool = False) -> int:
    """Ask every core machine for its part in holding the configuration: leader, term, voters, log, disk.

    0: one leads, has settled, and all voters answer; 1: not so, or one is silent.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param json: A JSON line for each core machine.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.CORE, lambda row: bool(row["disk"]))
    rows: list[Row] = []
    for node, told in fleet.answers.items():
        if (part := told["core"]) is not None:
            rows.append({"node": node, **part})
    leaders = leading(rows)
    voters: dict[str, str] = max(rows, key=lambda r: (r["term"], r["last"]), default={"voters": {}})["voters"]
    for row in rows:
        row["part"] = ("leader" if row in leaders else "voter" if row["disk"] in voters else "newcomer")
    shown = rows if json else [
        {**row, "voters": ",".join(sorted(row["voters"].values())),
         "leader": row["voters"].get(row["leader"], "")} for row in rows]
    _show(shown, ("node", "part", "leader", "term", "voters", "version", "last", "commit", "disk", "saving",
                  "serves", "folder"), json)
    off = _report_silent(fleet)
    if len(leaders) != 1 or not leaders[0]["settled"]:
        print_error("nobody leads: no change is taken until a majority of the voters hears each other")
        off = True
    for disk in sorted(voters.keys() - {row["disk"] for row in rows}):
        print_error(f"{voters[disk]}: its disk {disk} is a voter, and does not answer")
        off = True
    return EXIT_FAILED if off else EXIT_OK


def counts(address: str, *, all: bool = False, json: bool = False) -> int:  # noqa: A002
    """Show what a limiter has counted since its start, what it said to others, and its connections now.

    0: here it is; 1: a limiter is silent.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    :param all: Ask every limiter, one column each.
    :param json: A JSON line for each limiter.
    """
    if all:
        fleet = fetch_all(Caller(parse_addresses(address)), calls.COUNTS)
        told = list(fleet.answers.values())
    else:
        fleet = None
        told = [fetch(Caller(parse_addresses(address)), calls.COUNTS)]
    if json:
        for document in told:
            print_json(document)
    else:
        flat = {d["node"]: {f"{part}.{name}": value for part in ("open", "words", "counts")
                            for name, value in sorted(d[part].items())} for d in told}
        names = {name: None for one in flat.values() for name in one}
        print_table([{"what": name, **{node: one.get(name, 0) for node, one in flat.items()}}
                     for name in names],
                    ("what", *flat))
    return EXIT_FAILED if fleet is not None and _report_silent(fleet) else EXIT_OK


def metrics(address: str) -> int:
    """Print what all limiters say of themselves in the Prometheus text format, for a collector of text files.

    0: all answered; 1: a limiter is silent, its larklb_up is 0.  Needs the library prometheus-client.

    :param address: A limiter's control address, host:port; several with commas are tried in order.
    """
    try:
        from larklb.cli import system_metrics
    except ImportError as error:
        raise UnusableError(f"metrics needs a library, install larklb[metrics]: {error}") from error
    fleet, text = system_metrics.told(Caller(parse_addresses(address)))
    sys.stdout.write(text)
    return EXIT_FAILED if _report_silent(fleet) else EXIT_OK
