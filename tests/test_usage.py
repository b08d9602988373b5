"""Metering: use is counted and exported exactly once, also by instances that are killed."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from larklb.counters import Counters
from larklb.export import exporter as ex
from larklb.export import ledger as ledger_module
from larklb.export import tally as t
from larklb.export.audit import audit, read
from larklb.export.ledger import STEPS, Ledger
from larklb.state.log import LogError, replay
from tests.receiver import Receiver
from tests.standins import ROOT, Cluster, Limiter, ask, job
from tests.test_grpc import descriptor, question

KEY = t.Key(0, f"{1:016x}", "slow", 3, "place-order", 0, False)


class Clock:
    def __init__(self, now: float = 1_000_000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def ledger(folder: Path, **more: Any) -> Ledger:
    return Ledger(folder, "n0", Counters("n0"), **{"clock": Clock(), **more})


async def served(x: Ledger, name: str, units: float = 1.0, account: int = 1) -> None:
    ticket = await x.begin(name, x.key(f"{account:016x}", "slow", 3, "place-order"), units)
    ticket.fully_sent = True
    x.end(ticket)


# The tally ------------------------------------------------------------------------------


@given(st.integers(0, 2**32))
@tries(max_examples=80, deadline=None)
def test_sums_hold_over_random_records_restarts_and_rewrites(seed: int) -> None:
    """Beside a plain count: what was sent, or in flight at a restart, is in one place and in one only."""
    chance, tally, n = random.Random(seed), t.Tally(), 0
    payloads: list[bytes] = []
    expected, acked_events = 0, 0

    def note(r: t.Record) -> None:
        payloads.append(t.encode(r))
        tally.apply(t.decoder.decode(payloads[-1]))

    for _ in range(120):
        key = KEY._replace(period=chance.randrange(3) * 3600, account=f"{chance.randrange(900):016x}")
        match chance.choice("bbbbeeuucsark"):
            case "b":
                n += 1
                note(t.Begun(n, f"j{n}", key, chance.randrange(1, 3_000_000)))
            case "e" if tally.begun:
                b = tally.begun[chance.choice(list(tally.begun))]
                sent = chance.random() < 0.8
                expected += b.units if sent else 0
                note(t.Ended([b.number] if sent else [], [] if sent else [b.number]))
            case "u":
                units = chance.randrange(1, 9) * t.MICROUNITS_PER_UNIT
                expected += units
                note(t.Used(key, units))
            case "c" if tally.rows:
                note(t.Cut(tally.next_seq, tally.batches_needed(), 5000.0))
            case "s" if any(not b.sealed for b in tally.batches.values()):
                note(t.Sealed(next(b.seq for b in tally.batches.values() if not b.sealed)))
            case "a" if any(b.sealed for b in tally.batches.values()):
                batch = next(b for b in tally.batches.values() if b.sealed)
                acked_events += batch.total.units
                note(t.Acked(batch.seq))
            case "r":
                expected += sum(b.units for b in tally.begun.values())
                note(t.Started(tally.incarnation + 1, 0.0))
            case "k":
                payloads[:] = [t.encode(tally.base())]
        again = t.replay_records(payloads)
        assert again == tally and list(again.rows) == list(tally.rows), "in order too: batches are cut by it"
    uncut = sum(units for units, _ in tally.rows.values())
    waiting = sum(b.total.units for b in tally.batches.values())
    assert tally.counted.units == expected == uncut + waiting + acked_events
    assert tally.acked.units == acked_events
    assert tally.cut.units == waiting + acked_events


def test_batch_is_encoded_as_deterministic_cloudevents() -> None:
    rows = [t.Row(KEY, 2_500_000, 3), t.Row(KEY._replace(reservation=255, beyond=True), 1, 1)]
    batch = t.Batch(7, 2, 1_700_000_000_000.0, rows, t.Sum(2_500_001, 4))
    data = t.batch_bytes("n0", batch)
    assert data == t.batch_bytes("n0", batch) and t.batch_sum(data)[0] == batch.total
    first, second = json.loads(data)
    assert first == {
        "id": "n0-2-7-0", "source": "/larklb/n0", "type": "larklb.use.v1", "subject": f"{1:016x}",
        "time": "2023-11-14T22:13:20Z", "specversion": "1.0", "datacontenttype": "application/json",
        "data": {"periodStart": "1970-01-01T00:00:00Z", "account": f"{1:016x}", "plan": "slow",
                 "planVersion": 3, "serviceClass": "place-order", "units": "2.5", "tries": 3,
                 "reservation": "", "beyondQuota": False}}
    assert second["data"]["reservation"] == "000000ff" and second["data"]["units"] == "0.000001"
    assert second["id"] == "n0-2-7-1"


# The ledger and the exporter in this process --------------------------------------------


def test_begins_are_written_first_and_one_write_serves_a_turn_of_the_loop(tmp_path: Path) -> None:
    async def go() -> None:
        writes: list[str] = []
        x = ledger(tmp_path, step=lambda name: writes.append(name) if name == "appended" else None)
        before = len(writes)
        tickets = await asyncio.gather(*(x.begin(f"j{i}", KEY, 1.0) for i in range(50)))
        assert len(writes) - before == 1
        assert {b.job for b in read(tmp_path).begun.values()} == {f"j{i}" for i in range(50)}
        tickets[0].fully_sent = True
        for ticket in tickets:
            x.end(ticket)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        tally = read(tmp_path)
        assert tally.counted == t.Sum(1_000_000, 1) and not tally.begun, (
            "tries whose request was not fully sent are not counted")
        x.close()
    asyncio.run(go())


def test_tries_in_flight_at_a_kill_count_and_are_listed(tmp_path: Path) -> None:
    async def go() -> None:
        x = ledger(tmp_path)
        await served(x, "done")
        await x.begin("in flight", KEY, 2.0)
        x.folder_lock.close()              # as after a kill
        again = ledger(tmp_path)
        assert again.tally.counted == t.Sum(3_000_000, 2) and again.tally.incarnation == 2
        assert [(d.job, d.incarnation) for d in again.tally.doubts] == [("in flight", 1)]
        again.close()
    asyncio.run(go())


@pytest.mark.parametrize("behaviour", ["break", "500", "late", "reset", "old", "refuse"])
def test_batch_is_resent_unchanged_until_acknowledged(
        tmp_path: Path, behaviour: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ex, "DELIVERY_TIMEOUT_S", 0.3)

    async def go() -> None:
        receiver = Receiver(["ok", behaviour, behaviour])
        await receiver.start()
        x = ledger(tmp_path)
        endpoint = ex.receiver(receiver.url)
        exporter = ex.Exporter(x, x.counters, endpoint, max_wait_s=0.1)
        await served(x, "first")
        assert await x.seal() == 1 and await exporter.all() == 1
        for i in range(4):
            await served(x, f"j{i}", account=i)
        await x.seal()
        for _ in range(2):
            with pytest.raises(ex.DeliveryError):
                await exporter.all()
            assert len(x.ready()) == 1 and x.tally.acked.tries == 1
        assert await exporter.all() == 1 and receiver.deliveries == 4
        assert not receiver.differing and receiver.tries() == x.tally.counted.tries == 5
        assert not list(x.outbox.iterdir()) and not audit(tmp_path, "n0").differences
        x.close()
        await receiver.stop()
    asyncio.run(go())


def test_retries_back_off_within_their_maximum_and_warn_once(
        tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def go() -> None:
        x = ledger(tmp_path)
        exporter = ex.Exporter(x, x.counters, ex.receiver("http://127.0.0.1:1/"), max_wait_s=4.0, seed=5)
        await served(x, "j")
        await x.seal()
        pauses: list[float] = []

        async def sleep(s: float) -> None:
            pauses.append(s)
            if len(pauses) == 8:
                raise asyncio.CancelledError

        with pytest.raises(asyncio.CancelledError):
            await exporter.run(sleep)
        for i, pause in enumerate(pauses):
            longest = min(4.0, 0.5 * 2**i)
            assert longest / 2 <= pause <= longest
        assert len(set(pauses)) == 8 and x.counters["errors.export"] == 8
        assert sum("is kept" in r.message for r in caplog.records) == 1
        x.close()
    asyncio.run(go())


def test_unavailable_receiver_costs_bounded_disk_and_memory_and_loses_nothing(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> None:
    monkeypatch.setattr(ledger_module, "MAX_ROWS", 30)

    async def go() -> None:
        clock = Clock()
        x = ledger(tmp_path, max_mb=0.05, clock=clock)
        for n in range(600):
            clock.now += 60.0
            await x.record_use(x.key(f"{n:016x}", "slow", 3, "place-order"), 1.0)
            if n % 5 == 0:
                await x.seal()
        size = sum(p.stat().st_size for p in x.outbox.iterdir())
        assert x.full() and size == x.outbox_bytes < 60_000
        assert len(x.tally.rows) <= 32 and x.counters["errors.ledger_unattributed"] > 0
        assert sum("near its bound" in r.message for r in caplog.records) == 1
        assert len(t.replay_records([t.encode(x.tally.base())]).periods) < 12, (
            "no new period begins while the outbox is full")
        done = tmp_path / "out"
        await ex.Exporter(x, x.counters, done).all()
        await x.seal()
        await ex.Exporter(x, x.counters, done).all()
        found = audit(tmp_path, "n0", done)
        assert not found.differences and found.received == found.tally.counted == t.Sum(600_000_000, 600)
        x.close()
    asyncio.run(go())


def test_clock_set_back_reopens_no_period_and_a_period_ending_while_down_is_exported(tmp_path: Path) -> None:
    async def go() -> None:
        clock = Clock(7200.0 * 100)
        x = ledger(tmp_path, clock=clock)
        await served(x, "before")
        clock.now -= 3 * 3600
        await served(x, "set back")
        x.folder_lock.close()
        clock.now += 10 * 3600
        y = ledger(tmp_path, clock=clock)
        await served(y, "later")
        assert await y.seal() == 1
        rows = json.loads(next(y.outbox.iterdir()).read_bytes())
        assert [(r["data"]["periodStart"], r["data"]["tries"]) for r in rows] == [
            ("1970-01-09T08:00:00Z", 2), ("1970-01-09T15:00:00Z", 1)]
        y.close()
    asyncio.run(go())


def test_full_disk_blocks_no_job_and_the_use_is_written_later(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> None:
    async def go() -> None:
        x = ledger(tmp_path)
        real = os.pwrite

        def full(fd: int, data: bytes, at: int) -> int:
            raise OSError(errno.ENOSPC, "no space left on device")

        monkeypatch.setattr(os, "pwrite", full)
        for i in range(3):
            await served(x, f"j{i}")
        await asyncio.sleep(0.01)
        assert await x.seal() == 0
        assert sum("memory alone" in r.message for r in caplog.records) == 1
        monkeypatch.setattr(os, "pwrite", real)
        await served(x, "again")
        x.flush()
        assert read(tmp_path).counted == t.Sum(4_000_000, 4) and x.counters["errors.ledger_lost"] == 0
        x.close()
    asyncio.run(go())


def test_corruption_is_an_error_and_a_missing_or_changed_batch_is_named(tmp_path: Path) -> None:
    async def go() -> None:
        x = ledger(tmp_path)
        for i in range(5):
            await served(x, f"j{i}")
        await x.seal()
        x.close()
        batch = next((tmp_path / "outbox").iterdir())
        good = batch.read_bytes()
        batch.write_bytes(good.replace(b'"tries":5', b'"tries":6'))
        assert audit(tmp_path, "n0").differences == [
            "batch n0-1-1: sealed 5 in 5, its file says 5 in 6"]
        batch.unlink()
        assert audit(tmp_path, "n0").differences == ["batch n0-1-1 is sealed, and its file is missing"]
        with pytest.raises(LogError, match="a sealed batch is missing"):
            ledger(tmp_path)
        batch.write_bytes(good)
        log = tmp_path / "ledger.log"
        data = bytearray(log.read_bytes())
        data[20] ^= 1
        log.write_bytes(data)
        with pytest.raises(LogError, match="broken at byte 8"):
            ledger(tmp_path)
    asyncio.run(go())


# Real instances ---------------------------------------------------------------------------


def operator_text(export: str, seal_s: float = 0.15) -> str:
    return (f'[state]\nfolder = "var"\nsync_ms = 20.0\n[ledger]\nseal_s = {seal_s}\nrewrite_mb = 0.002\n'
            f'[export]\n{export}\nmost_wait_s = 0.2\n')


async def larklb(*words: str, env: dict[str, str] | None = None) -> tuple[int, str]:
    """Runs a command and returns its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "larklb", *words, env={**os.environ, "PYTHONPATH": str(ROOT), **(env or {})},
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    out, _ = await asyncio.wait_for(process.communicate(), 60)
    assert process.returncode is not None
    return process.returncode, out.decode()


