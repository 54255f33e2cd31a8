"""Runs many timers on a single timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable
from typing import Any

from .clock import Clock

logger = logging.getLogger(__name__)

# Timers are grouped by slots of this length and never fire early.  A final answer may be 50 ms late;
# asyncio's own timers cost 3 to 5 times as much for each request that sets and cancels two.
SLOT_US = 5_000


class _Slot:
    """The timers of one slot, and how many of them are pending."""

    __slots__ = ("pending_count", "timers")

    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self.pending_count = 0


class Timer:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("_slot", "arg", "callback")

    def __init__(self, slot: _Slot, callback: Callable[[Any], None], arg: Any) -> None:
        self.callback: Callable[[Any], None] | None = callback
        self.arg, self._slot = arg, slot
        slot.timers.append(self)
        slot.pending_count += 1

    def cancel(self) -> None:
        """Cancel the call and drop its references; has no effect a second time."""
        if self.callback is not None:
            self.callback = self.arg = None
            self._slot.pending_count -= 1


class TimerWheel:
    """Calls functions at times of a clock, at most one slot late plus the event loop's own delay."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._slots: dict[int, _Slot] = {}
        self._slot_heap: list[int] = []  # a heap of the numbers of the slots
        self._wakeup: asyncio.TimerHandle | None = None
        self._armed_slot = 0  # the slot that `_wakeup` is set for

    def call_at(self, when_us: int, callback: Callable[[Any], None], arg: Any) -> Timer:
        """Call `callback(arg)` once the clock has reached `when_us`."""
        slot_number = -(-when_us // SLOT_US)
        slot = self._slots.get(slot_number)
        if slot is None:
            slot = self._slots[slot_number] = _Slot()
            heapq.heappush(self._slot_heap, slot_number)
        timer = Timer(slot, callback, arg)
        if self._wakeup is None or slot_number < self._armed_slot:
            self._arm()
        return timer

    def _arm(self) -> None:
        if self._wakeup:
            self._wakeup.cancel()
            self._wakeup = None
        # The loop is not woken for slots whose timers were all cancelled, as most deadline timers are.
        while self._slot_heap and not self._slots[self._slot_heap[0]].pending_count:
            self._take_timers(heapq.heappop(self._slot_heap))
        if self._slot_heap:
            self._armed_slot = self._slot_heap[0]
            delay_us = max(0, self._armed_slot * SLOT_US - self._clock())
            self._wakeup = self._loop.call_later(delay_us / 1e6, self._run_due)

    def _take_timers(self, slot_number: int) -> list[Timer]:
        """Remove a slot and return its timers, which it no longer refers to: they refer to it."""
        slot = self._slots.pop(slot_number)
        timers, slot.timers = slot.timers, []
        return timers

    def _run_due(self) -> None:
        self._wakeup = None
        now = self._clock()
        while self._slot_heap and self._slot_heap[0] * SLOT_US <= now:
            for timer in self._take_timers(heapq.heappop(self._slot_heap)):
                if timer.callback is None:
                    continue
                callback, arg, timer.callback, timer.arg = timer.callback, timer.arg, None, None
                try:
                    callback(arg)
                except Exception:  # must not keep the other timers from firing
                    logger.exception("timer failed")
        self._arm()

    def close(self) -> None:
        """Drop all timers without calling them."""
        self._slots.clear()
        self._slot_heap.clear()
        self._arm()  # without slots this only cancels the wakeup
