"""Runs scripted faults against a fleet of several processes, and explores the exchange of findings."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larklb import admin
from larklb import peerwire as pw
from larklb.fleet.bound import age
from larklb.fleet.verdicts import BAD_SLOWNESS, DecayingSlowness, Finding, SubjectTopic, Verdicts
from larklb.lab import script, spread
from larklb.lab.check import InvariantViolationError, explore_states
from larklb.lab.check_verdicts import HALF_LIFE_MS, World
from larklb.lab.fleet import Audit, Rig
from tests.test_usage import larklb

# Each run times six limiters and their nodes in one process, so that no two of them may run in parallel.
pytestmark = pytest.mark.xdist_group("rig")


def run_day(name: str, folder: Path, seed: int = 1) -> tuple[Audit, Rig]:
    day = script.load(name)

    async def run() -> tuple[Audit, Rig]:
        async with Rig(day, folder, seed) as rig:
            return await rig.play(), rig

    audit, rig = asyncio.run(run())
    assert not audit.violations(day), (audit.violations(day), audit.figures)
    return audit, rig


def outcomes_of(audit: Audit, numbers: set[int], since: float, until: float) -> list[str]:
    return [Rig._outcome(t) for t in audit.tries if t.limiter in numbers and since <= t.submitted_at < until]


@pytest.mark.parametrize("name", ["calm", "one-class", "all-slow", "new-list", "hot-limiter"])
def test_no_job_is_lost(name: str, tmp_path: Path) -> None:
    audit, _ = run_day(name, tmp_path)
    assert audit.figures["jobs"] > 300


def test_a_limiter_with_a_bad_link_condemns_no_node_for_the_others(tmp_path: Path) -> None:
    """Its findings reach the others under its own number, and no verdict rests on them alone.

    Limiter 0 retracts them when most of the nodes that it has checked recently are bad, because it then
    suspects itself.  The others are therefore inspected from the start of the day on.
    """
    verdicts: list[dict[str, Any]] = []

    async def run() -> Audit:
        async with Rig(script.load("bad-link"), tmp_path, 1) as rig:
            async def inspect(now: float) -> None:
                if now <= 8.0:
                    answers = await asyncio.gather(*(asyncio.to_thread(
                        admin.ask, tmp_path / f"n{i}.sock", "fleet.state") for i in range(1, 6)))
                    verdicts.extend(v for answer in answers for v in answer["verdicts"]
                                    if v["topic"] != "limiter")
            return await rig.play(inspect)

    audit = asyncio.run(run())
    assert not audit.violations(script.load("bad-link")), audit.figures
    assert [v for v in verdicts if set(v["observers"]) == {"0"}], (
        "the findings of limiter 0 reached the others"
    )
    assert not [v for v in verdicts if v["verdict"] > 1.0 and len(set(v["observers"]) - {"0"}) == 0]
    others = outcomes_of(audit, {1, 2, 3, 4, 5}, 2.0, 8.5)
    assert others.count("in time") >= 0.99 * len(others) and len(others) > 50


def test_not_every_limiter_must_detect_two_bad_nodes_itself(tmp_path: Path) -> None:
    audit, _ = run_day("bad-node", tmp_path)
    assert 1 <= audit.figures["wasted"] <= 40


@pytest.mark.parametrize("name", ["split", "one-way", "flapping"])
def test_quotas_keep_their_bound_while_limiters_are_partitioned(name: str, tmp_path: Path) -> None:
    audit, _ = run_day(name, tmp_path)
    assert audit.figures["refused"] > 0.3, "the quotas limit the load"
    assert audit.figures["served"] > 0.2


def test_a_suspended_limiter_resumes_with_outdated_state(tmp_path: Path) -> None:
    """Its accepted jobs may be lost; after it resumes, it sends nothing to the node that was removed."""
    audit, rig = run_day("stopped", tmp_path)
    # The resumed process and its sends are observed with a delay of up to twice the lag.
    resumed_at = rig.started_at + 12.0 + 0.3 + 2 * rig.lag
    assert not [at for at, _ in rig.machines["s0"].accepted if at > resumed_at]
    others = outcomes_of(audit, {1, 2, 3, 4, 5}, 0.0, 15.0)
    assert "lost" not in others and "failed" not in others
    resumed = outcomes_of(audit, {0}, 13.0, 15.0)
    assert len(resumed) > 8 and set(resumed) <= {"in time", "refused"}


def test_half_of_the_fleet_is_killed_and_restarts_with_empty_state(tmp_path: Path) -> None:
    audit, _ = run_day("half-killed", tmp_path)
    survivors = outcomes_of(audit, {1, 3, 5}, 0.0, 10.0)
    assert "lost" not in survivors and "unreached" not in survivors and "failed" not in survivors
    restarted = outcomes_of(audit, {0, 2, 4}, 7.0, 10.0)
    assert len(restarted) > 20 and set(restarted) <= {"in time", "refused"}


def test_a_zone_that_returns_cold_is_not_overloaded(tmp_path: Path) -> None:
    audit, _ = run_day("zone-lost", tmp_path)
    assert audit.figures["cold times"] < 4.0
    after = outcomes_of(audit, set(range(6)), 7.0, 12.0)
    assert after.count("in time") >= 0.97 * len(after)


def test_an_invalid_script_is_rejected_in_one_line(tmp_path: Path) -> None:
    for text, message in (("words = 1", "Expected `str`"), ('words = ""\nlimiters = 0', "limiters"),
                      ('words = ""\n[[fault]]\nat = 1\nwhat = "kill"\nwho = ["n9"]', "meets nobody"),
                      ('words = ""\n[[fault]]\nat = 99\nwhat = "kill"', "within the day"),
                      ('words = ""\nunknown = 1', "unknown")):
        path = tmp_path / "day.toml"
        path.write_text(text)
        with pytest.raises(script.ScriptError, match=message) as raised:
            script.load(str(path))
        assert "\n" not in str(raised.value)
    assert {n["name"] for n in script.builtin_scenarios()} >= {"calm", "split", "bad-link", "stopped"}


# State of running instances ---------------------------------------------------------------


def test_fleet_status_reports_verdicts_and_disagreements(tmp_path: Path) -> None:
    """A failing node and a limiter whose messages reach nobody are reported only while the faults last."""
    # At a low rate only two limiters may send to the node, and a verdict needs two observers besides oneself.
    day = script.Script(words="", length=15.0, load=script.Load(rate=160.0), fault=(
        script.Fault(at=3.0, what="failing", lasts=7.0, to=("s0",)),
        script.Fault(at=3.5, what="apart", lasts=6.5, who=("n0",), to=("n*",), one_way=True)))
    reports: dict[str, tuple[int, list[dict[str, Any]]]] = {}

    def verdicts_on_s0() -> list[dict[str, Any]]:
        return [v for r in reports["while"][1] for v in r["verdicts"] if v["node"] == "s0"]

    # Which limiter sends to the node next and when a finding arrives is random, so each state is awaited.
    reached: dict[str, Callable[[], bool]] = {
        "before": lambda: reports["before"][0] == 0,
        "while": lambda: (any(v["verdict"] >= BAD_SLOWNESS for v in verdicts_on_s0())
                          and "does not hear n0" in reports["while text"][1][0]["text"]),
        "after": lambda: reports["after"][0] == 0}

    async def run() -> None:
        async with Rig(day, tmp_path, 1) as rig:
            operator = str(tmp_path / "operator.toml")

            async def inspect(now: float) -> None:
                for since, until, name in ((0.0, 2.5, "before"), (5.0, 9.0, "while"), (11.5, 15.0, "after")):
                    if since <= now < until and (name not in reports or not reached[name]()):
                        status, out = await larklb("fleet", "status", operator, "--json")
                        rows = [json.loads(line) for line in out.splitlines() if line.startswith("{")]
                        reports[name] = status, rows
                        reports[name + " text"] = status, [{"text": out}]

            await rig.play(inspect)

    asyncio.run(run())
    assert reports["before"][0] == 0 and len(reports["before"][1]) == 6
    status, rows = reports["while"]
    assert status == 1, "the exit status reports the disagreement"
    text = reports["while text"][1][0]["text"]
    assert any(f"n{i} does not hear n0, which hears it" in text for i in range(1, 6)), text
    found = verdicts_on_s0()
    assert found and max(len(v["observers"]) for v in found) >= 2
    assert any(v["verdict"] >= BAD_SLOWNESS for v in found), "the fleet's verdict is bad at some limiter"
    assert not [v for r in rows for v in r["verdicts"] if v["node"] != "s0" and v["topic"] != "limiter"
                and v["verdict"] >= BAD_SLOWNESS]
    assert reports["after"][0] == 0, reports["after text"][1][0]["text"]


def test_simulated_ages_stay_within_the_stated_bound(tmp_path: Path) -> None:
    assert age(200, 0.05).tail < 5000.0 and age(200, 0.05).median < 2600.0
    assert age(500, 0.3).tail > age(200, 0.05).tail > age(4, 0.0).tail > 0.0 == age(1, 0.0).tail
    for limiters, loss in ((3, 0.3), (9, 0.02), (60, 0.2)):
        pairs = spread.simulate(limiters, loss, 3, subjects=40 if limiters < 10 else 8).convergence_ages()
        stated = age(limiters, loss)
        assert pairs[len(pairs) // 2] <= stated.median and pairs[int(len(pairs) * 0.999)] <= stated.tail


def test_an_older_version_receives_only_items_that_it_can_read(tmp_path: Path) -> None:
    """It drops a message with an unknown item, so that only peers that sent an allowance receive findings."""
    fleet = spread.Fleet(9, 0.0, 1)
    x = fleet.limiters[0]
    x.verdicts.record_evidence(10.0, 7, 1, 12.0)
    x.verdicts.receive(10.0, 3, Finding(8, 1, 9.0, 0.0, 3, 0))

    def items(peer: int) -> list[pw.Item]:
        x.outbox.request_message(peer)
        data = [d for d in x.outbox.flush(10.0, peer, 3, lambda: ()) if isinstance(d, bytes)]
        return [item for d in data for item in pw.unpack(d)]

    old = items(1)
    assert [(i.server, i.slow) for i in old if isinstance(i, pw.HealthReport)] == [
        (7, 12.0)], "an older version receives only the sender's own findings"
    assert not [i for i in old if isinstance(i, Finding)]
    x.pace.record_allowance(10.0, 2, 5.0)
    assert {i.subject for i in items(2) if isinstance(i, Finding)} == {7, 8}


# Exhaustive exploration -------------------------------------------------------------------


def test_no_exchange_of_findings_violates_an_invariant_to_a_depth_of_five() -> None:
    assert explore_states(5, World) > 4000


class QuorumOfOne(Verdicts):
    """Reaches a verdict on the finding of a single observer."""

    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        super().__init__(number, gateways, half_life)
        self.quorum = 1


class LastArrivalWins(Verdicts):
    """Stores the finding that arrives last, even if it is older."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        self.findings.get((f.subject, f.topic), {}).pop(f.observer, None)
        return super().receive(now, sender, f)


