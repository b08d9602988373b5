"""Stateful test of the merging of servers and members.

Three core machines exchange their rows at any time, and their tables are compared with a plain record of what
the servers and limiters themselves reported.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from larklb.membership.members import LEAVING, UP, Member, Members
from larklb.registry.registry import DRAINING, GONE, STEADY, Registry, Server

pytestmark = pytest.mark.simulation

CORES = st.integers(0, 2)
IDS = st.sampled_from(("i-1", "i-2", "i-3"))
NODES = st.sampled_from(("n-1", "n-2", "n-3"))
RANK = {STEADY: 0, DRAINING: 1, GONE: 2}


class Exchange(RuleBasedStateMachine):
    """The tables of three core machines.

    The model is ``reports``, all reports of each server in order, and ``latest``, the latest report of each
    limiter.  Hypothesis orders rules and their arguments by name: renaming them can change the examples."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.registries = [Registry(1_500.0) for _ in range(3)]
        self.members = [Members() for _ in range(3)]
        self.reports: dict[str, list[Server]] = {}
        self.shown: list[dict[str, int]] = [{} for _ in range(3)]
        self.latest: dict[str, Member] = {}

    def _report(self, name: str, state: str) -> Server | None:
        reports = self.reports.setdefault(name, [])
        if reports and RANK[reports[-1].state] > RANK[state]:
            return None                        # a server never returns to an earlier state
        report = Server(name, "orders", "10.0.0.1:80", "north", 4, state=state, sequence=len(reports) + 1)
        reports.append(report)
        return report

    @rule(core=CORES, name=IDS, state=st.sampled_from((STEADY, DRAINING)))
    def deliver_heartbeat(self, core: int, name: str, state: str) -> None:
        if (report := self._report(name, state)) is not None:
            self.registries[core].update(self.now, report, True)

    @rule(core=CORES, name=IDS, back=st.integers(0, 5))
    def late_heartbeat(self, core: int, name: str, back: int) -> None:
        reports = [r for r in self.reports.get(name, ()) if r.state != GONE]
        if reports:
            self.registries[core].update(self.now, reports[max(0, len(reports) - 1 - back)], True)

    @rule(core=CORES, name=IDS)
    def leave(self, core: int, name: str) -> None:
        if name in self.registries[core].by_id and self._report(name, GONE) is not None:
            self.registries[core].mark_gone(self.now, name)

    @rule(core=CORES, node=NODES, leaving=st.booleans(), after_restart=st.booleans())
    def limiter_heartbeat(self, core: int, node: str, leaving: bool, after_restart: bool) -> None:
        known = self.latest.get(node)
        incarnation = 1 if known is None else known.incarnation + after_restart
        left = known is not None and known.incarnation == incarnation and known.state == LEAVING
        state = LEAVING if leaving or left else UP
        self.latest[node] = member = Member(node, "10.0.0.2", "north", incarnation, state=state)
        self.members[core].update(self.now, member, True)

    @rule(one=CORES, other=CORES)
    def exchange(self, one: int, other: int) -> None:
        for here, there in ((one, other), (other, one)):
            for known in list(self.registries[here].by_id.values()):
                self.registries[there].update(self.now, known.server, False, False)
            for record in list(self.members[here].by_node.values()):
                self.members[there].update(self.now, record.member, False, False)
        for name in self.registries[one].by_id:
            a, b = self.registries[one].by_id[name].server, self.registries[other].by_id[name].server
            assert (a.state, a.address) == (b.state, b.address), "both have the newer record"
        for node in self.members[one].by_node:
            m, n = self.members[one].by_node[node].member, self.members[other].by_node[node].member
            assert (m.incarnation, m.state == LEAVING) == (n.incarnation, n.state == LEAVING)

    @rule(core=CORES)
    def number_members(self, core: int) -> None:
        self.members[core].assign_ring_numbers(1 + core)
        numbers = [r.member.ring_number for r in self.members[core].by_node.values()]
        assert len(set(numbers)) == len(numbers) and min(numbers, default=0) >= 0

    @rule(core=CORES)
    def restart(self, core: int) -> None:
        self.registries[core], self.members[core] = Registry(1_500.0), Members()
        self.shown[core] = {}

    @rule(ms=st.sampled_from((100.0, 2_000.0)))
    def wait(self, ms: float) -> None:
        self.now += ms
        for registry, members in zip(self.registries, self.members, strict=True):
            registry.expire(self.now)
            members.expire(self.now)

    @invariant()
    def states_never_go_back(self) -> None:
        for registry, shown in zip(getattr(self, "registries", ()), getattr(self, "shown", ()), strict=True):
            for name, known in registry.by_id.items():
                rank = RANK[known.server.state]
                assert rank >= shown.get(name, 0), "a server that leaves never looks steady again"
                assert rank <= max(RANK[r.state] for r in self.reports[name]), "nobody said so"
                shown[name] = rank
        for members, shown in zip(getattr(self, "members", ()), getattr(self, "shown", ()), strict=True):
            for node, record in members.by_node.items():
                assert shown.get(node, 0) <= record.member.incarnation <= self.latest[node].incarnation
                shown[node] = record.member.incarnation


TestExchange = Exchange.TestCase
TestExchange.settings = settings(max_examples=300, stateful_step_count=50, deadline=None, derandomize=True)
