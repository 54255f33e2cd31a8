"""One `SharedStateUpdate` of two sources: what agreed versions say of the whole, and what is this balancer's.

    figure                             from       when its lease is over
    `parts`, `wholes`                  versions   the source tells its floor's (`agreement.Follower.used`)
    `cold`, `quotas`, `repeats`,       shares     the module counts no more than `floor`, from `until` on
    `dials`
    `avoid`, `pressure`                shares     each server has its time; the latest word holds

The last word of each source holds until its next, whatever the other says meanwhile; the module multiplies
the two.  A share is of a whole that so many balancers divide.  Where versions say another number, the shares
are told (`Agreed`) after the module; until they come in parts of that number no share counts for more than
an even one, so neither a number that grew nor one that shrank adds to the sum.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeAlias, TypeVar

from ..policy.interface import SharedStateUpdate
from .events import Agreed, Beside

K = TypeVar("K")


@dataclass(slots=True, frozen=True)
class FromVersions:
    """What holds of the settings; of `heard` only `parts` and `wholes` count."""

    heard: SharedStateUpdate


@dataclass(slots=True, frozen=True)
class FromShares:
    """What this balancer shares with others, in parts of `instances`."""

    instances: int
    heard: SharedStateUpdate


Event: TypeAlias = FromVersions | FromShares | Beside
Action: TypeAlias = SharedStateUpdate | Agreed


class Merged:
    """`handle(now, event) -> list of Heard, for the module, and Agreed, for the shares`, in this order."""

    def __init__(self) -> None:
        self._versions, self._shares, self._twins = SharedStateUpdate(), FromShares(0, SharedStateUpdate()), 1
        self._agreed = Agreed(0, {})  # as the shares were told last

    def handle(self, now: int, event: Event) -> list[Action]:
        if isinstance(event, Beside):
            self._twins = max(1, event.count)  # both sources say what comes of it
            return []
        if isinstance(event, FromShares):
            self._shares = event
            return [self._heard()]
        self._versions = event.heard
        actions: list[Action] = [self._heard()]
        agreed = Agreed(event.heard.process_count // self._twins, event.heard.quota_factors)
        if agreed != self._agreed:
            self._agreed = agreed
            actions.append(agreed)
        return actions

    def _heard(self) -> SharedStateUpdate:
        versions, shares = self._versions, self._shares.heard
        heard = replace(shares, process_count=versions.process_count, quota_factors=versions.quota_factors)
        if versions.process_count and self._shares.instances != versions.process_count // self._twins:
            even = 1 / versions.process_count
            heard = replace(
                heard,
                slow_start_shares=_at_most(shares.slow_start_shares, even),
                quota_shares=_at_most(shares.quota_shares, even),
                dial_shares=_at_most(shares.dial_shares, even),
                retry_share=None if shares.retry_share is None else min(shares.retry_share, even),
            )
        return heard


def _at_most(shares: Mapping[K, float], most: float) -> dict[K, float]:
    return {key: min(share, most) for key, share in shares.items()}
