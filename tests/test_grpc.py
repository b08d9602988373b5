"""Tests of the gRPC rate limit service, which shares its quota with HTTP."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import pytest

from larklb import interface as io
from larklb.grpc.front import SERVICE
from larklb.grpc.ratelimit_pb2 import RateLimitDescriptor
from larklb.grpc.rls_pb2 import RateLimitRequest, RateLimitResponse
from larklb.quota.ring import digest, ring_owner
from tests.conftest import Bed
from tests.standins import Cluster, Limiter, RespServer, ask, job

OK, OVER = RateLimitResponse.OK, RateLimitResponse.OVER_LIMIT


def descriptor(account: int = 1, plan: str = "slow", service: str = "place-order", spread: int = 1,
               first: int = 0, **more: str) -> RateLimitDescriptor:
    entries = {"account": f"{account:016x}", "plan": plan, "class": service,
               "set": f"spread={spread},first={first}", **more}
    pairs = [RateLimitDescriptor.Entry(key=k, value=v) for k, v in entries.items()]
    return RateLimitDescriptor(entries=pairs)


def stub(limiter: Limiter, channel: grpc.aio.Channel) -> Any:
    return channel.unary_unary(f"/{SERVICE}/ShouldRateLimit", RateLimitRequest.SerializeToString,
                               RateLimitResponse.FromString)


async def question(limiter: Limiter, *descriptors: RateLimitDescriptor, hits: int = 0,
                   timeout: float | None = 5.0) -> RateLimitResponse:
    async with grpc.aio.insecure_channel(f"127.0.0.1:{limiter.grpc_port}") as channel:
        request = RateLimitRequest(domain="manta-yard", descriptors=descriptors, hits_addend=hits)
        call = stub(limiter, channel)(request, timeout=timeout, wait_for_ready=True)
        answer: RateLimitResponse = await call
        return answer


async def failure(limiter: Limiter, *descriptors: RateLimitDescriptor,
                  timeout: float = 5.0) -> grpc.StatusCode:
    with pytest.raises(grpc.aio.AioRpcError) as error:
        await question(limiter, *descriptors, timeout=timeout)
    code: grpc.StatusCode = error.value.code()
    return code


def answered(counts: dict[str, int]) -> tuple[int, int]:
    """Returns the numbers of accepted requests and of final answers."""
    return (sum(n for name, n in counts.items() if name.startswith("taken.")),
            sum(n for name, n in counts.items() if name.startswith("answered.")))


def test_units_come_from_one_bucket_and_over_limit_states_the_wait(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, second_front=True) as cluster:
            limiter = cluster.limiters[0]
            assert (await question(limiter, descriptor(), hits=7)).overall_code == OK
            assert [(await ask(limiter.port, job(plan="slow")))[0] for _ in range(2)] == [200, 200]
            answer = await question(limiter, descriptor(), descriptor(account=2), hits=2)
            assert answer.overall_code == OVER and [s.code for s in answer.statuses] == [OVER, OK]
            assert answer.statuses[0].duration_until_reset.ToMilliseconds() == pytest.approx(1e6, rel=0.01)
            assert (await ask(limiter.port, job(plan="slow")))[0] == 200
            assert (await ask(limiter.port, job(plan="slow")))[0] == 429
            assert answered(await limiter.counters()) == (7, 7)
    asyncio.run(go())


@pytest.mark.parametrize("bad", [
    RateLimitDescriptor(), descriptor(plan="none"), descriptor(service="none"), descriptor(spread=0),
    descriptor(more="1")])
def test_a_bad_descriptor_is_an_invalid_argument(tmp_path: Path, bad: RateLimitDescriptor) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, second_front=True) as cluster:
            assert await failure(cluster.limiters[0], bad) is grpc.StatusCode.INVALID_ARGUMENT
            assert await failure(cluster.limiters[0]) is grpc.StatusCode.INVALID_ARGUMENT
            assert answered(await cluster.limiters[0].counters()) == (0, 0)
    asyncio.run(go())


def owner_and_other(account: int, cluster: Cluster) -> tuple[Limiter, Limiter]:
    owner = ring_owner(digest(f"{account:016x}"), [0, 1])
    return cluster.limiters[owner], cluster.limiters[1 - owner]


def test_quota_agrees_over_both_paths_and_limiters_through_a_restart(tmp_path: Path) -> None:
    """Sends half by HTTP and half by gRPC, and restarts the limiter that is not the owner."""
    async def go() -> None:
        async with Cluster(tmp_path, limiters=2, second_front=True) as cluster:
            owner, other = owner_and_other(1, cluster)
            granted = 0
            for round_number in range(4):
                for limiter in (owner, other):
                    order = job(service="place-order", plan="slow", spread=2)
                    granted += (await ask(limiter.port, order))[0] == 200
                    granted += (await question(limiter, descriptor(spread=2))).overall_code == OK
                if round_number == 1:
                    assert answered(await other.counters()) == (4, 4)
                    assert await other.stop() == 0
                    await other.start()
            assert granted == 10
            assert answered(await owner.counters()) == (8, 8) and answered(await other.counters()) == (4, 4)
    asyncio.run(go())


def test_restarted_owner_reloads_its_buckets_and_works_without_the_store(tmp_path: Path) -> None:
    async def go() -> None:
        store = RespServer()
        await store.start()
        async with Cluster(tmp_path, second_front=True, store=f"redis://127.0.0.1:{store.port}/0") as cluster:
            limiter = cluster.limiters[0]
            assert (await question(limiter, descriptor(), hits=6)).overall_code == OK
            assert await limiter.stop() == 0
            await limiter.start()
            assert (await question(limiter, descriptor(), hits=5)).overall_code == OVER
            assert (await question(limiter, descriptor(), hits=3)).overall_code == OK
            await asyncio.sleep(0.5)
            await limiter.stop(signal.SIGKILL)
            await limiter.start()
            assert (await question(limiter, descriptor(), hits=2)).overall_code == OVER
            assert (await limiter.counters())["store.reloaded"] == 1
            await store.stop()
            assert (await question(limiter, descriptor(), hits=1)).overall_code == OK
            assert (await ask(limiter.port, job(plan="slow")))[0] == 429
            assert await limiter.stop() == 0
    asyncio.run(go())


def test_cancel_before_the_grant_takes_no_units_and_a_missed_deadline_is_reported(tmp_path: Path) -> None:
    """The owner is suspended (SIGSTOP), so that no grant can arrive before the cancel."""
    async def go() -> None:
        async with Cluster(tmp_path, limiters=2, second_front=True) as cluster:
            owner, other = owner_and_other(1, cluster)
            assert owner.process is not None
            owner.process.send_signal(signal.SIGSTOP)
            async with grpc.aio.insecure_channel(f"127.0.0.1:{other.grpc_port}") as channel:
                request = RateLimitRequest(domain="d", descriptors=[descriptor(spread=2)], hits_addend=4)
                call = stub(other, channel)(request, timeout=5, wait_for_ready=True)
                while (await other.counters()).get("taken.grpc.place-order", 0) < 1:
                    await asyncio.sleep(0.01)
                call.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await call
                # Too short for the owner's answer and for the fallback, which decides after a third of it.
                with pytest.raises(grpc.aio.AioRpcError) as error:
                    await stub(other, channel)(request, timeout=0.008)
                assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            owner.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
            whole_quota = await question(owner, descriptor(spread=2), hits=10)
            assert whole_quota.overall_code == OK
            assert (await question(owner, descriptor(spread=2), hits=1)).overall_code == OVER
            taken, done = answered(await other.counters())
            assert taken == done
    asyncio.run(go())


def test_quota_check_without_an_answer_in_time_fails_and_takes_no_units() -> None:
    b = Bed(gateways=2)
    non_owner = 1 - ring_owner(digest("c"), [0, 1])
    b.cut = True
    b.ask(non_owner, "q", due=8.0, quota_only=True)
    b.run(100)
    assert b.of(io.Fail, "q") and not b.of(io.Grant) and not b.of(io.Refuse)


def test_units_of_a_lost_verdict_return_after_the_client_has_gone() -> None:
    b = Bed(gateways=2)
    owner = ring_owner(digest("c"), [0, 1])
    b.drop = lambda sender, to: sender == owner
    b.ask(1 - owner, "q", quota_only=True, units=3.0)
    b.run(20)
    b.give(1 - owner, io.ClientGone("q"))
    b.run(3000)
    b.ask(owner, "all", quota_only=True, units=3.0)
    assert b.of(io.Grant, "all") and not b.of(io.Grant, "q")


def test_a_stopping_limiter_is_unavailable(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path, second_front=True) as cluster:
            limiter = cluster.limiters[0]
            async with grpc.aio.insecure_channel(f"127.0.0.1:{limiter.grpc_port}") as channel:
                should_rate_limit = stub(limiter, channel)
                request = RateLimitRequest(domain="d", descriptors=[descriptor()])
                assert (await should_rate_limit(request, timeout=5)).overall_code == OK
                stopped = asyncio.ensure_future(limiter.stop())
                await asyncio.sleep(0.3)
                with pytest.raises(grpc.aio.AioRpcError) as error:
                    await should_rate_limit(request, timeout=5)
                assert error.value.code() is grpc.StatusCode.UNAVAILABLE
                assert await stopped == 0
    asyncio.run(go())
