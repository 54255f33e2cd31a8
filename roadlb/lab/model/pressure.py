"""What pushes a cold grid node over: a budget for every window of the stated length.

All work that is sent counts, whatever becomes of it.  Within any window it must stay at or under
multiple x present capacity x window, from the very start, so that a short heavy burst can spend the budget
of a whole window.  Capacity only grows, so it is enough to look at each window that ends with an arrival.
"""

from __future__ import annotations

from collections import deque


class Pressure:
    def __init__(self, multiple: float, window_us: int, slack_us: int) -> None:
        self._multiple, self._window_us, self._slack_us = multiple, window_us, slack_us
        self._sent: deque[tuple[int, int]] = deque()
        self._sum_us = 0

    def add(self, now: int, work_us: int, capacity: float) -> tuple[int, int] | None:
        """Work comes; `capacity` in seconds of work a second.

        If it is too much: what was sent in the window, and what could have been done in it, both in
        microseconds of a standard core.
        """
        self._sent.append((now, work_us))
        self._sum_us += work_us
        while now - self._sent[0][0] >= self._window_us:
            self._sum_us -= self._sent.popleft()[1]
        room_us = round(capacity * self._window_us)
        if self._sum_us <= round(self._multiple * room_us) + self._slack_us:
            return None
        return self._sum_us, room_us
