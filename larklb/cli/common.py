"""Shared by all commands: the application, common arguments, output, exit statuses and instance queries.

Exit statuses: 0 success; 1 an instance does not answer, or values differ; 2 a file or an argument cannot be
used, nothing was changed; 3 refused, nothing was changed.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from larklb.settings import Config, InstanceEntry, Operator

# Exit statuses, see above.
EXIT_FAILED = 1
EXIT_UNUSABLE = 2
EXIT_REFUSED = 3

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A quota-keeping limiter.")
OperatorFile = Annotated[Path, typer.Argument(help="The operator's file (TOML).")]
AsJson = Annotated[bool, typer.Option("--json", help="JSON for programs, not a table for people.")]


def command_group(name: str, description: str) -> typer.Typer:
    """Add a group of commands to the application, with `description` as its help text."""
    commands = typer.Typer(no_args_is_help=True, add_completion=False, help=description)
    app.add_typer(commands, name=name)
    return commands


def exit_error(error: Exception | str, status: int = EXIT_UNUSABLE) -> typer.Exit:
    """Print an error on standard error and return the exception that exits with ``status``, for ``raise``."""
    print(f"larklb: {error}", file=sys.stderr)
    return typer.Exit(status)


@contextmanager
def exit_on_config_error() -> Iterator[None]:
    """Turn a ConfigError in the body into a one-line message and exit status 2."""
    from larklb.settings import ConfigError
    try:
        yield
    except ConfigError as error:
        raise exit_error(error) from error


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], as_json: bool) -> None:
    """Print rows as an aligned table of ``columns``, or as one JSON line each."""
    if as_json:
        import msgspec
        for row in rows:
            print(msgspec.json.encode(row).decode())
        return
    cells = [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(c), *(len(line[i]) for line in cells), 0) for i, c in enumerate(columns)]
    for line in [list(columns), *cells]:
        print("  ".join(text.ljust(w) for text, w in zip(line, widths, strict=True)).rstrip())


def load_instance_config(operator: Path, entry: InstanceEntry) -> Config:
    """Load the configuration that the operator's file names for an instance. Raises ConfigError."""
    from larklb.settings import load
    return load({"EDGE_NAME": entry.name, "EDGE_CONFIG": str(operator.parent / entry.config)})


def gather_rows(operator: Path, loaded: Operator, question: dict[str, Any], key: str,
                more: Callable[[dict[str, Any]], dict[str, Any]] = lambda answer: {},
                ) -> tuple[list[dict[str, Any]], list[str]]:
    """Ask all instances at once and combine the rows under ``key`` in their answers.

    Each row gets the instance's name and the fields that ``more`` extracts from the whole answer. Returns the
    rows, and one line for each instance whose answer has no such rows."""
    rows: list[dict[str, Any]] = []
    silent = []
    for entry, answer in ask_instances(operator, loaded, lambda e: dict(question), at_once=True):
        if key not in answer:
            silent.append(f"{entry.name}: {answer.get('silent') or answer.get('error', '')}")
            continue
        rows += [{"name": entry.name, **more(answer), **row} for row in answer[key]]
    return rows, silent


def ask_instances(operator: Path, loaded: Operator, question: Callable[[InstanceEntry], dict[str, Any]],
                  at_once: bool = False) -> Iterator[tuple[InstanceEntry, dict[str, Any]]]:
    """Yield each instance with its answer to a question, asking in turn or, if ``at_once``, in parallel.

    In place of an answer there is ``silent`` (no answer) or ``error`` (refused) with the reason. Raises
    ConfigError if an instance has no admin address."""
    from concurrent.futures import ThreadPoolExecutor

    from larklb.admin import AdminError, UnreachableError, ask
    from larklb.settings import ConfigError

    def ask_one(entry: InstanceEntry) -> dict[str, Any]:
        if not entry.admin:
            raise ConfigError(f"{operator}: instance {entry.name} has no admin address")
        try:
            arguments = question(entry)
            return ask(operator.parent / entry.admin, arguments.pop("do"), **arguments)
        except UnreachableError as error:
            return {"silent": str(error)}
        except AdminError as error:
            return {"error": str(error)}

    with ThreadPoolExecutor(len(loaded.instance) if at_once else 1) as pool:
        answers = pool.map(ask_one, loaded.instance) if at_once else map(ask_one, loaded.instance)
        yield from zip(loaded.instance, answers, strict=True)
