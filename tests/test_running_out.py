"""Exhaustion of disk, descriptors or memory: accepted jobs are answered and stored data stays correct."""

from __future__ import annotations

import asyncio
import errno
import itertools
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from larklb import interface as io
from larklb.counters import Counters
from larklb.export import ledger as ledger_module
from larklb.export import tally as t
from larklb.export.audit import read
from larklb.export.ledger import Ledger
from larklb.quota.reservations import ReservationLimits, Reservations, Wanted
from larklb.state import folder as state_folder
from larklb.state.log import Log, LogError, replay
from larklb.state.reservation_log import ReservationLog
from tests.test_usage import ledger, served


class Disk:
    """Makes functions of ``os`` fail after ``after`` calls, once or, if ``lasting``, from then on."""

    def __init__(self, patch: pytest.MonkeyPatch, *names: str, after: int = 0, lasting: bool = True,
                 code: int = errno.ENOSPC) -> None:
        self.left, self.lasting, self.on = after, lasting, True
        for name in names:
            patch.setattr(os, name, self._failing(getattr(os, name), code))

    def _failing(self, real: Callable[..., Any], code: int) -> Callable[..., Any]:
        def call(*args: Any, **more: Any) -> Any:
            self.left -= 1
            if self.on and (self.left == -1 or self.left < 0 and self.lasting):
                raise OSError(code, os.strerror(code))
            return real(*args, **more)
        return call


async def maintenance_done(x: Ledger) -> None:
    """Waits until maintenance has restored the ledger, for a limited time."""
    for _ in range(500):
        if not (x.log.broken or x.failing or x.unwritten):
            break
        await asyncio.sleep(0.01)


# The log, the ledger and the reservations ---------------------------------------------------


