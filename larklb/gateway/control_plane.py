"""One limiter's part in the control plane: what it knows of the others, and where calls of servers and
operators go.

Without I/O: words come in by ``heard`` and leave by ``post``, time is an argument, and calls are answered
through ``done``. A core machine settles servers' calls itself while it is in contact with a majority of the
core, and operators' calls while it leads; all other calls are passed on, to the home or to the leader.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from attrs import evolve

from larklb.consensus.timing import Timing
from larklb.consensus.words import Answer
from larklb.gateway.control import AWAY, Settled, settled_of
from larklb.gateway.core import Core
from larklb.gateway.forwarding import After, Forwarding, Word, answer_to
from larklb.gateway.settings import Settings
from larklb.membership.members import LEAVING, UP, Member, member_of
from larklb.registry.registry import Server, server_of
from larklb.registry.replica import RegistryReplica
from larklb.registry.subscriber import Subscriber

log = logging.getLogger("control")

FETCH_MS = 300.0  # after a configuration was asked for and did not come
PEEK_MS = 1_000.0  # between looks at another core machine than the home
MOST_HOPS = 3  # of a call that is passed on: to the home, to the leader, and to the next leader
UNCONFIRMED_PART = 0.5  # of contactMs: then a core machine that hears no leader uses its disk's version

CORE_KINDS = frozenset(("raft", "beat", "has", "rows", "known", "sync", "synced", "range", "fetch", "peek"))
KINDS = CORE_KINDS | {"delta", "offer", "hello", "cores", "config", "call", "answer"}

Done = Callable[[Settled], object]


class ControlPlane:
    """Of one life of a process.

    ``take`` gets each configuration that may be put in force here, ``version`` tells the one that is;
    ``changed`` is called after members or servers have changed."""

    def __init__(
        self,
        settings: Settings,
        me: Member,
        session: str,
        now: float,
        *,
        post: Callable[[str, Word], object],
        after: After,
        take: Callable[[dict[str, Any]], object],
        version: Callable[[], int],
        changed: Callable[[], object],
        rng: random.Random,
    ) -> None:
        self.settings, self.post, self.take, self.version, self.rng = settings, post, take, version, rng
        self.born = now
        self.core: Core | None = None
        scale = Timing.of(settings.bounds.contact, settings.bounds.convergence).scale
        seeds = [host for host, _ in settings.seeds]
        self.subscriber = Subscriber(me, seeds, scale=scale, changed=changed)
        self.forwarding = Forwarding(session, post, after)
        self.fetched_at = self.peeked_at = float("-inf")

    # The loop's turn ----------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Called every 50 ms at a core machine, every 100 ms at others."""
        if self.core is not None:
            self.core.tick(now, self.subscriber.me)
            self.core.flush()
            self._take_own(now, self.core)
        self.subscriber.have_version = self.version()
        self.subscriber.tick(now)
        self.flush()
        if self.subscriber.offered[0] > self.version():
            self._fetch(now, self.subscriber.home_ip())
        if now - self.peeked_at >= PEEK_MS:
            self.peeked_at = now
            if other := self.subscriber.another_core(now, self.rng.random()):
                self.post(other, {"k": "peek"})  # a home that is cut off offers nothing new

    def _take_own(self, now: float, core: Core) -> None:
        """What the disk holds serves here once a leader has confirmed it; behind a cut it is the last good
        one, and better than none, but only here: nobody else is told."""
        if core.replica.current is None:
            return
        patience = UNCONFIRMED_PART * self.settings.bounds.contact
        if core.replica.confirmed or now - self.born >= patience:
            self.take(core.replica.current)

    def flush(self) -> None:
        """Sends what the subscriber has to say."""
        out, self.subscriber.out = self.subscriber.out, []
        for ip, word in out:
            self.post(ip, word)

    def leave(self, now: float) -> None:
        """The process is about to end in order: the others are told, and another machine leads."""
        self.subscriber.me = evolve(self.subscriber.me, state=LEAVING)
        self.subscriber.beat(now)
        self.flush()
        if self.core is not None:
            self.core.leave(now)

    # Words of other limiters --------------------------------------------------------------

    def heard(self, now: float, word: Word) -> None:
        """One word of ``KINDS``; KeyError, TypeError or ValueError where it can't be used."""
        ip, kind = str(word["f"]), word["k"]
        if kind in CORE_KINDS:
            if self.core is not None:
                self._heard_at_core(now, ip, word, self.core)
        elif kind == "delta":
            self.subscriber.delta(now, word)
            if self.subscriber.offered[0] > self.version():
                self._fetch(now, ip)
        elif kind == "offer":
            if int(word["cfg"][0]) > self.version():
                self._fetch(now, ip)
        elif kind == "hello":
            self.subscriber.hello(now, ip, word)
            self._meet(now, [[word["s"], word["m"]]])
        elif kind == "cores":
            self.subscriber.told_cores(now, word)
            self._meet(now, word["c"])
        elif kind == "config":
            self.take(word["doc"])
        elif kind == "call":
            self._called(now, ip, word)
        elif kind == "answer":
            self.forwarding.answered(ip, word)
        self.flush()

    def _heard_at_core(self, now: float, ip: str, word: Word, core: Core) -> None:
        home, kind = core.home, word["k"]
        if kind == "peek":
            if core.may_tell(now):
                self.post(ip, {"k": "offer", "cfg": core.offer})
        elif kind == "raft":
            core.step(now, str(word["d"]), word["m"])
        elif kind == "beat":
            home.beat(now, ip, word, core.offer)
        elif kind == "has":
            home.has(now, word)
        elif kind == "rows":
            home.rows(now, ip, word)
        elif kind == "known":
            home.pledge_known(now, word)
        elif kind == "sync":
            home.sync(now, ip, word)
        elif kind == "synced":
            home.synced(word)
        elif kind == "range":
            home.ranges(now, ip, word)
        elif kind == "fetch" and core.replica.current is not None and core.may_tell(now):
            self.post(ip, {"k": "config", "doc": core.replica.current})
        home.push(now, core.offer)
        core.flush()

    def _meet(self, now: float, rows: list[Any]) -> None:
        if self.core is None:
            return
        for node, row in rows:
            member = member_of(str(node), row)
            if member.disk:
                self.core.home.meet(now, member)

    def _fetch(self, now: float, ip: str) -> None:
        if now - self.fetched_at < FETCH_MS:
            return
        self.fetched_at = now
        if ip and ip != self.settings.ip:
            self.post(ip, {"k": "fetch", "v": self.version()})

    # Calls of servers ---------------------------------------------------------------------

    def server_call(self, now: float, call: Server | str, done: Done) -> None:
        """A server's beat, or the id of one that leaves: settled by a core machine, this one or the home."""
        core, home = self.core, self.subscriber.home_ip()
        if core is not None and (core.home.ready or not home or home == self.settings.ip):
            if not core.home.fenced(now):
                self._settle_server(now, core.home, call, done)
                return
        if not home or home == self.settings.ip:
            done(AWAY)
            return
        body = [call.id, call.row()] if isinstance(call, Server) else [call, None]
        self._pass_on(home, "server", body, done)

    def _settle_server(self, now: float, home: RegistryReplica, call: Server | str, done: Done) -> None:
        assert self.core is not None

        def settle(known: bool) -> None:
            done(Settled(200, report_to=self._home_of(call)) if known else AWAY)

        if isinstance(call, Server):
            home.heartbeat(now, call, settle)
        else:
            home.leave(now, call, settle)
        home.push(now, self.core.offer)
        self.core.flush()

    def _home_of(self, call: Server | str) -> str:
        """Where a server's later beats go: a core machine of its zone, this one if there is none."""
        assert self.settings.control is not None
        port = self.settings.control[1]
        if isinstance(call, Server) and call.zone != self.settings.zone:
            members = self.subscriber.members.values()
            near = [m for m in members if m.disk and m.zone == call.zone and m.state == UP]
            if near:
                return f"{min(near, key=lambda m: m.node).ip}:{port}"
        return f"{self.settings.ip}:{port}"

    # Calls of operators -------------------------------------------------------------------

    def operator_call(self, now: float, call: Word, done: Done, hops: int = 0) -> None:
        """An operator's call (kind, base, body as text): settled by the leader, this one or another;
        ``hops``: how often it was passed on."""
        if self.core is not None and self.core.replica.is_leader:
            self._settle_operator(now, self.core, call, done)
            return
        ip = self.core.leader_ip() if self.core is not None else self.subscriber.home_ip()
        if not ip or ip == self.settings.ip or hops >= MOST_HOPS:
            done(AWAY)
            return
        self._pass_on(ip, "operator", call, done, hops + 1)

    @staticmethod
    def _settle_operator(now: float, core: Core, call: Word, done: Done) -> None:
        def settle(answer: Answer) -> None:
            done(Settled(answer.status, answer.text, answer.document, problems=answer.problems))

        core.call(now, str(call["kind"]), int(call["base"]), str(call["body"]), settle)

    # Passing on ---------------------------------------------------------------------------

    def _pass_on(self, ip: str, what: str, body: Any, done: Done, hops: int = 1) -> None:
        def answered(word: Word | None) -> None:
            done(AWAY if word is None else settled_of(word))

        self.forwarding.ask(ip, {"what": what, "body": body, "h": hops}, answered)

    def _called(self, now: float, ip: str, call: Word) -> None:
        def done(settled: Settled) -> None:
            self.post(ip, answer_to(call, settled.word()))

        body = call["body"]
        if call["what"] == "server":
            name, row = body
            self.server_call(now, server_of(name, row) if row is not None else str(name), done)
        else:
            self.operator_call(now, body, done, int(call["h"]))
