"""Logs unexpected errors on the path of requests, at a bounded rate."""

from __future__ import annotations

import logging
import math

from attrs import define

# An error that every request meets must not cost more than the requests themselves.
LOG_INTERVAL_MS = 1_000.0


@define
class ErrorLog:
    """Logs the exception that is being handled, and counts those that it passes over."""

    log: logging.Logger
    last_logged_at: float = -math.inf
    suppressed: int = 0

    def exception(self, now: float, text: str) -> None:
        """Logs ``text`` with the traceback of the present exception, at most once per LOG_INTERVAL_MS.

        ``now`` is the time in ms."""
        if now - self.last_logged_at < LOG_INTERVAL_MS:
            self.suppressed += 1
            return
        self.log.exception("%s; %d further errors since the last such line.", text, self.suppressed)
        self.last_logged_at, self.suppressed = now, 0
