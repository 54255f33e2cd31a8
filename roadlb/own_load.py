"""Watches the load of this process: reads loop delay and resource usage, and sets the share to shed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from .clock import Clock
from .engine import Engine
from .log import fields
from .overload.controller import HIGH_WATERMARK, Controller, Shed, Tighten
from .overload.meter import READING_INTERVAL_US, Limits, Meter, Reading
from .overload.loop_monitor import LoopMonitor
from .overload.readings import cpu_used_us, memory_bytes, release_memory, since_last_receive_us

logger = logging.getLogger(__name__)

# The cost of a refusal as a part of that of a served request.  benchmarks/data_path.py shows 0.49 to 0.67 at
# 400 to 4,000 requests per second; the kernel's part alone is a fifth.
REFUSAL_COST = 0.5
# A smaller delay does not justify asking the kernel, which costs 3 us per read on a loop that is always a
# little late.
MIN_KERNEL_QUERY_DELAY_US = 20_000
RELEASE_INTERVAL_US = 1_000_000  # at least between two releases of free memory while memory is short


class OwnLoad:
    """Measures the load of this process every READING_INTERVAL_US and tells the engine what share to shed.

    `aim_us` is the shortest aim of a class; `descriptors` returns the number of open ones; `on_tighten` is
    called with True when memory or descriptors become short, and with False when they no longer are.
    `release` gives free memory back, and is called now and then while memory is short.
    """

    def __init__(
        self,
        clock: Clock,
        engine: Engine,
        limits: Limits,
        aim_us: int,
        descriptors: Callable[[], int],
        on_tighten: Callable[[bool], None],
        cpu_us: Callable[[], int] = cpu_used_us,
        memory: Callable[[], int] = memory_bytes,
        release: Callable[[], None] = release_memory,
    ) -> None:
        self._clock, self._engine, self._on_tighten = clock, engine, on_tighten
        self._loop, now = asyncio.get_running_loop(), clock()
        self._loop_monitor = LoopMonitor(now)
        self._meter = Meter(
            now, self._loop_monitor, limits, cpu_us, memory, descriptors, engine.request_counts
        )
        self._controller = Controller(aim_us, REFUSAL_COST)
        self._reading = Reading(0, 0.0)
        self._release_memory, self._next_release_us = release, now
        self._next_reading_at, self._beat_timer = now + READING_INTERVAL_US, self._loop.call_soon(self._beat)

    def earliest_arrival_us(self, transport: asyncio.Transport) -> int:
        """The earliest clock time at which bytes read now from this transport can have arrived."""
        now = self._clock()
        arrival = self._loop_monitor.earliest_arrival_us(now)
        if now - arrival < MIN_KERNEL_QUERY_DELAY_US:
            return now
        # The loop was late: ask the kernel, as most bytes have arrived only just now.
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None and (ago_us := since_last_receive_us(tcp_socket)):
            return max(arrival, now - ago_us)
        return arrival

    def late_us(self) -> int:
        """How long ago the data handled now may have arrived: 0 if the loop is not late."""
        now = self._clock()
        return now - self._loop_monitor.earliest_arrival_us(now)

    def _beat(self) -> None:
        now = self._clock()
        due = self._loop_monitor.beat(now)
        self._beat_timer = self._loop.call_later((due - now) / 1e6, self._beat)
        if now >= self._next_reading_at:
            self._next_reading_at = now + READING_INTERVAL_US
            self._take_reading(now)

    def _take_reading(self, now: int) -> None:
        self._reading = self._meter.read(now)
        if self._reading.memory_share > HIGH_WATERMARK and now >= self._next_release_us:
            self._next_release_us = now + RELEASE_INTERVAL_US
            self._release_memory()
        for action in self._controller.handle(now, self._reading):
            if isinstance(action, Shed):
                self._engine.set_shed_share(action.share)
            elif isinstance(action, Tighten):
                logger.info("tighten", extra=fields(on=action.on, **self.figures()))
                self._on_tighten(action.on)

    def figures(self) -> dict[str, float]:
        """The last reading and the shed share, under their metric names."""
        reading = self._reading
        return {
            "overload.shed_share": self._controller.share,
            "overload.cpu_share": reading.cpu_share,
            "overload.late_us": reading.late_max_us,
            "overload.memory_share": reading.memory_share,
            "overload.descriptor_share": reading.descriptor_share,
        }

    def stop(self) -> None:
        self._beat_timer.cancel()
