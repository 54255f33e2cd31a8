"""Measures the delay of the event loop with a heartbeat, and how long the data that it reads may have waited.

Reading the clock in a callback does not show for how long the callback was due.  A beat that is due every 10
ms does: everything else in the loop is as late as the beat.
"""

from __future__ import annotations

from dataclasses import dataclass

BEAT_INTERVAL_US = 10_000  # costs 0.05% of a core; below the margin subtracted from a client's time limit
NORMAL_TURN_US = 2_000  # an iteration of a loop without delay takes less


@dataclass(slots=True)
class LoopDelay:
    """The delay of the loop over an interval, in microseconds: the maximum, and the mean over time."""

    max_us: int
    mean_us: float


class LoopMonitor:
    """The delay of a loop whose owner sets the timer for each beat.  Times are microseconds of one clock."""

    def __init__(self, now: int) -> None:
        self._beat_due = now + BEAT_INTERVAL_US
        self._beat_before_delay = 0  # when the beat before the last was run, if the last one was late; else 0
        self._interval_start = now
        self._max_us, self._delay_area = 0, 0.0

    def beat(self, now: int) -> int:
        """Record how late the beat is whose timer has just fired; return when the next one is due."""
        delay_us = self.late_us(now)
        self._beat_before_delay = self._beat_due - BEAT_INTERVAL_US if delay_us >= NORMAL_TURN_US else 0
        self._record(delay_us)
        self._beat_due = now + BEAT_INTERVAL_US
        return self._beat_due

    def late_us(self, now: int) -> int:
        """How long the next beat is overdue: 0 without delay; correct in any callback of a long iteration."""
        return max(0, now - self._beat_due)

    def earliest_arrival_us(self, now: int) -> int:
        """The earliest time at which bytes read at `now` can have arrived: `now` if the loop is not late.

        Bytes read in a long iteration had arrived when it began, which was after the last beat.  Bytes read
        in the next one may have arrived during the long one: so from a late beat to the next beat, the beat
        before the late one counts.
        """
        return self._beat_before_delay or (
            now if now <= self._beat_due else self._beat_due - BEAT_INTERVAL_US
        )

    def take_delay(self, now: int) -> LoopDelay:
        """The delay since the last call; one that is still going on counts up to now."""
        delay_us = self.late_us(now)
        delay = LoopDelay(
            max(self._max_us, delay_us),
            (self._delay_area + delay_us * delay_us / 2) / max(1, now - self._interval_start),
        )
        self._interval_start, self._max_us, self._delay_area = now, 0, -delay_us * delay_us / 2
        return delay

    def _record(self, delay_us: int) -> None:
        self._max_us = max(self._max_us, delay_us)
        self._delay_area += delay_us * delay_us / 2  # the integral of a delay that grows from 0 to `delay_us`
