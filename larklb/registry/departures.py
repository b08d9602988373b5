"""Departures that a core machine keeps on its disk: the servers that are draining or gone.

A heartbeat that a server sent before its departure may arrive seconds after it, and looks like that of a new
server to a core machine that doesn't know of the departure.  All processes of the core may be killed at the
same moment, so that an acknowledged departure must be on the disks of a majority of the core.

There is no I/O: ``begin_save`` returns the value to be written, and ``finish_save`` reports the outcome.  All
times are in milliseconds.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec
from attrs import define, field

from larklb.membership.messages import Row
from larklb.registry.registry import STEADY, Server, server_from_row, state_rank

log = logging.getLogger("registry")

# Time from a failed save to the next attempt.
SAVE_RETRY_MS = 200.0
# Actions that may wait for saves, so that a disk that hangs doesn't use up the memory.
MAX_WAITING_ACTIONS = 10_000


@define(frozen=True)
class WaitingAction:
    """``action`` is called once the departures (state by server id) are durable, or dropped at
    ``deadline``."""

    departures: Mapping[str, str]
    action: Callable[[], object]
    deadline: float


@define
class Departures:
    """Which departures are durable on the local disk, and what waits for them to be."""

    # States by server id: those on the disk, and those of the save in progress, None if there is none.
    durable: dict[str, str] = field(factory=dict)
    saving: dict[str, str] | None = None
    waiting: list[WaitingAction] = field(factory=list)
    # Whether a departure has been noted that neither the disk nor the save in progress has.
    changed: bool = False
    retry_at: float = -math.inf

    def load(self, value: bytes) -> list[Server]:
        """Returns the servers in a value that was stored before; all of them are durable.

        A value that can't be decoded is logged and counts as empty."""
        try:
            rows = msgspec.json.decode(value, type=list[tuple[str, Row]])
            servers = [server_from_row(name, row) for name, row in rows]
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            log.error("registry: the departures on the disk can't be read: %s.", error)
            return []
        self.durable = {server.id: server.state for server in servers}
        return servers

    def note(self, server: Server) -> None:
        """Notes the present state of a server, which is saved if it is a departure that isn't durable."""
        if not self.is_durable(server.id, server.state):
            self.changed = True

    def forget(self, server_id: str) -> None:
        """Notes that the registry has deleted a server; the next save leaves it out."""
        self.durable.pop(server_id, None)

    def is_durable(self, server_id: str, state: str) -> bool:
        """Returns whether the disk has the server in this state or a more advanced one."""
        return state_rank(self.durable.get(server_id, STEADY)) >= state_rank(state)

    def when_durable(
        self, departures: Mapping[str, str], action: Callable[[], object], deadline: float
    ) -> None:
        """Calls ``action`` as soon as the departures (state by server id) are durable, unless ``deadline``
        passes before."""
        if self._are_durable(departures):
            action()
        elif len(self.waiting) < MAX_WAITING_ACTIONS:
            self.waiting.append(WaitingAction(departures, action, deadline))

    def _are_durable(self, departures: Mapping[str, str]) -> bool:
        return all(self.is_durable(server_id, state) for server_id, state in departures.items())

    def begin_save(self, now: float, servers: Iterable[Server]) -> bytes | None:
        """Returns the value to be written next, None if nothing has changed or a save is in progress.

        ``servers`` are all servers of the registry."""
        if not self.changed or self.saving is not None or now < self.retry_at:
            return None
        departed = [server for server in servers if server.state != STEADY]
        self.saving = {server.id: server.state for server in departed}
        self.changed = False
        return msgspec.json.encode([(server.id, server.to_row()) for server in departed])

    def finish_save(self, now: float, ok: bool) -> None:
        """Notes the end of the save in progress, which is durable if ``ok``, and calls what waits for it."""
        saved, self.saving = self.saving or {}, None
        if not ok:
            # A save that failed may still have replaced the one before it, but only by newer states.
            self.changed, self.retry_at = True, now + SAVE_RETRY_MS
            return
        self.durable = saved
        waiting, self.waiting = self.waiting, []
        for entry in waiting:
            if self._are_durable(entry.departures):
                entry.action()
            else:
                self.waiting.append(entry)

    def expire(self, now: float) -> None:
        """Drops the actions whose deadline has passed."""
        if self.waiting:
            self.waiting = [entry for entry in self.waiting if now < entry.deadline]
