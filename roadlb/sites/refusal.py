"""The order in which requests are refused, the same on every balancer: by the operators' plan or by worth.

A plan is a list of lines; requests of the first line are refused first.  A request belongs to the first line
whose conditions it meets; one that matches no line is refused last.  Without a plan requests rank by their
worth, repeats a little lower.  The share of the demand to refuse is taken from the lowest ranks up, according
to the recent demand in each.  Within the rank where that share ends the request's key decides: at the same
shortage a client refused by one balancer is then refused by the next one too, and the keys that are served
stay the same, and cached.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log2

RANKS = 64  # a plan must have fewer lines than this
REPEAT_WORTH_FACTOR = 0.8  # on a repeat's worth: a request that has timed out is more likely to be long
DECAY_PER_S = 0.8  # the weight that the requests of a second keep a second later


@dataclass(slots=True, frozen=True)
class PlanLine:
    """The requests of one line of the plan: a condition that is None matches all of them.

    Classes and tenants are given by their numbers.
    """

    class_index: int | None = None
    tenant: int | None = None
    over_share: bool | None = None  # of a tenant beyond its share, or within it
    repeat: bool | None = None  # marked by the client as a repeat, or not
    warm_key: bool | None = None  # with a recently served key, which is likely to be cached; or not

    def matches(self, class_index: int, tenant: int, over_share: bool, repeat: bool, warm_key: bool) -> bool:
        return (
            self.class_index in (None, class_index)
            and self.tenant in (None, tenant)
            and self.over_share in (None, over_share)
            and self.repeat in (None, repeat)
            and self.warm_key in (None, warm_key)
        )


class RefusalOrder:
    """One balancer's recent demand by rank, from which it follows which requests are refused."""

    __slots__ = ("plan", "request_count", "requests_by_rank")

    def __init__(self, plan: Sequence[PlanLine] = ()) -> None:
        self.requests_by_rank, self.request_count = [0.0] * RANKS, 0.0
        self.set_plan(plan)

    def set_plan(self, plan: Sequence[PlanLine]) -> None:
        """Replace the plan and drop the counts, as ranks have another meaning now.

        The right share is refused from the first request on, at first by chance rather than by rank.
        """
        if len(plan) >= RANKS:
            raise ValueError(f"refusal.plan: {len(plan)} lines; at most {RANKS - 1}")
        self.plan = tuple(plan)
        self.requests_by_rank, self.request_count = [0.0] * RANKS, 0.0

    def rank(
        self, worth: float, class_index: int, tenant: int, over_share: bool, repeat: bool, warm_key: bool
    ) -> int:
        """The request's rank, 0..RANKS-1; the lowest is refused first.  Without a plan `worth` decides."""
        if not self.plan:
            return min(
                RANKS - 1, max(0, int(32 + 4 * log2(worth * (REPEAT_WORTH_FACTOR if repeat else 1) + 1e-6)))
            )
        for number, line in enumerate(self.plan):
            if line.matches(class_index, tenant, over_share, repeat, warm_key):
                return number
        return RANKS - 1

    def count_request(self, rank: int) -> None:
        """Count a request of this rank."""
        self.requests_by_rank[rank] += 1
        self.request_count += 1

    def is_refused(self, rank: int, tie_break: float, share: float) -> bool:
        """Whether to refuse it when `share`, 0..1, of the demand is refused.

        `tie_break`, 0..1, decides between requests of one rank.
        """
        return (
            sum(self.requests_by_rank[:rank]) + tie_break * self.requests_by_rank[rank]
            < share * self.request_count
        )

    def decay(self) -> None:
        """Decay the counts; to be called once a second."""
        self.requests_by_rank = [count * DECAY_PER_S for count in self.requests_by_rank]
        self.request_count = sum(self.requests_by_rank)


class QuotaUsage:
    """The request rates of tenants at this balancer, compared with its part of their quotas."""

    __slots__ = ("_quotas", "_rates", "counts")

    def __init__(self, quotas_per_s: Sequence[float]) -> None:
        self._quotas = list(quotas_per_s)
        self._rates, self.counts = [0.0] * len(self._quotas), [0] * len(self._quotas)

    @property
    def rates(self) -> tuple[float, ...]:
        """Recent mean of each tenant's requests per second."""
        return tuple(self._rates)

    def count_request(self, tenant: int) -> None:
        """Count a request of this tenant."""
        if tenant < len(self.counts):
            self.counts[tenant] += 1

    def exceeds_quota(self, tenant: int, divisor: float, tie_break: float) -> bool:
        """Whether this request is beyond its tenant's quota, of which one `divisor`-th is this balancer's.

        `tie_break`, 0..1, spreads the excess over all requests of the tenant.
        """
        return tenant < len(self._rates) and self._rates[tenant] * tie_break > self._quotas[tenant] / divisor

    def decay(self) -> None:
        """Update the rates; to be called once a second."""
        self._rates = [
            rate * DECAY_PER_S + count * (1 - DECAY_PER_S)
            for rate, count in zip(self._rates, self.counts, strict=True)
        ]
        self.counts = [0] * len(self.counts)