class TakesSenderForObserver(Verdicts):
    """Takes the sender of a finding for its observer."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        return super().receive(now, sender, f._replace(observer=sender))


class CountsOwnFinding(Verdicts):
    """Counts its own finding towards the quorum of others."""

    def _update_verdict(self, now: float, name: SubjectTopic) -> None:
        bad = [k for k in self.findings.get(name, {}).values() if k.slowness >= BAD_SLOWNESS]
        if len(bad) >= self.quorum:
            self.current[name] = DecayingSlowness(bad[0].slowness, bad[0].at)
        else:
            self.current.pop(name, None)


class AcceptsFormerIncarnation(Verdicts):
    """Accepts a finding of its own former incarnation like any other."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        if f.observer == self.number:
            self._store(now, (f.subject, f.topic), f.observer, f.slowness, now - f.age, f.stamp, sender)
        return super().receive(now, sender, f)


@pytest.mark.parametrize("fault", [QuorumOfOne, LastArrivalWins, TakesSenderForObserver, CountsOwnFinding,
                                   AcceptsFormerIncarnation])
def test_the_exploration_finds_each_seeded_fault(fault: Callable[[int, int, float], Verdicts]) -> None:
    with pytest.raises(InvariantViolationError):
        explore_states(5, lambda: World(lambda number: fault(number, 8, HALF_LIFE_MS)))
