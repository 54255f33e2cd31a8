"""Many deadlines on one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable
from typing import Any

from .clock import Clock

logger = logging.getLogger(__name__)

# Deadlines are kept by slots of so long and never come early.  The final answer may be 50 ms late by the
# rules; asyncio's own timers cost 3 to 5 times as much for each request that sets and cancels two.
SLOT_US = 5_000


class _Slot:
    """The calls of one slot, and how many of them are still to be made."""

    __slots__ = ("live", "timers")

    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self.live = 0


class Timer:
    """A call to come, which may be cancelled."""

    __slots__ = ("_slot", "arg", "call")

    def __init__(self, slot: _Slot, call: Callable[[Any], None], arg: Any) -> None:
        self.call: Callable[[Any], None] | None = call
        self.arg, self._slot = arg, slot
        slot.timers.append(self)
        slot.live += 1

    def cancel(self) -> None:
        """Nothing of it is kept but its place; a second time has no effect."""
        if self.call is not None:
            self.call = self.arg = None
            self._slot.live -= 1


class TimerWheel:
    """Calls functions at times of a clock, at most one slot late (and by as much as the loop is behind)."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._slots: dict[int, _Slot] = {}
        self._order: list[int] = []  # a heap of the slots
        self._next: asyncio.TimerHandle | None = None
        self._next_slot = 0  # the one that `_next` is for

    def call_at(self, when_us: int, call: Callable[[Any], None], arg: Any) -> Timer:
        """Call `call(arg)` once the clock has reached `when_us`."""
        number = -(-when_us // SLOT_US)
        slot = self._slots.get(number)
        if slot is None:
            slot = self._slots[number] = _Slot()
            heapq.heappush(self._order, number)
        timer = Timer(slot, call, arg)
        if self._next is None or number < self._next_slot:
            self._arm()
        return timer

    def _arm(self) -> None:
        if self._next:
            self._next.cancel()
            self._next = None
        # For slots whose calls were all cancelled the loop is not woken: guards rarely come to be called.
        while self._order and not self._slots[self._order[0]].live:
            del self._slots[heapq.heappop(self._order)]
        if self._order:
            self._next_slot = self._order[0]
            delay_us = max(0, self._next_slot * SLOT_US - self._clock())
            self._next = self._loop.call_later(delay_us / 1e6, self._turn)

    def _turn(self) -> None:
        self._next = None
        now = self._clock()
        while self._order and self._order[0] * SLOT_US <= now:
            for timer in self._slots.pop(heapq.heappop(self._order)).timers:
                if timer.call is None:
                    continue
                call, arg, timer.call, timer.arg = timer.call, timer.arg, None, None
                try:
                    call(arg)
                except Exception:  # one deadline's fault must not cost the others theirs
                    logger.exception("timer failed")
        self._arm()

    def close(self) -> None:
        """Forget all that is to come."""
        self._slots.clear()
        self._order.clear()
        self._arm()
