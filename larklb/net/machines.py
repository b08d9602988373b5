"""The machine list: recalled at the start, then watched at discovery."""

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
RETRY_FIRST, RETRY_MOST = 50.0, 1000.0     # ms between tries to watch
MOST_LINE = 4 * 1024 * 1024                # of a list; a longer one is not a list
SILENCE = 2800.0                           # ms without a byte from a watch, which owes a line every 2 s
DIAL = 2000.0                              # ms for a connection to discovery
# How long a start waits for the current list before it accepts jobs.
FIRST_LIST_TIMEOUT_MS = 1000.0


@dataclass
class Machine:
    """Where an execute node is dialled, and since when it wants nothing new."""

    place: tuple[str, int]
    closed_at: float | None = None


class Machines:
    """The execute nodes by the name that all limiters share."""

    def __init__(self, config: Config, core: Core) -> None:
        self.core, self.wheel, self.discovery = core, core.wheel, config.discovery
        self.by_id: dict[str, Machine] = {}
        self.generation = 0
        # Fixed once: the same start must always give the same instant, or the module sees a new process.
        self.offset = self.wheel.now() - time.time() * 1000.0
        self.cached_list = config.known
        self.list_received = asyncio.Event()                # a list from discovery has come since the start

    async def wait_for_first_list(self) -> bool:
        """Waits, ``FIRST_LIST`` ms at most, for discovery's first word; whether it came.

        The list in the configuration may be seconds old at a restart: a node that has begun to drain since
        would get new work from this start.  Discovery's own agent answers at once, so only a silent one costs
        the wait.
        """
        waiting = asyncio.ensure_future(self.list_received.wait())
        timer = self.wheel.after(FIRST_LIST_TIMEOUT_MS, waiting.cancel)
        try:
            await asyncio.wait((waiting,))
        finally:
            timer.cancel()
        return not waiting.cancelled()

    def apply_cached_list(self) -> None:
        """The list that this limiter held last, perhaps long ago."""
        if self.cached_list is not None:
            self.apply(self.cached_list, io.ListKind.CACHED)

    def restore(self, of: dict[str, Machine], offset: float, generation: int, where: tuple[str, int]) -> None:
        """The list as another process of this limiter held it, which was told it by discovery ``where``."""
        self.by_id, self.offset = of, offset
        self.generation = generation if where == self.discovery else 0
        self.core.feed(io.ServerList(io.ListKind.CHANGES, generation))

    def apply(self, news: MachineList, kind: io.ListKind) -> None:
        now, entries = self.wheel.now(), []
        for i in news.instances:
            state = _STATES.get(i.lifecycle)
            try:
                place = parse_address(i.host_port)
            except ConfigError:
                state = None
            if state is None:
                # One entry that makes no sense must not cost the others.
                self.core.counters.add("errors.list_entry")
                continue
            known = self.by_id.get(i.instance_id)
            closed_at = None if state is io.ServerState.UP else now
            if known is not None and known.closed_at is not None and closed_at is not None:
                closed_at = known.closed_at
            if known is None:
                self.by_id[i.instance_id] = Machine(place, closed_at)
            else:
                known.place, known.closed_at = place, closed_at
            entries.append(io.Entry(
                server=i.instance_id, zone=i.zone, cell=i.cell, state=state,
                weight=i.weight, started=i.started_at_ms + self.offset if i.started_at_ms else None))
        if kind is not io.ListKind.CHANGES:
            named = {e.server for e in entries}
            for name, machine in self.by_id.items():
                if name not in named and machine.closed_at is None:
                    machine.closed_at = now
        for name, machine in list(self.by_id.items()):
            # Long gone: attempts that were out there are over.
            if machine.closed_at is not None and now - machine.closed_at > 60000.0:
                del self.by_id[name]
        self.generation = news.generation
        if kind is not io.ListKind.CACHED:
            self.list_received.set()
        self.core.counters.add(f"list.{kind.value}")
        self.core.feed(io.ServerList(kind, news.generation, tuple(entries)))

    def change_discovery(self, where: tuple[str, int]) -> bool:
        """Another discovery is to be watched; False where it is the same one."""
        if where == self.discovery:
            return False
        self.discovery = where
        # It may number its lists anew: asked from the old one's version it could hold changes back.
        self.generation = 0
        return True

    async def watch(self) -> None:
        """Watches for good; a watch that ends is taken up again at the version it had come to."""
        wait = RETRY_FIRST
        while True:
            version = self.generation
            try:
                await self._watch_once()
            except (OSError, h11.RemoteProtocolError, msgspec.DecodeError) as error:
                self.core.counters.add("errors.watch")
                log.warning("machine list: %s", error or type(error).__name__)
            wait = RETRY_FIRST if self.generation != version else min(wait * 2, RETRY_MOST)
            await self.wheel.sleep(wait)

    async def _watch_once(self) -> None:
        link = await await_connection(asyncio.ensure_future(dial(*self.discovery)), DIAL, self.wheel)
        if link is None:
            raise TimeoutError("discovery cannot be reached")
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
                # An empty line comes every 2 s: a watch that says less has ended, though nothing says so.
                timer = self.wheel.after(SILENCE, link.abort)
                try:
                    link.http.receive_data(await link.reader.read(65536))
                finally:
                    timer.cancel()
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise OSError(f"discovery answers {event.status_code}")
            elif isinstance(event, h11.Data):
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                for line in lines:
                    self._line(line)
                if len(rest) > MOST_LINE:
                    raise OSError("discovery sends a line without end")
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    def _line(self, line: bytes) -> None:
        if line.strip():
            news = msgspec.json.decode(line, type=MachineList)
            self.apply(news, io.ListKind.FULL if news.reset else io.ListKind.CHANGES)
