"""Load reports: looked at now and then, shown late and a little wrong, but honest after a pause."""

from __future__ import annotations

from collections import deque
from random import Random

from .events import Load

ERRORS_US = 1_000_000  # errors a second are those of the last second


class Reporter:
    """The owner calls `look` before each change, so that a look sees the load as it was at its time."""

    def __init__(self, period_us: int, delay_us: int, noise: float, rng: Random, now: int) -> None:
        self._period_us, self._delay_us, self._noise, self._rng = period_us, delay_us, noise, rng
        self._next = now + int(rng.random() * period_us) if period_us else now
        self._late: deque[tuple[int, Load]] = deque()  # seen, and not yet shown
        self._shown = Load(0.0, 0.0)
        self._errors: deque[int] = deque()

    def error(self, now: int) -> None:
        self._errors.append(now)

    def _eps(self, now: int) -> float:
        while self._errors and now - self._errors[0] >= ERRORS_US:
            self._errors.popleft()
        return len(self._errors) * 1e6 / ERRORS_US

    def _noisy(self, value: float) -> float:
        return round(max(0.0, value * (1 + self._rng.gauss(0, self._noise))), 2) if value else 0.0

    def look(self, now: int, queue: int) -> None:
        """Nothing has changed since the last call, and something will."""
        if not self._period_us or self._next > now:
            return
        # Of a long quiet time only the last looks can still be seen.
        passed = (now - self._next) // self._period_us
        kept = self._delay_us // self._period_us + 1
        self._next += max(0, passed - kept) * self._period_us
        while self._next <= now:
            load = Load(self._noisy(self._eps(self._next)), self._noisy(queue))
            self._late.append((self._next + self._delay_us, load))
            self._next += self._period_us

    def present(self, now: int, queue: int) -> Load:
        """What an answer that goes out now says."""
        if not self._period_us:
            return Load(self._eps(now), float(queue))
        while self._late and self._late[0][0] <= now:
            self._shown = self._late.popleft()[1]
        return self._shown

    def renew(self, now: int, queue: int) -> None:
        """After a pause: what was seen before it says nothing any more, so the load is told as it is now."""
        self._late.clear()
        self._shown = Load(self._eps(now), float(queue))
        self._next = now + self._period_us
