"""Quotas of tenants while limiters are in trouble, with the real control plane in simulated time."""

from __future__ import annotations

import math
from typing import Any

import pytest

from larklb.admission.quota_records import Allowance, OwnedBucket
from larklb.admission.quotas import Quotas
from larklb.admission.share_leases import HeldShares
from larklb.lab.control_world import Machine
from larklb.lab.quota_faults import FAULTS, Task, play_day
from larklb.lab.quota_world import DEADLINE_MS, FURTHER_TRIES, QuotaWorld, TenantRecord

RATE = BURST = 25.0
CUT_MS, SILENT_MS = 10_000.0, 3_500.0


def founded_world(seed: int) -> QuotaWorld:
    world = QuotaWorld(seed, [Allowance(f"tenant{n}", RATE, BURST) for n in range(60)])
    world.override_bounds(contact_ms=3000.0, convergence_ms=4000.0)
    world.found()
    return world


def leader(world: QuotaWorld) -> Machine:
    return next(m for m in world.cores() if m.core is not None and m.core.replica.is_leader)


def owned_by(world: QuotaWorld, machine: Machine) -> TenantRecord:
    return next(r for t, r in world.records.items() if world.owner_nodes(t) == [machine.node])


def send(world: QuotaWorld, tenant: str, node: str, per_s: float, ms: float,
         further_tries: int = FURTHER_TRIES) -> None:
    """Sends requests evenly to one limiter first, and refused ones to others."""
    for n in range(int(per_s * ms / 1000.0)):
        world.at(n * 1000.0 / per_s, lambda: world.send_request(
            tenant, node, world.now + DEADLINE_MS, further_tries))


@pytest.mark.simulation
@pytest.mark.parametrize("cut_from_limiters", [False, True])
def test_an_owner_cut_off_from_the_core_does_not_admit_the_rate_beside_its_successor(
        cut_from_limiters: bool) -> None:
    world = founded_world(1)
    owner = leader(world)
    record = owned_by(world, owner)
    others = list(world.machines.values()) if cut_from_limiters else world.cores()
    world.cut_off(owner, [machine for machine in others if machine is not owner], one_way=False)
    world.run(SILENT_MS)
    send(world, record.allowance.tenant, owner.node, 6 * RATE, CUT_MS - SILENT_MS)
    world.run(CUT_MS - SILENT_MS)
    assert record.excess() <= 0, record.describe()


@pytest.mark.simulation
@pytest.mark.parametrize(("seed", "fault"), [(25, "cut-owner"), (36, "cut-owner"), (39, "cut-owner"),
                                             *enumerate(sorted(FAULTS), 1)])
def test_no_limit_is_exceeded_on_random_days(seed: int, fault: str) -> None:
    outcome, _ = play_day(Task(seed, fault))
    assert outcome.runs > 100 and not outcome.broken, outcome.broken


@pytest.mark.simulation
def test_leases_end_when_their_owner_is_cut_off() -> None:
    assert excess_after_a_cut_in_the_middle() <= 0


def excess_after_a_cut_in_the_middle() -> float:
    """A tenant sends to its owner alone, which holds leases when it is cut off, and later to the others."""
    world = founded_world(2)
    owner = leader(world)
    record = owned_by(world, owner)
    tenant, others = record.allowance.tenant, [m for m in world.machines.values() if m is not owner]
    send(world, tenant, owner.node, 3 * RATE, CUT_MS, further_tries=0)
    world.run(1_500.0)
    world.cut_off(owner, others, one_way=False)
    world.run(SILENT_MS)
    for machine in others:
        send(world, tenant, machine.node, RATE, CUT_MS - SILENT_MS, further_tries=0)
    world.run(CUT_MS)
    return record.excess()


# Injected faults, which the checks above must detect.


def use_all_shares(self: Quotas, now: float, owned: OwnedBucket) -> None:
    owned.shares.used, owned.bucket.part = set(self._ring), 1.0


def leases_without_end(self: HeldShares, *arguments: Any) -> float:
    self.leases = dict.fromkeys(self.leases, math.inf)
    return UPDATE(self, *arguments)


UPDATE = HeldShares.update


@pytest.mark.simulation
@pytest.mark.parametrize(("owner", "name", "replacement"), [
    (Quotas, "_update_shares", use_all_shares), (HeldShares, "update", leases_without_end)])
def test_a_missing_guard_of_leases_is_detected(owner: type, name: str, replacement: object,
                                               monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(owner, name, replacement)
    assert excess_after_a_cut_in_the_middle() > 0
