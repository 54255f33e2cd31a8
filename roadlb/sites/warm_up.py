"""The least part of its capacity that a server can have by now.  No I/O.

    what is known                                a server counts as started
    the list says when, or that it was long ago  then
    its site was lost, and a server answers      at that answer: the list tells of starts seconds late, and
                                                 what was lost may be another process by now
    the list has a start since the loss          then
    LISTED_US have passed since that answer      as the list has it: it has nothing to tell, and only the way
                                                 there had been cut

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from .events import Action, State, StateChanged

LISTING_DELAY_US = 4_000_000  # a started server is listed for every balancer by then (the lab: 3.4 s at most)


class WarmUp:
    """Of all servers, as one balancer knows of them."""

    __slots__ = ("_lost_at", "_ramp_us", "_returned_at", "_start_share")

    def __init__(self, cold_from: float, cold_us: int) -> None:
        self.configure(cold_from, cold_us)
        self._lost_at: dict[int, int] = {}  # by site: since when it was lost, the last time
        self._returned_at: dict[int, int] = {}  # and when it answered again

    def configure(self, cold_from: float, cold_us: int) -> None:
        """Of its capacity a server has `cold_from` when it starts, and all after `cold_us`; 0: at once."""
        self._start_share, self._ramp_us = cold_from, cold_us

    def observe(self, now: int, actions: Iterable[Action]) -> bool:
        """What is decided of sites.  May any servers be colder by it than they were?"""
        is_any_colder = False
        for change in actions:
            if not isinstance(change, StateChanged):
                continue
            if change.after is State.LOST:
                self._lost_at[change.site] = now
            elif change.after is State.RETURNING and (
                self._returned_at.get(change.site, -1) < self._lost_at.get(change.site, -1)
            ):
                self._returned_at[change.site], is_any_colder = now, True  # the first time since it was lost
        return is_any_colder

    def capacity_share(self, now: int, site: int, started_at: int) -> float:
        """Of a server of this site that by the list has started at `born`; 0: long ago."""
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
