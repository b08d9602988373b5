"""Commands on reservations: add, list, show, cancel."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from larklb.cli.common import (
    EXIT_FAILED,
    EXIT_REFUSED,
    EXIT_UNUSABLE,
    AsJson,
    OperatorFile,
    ask_instances,
    command_group,
    exit_error,
    exit_on_config_error,
    load_instance_config,
    print_rows,
)

if TYPE_CHECKING:
    from larklb.settings import InstanceEntry, Operator

reserve = command_group("reserve", "Units set aside ahead for a customer and a window of time.")
COLUMNS = ("id", "state", "customer", "plan", "units", "left", "begin", "end", "limiter")
Name = Annotated[str, typer.Argument(help="The reservation's id: the same id is the same reservation.")]


def _instant(text: str) -> float:
    """Unix milliseconds of ``2026-12-01T06:00:00Z``, ``now`` or ``+90`` (seconds from now)."""
    import time
    from datetime import datetime
    try:
        if text == "now" or text.startswith("+"):
            return (time.time() + float(text[1:] if text != "now" else 0)) * 1000.0
        at = datetime.fromisoformat(text)
    except ValueError as error:
        raise exit_error(f"{text!r} is no instant: 2026-12-01T06:00:00Z, now, or +SECONDS") from error
    if at.tzinfo is None:
        raise exit_error(f"{text!r} has no time zone: end it with Z or an offset")
    return at.timestamp() * 1000.0


def _by_number(operator: Path, loaded: Operator) -> dict[int, InstanceEntry]:
    return {load_instance_config(operator, e).settings.number: e for e in loaded.instance}


def _one(operator: Path, entry: InstanceEntry, do: str, **more: Any) -> dict[str, Any]:
    from larklb.admin import AdminError, UnreachableError, ask
    try:
        return ask(operator.parent / entry.admin, do, **more)
    except UnreachableError as error:
        raise exit_error(f"{entry.name}, which owns this customer, does not answer: {error}",
                         EXIT_FAILED) from error
    except AdminError as error:
        raise exit_error(f"{entry.name}: {error}", EXIT_REFUSED) from error


@reserve.command()
def add(operator: OperatorFile, name: Name, customer: Annotated[str, typer.Option(help="16 hex digits.")],
        plan: Annotated[str, typer.Option(help="The plan that its requests name.")],
        units: Annotated[float, typer.Option(help="Units set aside.")],
        begin: Annotated[str, typer.Option("--from", help="Instant, now, or +SECONDS.")],
        end: Annotated[str, typer.Option("--until", help="Instant, or +SECONDS.")],
        limiters: Annotated[str, typer.Option("--set", help="The customer's limiters: spread=3,first=1")],
        as_json: AsJson = False) -> None:
    """Reserve units: the customer's owner decides; 3 and its reason if it turns them down.

    The other limiters of the customer's set get copies, for the time when the owner cannot be asked.
    """
    from larklb.fields import MalformedError, parse_account, parse_quota_info
    from larklb.quota.ring import digest, members, ring_owner
    from larklb.settings import load_operator
    with exit_on_config_error():
        loaded = load_operator(operator)
        config = load_instance_config(operator, loaded.instance[0])
        try:
            _, spread, first = parse_quota_info(limiters, config.settings)
            customer = parse_account(customer)
        except MalformedError as error:
            raise exit_error(error, EXIT_UNUSABLE) from error
        entries = _by_number(operator, loaded)
        numbers = members(first, spread, config.settings.gateways)
        owner = ring_owner(digest(customer), numbers)
        if owner not in entries:
            raise exit_error(f"the operator's file has no limiter {owner}, which owns this customer")
        wanted = {"name": name, "customer": customer, "plan": plan, "units": units, "begin": _instant(begin),
                  "end": _instant(end), "first": first, "spread": spread}
        row = _one(operator, entries[owner], "reserve.add", wanted=wanted)
        copies = [n for n in numbers if n != owner and n in entries]
        row["copies"] = sum("error" not in a and "silent" not in a for a in _copied(
            operator, [entries[n] for n in copies], wanted))
    print_rows([row], COLUMNS, as_json)
    if row["copies"] < len(copies):
        print(f"{len(copies) - row['copies']} of its limiters have no copy: they draw nothing on it while "
              "they cannot ask")


def _copied(operator: Path, entries: list[InstanceEntry], wanted: dict[str, Any]) -> Iterator[dict[str, Any]]:
    from larklb.admin import AdminError, ask
    for entry in entries:
        try:
            yield ask(operator.parent / entry.admin, "reserve.add", wanted=wanted, copy=True)
        except AdminError as error:
            yield {"error": str(error)}


def _all(operator: Path, name: str = "") -> tuple[list[dict[str, Any]], list[str]]:
    """Each reservation as its owner tells it, else as a copy does; and which instances are silent."""
    from larklb.settings import load_operator
    rows: dict[str, dict[str, Any]] = {}
    silent = []
    question = {"do": "reserve.list", "id": name}
    for entry, answer in ask_instances(operator, load_operator(operator), lambda e: dict(question)):
        if "reservations" not in answer:
            silent.append(f"{entry.name}: {answer.get('silent') or answer.get('error')}")
        for row in answer.get("reservations", ()):
            if row["owner"] or row["id"] not in rows:
                rows[row["id"]] = row
    for row in rows.values():
        if not row["owner"]:
            row["limiter"] += " (copy)"
    return [rows[k] for k in sorted(rows)], silent


@reserve.command("list")
def list_all(operator: OperatorFile, as_json: AsJson = False) -> None:
    """All reservations of all limiters; 1 if an instance does not answer."""
    with exit_on_config_error():
        rows, silent = _all(operator)
    print_rows(rows, COLUMNS, as_json)
    for line in silent:
        print(f"larklb: {line}")
    raise typer.Exit(EXIT_FAILED if silent else 0)


@reserve.command("show")
def show_one(operator: OperatorFile, name: Name, as_json: AsJson = False) -> None:
    """One reservation, and what was drawn on it; 3 if there is none."""
    with exit_on_config_error():
        rows, _ = _all(operator, name)
    if not rows:
        raise exit_error(f"there is no reservation {name!r}", EXIT_REFUSED)
    if as_json:
        print_rows(rows, COLUMNS, True)
    else:
        for key, value in rows[0].items():
            print(f"{key:9} {value}")


@reserve.command()
def cancel(operator: OperatorFile, name: Name, as_json: AsJson = False) -> None:
    """Take a reservation back; what was drawn on it stays drawn."""
    from larklb.settings import load_operator
    with exit_on_config_error():
        rows, _ = _all(operator, name)
        loaded = load_operator(operator)
        owner = next((r for r in rows if r["owner"]), None)
        if owner is None:
            raise exit_error(f"there is no reservation {name!r} at an owner that answers", EXIT_REFUSED)
        row = _one(operator, loaded.instance_entry(owner["limiter"]), "reserve.cancel", id=name)
        for entry, _ in ask_instances(operator, loaded, lambda e: {"do": "reserve.cancel", "id": name}):
            del entry                       # copies go too, as far as there are any
    print_rows([row], COLUMNS, as_json)
