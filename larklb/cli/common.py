"""What all commands share: the application, the operator's file as an argument, how a command ends.

Exit statuses: 0 done; 1 something does not answer, or differs; 2 a file or an argument cannot be used,
nothing was changed; 3 turned down, nothing was changed.
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

EXIT_FAILED = 1                 # exit status: an instance does not answer, or what should agree differs
EXIT_UNUSABLE = 2               # a file or an argument cannot be used, nothing was changed
EXIT_REFUSED = 3                # the instances turned it down, nothing was changed

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A quota-keeping limiter.")
OperatorFile = Annotated[Path, typer.Argument(help="The operator's file (TOML).")]
AsJson = Annotated[bool, typer.Option("--json", help="JSON for programs, not a table for people.")]


def command_group(name: str, words: str) -> typer.Typer:
    """A group of commands under one name."""
    commands = typer.Typer(no_args_is_help=True, add_completion=False, help=words)
    app.add_typer(commands, name=name)
    return commands


def exit_error(error: Exception | str, status: int = EXIT_UNUSABLE) -> typer.Exit:
    """One plain line and the exit status, for ``raise``."""
    print(f"larklb: {error}", file=sys.stderr)
    return typer.Exit(status)


@contextmanager
def exit_on_config_error() -> Iterator[None]:
    """What cannot be used ends the command with one line and status 2."""
    from larklb.settings import ConfigError
    try:
        yield
    except ConfigError as error:
        raise exit_error(error) from error


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], as_json: bool) -> None:
    """A table, or one JSON line for each row."""
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
    """The configuration that the operator's file names for an instance."""
    from larklb.settings import load
    return load({"EDGE_NAME": entry.name, "EDGE_CONFIG": str(operator.parent / entry.config)})


def gather_rows(operator: Path, loaded: Operator, question: dict[str, Any], key: str,
                more: Callable[[dict[str, Any]], dict[str, Any]] = lambda answer: {},
                ) -> tuple[list[dict[str, Any]], list[str]]:
    """The rows under ``key`` of all instances' answers, each with its instance's name and what ``more`` takes
    from the answer; and a line for each instance that has none."""
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
    """Each instance with its answer to a question, or with ``silent`` or ``error`` and why; one after the
    other, or all ``at_once``."""
    from concurrent.futures import ThreadPoolExecutor

    from larklb.admin import AdminError, UnreachableError, ask
    from larklb.settings import ConfigError

    def one(entry: InstanceEntry) -> dict[str, Any]:
        if not entry.admin:
            raise ConfigError(f"{operator}: instance {entry.name} has no admin address")
        try:
            q = question(entry)
            return ask(operator.parent / entry.admin, q.pop("do"), **q)
        except UnreachableError as error:
            return {"silent": str(error)}
        except AdminError as error:
            return {"error": str(error)}

    with ThreadPoolExecutor(len(loaded.instance) if at_once else 1) as pool:
        answers = pool.map(one, loaded.instance) if at_once else map(one, loaded.instance)
        yield from zip(loaded.instance, answers, strict=True)
