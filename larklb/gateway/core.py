"""A core machine's part of the control plane: the registry's replica and the configuration's, under one
clock.

Without I/O: messages leave by ``send``, saves by ``save``, whose end is told by ``saved``.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from larklb.consensus.errors import InvalidChangeError
from larklb.consensus.interface import Answer, Call, Ready
from larklb.consensus.replica import Replica
from larklb.consensus.timing import Timing
from larklb.gateway.messages import Message, Raft
from larklb.gateway.settings import Settings
from larklb.membership.members import Member
from larklb.registry.messages import ConfigVersion
from larklb.registry.replica import RegistryReplica
from larklb.schema import configuration as schema
from larklb.schema.amendments import amend
from larklb.schema.document import digest, parse
from larklb.schema.errors import InvalidError, SchemaError

log = logging.getLogger("core")

# The same core machines seen for so long, before a group is founded: what counts here is how far apart their
# processes start, whatever the terms.
FOUND_QUIET_MS = 1_200.0

Send = Callable[[str, Message], object]
Save = Callable[[Ready], object]


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    """The document that a change makes of another; InvalidChangeError where it is invalid."""
    try:
        if call.kind == "replace":
            changed = call.body
        elif document is None:
            raise InvalidChangeError(400, "there is no configuration that could be amended")
        else:
            changed = amend(document, call.body)
        schema.check(changed, int(document["version"]) if document is not None else 0)
    except SchemaError as error:
        problems = error.problems if isinstance(error, InvalidError) else ()
        raise InvalidChangeError(400, str(error), problems) from error
    return changed


class Core:
    """Both replicas of one life of a core machine."""

    def __init__(
        self,
        settings: Settings,
        me: Member,
        stored: dict[str, bytes] | None,
        now: float,
        seed: int,
        send: Send,
        save: Save,
    ) -> None:
        """``me`` has the disk's id, ``stored`` is what its saves left."""
        self.settings, self.disk, self.send, self.save = settings, me.disk, send, save
        timing = Timing.from_bounds(settings.bounds.contact_ms, settings.bounds.convergence_ms)
        self.home = RegistryReplica(
            me, settings.heartbeat_period_ms, now, time_scale=timing.scale, bootstrap=settings.bootstrap
        )
        self.replica = Replica(
            me.disk,
            settings.node,
            stored,
            now,
            seed,
            tolerance=settings.tolerance,
            apply=apply,
            timing=timing,
        )
        self.started_at = self.now = now
        self.seen: tuple[frozenset[str], float] = (frozenset(), now)
        self.waiting: dict[str, Callable[[Answer], object]] = {}
        self.tickets = 0
        self.offer: ConfigVersion = (0, "")
        self.told_version = 0

    # Operators' calls ---------------------------------------------------------------------

    def call(self, now: float, kind: str, base: int, body: str, done: Callable[[Answer], object]) -> None:
        """An operator's call at the leader; ``done`` is told what became of it, once."""
        try:
            document = parse(body.encode()) if kind != "read" else {}
        except SchemaError as error:
            done(Answer(400, str(error), None))
            return
        identity = digest({"kind": kind, "base": base, "body": document})
        self.tickets += 1
        ticket = str(self.tickets)
        self.waiting[ticket] = done
        self.replica.call(now, ticket, Call(kind, base, document, identity))
        self.process_ready(now)

    # The loop's turn ----------------------------------------------------------------------

    def tick(self, now: float, me: Member) -> None:
        """Called every 50 ms."""
        self.now = now
        members = self.home.members
        cores = {**members.cores_by_disk(now, self.home.core_present_ms), self.disk: self.settings.node}
        self._found(now, cores)
        self.replica.tick(now, cores, members.leaving_disks())
        self.process_ready(now)
        epoch = self.replica.term if self.replica.has_recent_quorum(now) else None
        self.home.tick(now, me, self.replica.voters if self.replica.founded else {}, epoch, self.offer)

    def _found(self, now: float, cores: Mapping[str, str]) -> None:
        if self.replica.founded or not self.settings.bootstrap:
            return
        there = frozenset(cores)
        if there != self.seen[0]:
            self.seen = (there, now)
        enough = (
            len(there) >= 2 * self.settings.tolerance + 1
            or now - self.started_at > self.settings.bounds.contact_ms
        )
        first = min(cores, key=lambda disk: (cores[disk], disk))
        if enough and first == self.disk and now - self.seen[1] >= FOUND_QUIET_MS:
            self.seen = (there, now)
            log.info("core: founds a group of %d.", len(there))
            self.replica.propose_founding(now, dict(cores))

    def step(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """A message of another replica."""
        self.replica.step(now, sender, message)
        self.process_ready(now)

    def leave(self, now: float) -> None:
        """This machine is about to end in order."""
        self.replica.transfer_leadership(now)
        self.process_ready(now)

    def may_serve_configuration(self, now: float) -> bool:
        """Whether others may be told the configuration that is known here: it follows a leader's word, and a
        majority of the core has just answered this machine."""
        return self.replica.is_up_to_date(now) and not self.home.fenced(now)

    # What the replica wants done ----------------------------------------------------------

    def process_ready(self, now: float) -> None:
        """Carries out what the replica wants done, as far as the disk lets it."""
        self.now = now
        while (ready := self.replica.ready()) is not None:  # during a save: answers alone
            if ready.save is None:
                self._send(ready)
            else:
                self.save(ready)
        self._note_version()

    def handle_save_result(self, now: float, ready: Ready, ok: bool) -> None:
        """A save has ended: durable, or (not ``ok``) failed. The caller calls ``work`` next, after a failure
        when the disk may be tried again."""
        self.now = now
        self.replica.saved(ok)
        if ok:
            self._send(ready)

    def _send(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            if (ip := self.home.members.address_of_disk(receiver)) is not None:
                self.send(ip, Raft(disk=self.disk, message=message))
        for ticket, answer in ready.answers:
            if (done := self.waiting.pop(ticket, None)) is not None:
                done(answer)

    def leader_ip(self) -> str | None:
        """Where the leader is; None where there is none, or it is this one."""
        leader = self.replica.leader
        if leader is None or leader == self.disk:
            return None
        return self.home.members.address_of_disk(leader)

    def _note_version(self) -> None:
        document, version = self.replica.current, self.replica.version
        if document is not None and version != self.told_version and self.replica.confirmed:
            self.told_version = version
            self.offer = (version, digest(document))
            self.home.push(self.now, self.offer, at_once=True)
            self.flush()

    def flush(self) -> None:
        """Sends what the registry's replica has to say."""
        out, self.home.outbox = self.home.outbox, []
        for ip, message in out:
            self.send(ip, message)