async def until_dead(limiter: Limiter, number: int) -> None:
    """Sends jobs until the process has died at the step of its fault."""
    # Some steps are reached by time, whatever the number of jobs.
    deadline, i = time.monotonic() + 20.0, 0
    while time.monotonic() < deadline:
        i += 1
        assert limiter.process is not None
        if limiter.process.returncode is not None:
            return
        try:
            await ask(limiter.port, job(account=number * 1000 + i % 7, service="place-order"))
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.01)
    raise AssertionError(f"the process has not died at the step of {limiter.environment}")


async def kill_at_step(folder: Path, step: str, number: int) -> None:
    receiver = Receiver()
    await receiver.start()
    async with Cluster(folder, more=operator_text(f'url = "{receiver.url}"')) as cluster:
        limiter = cluster.limiters[0]
        for n in (1, 3):
            # The running limiter has no fault configured; its successor dies at the step.
            await limiter.stop(signal.SIGKILL)
            limiter.environment = {"LARKLB_FAULT": f"{step}:{n}"}
            try:
                await limiter.start()
                await until_dead(limiter, number)
            except AssertionError:
                assert limiter.process is not None and limiter.process.returncode == -signal.SIGKILL, step
            limiter.environment = {}
            await limiter.start()
            for i in range(3):
                assert (await ask(limiter.port, job(account=i, service="place-order")))[0] == 200
        status, output = await larklb("usage", "export", str(cluster.operator()))
        assert status == 0, output
        found = audit(folder / "var" / "n0" / "use", "n0")
        assert not found.differences and found.waiting == t.Sum() == found.uncut
        assert receiver.tries() == found.tally.counted.tries and not receiver.differing
        outbox = folder / "var" / "n0" / "use" / "outbox"
        # The command is answered before the sync that precedes the removal of a file.
        for _ in range(500):
            if not list(outbox.iterdir()):
                break
            await asyncio.sleep(0.02)
        assert not list(outbox.iterdir()), "acknowledged batches are removed from the outbox"
        assert round(receiver.units() * t.MICROUNITS_PER_UNIT) == found.tally.counted.units
        # Tries that the ledger counted and no node recorded were in flight at a kill and are in doubt.
        executed, doubts = set(cluster.attempts()), {d.job for d in found.tally.doubts}
        assert found.tally.counted.tries == len(executed) + len(doubts - executed)
        assert await limiter.stop() == 0
    await receiver.stop()


