"""The fleet rig: several processes of the program with faults put between them, and the check of findings."""

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

# Six limiters and their nodes keep the time of one process: no other such day may run beside it.
pytestmark = pytest.mark.xdist_group("rig")


def played(name: str, folder: Path, seed: int = 1) -> tuple[Audit, Rig]:
    day = script.load(name)

    async def go() -> tuple[Audit, Rig]:
        async with Rig(day, folder, seed) as rig:
            return await rig.play(), rig

    audit, rig = asyncio.run(go())
    assert not audit.violations(day), (audit.violations(day), audit.figures)
    return audit, rig


def of_limiters(audit: Audit, numbers: set[int], since: float, until: float) -> list[str]:
    return [Rig._end(t) for t in audit.tries if t.limiter in numbers and since <= t.came < until]


@pytest.mark.parametrize("name", ["calm", "one-class", "all-slow", "new-list", "hot-limiter"])
def test_days_on_which_nothing_may_be_lost(name: str, tmp_path: Path) -> None:
    audit, _ = played(name, tmp_path)
    assert audit.figures["jobs"] > 300


def test_a_limiter_with_a_bad_link_condemns_no_node_for_the_others(tmp_path: Path) -> None:
    """Its findings reach the others with its name on them, and no verdict stands on them alone."""
    held: list[dict[str, Any]] = []

    async def go() -> Audit:
        async with Rig(script.load("bad-link"), tmp_path, 1) as rig:
            async def look(now: float) -> None:
                if 2.5 <= now <= 8.0:
                    said = await asyncio.gather(*(asyncio.to_thread(
                        admin.ask, tmp_path / f"n{i}.sock", "fleet.state") for i in range(1, 6)))
                    held.extend(v for answer in said for v in answer["verdicts"] if v["topic"] != "limiter")
            return await rig.play(look)

    audit = asyncio.run(go())
    assert not audit.violations(script.load("bad-link")), audit.figures
    assert [v for v in held if set(v["observers"]) == {"0"}], "they were told"
    assert not [v for v in held if v["verdict"] > 1.0 and len(set(v["observers"]) - {"0"}) == 0]
    others = of_limiters(audit, {1, 2, 3, 4, 5}, 2.0, 8.5)
    assert others.count("in time") >= 0.99 * len(others) and len(others) > 50


def test_two_bad_nodes_are_not_found_anew_by_each_limiter(tmp_path: Path) -> None:
    audit, _ = played("bad-node", tmp_path)
    assert 1 <= audit.figures["wasted"] <= 40


@pytest.mark.parametrize("name", ["split", "one-way", "flapping"])
def test_quotas_keep_their_bound_while_limiters_do_not_hear_each_other(name: str, tmp_path: Path) -> None:
    audit, _ = played(name, tmp_path)
    assert audit.figures["refused"] > 0.3, "the quotas bind"
    assert audit.figures["served"] > 0.2


def test_a_stopped_limiter_wakes_with_old_verdicts_shares_and_lists(tmp_path: Path) -> None:
    """What it had taken is lost with the stop; after it wakes nothing is sent to the node that left."""
    audit, rig = played("stopped", tmp_path)
    late = rig.began + 12.0 + 0.3 + 2 * rig.lag        # it is woken, and its sends are seen, so much later
    assert not [at for at, _ in rig.machines["s0"].ids if at > late]
    others = of_limiters(audit, {1, 2, 3, 4, 5}, 0.0, 15.0)
    assert "lost" not in others and "failed" not in others
    woken = of_limiters(audit, {0}, 13.0, 15.0)
    assert len(woken) > 8 and set(woken) <= {"in time", "refused"}


def test_half_of_the_fleet_is_killed_at_once_and_returns_empty(tmp_path: Path) -> None:
    audit, _ = played("half-killed", tmp_path)
    left = of_limiters(audit, {1, 3, 5}, 0.0, 10.0)
    assert "lost" not in left and "unreached" not in left and "failed" not in left
    back = of_limiters(audit, {0, 2, 4}, 7.0, 10.0)
    assert len(back) > 20 and set(back) <= {"in time", "refused"}


def test_a_zone_that_vanishes_and_returns_cold_is_not_pushed_over(tmp_path: Path) -> None:
    audit, _ = played("zone-lost", tmp_path)
    assert audit.figures["cold times"] < 4.0
    after = of_limiters(audit, set(range(6)), 7.0, 12.0)
    assert after.count("in time") >= 0.97 * len(after)


def test_a_script_that_makes_no_sense_is_turned_down_in_one_line(tmp_path: Path) -> None:
    for text, why in (("words = 1", "Expected `str`"), ('words = ""\nlimiters = 0', "limiters"),
                      ('words = ""\n[[fault]]\nat = 1\nwhat = "kill"\nwho = ["n9"]', "meets nobody"),
                      ('words = ""\n[[fault]]\nat = 99\nwhat = "kill"', "within the day"),
                      ('words = ""\nunknown = 1', "unknown")):
        path = tmp_path / "day.toml"
        path.write_text(text)
        with pytest.raises(script.ScriptError, match=why) as found:
            script.load(str(path))
        assert "\n" not in str(found.value)
    assert {n["name"] for n in script.names()} >= {"calm", "split", "bad-link", "stopped"}


# What running instances say ---------------------------------------------------------------