def test_failed_truncation_is_retried_before_the_next_record(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed truncation raised no LogError, and whoever waited for the record was blocked forever."""
    log, real = Log(tmp_path / "log"), os.pwrite

    def half(fd: int, data: bytes, at: int) -> int:
        if len(data) > 20:
            return real(fd, bytes(data)[:20], at)
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", half)
        Disk(patch, "ftruncate", code=errno.EIO)
        for _ in range(2):
            with pytest.raises(LogError):
                log.append([b"first", b"second, longer than there is room"])
    log.append([b"x"])
    assert replay(tmp_path / "log").records == [b"x"]
    log.close()


def test_rewrite_restores_a_log_whose_sync_failed(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The log rejected all records until a restart, while later ones were kept in memory only."""
    async def go() -> None:
        x = ledger(tmp_path)
        await served(x, "before")
        with monkeypatch.context() as patch:
            Disk(patch, "fsync", lasting=False)
            with pytest.raises(LogError):
                await x.sync()
            with pytest.raises(LogError, match="could not be brought"):
                await x.sync()                  # a second fsync may report success for lost data
        await served(x, "meanwhile")
        keeping = asyncio.create_task(x.run_maintenance(10.0, 1e6))
        await maintenance_done(x)
        await served(x, "after")
        x.flush()
        keeping.cancel()
        assert read(tmp_path).counted == t.Sum(3_000_000, 3) and not x.failing
        x.close()
    asyncio.run(go())


def test_batch_stays_in_the_outbox_if_its_acknowledgement_cannot_be_written(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The file was removed all the same, and after a kill the instance could not be started."""
    async def go() -> None:
        x = ledger(tmp_path)
        await served(x, "j")
        assert await x.seal() == 1
        batch = x.ready()[0]
        with monkeypatch.context() as patch:
            Disk(patch, "pwrite")
            for _ in range(2):
                with pytest.raises(LogError):
                    await x.mark_acknowledged(batch)
        x.folder_lock.close()              # as after a kill
        y = ledger(tmp_path)
        assert [b.seq for b in y.ready()] == [batch.seq] and y.file(batch).exists()
        await y.mark_acknowledged(y.ready()[0])
        assert y.tally.acked == t.Sum(1_000_000, 1) and not y.outbox_bytes
        y.close()
    asyncio.run(go())


def test_ledger_stays_usable_after_dropping_records(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The end of a try whose begin was dropped broke the sums, waiting jobs and the next start."""
    async def go() -> None:
        x = ledger(tmp_path)
        monkeypatch.setattr(ledger_module, "MAX_UNWRITTEN_RECORDS", 5)
        with monkeypatch.context() as patch:
            Disk(patch, "pwrite")
            out = [await asyncio.wait_for(x.begin(f"j{i}", t.Key(0, "1", "slow", 0, "c", 0, False), 1.0), 1)
                   for i in range(9)]
        for ticket in out:
            ticket.fully_sent = True
            x.end(ticket)
        await asyncio.wait_for(served(x, "again"), 1)
        x.flush()
        lost = x.counters["errors.ledger_lost"]
        x.close()
        y = ledger(tmp_path)
        assert lost == 4 and y.tally.counted.tries == 6 and not y.tally.in_doubt
        y.close()
    asyncio.run(go())


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_use_is_billed_once_whichever_system_call_fails(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int) -> None:
    """Each call fails, once or persistently; then the disk recovers and the process is restarted."""
    async def day(folder: Path, after: int, lasting: bool) -> bool:
        counters, billed = Counters("n0"), dict[str, bytes]()

        async def deliver(x: Ledger) -> None:
            for batch in x.ready():
                name = f"{batch.incarnation}-{batch.seq}"
                assert billed.setdefault(name, x.file(batch).read_bytes()) == x.file(batch).read_bytes()
                await x.mark_acknowledged(batch)

        x = Ledger(folder, "n0", counters, clock=lambda: 1e6)
        with monkeypatch.context() as patch:
            disk = Disk(patch, "pwrite", "write", "fsync", "ftruncate", "rename", "open", after=after,
                        lasting=lasting, code=code)
            for i in range(3):
                await asyncio.wait_for(served(x, f"j{i}"), 1)
                await asyncio.sleep(0)
                for step in (x.seal, lambda: deliver(x), x.compact):
                    try:
                        await step()
                    except (LogError, OSError):
                        pass
            reached = disk.left < 0
        keeping = asyncio.create_task(x.run_maintenance(1.0, 1e6))     # the disk has recovered
        await asyncio.wait_for(served(x, "last"), 5)
        await maintenance_done(x)
        keeping.cancel()
        x.flush()
        assert not x.failing and not x.log.broken
        x.folder_lock.close()              # as after a kill
        x.log.close()
        y = Ledger(folder, "n0", counters, clock=lambda: 1e6)
        await y.seal()
        await deliver(y)
        total = sum(t.batch_sum(data)[0].tries for data in billed.values())
        assert total == y.tally.counted.tries == 4 and not list(y.outbox.iterdir())
        y.close()
        return reached

    steps = itertools.count()
    while any([asyncio.run(day(tmp_path / f"{after}-{lasting}", after, lasting))
               for after in [next(steps)] for lasting in (False, True)]):
        pass
    assert next(steps) > 30


def test_memory_error_in_a_write_blocks_no_job(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The records were lost, and the jobs that waited for them were never sent."""
    async def go() -> None:
        x = ledger(tmp_path)
        real, calls = x.log.append, itertools.count()

        def append(payloads: list[bytes]) -> None:
            if next(calls) == 0:
                raise MemoryError
            real(payloads)

        monkeypatch.setattr(x.log, "append", append)
        await asyncio.wait_for(served(x, "j"), 1)
        await asyncio.wait_for(served(x, "k"), 1)
        x.flush()
        assert read(tmp_path).counted == t.Sum(2_000_000, 2)
        x.close()
    asyncio.run(go())


def reserved_log(folder: Path) -> tuple[Reservations, ReservationLog]:
    reservations = Reservations(ReservationLimits(), 1, 0)
    return reservations, ReservationLog(folder / "reservations.log", reservations, 0.0)


def test_draws_that_could_not_be_written_are_written_later(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The draws were never written, even after the disk had recovered, and could be drawn twice."""
    for code, names in ((errno.ENOSPC, ("pwrite",)), (errno.EIO, ("fsync",))):
        folder = tmp_path / names[0]
        folder.mkdir()
        reservations, kept = reserved_log(folder)
        wanted = [Wanted(n, f"{1:016x}", "slow", 10.0, 0.0, 9000.0) for n in ("a", "b", "refused")]
        a, b = (reservations.add(w, True, 0.0, 1.0) for w in wanted[:2])
        kept.record_added(a)
        kept.record_added(b)
        with monkeypatch.context() as patch:
            Disk(patch, *names, code=code)
            refused = reservations.add(wanted[2], True, 0.0, 1.0)
            with pytest.raises(LogError):
                kept.record_added(refused)
            reservations.remove(refused)
            a.draw(4.0)
            with pytest.raises(LogError):
                kept.record_draw(io.RecordDraw(a.tag, a.drawn), 0)
        b.draw(1.0)
        kept.record_draw(io.RecordDraw(b.tag, b.drawn), 0)
        again, _ = reserved_log(folder)                    # after a kill and restart
        assert {r.wanted.name: r.drawn for r in again.by_name.values()} == {"a": 4.0, "b": 1.0}


def test_failed_sync_of_a_folder_is_a_log_error(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The error silently ended the task that compacts the log of reservations."""
    _, kept = reserved_log(tmp_path)
    Disk(monkeypatch, "open", after=1, code=errno.EMFILE)
    with pytest.raises(LogError):
        kept.log.rewrite([])


def test_partial_file_never_replaces_the_old_one(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    state_folder.write_file_atomically(tmp_path / "f", b"old")
    for after in range(3):
        with monkeypatch.context() as patch:
            Disk(patch, "open", "write", "fsync", "rename", after=after)
            with pytest.raises(OSError):
                state_folder.write_file_atomically(tmp_path / "f", b"new")
        assert (tmp_path / "f").read_bytes() == b"old"
