"""Commands on fleet-wide decisions: stated error bounds, and the state that running instances hold."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from larklb.cli.common import (
    EXIT_FAILED,
    AsJson,
    OperatorFile,
    ask_instances,
    command_group,
    exit_error,
    exit_on_config_error,
    gather_rows,
    load_instance_config,
    print_rows,
)

# An instance contacts a peer three times within this time: a peer not heard for longer does not answer.
MAX_SILENCE_MS = 1300.0

# Fraction of the lowest latency target after which an attempt without an answer is abandoned (decide.py).
ATTEMPT_TIMEOUT_FRACTION = 0.375
# Attempts of one limiter into a zone that the stated figures assume.
ZONE_ATTEMPTS_PER_S = 4.0

fleet = command_group("fleet", "Limits and verdicts that hold for the whole fleet.")


@fleet.command()
def bound(operator: OperatorFile,
          limiters: Annotated[int, typer.Option(help="So many; 0: as the configuration says.")] = 0,
          loss: Annotated[float, typer.Option(help="Part of the messages lost while links hold.")] = 0.02,
          apart: Annotated[float, typer.Option(help="Seconds for which two sides hear nothing.")] = 15.0,
          as_json: AsJson = False) -> None:
    """Print bounds: the age of verdicts, the detection time of lost links, the error of limits."""
    from larklb.decision_constants import ASK_TIMEOUT_AIMS
    from larklb.fleet import bound as stated
    from larklb.quota.shares import error_bound as quota
    from larklb.settings import load_operator
    with exit_on_config_error():
        loaded = load_operator(operator)
        settings = load_instance_config(operator, loaded.instance[0]).settings
    n = limiters or settings.gateways
    aim = min(c.aim for c in settings.classes)
    age, detection = stated.age(n, loss), stated.detection_times(n, loss, aim, ASK_TIMEOUT_AIMS)
    messages = stated.message_rates(settings.inbox_per_s, n - 1)
    rows: list[dict[str, Any]] = [
        {"what": "verdict on a node, half of the limiters", "unit": "ms", "linked": round(age.median)},
        {"what": "verdict on a node, 99.9% of them", "unit": "ms", "linked": round(age.tail)},
        {"what": "a limiter not heard: quotas keep its share aside", "unit": "ms",
         "noticed": round(detection.quiet)},
        {"what": "a limiter not heard: nobody asks it", "unit": "ms", "noticed": round(detection.silent)},
        {"what": "messages to an inbox, a second", "unit": "", "linked": round(messages.planned, 1),
         "over": round(messages.first_second, 1)}]
    longest, limits = max(c.deadline for c in settings.classes), loaded.limits
    if limits.node_attempts:
        slots = stated.slots(n, limits.node_attempts, longest)
        rows.append({"what": f"attempts at a node, {limits.node_attempts} at once, {slots.lent} of them lent",
                     "unit": "", "over": 0, "under": slots.lent})
        rows.append({"what": "attempts at a node: who cannot ask has its base alone", "unit": "ms",
                     "noticed": round(slots.shrunk)})
        rows.append({"what": "attempts at a node: a lost limiter's share is lent anew", "unit": "ms",
                     "noticed": round(slots.lent_anew)})
    if limits.further_attempts:
        rows.append(
            {
                "what": f"further attempts, {limits.further_attempts:g} for each first one",
                "unit": "attempts",
                "over": stated.max_extra_attempts(n, limits.further_attempts),
                "under": 0,
            }
        )
    if loaded.zones.leave:
        times = stated.zone_times(n, loss, ATTEMPT_TIMEOUT_FRACTION * aim, ZONE_ATTEMPTS_PER_S)
        rows += [{"what": what, "unit": "ms", "noticed": round(ms)} for what, ms in (
            (f"a zone that is lost, {ZONE_ATTEMPTS_PER_S:g} attempts a second into it: all have left it",
             times.leave),
            ("a zone that is well again: all use it wholly", times.return_once),
            ("... after many losses in a row", times.return_max))]
    if loaded.custody is not None:
        takeover = stated.takeover_time()
        rows.append({"what": "an order whose limiter is lost: another has it", "unit": "ms",
                     "noticed": round(takeover)})
    for plan in settings.plans if n > 1 else ():
        spread = min(3, n)
        error = quota(plan.rate, plan.burst, spread, loss=loss, apart_s=apart, reserve=loaded.quota.reserve())
        rows.append({"what": f"quota of {plan.name}, {spread} limiters a customer, apart {apart:g} s",
                     "unit": "units", "noticed": round(detection.quiet), "over": round(error.over, 1),
                     "under": round(error.under, 1)})
    print_rows(rows, ("what", "unit", "linked", "noticed", "over", "under"), as_json)


@fleet.command()
def status(operator: OperatorFile, as_json: AsJson = False) -> None:
    """Show how running instances see each other and the nodes, and where two of them disagree."""
    from larklb.settings import load_operator
    rows: list[dict[str, Any]] = []
    silent = False
    with exit_on_config_error():
        loaded = load_operator(operator)
        for entry, answer in ask_instances(operator, loaded, lambda e: {"do": "fleet.state"}, at_once=True):
            silent |= "members" not in answer
            note = answer.get("silent") or answer.get("error", "")
            rows.append({"name": entry.name, **answer, "note": note})
    if as_json:
        print_rows(rows, (), True)
    else:
        print_rows([_status_row(r) for r in rows],
                   ("name", "heard", "quiet", "silent", "nodes", "reach", "verdicts", "inbox", "note"), False)
        print_rows([{"name": r["name"], "node": v["node"], "topic": v["topic"], "verdict": v["verdict"],
                     "observers": "; ".join(f"n{o} {x['slow']:g} ({x['age_ms']} ms ago)"
                                            for o, x in v["observers"].items())}
                    for r in rows for v in r.get("verdicts", ())],
                   ("name", "node", "topic", "verdict", "observers"), False)
        slots = [{"name": r["name"], **v, "lent": "; ".join(f"n{h} {n}" for h, n in v["lent"].items())}
                 for r in rows for v in r.get("slots", ())]
        if slots:
            print_rows(slots, ("name", "node", "allowed", "base", "pool", "lender", "lent"), False)
    differences = disagreements(rows)
    for line in differences:
        print(line)
    raise typer.Exit(EXIT_FAILED if silent or differences else 0)


@fleet.command()
def jobs(operator: OperatorFile,
         key: Annotated[str, typer.Option(help="Of one job: its Idempotency-Key, or 16 hex digits of a "
                                               "listed one.")] = "",
         account: Annotated[str, typer.Option(help="The customer of that key, 16 hex digits.")] = "",
         service: Annotated[str, typer.Option("--class", help="The class of that key.")] = "",
         as_json: AsJson = False) -> None:
    """Show the jobs in custody: their holder, replicas of the record, term and state, and what is unknown."""
    from larklb.fleet.custody import key_of
    from larklb.settings import load_operator
    if bool(account) != bool(service) or account and not key:
        raise exit_error("an Idempotency-Key needs --account and --class beside --key")
    wanted = f"{key_of(account, service, key.encode()):016x}" if account else key
    if wanted and not all(c in "0123456789abcdefABCDEF" for c in wanted):
        raise exit_error(f"{key!r} is no listed key: an Idempotency-Key needs --account and --class")
    with exit_on_config_error():
        loaded = load_operator(operator)
        rows, silent = gather_rows(operator, loaded, {"do": "fleet.jobs", "key": wanted}, "jobs")
    rows.sort(key=lambda r: (r["key"], r["name"]))
    if not as_json:
        rows = [{**r, "group": " ".join(f"n{i}" for i in r["group"]), "holder": f"n{r['holder']}",
                 "sent": "; ".join(r["sent"])} for r in rows]
    print_rows(rows, ("key", "name", "group", "state", "term", "holder", "lease_ms", "sent", "why"), as_json)
    for line in silent:
        print(line)
    raise typer.Exit(EXIT_FAILED if silent else 0)


@fleet.command()
def adopt(operator: OperatorFile,
          name: Annotated[str, typer.Argument(help="One that does not come back; none: all.")] = "",
          yes: Annotated[bool, typer.Option("--yes", help="Export it; else it is only shown.")] = False,
          as_json: AsJson = False) -> None:
    """Show the usage data that stopped instances have left in their folders, and export it for them.

    Counted use is exported once, under the instance's own name.  Data that cannot be taken over is listed and
    stays in place."""
    import asyncio

    from larklb.cli.usage import offline, use_folder
    from larklb.export.audit import read
    from larklb.settings import load_operator
    from larklb.state.folder import is_locked
    from larklb.state.log import LogError
    rows: list[dict[str, Any]] = []
    with exit_on_config_error():
        loaded = load_operator(operator)
        if loaded.export is None:
            raise exit_error(f"{operator}: it names no receiver for use")
        if name:
            loaded.instance_entry(name)
        for entry in loaded.instance:
            folder = use_folder(operator, loaded, entry)
            if name not in ("", entry.name) or not folder.exists():
                continue
            if is_locked(folder):
                rows.append({"name": entry.name, "state": "it runs"})
                continue
            try:
                tally = read(folder)
            except LogError as error:
                rows.append({"name": entry.name, "state": f"unreadable: {error}"})
                continue
            row: dict[str, Any] = {
                "name": entry.name, "state": "away", "uncut": sum(n for _, n in tally.rows.values()),
                "waiting": len(tally.batches), "in flight": len(tally.begun),
                "stays": "drawn reservations" if (folder.parent / "reservations").exists() else ""}
            if yes:
                result = asyncio.run(offline(operator, loaded, entry))
                row |= {"state": "exported" if result.get("waiting") == 0 else "not all of it",
                        "waiting": result["waiting"], "word": result.get("error") or result.get("word", "")}
            rows.append(row)
    print_rows(rows, ("name", "state", "uncut", "waiting", "in flight", "stays", "word"), as_json)
    if not yes and any(r["state"] == "away" for r in rows):
        print("nothing was changed; --yes exports it: tries in flight at the end count as sent, and what "
              "stays is read by the instance itself alone")
    failed = any(r["state"].startswith(("not all", "unreadable")) for r in rows)
    raise typer.Exit(EXIT_FAILED if failed else 0)


def _status_row(r: dict[str, Any]) -> dict[str, Any]:
    members = r.get("members", {})
    named = {state: " ".join(map(str, members.get(state, ()))) for state in ("heard", "quiet", "silent")}
    return {**r, **named, "verdicts": len(r.get("verdicts", ())), "reach": len(r.get("reach", ()))}


def disagreements(rows: list[dict[str, Any]]) -> list[str]:
    """Describe where the states of two instances contradict each other, a line each."""
    found = []
    answered = [r for r in rows if "members" in r]
    by_number = {r["number"]: r for r in answered}
    for r in answered:
        for peer, age in r["ages_ms"].items():
            other = by_number.get(int(peer))
            if other is not None and age > MAX_SILENCE_MS and r["number"] in other["members"]["heard"]:
                found.append(f"{r['name']} does not hear {other['name']}, which hears it")
    lenders: dict[str, set[int]] = {}
    for r in answered:
        for v in r.get("slots", ()):
            lenders.setdefault(v["node"], set()).add(v["lender"])
    found += [f"{node}: limiters differ on who lends its slots: {sorted(numbers)}"
              for node, numbers in lenders.items() if len(numbers) > 1]
    lists = {r["name"]: (r["list"], r["nodes"]) for r in answered}
    newest = max((version for version, _ in lists.values()), default=0)
    found += [f"{name} has the machine list of version {version}, another has {newest}"
              for name, (version, _) in lists.items() if version < newest]
    return found
