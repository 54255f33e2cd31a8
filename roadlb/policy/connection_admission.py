"""Which requests are refused for their connection, and which connections end for others.  No I/O.

A request is started only while its client's close would be noticed.  Once the kernel has no room for more
input, what the client sends next, its close included, waits on the client's machine.  It takes a moment to
come once there is room again.

The last connections below the maximum are reserved: while all others are in use, the first request on one of
these is refused and the connection ends, so that each new client still gets an answer.
"""

from __future__ import annotations

HIDDEN_CLOSE_BYTES = 16_384  # unread, beyond which the kernel may have no room for a close
CAUGHT_UP_US = 20_000  # with no input: what waited on the client's machine has come
RESERVED_SHARE = 16  # one in so many connections
MIN_RESERVED, MIN_SERVED = 4, 8
MAX_READ_STALL_US = 2_600_000  # as long as a client may take for its request


def may_hide_close(unread_bytes: int, was_hidden: bool) -> bool:
    """Whether the client may have closed behind so much unread input without its close having come.

    Once it may (`was_hidden`), any rest counts: the kernel may take no more before it has been read.
    """
    return unread_bytes >= HIDDEN_CLOSE_BYTES or was_hidden and unread_bytes > 0


def has_caught_up(since_us: int) -> bool:
    """Whether a close would have come by now, as nothing has been unread for so long."""
    return since_us >= CAUGHT_UP_US


def reserved_connections(max_connections: int) -> int:
    """Return how many of the connections are there for refusals alone."""
    if max_connections < MIN_RESERVED + MIN_SERVED:
        return 0
    return max(MIN_RESERVED, max_connections // RESERVED_SHARE)


def may_end_reader(stalled_us: int) -> bool:
    """Whether a client that has taken nothing of its answer for so long may make room for a new one."""
    return stalled_us >= MAX_READ_STALL_US
