"""How much work a cold server may get from one of many balancers that share nothing, so that together they
do not push it over.

Each keeps to its part of what servers of that size carry, as far as this one can do that by now, with room
for chance; or to what it was seen to do.  Times are microseconds, work is in the caller's own unit.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt

CONFIDENCE_DEVIATIONS = 3.0  # standard deviations of room left in a cold server's budget
PROVEN_FRACTION = 0.8  # of the multiple of what it was seen to do, a cold server may be sent
DECAY_FACTOR = 0.9  # of what cold servers did, a second later
SLOWEST_SERVER_FRACTION = 0.6  # of their pace that each is taken to have: some are slower than the rest
MIN_WINDOW_REQUESTS = 1.0  # requests in a fall's time that all together may try an unproved one with


def lower_confidence_bound(count: float, deviations: float) -> float:
    """The mean of a count that by chance stays below `count`, but for so many deviations."""
    return float((sqrt(count + deviations * deviations / 4) - deviations / 2) ** 2)


class CapacityThroughput:
    """What cold servers do for this balancer, for their size and warmth: work done over the time in hand.

    All warm alike, so one pace stands for all of them, whoever met one of them seldom.  A time proves a rate
    that need not be sent for it.  Open requests count with the time they have taken: else the quick ones,
    whose answers come first, would stand for all.  Waiting counts like work, so the pace errs below.
    """

    __slots__ = ("_answer_count", "_capacity_in_use", "_capacity_time", "_updated_at", "_work_done")

    def __init__(self) -> None:
        self._work_done, self._answer_count = 0.0, 0.0  # work answered, in so many answers
        self._capacity_in_use, self._capacity_time, self._updated_at = (
            0.0,
            0.0,
            0,
        )  # capacity in hand; its time till `_at`, us

    def add_in_use(self, now: int, capacity: float) -> None:
        """A request is in hand at a server of this capacity; with the capacity negative, no more."""
        self._capacity_time += self._capacity_in_use * (now - self._updated_at)
        self._updated_at, self._capacity_in_use = now, self._capacity_in_use + capacity

    def record_completed(self, work: float) -> None:
        """It was done."""
        self._work_done += work
        self._answer_count += 1

    def decay(self) -> None:
        """Once a second: what was is worth less than what is."""
        self._work_done *= DECAY_FACTOR
        self._answer_count *= DECAY_FACTOR
        self._capacity_time *= DECAY_FACTOR

    def lower_bound(self, now: int) -> float:
        """Work a second that any of them can do for a capacity of 1, but for chance; 0 before an answer."""
        capacity_time = self._capacity_time + self._capacity_in_use * (now - self._updated_at)
        if self._answer_count <= 0 or capacity_time <= 0:
            return 0.0
        certain = lower_confidence_bound(self._answer_count, CONFIDENCE_DEVIATIONS / 3) / self._answer_count
        return SLOWEST_SERVER_FRACTION * certain * self._work_done / capacity_time * 1e6


class SlowStartBudget:
    """One server's budget with one balancer, for as long as the server is cold."""

    __slots__ = ("_proven_at", "_proven_work", "_remaining_work", "_updated_at", "rejected_count")

    def __init__(self) -> None:
        self.rejected_count = 0  # times that there was no room
        self._remaining_work, self._updated_at = 0.0, 0  # work that it may still be sent; 0: never asked for
        self._proven_work, self._proven_at = 0.0, 0  # work that it has done for this balancer lately

    def spend(self, work: float) -> None:
        self._remaining_work -= work

    def record_completed(self, now: int, work: float, overload_window_us: int) -> float:
        """It has done this for us: so much at least it can do.  The sum of late, fading with the fall's
        time."""
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
        """What is left for a request of `work`, if that is over 0.

        `carries`: work a second that all balancers together send a server of its size and warmth; `parts`:
        among how many it is divided; `mean`: of one request's work; `multiple`, `fall_us`: it falls if sent
        so many times what it can do for so long; `chance()`: 0..1, each balancer's own, so that their first
        requests fall apart.
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
