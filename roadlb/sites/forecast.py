"""Forecasts what the loss of sites does to a deployment, from capacities, demand and the order of refusal.

Queues and transients are not modelled: each figure is for the steady state.  Work is in seconds of a standard
core, rates are per second.  What caches save is given by the caller, or estimated by `hit_share`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import exp

from .state_machine import RETURN_STEPS, RETURN_STEP_US
from .refusal import RefusalOrder

USABLE_SHARE = 0.92  # of a server's capacity, up to which work is done in time; beyond it queues grow
LIMIT_SHARPNESS = 10  # of the bend where demand reaches capacity: higher is sharper
MIN_BORNE_WORTH = 0.99  # share of the worth; below 1, as random demand near the limit has a little refused
US_PER_S = 1_000_000
MAX_RETURN_S = 600.0  # a longer return is reported as none
SERVERS_PER_KEY = 8.0  # servers among which requests for one key spread: a balancer considers its first 8


@dataclass(slots=True, frozen=True)
class SiteCapacity:
    """One site: its capacity after slow start, in standard cores, and the slow start of its servers."""

    name: str
    server_count: int
    capacity: float
    cold_share: float = 1.0
    cold_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Demand:
    """Requests of one class by one tenant, within its quota or beyond; the lowest `rank` is refused first."""

    name: str
    tenant: str
    over_share: bool
    per_s: float
    work_s: float
    worth: float
    rank: int


def hit_share(key_shares: Sequence[float], per_s: float, cache_capacity: float, retention_s: float) -> float:
    """The share of the requests that reach a server which has their key cached.

    `key_shares`: of the requests, by key; `cache_capacity`: keys that all servers hold together; a server
    drops a key that was not requested for `retention_s`.  After Che, Tung and Wang (2002): every key stays
    cached for the same time, in which the caches fill; the requests for a key spread evenly over
    SERVERS_PER_KEY servers.
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
    """The rank of a first try whose key is not cached."""
    return refusals.rank(worth, class_index, tenant, over_share, False, False)


@dataclass(slots=True, frozen=True)
class LossForecast:
    """The effect of losing the sites `lost`.

    `load`: work offered to each remaining site over what it can carry; `kept`: the served share of each
    demand; `worth`: the served share of all worth; `back_95_s` and `back_98_s`: time from the start of the
    lost sites' servers until 95% and 98% of the usual worth is served again; None: not within MAX_RETURN_S.
    """

    lost: tuple[str, ...]
    load: dict[str, float]
    kept: dict[Demand, float]
    worth: float
    back_95_s: float | None
    back_98_s: float | None

    @property
    def borne(self) -> bool:
        """Whether next to nothing is refused."""
        return self.worth >= MIN_BORNE_WORTH

    def refused_worth(self, by: Callable[[Demand], str]) -> dict[str, tuple[float, float]]:
        """(worth offered, worth refused) per second, by class, tenant or another property of a demand."""
        totals: dict[str, tuple[float, float]] = {}
        for demand, share in self.kept.items():
            offered, refused = totals.get(by(demand), (0.0, 0.0))
            worth = demand.per_s * demand.worth
            totals[by(demand)] = offered + worth, refused + worth * (1 - share)
        return totals


def served_work(capacity: float, work: float) -> float:
    """The part of `work` that this capacity carries.

    Demand is random, so that near the limit a part is refused in some seconds while others have capacity
    left.  Far below the limit all work is carried, far above it USABLE_SHARE of the capacity.
    """
    usable = capacity * USABLE_SHARE
    if not usable or not work:
        return 0.0
    load = work / usable
    return float(min(usable, work) / (1 + min(load, 1 / load) ** LIMIT_SHARPNESS) ** (1 / LIMIT_SHARPNESS))


def served_shares(capacity: float, demands: Sequence[Demand]) -> dict[Demand, float]:
    """The share of each demand that this capacity carries.

    What is refused last is served first; all demands of one rank are served alike.
    """
    remaining, kept = served_work(capacity, sum(d.per_s * d.work_s for d in demands)), dict[Demand, float]()
    for rank in sorted({d.rank for d in demands}, reverse=True):
        same_rank = [d for d in demands if d.rank == rank]
        work = sum(d.per_s * d.work_s for d in same_rank)
        share = min(1.0, remaining / work) if work else 1.0
        remaining = max(0.0, remaining - work)
        kept |= dict.fromkeys(same_rank, share)
    return kept


def worth_share(kept: dict[Demand, float]) -> float:
    """The share of all offered worth that is served."""
    offered = sum(d.per_s * d.worth for d in kept)
    return sum(d.per_s * d.worth * share for d, share in kept.items()) / offered if offered else 1.0


def forecast_loss(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], discovery_delay_s: float
) -> LossForecast:
    """The effect of losing the sites `lost`.

    `discovery_delay_s`: from the start of a server until balancers have it in their list.  ValueError for an
    unknown site.
    """
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
    """The capacity of returning sites, `at_s` after the start of their servers."""
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
    """The effects of losing no site, each site and each pair, as long as one site remains."""
    names = [site.name for site in sites]
    lost_sets: list[tuple[str, ...]] = [()]
    for count in (1, 2):
        if count < len(names):
            lost_sets += combinations(names, count)
    return [forecast_loss(sites, demands, lost, discovery_delay_s) for lost in lost_sets]


def worth_curve(
    sites: Sequence[SiteCapacity], demands: Sequence[Demand], lost: Sequence[str], factors: Sequence[float]
) -> list[float]:
    """The worth served per second at each of these multiples of the demand."""
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
