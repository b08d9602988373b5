"""Quotas of tenants while limiters are in trouble, with the real control plane in simulated time."""

from __future__ import annotations

import math
from functools import partial

import pytest

from larklb.admission.quota_records import Allowance, OwnedBucket
from larklb.admission.quotas import Quotas
from larklb.admission.share_leases import HeldShares, ShareGrants
from larklb.lab.control_callers import Operators
from larklb.lab.control_world import Machine
from larklb.lab.quota_faults import FAULTS, FOUNDING_MS, Task, play_day
from larklb.lab.quota_world import DEADLINE_MS, FURTHER_TRIES, QuotaWorld, TenantRecord

RATE = BURST = 25.0
CUT_MS, SILENT_MS = 10_000.0, 3_500.0


def founded_world(seed: int) -> QuotaWorld:
    world = QuotaWorld(seed, [Allowance(f"tenant{n}", RATE, BURST) for n in range(60)])
    world.override_bounds(contact_ms=3000.0, convergence_ms=4000.0)
    for machine in world.machines.values():
        world.at(world.rng.uniform(0, 300), partial(world.start, machine))
    Operators(world).order(0, 1)
    world.run(FOUNDING_MS)
    world.bootstrap = False
    return world


def leader(world: QuotaWorld) -> Machine:
    return next(m for m in world.cores() if m.core is not None and m.core.replica.is_leader)


def owned_by(world: QuotaWorld, machine: Machine) -> TenantRecord:
    return next(r for t, r in world.records.items() if world.owner_nodes(t) == [machine.node])


def send(world: QuotaWorld, tenant: str, node: str, per_s: float, ms: float) -> None:
    """Sends requests evenly to one limiter first, and refused ones to others."""
    for n in range(int(per_s * ms / 1000.0)):
        world.at(n * 1000.0 / per_s, lambda: world.send_request(
            tenant, node, world.now + DEADLINE_MS, FURTHER_TRIES))


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


# Injected faults, which the checks above must detect.


def use_all_shares(self: Quotas, now: float, owned: OwnedBucket) -> None:
    owned.shares.used, owned.bucket.part = set(self._ring), 1.0


def lease_to_everyone(self: ShareGrants, now: float, tenant: str, owner: int) -> float:
    return -math.inf


def leases_without_end(self: HeldShares, now: float, available: set[int], unavailable: set[int],
                       tokens: float, minimum: float) -> float:
    self.leases = dict.fromkeys(self.leases, math.inf)
    return UPDATE(self, now, available, unavailable, tokens, minimum)


UPDATE = HeldShares.update


@pytest.mark.simulation
@pytest.mark.parametrize(("seed", "owner", "name", "replacement"), [
    (5, Quotas, "_update_shares", use_all_shares), (23, ShareGrants, "grant", lease_to_everyone),
    (23, HeldShares, "update", leases_without_end)])
def test_a_missing_guard_of_leases_is_detected(seed: int, owner: type, name: str, replacement: object,
                                               monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(owner, name, replacement)
    if name == "grant":
        monkeypatch.setattr(ShareGrants, "held_for", lambda *_: 0.0)
    outcome, _ = play_day(Task(seed, "cut-owner"))
    assert outcome.broken
