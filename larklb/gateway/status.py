"""Status documents of a limiter for operators, and the lock by which tools see that it uses a disk's
folder."""

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

# Time between attempts to lock a folder that a tool has locked for a short check, and their number.
LOCK_RETRY_S, LOCK_ATTEMPTS = 0.02, 50
STATE_NAMES = {STEADY: "steady", DRAINING: "draining", GONE: "gone"}

Document = dict[str, Any]


def mark_in_use(folder: str) -> None:
    """Takes a shared lock on a disk's folder until this process ends, in whatever way; nothing is written.

    Raises ``GatewayError`` if a tool that changes the folder holds the lock for longer than a check takes. On
    a file system without locks, only a warning is logged."""
    try:
        descriptor = os.open(folder, os.O_RDONLY)
        for attempts_left in reversed(range(LOCK_ATTEMPTS)):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
                return
            except BlockingIOError as error:
                if not attempts_left:
                    raise GatewayError(f"{folder}: a tool is changing it: start the limiter later") from error
                time.sleep(LOCK_RETRY_S)
    except OSError as error:
        log.warning("status: %s can't be locked: %s.", folder, error)


def document(limiter: Limiter, path: str, query: Mapping[str, str]) -> Document | None:
    """Returns the answer to a status call, of at most MAX_STATUS_ROWS rows; None if there is no such call.

    No answer contains the keys of tenants."""
    build = _BUILDERS.get(path)
    return None if build is None else {**_identity(limiter), **build(limiter, query)}


def _identity(limiter: Limiter) -> Document:
    settings, version = limiter.settings, limiter.version
    versions = [tuple(limiter.subscriber.offered_config)]
    if limiter.core is not None:
        versions.append(tuple(limiter.core.offer))
    return {
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "life": limiter.subscriber.local_member.incarnation,
        "upMs": round(limiter.wheel.now() - limiter.started_at),
        "version": version,
        "digest": next((digest for number, digest in versions if version and number == version), ""),
        "ready": limiter.ready(),
        "leaving": limiter.leaving.is_set(),
    }


def _page(name: str, key: str, rows: list[Document], query: Mapping[str, str]) -> Document:
    remaining = sorted(
        (row for row in rows if row[key] > query.get("after", "")), key=lambda row: str(row[key])
    )
    page = remaining[: calls.MAX_STATUS_ROWS]
    # Rows with the same key must be on one page, or the next page, which begins after that key, would lack
    # some of them.
    while 0 < len(page) < len(remaining) and page[0][key] != page[-1][key] == remaining[len(page)][key]:
        page.pop()
    return {name: page, "more": len(remaining) - len(page)}


def _members(limiter: Limiter, query: Mapping[str, str]) -> Document:
    control = limiter.settings.control
    return _page(
        "members",
        "node",
        [
            {
                "node": member.node,
                "ip": member.ip,
                "control": f"{member.ip}:{control[1]}" if control else "",
                "zone": member.zone,
                "life": member.incarnation,
                "number": member.ring_number,
                "state": member.state,
                "disk": member.disk,
            }
            for member in limiter.subscriber.members.values()
        ],
        query,
    )


def _servers(limiter: Limiter, query: Mapping[str, str]) -> Document:
    now, rows = limiter.wheel.now(), []
    for server in limiter.subscriber.servers.values():
        if query.get("service", server.target) != server.target:
            continue
        selector_state = limiter.choice.servers.get(server.id)
        rows.append(
            {
                "id": server.id,
                "service": server.target,
                "address": server.address,
                "zone": server.zone,
                "slots": server.slots,
                "software": server.version,
                "state": STATE_NAMES.get(server.state, server.state),
                "silent": server.silent,
                "inHand": selector_state.in_flight if selector_state else 0,
                "failures": selector_state.consecutive_failures if selector_state else 0,
                "restsMs": round(max(0.0, selector_state.ejected_until - now)) if selector_state else 0,
            }
        )
    return _page("servers", "id", rows, query)


def _quotas(limiter: Limiter, query: Mapping[str, str]) -> Document:
    rows = limiter.quotas.rows(limiter.wheel.now(), query.get("tenant"))
    return _page("quotas", "tenant", rows, query)


def _core(limiter: Limiter, query: Mapping[str, str]) -> Document:
    subscriber, core = limiter.subscriber, limiter.core
    answer: Document = {
        "home": subscriber.home,
        "cores": sorted(subscriber.cores)[: calls.MAX_STATUS_ROWS],
        "core": None,
    }
    if core is not None:
        replica = core.replica
        answer["core"] = {
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
    return answer


def _counts(limiter: Limiter, query: Mapping[str, str]) -> Document:
    return {
        "counts": dict(limiter.count),
        "words": dict(limiter.transport.counts),
        "open": {
            "clients": len(limiter.edge.connections),
            "control": len(limiter.control.connections),
            "servers": limiter.server_connections.open_connections,
        },
        "ringLimiters": limiter.quotas.ring_size,
        "ringDigest": limiter.quotas.ring_digest,
    }


_BUILDERS = {
    calls.MEMBERS: _members,
    calls.SERVERS: _servers,
    calls.QUOTAS: _quotas,
    calls.CORE: _core,
    calls.COUNTS: _counts,
}
