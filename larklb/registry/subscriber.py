"""How a limiter learns of the others and of servers: from its home, the first live core machine in its order.

Messages in, messages out; time is an argument in ms.  ``out`` collects what is to be sent, with its address.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from larklb.membership.members import BEAT_MS, LEAVING, UP, Member, member_of, order
from larklb.membership.messages import Row, Rows
from larklb.registry.messages import Beat, Cores, Delta, Has, Hello, NotReady, Offer
from larklb.registry.registry import GONE, Server, merged, server_of
from larklb.registry.replica import Outgoing

HELLO_MS = 120.0  # between messages to the seeds while there is no home, ...
HELLO_CALM_MS = 2_000.0  # ... and while there is one, from a core machine: others must find it
SILENT_MS = 1_100.0  # without a message, two beats lost, until another home is tried
SHUN_MS = 2_500.0  # a home that was silent is not tried again for so long
UNSURE_MS = 5_000.0  # what a new home does not know is kept for so long: it may know more soon
CORES_MS = 30_000.0  # a core machine of which nothing was heard for so long is no home


@define
class Core:
    """A core machine as a possible home."""

    member: Member
    at: float
    shunned: float = -math.inf


@define
class Subscriber:
    """Of one life of a limiter."""

    me: Member
    seeds: list[str]  # addresses of limiters that may know core machines
    scale: float = 1.0  # of the times below: less than 1 where machines count as in touch sooner than 3 s
    out: Outgoing = field(factory=list)
    cores: dict[str, Core] = field(factory=dict)
    home: str = ""
    life: int = 0  # of the home
    have: int = 0
    whole: bool = False  # the table of this home has been seen to its end
    ever: bool = False  # ... or of any home
    heard: float = -math.inf  # a message of the home
    beat_at: float = -math.inf
    hello_at: float = -math.inf
    members: dict[str, Member] = field(factory=dict)
    servers: dict[str, Server] = field(factory=dict)
    unsure: dict[str, float] = field(factory=dict)  # servers, and until when
    unsure_members: dict[str, float] = field(factory=dict)
    fresh: dict[str, Server] = field(factory=dict)  # while a table is seen for the first time
    fresh_members: dict[str, Member] = field(factory=dict)
    offered: Offer = (0, "")
    changed: Callable[[], object] = bool  # called after members or servers have changed

    # Core machines ------------------------------------------------------------------------

    def core(self, now: float, member: Member) -> None:
        """A core machine was heard of."""
        known = self.cores.get(member.node)
        if known is None:
            self.cores[member.node] = Core(member, now)
        else:
            if member.life >= known.member.life:
                if member.life > known.member.life:
                    known.shunned = -math.inf
                known.member = member
            known.at = max(known.at, now)

    def hello(self, now: float, message: Hello) -> None:
        """Another limiter looks for core machines."""
        told = member_of(message.sender, message.member)
        if told.disk:
            self.core(now, told)
        self.out.append((message.address, Cores(cores=self._cores(now))))

    def told_cores(self, now: float, message: Cores) -> None:
        """Core machines that another limiter knows."""
        for node, row in message.cores:
            if node not in self.cores:
                self.core(now, member_of(node, row))
        if not self.home:
            self.tick(now)

    def _cores(self, now: float) -> Rows:
        if self.me.disk:
            self.core(now, self.me)
        return [(n, c.member.row()) for n, c in self.cores.items() if now - c.at < CORES_MS]

    def _up(self, node: str) -> bool:
        """Whether the home told of it as up: it says so once, and again only when that changes."""
        member = self.members.get(node)
        return member is not None and member.state == UP

    def _down(self, node: str) -> bool:
        """Whether the last home that told of it took it for down, or about to end."""
        member = self.members.get(node)
        return member is not None and member.state != UP

    def _next_home(self, now: float) -> str:
        known = {n: c for n, c in self.cores.items() if now - c.at < CORES_MS or self._up(n)}
        ranked = order(self.me.node, self.me.zone, (c.member for c in known.values()))
        free = [m.node for m in ranked if known[m.node].shunned <= now]
        if free:
            # One that is down costs the time until it counts as silent: only where no other is left.
            return next((node for node in free if not self._down(node)), free[0])
        return min(ranked, key=lambda m: known[m.node].shunned).node if ranked else ""

    # Beats --------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Called every 50 ms or so."""
        if self.me.disk:
            self.core(now, self.me)
        every = HELLO_CALM_MS if self.whole else HELLO_MS
        if (not self.whole or self.me.disk) and now - self.hello_at >= every:
            self.hello_at = now
            hello = Hello(member=self.me.row())
            self.out.extend((seed, hello) for seed in self.seeds if seed != self.me.ip)
        if self.home and now - self.heard > self.scale * SILENT_MS:
            if self.home in self.cores:
                self.cores[self.home].shunned = now + self.scale * SHUN_MS
            self._turn_to(now, self._next_home(now))
        elif not self.home:
            self._turn_to(now, self._next_home(now))
        elif now - self.beat_at >= self.scale * BEAT_MS:
            best = self._next_home(now)  # the first in the order is back
            if best and best != self.home:
                self._turn_to(now, best)
        if self.home and now - self.beat_at >= self.scale * BEAT_MS:
            self.beat(now)
        changed = False
        kept: dict[str, float]
        table: dict[str, Any]
        for kept, table in ((self.unsure, self.servers), (self.unsure_members, self.members)):
            for name in [name for name, until in kept.items() if now >= until]:
                del kept[name]
                changed = table.pop(name, None) is not None or changed
        if changed:
            self.changed()

    def _turn_to(self, now: float, node: str) -> None:
        if node == self.home and node:
            self.heard = now
            return
        self.home, self.life, self.have, self.whole = node, 0, 0, False
        self.fresh, self.fresh_members = {}, {}
        self.heard, self.beat_at = now, -math.inf

    def beat(self, now: float) -> None:
        """Tells the home of this limiter, and what it has."""
        if self.home not in self.cores:
            return
        self.beat_at = now
        of = (self.home, self.life)
        beat = Beat(member=self.me.row(), of=of, have=self.have)
        self.out.append((self.cores[self.home].member.ip, beat))

    def another_core(self, now: float, chance: float) -> str:
        """The address of some core machine beside the home, empty where none is known."""
        others = sorted(
            c.member.ip
            for n, c in self.cores.items()
            if n not in (self.home, self.me.node) and now - c.at < CORES_MS
        )
        return others[int(chance * len(others))] if others else ""

    def home_ip(self) -> str:
        """The home's address, empty where there is none."""
        return self.cores[self.home].member.ip if self.home in self.cores else ""

    # What comes back ----------------------------------------------------------------------

    def _heard_home(self, now: float, sender: str) -> bool:
        """A message came; whether it is of the home."""
        if sender != self.home:
            return False
        self.heard = now
        if self.home in self.cores:
            self.cores[self.home].at = now
        return True

    def not_ready(self, now: float, message: NotReady) -> None:
        """The home sends its subscribers to another one that knows more, where there is one."""
        if not self._heard_home(now, message.sender):
            return
        if any(c.shunned <= now for n, c in self.cores.items() if n != self.home):
            self.cores[self.home].shunned = now + self.scale * SHUN_MS / 2
            self._turn_to(now, self._next_home(now))

    def delta(self, now: float, message: Delta) -> None:
        """The home's table has changed, or the home shows that it lives."""
        if not self._heard_home(now, message.sender):
            return
        life, start = message.life, message.start
        if life != self.life or not start and self.have:
            if start:
                return  # of a life of which nothing is known yet
            self.life, self.have, self.whole = life, 0, False
            self.fresh, self.fresh_members = {}, {}
        number, granted, known_life = message.you
        if known_life > self.me.life:  # this node's clock went back: a former life looks newer
            self.me = evolve(self.me, life=known_life + 1)
        if granted > self.me.granted:
            self.me = evolve(self.me, number=number, granted=granted)
        if message.offer[0] > self.offered[0]:
            self.offered = message.offer
        if start != self.have:
            return
        for kind, key, row in message.rows:
            self._take(now, kind, key, row)
        self.have = message.to  # not before: rows that can't be read are to come again
        if self.have >= message.head and not self.whole:
            self._seen_whole(now)
        if message.rows:
            has = Has(of=(self.home, self.life), have=self.have)
            self.out.append((self.home_ip(), has))
            if self.whole:
                self.changed()

    def _take(self, now: float, kind: str, key: str, row: Row | None) -> None:
        if kind == "m":
            members = self.members if self.whole else self.fresh_members
            if row is None:
                members.pop(key, None)
                return
            member = members[key] = member_of(key, row)
            self.unsure_members.pop(key, None)
            if member.disk and member.state == UP:
                self.core(now, member)
            elif member.state == LEAVING and key in self.cores and key != self.me.node:
                self.cores[key].shunned = math.inf  # until its next life: it is about to end
        elif kind == "s":
            table = self.servers if self.whole else self.fresh
            if row is None:
                table.pop(key, None)
                return
            told = server_of(key, row)
            if key in self.servers:  # what a former home said of a drain holds
                told = evolve(merged(told, self.servers[key]), silent=told.silent, cold=told.cold)
            table[key] = told
            self.unsure.pop(key, None)

    def _seen_whole(self, now: float) -> None:
        for name, server in self.servers.items():
            if name not in self.fresh and server.state != GONE:
                self.fresh[name] = server
                self.unsure.setdefault(name, now + self.scale * UNSURE_MS)
        for node, member in self.members.items():
            if node not in self.fresh_members:
                self.fresh_members[node] = member
                self.unsure_members.setdefault(node, now + self.scale * UNSURE_MS)
        self.servers, self.members = self.fresh, self.fresh_members
        self.fresh, self.fresh_members = {}, {}
        self.whole = self.ever = True
        self.changed()

    def numbers(self) -> dict[int, str]:
        """Ring numbers of the limiters that are up, with their nodes."""
        found: dict[int, str] = {}
        for node, member in self.members.items():
            if member.number >= 0 and member.state == UP and node <= found.get(member.number, node):
                found[member.number] = node
        return found
