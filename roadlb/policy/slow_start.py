"""Limits what one balancer sends to servers in slow start to its part of what all may send.  No I/O.

`roadlb.routing.slow_start_budget` has the budget of one server.  This module measures its inputs: the
work a second that a capacity of 1 serves, the mean work of a request, and the throughput of servers in slow
start.  The work per capacity is measured at warm servers only: it determines how much work servers in slow
start are sent, so a measurement there would only confirm itself.  While no server is warm the figure stays as
it was; a balancer that has never seen a warm server uses what it sends to servers in slow start.
"""

from __future__ import annotations

from collections.abc import Callable

from ..routing.slow_start_budget import CapacityThroughput
from ..routing.shares import BudgetShares
from .interface import Settings
from .server_list import ServerList
from .state import Attempt, Server

LATEST_SECOND_WEIGHT = 0.25  # weight of the last second in the mean of the work sent


class SlowStart:
    """Accounts for the work that one balancer sends."""

    __slots__ = (
        "_has_seen_warm",
        "_sent_work",
        "_sent_work_warm",
        "_updated_us",
        "_warm_capacity",
        "_warm_capacity_us",
        "mean_work",
        "pace",
        "work_per_capacity_s",
        "work_per_s",
    )

    def __init__(self) -> None:
        self._sent_work = 0.0  # work sent in this second
        self._sent_work_warm = 0.0  # of it, to warm servers
        self._warm_capacity = 0.0  # of warm servers, since `_updated_us`
        self._updated_us = 0
        self._warm_capacity_us = 0.0  # integral of it over this second, until `_updated_us`
        self._has_seen_warm = False  # has any server been warm yet?
        self.work_per_s = 0.0  # work a second that this balancer sends, recent mean
        self.work_per_capacity_s = 0.0  # the same, per capacity of warm servers
        self.mean_work = 0.0  # work of one request, recent mean
        self.pace = CapacityThroughput()  # throughput of servers in slow start

    def set_warm_capacity(self, now: int, warm_capacity: float) -> None:
        """Set the capacity that warm servers have from now on."""
        self._warm_capacity_us += self._warm_capacity * (now - self._updated_us)
        self._updated_us = now
        self._warm_capacity = warm_capacity

    def tick(self, now: int, warm_capacity: float, capacity: float) -> None:
        """Update the means, once a second; the capacities are those of warm servers and of all."""
        self.set_warm_capacity(now, warm_capacity)
        self.pace.decay()
        self.work_per_s += (self._sent_work - self.work_per_s) * LATEST_SECOND_WEIGHT
        if self._warm_capacity_us > 0:
            self._has_seen_warm = True
            self.work_per_capacity_s += (
                self._sent_work_warm / self._warm_capacity_us * 1e6 - self.work_per_capacity_s
            ) * LATEST_SECOND_WEIGHT
        elif not self._has_seen_warm:
            self.work_per_capacity_s = self.work_per_s / capacity
        self._sent_work = 0.0
        self._sent_work_warm = 0.0
        self._warm_capacity_us = 0.0

    def record_sent(self, server: Server, work: float) -> None:
        """Account for an attempt that goes to this server."""
        self._sent_work += work
        self.mean_work += (work - self.mean_work) * (0.02 if self.mean_work else 1.0)
        if server.share < 1:
            server.budget.spend(work)
        else:
            self._sent_work_warm += work

    def record_begun(self, now: int, attempt: Attempt) -> None:
        """Account for an attempt that its server can begin with now."""
        if attempt.server.share < 1:
            attempt.slow_start_capacity = attempt.server.weight * attempt.server.share
            self.pace.add_in_use(now, attempt.slow_start_capacity)

    def record_ended(self, now: int, attempt: Attempt, work: float, answered: bool) -> None:
        """Account for an attempt that has ended; `answered`: with a good answer."""
        if attempt.slow_start_capacity:
            self.pace.add_in_use(now, -attempt.slow_start_capacity)
            if answered:
                self.pace.record_completed(work)

    def budget(
        self,
        now: int,
        server: Server,
        work: float,
        server_list: ServerList,
        shares: BudgetShares,
        settings: Settings,
        chance: Callable[[], float],
    ) -> float:
        """The work that this balancer may still send to a server in slow start.

        `chance()`: a random number 0..1 of this balancer's own.
        """
        capacity_per_s = (
            server.share
            * server.weight
            * max(
                self.work_per_capacity_s * shares.balancer_count,
                server_list.slow_start_part * self.pace.lower_bound(now),
            )
        )
        return server.budget.remaining(
            now,
            capacity_per_s,
            shares.slow_start_divisor(now, server.id),
            self.mean_work or work,
            settings.fall_multiple,
            settings.fall_us,
            work,
            chance,
        )
