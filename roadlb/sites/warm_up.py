"""The least share of its capacity that a server in slow start can have.  No I/O.

    what is known                                assumed start of the server
    the list has its start, or that it was long  the start in the list
    ago
    its site was lost, and a server answers      that answer: the list shows a start seconds late, and the
                                                 lost server may be another process by now
    the list has a start since the loss          the start in the list
    LISTING_DELAY_US have passed since that      the start in the list: the server has not restarted, only
    answer                                       the network to it was cut

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from .events import Action, State, StateChanged

LISTING_DELAY_US = 4_000_000  # until a started server is in every balancer's list (3.4 s at most in the lab)


class WarmUp:
    """Tracks, for one balancer, how far servers are through slow start."""

    __slots__ = ("_lost_at", "_ramp_us", "_returned_at", "_start_share")

    def __init__(self, cold_from: float, cold_us: int) -> None:
        self.configure(cold_from, cold_us)
        self._lost_at: dict[int, int] = {}  # by site: the time of its last loss
        self._returned_at: dict[int, int] = {}  # and of its first answer after it

    def configure(self, cold_from: float, cold_us: int) -> None:
        """A server starts with the share `cold_from` of its capacity and has all of it after `cold_us`.

        0 means that it has all of it at once.
        """
        self._start_share, self._ramp_us = cold_from, cold_us

    def observe(self, now: int, actions: Iterable[Action]) -> bool:
        """Record losses and returns of sites; return whether servers may now be in slow start again."""
        may_slow_start = False
        for change in actions:
            if not isinstance(change, StateChanged):
                continue
            if change.after is State.LOST:
                self._lost_at[change.site] = now
            elif change.after is State.RETURNING and (
                self._returned_at.get(change.site, -1) < self._lost_at.get(change.site, -1)
            ):
                self._returned_at[change.site], may_slow_start = now, True  # its first answer since the loss
        return may_slow_start

    def capacity_share(self, now: int, site: int, started_at: int) -> float:
        """The share of its capacity, 0..1, that a server of this site has.

        `started_at` is its start by the server list; 0 means long ago.
        """
        returned_at = self._returned_at.get(site)
        if (
            returned_at is not None
            and now - returned_at < LISTING_DELAY_US
            and started_at < self._lost_at[site]
        ):
            started_at = returned_at
        if not started_at or not self._ramp_us:
            return 1.0
        return min(
            1.0, self._start_share + (1 - self._start_share) * max(0.0, (now - started_at) / self._ramp_us)
        )
