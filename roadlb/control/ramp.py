"""How much of a cluster's traffic a cold node may have, so that all proxies together never push it over.

Two bounds, of which the smaller counts:

- in proportion: its part of the capacity that the whole cluster has at the moment, and no more;
- the budget: within any window of `fall_us` it may be sent `fall_multiple` times what it can do.  What it can
  do is not told.  Warm peers are seen to carry so many requests for their weight, and it is taken to do
  CARRIED of that, times its weight and the least share of its capacity that it can have by its age.  Of the
  budget only so much is planned that chance seldom brings more: arrivals scatter, and work is lumpy.

A part is of all the traffic, whichever proxy it passes: proxies that have the same parts need not know of
each other, and how they divide the clients among them does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt


@dataclass(slots=True, frozen=True)
class RampLimits:
    """Figures of the rule (see `roadlb.policy.interface.Settings`) and how much room is left below it."""

    on: bool = True  # False: cold nodes get full weight at once, to see that tests can fail
    cold_from: float = 0.12  # share of its capacity that a node starts with, at the least
    cold_us: int = 23_000_000  # and the time after which it is warm, at the latest
    fall_multiple: float = 3.0
    fall_us: int = 1_000_000
    carried: float = 0.7  # caches save warm nodes 25 to 70% of the work that a cold one has
    chance: float = 3.0  # standard deviations of room below the budget; at 2 a node falls in overload
    lumps: float = 3.0  # E[W^2] / E[W]^2 of the requests' work W: 3.1 for 70% reads, 30% orders
    unreported: float = 0.25  # of the proportional part, while no load report has come

    def __post_init__(self) -> None:
        for key, ok in (
            ("cold_from", 0 < self.cold_from <= 1),
            ("cold_us", self.cold_us >= 0),
            ("fall_multiple", self.fall_multiple > 0),
            ("fall_us", self.fall_us > 0),
            ("carried", 0 < self.carried <= 1),
            ("chance", self.chance >= 0),
            ("lumps", self.lumps >= 1),
            ("unreported", 0 < self.unreported <= 1),
        ):
            if not ok:
                raise ValueError(f"{key}: {getattr(self, key)!r} makes no sense: see RampLimits")

    def share(self, age_us: int) -> float:
        """The least share of its capacity that a node can have at this age."""
        if not self.on or age_us >= self.cold_us:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(0, age_us) / self.cold_us)

    def budget(self, share: float, weight: float, carried_per_s: float) -> float:
        """Requests a second that a node may be planned for; `carried_per_s`: by warm peers, for weight 1."""
        can = share * weight * carried_per_s * self.carried
        counts = self.fall_multiple * can * self.fall_us / 1e6 / self.lumps
        return sure(counts, self.chance) * self.lumps * 1e6 / self.fall_us


def sure(count: float, deviations: float) -> float:
    """The mean of a count that by chance stays below `count`, but for so many deviations."""
    return float((sqrt(count + deviations * deviations / 4) - deviations / 2) ** 2)
