"""What the operating system tells of this process: CPU time, resident memory, open descriptors."""

from __future__ import annotations

import os
import resource
import sys
import time

_PAGE = os.sysconf("SC_PAGE_SIZE")
_MAXRSS_UNIT = 1 if sys.platform == "darwin" else 1024


def cpu_used_us() -> int:
    """CPU time of the process so far, user and system, all threads, in microseconds."""
    return time.process_time_ns() // 1000


def memory_bytes() -> int:
    """Resident memory in bytes; where /proc cannot be read, the most that it has been (getrusage)."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[1]) * _PAGE
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _MAXRSS_UNIT
