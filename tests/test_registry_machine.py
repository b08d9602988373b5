"""Registrations and members at three core machines that exchange their rows at any time, beside a plain
record of what servers and limiters themselves said."""

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
    """Three core machines' tables; ``said`` and ``lives`` are the plain model: the furthest word of each."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.registries = [Registry(1_500.0) for _ in range(3)]
        self.members = [Members() for _ in range(3)]
        self.said: dict[str, list[Server]] = {}
        self.shown: list[dict[str, int]] = [{} for _ in range(3)]
        self.lives: dict[str, Member] = {}

    def _say(self, name: str, state: str) -> Server | None:
        words = self.said.setdefault(name, [])
        if words and RANK[words[-1].state] > RANK[state]:
            return None                        # a server does not take back that it leaves
        word = Server(name, "orders", "10.0.0.1:80", "north", 4, state=state, sequence=len(words) + 1)
        words.append(word)
        return word

    @rule(core=CORES, name=IDS, state=st.sampled_from((STEADY, DRAINING)))
    def beat(self, core: int, name: str, state: str) -> None:
        if (word := self._say(name, state)) is not None:
            self.registries[core].update(self.now, word, True)

    @rule(core=CORES, name=IDS, back=st.integers(0, 5))
    def late_word(self, core: int, name: str, back: int) -> None:
        words = [w for w in self.said.get(name, ()) if w.state != GONE]
        if words:
            self.registries[core].update(self.now, words[max(0, len(words) - 1 - back)], True)

    @rule(core=CORES, name=IDS)
    def leave(self, core: int, name: str) -> None:
        if name in self.registries[core].by_id and self._say(name, GONE) is not None:
            self.registries[core].mark_gone(self.now, name)

    @rule(core=CORES, node=NODES, leaving=st.booleans(), again=st.booleans())
    def limiter(self, core: int, node: str, leaving: bool, again: bool) -> None:
        known = self.lives.get(node)
        life = 1 if known is None else known.incarnation + again
        left = known is not None and known.incarnation == life and known.state == LEAVING
        state = LEAVING if leaving or left else UP
        self.lives[node] = member = Member(node, "10.0.0.2", "north", life, state=state)
        self.members[core].update(self.now, member, True)

    @rule(one=CORES, other=CORES)
    def exchange(self, one: int, other: int) -> None:
        for here, there in ((one, other), (other, one)):
            for known in list(self.registries[here].by_id.values()):
                self.registries[there].update(self.now, known.server, False, False)
            for heard in list(self.members[here].by_node.values()):
                self.members[there].update(self.now, heard.member, False, False)
        for name in self.registries[one].by_id:
            a, b = self.registries[one].by_id[name].server, self.registries[other].by_id[name].server
            assert (a.state, a.address) == (b.state, b.address), "both have the newer record"
        for node in self.members[one].by_node:
            m, n = self.members[one].by_node[node].member, self.members[other].by_node[node].member
            assert (m.incarnation, m.state == LEAVING) == (n.incarnation, n.state == LEAVING)

    @rule(core=CORES)
    def number(self, core: int) -> None:
        self.members[core].assign_ring_numbers(1 + core)
        numbers = [h.member.ring_number for h in self.members[core].by_node.values()]
        assert len(set(numbers)) == len(numbers) and min(numbers, default=0) >= 0

    @rule(core=CORES)
    def restart(self, core: int) -> None:
        self.registries[core], self.members[core] = Registry(1_500.0), Members()
        self.shown[core] = {}

    @rule(ms=st.sampled_from((100.0, 2_000.0)))
    def time_goes_on(self, ms: float) -> None:
        self.now += ms
        for registry, members in zip(self.registries, self.members, strict=True):
            registry.expire(self.now)
            members.expire(self.now)

    @invariant()
    def nothing_goes_back(self) -> None:
        for registry, shown in zip(getattr(self, "registries", ()), getattr(self, "shown", ()), strict=True):
            for name, known in registry.by_id.items():
                rank = RANK[known.server.state]
                assert rank >= shown.get(name, 0), "a server that leaves never looks steady again"
                assert rank <= max(RANK[w.state] for w in self.said[name]), "nobody said so"
                shown[name] = rank
        for members, shown in zip(getattr(self, "members", ()), getattr(self, "shown", ()), strict=True):
            for node, heard in members.by_node.items():
                assert shown.get(node, 0) <= heard.member.incarnation <= self.lives[node].incarnation
                shown[node] = heard.member.incarnation


TestExchange = Exchange.TestCase
TestExchange.settings = settings(max_examples=300, stateful_step_count=50, deadline=None, derandomize=True)
