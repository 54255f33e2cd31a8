"""What the loss of sites does to a deployment: arithmetic on capacities, demand and the order of refusal.

It knows no queues and no moment: each figure is what is left when all has settled.  Work is in seconds of a
standard core, rates are per second.  What caches save is told, or foretold by `hit_share`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import exp

from .state_machine import RETURN_STEPS, RETURN_STEP_US
from .refusal import RefusalOrder

USABLE_SHARE = 0.92  # of a node's capacity carries work in time; beyond it, queues grow
LIMIT_SHARPNESS = 10  # how sharply service bends at the limit: higher is sharper
MIN_BORNE_WORTH = 0.99  # of the worth; less than all, as chance refuses a little near the limit
US_PER_S = 1_000_000
MAX_RETURN_S = 600.0  # a return that takes longer is told as none
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


def hit_share(key_shares: Sequence[float], per_s: float, cache_capacity: float, retention_s: float) -> float:
    """Of requests with these keys, the share that meet a node which has the key cached.

    `parts`: of the requests, by key; `room`: keys that all nodes hold together; a node forgets a key that was
    not served for `remember_s`.  After Che, Tung and Wang (2002): a key stays for one time, the same for all
    keys, in which the caches fill; each key is asked for at `HOMES` nodes alike.
    """

    def cached_keys(residence_s: float) -> float:
        return SERVERS_PER_KEY * sum(
            1 - exp(-per_s * key_share / SERVERS_PER_KEY * residence_s) for key_share in key_shares
        )

    lower_s, residence_s = 0.0, retention_s
    while cached_keys(residence_s) > cache_capacity and residence_s - lower_s > 1e-6:
        middle_s = (lower_s + residence_s) / 2
        lower_s, residence_s = (
            (lower_s, middle_s) if cached_keys(middle_s) > cache_capacity else (middle_s, residence_s)
        )
    return sum(
        key_share * (1 - exp(-per_s * key_share / SERVERS_PER_KEY * residence_s)) for key_share in key_shares
    )


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
        return self.worth >= MIN_BORNE_WORTH

    def refused_worth(self, by: Callable[[Demand], str]) -> dict[str, tuple[float, float]]:
        """(worth asked for, worth refused) a second, of each class, customer or other word of a demand."""
        totals: dict[str, tuple[float, float]] = {}
        for demand, share in self.kept.items():
            offered, refused = totals.get(by(demand), (0.0, 0.0))
            worth = demand.per_s * demand.worth
            totals[by(demand)] = offered + worth, refused + worth * (1 - share)
        return totals


def served_work(capacity: float, work: float) -> float:
    """What this capacity does of so much work.  Demand comes by chance, so that near the limit a part is
    refused in some seconds while others have room.  Far below it does all, far above `USABLE` of itself."""
    usable = capacity * USABLE_SHARE
    if not usable or not work:
        return 0.0
    load = work / usable
    return float(min(usable, work) / (1 + min(load, 1 / load) ** LIMIT_SHARPNESS) ** (1 / LIMIT_SHARPNESS))


def served_shares(capacity: float, demands: Sequence[Demand]) -> dict[Demand, float]:
    """The share of each demand that this capacity carries: what is refused last is served first; within one
    rank all are served alike."""
    remaining, kept = served_work(capacity, sum(d.per_s * d.work_s for d in demands)), dict[Demand, float]()
    for rank in sorted({d.rank for d in demands}, reverse=True):
        same_rank = [d for d in demands if d.rank == rank]
        work = sum(d.per_s * d.work_s for d in same_rank)
        share = min(1.0, remaining / work) if work else 1.0
        remaining = max(0.0, remaining - work)
        kept |= dict.fromkeys(same_rank, share)
    return kept


def worth_share(kept: dict[Demand, float]) -> float:
    """The share of all worth asked for that is served."""
    offered = sum(d.per_s * d.worth for d in kept)
    return sum(d.per_s * d.worth * share for d, share in kept.items()) / offered if offered else 1.0


def forecast_loss(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], discovery_delay_s: float
) -> LossForecast:
    """`told_s`: from a node's start until balancers are told of it.  ValueError for a site there is not."""
    unknown = set(lost) - {site.name for site in sites}
    if unknown:
        raise ValueError(f"there is no site {', '.join(sorted(unknown))}")
    remaining_sites = [site for site in sites if site.name not in lost]
    capacity = sum(site.capacity for site in remaining_sites)
    work = sum(d.per_s * d.work_s for d in demands)
    kept = served_shares(capacity, demands)
    load = {
        site.name: work / (capacity * USABLE_SHARE) if capacity else float("inf") for site in remaining_sites
    }
    usual = worth_share(served_shares(sum(site.capacity for site in sites), demands))
    lost_sites = [site for site in sites if site.name in lost]

    def time_to_reach(share: float) -> float | None:
        for tenth in range(int(MAX_RETURN_S * 10)):
            at_s = tenth / 10
            if (
                worth_share(
                    served_shares(capacity + returned_capacity(lost_sites, at_s, discovery_delay_s), demands)
                )
                >= share * usual
            ):
                return at_s
        return None

    return LossForecast(tuple(lost), load, kept, worth_share(kept), time_to_reach(0.95), time_to_reach(0.98))


def returned_capacity(lost_sites: Sequence[SiteCapacity], at_s: float, discovery_delay_s: float) -> float:
    """The capacity that returning sites give, so long after their nodes started."""
    if at_s < discovery_delay_s:
        return 0.0
    step = int((at_s - discovery_delay_s) * US_PER_S / RETURN_STEP_US)
    allowed = RETURN_STEPS[step] if step < len(RETURN_STEPS) else 1.0
    total = 0.0
    for site in lost_sites:
        warm = min(1.0, at_s / site.cold_s) if site.cold_s else 1.0
        total += site.capacity * min(allowed, site.cold_share + (1 - site.cold_share) * warm)
    return total


def forecast_losses(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], discovery_delay_s: float
) -> list[LossForecast]:
    """None, each site and each pair lost, as long as one remains."""
    names = [site.name for site in sites]
    lost_sets: list[tuple[str, ...]] = [()]
    for count in (1, 2):
        if count < len(names):
            lost_sets += combinations(names, count)
    return [forecast_loss(sites, demands, lost, discovery_delay_s) for lost in lost_sets]


def worth_curve(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], factors: Sequence[float]
) -> list[float]:
    """Worth served a second when so many times the demand is asked."""
    capacity = sum(site.capacity for site in sites if site.name not in lost)
    totals = []
    for factor in factors:
        scaled_demands = [
            Demand(d.name, d.tenant, d.over_share, d.per_s * factor, d.work_s, d.worth, d.rank)
            for d in demands
        ]
        totals.append(
            sum(d.per_s * d.worth * share for d, share in served_shares(capacity, scaled_demands).items())
        )
    return totals
