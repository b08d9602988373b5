"""Commands for demonstrations, experiments and quota error bounds: try, lab, quota."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from larklb.cli.common import (
    EXIT_FAILED,
    AsJson,
    OperatorFile,
    app,
    ask_instances,
    command_group,
    exit_error,
    exit_on_config_error,
    load_instance_config,
    print_rows,
)

Once = Annotated[bool, typer.Option(help="End after the show; 1 if something was not as it should be.")]

System = Annotated[bool, typer.Option("--system", help="Show the gateway instead, as `larklb system try`: it "
                                                       "ends by itself.")]


@app.command("try")
def trial(once: Once = False, system: System = False) -> None:
    """Start the example on this machine without preparation, demonstrate it, and serve until Ctrl-C."""
    if system:
        from larklb.cli.system import main
        raise typer.Exit(main(["try"]))
    from larklb.lab import trial as program
    raise typer.Exit(program.run(once))


lab = command_group("lab", "Experiments: in simulated time, or with limiters of their own on loopback.")


@lab.command("quota")
def quota_day(scenario: Annotated[str, typer.Option(help="Its name, or `list`.")] = "split",
              seed: Annotated[int, typer.Option(help="The same seed is the same day.")] = 1,
              settle: Annotated[bool, typer.Option(help="Settle with the owner, or go on as before.")] = True,
              reserve: Annotated[float, typer.Option(help="0 errs on the quota's side, 1 service's.")] = 1.0,
              as_json: AsJson = False) -> None:
    """Simulate a day of several limiters on a scripted network, against one ideal bucket per customer."""
    from larklb.lab import net
    from larklb.quota.entitlements import Entitlements
    if scenario == "list":
        print_rows([{"name": s.name, "what": s.description} for s in net.SCENARIOS.values()],
                   ("name", "what"), as_json)
        return
    if scenario not in net.SCENARIOS:
        raise exit_error(f"there is no scenario {scenario!r}: see --scenario list")
    day = net.play(scenario, seed,
                   entitlements_of=lambda number: Entitlements(net.PLANS, settle=settle, reserve=reserve))
    print_rows(net.rows(day, net.SCENARIOS[scenario], reserve),
               ("customer", "plan", "load", "owner", "tried", "perfect", "let in", "over", "refused",
                "most over", "bound over", "most under", "bound under"), as_json)
    over, refused = net.totals(day)
    print(f"{scenario}, seed {seed}: over {over:.2%}, refused wrongly {refused:.2%} of all; worst customer "
          f"{max(c.over for c in day.customers):.2%} and {max(c.refused for c in day.customers):.2%}")


@lab.command("fleet")
def fleet_day(scenario: Annotated[str, typer.Argument(help="Its name, a file's path, or `list`.")] = "split",
              seed: Annotated[int, typer.Option(help="Of the load and of chance in the faults.")] = 1,
              limiters: Annotated[int, typer.Option(help="So many; 0: as the scenario says.")] = 0,
              as_json: AsJson = False) -> None:
    """Run a scenario with real limiters on loopback and faults between them; 1 if it is not as expected."""
    import asyncio
    import tempfile

    import msgspec

    from larklb.lab import fleet, script
    if scenario == "list":
        print_rows(script.builtin_scenarios(), ("name", "what"), as_json)
        return
    try:
        day = script.load(scenario)
        if limiters:
            day = msgspec.structs.replace(day, limiters=limiters)
        if why := day.find_inconsistency():
            raise script.ScriptError(f"{scenario}: {why}")
    except script.ScriptError as error:
        raise exit_error(error) from error

    async def play() -> fleet.Audit:
        with tempfile.TemporaryDirectory(prefix="larklb-") as folder:
            async with fleet.Rig(day, Path(folder), seed) as rig:
                return await rig.play()

    audit = asyncio.run(play())
    if as_json:
        print(msgspec.json.encode({"scenario": scenario, "seed": seed, "figures": audit.figures,
                                   "windows": audit.windows}).decode())
    else:
        print_rows(audit.windows, fleet.COLUMNS, False)
        print("  ".join(f"{name} {value:.4g}" for name, value in audit.figures.items()))
    failures = audit.violations(day)
    for line in failures:
        print(f"{scenario}: {line}")
    print(f"{scenario}, seed {seed}: {'not as expected' if failures else 'as expected'}")
    raise typer.Exit(EXIT_FAILED if failures else 0)


quota = command_group("quota", "How far off quotas may be while limiters cannot hear each other.")


@quota.command()
def state(operator: OperatorFile, customer: Annotated[str, typer.Argument(help="16 hex digits.")],
          as_json: AsJson = False) -> None:
    """Show whether each running instance decides exactly for a customer, and its largest possible error."""
    from larklb.settings import load_operator
    question = {"do": "quota.state", "customer": customer}
    rows, silent = [], False
    with exit_on_config_error():
        for entry, answer in ask_instances(operator, load_operator(operator), lambda e: dict(question)):
            silent |= "sure" not in answer
            rows.append({"name": entry.name, **answer,
                         "note": answer.get("silent") or answer.get("error", "")})
    print_rows(rows, ("name", "owner", "sure", "part", "unsettled", "off", "apart", "note"), as_json)
    raise typer.Exit(EXIT_FAILED if silent else 0)


@quota.command()
def bound(operator: OperatorFile,
          spread: Annotated[int, typer.Option(help="Limiters of a customer.")] = 3,
          loss: Annotated[float, typer.Option(help="Part of the messages lost.")] = 0.02,
          apart: Annotated[float, typer.Option(help="Seconds for which two sides hear nothing.")] = 15.0,
          restarts: Annotated[int, typer.Option(help="Limiters restarted meanwhile.")] = 0,
          as_json: AsJson = False) -> None:
    """Print, by plan, the stated bound on units admitted in excess and on units wrongly refused."""
    from larklb.quota.shares import error_bound
    from larklb.settings import load_operator
    with exit_on_config_error():
        loaded = load_operator(operator)
        settings = load_instance_config(operator, loaded.instance[0]).settings
    reserve = loaded.quota.reserve()
    rows = []
    for plan in settings.plans:
        error = error_bound(plan.rate, plan.burst, spread, loss=loss, apart_s=apart, reserve=reserve,
                            restarts=restarts)
        rows.append({"plan": plan.name, "rate": plan.rate, "burst": plan.burst, "over": round(error.over, 1),
                     "under": round(error.under, 1)})
    print_rows(rows, ("plan", "rate", "burst", "over", "under"), as_json)
