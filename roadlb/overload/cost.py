"""The CPU time that a request costs, learned while the process runs.

CPU used for something else, such as clients that send malformed data at full speed, is no reason to refuse
requests, because refusing them would not free it.  Five such clients, each sending again as soon as it is
answered, take all CPU that is left without delaying anything.
"""

from __future__ import annotations

from math import exp

from .meter import Reading

WINDOW_US, MIN_REQUESTS = 1_000_000, 50.0  # a cost is the mean over at least this time and these requests
DECREASE_GAIN, INCREASE_GAIN = 0.5, 0.05  # part of the difference by which a window lowers or raises the cost
COST_MARGIN = 1.15  # upper bound of the error of the cost, as a factor


class RequestCost:
    """Takes each reading and returns the share of the CPU limit that requests take, 0..1 and above."""

    def __init__(self, mean_us: float, full_share: float, refusal_cost: float) -> None:
        """The share is a mean over `mean_us`.  From a CPU share of `full_share` on the cost is not raised, as
        something else may then take all CPU that is left.  `refusal_cost`: the cost of refusing a request as
        a part of that of serving it."""
        self._mean_us, self._full_share, self._refusal_cost = mean_us, full_share, refusal_cost
        self._cost = 0.0  # microseconds of the limit per served request; 0: not known yet
        self._cpu_share, self._unit_rate = 0.0, 0.0
        self._window_us, self._window_cpu_us, self._window_units = 0, 0.0, 0.0

    def requests_cpu_share(self, reading: Reading) -> float:
        """Record a reading; return the recent share of the CPU limit that requests took.

        It is the learned cost times the recent request rate, and at most the used CPU.  While the cost is
        not known, or if the reading has no request counts, it is all used CPU.
        """
        weight = 1 - exp(-reading.interval_us / self._mean_us)
        self._cpu_share += (reading.cpu_share - self._cpu_share) * weight
        if reading.arrived_count < 0:
            return self._cpu_share
        # One unit is a served request; a refused one counts as `refusal_cost` units.
        units = reading.arrived_count - reading.refused_count + self._refusal_cost * reading.refused_count
        self._unit_rate += (units / reading.interval_us - self._unit_rate) * weight
        self._learn(reading, units)
        return (
            min(self._cpu_share, COST_MARGIN * self._cost * self._unit_rate)
            if self._cost
            else self._cpu_share
        )

    def _learn(self, reading: Reading, units: float) -> None:
        """Add a reading to the window; at the end of a window, move the cost towards the window's mean."""
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
