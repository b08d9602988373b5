"""The figures of daily operation, as STATS tells them; no input or output.

All counts come from ``Counters``, which GET /counters and SIGUSR1 print as they are: an answer is counted
when its last byte has gone out (``class.WORD.CLASS``), an attempt when it was written whole (``sent.CLASS``).
"""

from __future__ import annotations

from typing import Any

from larklb import interface as io
from larklb.core import Core
from larklb.decide import Gateway
from larklb.decision_constants import SUSPECT_SLOWNESS

_WORDS = {"ok": "served", "shed": "refused", "errors": "failed"}


def pool(gateway: Gateway, now: float) -> tuple[int, int]:
    """How many execute nodes are listed, and how many of these are avoided now: those that drain, and those
    that look ``SUSPECT_SLOWNESS`` times slower than the median for every class."""
    listed = [s for s in gateway.servers.values() if s.entry.state is not io.ServerState.GONE]
    slow: dict[str, set[str]] = {}
    for name, usual in gateway.usual_latency.items():
        topics = (gateway.topics[name], -1)
        slows = {s.entry.server: s.slowness(now, usual, topics) for s in gateway.server_pool.up}
        median = max(1e-3, sorted(slows.values())[len(slows) // 2]) if slows else 1.0
        slow[name] = {server for server, value in slows.items() if value / median >= SUSPECT_SLOWNESS}
    shunned = set.intersection(*slow.values()) if slow else set()
    return len(listed), len(listed) - len(gateway.server_pool.up) + len(shunned)


def stats(core: Core, now: float) -> dict[str, Any]:
    """The figures under the operators' names: counts from 0 at the start of the process."""
    counts = core.counters.counts
    gone = {name.split(".", 2)[2] for name in counts if name.startswith("class.")}
    classes = sorted(gone.union(core.classes))       # those that have vanished keep their figures
    responses = {c: {name: counts[f"class.{word}.{c}"] for name, word in _WORDS.items()} for c in classes}
    size, ejected = pool(core.gateway, now)
    return {"responses": responses, "tries": counts["sent"], "active": len(core.jobs),
            "pool_size": size, "pool_ejected": ejected,
            "config_applied": counts["config.applied"], "config_rejected": counts["config.rejected"]}
