"""How much a limiter keeps of customers: tables that grow with them have a bound, whoever comes.

A customer that comes once leaves a bucket, a copy or a count.  They age out; but where plans fill slowly that
takes hours, and then it is memory that ends.
"""

from __future__ import annotations

from typing import Any, TypeVar

from larklb.quota.bucket import TokenBucket

DEFAULT_MAX_CUSTOMERS = 20_000  # customers in each table, where nothing says how much memory there is
BYTES_PER_CUSTOMER = 2_400              # of one customer in all tables together (measured; the tests hold it)
PROCESS_BASE_MB = 26            # the program itself with its connections
CUSTOMER_MEMORY_PART = 0.75                # of the rest is for customers
MIN_CUSTOMERS = 1_000
EVICTION_DIVISOR = 8              # one in so many goes at once: looking for them costs a sort

K = TypeVar("K")
V = TypeVar("V", bound=tuple[Any, ...])


def customers_for_memory(memory_mb: float) -> int:
    """How many customers to keep in each table where a process may have so many MB."""
    return max(MIN_CUSTOMERS,
               int((memory_mb - PROCESS_BASE_MB) * 1e6 * CUSTOMER_MEMORY_PART / BYTES_PER_CUSTOMER))


def evict_oldest(table: dict[K, Any], most: int) -> None:
    """Before one more goes in: the oldest goes, as far as there are too many."""
    while len(table) >= most:
        del table[next(iter(table))]


def evict_fullest(buckets: dict[int, V], now: float, most: int) -> None:
    """The same for buckets, which stand second in their rows: the fullest go.

    A customer whose bucket is forgotten begins with a full one: it gets what was missing twice.  So those go
    that miss least, and none with a share of those apart or, where attempts are counted, with one out.
    """
    if len(buckets) < most:
        return

    def missing(bucket: TokenBucket) -> float:
        lack = bucket.burst - bucket.fill(now) if bucket.rate > 0 else 1e9 * (bucket.open > 0)
        return lack + 1e9 * (bucket.part < 1.0 or bucket.escrow > 0)

    rows = sorted(buckets, key=lambda k: missing(buckets[k][1]))
    for key in rows[:max(1, most // EVICTION_DIVISOR)]:
        del buckets[key]
