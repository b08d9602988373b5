"""The one command by which the other commands' application reaches `larklb system`; imports it late."""

from __future__ import annotations

import typer

from larklb.cli.common import app


@app.command("system", add_help_option=False, context_settings={
    "allow_extra_args": True, "ignore_unknown_options": True, "allow_interspersed_args": False})
def system(context: typer.Context) -> None:
    """The system's operators' kit: settings, configurations, who is there, disks, a trial; see --help."""
    from larklb.cli.system import main
    raise typer.Exit(main(context.args))
