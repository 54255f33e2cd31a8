"""What one balancer may send to cold servers, of what all balancers together may.  No I/O.

`roadlb.routing.slow_start_budget` has the budget of one server; here is what it follows from: what a
capacity of 1 was seen to carry, the work of a request in the mean, and the pace of cold servers.  What a
capacity carries is seen at warm servers: what cold ones are sent follows from it, and would prove itself.
While none is warm it stays as it was; a balancer that has never known a warm one goes by what it sends to
cold ones.
"""

from __future__ import annotations

from collections.abc import Callable

from ..routing.slow_start_budget import CapacityThroughput
from ..routing.shares import BudgetShares
from .interface import Settings
from .server_list import ServerList
from .state import Attempt, Server

LATEST = 0.25  # the part that the last second has in the mean of what is carried


class SlowStart:
    """One balancer's accounts of the work that it sends."""

    __slots__ = (
        "_at",
        "_known_warm",
        "_sent",
        "_sent_warm",
        "_warm",
        "_warm_us",
        "carried",
        "carries",
        "mean",
        "pace",
    )

    def __init__(self) -> None:
        self._sent = 0.0  # work, in this second
        self._sent_warm = 0.0  # of it, to warm servers
        self._warm = 0.0  # their capacity, since `_at`
        self._at = 0
        self._warm_us = 0.0  # capacity times its time, in this second till then
        self._known_warm = False  # has there been any yet?
        self.carried = 0.0  # work a second that this balancer sends, in the mean of late
        self.carries = 0.0  # the same for a capacity of 1
        self.mean = 0.0  # work of one request, in the mean of late
        self.pace = CapacityThroughput()  # of cold servers

    def has(self, now: int, warm: float) -> None:
        """From now on warm servers have this capacity."""
        self._warm_us += self._warm * (now - self._at)
        self._at = now
        self._warm = warm

    def tick(self, now: int, warm: float, capacity: float) -> None:
        """Once a second: capacities of warm servers and of all."""
        self.has(now, warm)
        self.pace.decay()
        self.carried += (self._sent - self.carried) * LATEST
        if self._warm_us > 0:
            self._known_warm = True
            self.carries += (self._sent_warm / self._warm_us * 1e6 - self.carries) * LATEST
        elif not self._known_warm:
            self.carries = self.carried / capacity
        self._sent = 0.0
        self._sent_warm = 0.0
        self._warm_us = 0.0

    def sent(self, s: Server, work: float) -> None:
        """An attempt goes to this server."""
        self._sent += work
        self.mean += (work - self.mean) * (0.02 if self.mean else 1.0)
        if s.share < 1:
            s.cold.spend(work)
        else:
            self._sent_warm += work

    def began(self, now: int, a: Attempt) -> None:
        """The server can begin with it now."""
        if a.server.share < 1:
            a.held = a.server.weight * a.server.share
            self.pace.add_in_use(now, a.held)

    def ended(self, now: int, a: Attempt, work: float, answered: bool) -> None:
        """It is over; `answered`: well."""
        if a.held:
            self.pace.add_in_use(now, -a.held)
            if answered:
                self.pace.record_completed(work)

    def room(
        self,
        now: int,
        s: Server,
        work: float,
        servers: ServerList,
        shares: BudgetShares,
        settings: Settings,
        chance: Callable[[], float],
    ) -> float:
        """What is left of this balancer's part of a cold server's budget, in work."""
        carries = (
            s.share
            * s.weight
            * max(self.carries * shares.balancer_count, servers.cold_part * self.pace.lower_bound(now))
        )
        return s.cold.remaining(
            now,
            carries,
            shares.slow_start_divisor(now, s.id),
            self.mean or work,
            settings.fall_multiple,
            settings.fall_us,
            work,
            chance,
        )
