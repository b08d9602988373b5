"""The operational statistics that STATS reports; does no input or output.

All counts come from ``Counters``, which GET /counters and SIGUSR1 print unchanged: an answer is counted when
its last byte was sent (``class.WORD.CLASS``), an attempt when it was written completely (``sent.CLASS``).
"""

from __future__ import annotations

from typing import Any

from larklb import interface as io
from larklb.core import Core
from larklb.decide import Gateway
from larklb.decision_constants import SUSPECT_SLOWNESS

# Names in STATS and the corresponding words in the counters.
_WORDS = {"ok": "served", "shed": "refused", "errors": "failed"}


def pool(gateway: Gateway, now: float) -> tuple[int, int]:
    """Returns the number of listed execute nodes and how many of them are avoided at the moment.

    Avoided are nodes that drain and nodes that appear ``SUSPECT_SLOWNESS`` times slower than the median for
    every class.
    """
    listed = [s for s in gateway.servers.values() if s.entry.state is not io.ServerState.GONE]
    slow_servers: dict[str, set[str]] = {}
    for name, usual_latency in gateway.usual_latency.items():
        topics = (gateway.topics[name], -1)
        slowness = {s.entry.server: s.slowness(now, usual_latency, topics) for s in gateway.server_pool.up}
        median = max(1e-3, sorted(slowness.values())[len(slowness) // 2]) if slowness else 1.0
        slow_servers[name] = {server for server, value in slowness.items()
                              if value / median >= SUSPECT_SLOWNESS}
    avoided = set.intersection(*slow_servers.values()) if slow_servers else set()
    return len(listed), len(listed) - len(gateway.server_pool.up) + len(avoided)


def stats(core: Core, now: float) -> dict[str, Any]:
    """Returns the statistics under the names that operators use; counts start at 0 with the process."""
    counts = core.counters.counts
    counted = {name.split(".", 2)[2] for name in counts if name.startswith("class.")}
    classes = sorted(counted.union(core.classes))    # classes that were removed keep their counts
    responses = {c: {name: counts[f"class.{word}.{c}"] for name, word in _WORDS.items()} for c in classes}
    size, ejected = pool(core.gateway, now)
    return {"responses": responses, "tries": counts["sent"], "active": len(core.jobs),
            "pool_size": size, "pool_ejected": ejected,
            "config_applied": counts["config.applied"], "config_rejected": counts["config.rejected"]}