def test_running_instances_say_what_they_hold_and_where_they_disagree(tmp_path: Path) -> None:
    """A failing node, and a limiter whose words reach nobody: shown while they last, and gone afterwards."""
    # With few tries only two limiters may meet the node at all, and a verdict needs two others.
    day = script.Script(words="", length=15.0, load=script.Load(rate=160.0), fault=(
        script.Fault(at=3.0, what="failing", lasts=7.0, to=("s0",)),
        script.Fault(at=3.5, what="apart", lasts=6.5, who=("n0",), to=("n*",), one_way=True)))
    said: dict[str, tuple[int, list[dict[str, Any]]]] = {}

    def of_s0() -> list[dict[str, Any]]:
        return [v for r in said["while"][1] for v in r["verdicts"] if v["node"] == "s0"]

    # Who meets the node next, and when a word of it comes round, is chance: each is looked for a while.
    shown: dict[str, Callable[[], bool]] = {
        "before": lambda: said["before"][0] == 0,
        "while": lambda: (any(v["verdict"] >= BAD_SLOWNESS for v in of_s0())
                          and "does not hear n0" in said["while text"][1][0]["text"]),
        "after": lambda: said["after"][0] == 0}

    async def go() -> None:
        async with Rig(day, tmp_path, 1) as rig:
            operator = str(tmp_path / "operator.toml")

            async def look(now: float) -> None:
                for since, until, name in ((0.0, 2.5, "before"), (5.0, 9.0, "while"), (11.5, 15.0, "after")):
                    if since <= now < until and (name not in said or not shown[name]()):
                        status, out = await larklb("fleet", "status", operator, "--json")
                        rows = [json.loads(line) for line in out.splitlines() if line.startswith("{")]
                        said[name] = status, rows
                        said[name + " text"] = status, [{"text": out}]

            await rig.play(look)

    asyncio.run(go())
    assert said["before"][0] == 0 and len(said["before"][1]) == 6
    status, rows = said["while"]
    assert status == 1, "they disagree"
    text = said["while text"][1][0]["text"]
    assert any(f"n{i} does not hear n0, which hears it" in text for i in range(1, 6)), text
    found = of_s0()
    assert found and max(len(v["observers"]) for v in found) >= 2
    assert any(v["verdict"] >= BAD_SLOWNESS for v in found), "by two others"
    assert not [v for r in rows for v in r["verdicts"] if v["node"] != "s0" and v["topic"] != "limiter"
                and v["verdict"] >= BAD_SLOWNESS]
    assert said["after"][0] == 0, said["after text"][1][0]["text"]


def test_the_bound_is_stated_for_any_size(tmp_path: Path) -> None:
    assert age(200, 0.05).tail < 5000.0 and age(200, 0.05).median < 2600.0
    assert age(500, 0.3).tail > age(200, 0.05).tail > age(4, 0.0).tail > 0.0 == age(1, 0.0).tail
    for limiters, loss in ((3, 0.3), (9, 0.02), (60, 0.2)):
        pairs = spread.simulate(limiters, loss, 3, subjects=40 if limiters < 10 else 8).convergence_ages()
        stated = age(limiters, loss)
        assert pairs[len(pairs) // 2] <= stated.median and pairs[int(len(pairs) * 0.999)] <= stated.tail


def test_an_older_program_is_told_what_it_reads(tmp_path: Path) -> None:
    """It drops a message that holds an item it does not know: only who shows an allowance gets findings."""
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
        (7, 12.0)], "its sender's own"
    assert not [i for i in old if isinstance(i, Finding)]
    x.pace.record_allowance(10.0, 2, 5.0)
    assert {i.subject for i in items(2) if isinstance(i, Finding)} == {7, 8}


# The check --------------------------------------------------------------------------------


def test_every_way_of_findings_to_a_depth_of_five() -> None:
    assert explore_states(5, World) > 4000


class OneSuffices(Verdicts):
    def __init__(self, number: int, gateways: int, half_life: float) -> None:
        super().__init__(number, gateways, half_life)
        self.quorum = 1


class LastComes(Verdicts):
    """Whatever comes last counts, new or old."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        self.findings.get((f.subject, f.topic), {}).pop(f.observer, None)
        return super().receive(now, sender, f)


class Anonymous(Verdicts):
    """Who tells a finding is taken for its observer."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        return super().receive(now, sender, f._replace(observer=sender))


class OwnWord(Verdicts):
    """One's own finding makes up the quorum of others."""

    def _update_verdict(self, now: float, name: SubjectTopic) -> None:
        bad = [k for k in self.findings.get(name, {}).values() if k.slowness >= BAD_SLOWNESS]
        if len(bad) >= self.quorum:
            self.current[name] = DecayingSlowness(bad[0].slowness, bad[0].at)
        else:
            self.current.pop(name, None)


class FormerSelf(Verdicts):
    """A word of one's own former self is taken as any other."""

    def receive(self, now: float, sender: int, f: Finding) -> SubjectTopic | None:
        if f.observer == self.number:
            self._store(now, (f.subject, f.topic), f.observer, f.slowness, now - f.age, f.stamp, sender)
        return super().receive(now, sender, f)


@pytest.mark.parametrize("fault", [OneSuffices, LastComes, Anonymous, OwnWord, FormerSelf])
def test_seeded_faults_are_found(fault: Callable[[int, int, float], Verdicts]) -> None:
    with pytest.raises(InvariantViolationError):
        explore_states(5, lambda: World(lambda number: fault(number, 8, HALF_LIFE_MS)))
