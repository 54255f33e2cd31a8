"""What the loss of sites does to a deployment: arithmetic on capacities, demand and the order of refusal.

It knows no queues and no moment: each figure is what is left when all has settled.  Work is in seconds of a
standard core, rates are per second.  What caches save is told, or foretold by `hit_share`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import exp

from .state_machine import RETURN_STEP_US, RETURN_STEPS
from .refusal import RefusalOrder

USABLE_SHARE = 0.92  # of a node's capacity carries work in time; beyond it, queues grow
KNEE = 10  # how sharply service bends at the limit: higher is sharper
BORNE = 0.99  # of the worth; less than all, as chance refuses a little near the limit
SECOND = 1_000_000
LONGEST_S = 600.0  # a return that takes longer is told as none
SERVERS_PER_KEY = 8.0  # nodes among which requests for one key spread: a balancer looks at its first 8


@dataclass(slots=True, frozen=True)
class SiteCapacity:
    """One site: its warm capacity, in standard cores, and how its nodes start."""

    name: str
    server_count: int
    capacity: float
    cold_share: float = 1.0
    cold_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Demand:
    """Requests of one class by one customer, within its share or beyond; `rank`: the lowest is refused
    first."""

    name: str
    tenant: str
    over_share: bool
    per_s: float
    work_s: float
    worth: float
    rank: int


def hit_share(parts: Sequence[float], per_s: float, room: float, remember_s: float) -> float:
    """Of requests with these keys, the share that meet a node which has the key cached.

    `parts`: of the requests, by key; `room`: keys that all nodes hold together; a node forgets a key that was
    not served for `remember_s`.  After Che, Tung and Wang (2002): a key stays for one time, the same for all
    keys, in which the caches fill; each key is asked for at `HOMES` nodes alike.
    """

    def held(stay_s: float) -> float:
        return SERVERS_PER_KEY * sum(1 - exp(-per_s * part / SERVERS_PER_KEY * stay_s) for part in parts)

    low, stay_s = 0.0, remember_s
    while held(stay_s) > room and stay_s - low > 1e-6:
        middle = (low + stay_s) / 2
        low, stay_s = (low, middle) if held(middle) > room else (middle, stay_s)
    return sum(part * (1 - exp(-per_s * part / SERVERS_PER_KEY * stay_s)) for part in parts)


def first_try_rank(
    refusals: RefusalOrder, class_index: int, tenant: int, over_share: bool, worth: float
) -> int:
    """The rank of a first try with a key that is not cached."""
    return refusals.rank(worth, class_index, tenant, over_share, False, False)


@dataclass(slots=True, frozen=True)
class LossForecast:
    """When these sites are lost.  `load`: work asked of what remains, over what it can carry, by site;
    `kept`: of each demand, the share that is served; `worth`: the share of all worth that is served;
    `back_95_s` and `back_98_s`: from the nodes' start until so much of the usual worth is served again,
    None: not in LONGEST_S."""

    lost: tuple[str, ...]
    load: dict[str, float]
    kept: dict[Demand, float]
    worth: float
    back_95_s: float | None
    back_98_s: float | None

    @property
    def borne(self) -> bool:
        """Is next to nothing refused?"""
        return self.worth >= BORNE

    def refused_worth(self, by: Callable[[Demand], str]) -> dict[str, tuple[float, float]]:
        """(worth asked for, worth refused) a second, of each class, customer or other word of a demand."""
        found: dict[str, tuple[float, float]] = {}
        for demand, share in self.kept.items():
            asked, refused = found.get(by(demand), (0.0, 0.0))
            worth = demand.per_s * demand.worth
            found[by(demand)] = asked + worth, refused + worth * (1 - share)
        return found


def carries(capacity: float, work: float) -> float:
    """What this capacity does of so much work.  Demand comes by chance, so that near the limit a part is
    refused in some seconds while others have room.  Far below it does all, far above `USABLE` of itself."""
    usable = capacity * USABLE_SHARE
    if not usable or not work:
        return 0.0
    load = work / usable
    return float(min(usable, work) / (1 + min(load, 1 / load) ** KNEE) ** (1 / KNEE))


def keep(capacity: float, demands: Sequence[Demand]) -> dict[Demand, float]:
    """The share of each demand that this capacity carries: what is refused last is served first; within one
    rank all are served alike."""
    left, kept = carries(capacity, sum(d.per_s * d.work_s for d in demands)), dict[Demand, float]()
    for rank in sorted({d.rank for d in demands}, reverse=True):
        equals = [d for d in demands if d.rank == rank]
        work = sum(d.per_s * d.work_s for d in equals)
        share = min(1.0, left / work) if work else 1.0
        left = max(0.0, left - work)
        kept |= dict.fromkeys(equals, share)
    return kept


def worth_share(kept: dict[Demand, float]) -> float:
    """The share of all worth asked for that is served."""
    asked = sum(d.per_s * d.worth for d in kept)
    return sum(d.per_s * d.worth * share for d, share in kept.items()) / asked if asked else 1.0


def forecast_loss(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], discovery_delay_s: float
) -> LossForecast:
    """`told_s`: from a node's start until balancers are told of it.  ValueError for a site there is not."""
    unknown = set(lost) - {site.name for site in sites}
    if unknown:
        raise ValueError(f"there is no site {', '.join(sorted(unknown))}")
    remain = [site for site in sites if site.name not in lost]
    capacity = sum(site.capacity for site in remain)
    work = sum(d.per_s * d.work_s for d in demands)
    kept = keep(capacity, demands)
    load = {site.name: work / (capacity * USABLE_SHARE) if capacity else float("inf") for site in remain}
    usual = worth_share(keep(sum(site.capacity for site in sites), demands))
    gone = [site for site in sites if site.name in lost]

    def back(share: float) -> float | None:
        for tenth in range(int(LONGEST_S * 10)):
            at = tenth / 10
            if worth_share(keep(capacity + returned(gone, at, discovery_delay_s), demands)) >= share * usual:
                return at
        return None

    return LossForecast(tuple(lost), load, kept, worth_share(kept), back(0.95), back(0.98))


def returned(gone: Sequence[SiteCapacity], at_s: float, discovery_delay_s: float) -> float:
    """The capacity that returning sites give, so long after their nodes started."""
    if at_s < discovery_delay_s:
        return 0.0
    step = int((at_s - discovery_delay_s) * SECOND / RETURN_STEP_US)
    allowed = RETURN_STEPS[step] if step < len(RETURN_STEPS) else 1.0
    total = 0.0
    for site in gone:
        warm = min(1.0, at_s / site.cold_s) if site.cold_s else 1.0
        total += site.capacity * min(allowed, site.cold_share + (1 - site.cold_share) * warm)
    return total


def forecast_losses(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], discovery_delay_s: float
) -> list[LossForecast]:
    """None, each site and each pair lost, as long as one remains."""
    names = [site.name for site in sites]
    picks: list[tuple[str, ...]] = [()]
    for count in (1, 2):
        if count < len(names):
            picks += combinations(names, count)
    return [forecast_loss(sites, demands, lost, discovery_delay_s) for lost in picks]


def worth_curve(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], times: Sequence[float]
) -> list[float]:
    """Worth served a second when so many times the demand is asked."""
    capacity = sum(site.capacity for site in sites if site.name not in lost)
    found = []
    for factor in times:
        more = [
            Demand(d.name, d.tenant, d.over_share, d.per_s * factor, d.work_s, d.worth, d.rank)
            for d in demands
        ]
        found.append(sum(d.per_s * d.worth * share for d, share in keep(capacity, more).items()))
    return found
