"""Whether a limiter can serve anybody, as far as that depends on the limiter itself."""

from __future__ import annotations

from collections import deque

from attrs import define, field

# Requests of this last period are considered.
WINDOW_MS = 3_000.0
# Fewer local failures than this say nothing about the limiter.
MIN_LOCAL_FAILURES = 20


@define
class ServingCheck:
    """Records which requests were served and which failed for a reason that lies in this limiter.

    Such reasons are an unexpected error and the lack of descriptors for connections to servers. Failures of
    servers and refusals by rule say nothing about the limiter."""

    last_served_at: float = float("-inf")
    # Times in ms of the last local failures, in ascending order.
    failures: deque[float] = field(factory=lambda: deque(maxlen=MIN_LOCAL_FAILURES))

    def record_served(self, now: float) -> None:
        """Notes that a server's answer was forwarded at ``now`` (ms)."""
        self.last_served_at = now

    def record_local_failure(self, now: float) -> None:
        """Notes that a request was not served for a reason that lies in this limiter."""
        self.failures.append(now)

    def can_serve(self, now: float) -> bool:
        """Returns False if in the last WINDOW_MS many requests failed here and none was served.

        Without requests it becomes True again, so that new clients show whether the cause has gone."""
        window_start = now - WINDOW_MS
        is_failing = len(self.failures) == MIN_LOCAL_FAILURES and self.failures[0] >= window_start
        return not is_failing or self.last_served_at >= window_start
