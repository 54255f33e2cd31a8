"""Time, which is handed in: callables that tell integer microseconds."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeAlias

Clock: TypeAlias = Callable[[], int]


def monotonic_us() -> int:
    """The one clock of all decisions, deadlines and ages; event loops' clocks run alike, but are coarser."""
    return time.monotonic_ns() // 1000


def unix_us() -> int:
    """Unix time, for what other machines tell in it."""
    return time.time_ns() // 1000