def test_exported_use_equals_counted_use_after_kills_at_each_step(tmp_path: Path) -> None:
    async def go() -> None:
        for some in (STEPS[:8], STEPS[8:]):
            folders = [tmp_path / step for step in some]
            for folder in folders:
                folder.mkdir()
            await asyncio.gather(*(kill_at_step(f, f.name, i) for i, f in enumerate(folders)))
    asyncio.run(go())


def test_export_command_resumes_an_export_and_excludes_a_running_instance(tmp_path: Path) -> None:
    async def go() -> None:
        receiver = Receiver()
        await receiver.start()
        async with Cluster(tmp_path, more=operator_text(f'url = "{receiver.url}"', seal_s=60.0)) as cluster:
            limiter, operator = cluster.limiters[0], str(cluster.operator())
            for i in range(5):
                await ask(limiter.port, job(account=i))
            (tmp_path / "n0.sock").unlink()
            status, output = await larklb("usage", "export", operator)
            assert limiter.process is not None
            assert status == 1 and f"in use by process {limiter.process.pid}" in output
            await limiter.stop(signal.SIGKILL)
            status, _ = await larklb("usage", "export", operator, env={"LARKLB_FAULT": "sent:1"})
            assert status == -signal.SIGKILL and receiver.deliveries == 1
            status, output = await larklb("usage", "export", operator)
            assert status == 0 and receiver.deliveries == 2 and receiver.tries() == 5, output
            assert not receiver.differing
            status, output = await larklb("usage", "verify", operator)
            assert status == 0 and "5 in 5" in output
        await receiver.stop()
    asyncio.run(go())


