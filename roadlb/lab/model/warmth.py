"""How much of its capacity a grid node has: from the cold share evenly to all, by time or by work."""

from __future__ import annotations

# Capacity grows in steps, so that between two of them work is done at one rate and its end is known exactly.
# 20 ms are 0.15% of the shortest warm-up, 13 s.
STEP_US = 20_000


class Warmth:
    """A step counts from its start on, so that capacity is never below the even line.

    `warm_work_us` is the work, in microseconds of a standard core, that warms it as time does; whichever is
    further counts, so that it is never slower than evenly over `warm_us`.
    """

    def __init__(self, cold_share: float, warm_us: int, warm_work_us: int, started: int) -> None:
        self._cold, self._warm_us, self._work_us, self._started = cold_share, warm_us, warm_work_us, started

    def share(self, now: int, done_us: int) -> float:
        if self._warm_us <= 0:
            return 1.0
        part = ((now - self._started) // STEP_US + 1) * STEP_US / self._warm_us
        if self._work_us:
            part = max(part, done_us / self._work_us)
        return 1.0 if part >= 1 else self._cold + (1 - self._cold) * part

    def next_step(self, now: int) -> int | None:
        """When it next grows by time; none once it is warm by time."""
        at = self._started + ((now - self._started) // STEP_US + 1) * STEP_US
        return at if at < self._started + self._warm_us else None
