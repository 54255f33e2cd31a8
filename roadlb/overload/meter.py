"""Measures the resource usage of the process as shares of its limits, one reading at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .loop_monitor import LoopMonitor

# The period of a CPU quota, so that each reading contains one of its stops.
READING_INTERVAL_US = 100_000


@dataclass(slots=True, frozen=True)
class Limits:
    """The resource limits of the process.

    `cores`: CPU time per second, in cores.  `memory_mb`: resident memory in MB of 2^20 bytes.  `sockets`:
    open descriptors.  0 means no limit; the share is then always 0.
    """

    cores: float
    memory_mb: float = 0.0
    sockets: int = 0


@dataclass(slots=True, frozen=True)
class Reading:
    """The resource usage of the process over one interval; shares are of its limits, 1.0 is all of a limit.

    `late_max_us` and `late_mean_us`: the largest delay of the loop, and its mean over time.  `arrived_count`
    requests arrived, of which `refused_count` were refused at once; -1 if requests are not counted.
    """

    interval_us: int
    cpu_share: float
    late_max_us: int = 0
    late_mean_us: float = 0.0
    memory_share: float = 0.0
    descriptor_share: float = 0.0
    arrived_count: int = -1
    refused_count: int = 0


class Meter:
    """Takes readings, from callables for used CPU time (us), resident memory (bytes) and open descriptors.

    `request_counts` returns how many requests have arrived so far, and how many of them were refused at once.
    """

    def __init__(
        self,
        now: int,
        loop_monitor: LoopMonitor,
        limits: Limits,
        cpu_used_us: Callable[[], int],
        memory_bytes: Callable[[], int],
        descriptors: Callable[[], int],
        request_counts: Callable[[], tuple[int, int]],
    ) -> None:
        for name in ("cores", "memory_mb", "sockets"):
            if getattr(limits, name) < 0:
                raise ValueError(f"{name}: {getattr(limits, name)!r} is negative; 0 means no limit")
        self._loop_monitor, self._limits = loop_monitor, limits
        self._cpu_used_us, self._memory_bytes, self._descriptors = cpu_used_us, memory_bytes, descriptors
        self._request_counts = request_counts
        self._read_at, self._read_cpu_us = now, cpu_used_us()
        self._read_arrived, self._read_refused = request_counts()

    def read(self, now: int) -> Reading:
        """The reading of the interval since the last one, which is at least 1 us long."""
        cpu, (arrived, refused), limits = self._cpu_used_us(), self._request_counts(), self._limits
        interval, delay = max(1, now - self._read_at), self._loop_monitor.take_delay(now)
        reading = Reading(
            interval,
            _share(cpu - self._read_cpu_us, limits.cores * interval),
            delay.max_us,
            delay.mean_us,
            _share(self._memory_bytes(), limits.memory_mb * 2**20),
            _share(self._descriptors(), limits.sockets),
            arrived - self._read_arrived,
            refused - self._read_refused,
        )
        self._read_at, self._read_cpu_us, self._read_arrived, self._read_refused = now, cpu, arrived, refused
        return reading


def _share(used: float, limit: float) -> float:
    return used / limit if limit else 0.0
