"""Limits on the number of customers that a limiter keeps state of.

A customer that comes once leaves a bucket, a bucket copy or a count.  They expire, but with plans that fill
slowly that takes hours, so memory needs a limit of its own.
"""

from __future__ import annotations

from typing import Any, TypeVar

from larklb.quota.bucket import TokenBucket

# Customers in each table where the memory of the process is not configured.
DEFAULT_MAX_CUSTOMERS = 20_000
# Memory of one customer in all tables together; a test checks it.
BYTES_PER_CUSTOMER = 2_400
# Memory of the program itself with its connections.
PROCESS_BASE_MB = 26
# Part of the remaining memory that customers' state may take.
CUSTOMER_MEMORY_PART = 0.75
# Customers kept in each table however little memory there is.
MIN_CUSTOMERS = 1_000
# The fraction of a full table that is evicted at once is one divided by this, because finding the fullest
# buckets costs a sort.
EVICTION_DIVISOR = 8

K = TypeVar("K")
V = TypeVar("V", bound=tuple[Any, ...])


def customers_for_memory(memory_mb: float) -> int:
    """How many customers to keep in each table of a process that may use ``memory_mb`` megabytes."""
    return max(MIN_CUSTOMERS,
               int((memory_mb - PROCESS_BASE_MB) * 1e6 * CUSTOMER_MEMORY_PART / BYTES_PER_CUSTOMER))


def evict_oldest(table: dict[K, Any], max_customers: int) -> None:
    """Makes room for one more entry by deleting the oldest ones, which are in front of the table."""
    while len(table) >= max_customers:
        del table[next(iter(table))]


def evict_fullest(buckets: dict[int, V], now: float, max_customers: int) -> None:
    """Makes room for one more row by deleting those with the fullest buckets; a row's second item is one.

    A customer whose bucket is deleted starts again with a full one and so gets the missing tokens twice.
    Hence those go that lack the fewest tokens.  Last of all go buckets that are shared with unreachable
    limiters and, without a rate, those with an open grant.
    """
    if len(buckets) < max_customers:
        return

    def missing(bucket: TokenBucket) -> float:
        shortage = bucket.burst - bucket.fill(now) if bucket.rate > 0 else 1e9 * (bucket.open > 0)
        return shortage + 1e9 * (bucket.part < 1.0 or bucket.escrow > 0)

    rows = sorted(buckets, key=lambda key: missing(buckets[key][1]))
    for key in rows[:max(1, max_customers // EVICTION_DIVISOR)]:
        del buckets[key]
