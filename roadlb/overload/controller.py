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
MEMORY_US = 200_000  # of the mean CPU share: two periods of a quota
GAIN = 0.8  # a reading's CPU share over TARGET lowers `kept` by this power of their ratio
SATURATED, IN_A_ROW = 0.97, 3  # so much in so many readings: by chance that is rare even at a load of 0.9
FALL, RISE = 0.85, 1.2  # factors a reading: when saturated, and at the most when there is room again
MIN_KEPT_BY_CPU = 0.25  # refusing costs a sixth to a fifth of serving: 60% of the CPU serves at this part
MIN_KEPT = 0.05
ASKED_AGAIN = 3  # times that a client tries again, at once or soon
LATE_PART = 1 / 8  # of the shortest aim, on the mean: a request passes the loop twice
LATE_LEAST_US = 10_000  # a quota of half a core stops it for 50 ms in 100: late by 8 ms on the mean
DEAD = 0.03  # less is not worth refusing anything: what is refused is asked for again
FULL, ROOMY = 0.85, 0.75  # share of memory or descriptors from which, and down to which, they are short


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

    def __init__(self, aim_us: int, refusal: float) -> None:
        """`aim_us`: within this the class that is most in a hurry wants its answer.  `refusal`: what refusing
        a request costs, as a part of what serving it does, 0..1."""
        if aim_us <= 0:
            raise ValueError(f"aim_us: {aim_us!r} must be positive")
        if not 0 < refusal <= 1:
            raise ValueError(f"refusal: {refusal!r} must lie in 0..1")
        self._kept_busy = MIN_KEPT_BY_CPU if refusal * (1 + ASKED_AGAIN) < 1 else 1.0
        self._late_most = max(LATE_LEAST_US, aim_us * LATE_PART)
        self._cost, self._saturated = RequestCost(MEMORY_US, TARGET_CPU_SHARE, refusal), 0
        self._late_before = 0.0
        self._kept, self._share, self._tight = 1.0, -1.0, False  # the first share is always told

    @property
    def share(self) -> float:
        """What is shed at the moment."""
        return max(0.0, self._share)

    def handle(self, now: int, event: Reading) -> list[Action]:
        """One reading; `now` is the clock's time, on which nothing depends but the reading's interval."""
        actions: list[Action] = []
        self._kept = self._next(event)
        share = 1 - self._kept if self._kept < 1 - DEAD else 0.0
        if share != self._share:
            self._share = share
            actions.append(Shed(share))
        short = max(event.memory_share, event.descriptor_share)
        if short > FULL and not self._tight or short < ROOMY and self._tight:
            self._tight = not self._tight
            actions.append(Tighten(self._tight))
        return actions

    def _next(self, r: Reading) -> float:
        """The part of the demand to keep from here on."""
        cpu = self._cost.requests_cpu_share(r)
        self._saturated = self._saturated + 1 if r.cpu_share >= SATURATED else 0
        late, self._late_before = min(r.late_mean_us, self._late_before), r.late_mean_us
        # a late loop reads late; a stop is no experience
        readings = min(2.0, r.interval_us / READING_INTERVAL_US)
        factor = float((TARGET_CPU_SHARE / max(cpu, 0.05)) ** (GAIN * readings))
        if self._saturated >= IN_A_ROW and factor < 1:
            factor = min(factor, float(FALL**readings))
        kept, rise = self._kept, float(RISE**readings)
        if late > self._late_most:
            by_cpu = max(min(kept, self._kept_busy), kept * min(factor, 1.0))
            return min(by_cpu, max(MIN_KEPT, kept * max(0.5, sqrt(self._late_most / late))))
        if late > self._late_most / 2 and kept < 1:
            rise = 1.0
        if factor >= 1:
            return min(1.0, kept * min(factor, rise))
        if kept < self._kept_busy:
            return min(self._kept_busy, kept * rise)
        return max(self._kept_busy, kept * factor)
