"""The command line."""

from __future__ import annotations

import sys

import typer

from larklb import __version__

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A quota-keeping limiter.")


@app.command()
def version() -> None:
    """Print the version."""
    print(f"larklb {__version__}")


@app.command()
def serve() -> None:
    """Run one limiter, as the EDGE_* variables and their configuration file say."""
    from larklb import serve as program
    from larklb.settings import ConfigError, load
    try:
        config = load()
    except ConfigError as error:
        print(f"larklb: {error}", file=sys.stderr)
        raise typer.Exit(2) from error
    program.run(config)
