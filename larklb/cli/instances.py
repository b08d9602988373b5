"""Commands that run and query instances: serve, agent, status, version."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from larklb import __version__
from larklb.cli.common import OperatorFile, app, exit_error


@app.command()
def version() -> None:
    """Print the version."""
    print(f"larklb {__version__}")


@app.command()
def serve(operator: Annotated[Path | None, typer.Option(help="An operator's file that adds to it.")] = None,
          ) -> None:
    """Run one limiter, configured by the EDGE_* variables and the configuration file that they name."""
    from larklb import serve as program
    from larklb.settings import ConfigError, load, load_operator
    try:
        config = load()
        loaded = load_operator(operator) if operator is not None else None
        if loaded is not None:
            loaded.instance_entry(config.name)
    except ConfigError as error:
        raise exit_error(error) from error
    program.run(config, loaded, operator.parent if operator is not None else Path())


@app.command()
def agent(operator: OperatorFile) -> None:
    """Supervise the instances of an operator's file; SIGHUP restarts them in turn, SIGTERM drains."""
    from larklb import agent as program
    from larklb.settings import ConfigError, load_operator
    try:
        loaded = load_operator(operator)
    except ConfigError as error:
        raise exit_error(error) from error
    raise typer.Exit(program.run(operator, loaded))


@app.command()
def status(operator: OperatorFile) -> None:
    """Print the counters of each instance of an operator's file, a line each; 1 if any does not answer."""
    # Imported here so that it does not delay the start of `serve`.
    import urllib.error
    import urllib.request

    from larklb.settings import ConfigError, load, load_operator
    silent = 0
    try:
        for entry in load_operator(operator).instance:
            config = load({"EDGE_NAME": entry.name, "EDGE_CONFIG": str(operator.parent / entry.config)})
            host, port = config.listen
            try:
                with urllib.request.urlopen(f"http://{host}:{port}/counters", timeout=2) as answer:
                    print(answer.read().decode())
            except (urllib.error.URLError, OSError) as error:
                print(f"{entry.name} does not answer: {error}")
                silent += 1
    except ConfigError as error:
        raise exit_error(error) from error
    raise typer.Exit(1 if silent else 0)
