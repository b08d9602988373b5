"""The capacity page's figures come from simulated limiters, whose wiring must match the program's own."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import capacity


def test_simulated_limiters_behave_like_the_program() -> None:
    """A fabric converges, a drain and a configuration reach all limiters, messages and bytes are counted.

    Fails where the wiring of the program has diverged from that of the benchmark.
    """

    async def run_fabric() -> capacity.Fabric:
        fabric = capacity.Fabric(6, 30)
        limiters = list(fabric.limiters.values())
        assert all(n.subscriber.complete and len(n.choice.servers) == 30 for n in limiters)
        assert len(set(n.subscriber.local_member.ring_number for n in limiters)) == 6
        fabric.meter.reset()
        name = next(iter(fabric.servers))
        fabric.drain(name)
        answers = fabric.change("replace", 0, capacity.make_document(24, 8, 2, 1))
        fabric.run(400.0)
        assert all(n.choice.servers[name].draining for n in limiters)
        assert [a.status for a in answers] == [200] and all(n.version == 1 for n in limiters)
        return fabric

    meter = asyncio.run(run_fabric()).meter
    assert meter.messages["limiter", "delta+rows"] >= 3 and meter.bytes["home", "beat"] > 300
    # Each core machine sends the drain to the other two and waits for a majority before it reports the drain.
    assert meter.messages["home", "rows"] >= 2 and meter.messages["home", "known"] >= 1


def test_slope_is_the_line_through_its_points() -> None:
    """The figures extrapolated to the target size depend on this fit."""
    slope = capacity.Slope("x", "us", "limiter", [(12.0, 25.0), (60.0, 121.0), (200.0, 401.0)], 2_200)
    assert slope.line() == pytest.approx((1.0, 2.0)) and slope.at(2_200) == pytest.approx(4_401.0)
