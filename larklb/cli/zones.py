"""Commands on zones: their state at running instances, a rehearsal of leaving one, and operator overrides."""

from __future__ import annotations

import re
from typing import Annotated, Any

import typer

from larklb.cli.common import (
    EXIT_FAILED,
    AsJson,
    OperatorFile,
    exit_error,
    exit_on_config_error,
    gather_rows,
    print_rows,
)
from larklb.cli.fleet import fleet

UNITS = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0}
MAX_OVERRIDE_S = 86400.0

zones = typer.Typer(no_args_is_help=True, add_completion=False,
                    help="Zones that the fleet has left, and its return to them.")
fleet.add_typer(zones, name="zones")
ZoneName = Annotated[str, typer.Argument(help="The zone, as the machine list names it.")]
For = Annotated[str, typer.Option("--for", help="How long it holds: 90s, 15m, 2h; 24h at the most.")]
Why = Annotated[str, typer.Option(help="The reason, for the log and for whoever looks.")]


def parse_duration(text: str) -> float:
    """Parse a duration such as ``90``, ``90s``, ``15m`` or ``2h`` to seconds.

    Raises ValueError if it is malformed, zero, or longer than MAX_OVERRIDE_S."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", text)
    value = float(match[1]) * UNITS[match[2]] if match else 0.0
    if not 0.0 < value <= MAX_OVERRIDE_S:
        raise ValueError(f"{text!r} is no time within a day: 90s, 15m, 2h")
    return value


def find_disagreements(rows: list[dict[str, Any]]) -> list[str]:
    """Describe the zones on whose state instances disagree, a line each."""
    states: dict[str, dict[str, list[str]]] = {}
    for r in rows:
        kind = "away" if r["state"] == "away" else "in use"
        states.setdefault(r["zone"], {}).setdefault(kind, []).append(r["name"])
    return [f"zone {zone}: away at {' '.join(by['away'])}, in use at {' '.join(by['in use'])}"
            for zone, by in sorted(states.items()) if len(by) > 1]


@zones.command("show")
def show_zones(operator: OperatorFile, as_json: AsJson = False) -> None:
    """Show each zone's state at each running instance: part in use, evidence by observer, disagreements."""
    _print_zones(operator, {"do": "fleet.zones"}, as_json)


def _print_zones(operator: OperatorFile, question: dict[str, Any], as_json: bool) -> None:
    """Ask all instances and print the zones in their answers; exits with 1 if they disagree or are silent."""
    from larklb.settings import load_operator
    with exit_on_config_error():
        rows, silent = gather_rows(operator, load_operator(operator), question, "zones")
    rows.sort(key=lambda r: (r["zone"], r["name"]))
    if as_json:
        print_rows(rows, (), True)
    else:
        named = [{**r, **{kind: "; ".join(f"n{o} ({ms} ms ago)" for o, ms in r[kind].items())
                          for kind in ("lost", "well")}} for r in rows]
        print_rows(named, ("zone", "name", "state", "part", "nodes", "left", "own", "verdict", "lost", "well",
                           "override"), False)
    differences = find_disagreements(rows)
    for line in silent + differences:
        print(line)
    raise typer.Exit(EXIT_FAILED if silent or differences else 0)


@zones.command()
def rehearse(operator: OperatorFile,
             without: Annotated[str, typer.Option(help="The zone that would be left.")],
             as_json: AsJson = False) -> None:
    """Show whether the other zones could carry the load, by class and plan, from the next second's traffic.

    Nothing is changed; 1 if some of the load would not be served."""
    from larklb.settings import load_operator
    with exit_on_config_error():
        loaded = load_operator(operator)
        rows, silent = gather_rows(operator, loaded, {"do": "zones.rehearse", "without": without}, "rows",
                                   lambda answer: {k: answer[k] for k in ("room", "rest")})
    print_rows(rows, ("name", "room", "rest", "class", "plan", "jobs", "served"), as_json)
    for line in silent:
        print(line)
    raise typer.Exit(EXIT_FAILED if silent or any(r["served"] < 1.0 for r in rows) else 0)


def _override(operator: OperatorFile, zone: str, text: str, why: str, away: bool, as_json: bool) -> None:
    try:
        for_s = parse_duration(text) if text else 0.0
    except ValueError as error:
        raise exit_error(error) from error
    if for_s and not why.strip():
        raise exit_error("--why is needed: whoever looks later wants to know")
    _print_zones(operator, {"do": "zones.override", "zone": zone, "away": away, "for_s": for_s, "why": why},
                 as_json)


@zones.command()
def leave(operator: OperatorFile, zone: ZoneName, for_: For, why: Why, as_json: AsJson = False) -> None:
    """Take a zone out of use at every instance for the given time, regardless of their own findings."""
    _override(operator, zone, for_, why, True, as_json)


@zones.command("return")
def come_back(operator: OperatorFile, zone: ZoneName, for_: For, why: Why, as_json: AsJson = False) -> None:
    """Use a zone at every instance for the given time, regardless of their findings; it returns stepwise."""
    _override(operator, zone, for_, why, False, as_json)


@zones.command()
def auto(operator: OperatorFile, zone: ZoneName, as_json: AsJson = False) -> None:
    """Remove an operator's override: the findings of the instances apply again."""
    _override(operator, zone, "", "", False, as_json)
