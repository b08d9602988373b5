"""Adoption: use counted by a lost instance is exported by another instance, exactly once."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest

from larklb.export import tally as t
from larklb.export.adoption import due_adoptions, has_unexported_use
from larklb.export.audit import audit
from larklb.state.folder import is_locked
from tests.receiver import Receiver
from tests.standins import Cluster, ask, job
from tests.test_usage import larklb, operator_text

ADOPT = "adopt_s = 1.0\n"


def text(receiver: Receiver, seal_s: float = 60.0) -> str:
    return operator_text(f'url = "{receiver.url}"', seal_s).replace("[export]", ADOPT + "[export]")


def test_adoptions_are_due_at_staggered_times_after_the_lock_is_free() -> None:
    assert due_adoptions(10.0, {"a": 9.5, "b": 8.9}, 1.0, {}) == ["b"]
    assert due_adoptions(10.0, {"a": 8.9}, 1.0, {"a": 1}) == []
    assert due_adoptions(10.0, {"a": 8.4}, 1.0, {"a": 1}) == ["a"]


async def all_received(receiver: Receiver, tries: int, within: float = 12.0) -> None:
    for _ in range(int(within / 0.05)):
        if receiver.tries() >= tries:
            return
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("moods", [[], ["break"], ["500", "refuse"], ["reset", "old"]])
def test_use_of_a_lost_instance_is_exported_once_by_one_other(tmp_path: Path, moods: list[str]) -> None:
    """The instance is killed during its export, with some batches acknowledged, and returns later."""
    async def go() -> None:
        receiver = Receiver(moods)
        await receiver.start()
        async with Cluster(tmp_path, 3, more=text(receiver, 0.3 if moods else 60.0)) as cluster:
            lost = cluster.limiters[0]
            for i in range(7):
                assert (await ask(lost.port, job(account=i, service="place-order")))[0] == 200
            for _ in range(200 if moods else 0):
                if receiver.deliveries:        # the first batch has arrived and is not acknowledged yet
                    break
                await asyncio.sleep(0.01)
            await lost.stop(signal.SIGKILL)
            folder = tmp_path / "var" / "n0" / "use"
            await all_received(receiver, 7)
            for _ in range(100):
                if not has_unexported_use(folder):
                    break
                await asyncio.sleep(0.1)
            assert receiver.tries() == 7 and not receiver.differing and not has_unexported_use(folder)
            found = audit(folder, "n0")
            assert not found.differences and found.tally.counted.tries == 7 == found.tally.acked.tries
            counts: Counter[str] = Counter()
            for limiter in cluster.limiters[1:]:
                counts.update(await limiter.counters())
            assert counts["adopted.ledgers"] == 1 and not counts["errors.adopted"]
            for _ in range(100):
                if not is_locked(folder):        # a start fails while the adopter has the lock
                    break
                await asyncio.sleep(0.05)
            await lost.start()
            for i in range(2):
                assert (await ask(lost.port, job(account=i)))[0] == 200
            assert await lost.stop() == 0  # lost again: its further use is adopted
            await all_received(receiver, 9)
            found = audit(folder, "n0")
            assert receiver.tries() == 9 == found.tally.counted.tries and not found.differences
            assert found.tally.counted == t.Sum(found.tally.counted.units, 9)
        await receiver.stop()
    asyncio.run(go())


def test_running_instance_is_not_adopted(tmp_path: Path) -> None:
    async def go() -> None:
        receiver = Receiver()
        await receiver.start()
        async with Cluster(tmp_path, 2, more=text(receiver)) as cluster:
            first = cluster.limiters[0]
            for i in range(3):
                assert (await ask(first.port, job(account=i)))[0] == 200
            await asyncio.sleep(2.5)
            assert receiver.deliveries == 0, "a running instance holds the lock of its folder"
        await receiver.stop()
    asyncio.run(go())


def test_briefly_absent_instance_exports_its_own_use(tmp_path: Path) -> None:
    async def go() -> None:
        receiver = Receiver()
        await receiver.start()
        async with Cluster(tmp_path, 2, more=text(receiver).replace(ADOPT, "adopt_s = 8.0\n")) as cluster:
            first = cluster.limiters[0]
            assert (await ask(first.port, job()))[0] == 200
            await first.stop(signal.SIGKILL)
            await first.start()
            await asyncio.sleep(3.0)
            assert receiver.deliveries == 0 and "adopted.ledgers" not in await cluster.limiters[1].counters()
        await receiver.stop()
    asyncio.run(go())


def test_adopt_command_shows_the_use_before_exporting_it(tmp_path: Path) -> None:
    async def go() -> None:
        receiver = Receiver()
        await receiver.start()
        async with Cluster(tmp_path, 2, more=text(receiver).replace(ADOPT, "")) as cluster:
            for i in range(3):
                assert (await ask(cluster.limiters[0].port, job(account=i)))[0] == 200
            await cluster.limiters[0].stop(signal.SIGKILL)
            operator = str(cluster.operator())
            status, output = await larklb("fleet", "adopt", operator)
            assert status == 0 and "it runs" in output and "nothing was changed" in output
            assert receiver.deliveries == 0
            status, output = await larklb("fleet", "adopt", operator, "n0", "--yes")
            assert status == 0 and "exported" in output and receiver.tries() == 3
            assert (await larklb("fleet", "adopt", operator, "n9"))[0] == 2
        await receiver.stop()
    asyncio.run(go())


def test_use_waits_for_its_own_instance_if_adoption_is_off(tmp_path: Path) -> None:
    async def go() -> None:
        receiver = Receiver()
        await receiver.start()
        async with Cluster(tmp_path, 2, more=text(receiver).replace(ADOPT, "")) as cluster:
            assert (await ask(cluster.limiters[0].port, job()))[0] == 200
            await cluster.limiters[0].stop(signal.SIGKILL)
            await asyncio.sleep(3.0)
            assert receiver.deliveries == 0 and has_unexported_use(tmp_path / "var" / "n0" / "use")
        await receiver.stop()
    asyncio.run(go())
