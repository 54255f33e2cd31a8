"""What one balancer may send to cold servers, of what all balancers together may.  No I/O.

`roadlb.routing.cold` has the budget of one server; here is what it follows from: what all servers carry, the
work of a request in the mean, and the pace of cold servers.
"""

from __future__ import annotations

from collections.abc import Callable

from ..routing.cold import Pace
from ..routing.shares import Shares
from .interface import Settings
from .server_list import ServerList
from .state import Attempt, Server

CARRIED_S = 0.25  # of what was sent in the last second goes into the mean of what is carried


class SlowStart:
    """One balancer's accounts of the work that it sends."""

    __slots__ = ("_sent", "carried", "mean", "pace")

    def __init__(self) -> None:
        self._sent = 0.0  # work, in this second
        self.carried = 0.0  # work a second that this balancer sends, in the mean of late
        self.mean = 0.0  # work of one request, in the mean of late
        self.pace = Pace()  # of cold servers

    def tick(self) -> None:
        """Once a second."""
        self.pace.fade()
        self.carried += (self._sent - self.carried) * CARRIED_S
        self._sent = 0.0

    def sent(self, s: Server, work: float) -> None:
        """An attempt goes to this server."""
        self._sent += work
        self.mean += (work - self.mean) * (0.02 if self.mean else 1.0)
        if s.share < 1:
            s.cold.spend(work)

    def began(self, now: int, a: Attempt) -> None:
        """The server can begin with it now."""
        if a.server.share < 1:
            a.held = a.server.weight * a.server.share
            self.pace.hold(now, a.held)

    def ended(self, now: int, a: Attempt, work: float, answered: bool) -> None:
        """It is over; `answered`: well."""
        if a.held:
            self.pace.hold(now, -a.held)
            if answered:
                self.pace.did(work)

    def room(
        self,
        now: int,
        s: Server,
        work: float,
        servers: ServerList,
        shares: Shares,
        settings: Settings,
        chance: Callable[[], float],
    ) -> float:
        """What is left of this balancer's part of a cold server's budget, in work."""
        carries = (
            s.share
            * s.weight
            * max(self.carried / servers.weight * shares.alike, servers.cold_part * self.pace.least(now))
        )
        return s.cold.room(
            now,
            carries,
            shares.of_cold(now, s.id),
            self.mean or work,
            settings.fall_multiple,
            settings.fall_us,
            work,
            chance,
        )
