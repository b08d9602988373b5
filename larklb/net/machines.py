"""The machine list: taken from the cache at the start, then watched at the discovery service."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass

import h11
import msgspec

from larklb import interface as io
from larklb.core import Core
from larklb.net.http import Link, await_connection, dial
from larklb.settings import Config, ConfigError, MachineList, parse_address

log = logging.getLogger(__name__)

_STATES = {"up": io.ServerState.UP, "draining": io.ServerState.DRAINING, "removed": io.ServerState.GONE}
# Delay before a failed watch is retried; it doubles up to the maximum.
RETRY_DELAY_MS, MAX_RETRY_DELAY_MS = 50.0, 1000.0
# A longer line is not a valid list.
MAX_LINE_BYTES = 4 * 1024 * 1024
# A watch without a byte for this long has failed: discovery sends a line every 2 s.
WATCH_SILENCE_MS = 2800.0
DIAL_TIMEOUT_MS = 2000.0
# How long a start waits for the current list before it accepts jobs.
FIRST_LIST_TIMEOUT_MS = 1000.0


@dataclass
class Machine:
    """The address of an execute node, and since when it accepts no new work (None while it does)."""

    address: tuple[str, int]
    closed_at: float | None = None


class Machines:
    """The execute nodes by the instance id that all limiters share."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core, self.wheel, self.discovery = core, core.wheel, config.discovery
        self.by_id: dict[str, Machine] = {}
        self.generation = 0
        # Fixed once: a start time must always map to the same instant, or a node would look restarted.
        self.offset = self.wheel.now() - time.time() * 1000.0
        self.cached_list = config.known
        self.list_received = asyncio.Event()      # set once discovery has sent a list

    async def wait_for_first_list(self) -> bool:
        """Waits for the first list from discovery, at most FIRST_LIST_TIMEOUT_MS; returns whether it came.

        The list in the configuration may be seconds old at a restart, and a node that began to drain
        since would get new work.  The discovery agent answers at once, so only a failed one costs the wait.
        """
        waiting = asyncio.ensure_future(self.list_received.wait())
        timer = self.wheel.after(FIRST_LIST_TIMEOUT_MS, waiting.cancel)
        try:
            await asyncio.wait((waiting,))
        finally:
            timer.cancel()
        return not waiting.cancelled()

    def apply_cached_list(self) -> None:
        """Applies the list that this limiter cached last, which may be old."""
        if self.cached_list is not None:
            self.apply(self.cached_list, io.ListKind.CACHED)

    def restore(self, of: dict[str, Machine], offset: float, generation: int, where: tuple[str, int]) -> None:
        """Adopts the list of the predecessor process, which received it from the discovery ``where``."""
        self.by_id, self.offset = of, offset
        self.generation = generation if where == self.discovery else 0
        self.core.feed(io.ServerList(io.ListKind.CHANGES, generation))

    def apply(self, update: MachineList, kind: io.ListKind) -> None:
        """Applies a list or a set of changes, and passes it to the core."""
        now, entries = self.wheel.now(), []
        for instance in update.instances:
            state = _STATES.get(instance.lifecycle)
            try:
                place = parse_address(instance.host_port)
            except ConfigError:
                state = None
            if state is None:
                # An invalid entry must not affect the others.
                self.core.counters.add("errors.list_entry")
                continue
            current = self.by_id.get(instance.instance_id)
            closed_at = None if state is io.ServerState.UP else now
            if current is not None and current.closed_at is not None and closed_at is not None:
                closed_at = current.closed_at
            if current is None:
                self.by_id[instance.instance_id] = Machine(place, closed_at)
            else:
                current.address, current.closed_at = place, closed_at
            entries.append(io.Entry(
                server=instance.instance_id, zone=instance.zone, cell=instance.cell, state=state,
                weight=instance.weight,
                started=instance.started_at_ms + self.offset if instance.started_at_ms else None))
        if kind is not io.ListKind.CHANGES:
            named = {e.server for e in entries}
            for name, machine in self.by_id.items():
                if name not in named and machine.closed_at is None:
                    machine.closed_at = now
        for name, machine in list(self.by_id.items()):
            # Attempts on a node closed for this long have ended.
            if machine.closed_at is not None and now - machine.closed_at > 60000.0:
                del self.by_id[name]
        self.generation = update.generation
        if kind is not io.ListKind.CACHED:
            self.list_received.set()
        self.core.counters.add(f"list.{kind.value}")
        self.core.feed(io.ServerList(kind, update.generation, tuple(entries)))

    def change_discovery(self, where: tuple[str, int]) -> bool:
        """Changes the discovery service to watch; returns False if it is the same one."""
        if where == self.discovery:
            return False
        self.discovery = where
        # Generations may differ there: asked from the old one, it could withhold changes.
        self.generation = 0
        return True

    async def watch(self) -> None:
        """Watches forever; a watch that ends is resumed from the last generation."""
        wait = RETRY_DELAY_MS
        while True:
            version = self.generation
            try:
                await self._watch_once()
            except (OSError, h11.RemoteProtocolError, msgspec.DecodeError) as error:
                self.core.counters.add("errors.watch")
                log.warning("machine list: %s", error or type(error).__name__)
            wait = RETRY_DELAY_MS if self.generation != version else min(wait * 2, MAX_RETRY_DELAY_MS)
            await self.wheel.sleep(wait)

    async def _watch_once(self) -> None:
        link = await await_connection(asyncio.ensure_future(dial(*self.discovery)), DIAL_TIMEOUT_MS,
                                      self.wheel)
        if link is None:
            raise TimeoutError("discovery is unreachable")
        try:
            target = f"/v1/servers?watch=1&from={self.generation}"
            link.write(h11.Request(method="GET", target=target, headers=[("Host", "discovery")]))
            await self._lines(link)
        finally:
            link.abort()

    async def _lines(self, link: Link) -> None:
        rest = b""
        while True:
            event = link.http.next_event()
            if event is h11.NEED_DATA:
                # Discovery sends an empty line every 2 s; a silent watch is dead even if it isn't closed.
                timer = self.wheel.after(WATCH_SILENCE_MS, link.abort)
                try:
                    link.http.receive_data(await link.reader.read(65536))
                finally:
                    timer.cancel()
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise OSError(f"discovery answered with status {event.status_code}")
            elif isinstance(event, h11.Data):
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                for line in lines:
                    self._line(line)
                if len(rest) > MAX_LINE_BYTES:
                    raise OSError("discovery sent a line that is too long")
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    def _line(self, line: bytes) -> None:
        if line.strip():
            update = msgspec.json.decode(line, type=MachineList)
            self.apply(update, io.ListKind.FULL if update.reset else io.ListKind.CHANGES)
