"""How much memory the connections of this process hold, and how much more they may.  No I/O.

Resident memory is read ten times a second, and a crowd of clients can fill a process between two readings.
So every connection reports what it holds as it changes.
"""

from __future__ import annotations

# What the connections may fill; the rest is for garbage, fragments and what is not counted.
USABLE_SHARE = 0.92
RESERVE_BYTES = 3_000_000  # of what a process that has just started does not hold yet, such as pages of code
MIN_ALLOWED_BYTES = 1_000_000  # also where the limit is too low for the process itself
UNLIMITED_BYTES = 1 << 62
# One message or read takes at most this part of what is left: however many come, some is left for small ones.
SHARES = 1_024
BUFFER_COST = 1.5  # memory that a buffered byte costs, with what is allocated ahead and what lies between


class MemoryBudget:
    """The bytes that connections hold, and how many they may hold together."""

    __slots__ = (
        "_excess_bytes",
        "_limit_bytes",
        "_process_bytes",
        "_process_count",
        "allowed_bytes",
        "held_bytes",
    )

    def __init__(self, limit_bytes: int = 0, process_bytes: int = 0) -> None:
        """`limit_bytes`: resident memory that the process may use; 0: no limit.  `process_bytes`: what it
        uses without any connection."""
        self._limit_bytes, self._process_bytes, self._process_count = limit_bytes, process_bytes, 1
        self._excess_bytes = 0  # of the resident memory, over what is usable
        self.held_bytes = 0
        self.allowed_bytes = UNLIMITED_BYTES
        self._set_allowed()

    @property
    def _usable_bytes(self) -> int:
        return int(self._limit_bytes * USABLE_SHARE) // self._process_count

    def _set_allowed(self) -> None:
        if self._limit_bytes:
            left_bytes = self._usable_bytes - self._process_bytes - RESERVE_BYTES - self._excess_bytes
            self.allowed_bytes = max(MIN_ALLOWED_BYTES, left_bytes)

    def observe(self, resident_bytes: int) -> None:
        """Take a reading of the resident memory: what is over the usable part may not be held besides."""
        self._excess_bytes = max(0, resident_bytes - self._usable_bytes)
        self._set_allowed()

    def set_process_bytes(self, process_bytes: int) -> None:
        """Set what the process uses without any connection."""
        self._process_bytes = process_bytes
        self._set_allowed()

    def set_process_count(self, count: int) -> None:
        """Share the limit with the other processes of this balancer; `count` includes this one."""
        self._process_count = count
        self._set_allowed()

    def change(self, by_bytes: int) -> None:
        """Record that a connection holds so many bytes more, or fewer."""
        self.held_bytes += by_bytes

    @property
    def available_bytes(self) -> int:
        """How many more bytes may be held."""
        return max(0, self.allowed_bytes - self.held_bytes)

    @staticmethod
    def cost_bytes(buffered_bytes: int) -> int:
        """Return the memory that so many buffered bytes cost."""
        return int(buffered_bytes * BUFFER_COST)

    def share_bytes(self, least: int, most: int) -> int:
        """Return how many bytes one message or read may take now, between `least` and `most`."""
        return min(most, max(least, self.available_bytes // SHARES))
