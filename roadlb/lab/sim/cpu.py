"""How long a host's callbacks take, and when a host with a share of a core has done them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeAlias

# Microseconds of CPU for one callback: a figure, or drawn for each from the host's own generator.
Cost: TypeAlias = int | Callable[[Random], int]

PERIOD_US = 100_000  # of Linux's bandwidth control, unless told otherwise


class Cpu:
    """One thread under a quota: it runs at full speed until its `cores * period_us` of this period are used
    up, and then stands until the next period begins."""

    def __init__(self, cost: Cost, cores: float, period_us: int, rng: Random) -> None:
        if cores <= 0 or period_us <= 0:
            raise ValueError(f"cores={cores}, period_us={period_us}: both must be positive")
        self._cost, self._rng = cost, rng
        self._period, self._quota = period_us, max(1, int(cores * period_us))
        self._at, self._used = 0, 0  # the period looked at, and what was used of it
        self.used_us = 0  # by all callbacks so far

    def end(self, now: int) -> int:
        """When one more callback that begins now is done."""
        work = self._cost if isinstance(self._cost, int) else self._cost(self._rng)
        self.used_us += work
        while True:
            period = now // self._period
            if period != self._at:
                self._at, self._used = period, 0
            after = (period + 1) * self._period
            ran = max(0, min(work, self._quota - self._used, after - now))
            now, work, self._used = now + ran, work - ran, self._used + ran
            if work <= 0:
                return now
            now = after
