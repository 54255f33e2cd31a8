"""What one balancer may send to cold servers, of what all balancers together may.  No I/O.

`roadlb.routing.cold` has the budget of one server; here is what it follows from: what a capacity of 1 was
seen to carry, the work of a request in the mean, and the pace of cold servers.  What a capacity carries is
seen at warm servers: what cold ones are sent follows from it, and would prove itself.  While none is warm it
stays as it was; a balancer that has never known a warm one goes by what it sends to cold ones.
"""

from __future__ import annotations

from collections.abc import Callable

from ..routing.cold import Pace
from ..routing.shares import Shares
from .interface import Settings
from .server_list import ServerList
from .state import Attempt, Server

LATEST_SECOND_WEIGHT = 0.25  # the part that the last second has in the mean of what is carried


class SlowStart:
    """One balancer's accounts of the work that it sends."""

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
        self._sent_work = 0.0  # work, in this second
        self._sent_work_warm = 0.0  # of it, to warm servers
        self._warm_capacity = 0.0  # their capacity, since `_at`
        self._updated_us = 0
        self._warm_capacity_us = 0.0  # capacity times its time, in this second till then
        self._has_seen_warm = False  # has there been any yet?
        self.work_per_s = 0.0  # work a second that this balancer sends, in the mean of late
        self.work_per_capacity_s = 0.0  # the same for a capacity of 1
        self.mean_work = 0.0  # work of one request, in the mean of late
        self.pace = Pace()  # of cold servers

    def set_warm_capacity(self, now: int, warm_capacity: float) -> None:
        """From now on warm servers have this capacity."""
        self._warm_capacity_us += self._warm_capacity * (now - self._updated_us)
        self._updated_us = now
        self._warm_capacity = warm_capacity

    def tick(self, now: int, warm_capacity: float, capacity: float) -> None:
        """Once a second: capacities of warm servers and of all."""
        self.set_warm_capacity(now, warm_capacity)
        self.pace.fade()
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
        """An attempt goes to this server."""
        self._sent_work += work
        self.mean_work += (work - self.mean_work) * (0.02 if self.mean_work else 1.0)
        if server.share < 1:
            server.budget.spend(work)
        else:
            self._sent_work_warm += work

    def record_begun(self, now: int, attempt: Attempt) -> None:
        """The server can begin with it now."""
        if attempt.server.share < 1:
            attempt.slow_start_capacity = attempt.server.weight * attempt.server.share
            self.pace.hold(now, attempt.slow_start_capacity)

    def record_ended(self, now: int, attempt: Attempt, work: float, answered: bool) -> None:
        """It is over; `answered`: well."""
        if attempt.slow_start_capacity:
            self.pace.hold(now, -attempt.slow_start_capacity)
            if answered:
                self.pace.did(work)

    def budget(
        self,
        now: int,
        server: Server,
        work: float,
        server_list: ServerList,
        shares: Shares,
        settings: Settings,
        chance: Callable[[], float],
    ) -> float:
        """What is left of this balancer's part of a cold server's budget, in work."""
        capacity_per_s = (
            server.share
            * server.weight
            * max(self.work_per_capacity_s * shares.alike, server_list.slow_start_part * self.pace.least(now))
        )
        return server.budget.room(
            now,
            capacity_per_s,
            shares.of_cold(now, server.id),
            self.mean_work or work,
            settings.fall_multiple,
            settings.fall_us,
            work,
            chance,
        )
