"""Values from the operating system: CPU time, resident memory, time since a connection received data."""

from __future__ import annotations

import gc
import os
import resource
import socket
import struct
import sys
import time
from contextlib import suppress
from typing import Protocol

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_MAXRSS_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024
_TCP_INFO = getattr(socket, "TCP_INFO", -1)
_LAST_DATA_RECV = struct.Struct("=52xI")  # struct tcp_info of linux/tcp.h, up to tcpi_last_data_recv


class Socket(Protocol):
    """The socket of a connection, or the wrapper that the transports of asyncio and uvloop return."""

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes: ...


def cpu_used_us() -> int:
    """CPU time that the process has used, user and system, of all threads, in microseconds."""
    return time.process_time_ns() // 1000


def memory_bytes() -> int:
    """Resident memory in bytes; if /proc cannot be read, its maximum so far (getrusage)."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _MAXRSS_UNIT_BYTES


def since_last_receive_us(connection: Socket) -> int:
    """Upper bound of the time since a TCP connection last received bytes; 0 if it is not available.

    Linux only, in whole milliseconds.  It costs 1.4 us on asyncio and 3.4 us on uvloop: call it only if the
    loop was late, as the bytes read then may have arrived at any time during the delay.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _LAST_DATA_RECV.size)
        return (int(_LAST_DATA_RECV.unpack(info)[0]) + 1) * 1000
    except (OSError, struct.error):
        return 0


def release_memory() -> None:
    """Collect garbage, and return to the system what the C library holds free; takes some milliseconds."""
    gc.collect()
    import ctypes  # costs memory, and is needed only where memory is short

    with suppress(OSError, AttributeError):  # another C library than glibc
        ctypes.CDLL(None).malloc_trim(0)
