"""The ledger of one instance: use on the disk before it happens, and batches of it to be brought out.

In its folder lie ``ledger.log`` and, in ``outbox/``, one file for each batch that is sealed and not yet
acknowledged.  The order of steps is what keeps use from being lost or told twice:

1. cut: a record in the log says which rows are which batch's;
2. the batch's file is written and durable;
3. sealed: a record says so, durable, and only from here on may the batch go out;
4. acknowledged: a record says so, durable;
5. the file is dropped.

After a crash the log is replayed: a cut without its seal is written again, byte for byte the same, a sealed
batch goes out again under the same id, and a file whose batch is acknowledged is dropped.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from larklb.counters import Counters
from larklb.export import tally as t
from larklb.state.folder import LockedFolder, write_file_atomically
from larklb.state.log import Log, LogError, Step, sync_folder

log = logging.getLogger(__name__)

MAX_ROWS = 20_000             # told apart at once, some 8 MB; with more a cut comes early
MAX_UNWRITTEN_RECORDS = 100_000         # records kept in memory while the disk takes none
NEAR = 0.8                     # of the outbox's bound: said aloud from here on


#: Where a crash can come: each write, sync, seal, send, acknowledgement and rename of ledger and exporter.
STEPS = ("append", "appended", "sync", "cut", "file.written", "file.renamed", "sealed", "sending", "sent",
         "acknowledged", "acked", "dropped", "rewrite.written", "rewrite.synced", "rewrite.renamed",
         "shortened")


class Ticket:
    """A try that has begun; its end is told once."""

    __slots__ = ("number", "fully_sent")

    def __init__(self, number: int) -> None:
        self.number = number
        self.fully_sent = False         # an attempt of it has left whole: a node may have begun it


class Ledger:
    """Counts for one instance; ``open`` replays and settles what a former process left."""

    def __init__(self, folder: Path, instance: str, counters: Counters, *, period_s: int = 3600,
                 max_mb: float = 64.0, rewrite_mb: float = 8.0,
                 clock: Callable[[], float] = time.time, step: Step = bool, patience_s: float = 0.0) -> None:
        """Whoever holds the folder is waited for ``patience_s`` at the most."""
        self.instance, self.counters, self.step, self.clock = instance, counters, step, clock
        self.period_s, self.max_bytes, self.rewrite = period_s, max_mb * 1e6, rewrite_mb * 1e6
        self.outbox = folder / "outbox"
        self.held = LockedFolder(folder, patience_s)
        try:
            self._open(folder, step)
        except (LogError, OSError) as error:
            self.held.close()
            raise error if isinstance(error, LogError) else LogError(f"{folder}: {error}") from error

    def _open(self, folder: Path, step: Step) -> None:
        self.outbox.mkdir(mode=0o700, exist_ok=True)
        self.log = Log(folder / "ledger.log", step)
        try:
            self.tally = t.replay_records(self.log.records)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            raise LogError(f"{self.log.path}: its records make no sense: {error}") from error
        self.log.records = []
        self.numbers = 0
        self.latest = max((*self.tally.periods, 0))       # a clock set back opens no former period again
        self.unwritten: list[t.Record] = []
        self.waiters: list[asyncio.Future[None]] = []
        self.sent: list[int] = []
        self.unsent: list[int] = []
        self.turn: asyncio.Handle | None = None
        self.dirty = False
        self.floor = 0                                     # bytes of the log when it was last written anew
        self.failing = self.near = False
        self.sealing, self.disk = asyncio.Lock(), asyncio.Lock()
        self.changed = asyncio.Event()                     # a batch was sealed
        self.enqueue(t.Started(self.tally.incarnation + 1, self.clock() * 1000.0))
        self.write()
        self.log.sync()
        if self.tally.in_doubt:
            self.counters.add("ledger.in_doubt", self.tally.in_doubt)
        self._mend()

    def _mend(self) -> None:
        """What a crash between the steps left over."""
        for path in self.outbox.iterdir():
            seq = self._seq(path)
            if seq is None or seq not in self.tally.batches:
                path.unlink()                              # half written, or acknowledged
        for batch in list(self.tally.batches.values()):
            if not batch.sealed:
                write_file_atomically(self.file(batch), t.batch_bytes(self.instance, batch), self.step)
                self._write_step(t.Sealed(batch.seq))
            elif not self.file(batch).exists():
                raise LogError(f"{self.file(batch)}: a sealed batch is missing: put the file back")
        self.outbox_bytes = sum(self.file(b).stat().st_size for b in self.tally.batches.values())

    def _seq(self, path: Path) -> int | None:
        word = path.name.removesuffix(".json").rpartition("-")[2]
        return int(word) if path.suffix == ".json" and word.isdigit() else None

    def file(self, batch: t.Batch) -> Path:
        return self.outbox / f"{t.batch_id(self.instance, batch)}.json"

    # Counting -----------------------------------------------------------------------------

    def key(self, account: str, plan: str, version: int, service: str, reservation: int = 0,
            beyond: bool = False) -> t.Key:
        """Of use that happens now."""
        if not self.full():
            self.latest = max(self.latest, int(self.clock()) // self.period_s * self.period_s)
        key = t.Key(self.latest, account, plan, version, service, reservation, beyond)
        if len(self.tally.rows) >= MAX_ROWS and key not in self.tally.rows:
            if self.full():
                # Nobody takes the batches and no room is left to tell customers apart: the sum still holds.
                self.counters.add("errors.ledger_unattributed")
                return key._replace(account="", reservation=0)
        return key

    async def begin(self, job: str, key: t.Key, units: float) -> Ticket:
        """Returns once the count is written: the first byte may go out."""
        self.numbers += 1
        ticket = Ticket(self.numbers)
        self.enqueue(t.Begun(ticket.number, job, key, round(units * t.MICRO)))
        await self.written()
        return ticket

    def end(self, ticket: Ticket) -> None:
        """Nothing of the try is out any more."""
        (self.sent if ticket.fully_sent else self.unsent).append(ticket.number)
        self._soon()

    async def record_use(self, key: t.Key, units: float) -> None:
        """A granted question: returns once it is counted, before its answer goes out."""
        self.enqueue(t.Used(key, round(units * t.MICRO)))
        await self.written()

    def enqueue(self, record: t.Record) -> None:
        self.unwritten.append(record)
        self._soon()

    def _soon(self) -> None:
        if self.turn is None:
            self.turn = asyncio.get_running_loop().call_soon(self.write)

    async def written(self) -> None:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(done)
        await done

    def write(self) -> None:
        """One write for all that this turn of the loop has brought.

        Where the disk takes none, service goes on and the records wait in memory, up to a bound: a billing
        ledger must not stop the yard.  Each failure is told.
        """
        self.turn = None
        if self.sent or self.unsent:
            self.unwritten.append(t.Ended(self.sent, self.unsent))
            self.sent, self.unsent = [], []
        records, self.unwritten = self.unwritten, []
        waiters, self.waiters = self.waiters, []
        try:
            if records:
                self.log.append([t.encode(r) for r in records])
        except (LogError, MemoryError) as error:
            self.counters.add("errors.ledger")
            if not self.failing:
                log.error("use is kept in memory alone: %s", error)
                self.failing = True
            self.unwritten = records + self.unwritten
            if len(self.unwritten) > MAX_UNWRITTEN_RECORDS:
                self.counters.add("errors.ledger_lost", len(self.unwritten) - MAX_UNWRITTEN_RECORDS)
                del self.unwritten[MAX_UNWRITTEN_RECORDS:]
        else:
            for r in records:
                self.tally.apply(r)
            self.dirty = self.dirty or bool(records)
            if records and self.failing:
                log.warning("the ledger is written again")
                self.failing = False
        finally:
            for done in waiters:             # whatever has failed, no job waits for good
                if not done.done():
                    done.set_result(None)

    # Batches ------------------------------------------------------------------------------

    def full(self) -> bool:
        """Whether the outbox is at its bound: use goes on being counted, and is cut when there is room."""
        return self.outbox_bytes >= self.max_bytes

    async def seal(self) -> int:
        """Cuts all that has been counted into batches, durable and ready to go out; how many."""
        async with self.sealing:
            if self.full():
                return 0
            self.write()
            if self.failing:
                return 0
            if needed := self.tally.batches_needed():
                self._write_step(t.Cut(self.tally.next_seq, needed, self.clock() * 1000.0))
                self.step("cut")
            cut = [b for b in self.tally.batches.values() if not b.sealed]
            for batch in cut:
                await self._seal(batch)
            return len(cut)

    async def _seal(self, batch: t.Batch) -> None:
        data = t.batch_bytes(self.instance, batch)
        await asyncio.to_thread(write_file_atomically, self.file(batch), data, self.step)
        self._write_step(t.Sealed(batch.seq))
        self.outbox_bytes += len(data)
        await self.sync()
        self.step("sealed")
        self.changed.set()
        if self.outbox_bytes >= NEAR * self.max_bytes and not self.near:
            self.near = True
            log.warning("the outbox of sealed use is near its bound: %.1f of %.1f MB, the receiver is behind",
                        self.outbox_bytes / 1e6, self.max_bytes / 1e6)

    def _write_step(self, record: t.Record) -> None:
        """A step of a batch stands in the log on return, or LogError and it was not taken: it is tried anew.
        What follows a step would be wrong without it."""
        self.enqueue(record)
        self.write()
        if self.failing:
            self.unwritten.remove(record)
            raise LogError(f"{self.log.path}: a batch waits until it can be written again")

    def ready(self) -> list[t.Batch]:
        """Batches that may go out, the oldest first."""
        return [b for b in self.tally.batches.values() if b.sealed]

    async def acknowledged(self, batch: t.Batch) -> None:
        """The receiver has it: durable before the file goes."""
        self.step("acknowledged")
        path = self.file(batch)
        self._write_step(t.Acked(batch.seq))
        await self.sync()
        self.step("acked")
        size = path.stat().st_size if path.exists() else 0
        path.unlink(missing_ok=True)
        self.step("dropped")
        self.outbox_bytes -= size
        if self.near and self.outbox_bytes < NEAR * self.max_bytes / 2:
            self.near = False

    # Upkeep -------------------------------------------------------------------------------

    async def run_maintenance(self, sync_ms: float, seal_s: float) -> None:
        """Syncs, seals and shortens the log until it is cancelled."""
        next_seal = self.clock() + seal_s
        while True:
            await asyncio.sleep(sync_ms / 1000.0)
            try:
                if self.log.broken:
                    await self.compact()
                if self.unwritten:
                    self.write()
                if self.dirty:
                    self.dirty = False
                    await self.sync()
                early = len(self.tally.rows) >= MAX_ROWS
                if early or not 0 < next_seal - self.clock() <= seal_s:
                    next_seal = self.clock() + seal_s
                    await self.seal()
                if self.log.size > self.floor + self.rewrite:
                    await self.compact()
            except (LogError, OSError) as error:
                self.counters.add("errors.ledger")
                log.error("the ledger's upkeep: %s", error)

    async def compact(self) -> None:
        """Writes the log anew as one record of what it adds up to, while counting goes on; a log whose sync
        failed is whole again with it."""
        async with self.sealing, self.disk:
            self.write()
            if self.failing and not self.log.broken:
                return
            self.log.begin_rewrite([t.encode(self.tally.base())])
            await asyncio.to_thread(self.log.sync_rewrite)
            self.log.swap()
            await asyncio.to_thread(sync_folder, self.log.path.parent)
            self.floor = self.log.size
            self.step("shortened")

    async def sync(self) -> None:
        """All that was written is on the disk; the log does not change places meanwhile."""
        async with self.disk:
            await asyncio.to_thread(self.log.sync)

    def close(self) -> None:
        """At an orderly stop: all is written and durable."""
        self.write()
        try:
            self.log.sync()
        except LogError as error:
            log.error("%s", error)
        self.log.close()
        self.held.close()
