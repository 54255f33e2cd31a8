"""When the bytes of a streamed request body came to this machine, whether or not they have been read.

While no server takes more of a body, its client's connection is not read, and the body's last byte may lie in
the kernel.  The client's time runs from that byte all the same.  No I/O.
"""

from __future__ import annotations


class BodyArrival:
    """Records how many bytes have come, and when the count last grew; times in microseconds."""

    __slots__ = ("_arrived_bytes", "_read_bytes", "latest_us")

    def __init__(self, now_us: int) -> None:
        self.latest_us = now_us
        self._read_bytes = self._arrived_bytes = 0

    def record_read(self, size: int, now_us: int) -> None:
        """Record bytes that have been read; those known to have waited unread came earlier than now."""
        self._read_bytes += size
        self._record_total(self._read_bytes, now_us)

    def record_unread(self, size: int, now_us: int) -> None:
        """Record how many bytes now wait to be read."""
        self._record_total(self._read_bytes + size, now_us)

    def _record_total(self, arrived_bytes: int, now_us: int) -> None:
        if arrived_bytes > self._arrived_bytes:
            self._arrived_bytes = arrived_bytes
            self.latest_us = now_us
