"""Registers `larklb system` with the main application; its implementation is imported only when it runs."""

from __future__ import annotations

import typer

from larklb.cli.common import app


@app.command("system", add_help_option=False, context_settings={
    "allow_extra_args": True, "ignore_unknown_options": True, "allow_interspersed_args": False})
def system(context: typer.Context) -> None:
    """Operate the system: settings, configurations, fleet status, disks, a demonstration; see --help."""
    from larklb.cli.system import main
    raise typer.Exit(main(context.args))
