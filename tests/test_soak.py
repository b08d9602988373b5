"""Short seeded soak tests of real processes; `python -m larklb.lab.soak` runs longer ones by hand."""

from __future__ import annotations

import random

import pytest

from larklb.lab.soak import ABANDONED_WORK_S, SLACK_S, Soak, play
from larklb.lab.soak_clients import ClientRequest, Run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overlapping_faults_cause_no_violation(seed: int) -> None:
    result = play(seed, seconds=8.0)
    assert not result.broken, result
    assert result.counts["200"] > 100 and result.counts["left"] and result.counts["SIGTERM"], result.counts


def broken(request: ClientRequest, *runs: Run, kills: tuple[tuple[int, float], ...] = ()) -> list[str]:
    soak = Soak.__new__(Soak)
    soak.kills, soak.rng = list(kills), random.Random(1)
    return [found.rule for found in soak._check_request(request, list(runs))]


def test_each_violation_is_detected() -> None:
    late = 1.0 + ABANDONED_WORK_S + SLACK_S + 0.1
    successful = Run(0.1, 0.2, True)
    served = ClientRequest("/parts/x", True, 0, 0.0, 200, b"/parts/x for yard")
    assert broken(served, successful) == [] and broken(served) == ["wrong"]
    assert broken(ClientRequest("/parts/x", True, 0, 0.0, 200, b"/parts/y for yard"), successful) == ["wrong"]
    assert broken(ClientRequest("/orders/x", False, 0, 0.0, 502), successful, successful) == ["twice"]
    assert broken(ClientRequest("/parts/x", True, 0, 0.0, 503), successful) == ["promise"]
    cut = ClientRequest("/orders/x", False, 2, 0.0, disconnected_at=1.0)
    assert (broken(cut, successful) == ["lost"] and broken(cut) == []
            and broken(cut, successful, kills=((2, 0.9),)) == [])
    gone = ClientRequest("/parts/x", True, 0, 0.0, closed_at=1.0)
    assert broken(gone, Run(0.1, late)) == broken(gone, Run(0.1)) == broken(gone, Run(late, late)) == ["gone"]
    assert broken(gone, Run(0.1, 1.2)) == []
    assert broken(ClientRequest("/orders/x", False, 0, 0.0, closed_at=1.0), Run(0.1, late, True)) == []
