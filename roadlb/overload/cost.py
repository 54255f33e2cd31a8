"""What a request costs in CPU time, learned while the program runs.

CPU that is used for something else, such as clients that send rubbish at full speed, is no reason to refuse
requests: to refuse them would not bring it back.  Five such clients, each asking again the moment it is
answered, take all CPU that is left, and nothing is late for it.
"""

from __future__ import annotations

from math import exp

from .meter import Reading

WINDOW_US, MIN_REQUESTS = 1_000_000, 50.0  # a cost is the mean over so long, and not from fewer requests
DECREASE_GAIN, INCREASE_GAIN = 0.5, 0.05  # so far the cost moves to one that is lower, or higher, in a window
COST_MARGIN = 1.15  # the cost is known to this factor at worst


class RequestCost:
    """Fed each reading; tells how much of the CPU limit requests take, 0..1 and above."""

    def __init__(self, mean_us: float, full_share: float, refusal_cost: float) -> None:
        """The share is a mean over `memory_us`.  From a CPU share of `full` on no cost is believed to rise:
        it is then that something else may take whatever is left.  `refusal`: what refusing costs, as a part
        of what serving does."""
        self._mean_us, self._full_share, self._refusal_cost = mean_us, full_share, refusal_cost
        self._cost = 0.0  # us of the limit for a request that is served
        self._cpu_share, self._unit_rate = 0.0, 0.0
        self._window_us, self._window_cpu_us, self._window_units = 0, 0.0, 0.0

    def requests_cpu_share(self, reading: Reading) -> float:
        """The share of the CPU limit that went into requests lately; all that was used if nobody counts."""
        weight = 1 - exp(-reading.interval_us / self._mean_us)
        self._cpu_share += (reading.cpu_share - self._cpu_share) * weight
        if reading.arrived_count < 0:
            return self._cpu_share
        units = reading.arrived_count - reading.refused_count + self._refusal_cost * reading.refused_count
        self._unit_rate += (units / reading.interval_us - self._unit_rate) * weight
        self._learn(reading, units)
        return (
            min(self._cpu_share, COST_MARGIN * self._cost * self._unit_rate)
            if self._cost
            else self._cpu_share
        )

    def _learn(self, reading: Reading, units: float) -> None:
        self._window_us += reading.interval_us
        self._window_cpu_us += reading.cpu_share * reading.interval_us
        self._window_units += units
        if self._window_us < WINDOW_US or self._window_units < MIN_REQUESTS:
            return
        cost, is_full = (
            self._window_cpu_us / self._window_units,
            self._window_cpu_us / self._window_us >= self._full_share,
        )
        if not self._cost:
            self._cost = cost
        elif cost < self._cost:
            self._cost += (cost - self._cost) * DECREASE_GAIN
        elif not is_full:
            self._cost += (cost - self._cost) * INCREASE_GAIN
        self._window_us, self._window_cpu_us, self._window_units = 0, 0.0, 0.0
