"""What a request costs in CPU time, learned while the program runs.

CPU that is used for something else, such as clients that send rubbish at full speed, is no reason to refuse
requests: to refuse them would not bring it back.  Five such clients, each asking again the moment it is
answered, take all CPU that is left, and nothing is late for it.
"""

from __future__ import annotations

from math import exp

from .meter import Reading

WINDOW_US, FEW = 1_000_000, 50.0  # a cost is the mean over so long, and not from fewer requests
CHEAPER, DEARER = 0.5, 0.05  # so far the cost moves to one that is lower, or higher, in a window
UNSURE = 1.15  # the cost is known to this factor at worst


class RequestCost:
    """Fed each reading; tells how much of the CPU limit requests take, 0..1 and above."""

    def __init__(self, memory_us: float, full: float, refusal: float) -> None:
        """The share is a mean over `memory_us`.  From a CPU share of `full` on no cost is believed to rise:
        it is then that something else may take whatever is left.  `refusal`: what refusing costs, as a part
        of what serving does."""
        self._memory_us, self._full, self._refusal = memory_us, full, refusal
        self._cost = 0.0  # us of the limit for a request that is served
        self._cpu, self._rate = 0.0, 0.0
        self._window, self._used, self._units = 0, 0.0, 0.0

    def requests_cpu_share(self, r: Reading) -> float:
        """The share of the CPU limit that went into requests lately; all that was used if nobody counts."""
        part = 1 - exp(-r.interval_us / self._memory_us)
        self._cpu += (r.cpu_share - self._cpu) * part
        if r.arrived_count < 0:
            return self._cpu
        units = r.arrived_count - r.refused_count + self._refusal * r.refused_count
        self._rate += (units / r.interval_us - self._rate) * part
        self._learn(r, units)
        return min(self._cpu, UNSURE * self._cost * self._rate) if self._cost else self._cpu

    def _learn(self, r: Reading, units: float) -> None:
        self._window += r.interval_us
        self._used += r.cpu_share * r.interval_us
        self._units += units
        if self._window < WINDOW_US or self._units < FEW:
            return
        cost, full = self._used / self._units, self._used / self._window >= self._full
        if not self._cost:
            self._cost = cost
        elif cost < self._cost:
            self._cost += (cost - self._cost) * CHEAPER
        elif not full:
            self._cost += (cost - self._cost) * DEARER
        self._window, self._used, self._units = 0, 0.0, 0.0
