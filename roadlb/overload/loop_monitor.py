"""The heartbeat of the event loop: how late the loop runs, and how long what it reads may have waited.

A clock read in a callback cannot tell how long the callback was due.  A beat that is due every 10 ms can:
whatever is overdue on it, everything else in the loop is.
"""

from __future__ import annotations

from dataclasses import dataclass

BEAT_INTERVAL_US = 10_000  # costs 0.05% of a core; less than the margin that is taken off a client's time
NORMAL_TURN_US = 2_000  # a turn of a sound loop takes less


@dataclass(slots=True)
class LoopDelay:
    """The loop's delay over an interval, in microseconds: the largest, and the mean over time."""

    max_us: int
    mean_us: float


class LoopMonitor:
    """Kept by the owner of the loop, who arms the timer for each beat.  Times are us of one clock."""

    def __init__(self, now: int) -> None:
        self._beat_due = now + BEAT_INTERVAL_US
        self._beat_before_delay = 0  # the beat before the last one, if the last one was late
        self._interval_start = now
        self._max_us, self._delay_area = 0, 0.0

    def beat(self, now: int) -> int:
        """The timer has fired; returns when it is to fire next."""
        delay_us = self.late_us(now)
        self._beat_before_delay = self._beat_due - BEAT_INTERVAL_US if delay_us >= NORMAL_TURN_US else 0
        self._record(delay_us)
        self._beat_due = now + BEAT_INTERVAL_US
        return self._beat_due

    def late_us(self, now: int) -> int:
        """By how much the next beat is overdue: 0 on a sound loop, right in any callback of a long turn."""
        return max(0, now - self._beat_due)

    def earliest_arrival_us(self, now: int) -> int:
        """The earliest moment at which bytes read at `now` may have come: `now` on a sound loop.

        What a long turn reads was there when it began, which was after the last beat.  What the next turn
        reads may have come in the long one: so after a late beat, up to the next one, the beat before counts.
        """
        return self._beat_before_delay or (
            now if now <= self._beat_due else self._beat_due - BEAT_INTERVAL_US
        )

    def take_delay(self, now: int) -> LoopDelay:
        """The delay since the last call; one that still lasts counts as far as it has come."""
        delay_us = self.late_us(now)
        delay = LoopDelay(
            max(self._max_us, delay_us),
            (self._delay_area + delay_us * delay_us / 2) / max(1, now - self._interval_start),
        )
        self._interval_start, self._max_us, self._delay_area = now, 0, -delay_us * delay_us / 2
        return delay

    def _record(self, delay_us: int) -> None:
        self._max_us = max(self._max_us, delay_us)
        self._delay_area += delay_us * delay_us / 2  # the delay grows from 0 to `late` in that time
