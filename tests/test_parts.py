"""Unit tests of the ring, the token bucket, the circuit breaker, peer messages and settings."""

from __future__ import annotations

from collections import Counter

import pytest

from larklb import interface as io
from larklb import peerwire as pw
from larklb.quota.breaker import BREAKER_OPEN_MS, CircuitBreaker
from larklb.quota.bucket import TokenBucket
from larklb.quota.ring import digest, ring_owner
from tests.conftest import settings


def test_ring_is_balanced_and_stable() -> None:
    keys = [digest(f"customer-{i}") for i in range(6000)]
    shares = Counter(ring_owner(k, (0, 1, 2)) for k in keys)
    assert all(0.2 < shares[g] / len(keys) < 0.47 for g in (0, 1, 2))
    assert all(ring_owner(k, (0, 1)) == ring_owner(k, (0, 1, 2)) for k in keys
               if ring_owner(k, (0, 1, 2)) != 2)


def test_bucket_fills_at_its_rate_up_to_its_burst() -> None:
    b = TokenBucket(rate=2.0, burst=4.0, tokens=4.0, at=0.0)
    b.tokens -= 4
    assert b.fill(1000.0) == pytest.approx(2.0)
    assert b.wait_for(3.0) == pytest.approx(500.0)
    assert b.fill(60000.0) == 4.0


def test_breaker_opens_after_failures_and_allows_a_single_trial() -> None:
    b = CircuitBreaker()
    for _ in range(3):
        assert b.allows(0.0)
        b.record_failure(0.0, jitter=0.5)
    assert not b.allows(BREAKER_OPEN_MS * 1.09)
    assert b.allows(BREAKER_OPEN_MS * 1.11)
    assert not b.allows(BREAKER_OPEN_MS * 1.11), "only a single trial is allowed"
    b.record_failure(BREAKER_OPEN_MS * 1.2, jitter=0.0)
    assert not b.allows(BREAKER_OPEN_MS * 1.3)


ITEMS: list[pw.Item] = [
    pw.Ask(7, 1 << 60, 2, 1.5, 4000.0), pw.Ask(8, 3, 1, 1.0, 90.0, -2.5),
    pw.AskReply(7, True, -1.25, 300), pw.Release(7, 0.5),
    pw.Loads(((77, 4), (78, 1000))), pw.HealthReport(77, 3, 4.5, 250.0)]


def test_peer_items_round_trip() -> None:
    data = bytes([pw.VERSION]) + b"".join(pw.pack_item(i) for i in ITEMS)
    assert pw.unpack(data) == ITEMS


@pytest.mark.parametrize("data", [b"", b"\x00abc", bytes([pw.VERSION, 99, 1]),
                                  bytes([pw.VERSION]) + pw.pack_item(ITEMS[0])[:-1], b"\xb1" * 400])
def test_garbage_from_peers_unpacks_to_nothing(data: bytes) -> None:
    assert pw.unpack(data) == []


@pytest.mark.parametrize("field,value", [("gateways", 0), ("number", 3), ("classes", ()), ("plans", ()),
                                         ("tick", 0.0), ("plans", (io.Plan("p", rate=1.0, burst=5000.0),)),
                                         ("plans", (io.Plan("p", most_open=70000),)),
                                         ("cold_share", 0.0)])
def test_invalid_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})
