"""A timer wheel with coarse ticks: all timers due in one tick share one wake-up of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)


class Timer:
    """An entry of the wheel; a cancelled entry stays in its slot and does nothing."""

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., object] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Prevents the callback from running and drops its arguments."""
        self.callback, self.args = None, ()


class Wheel:
    """The clock of the process, in monotonic ms, and its timers, which fire late but never early."""

    def __init__(self, tick: float, on_failure: Callable[[], object] = bool) -> None:
        """``tick`` is in ms, at least 1; ``on_failure`` is called each time a timer's callback raises."""
        self.on_failure = on_failure
        self.loop = asyncio.get_running_loop()
        self.tick = max(1.0, tick)
        self.slots: dict[int, list[Timer]] = {}
        self.used_slots: list[int] = []          # a heap of slot numbers
        self.armed: tuple[int, asyncio.TimerHandle] | None = None

    def now(self) -> float:
        """The time of the event loop's monotonic clock in ms."""
        return self.loop.time() * 1000.0

    def after(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls ``callback`` with ``args`` after at least ``delay`` ms; the timer can be cancelled."""
        number = math.ceil((self.now() + max(0.0, delay)) / self.tick)
        timer = Timer(callback, args)
        slot = self.slots.get(number)
        if slot is None:
            self.slots[number] = [timer]
            heapq.heappush(self.used_slots, number)
            if self.armed is None or number < self.armed[0]:
                self._arm()
        else:
            slot.append(timer)
        return timer

    def _arm(self) -> None:
        # Drops slots that hold only cancelled timers: most deadlines are cancelled long before they are due.
        while all(timer.callback is None for timer in self.slots[self.used_slots[0]]):
            del self.slots[heapq.heappop(self.used_slots)]
            if not self.used_slots:
                return
        first = self.used_slots[0]
        if self.armed is not None:
            if self.armed[0] <= first:
                return
            self.armed[1].cancel()
        self.armed = (first, self.loop.call_at(first * self.tick / 1000.0, self._fire_due))

    def _fire_due(self) -> None:
        self.armed = None
        now = self.now()
        # The loop may wake one clock step early, so timers within a tenth of a tick count as due.
        while self.used_slots and self.used_slots[0] * self.tick <= now + 0.1 * self.tick:
            for timer in self.slots.pop(heapq.heappop(self.used_slots)):
                if timer.callback is None:
                    continue
                try:
                    timer.callback(*timer.args)
                except Exception:
                    # A failure must not prevent the other timers of the tick from running.
                    self.on_failure()
                    log.exception("a timer callback failed")
        if self.used_slots:
            self._arm()

    async def sleep(self, delay: float) -> None:
        """Sleeps for ``delay`` ms or a little longer."""
        done: asyncio.Future[None] = self.loop.create_future()

        def wake() -> None:
            if not done.done():
                done.set_result(None)

        self.after(delay, wake)
        await done
