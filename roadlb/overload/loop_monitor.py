"""The heartbeat of the event loop: how late the loop runs, and how long what it reads may have waited.

A clock read in a callback cannot tell how long the callback was due.  A beat that is due every 10 ms can:
whatever is overdue on it, everything else in the loop is.
"""

from __future__ import annotations

from dataclasses import dataclass

BEAT_INTERVAL_US = 10_000  # costs 0.05% of a core; less than the margin that is taken off a client's time
SOUND_US = 2_000  # a turn of a sound loop takes less


@dataclass(slots=True)
class Delay:
    """The loop's delay over an interval, in microseconds: the largest, and the mean over time."""

    max_us: int
    mean_us: float


class LoopMonitor:
    """Kept by the owner of the loop, who arms the timer for each beat.  Times are us of one clock."""

    def __init__(self, now: int) -> None:
        self._due = now + BEAT_INTERVAL_US
        self._missed = 0  # the beat before the last one, if the last one was late
        self._from = now
        self._largest, self._area = 0, 0.0

    def beat(self, now: int) -> int:
        """The timer has fired; returns when it is to fire next."""
        late = self.late_us(now)
        self._missed = self._due - BEAT_INTERVAL_US if late >= SOUND_US else 0
        self._note(late)
        self._due = now + BEAT_INTERVAL_US
        return self._due

    def late_us(self, now: int) -> int:
        """By how much the next beat is overdue: 0 on a sound loop, right in any callback of a long turn."""
        return max(0, now - self._due)

    def earliest_arrival_us(self, now: int) -> int:
        """The earliest moment at which bytes read at `now` may have come: `now` on a sound loop.

        What a long turn reads was there when it began, which was after the last beat.  What the next turn
        reads may have come in the long one: so after a late beat, up to the next one, the beat before counts.
        """
        return self._missed or (now if now <= self._due else self._due - BEAT_INTERVAL_US)

    def take_delay(self, now: int) -> Delay:
        """The delay since the last call; one that still lasts counts as far as it has come."""
        late = self.late_us(now)
        delay = Delay(max(self._largest, late), (self._area + late * late / 2) / max(1, now - self._from))
        self._from, self._largest, self._area = now, 0, -late * late / 2
        return delay

    def _note(self, late: int) -> None:
        self._largest = max(self._largest, late)
        self._area += late * late / 2  # the delay grows from 0 to `late` in that time