def test_both_front_ends_count_exactly_what_the_quota_counts(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, more=operator_text('folder = "billed"', seal_s=60.0)) as cluster:
            limiter, operator = cluster.limiters[0], str(cluster.operator())
            assert (await ask(limiter.port, job(plan="slow", service="place-order")))[0] == 200
            assert (await question(limiter, descriptor(), hits=4)).overall_code == 1
            assert (await question(limiter, descriptor(), hits=9)).overall_code == 2
            assert [(await ask(limiter.port, job(plan="slow")))[0] for _ in range(6)] == [200] * 5 + [429]
            assert (await ask(limiter.port, job(plan="nobody's")))[0] == 400
            status, output = await larklb("usage", "show", operator, "--json", "--rows")
            assert status == 0
            rows = {r["class"]: (r["units"], r["tries"]) for r in json.loads(output)["rows"]}
            assert rows == {"place-order": ("5", 2), "stock-check": ("5", 5)}
            status, output = await larklb("usage", "export", operator)
            assert status == 0, output
            status, output = await larklb("usage", "verify", operator, "--json")
            assert status == 0 and json.loads(output)["received"] == "10 in 7"
            next((tmp_path / "billed").iterdir()).unlink()
            status, output = await larklb("usage", "verify", operator)
            assert status == 3 and "n0: acknowledged 10 in 7, received 0 in 0" in output
            assert replay(tmp_path / "var" / "n0" / "use" / "ledger.log").torn == 0
    asyncio.run(go())
