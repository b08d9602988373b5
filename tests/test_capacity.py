"""The capacity page's figures come from hollow processes: these must still be the program's own."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks import capacity


def test_hollow_limiters_do_what_the_program_does() -> None:
    """A fabric settles, a drain and a configuration reach everyone, and the words are counted with their
    bytes; fails where the program's wiring has grown away from what the benchmark stands in for."""

    async def play() -> capacity.Fabric:
        fabric = capacity.Fabric(6, 30)
        limiters = list(fabric.of.values())
        assert all(n.subscriber.complete and len(n.choice.servers) == 30 for n in limiters)
        assert len(set(n.subscriber.local_member.ring_number for n in limiters)) == 6
        fabric.meter.reset()
        name = next(iter(fabric.servers))
        fabric.drain(name)
        answers = fabric.change("replace", 0, capacity.document_of(24, 8, 2, 1))
        fabric.run(400.0)
        assert all(n.choice.servers[name].draining for n in limiters)
        assert [a.status for a in answers] == [200] and all(n.version == 1 for n in limiters)
        return fabric

    meter = asyncio.run(play()).meter
    assert meter.words["limiter", "delta+rows"] >= 3 and meter.bytes["home", "beat"] > 300
    # Each core machine has the other two learn of the drain, and hears from a majority before it says so.
    assert meter.words["home", "rows"] >= 2 and meter.words["home", "known"] >= 1


def test_a_slope_is_the_line_through_its_points() -> None:
    """What the page works out at the target rests on it."""
    slope = capacity.Slope("x", "us", "limiter", [(12.0, 25.0), (60.0, 121.0), (200.0, 401.0)], 2_200)
    assert slope.line() == pytest.approx((1.0, 2.0)) and slope.at(2_200) == pytest.approx(4_401.0)
