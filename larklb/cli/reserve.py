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
    """Parse ``2026-12-01T06:00:00Z``, ``now`` or ``+90`` (seconds from now) to Unix milliseconds."""
    import time
    from datetime import datetime
    try:
        if text == "now" or text.startswith("+"):
            return (time.time() + float(text[1:] if text != "now" else 0)) * 1000.0
        instant = datetime.fromisoformat(text)
    except ValueError as error:
        raise exit_error(f"{text!r} is no instant: 2026-12-01T06:00:00Z, now, or +SECONDS") from error
    if instant.tzinfo is None:
        raise exit_error(f"{text!r} has no time zone: end it with Z or an offset")
    return instant.timestamp() * 1000.0


def _by_number(operator: Path, loaded: Operator) -> dict[int, InstanceEntry]:
    """The instances by the number that their settings give them."""
    return {load_instance_config(operator, e).settings.number: e for e in loaded.instance}


def _ask_owner(operator: Path, entry: InstanceEntry, do: str, **more: Any) -> dict[str, Any]:
    """Ask the customer's owner; exits with 1 if it is silent and with 3 if it refuses."""
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
    """Reserve units: the customer's owner decides; 3 and its reason if it refuses.

    The other limiters of the customer's set get copies, to be used while the owner cannot be reached.
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
        row = _ask_owner(operator, entries[owner], "reserve.add", wanted=wanted)
        copies = [n for n in numbers if n != owner and n in entries]
        row["copies"] = sum("error" not in a and "silent" not in a for a in _send_copies(
            operator, [entries[n] for n in copies], wanted))
    print_rows([row], COLUMNS, as_json)
    if row["copies"] < len(copies):
        print(f"{len(copies) - row['copies']} of its limiters have no copy: they draw nothing on it while "
              "they cannot ask")


def _send_copies(operator: Path, entries: list[InstanceEntry],
                 wanted: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Send a copy of a reservation to each instance; yields each answer, or `error` with the reason."""
    from larklb.admin import AdminError, ask
    for entry in entries:
        try:
            yield ask(operator.parent / entry.admin, "reserve.add", wanted=wanted, copy=True)
        except AdminError as error:
            yield {"error": str(error)}


def _all(operator: Path, name: str = "") -> tuple[list[dict[str, Any]], list[str]]:
    """Return each reservation, from its owner or else from a copy, and a line for each silent instance."""
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
    """List the reservations of all limiters; 1 if an instance does not answer."""
    with exit_on_config_error():
        rows, silent = _all(operator)
    print_rows(rows, COLUMNS, as_json)
    for line in silent:
        print(f"larklb: {line}")
    raise typer.Exit(EXIT_FAILED if silent else 0)


@reserve.command("show")
def show_one(operator: OperatorFile, name: Name, as_json: AsJson = False) -> None:
    """Show one reservation and the units drawn on it; 3 if it does not exist."""
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
    """Cancel a reservation; units already drawn on it stay drawn."""
    from larklb.settings import load_operator
    with exit_on_config_error():
        rows, _ = _all(operator, name)
        loaded = load_operator(operator)
        owner = next((r for r in rows if r["owner"]), None)
        if owner is None:
            raise exit_error(f"there is no reservation {name!r} at an owner that answers", EXIT_REFUSED)
        row = _ask_owner(operator, loaded.instance_entry(owner["limiter"]), "reserve.cancel", id=name)
        for entry, _ in ask_instances(operator, loaded, lambda e: {"do": "reserve.cancel", "id": name}):
            # The loop only drives the calls: copies are cancelled too, where there are any.
            del entry
    print_rows([row], COLUMNS, as_json)
