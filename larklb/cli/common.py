"""What all commands share: the application, the operator's file as an argument, how a command ends."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

UNUSABLE = 2               # exit status: a file or an argument cannot be used, nothing was changed

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A quota-keeping limiter.")
OperatorFile = Annotated[Path, typer.Argument(help="The operator's file (TOML).")]


def stop(error: Exception, status: int = UNUSABLE) -> typer.Exit:
    """One plain line and the exit status, for ``raise``."""
    print(f"larklb: {error}", file=sys.stderr)
    return typer.Exit(status)
