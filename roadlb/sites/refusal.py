"""What is refused first: the operators' plan, or else what is worth least, alike on every balancer.

A plan is a list of lines, the first refused first.  A request belongs to the first line that all of its
words fit; one that fits none is refused last.  Without a plan requests rank by their worth, repeats a little
lower.  The share of the demand that is to go is taken from the lowest ranks on, by what was asked lately in
each; within the rank where it ends the request's key decides, so that at the same shortage a client who is
refused by one balancer is refused by the next, and what is served stays the same and cached.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import log2

RANKS = 64  # a plan has fewer lines than this
REPEAT_WORTH_FACTOR = 0.8  # of a first try's worth ranks a repeat: what has timed out is likelier to be long
DECAY_PER_S = 0.8  # of what was asked in each rank counts a second later


@dataclass(slots=True, frozen=True)
class PlanLine:
    """Which requests: each word that is None fits all.  Numbers are those of classes and tenants."""

    class_index: int | None = None
    tenant: int | None = None
    over_share: bool | None = None  # of a customer beyond its share, or one within
    repeat: bool | None = None  # marked as asked before, or not
    warm_key: bool | None = None  # with a key served lately, which is likely to be cached; or not

    def matches(self, class_index: int, tenant: int, over_share: bool, repeat: bool, warm_key: bool) -> bool:
        return (
            self.class_index in (None, class_index)
            and self.tenant in (None, tenant)
            and self.over_share in (None, over_share)
            and self.repeat in (None, repeat)
            and self.warm_key in (None, warm_key)
        )


class RefusalOrder:
    """What one balancer was asked for lately, by rank, and so who goes."""

    __slots__ = ("plan", "request_count", "requests_by_rank")

    def __init__(self, plan: Sequence[PlanLine] = ()) -> None:
        self.requests_by_rank, self.request_count = [0.0] * RANKS, 0.0
        self.set_plan(plan)

    def set_plan(self, plan: Sequence[PlanLine]) -> None:
        """Ranks mean something else from now on: what was counted in each is dropped.

        The same share goes from the first request on, at first by chance rather than by rank.
        """
        if len(plan) >= RANKS:
            raise ValueError(f"refusal.plan: {len(plan)} lines; at most {RANKS - 1}")
        self.plan = tuple(plan)
        self.requests_by_rank, self.request_count = [0.0] * RANKS, 0.0

    def rank(
        self, worth: float, class_index: int, tenant: int, over_share: bool, repeat: bool, warm_key: bool
    ) -> int:
        """0..RANKS-1; the lowest goes first.  `worth` decides where there is no plan."""
        if not self.plan:
            return min(
                RANKS - 1, max(0, int(32 + 4 * log2(worth * (REPEAT_WORTH_FACTOR if repeat else 1) + 1e-6)))
            )
        for number, line in enumerate(self.plan):
            if line.matches(class_index, tenant, over_share, repeat, warm_key):
                return number
        return RANKS - 1

    def count_request(self, rank: int) -> None:
        """A request of this rank has come."""
        self.requests_by_rank[rank] += 1
        self.request_count += 1

    def is_refused(self, rank: int, tie_break: float, share: float) -> bool:
        """Does it go if this share of the demand, 0..1, goes?  `luck`, 0..1, orders equals."""
        return (
            sum(self.requests_by_rank[:rank]) + tie_break * self.requests_by_rank[rank]
            < share * self.request_count
        )

    def decay(self) -> None:
        """Once a second."""
        self.requests_by_rank = [count * DECAY_PER_S for count in self.requests_by_rank]
        self.request_count = sum(self.requests_by_rank)


class QuotaUsage:
    """What customers ask of one of `parts` balancers, against their shares of the whole."""

    __slots__ = ("_quotas", "_rates", "counts")

    def __init__(self, quotas_per_s: Sequence[float]) -> None:
        self._quotas = list(quotas_per_s)
        self._rates, self.counts = [0.0] * len(self._quotas), [0] * len(self._quotas)

    @property
    def rates(self) -> tuple[float, ...]:
        """Requests a second of each customer, on the mean of late."""
        return tuple(self._rates)

    def count_request(self, tenant: int) -> None:
        """A request of this customer has come."""
        if tenant < len(self.counts):
            self.counts[tenant] += 1

    def exceeds_quota(self, tenant: int, divisor: float, tie_break: float) -> bool:
        """Is this request beyond its customer's share?  `luck`, 0..1, spreads the excess over all of them."""
        return tenant < len(self._rates) and self._rates[tenant] * tie_break > self._quotas[tenant] / divisor

    def decay(self) -> None:
        """Once a second."""
        self._rates = [
            rate * DECAY_PER_S + count * (1 - DECAY_PER_S)
            for rate, count in zip(self._rates, self.counts, strict=True)
        ]
        self.counts = [0] * len(self.counts)
