"""How often a subscriber may have things told because it asked, not because they changed.

A subscriber may ask for the same names again and again, and the protocol wants each asking answered.  So
those responses are counted: BURST of them at once, then PER_S a second, for each stream.  What has changed
is never counted and never waits.
"""

from __future__ import annotations

BURST = 200  # a client that finds names one by one asks for each: 50 clusters, four types
PER_S = 10  # 10 x 100 subscribers x 1 ms to build a response is a core


class Pace:
    """A token bucket, in microseconds: each response takes the time of one."""

    __slots__ = ("_full_at",)

    def __init__(self) -> None:
        self._full_at = 0

    def free_at(self) -> int:
        """From when on the next response may go."""
        return self._full_at - (BURST - 1) * 1_000_000 // PER_S

    def take(self, now: int) -> None:
        """One goes."""
        self._full_at = max(self._full_at, now) + 1_000_000 // PER_S
