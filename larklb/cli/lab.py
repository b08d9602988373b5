"""Commands for trying things out: try."""

from __future__ import annotations

from typing import Annotated

import typer

from larklb.cli.common import app

Once = Annotated[bool, typer.Option(help="End after the show; 1 if something was not as it should be.")]


@app.command("try")
def trial(once: Once = False) -> None:
    """Start the example on this machine, with nothing prepared, show what it does, and serve until Ctrl-C."""
    from larklb.lab import trial as program
    raise typer.Exit(program.run(once))
