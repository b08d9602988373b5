"""The exhaustive check of three core machines finds seeded faults and nothing else up to a small depth."""

from __future__ import annotations

import logging
import random

import pytest

from larklb.lab.check_consensus import main, seeded
from larklb.lab.consensus_breaks import SEEDED
from larklb.lab.consensus_explorer import STARTS, Explorer, World
from larklb.lab.consensus_machines import CounterexampleError, Machine, Machines, Outcome

pytestmark = pytest.mark.simulation


@pytest.fixture(autouse=True)
def silence_warnings_of_failed_saves(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.ERROR, "larklb.consensus")


def test_no_order_of_messages_saves_and_faults_violates_a_property() -> None:
    explorer = Explorer()
    explorer.explore(3, 2, 1_000_000)
    assert explorer.depth == 3 and explorer.worlds > 10_000
    explorer.explore(6, 0, 1_000_000)
    assert explorer.depth == 6 and explorer.worlds > 10_000


def test_no_fault_during_a_voter_change_violates_a_property() -> None:
    """A fourth machine replaces a lost one; the states before and after its entry was sent are explored."""
    explorer = Explorer()
    explorer.explore(3, 1, 1_000_000, ("fourth", "replaced"))
    assert explorer.depth == 3 and explorer.worlds > 3_000


SHORTEST = {  # start, number of steps, number of faults, message
    "words-before-saves": ("uncommitted", 3, 2, "acknowledged, and on 1 disks"),
    "votes-for-all": ("contest", 4, 2, "two lead"),
    "base-not-compared": ("uncommitted", 5, 1, "two are acknowledged on one base"),
    "snapshot-goes-back": ("snapshot", 4, 2, "goes back"),
    "old-terms-heeded": ("deposed", 3, 2, "committed, and on 1 disks"),
    "blank-disk-votes": ("snapshot", 3, 2, "blank disk of c votes"),
    "failed-save-counts": ("uncommitted", 5, 2, "acknowledged, and on 1 disks"),
    "vote-forgotten": ("contest", 6, 1, "two lead"),
    "group-changes-alone": ("fourth", 0, 0, "committed, and on 1 disks"),
    "refused-from-memory": ("old leader", 1, 0, "nothing newer than its base is in force"),
}


@pytest.mark.parametrize("name", SEEDED)
def test_each_seeded_fault_is_found_by_its_shortest_trace(name: str) -> None:
    start, steps, faults, why = SHORTEST[name]
    with pytest.raises(CounterexampleError, match=why) as found:
        seeded(name).explore(steps, faults, 1_000_000, (start,))
    assert len(found.value.steps) == steps, "breadth-first search finds a shortest trace"


def test_command_prints_the_trace(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--depth", "3", "--start", "deposed", "--seeded", "old-terms-heeded"]) == 1
    assert "3. append_reply of c to b arrives" in capsys.readouterr().out
    assert main(["--depth", "2"]) == 0
    assert "depth 2 reached whole" in capsys.readouterr().out


class UnmergedMachines(Machines):
    """Merges no states and replays each event."""

    def state(self, machine: Machine) -> int:
        self._state_numbers.clear()
        return super().state(machine)

    def apply_event(self, state: int, name: str, what: object) -> Outcome:
        self._outcomes.clear()
        return super().apply_event(state, name, what)


def test_merged_states_behave_alike() -> None:
    """Guards against merging states that differ in a relevant field, and events that change shared states."""
    merged, rng = Explorer(), random.Random(5)
    merged.explore(3, 2, 1_000_000)  # walks then reach states that others were merged into

    def visible_state(explorer: Explorer, world: World) -> object:
        messages = [[explorer.machines.messages[number] for number in link] for link in world.links]
        return [explorer.machines.views[state] for state in world.states], messages, world.history

    for walk in range(140):
        plain = Explorer()
        plain.machines = UnmergedMachines(plain.machines.make)
        name = list(STARTS)[walk % len(STARTS)]
        one, other = merged.start(name), plain.start(name)
        for _ in range(25):
            events = [event for event, _ in merged.events(one, rng.randrange(2))]
            events += [event for event in events if event[0] in ("times out", "beats", "saves")] * 2
            assert {event for event, _ in plain.events(other, 1)} >= set(events)
            event = rng.choice(events)
            merged.act(one, event)
            plain.act(other, event)
            assert visible_state(merged, one) == visible_state(plain, other), event
