"""How much of the demand the process must refuse so that it does not fall behind itself.

Theory of operation.  Let `kept` be the part of the demand that is not to be refused.  CPU used is about
proportional to it, so it is moved by factors: one gain serves any overload.

- CPU near its limit lowers `kept` before anything is late, by its distance from TARGET, and faster once
  nothing is left (SATURATED): then the distance says no more how much too much is asked for.
- It does so only down to KEPT_BUSY.  Below, more CPU goes into refusing than into serving.  Where clients ask
  again at once, refusing alone fills the CPU, whatever is refused, and to refuse more only serves less.
- It does so only where refusing saves CPU at all: a client asks up to ASKED_AGAIN times again, so that a
  refusal must cost less than that part of a served request.  Where it costs half, shedding by CPU loses a
  third of the worth, and goes on doing so after a burst; then the loop's lateness alone decides.
- A late loop lowers it further, down to KEPT_LEAST: there is more than can even be refused in time.  The loop
  may be late by a part of the shortest aim.  It must be so in two readings, as a stop by the host is over
  in one; a collection of garbage or a new list of nodes is shorter than any part that counts.
- Otherwise it rises again.

The figures were found with benchmarks/overload_sim.py; docs/design/overload.md has them.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from typing import TypeAlias

from .cost import RequestCost
from .meter import READING_INTERVAL_US, Reading

TARGET_CPU_SHARE = 0.92  # of the CPU limit; at 0.85 full load loses a tenth more worth, at 0.98 bursts do
CPU_MEAN_US = 200_000  # of the mean CPU share: two periods of a quota
GAIN = 0.8  # a reading's CPU share over TARGET lowers `kept` by this power of their ratio
# so much in so many readings: by chance that is rare even at a load of 0.9
SATURATED_CPU_SHARE, SATURATED_READINGS = 0.97, 3
# factors a reading: when saturated, and at the most when there is room again
DECREASE_FACTOR, MAX_INCREASE_FACTOR = 0.85, 1.2
MIN_KEPT_BY_CPU = 0.25  # refusing costs a sixth to a fifth of serving: 60% of the CPU serves at this part
MIN_KEPT = 0.05
MAX_CLIENT_RETRIES = 3  # times that a client tries again, at once or soon
MAX_DELAY_SHARE = 1 / 8  # of the shortest aim, on the mean: a request passes the loop twice
MIN_DELAY_LIMIT_US = 10_000  # a quota of half a core stops it for 50 ms in 100: late by 8 ms on the mean
MIN_SHED_SHARE = 0.03  # less is not worth refusing anything: what is refused is asked for again
# share of memory or descriptors from which, and down to which, they are short
HIGH_WATERMARK, LOW_WATERMARK = 0.85, 0.75


@dataclass(slots=True, frozen=True)
class Shed:
    """At least this share, 0..0.95, of the arriving requests is to be refused, the least worth first."""

    share: float


@dataclass(slots=True, frozen=True)
class Tighten:
    """Memory or descriptors are short: idle connections are to be kept for less; or that is over."""

    on: bool


Action: TypeAlias = Shed | Tighten


class Controller:
    """Fed a reading every 100 ms; says when what is to be shed or tightened changes."""

    def __init__(self, aim_us: int, refusal_cost: float) -> None:
        """`aim_us`: within this the class that is most in a hurry wants its answer.  `refusal`: what refusing
        a request costs, as a part of what serving it does, 0..1."""
        if aim_us <= 0:
            raise ValueError(f"aim_us: {aim_us!r} must be positive")
        if not 0 < refusal_cost <= 1:
            raise ValueError(f"refusal_cost: {refusal_cost!r} must lie in 0..1")
        self._min_kept_by_cpu = MIN_KEPT_BY_CPU if refusal_cost * (1 + MAX_CLIENT_RETRIES) < 1 else 1.0
        self._max_delay_us = max(MIN_DELAY_LIMIT_US, aim_us * MAX_DELAY_SHARE)
        self._cost, self._saturated_count = RequestCost(CPU_MEAN_US, TARGET_CPU_SHARE, refusal_cost), 0
        self._last_delay_us = 0.0
        self._kept, self._share, self._is_tight = 1.0, -1.0, False  # the first share is always told

    @property
    def share(self) -> float:
        """What is shed at the moment."""
        return max(0.0, self._share)

    def handle(self, now: int, event: Reading) -> list[Action]:
        """One reading; `now` is the clock's time, on which nothing depends but the reading's interval."""
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
        """The part of the demand to keep from here on."""
        cpu = self._cost.requests_cpu_share(reading)
        self._saturated_count = self._saturated_count + 1 if reading.cpu_share >= SATURATED_CPU_SHARE else 0
        delay_us, self._last_delay_us = min(reading.late_mean_us, self._last_delay_us), reading.late_mean_us
        # a late loop reads late; a stop is no experience
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
