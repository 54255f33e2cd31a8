"""When a streamed request body's last byte may have been written, whether or not it has been read.  No I/O.

While no server takes more of a body, its client's connection is not read.  The body's last byte may lie in
this machine's kernel or, once there is no room there, in that of the client, who has written it.  The time of
the client runs from that byte all the same.
"""

from __future__ import annotations

MAX_CLIENT_KERNEL_BYTES = 4 << 20  # that a client's kernel holds of what was written (tcp_wmem's maximum)


FULL_BYTES = 16_384  # unread, beyond which the kernel may have no room for more
UNKNOWN_BYTES = -1


class BodyArrival:
    """Records how many bytes have come, and since when others may wait behind them; times in microseconds.

    `rest_bytes`: of the body that had not come when this began.
    """

    __slots__ = ("_arrived_bytes", "_grew_us", "_read_bytes", "_rest_bytes", "_waiting_since_us")

    def __init__(self, now_us: int, rest_bytes: int = UNKNOWN_BYTES) -> None:
        self._grew_us = now_us  # when the count of arrived bytes last grew
        self._rest_bytes = rest_bytes
        self._read_bytes = self._arrived_bytes = 0
        self._waiting_since_us = 0  # since when unread bytes wait, the whole rest perhaps behind them; 0: not

    @property
    def latest_us(self) -> int:
        """The earliest time at which the client may have written all that it has written by now."""
        return min(self._grew_us, self._waiting_since_us) if self._waiting_since_us else self._grew_us

    def record_read(self, size: int, unread: int, now_us: int) -> None:
        """Record bytes that have been read, and how many still wait; known ones came earlier than now."""
        self._read_bytes += size
        self.record_unread(unread, now_us)

    def record_unread(self, size: int, now_us: int) -> None:
        """Record how many bytes now wait to be read."""
        arrived_bytes = self._read_bytes + size
        if arrived_bytes > self._arrived_bytes:
            self._arrived_bytes = arrived_bytes
            self._grew_us = now_us
        if not size:
            self._waiting_since_us = 0  # the client had written no more
        elif size >= FULL_BYTES and not self._waiting_since_us and self._may_be_written:
            self._waiting_since_us = now_us

    @property
    def _may_be_written(self) -> bool:
        if self._rest_bytes == UNKNOWN_BYTES:
            return True
        return self._rest_bytes - self._arrived_bytes <= MAX_CLIENT_KERNEL_BYTES
