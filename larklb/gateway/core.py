"""A core machine's part in the control plane: the replica of the registry and that of the configuration.

There is no I/O: messages go out by ``send``, and data to be stored by ``save``, which reports the end of a
save to the callback that it is given. The current time in ms is an argument.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
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

# The set of present core machines must be unchanged for this long before a group is founded. It depends on
# how far apart their processes start, and not on the bounds of the settings.
STABLE_CORES_MS = 1_200.0

# The disk's key of the departures of servers.
DEPARTURES = "departures"
# Each core machine waits this much longer than the one before it by node name: time for that one's proposal
# to be accepted.
NEXT_PROPOSER_MS = 400.0

Send = Callable[[str, Message], object]
# Called with the time in ms and whether a save is durable.
Saved = Callable[[float, bool], object]
# Starts to store values by key; saves end in the order in which they were started.
Save = Callable[[dict[str, bytes], Saved], object]


def apply(document: dict[str, Any] | None, call: Call) -> dict[str, Any]:
    """Applies a change to a document, None if there is none yet, and returns the changed document.

    Raises ``InvalidChangeError`` if the result is invalid."""
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
    """Both replicas of one incarnation of a core machine.

    ``home`` is the replica of the registry, which serves the limiters that use this machine as their home;
    ``replica`` is the replica of the configuration. ``offer`` is the newest version offered to others."""

    def __init__(
        self,
        settings: Settings,
        local_member: Member,
        stored: dict[str, bytes] | None,
        now: float,
        seed: int,
        send: Send,
        save: Save,
        *,
        first_start: bool,
    ) -> None:
        """``local_member`` has the disk's id; ``stored`` are the values that earlier saves left on the disk.

        ``first_start``: this disk was first used at the first start of the whole system, and may found the
        group."""
        self.first_start = first_start
        self.settings, self.disk, self.send, self.save = settings, local_member.disk, send, save
        stored = dict(stored or {})
        departures = stored.pop(DEPARTURES, None)
        timing = Timing.from_bounds(settings.bounds.contact_ms, settings.bounds.convergence_ms)
        self.home = RegistryReplica(
            local_member,
            settings.heartbeat_period_ms,
            now,
            time_scale=timing.scale,
            bootstrap=first_start,
            stored_departures=departures,
        )
        self.replica = Replica(
            local_member.disk,
            settings.node,
            stored or None,
            now,
            seed,
            tolerance=settings.tolerance,
            apply=apply,
            timing=timing,
        )
        self.started_at = self.now = now
        # Disk ids of the core machines that are present, and since when they are the same.
        self.stable_cores: tuple[frozenset[str], float] = (frozenset(), now)
        self.pending_calls: dict[str, Callable[[Answer], object]] = {}
        self.last_ticket = 0
        self.offer: ConfigVersion = (0, "")
        self.announced_version = 0

    # Operators' calls ---------------------------------------------------------------------

    def call(self, now: float, kind: str, base: int, body: str, done: Callable[[Answer], object]) -> None:
        """Starts an operator's call at the leader; ``done`` is called once with the answer."""
        try:
            document = parse(body.encode()) if kind != "read" else {}
        except SchemaError as error:
            done(Answer(400, str(error), None))
            return
        identity = digest({"kind": kind, "base": base, "body": document})
        self.last_ticket += 1
        ticket = str(self.last_ticket)
        self.pending_calls[ticket] = done
        self.replica.call(now, ticket, Call(kind, base, document, identity))
        self.process_ready(now)

    # Periodic work ------------------------------------------------------------------------

    def tick(self, now: float, local_member: Member) -> None:
        """Does the periodic work; called every 50 ms."""
        self.now = now
        members = self.home.members
        cores = {**members.cores_by_disk(now, self.home.core_present_ms), self.disk: self.settings.node}
        self._found_group(now, cores)
        self.replica.tick(now, cores, members.leaving_disks())
        self.process_ready(now)
        epoch = self.replica.term if self.replica.has_recent_quorum(now) else None
        self.home.tick(
            now, local_member, self.replica.voters if self.replica.founded else {}, epoch, self.offer
        )

    def _found_group(self, now: float, cores: Mapping[str, str]) -> None:
        """Proposes a group on a first start.

        The core machine that is first by node name proposes first, and each other one the later the more
        there are before it: these may not belong to the first start themselves."""
        if self.replica.founded or not self.first_start:
            return
        present = frozenset(cores)
        if present != self.stable_cores[0]:
            self.stable_cores = (present, now)
        enough_cores = (
            len(present) >= 2 * self.settings.tolerance + 1
            or now - self.started_at > self.settings.bounds.contact_ms
        )
        rank = sorted(cores, key=lambda disk: (cores[disk], disk)).index(self.disk)
        if enough_cores and now - self.stable_cores[1] >= STABLE_CORES_MS + rank * NEXT_PROPOSER_MS:
            self.stable_cores = (present, now)
            log.info("core: founding a group of %d.", len(present))
            self.replica.propose_founding(now, dict(cores))

    def step(self, now: float, sender: str, message: dict[str, Any]) -> None:
        """Handles a message of another configuration replica."""
        self.replica.step(now, sender, message)
        self.process_ready(now)

    def leave(self, now: float) -> None:
        """Hands leadership to another machine before a graceful shutdown."""
        self.replica.transfer_leadership(now)
        self.process_ready(now)

    def may_serve_configuration(self, now: float) -> bool:
        """Returns whether this machine's configuration may be sent to others: a leader has confirmed it, and
        a majority of the core has just answered this machine."""
        return self.replica.is_up_to_date(now) and not self.home.fenced(now)

    # Output of the replica ---------------------------------------------------------------

    def process_ready(self, now: float) -> None:
        """Sends what the replica has to send and starts its save, unless one is in progress."""
        self.now = now
        # During a save the replica returns only answers, which can be sent at once.
        while (ready := self.replica.ready()) is not None:
            if ready.save is None:
                self._send(ready)
            else:
                self.save(ready.save, partial(self._handle_replica_saved, ready))
        self._announce_version()

    def _handle_replica_saved(self, ready: Ready, now: float, ok: bool) -> None:
        """Handles the end of a save of the replica. A save that failed is tried again by the next tick."""
        self.now = now
        self.replica.saved(ok)
        if ok:
            self._send(ready)
            self.process_ready(now)

    def _send(self, ready: Ready) -> None:
        for receiver, message in ready.messages:
            if (ip := self.home.members.address_of_disk(receiver)) is not None:
                self.send(ip, Raft(disk=self.disk, message=message))
        for ticket, answer in ready.answers:
            if (done := self.pending_calls.pop(ticket, None)) is not None:
                done(answer)

    def leader_ip(self) -> str | None:
        """Returns the leader's address, None if there is no leader or it is this machine."""
        leader = self.replica.leader
        if leader is None or leader == self.disk:
            return None
        return self.home.members.address_of_disk(leader)

    def _announce_version(self) -> None:
        """Offers a newly confirmed version at once to the limiters that use this machine as their home."""
        document, version = self.replica.current, self.replica.version
        if document is not None and version != self.announced_version and self.replica.confirmed:
            self.announced_version = version
            self.offer = (version, digest(document))
            self.home.push(self.now, self.offer, at_once=True)
            self.flush()

    # Output of the registry --------------------------------------------------------------

    def flush(self) -> None:
        """Stores the departures that the replica of the registry has to store, unless a save of these is in
        progress, and sends the messages that it has collected."""
        if (departures := self.home.begin_save(self.now)) is not None:
            self.save({DEPARTURES: departures}, self._handle_departures_saved)
        out, self.home.outbox = self.home.outbox, []
        for ip, message in out:
            self.send(ip, message)

    def _handle_departures_saved(self, now: float, ok: bool) -> None:
        """Handles the end of a save of departures, which releases their acknowledgements."""
        self.now = now
        self.home.finish_save(now, ok)
        self.flush()
