"""Commands on counted use: show, export, verify."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

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
    print_rows,
)

if TYPE_CHECKING:
    from larklb.settings import InstanceEntry, Operator

usage = command_group("usage", "Use as it was counted, sealed and acknowledged.")


def use_folder(operator: Path, loaded: Operator, entry: InstanceEntry) -> Path:
    """The folder of an instance's usage ledger. Raises ConfigError if the operator's file has no ledger."""
    from larklb.settings import ConfigError
    if loaded.state is None or loaded.ledger is None:
        raise ConfigError(f"{operator}: it has no ledger")
    return operator.parent / loaded.state.folder / entry.name / "use"


@usage.command("show")
def show_use(operator: OperatorFile, as_json: AsJson = False, rows: Annotated[bool, typer.Option(
        "--rows", help="Also what is counted and not yet sealed, row by row.")] = False,
        in_doubt: Annotated[bool, typer.Option("--in-doubt", help="Also tries in flight at a kill.")] = False,
        ) -> None:
    """Show the use that each instance has counted, read from its files; it need not run."""
    from larklb.export.audit import read
    from larklb.operator_services import usage_report
    from larklb.settings import load_operator
    from larklb.state.log import LogError
    with exit_on_config_error():
        loaded = load_operator(operator)
        found = []
        for entry in loaded.instance:
            try:
                found.append(usage_report(entry.name, read(use_folder(operator, loaded, entry))))
            except LogError as error:
                raise exit_error(error, EXIT_FAILED) from error
    if as_json:
        print_rows(found, (), True)
        return
    print_rows([{"name": f["name"], "counted": f["counted"]["units"], "tries": f["counted"]["tries"],
                 "sealed": f["sealed"]["units"], "acknowledged": f["acknowledged"]["units"],
                 "in flight": f["open"], "waiting": f["waiting"], "in doubt": f["in_doubt"]} for f in found],
               ("name", "counted", "tries", "sealed", "acknowledged", "in flight", "waiting", "in doubt"),
               False)
    if rows:
        print()
        print_rows([{"name": f["name"], **r} for f in found for r in f["rows"]],
                   ("name", "period", "account", "plan", "version", "class", "reservation", "units", "tries"),
                   False)
    if in_doubt:
        print()
        print_rows([{"name": f["name"], **d} for f in found for d in f["doubts"]],
                   ("name", "job", "account", "units", "incarnation"), False)


@usage.command()
def export(operator: OperatorFile, as_json: AsJson = False) -> None:
    """Seal the counted use and deliver it now, also for stopped instances; 1 if some of it is undelivered."""
    from larklb.settings import load_operator
    with exit_on_config_error():
        loaded = load_operator(operator)
        if loaded.export is None:
            raise exit_error(f"{operator}: it names no receiver for use")
        found: list[dict[str, Any]] = []
        for entry in loaded.instance:
            answer: dict[str, Any] = {"silent": "it has no admin address"}
            if entry.admin:
                one = type(loaded)(instance=[entry])
                answer = next(a for _, a in ask_instances(operator, one, lambda e: {"do": "usage.export"}))
            if "silent" in answer:
                answer = asyncio.run(offline(operator, loaded, entry))
            found.append({"name": entry.name, **answer,
                          "word": answer.get("error") or answer.get("word", "")})
    print_rows(found, ("name", "sealed", "waiting", "word"), as_json)
    raise typer.Exit(EXIT_FAILED if any(f.get("waiting", 1) for f in found) else 0)


async def offline(operator: Path, loaded: Operator, entry: InstanceEntry) -> dict[str, Any]:
    """Seal and deliver the use of a stopped instance from this process.

    The lock on the instance's folder prevents a second exporter. Returns the numbers of sealed and of waiting
    batches, and the error or the delivery failure if there was one."""
    from larklb.counters import Counters
    from larklb.export.exporter import DeliveryError, Exporter
    from larklb.operator_services import fault_injector, open_ledger, parse_receiver
    from larklb.state.log import LogError
    assert loaded.export is not None and loaded.ledger is not None
    counters = Counters(entry.name)
    try:
        ledger = open_ledger(loaded.ledger, use_folder(operator, loaded, entry), entry.name, counters,
                             fault_injector())
    except LogError as error:
        return {"error": str(error), "waiting": "?"}
    failure = ""
    try:
        sealed = await ledger.seal()
        await Exporter(ledger, counters, parse_receiver(loaded.export, operator.parent)).all()
    except DeliveryError as error:
        failure = str(error)
    finally:
        ledger.close()
    return {"sealed": sealed, "waiting": len(ledger.tally.batches), "word": failure}


@usage.command()
def verify(operator: OperatorFile, as_json: AsJson = False, received: Annotated[Path | None, typer.Option(
        help="A folder of batches as the receiver keeps them, or as they were exported.")] = None) -> None:
    """Compare counted, sealed and acknowledged use; 3 and a line for each difference."""
    from larklb.export.audit import audit
    from larklb.settings import load_operator
    from larklb.state.log import LogError
    with exit_on_config_error():
        loaded = load_operator(operator)
        folder = received
        if folder is None and loaded.export is not None and loaded.export.folder:
            folder = operator.parent / loaded.export.folder
        try:
            found = [audit(use_folder(operator, loaded, entry), entry.name, folder)
                     for entry in loaded.instance]
        except LogError as error:
            raise exit_error(error, EXIT_REFUSED) from error
    print_rows([f.row() for f in found], ("name", "counted", "uncut", "sealed", "waiting", "acknowledged",
                                          "received", "differences"), as_json)
    for f in found:
        for line in f.differences:
            print(f"{f.name}: {line}")
    raise typer.Exit(EXIT_REFUSED if any(f.differences for f in found) else 0)
