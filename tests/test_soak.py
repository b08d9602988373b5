"""Short seeded soak tests of real processes; `python -m larklb.lab.soak` runs longer ones by hand."""

from __future__ import annotations

import random

import pytest

from larklb.admission.quota_records import Allowance
from larklb.lab.soak import ABANDONED_WORK_S, SLACK_S, Soak, play
from larklb.lab.soak_clients import ClientRequest, Run
from larklb.lab.soak_quotas import TenantLoad
from larklb.lab.system_network import Net


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overlapping_faults_cause_no_violation(seed: int) -> None:
    result = play(seed, seconds=16.0)
    assert not result.broken, result
    assert result.counts["200"] > 100 and result.counts["left"] and result.counts["SIGTERM"], result.counts
    assert result.counts["429"] > 100 and result.counts["cut"], result.counts


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


def test_a_tenant_above_its_limit_is_detected() -> None:
    load = TenantLoad(Allowance("ketch", 2.0, 1.0), Net("127.0.0", 1), random.Random(1), list, list)
    allowed = int((2.0 * 5 + 1.0) * 1.1 + 20)
    runs = {}
    for n in range(allowed + 1):
        request = ClientRequest(f"/parts/{n}", True, n % 2, 10.0 + n * 0.1)
        load.clients[n % 8].requests.append(request)
        # The second run of a request doesn't count.
        runs[request.path] = [Run(request.sent_at + 0.2), Run(request.sent_at + 0.3)]
    assert load.excess(lambda path: runs.get(path, [])).startswith(f"{allowed + 1} requests of ketch in 5 s")
    runs[f"/parts/{allowed}"] = [Run(15.1)]
    assert not load.excess(lambda path: runs.get(path, [])), "it ran more than 5 s after the first was sent"
    del runs["/parts/0"]
    assert not load.excess(lambda path: runs.get(path, []))
