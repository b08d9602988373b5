"""What a limiter tells an operator of itself, from its memory; the mark by which tools see that it runs."""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from larklb.gateway.errors import GatewayError
from larklb.registry.registry import DRAINING, GONE, STEADY
from larklb.schema import calls

if TYPE_CHECKING:
    from larklb.gateway.main import Limiter

log = logging.getLogger("status")

LOOK_S, LOOKS = 0.02, 50  # between two tries to mark a folder that a tool looks at, and how many
STATES = {STEADY: "steady", DRAINING: "draining", GONE: "gone"}

Document = dict[str, Any]


def mark_in_use(folder: str) -> None:
    """Marks a disk's folder as in use until this process has ended, however it ends; nothing is written.

    GatewayError where a tool changes the folder, and goes on for longer than a look lasts. A file system that
    knows no such mark is said in one line."""
    try:
        mark = os.open(folder, os.O_RDONLY)
        for left in reversed(range(LOOKS)):
            try:
                fcntl.flock(mark, fcntl.LOCK_SH | fcntl.LOCK_NB)
                return
            except BlockingIOError as error:
                if not left:
                    raise GatewayError(f"{folder}: a tool is at work on it: start it later") from error
                time.sleep(LOOK_S)
    except OSError as error:
        log.warning("status: %s can't be marked as in use: %s.", folder, error)


def document(limiter: Limiter, path: str, query: Mapping[str, str]) -> Document | None:
    """The answer to a status call, at most STATUS_ROWS rows of it; None where there is no such call.

    Tenants' keys stand in none of them."""
    part = _PARTS.get(path)
    return None if part is None else {**_answerer(limiter), **part(limiter, query)}


def _answerer(limiter: Limiter) -> Document:
    s, version = limiter.settings, limiter.version
    known = [tuple(limiter.subscriber.offered_config)]
    if limiter.core is not None:
        known.append(tuple(limiter.core.offer))
    return {
        "node": s.node,
        "ip": s.ip,
        "zone": s.zone,
        "life": limiter.subscriber.local_member.incarnation,
        "upMs": round(limiter.wheel.now() - limiter.started_at),
        "version": version,
        "digest": next((digest for told, digest in known if version and told == version), ""),
        "ready": limiter.ready(),
        "leaving": limiter.leaving.is_set(),
    }


def _page(name: str, key: str, rows: list[Document], query: Mapping[str, str]) -> Document:
    behind = sorted((row for row in rows if row[key] > query.get("after", "")), key=lambda row: str(row[key]))
    part = behind[: calls.STATUS_ROWS]
    # Rows of one key go together, or the next page, which begins behind it, would lack some.
    while 0 < len(part) < len(behind) and part[0][key] != part[-1][key] == behind[len(part)][key]:
        part.pop()
    return {name: part, "more": len(behind) - len(part)}


def _members(limiter: Limiter, query: Mapping[str, str]) -> Document:
    control = limiter.settings.control
    return _page(
        "members",
        "node",
        [
            {
                "node": m.node,
                "ip": m.ip,
                "control": f"{m.ip}:{control[1]}" if control else "",
                "zone": m.zone,
                "life": m.incarnation,
                "number": m.ring_number,
                "state": m.state,
                "disk": m.disk,
            }
            for m in limiter.subscriber.members.values()
        ],
        query,
    )


def _servers(limiter: Limiter, query: Mapping[str, str]) -> Document:
    now, rows = limiter.wheel.now(), []
    for s in limiter.subscriber.servers.values():
        if query.get("service", s.target) != s.target:
            continue
        seen = limiter.choice.servers.get(s.id)
        rows.append(
            {
                "id": s.id,
                "service": s.target,
                "address": s.address,
                "zone": s.zone,
                "slots": s.slots,
                "software": s.version,
                "state": STATES.get(s.state, s.state),
                "silent": s.silent,
                "inHand": seen.in_flight if seen else 0,
                "failures": seen.consecutive_failures if seen else 0,
                "restsMs": round(max(0.0, seen.ejected_until - now)) if seen else 0,
            }
        )
    return _page("servers", "id", rows, query)


def _quotas(limiter: Limiter, query: Mapping[str, str]) -> Document:
    rows = limiter.quotas.rows(limiter.wheel.now(), query.get("tenant"))
    return _page("quotas", "tenant", rows, query)


def _core(limiter: Limiter, query: Mapping[str, str]) -> Document:
    subscriber, core = limiter.subscriber, limiter.core
    told: Document = {
        "home": subscriber.home,
        "cores": sorted(subscriber.cores)[: calls.STATUS_ROWS],
        "core": None,
    }
    if core is not None:
        replica = core.replica
        told["core"] = {
            "disk": core.disk,
            "folder": core.settings.data_dir,
            "saving": limiter.disk is not None and limiter.disk.saving is not None,
            "founded": replica.founded,
            "leads": replica.is_leader,
            "leader": replica.leader or "",
            "term": replica.term,
            "voters": replica.voters,
            "settled": replica.has_committed_in_term,
            "version": replica.version,
            "last": replica.last_index,
            "commit": replica.commit_index,
            "serves": core.home.ready and not core.home.fenced(limiter.wheel.now()),
        }
    return told


def _counts(limiter: Limiter, query: Mapping[str, str]) -> Document:
    return {
        "counts": dict(limiter.count),
        "words": dict(limiter.transport.counts),
        "open": {
            "clients": len(limiter.edge.connections),
            "control": len(limiter.control.connections),
            "servers": limiter.server_connections.open_connections,
        },
    }


_PARTS = {
    calls.MEMBERS: _members,
    calls.SERVERS: _servers,
    calls.QUOTAS: _quotas,
    calls.CORE: _core,
    calls.COUNTS: _counts,
}
