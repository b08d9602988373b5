"""Commands that query running limiters: members, servers, versions, quotas, the core and counters."""

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
    """Print each limiter that did not answer; returns whether there were any."""
    for node, why in fleet.silent.items():
        print_error(f"{node}: {why}")
    return bool(fleet.silent)


def members(address: str, *, json: bool = False) -> int:
    """Show the members of the fleet as one limiter sees them.

    0: all are up; 1: a member is down or leaving, or no limiter answers.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param json: Print a JSON line for each limiter.
    """
    answer = fetch(Caller(parse_addresses(address)), calls.MEMBERS, "members", "node")
    rows = [{**row, "core": bool(row["disk"]), "asked": row["node"] == answer["node"]}
            for row in answer["members"]]
    _show(rows, ("node", "state", "zone", "control", "number", "core", "life", "asked"), json)
    return EXIT_FAILED if any(row["state"] != "up" for row in rows) or not rows else EXIT_OK


def servers(address: str, *, service: str = "", json: bool = False) -> int:
    """Show the servers and their states as one limiter sees them.

    0: all are steady and send heartbeats; 1: one is draining, gone or silent, or no limiter answers.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param service: Show only the servers of this service.
    :param json: Print a JSON line for each server.
    """
    query = {"service": service} if service else {}
    answer = fetch(Caller(parse_addresses(address)), calls.SERVERS, "servers", "id", **query)
    rows = answer["servers"]
    _show(rows, ("id", "service", "state", "silent", "address", "zone", "slots", "software", "inHand",
                 "failures", "restsMs"), json)
    return (EXIT_FAILED if any(row["silent"] or row["state"] != "steady" for row in rows) or not rows
            else EXIT_OK)


def versions(address: str, *, json: bool = False) -> int:
    """Show the configuration that is in force at every limiter.

    0: the same everywhere; 1: versions differ or a limiter is silent, each of which is named.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param json: Print a JSON line for each limiter.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.COUNTS)
    rows: list[Row] = []
    for member in fleet.members:
        answer = fleet.answers.get(member["node"])
        rows.append({"node": member["node"], "state": member["state"], "zone": member["zone"],
                     "version": answer["version"] if answer else None,
                     "digest": answer["digest"] if answer else "",
                     "ready": answer["ready"] if answer else None,
                     "upMs": answer["upMs"] if answer else None})
    _show(rows, ("node", "state", "zone", "version", "digest", "ready", "upMs"), json)
    failed = _report_silent(fleet)
    nodes_by_version: dict[int, list[str]] = {}
    for row in rows:
        if row["version"] is not None:
            nodes_by_version.setdefault(row["version"], []).append(row["node"])
    newest = max(nodes_by_version, default=0)
    for version in sorted(nodes_by_version):
        if version != newest:
            print_error(f"version {version}, not {newest}: {', '.join(nodes_by_version[version])}")
    # A limiter whose home has changed does not know the digest; an empty digest is not a difference.
    digests = {row["digest"] for row in rows if row["version"] == newest and row["digest"]}
    if len(digests) > 1:
        print_error(f"version {newest} is not the same everywhere: {', '.join(sorted(digests))}")
    return EXIT_FAILED if failed or len(nodes_by_version) != 1 or len(digests) > 1 else EXIT_OK


def quota(address: str, tenant: str, *, json: bool = False) -> int:
    """Show what every limiter holds of a tenant's quota: the bucket, or a slice of it.

    0: all answered; 1: a limiter is silent.  Without rows, the tenant has no recent requests or no limit.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param tenant: The tenant's name.
    :param json: Print a JSON line for each bucket and slice.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.QUOTAS, key="quotas", by="tenant",
                      tenant=tenant)
    numbers = {member["number"]: member["node"] for member in fleet.members}
    rows = [{"node": node, **row, "owner": node if row["role"] == "owner" else numbers.get(row["owner"], "")}
            for node, answer in fleet.answers.items() for row in answer["quotas"]]
    _show(rows, ("node", "role", "tokens", "rate", "burst", "owner", "askers", "apart", "untold"), json)
    return EXIT_FAILED if _report_silent(fleet) else EXIT_OK


def leading(rows: list[Row]) -> list[Row]:
    """The rows of the core machines that lead in the newest term.

    A former leader that is partitioned off still considers itself leader, in an older term."""
    newest = max((row["term"] for row in rows), default=0)
    return [row for row in rows if row["leads"] and row["term"] == newest]


def core(address: str, *, json: bool = False) -> int:
    """Show the consensus state of every core machine: leader, term, voters, log, disk.

    0: there is one settled leader and all voters answer; 1: otherwise, or a core machine is silent.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param json: Print a JSON line for each core machine.
    """
    fleet = fetch_all(Caller(parse_addresses(address)), calls.CORE, lambda row: bool(row["disk"]))
    rows: list[Row] = []
    for node, answer in fleet.answers.items():
        if (part := answer["core"]) is not None:
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
    failed = _report_silent(fleet)
    if len(leaders) != 1 or not leaders[0]["settled"]:
        print_error("nobody leads: no change is taken until a majority of the voters hears each other")
        failed = True
    for disk in sorted(voters.keys() - {row["disk"] for row in rows}):
        print_error(f"{voters[disk]}: its disk {disk} is a voter, and does not answer")
        failed = True
    return EXIT_FAILED if failed else EXIT_OK


def counts(address: str, *, all: bool = False, json: bool = False) -> int:  # noqa: A002
    """Show a limiter's counters since its start, its message traffic, and its open connections.

    0: printed; 1: a limiter is silent.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    :param all: Query every limiter and show a column for each.
    :param json: Print a JSON line for each limiter.
    """
    if all:
        fleet = fetch_all(Caller(parse_addresses(address)), calls.COUNTS)
        documents = list(fleet.answers.values())
    else:
        fleet = None
        documents = [fetch(Caller(parse_addresses(address)), calls.COUNTS)]
    if json:
        for document in documents:
            print_json(document)
    else:
        flat = {document["node"]: {f"{part}.{name}": value for part in ("open", "words", "counts")
                                   for name, value in sorted(document[part].items())}
                for document in documents}
        names = {name: None for counters in flat.values() for name in counters}
        print_table([{"what": name, **{node: counters.get(name, 0) for node, counters in flat.items()}}
                     for name in names],
                    ("what", *flat))
    return EXIT_FAILED if fleet is not None and _report_silent(fleet) else EXIT_OK


def metrics(address: str) -> int:
    """Print the metrics of all limiters in the Prometheus text format, for a textfile collector.

    0: all answered; 1: a limiter is silent, its larklb_up is 0.  Requires the library prometheus-client.

    :param address: Control address of a limiter, host:port; comma-separated ones are tried in order.
    """
    try:
        from larklb.cli import system_metrics
    except ImportError as error:
        raise UnusableError(f"metrics needs a library, install larklb[metrics]: {error}") from error
    fleet, text = system_metrics.told(Caller(parse_addresses(address)))
    sys.stdout.write(text)
    return EXIT_FAILED if _report_silent(fleet) else EXIT_OK
