"""A timer wheel of coarse ticks: everything that falls due in one tick shares one wake-up of the loop."""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)


class Timer:
    """One entry of the wheel; a cancelled one stays in its slot and does nothing."""

    __slots__ = ("callback", "args")

    def __init__(self, act: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., object] | None = act
        self.args = args

    def cancel(self) -> None:
        self.callback, self.args = None, ()


class Wheel:
    """The program's one clock, in monotonic milliseconds, and its timers; they fire late, never early."""

    def __init__(self, tick: float, failed: Callable[[], object] = bool) -> None:
        """``failed`` is called for each timer whose work failed: who counts is to hear of it."""
        self.on_failure = failed
        self.loop = asyncio.get_running_loop()
        self.tick = max(1.0, tick)
        self.slots: dict[int, list[Timer]] = {}
        self.order: list[int] = []               # a heap of the slots in use
        self.armed: tuple[int, asyncio.TimerHandle] | None = None

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def after(self, delay: float, act: Callable[..., object], *args: Any) -> Timer:
        number = math.ceil((self.now() + max(0.0, delay)) / self.tick)
        timer = Timer(act, args)
        slot = self.slots.get(number)
        if slot is None:
            self.slots[number] = [timer]
            heapq.heappush(self.order, number)
            if self.armed is None or number < self.armed[0]:
                self._arm()
        else:
            slot.append(timer)
        return timer

    def _arm(self) -> None:
        # Slots of cancelled timers alone go unvisited: most guards are cancelled long before they fall due.
        while all(timer.callback is None for timer in self.slots[self.order[0]]):
            del self.slots[heapq.heappop(self.order)]
            if not self.order:
                return
        first = self.order[0]
        if self.armed is not None:
            if self.armed[0] <= first:
                return
            self.armed[1].cancel()
        self.armed = (first, self.loop.call_at(first * self.tick / 1000.0, self._turn))

    def _turn(self) -> None:
        self.armed = None
        now = self.now()
        # The loop may wake a clock step early: what is due within a tenth of a tick counts as due.
        while self.order and self.order[0] * self.tick <= now + 0.1 * self.tick:
            for timer in self.slots.pop(heapq.heappop(self.order)):
                if timer.callback is None:
                    continue
                try:
                    timer.callback(*timer.args)
                except Exception:
                    # One timer's failure must not take the others of its tick with it.
                    self.on_failure()
                    log.exception("a timer failed")
        if self.order:
            self._arm()

    async def sleep(self, delay: float) -> None:
        done: asyncio.Future[None] = self.loop.create_future()

        def wake() -> None:
            if not done.done():
                done.set_result(None)

        self.after(delay, wake)
        await done
