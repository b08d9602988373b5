"""Stores an owner's buckets in Redis: written in the background, reloaded at a restart.

No request waits for the store.  One hash holds an instance's buckets, with one field for each customer.
Without the store, or while it is unreachable, the limiter decides from memory.
"""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec
import redis.asyncio
from redis.exceptions import RedisError

from larklb.core import Core

log = logging.getLogger(__name__)

WRITE_INTERVAL = 50.0      # ms
# Timeout of one exchange with the store.
TIMEOUT_S = 0.5
# Expiry of an instance's hash; its buckets are full again, or useless, long before.
EXPIRY_S = 600
MAX_ROWS = 100_000


class _Row(msgspec.Struct, array_like=True):
    plan: str
    tokens: float
    wall_ms: float


class BucketStore:
    """Writes the buckets that have changed since the last write."""

    def __init__(self, url: str, key: str, core: Core) -> None:
        self.core, self.key = core, key
        self.client = redis.asyncio.Redis.from_url(
            url, protocol=2, socket_timeout=TIMEOUT_S, socket_connect_timeout=TIMEOUT_S, max_connections=2)
        self.offset = time.time() * 1000.0 - core.wheel.now()
        self.written: dict[int, float] = {}
        self.failing = False

    async def reload(self) -> None:
        """Restores the buckets as last written; restores none if the store is unreachable."""
        try:
            async with asyncio.timeout(2 * TIMEOUT_S):
                rows = await self.client.hgetall(self.key)
        except (RedisError, OSError) as error:
            self._record_failure(error)
            return
        restorable = []
        for field, value in list(rows.items())[:MAX_ROWS]:
            try:
                row = msgspec.json.decode(value, type=_Row)
                restorable.append((int(field), row.plan, row.tokens, row.wall_ms - self.offset))
            except (ValueError, msgspec.DecodeError):
                self.core.counters.add("errors.store_row")     # not written by this program: skipped
        restored = self.core.gateway.restore(self.core.wheel.now(), restorable)
        self.core.counters.add("store.reloaded", restored)

    async def write(self) -> None:
        """Writes all changed buckets; what cannot be written is retried with the next write."""
        buckets = self.core.gateway.bucket_rows()
        changed = {key: (plan, tokens, at) for key, plan, tokens, at in buckets
                   if self.written.get(key) != at}
        removed = self.written.keys() - {row[0] for row in buckets}
        if not changed and not removed:
            return
        try:
            async with asyncio.timeout(2 * TIMEOUT_S), self.client.pipeline(transaction=False) as pipe:
                if changed:
                    pipe.hset(self.key, mapping={
                        str(key): msgspec.json.encode(_Row(plan, tokens, at + self.offset))
                        for key, (plan, tokens, at) in changed.items()})
                if removed:
                    pipe.hdel(self.key, *(str(key) for key in removed))
                pipe.expire(self.key, EXPIRY_S)
                await pipe.execute()
        except (RedisError, OSError) as error:
            self._record_failure(error)
            return
        self.failing = False
        self.core.counters.add("store.written", len(changed))
        self.written.update((key, at) for key, (_, _, at) in changed.items())
        for key in removed:
            del self.written[key]

    def _record_failure(self, error: Exception) -> None:
        self.core.counters.add("errors.store")
        if not self.failing:
            log.warning("store: %s", error or type(error).__name__)
        self.failing = True

    async def run(self) -> None:
        """Writes periodically, and less often while the store fails."""
        while True:
            await self.core.wheel.sleep(WRITE_INTERVAL if not self.failing else 20 * WRITE_INTERVAL)
            await self.write()

    async def close(self) -> None:
        """Writes the final state, so that a planned restart loses nothing, and disconnects."""
        await self.write()
        await self.client.aclose()
