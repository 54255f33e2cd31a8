"""One `Heard` out of two sources: what agreed versions say of the whole, and what of it is this balancer's.

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

from ..policy.interface import Heard
from .events import Agreed, Beside

K = TypeVar("K")


@dataclass(slots=True, frozen=True)
class FromVersions:
    """What holds of the settings; of `heard` only `parts` and `wholes` count."""

    heard: Heard


@dataclass(slots=True, frozen=True)
class FromShares:
    """What this balancer shares with others, in parts of `instances`."""

    instances: int
    heard: Heard


Event: TypeAlias = FromVersions | FromShares | Beside
Action: TypeAlias = Heard | Agreed


class Merged:
    """`handle(now, event) -> list of Heard, for the module, and Agreed, for the shares`, in this order."""

    def __init__(self) -> None:
        self._versions, self._shares, self._twins = Heard(), FromShares(0, Heard()), 1
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
        agreed = Agreed(event.heard.parts // self._twins, event.heard.wholes)
        if agreed != self._agreed:
            self._agreed = agreed
            actions.append(agreed)
        return actions

    def _heard(self) -> Heard:
        versions, shares = self._versions, self._shares.heard
        heard = replace(shares, parts=versions.parts, wholes=versions.wholes)
        if versions.parts and self._shares.instances != versions.parts // self._twins:
            even = 1 / versions.parts
            heard = replace(
                heard,
                cold=_at_most(shares.cold, even),
                quotas=_at_most(shares.quotas, even),
                dials=_at_most(shares.dials, even),
                repeats=None if shares.repeats is None else min(shares.repeats, even),
            )
        return heard


def _at_most(shares: Mapping[K, float], most: float) -> dict[K, float]:
    return {key: min(share, most) for key, share in shares.items()}
