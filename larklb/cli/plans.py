"""Commands on plan versions: check, show, diff, apply."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from larklb.cli.common import (
    EXIT_FAILED,
    EXIT_REFUSED,
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
    from larklb.quota.catalogue import Catalogue

plans = command_group("plans", "Plan versions: check, show and compare them, and apply them in service.")
NewFile = Annotated[Path, typer.Argument(help="A catalogue of plan versions (TOML).")]


def _read(file: Path, operator: Path) -> Catalogue:
    """Read a catalogue and check it against the plans of the first instance's settings."""
    from larklb.operator_services import read_catalogue
    from larklb.settings import load_operator
    entry = load_operator(operator).instance[0]
    return read_catalogue(file, load_instance_config(operator, entry).settings.plans)


def _plans_file(operator: Path) -> Path:
    """The catalogue that the operator's file names. Raises ConfigError if it names none."""
    from larklb.settings import ConfigError, load_operator
    entry = load_operator(operator).plans
    if entry is None:
        raise ConfigError(f"{operator}: it names no file of plans")
    return operator.parent / entry.file


@plans.command()
def check(file: NewFile, operator: OperatorFile) -> None:
    """Check a catalogue against the plans of the settings; no instance needs to run."""
    with exit_on_config_error():
        found = _read(file, operator)
    print(f"{file}: usable, {len(found.versions) - 1} versions, the newest is {found.newest.number}")


@plans.command("show")
def show_versions(operator: OperatorFile, as_json: AsJson = False, live: Annotated[bool, typer.Option(
        help="Ask the running instances instead of reading the file.")] = False) -> None:
    """Show the plan versions of the operator's file, or the version that each running instance applies."""
    import time

    from larklb.operator_services import version_row
    from larklb.settings import load_operator
    with exit_on_config_error():
        if live:
            rows, silent = [], False
            for entry, answer in ask_instances(operator, load_operator(operator),
                                               lambda e: {"do": "plans.show"}):
                silent |= "silent" in answer or "error" in answer
                rows.append({"name": entry.name, "counts": answer.get("counts", "-"),
                             "newest": answer.get("newest", "-"), "heard": answer.get("heard") or "-",
                             "note": answer.get("silent") or answer.get("error") or ""})
            print_rows(rows, ("name", "counts", "newest", "heard", "note"), as_json)
            raise typer.Exit(EXIT_FAILED if silent or len({r["newest"] for r in rows}) > 1 else 0)
        found = _read(_plans_file(operator), operator)
    now = found.index_at(time.time() * 1000.0)
    rows = []
    for i, version in enumerate(found.versions):
        row = version_row(version)
        row["state"] = "counts" if i == now else "over" if i < now else "to come"
        rows.append(row)
    print_rows(rows, ("number", "from", "state", "says", "note"), as_json)


@plans.command()
def diff(file: NewFile, operator: OperatorFile) -> None:
    """Compare a catalogue with the operator's file; 1 if they differ."""
    from larklb.quota.catalogue import differences
    with exit_on_config_error():
        lines = differences(_read(_plans_file(operator), operator), _read(file, operator))
    for line in lines:
        print(line)
    raise typer.Exit(EXIT_FAILED if lines else 0)


@plans.command()
def apply(file: NewFile, operator: OperatorFile, as_json: AsJson = False) -> None:
    """Put a catalogue into service after every running instance has checked it; 3: refused, nothing changed.

    It replaces the catalogue that the operator's file names, so that instances that start later read it too,
    and each running instance loads it.  1: an instance is silent and will read it when it starts.
    """
    import time

    from larklb.quota.catalogue import CatalogueError, successor
    from larklb.settings import load_operator
    from larklb.state.folder import write_file_atomically
    with exit_on_config_error():
        loaded, target = load_operator(operator), _plans_file(operator)
        new = _read(file, operator)
        if target.exists():
            try:
                successor(_read(target, operator), new, time.time() * 1000.0)
            except CatalogueError as error:
                raise exit_error(f"{file}: {error}", EXIT_REFUSED) from error
        text = file.read_text()
        refused = [f"{entry.name}: {answer['error']}" for entry, answer in ask_instances(
            operator, loaded, lambda e: {"do": "plans.check", "text": text}) if "error" in answer]
        if refused:
            for line in refused:
                print(f"larklb: {line}", file=sys.stderr)
            raise exit_error("nothing was changed", EXIT_REFUSED)
        write_file_atomically(target, text.encode(), mode=0o644)
        rows = []
        for entry, answer in ask_instances(operator, loaded, lambda e: {"do": "plans.apply", "text": text}):
            why = answer.get("silent") or answer.get("error") or ""
            rows.append({"name": entry.name, "newest": answer.get("newest", "-"),
                         "counts": answer.get("counts", "-"),
                         "note": f"will read it when it starts: {why}" if why else "taken"})
    print_rows(rows, ("name", "newest", "counts", "note"), as_json)
    raise typer.Exit(EXIT_FAILED if any(r["note"] != "taken" for r in rows) else 0)
