"""The ledger of one instance: a write-ahead log of use, and sealed batches of it to be delivered.

Its folder contains ``ledger.log`` and, in ``outbox/``, one file for each batch that is sealed and not yet
acknowledged.  The order of these steps prevents use from being lost or exported twice:

1. cut: a record in the log assigns rows to batches;
2. the file of the batch is written durably;
3. sealed: a durable record says so, and only now may the batch be sent;
4. acknowledged: a durable record says so;
5. the file is removed.

After a crash the log is replayed: a batch that was cut but not sealed is written again, byte for byte the
same, a sealed batch is sent again under the same id, and the file of an acknowledged batch is removed.
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

# Uncut rows, which take about 8 MB; with more of them a cut is made early.
MAX_ROWS = 20_000
# Records kept in memory while the log cannot be written.
MAX_UNWRITTEN_RECORDS = 100_000
# A warning is logged once the outbox is filled to this fraction.
OUTBOX_WARNING_FRACTION = 0.8


#: Points at which tests inject crashes: each write, sync, seal, send, acknowledgement and rename.
STEPS = ("append", "appended", "sync", "cut", "file.written", "file.renamed", "sealed", "sending", "sent",
         "acknowledged", "acked", "dropped", "rewrite.written", "rewrite.synced", "rewrite.renamed",
         "shortened")


class Ticket:
    """A try that has begun and whose end must be recorded once."""

    __slots__ = ("number", "fully_sent")

    def __init__(self, number: int) -> None:
        self.number = number
        # An attempt was sent completely, so a node may have begun to execute it.
        self.fully_sent = False


class Ledger:
    """Counts the use of one instance; opening it replays the log and recovers from a crash."""

    def __init__(self, folder: Path, instance: str, counters: Counters, *, period_s: int = 3600,
                 max_mb: float = 64.0, rewrite_mb: float = 8.0,
                 clock: Callable[[], float] = time.time, step: Step = bool, patience_s: float = 0.0) -> None:
        """Waits at most ``patience_s`` seconds for a locked folder; raises LogError."""
        self.instance, self.counters, self.step, self.clock = instance, counters, step, clock
        self.period_s, self.max_bytes, self.compact_after_bytes = period_s, max_mb * 1e6, rewrite_mb * 1e6
        self.outbox = folder / "outbox"
        self.folder_lock = LockedFolder(folder, patience_s)
        try:
            self._open(folder, step)
        except (LogError, OSError) as error:
            self.folder_lock.close()
            raise error if isinstance(error, LogError) else LogError(f"{folder}: {error}") from error

    def _open(self, folder: Path, step: Step) -> None:
        self.outbox.mkdir(mode=0o700, exist_ok=True)
        self.log = Log(folder / "ledger.log", step)
        try:
            self.tally = t.replay_records(self.log.records)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            raise LogError(f"{self.log.path}: its records make no sense: {error}") from error
        self.log.records = []
        self.last_ticket = 0
        # Periods don't go back, even if the clock does.
        self.latest_period = max((*self.tally.periods, 0))
        self.unwritten: list[t.Record] = []
        self.waiters: list[asyncio.Future[None]] = []
        self.ended_sent: list[int] = []
        self.ended_unsent: list[int] = []
        self.flush_handle: asyncio.Handle | None = None
        self.unsynced = False
        # Size of the log after its last compaction.
        self.compacted_size = 0
        self.failing = self.near_limit = False
        self.seal_lock, self.log_lock = asyncio.Lock(), asyncio.Lock()
        self.batch_sealed = asyncio.Event()
        self.enqueue(t.Started(self.tally.incarnation + 1, self.clock() * 1000.0))
        self.flush()
        self.log.sync()
        if self.tally.in_doubt:
            self.counters.add("ledger.in_doubt", self.tally.in_doubt)
        self._recover()

    def _recover(self) -> None:
        """Completes or undoes the steps that a crash interrupted."""
        for path in self.outbox.iterdir():
            seq = self._batch_number(path)
            if seq is None or seq not in self.tally.batches:
                path.unlink()                  # incomplete, or acknowledged
        for batch in list(self.tally.batches.values()):
            if not batch.sealed:
                write_file_atomically(self.file(batch), t.batch_bytes(self.instance, batch), self.step)
                self._write_step(t.Sealed(batch.seq))
            elif not self.file(batch).exists():
                raise LogError(f"{self.file(batch)}: a sealed batch is missing: put the file back")
        self.outbox_bytes = sum(self.file(b).stat().st_size for b in self.tally.batches.values())

    def _batch_number(self, path: Path) -> int | None:
        """Returns the batch number in a file's name, or None if it is not the name of a batch."""
        suffix = path.name.removesuffix(".json").rpartition("-")[2]
        return int(suffix) if path.suffix == ".json" and suffix.isdigit() else None

    def file(self, batch: t.Batch) -> Path:
        """Returns the path of a batch's file in the outbox."""
        return self.outbox / f"{t.batch_id(self.instance, batch)}.json"

    # Counting -----------------------------------------------------------------------------

    def key(self, account: str, plan: str, version: int, service: str, reservation: int = 0,
            beyond: bool = False) -> t.Key:
        """Returns the key under which use is counted now."""
        if not self.full():
            self.latest_period = max(self.latest_period, int(self.clock()) // self.period_s * self.period_s)
        key = t.Key(self.latest_period, account, plan, version, service, reservation, beyond)
        if len(self.tally.rows) >= MAX_ROWS and key not in self.tally.rows:
            if self.full():
                # Batches are not accepted and there is no room for another row: only the sum stays exact.
                self.counters.add("errors.ledger_unattributed")
                return key._replace(account="", reservation=0)
        return key

    async def begin(self, job: str, key: t.Key, units: float) -> Ticket:
        """Records the begin of a try; the first byte may be sent once this returns."""
        self.last_ticket += 1
        ticket = Ticket(self.last_ticket)
        self.enqueue(t.Begun(ticket.number, job, key, round(units * t.MICROUNITS_PER_UNIT)))
        await self.wait_flushed()
        return ticket

    def end(self, ticket: Ticket) -> None:
        """Records the end of a try, of which no attempt is in flight any more."""
        (self.ended_sent if ticket.fully_sent else self.ended_unsent).append(ticket.number)
        self._schedule_flush()

    async def record_use(self, key: t.Key, units: float) -> None:
        """Counts a granted request; returns once it is written, so that the answer may be sent."""
        self.enqueue(t.Used(key, round(units * t.MICROUNITS_PER_UNIT)))
        await self.wait_flushed()

    def enqueue(self, record: t.Record) -> None:
        """Adds a record to the next write."""
        self.unwritten.append(record)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self.flush_handle is None:
            self.flush_handle = asyncio.get_running_loop().call_soon(self.flush)

    async def wait_flushed(self) -> None:
        """Waits for the next write, whether it succeeds or fails."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(done)
        await done

    def flush(self) -> None:
        """Writes all pending records at once.

        If the write fails, the error is counted and the records stay in memory, up to a limit: a failure of
        the billing ledger must not stop the service.
        """
        self.flush_handle = None
        if self.ended_sent or self.ended_unsent:
            self.unwritten.append(t.Ended(self.ended_sent, self.ended_unsent))
            self.ended_sent, self.ended_unsent = [], []
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
            self.unsynced = self.unsynced or bool(records)
            if records and self.failing:
                log.warning("the ledger is written again")
                self.failing = False
        finally:
            # Waiters are released after a failure too, so that no job is blocked forever.
            for done in waiters:
                if not done.done():
                    done.set_result(None)

    # Batches ------------------------------------------------------------------------------

    def full(self) -> bool:
        """Returns whether the outbox has reached its limit; use is still counted then, but not cut."""
        return self.outbox_bytes >= self.max_bytes

    async def seal(self) -> int:
        """Cuts and seals all counted use into batches, and returns how many; raises LogError or OSError."""
        async with self.seal_lock:
            if self.full():
                return 0
            self.flush()
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
        self.batch_sealed.set()
        if self.outbox_bytes >= OUTBOX_WARNING_FRACTION * self.max_bytes and not self.near_limit:
            self.near_limit = True
            log.warning("the outbox of sealed use is near its bound: %.1f of %.1f MB, the receiver is behind",
                        self.outbox_bytes / 1e6, self.max_bytes / 1e6)

    def _write_step(self, record: t.Record) -> None:
        """Writes the record of a batch's step, on which the next steps depend.

        Raises LogError if it cannot be written; the step was not taken then and is retried later.
        """
        self.enqueue(record)
        self.flush()
        if self.failing:
            self.unwritten.remove(record)
            raise LogError(f"{self.log.path}: a batch waits until it can be written again")

    def ready(self) -> list[t.Batch]:
        """Returns the sealed batches, oldest first."""
        return [b for b in self.tally.batches.values() if b.sealed]

    async def mark_acknowledged(self, batch: t.Batch) -> None:
        """Records durably that the receiver has the batch, then removes its file; raises LogError."""
        self.step("acknowledged")
        path = self.file(batch)
        self._write_step(t.Acked(batch.seq))
        await self.sync()
        self.step("acked")
        size = path.stat().st_size if path.exists() else 0
        path.unlink(missing_ok=True)
        self.step("dropped")
        self.outbox_bytes -= size
        if self.near_limit and self.outbox_bytes < OUTBOX_WARNING_FRACTION * self.max_bytes / 2:
            self.near_limit = False

    # Maintenance --------------------------------------------------------------------------

    async def run_maintenance(self, sync_ms: float, seal_s: float) -> None:
        """Syncs, seals and compacts until it is cancelled.

        ``sync_ms`` is the period of syncs in milliseconds, ``seal_s`` that of seals in seconds.
        """
        next_seal = self.clock() + seal_s
        while True:
            await asyncio.sleep(sync_ms / 1000.0)
            try:
                if self.log.broken:
                    await self.compact()
                if self.unwritten:
                    self.flush()
                if self.unsynced:
                    self.unsynced = False
                    await self.sync()
                early = len(self.tally.rows) >= MAX_ROWS
                if early or not 0 < next_seal - self.clock() <= seal_s:
                    next_seal = self.clock() + seal_s
                    await self.seal()
                if self.log.size > self.compacted_size + self.compact_after_bytes:
                    await self.compact()
            except (LogError, OSError) as error:
                self.counters.add("errors.ledger")
                log.error("maintenance of the ledger failed: %s", error)

    async def compact(self) -> None:
        """Rewrites the log as one record of its sums, while counting goes on; raises LogError.

        This also restores a log whose sync failed.
        """
        async with self.seal_lock, self.log_lock:
            self.flush()
            if self.failing and not self.log.broken:
                return
            self.log.begin_rewrite([t.encode(self.tally.base())])
            await asyncio.to_thread(self.log.sync_rewrite)
            self.log.swap()
            await asyncio.to_thread(sync_folder, self.log.path.parent)
            self.compacted_size = self.log.size
            self.step("shortened")

    async def sync(self) -> None:
        """Syncs the log, which is not replaced by a rewrite meanwhile; raises LogError."""
        async with self.log_lock:
            await asyncio.to_thread(self.log.sync)

    def close(self) -> None:
        """Writes and syncs all records, then closes the ledger and releases its folder."""
        self.flush()
        try:
            self.log.sync()
        except LogError as error:
            log.error("%s", error)
        self.log.close()
        self.folder_lock.close()
