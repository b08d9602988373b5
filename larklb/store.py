"""An owner's buckets in Redis: written behind, reloaded at a restart.  Nothing waits for it.

One hash holds an instance's buckets, a field for each customer.  Without the store, or while it cannot be
reached, the limiter decides from its memory as before.
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

EVERY = 50.0               # ms between writes
PATIENCE_S = 0.5           # for one exchange with the store
KEEP_S = 600               # an instance's buckets are full again, or of no use, long before
MOST_ROWS = 100_000


class _Row(msgspec.Struct, array_like=True):
    plan: str
    tokens: float
    wall_ms: float


class BucketStore:
    """Writes what has changed since the last write."""

    def __init__(self, url: str, key: str, core: Core) -> None:
        self.core, self.key = core, key
        self.client = redis.asyncio.Redis.from_url(
            url, protocol=2, socket_timeout=PATIENCE_S, socket_connect_timeout=PATIENCE_S, max_connections=2)
        self.offset = time.time() * 1000.0 - core.wheel.now()
        self.written: dict[int, float] = {}
        self.failing = False

    async def reload(self) -> None:
        """The buckets as they were last written; none where the store is out of reach."""
        try:
            async with asyncio.timeout(2 * PATIENCE_S):
                rows = await self.client.hgetall(self.key)
        except (RedisError, OSError) as error:
            self._failed(error)
            return
        kept = []
        for field, value in list(rows.items())[:MOST_ROWS]:
            try:
                row = msgspec.json.decode(value, type=_Row)
                kept.append((int(field), row.plan, row.tokens, row.wall_ms - self.offset))
            except (ValueError, msgspec.DecodeError):
                self.core.counters.add("errors.store_row")     # written by something else: passed over
        restored = self.core.gateway.restore(self.core.wheel.now(), kept)
        self.core.counters.add("store.reloaded", restored)

    async def write(self) -> None:
        """One write of all that has changed; what could not be written is tried again with the next."""
        buckets = self.core.gateway.bucket_rows()
        changed = {key: (plan, tokens, at) for key, plan, tokens, at in buckets
                   if self.written.get(key) != at}
        gone = self.written.keys() - {row[0] for row in buckets}
        if not changed and not gone:
            return
        try:
            async with asyncio.timeout(2 * PATIENCE_S), self.client.pipeline(transaction=False) as pipe:
                if changed:
                    pipe.hset(self.key, mapping={
                        str(key): msgspec.json.encode(_Row(plan, tokens, at + self.offset))
                        for key, (plan, tokens, at) in changed.items()})
                if gone:
                    pipe.hdel(self.key, *(str(key) for key in gone))
                pipe.expire(self.key, KEEP_S)
                await pipe.execute()
        except (RedisError, OSError) as error:
            self._failed(error)
            return
        self.failing = False
        self.core.counters.add("store.written", len(changed))
        self.written.update((key, at) for key, (_, _, at) in changed.items())
        for key in gone:
            del self.written[key]

    def _failed(self, error: Exception) -> None:
        self.core.counters.add("errors.store")
        if not self.failing:
            log.warning("store: %s", error or type(error).__name__)
        self.failing = True

    async def run(self) -> None:
        while True:
            await self.core.wheel.sleep(EVERY if not self.failing else 20 * EVERY)
            await self.write()

    async def close(self) -> None:
        """The last state, so that a planned restart loses nothing."""
        await self.write()
        await self.client.aclose()
