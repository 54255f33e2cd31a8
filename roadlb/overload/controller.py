"""The share of the demand that the process must refuse so that it does not fall behind.

Theory of operation.  Let `kept` be the part of the demand that is not refused.  CPU usage is about
proportional to it, so it is changed by factors: one gain suits any overload.

- CPU usage near its limit lowers `kept` before anything is late, by its ratio to TARGET_CPU_SHARE.  It does
  so faster once the CPU is saturated (SATURATED_CPU_SHARE), as the ratio then no longer shows the excess
  demand.
- It does so only down to MIN_KEPT_BY_CPU.  Below that, refusing takes more CPU than serving.  If clients
  retry at once, refusals alone fill the CPU, whatever share is refused, and refusing more only serves less.
- It does so only if refusing saves CPU at all: a client retries up to MAX_CLIENT_RETRIES times, so that all
  refusals together must cost less than a served request.  If a refusal costs half of one, shedding by CPU
  loses a third of the worth, and goes on doing so after a burst; then the loop's delay alone decides.
- A late loop lowers it further, down to MIN_KEPT: there is more demand than can even be refused in time.  The
  loop may be late by a part of the shortest aim.  Two readings must show the delay, as a stop by the host is
  over in one; a garbage collection or a new server list is shorter than any delay that counts.
- Otherwise it rises again.

benchmarks/overload_sim.py simulates the controller; docs/design/overload.md has its results.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from typing import TypeAlias

from .cost import RequestCost
from .meter import READING_INTERVAL_US, Reading

TARGET_CPU_SHARE = 0.92  # of the CPU limit; 0.85 loses a tenth more worth at full load, 0.98 in bursts
CPU_MEAN_US = 200_000  # time constant of the mean CPU share: two periods of a CPU quota
GAIN = 0.8  # each reading lowers `kept` by this power of the target's ratio to the CPU share
# This CPU share in so many consecutive readings: by chance rare even at a load of 0.9.
SATURATED_CPU_SHARE, SATURATED_READINGS = 0.97, 3
# Factors per reading: when the CPU is saturated, and at most when there is capacity again.
DECREASE_FACTOR, MAX_INCREASE_FACTOR = 0.85, 1.2
MIN_KEPT_BY_CPU = 0.25  # as refusing costs a sixth to a fifth of serving, 60% of the CPU still serves
MIN_KEPT = 0.05
MAX_CLIENT_RETRIES = 3  # how often a client retries, at once or soon
MAX_DELAY_SHARE = 1 / 8  # of the shortest aim, for the mean delay: a request passes the loop twice
MIN_DELAY_LIMIT_US = 10_000  # a quota of half a core stops the process for 50 ms in 100: a mean delay of 8 ms
MIN_SHED_SHARE = 0.03  # a smaller share is not worth refusing, as refused requests come again
# Shares of memory or descriptors above which they become short, and below which they no longer are.
HIGH_WATERMARK, LOW_WATERMARK = 0.85, 0.75


@dataclass(slots=True, frozen=True)
class Shed:
    """Refuse at least this share, 0..0.95, of the arriving requests, those of the least worth first."""

    share: float


@dataclass(slots=True, frozen=True)
class Tighten:
    """Memory or descriptors are short, so that idle connections are to be closed earlier; or no longer so."""

    on: bool


Action: TypeAlias = Shed | Tighten


class Controller:
    """Takes a reading every 100 ms; returns changes of what to shed and whether to tighten limits."""

    def __init__(self, aim_us: int, refusal_cost: float) -> None:
        """`aim_us`: the shortest aim of a class.  `refusal_cost`: the cost of refusing a request as a part of
        that of serving it, 0..1."""
        if aim_us <= 0:
            raise ValueError(f"aim_us: {aim_us!r} must be positive")
        if not 0 < refusal_cost <= 1:
            raise ValueError(f"refusal_cost: {refusal_cost!r} must lie in 0..1")
        self._min_kept_by_cpu = MIN_KEPT_BY_CPU if refusal_cost * (1 + MAX_CLIENT_RETRIES) < 1 else 1.0
        self._max_delay_us = max(MIN_DELAY_LIMIT_US, aim_us * MAX_DELAY_SHARE)
        self._cost, self._saturated_count = RequestCost(CPU_MEAN_US, TARGET_CPU_SHARE, refusal_cost), 0
        self._last_delay_us = 0.0
        self._kept, self._share, self._is_tight = 1.0, -1.0, False  # -1: the first share is always reported

    @property
    def share(self) -> float:
        """The share that is shed at present."""
        return max(0.0, self._share)

    def handle(self, now: int, event: Reading) -> list[Action]:
        """Process one reading.  Only its interval matters, not the clock time `now`."""
        actions: list[Action] = []
        self._kept = self._next_kept(event)
        share = 1 - self._kept if self._kept < 1 - MIN_SHED_SHARE else 0.0
        if share != self._share:
            self._share = share
            actions.append(Shed(share))
        usage = max(event.memory_share, event.descriptor_share)
        if usage > HIGH_WATERMARK and not self._is_tight or usage < LOW_WATERMARK and self._is_tight:
            self._is_tight = not self._is_tight
            actions.append(Tighten(self._is_tight))
        return actions

    def _next_kept(self, reading: Reading) -> float:
        """The part of the demand to keep from now on."""
        cpu = self._cost.requests_cpu_share(reading)
        self._saturated_count = self._saturated_count + 1 if reading.cpu_share >= SATURATED_CPU_SHARE else 0
        delay_us, self._last_delay_us = min(reading.late_mean_us, self._last_delay_us), reading.late_mean_us
        # A late loop takes its readings late; a long stop counts as no more than two readings.
        readings = min(2.0, reading.interval_us / READING_INTERVAL_US)
        factor = float((TARGET_CPU_SHARE / max(cpu, 0.05)) ** (GAIN * readings))
        if self._saturated_count >= SATURATED_READINGS and factor < 1:
            factor = min(factor, float(DECREASE_FACTOR**readings))
        kept, max_increase = self._kept, float(MAX_INCREASE_FACTOR**readings)
        if delay_us > self._max_delay_us:
            kept_by_cpu = max(min(kept, self._min_kept_by_cpu), kept * min(factor, 1.0))
            return min(kept_by_cpu, max(MIN_KEPT, kept * max(0.5, sqrt(self._max_delay_us / delay_us))))
        if delay_us > self._max_delay_us / 2 and kept < 1:
            max_increase = 1.0
        if factor >= 1:
            return min(1.0, kept * min(factor, max_increase))
        if kept < self._min_kept_by_cpu:
            return min(self._min_kept_by_cpu, kept * max_increase)
        return max(self._min_kept_by_cpu, kept * factor)
