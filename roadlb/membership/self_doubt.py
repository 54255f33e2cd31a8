"""How a process stands with itself: its ill health, and the doubt after it was not running.

Points of ill health make its own probes slower (Lifeguard's local health multiplier); the doubt, which comes
of a tick that is late, has it accuse nobody until others have answered.  The table is in `members`.
"""

from __future__ import annotations

HEALTH_MOST = 2  # points of ill health: periods are up to three times as long
LATE_US = 500_000  # of a tick
VOUCH = 2  # others who answer end the doubt ...
DOUBT_MOST_US = 5_000_000  # ... or so much time


class SelfDoubt:
    __slots__ = ("_until_us", "_vouched", "health", "late_us")

    def __init__(self) -> None:
        self.health, self.late_us = 0, 0  # points; the last lateness
        self._until_us = 0
        self._vouched: set[str] = set()

    @property
    def doubtful(self) -> bool:
        return self._until_us > 0

    @property
    def slower(self) -> int:
        """So many times as long as usual its periods are."""
        return 1 + self.health

    def begin(self, now: int, late_us: int) -> None:
        self.late_us, self.health, self._until_us = late_us, HEALTH_MOST, now + DOUBT_MOST_US
        self._vouched.clear()

    def ail(self, points: int) -> None:
        self.health = max(0, min(HEALTH_MOST, self.health + points))

    def vouch(self, name: str, others: int) -> None:
        """One of so many others has answered."""
        if self.doubtful:
            self._vouched.add(name)
            if len(self._vouched) >= min(VOUCH, others):
                self._until_us = 0

    def pass_time(self, now: int) -> None:
        if self.doubtful and now >= self._until_us:
            self._until_us = 0
