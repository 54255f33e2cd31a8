"""The budget of work that one balancer may send to a server in slow start.

Many balancers that share nothing send to the same server, and together they must not overload it.  Each one
keeps to its part of what servers of that size carry, as far as it can estimate that by now, with a margin for
random variation; or to what it has seen the server do.  Times are in microseconds, work is in the caller's
own unit.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt

CONFIDENCE_DEVIATIONS = 3.0  # standard deviations of margin left in the budget of a server in slow start
PROVEN_FRACTION = 0.8  # of what a server has done, times the overload multiple, may be sent to it
DECAY_FACTOR = 0.9  # a second later, what servers in slow start have done counts this much
SLOWEST_SERVER_FRACTION = 0.6  # of the common throughput, assumed of each server: some are slower than others
MIN_WINDOW_REQUESTS = 1.0  # in an overload window, from all balancers to a server that has proven nothing


def lower_confidence_bound(count: float, deviations: float) -> float:
    """Return the mean at which a random count stays below `count`, with this many standard deviations of
    margin: mean + deviations * sqrt(mean) = count."""
    return float((sqrt(count + deviations * deviations / 4) - deviations / 2) ** 2)


class CapacityThroughput:
    """What servers in slow start do for this balancer: work done per unit of capacity and time in use.

    They all warm up alike, so one estimate stands for all of them, also for one that this balancer has seldom
    sent to.  The time that an answer took proves a rate, though no requests were sent at that rate.  Requests
    in flight count with the time that they have taken so far: otherwise the quick ones, whose answers come
    first, would stand for all.  Time in a queue counts like work, so the estimate errs on the low side.
    """

    __slots__ = ("_answer_count", "_capacity_in_use", "_capacity_time", "_updated_at", "_work_done")

    def __init__(self) -> None:
        self._work_done, self._answer_count = 0.0, 0.0
        # Capacity with a request in flight; its product with time until `_updated_at`, in microseconds.
        self._capacity_in_use, self._capacity_time, self._updated_at = 0.0, 0.0, 0

    def add_in_use(self, now: int, capacity: float) -> None:
        """Record that a request is in flight at a server of this capacity; if negative, that it has ended."""
        self._capacity_time += self._capacity_in_use * (now - self._updated_at)
        self._updated_at, self._capacity_in_use = now, self._capacity_in_use + capacity

    def record_completed(self, work: float) -> None:
        """Record a request that was answered well."""
        self._work_done += work
        self._answer_count += 1

    def decay(self) -> None:
        """Reduce the weight of the past; called once a second."""
        self._work_done *= DECAY_FACTOR
        self._answer_count *= DECAY_FACTOR
        self._capacity_time *= DECAY_FACTOR

    def lower_bound(self, now: int) -> float:
        """Return the work a second that any of the servers can do per unit of capacity, with a margin for
        random variation; 0 before the first answer."""
        capacity_time = self._capacity_time + self._capacity_in_use * (now - self._updated_at)
        if self._answer_count <= 0 or capacity_time <= 0:
            return 0.0
        certain = lower_confidence_bound(self._answer_count, CONFIDENCE_DEVIATIONS / 3) / self._answer_count
        return SLOWEST_SERVER_FRACTION * certain * self._work_done / capacity_time * 1e6


class SlowStartBudget:
    """One balancer's budget for one server, for as long as the server is in slow start."""

    __slots__ = ("_proven_at", "_proven_work", "_remaining_work", "_updated_at", "rejected_count")

    def __init__(self) -> None:
        self.rejected_count = 0  # how often the budget was used up
        self._remaining_work, self._updated_at = 0.0, 0  # work that may still be sent; 0: never asked for
        self._proven_work, self._proven_at = 0.0, 0  # work recently done for this balancer

    def spend(self, work: float) -> None:
        self._remaining_work -= work

    def record_completed(self, now: int, work: float, overload_window_us: int) -> float:
        """Record work that the server has completed for this balancer; 0 only updates the sum.

        Return the sum of recently completed work, which decays over the time of the overload window.  The
        server is assumed to be able to do as much again.
        """
        self._proven_work = self._proven_work / (1 + (now - self._proven_at) / overload_window_us) + work
        self._proven_at = now
        return self._proven_work

    def remaining(
        self,
        now: int,
        work_per_s: float,
        divisor: float,
        mean_work: float,
        overload_multiple: float,
        overload_window_us: int,
        work: float,
        draw: Callable[[], float],
    ) -> float:
        """Refill the budget until now; return what a request of `work` would leave, and count it if rejected.

        The request may be sent if the result is over 0; `spend` then records it.

        `work_per_s`: what all balancers together send a server of its size and progress in slow start;
        `divisor`: by how much the budget is divided among them; `mean_work`: of one request;
        `overload_multiple`, `overload_window_us`: the server is overloaded if it is sent this multiple of
        what it can do for this long; `draw()`: a random number 0..1, each balancer's own, so that the first
        requests of different balancers do not arrive together.
        """
        window_requests = overload_multiple * work_per_s * overload_window_us / 1e6 / mean_work
        proven_requests = (
            overload_multiple
            * PROVEN_FRACTION
            * lower_confidence_bound(
                self.record_completed(now, 0, overload_window_us) / mean_work, CONFIDENCE_DEVIATIONS / 3
            )
        )
        work_per_us = (
            max(
                max(lower_confidence_bound(window_requests, CONFIDENCE_DEVIATIONS), MIN_WINDOW_REQUESTS)
                / divisor,
                proven_requests,
            )
            * mean_work
            / overload_window_us
        )
        if not self._updated_at:
            self._remaining_work, self._updated_at = draw() * mean_work, now
        self._remaining_work = min(
            mean_work + work_per_us * overload_window_us / 4,
            self._remaining_work + work_per_us * (now - self._updated_at),
        )
        self._updated_at = now
        remaining = self._remaining_work - min(work, mean_work) * 0.999
        self.rejected_count += remaining <= 0
        return remaining
