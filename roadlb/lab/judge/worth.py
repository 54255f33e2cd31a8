"""Worth served, as the operators weigh it: by class, tenant and worst 10 s, retries folded in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..wire import ClientGot, ClientSent, ClientWished, NodeGot
from .book import Request
from .rules import ClassRule, Rules
from .verdict import Worth

SECOND = 1_000_000
WINDOW_S = 10
QUOTA_BURST_S = 1.0  # a tenant's share is a bucket that fills at its quota, and holds so much


@dataclass(slots=True)
class Wish:
    """A client's first try and all its retries."""

    rule: ClassRule
    tenant: str
    due_at: int
    weight: float  # of its worth: less where the tenant asks beyond its share
    served_at: int | None = None
    ended_at: int | None = None  # of its last try that ended
    sat_on: bool = False
    work_us: int = 0  # of its first attempt that came to a node
    ran: int = 0  # times that it began at a node

    @property
    def over_at(self) -> int:
        return self.due_at + self.rule.deadline_us


@dataclass(slots=True)
class Sum:
    """Worth asked for and served."""

    asked: float = 0.0
    served: float = 0.0

    def add(self, asked: float, served: float) -> None:
        self.asked += asked
        self.served += served

    @property
    def share(self) -> float:
        return self.served / self.asked if self.asked else 1.0


@dataclass(slots=True)
class Bucket:
    """A tenant's share: so many requests at hand, refilled at its quota."""

    quota_per_s: float
    level: float
    at: int | None = None

    def within(self, at: int) -> bool:
        if self.at is not None:
            self.level = min(
                self.quota_per_s * QUOTA_BURST_S,
                self.level + self.quota_per_s * max(0, at - self.at) / SECOND,
            )
        self.at = max(at, self.at or at)
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class Costs:
    """What is priced."""

    fresh: int = 0  # new connections to nodes
    probes: int = 0
    crossings: int = 0  # attempts at a node in another hall
    offered_us: int = 0  # work that was asked for, once for each wish
    wasted_us: int = 0  # work begun for an answer that nobody got
    late_fail: float = 0.0  # worth that ended unserved after its aim


@dataclass(slots=True)
class WorthBook:
    """Sums over wishes that are over; the ones that are not are held."""

    rules: Rules
    open: dict[int, Wish] = field(default_factory=dict)
    total: Sum = field(default_factory=Sum)
    classes: dict[str, Sum] = field(default_factory=dict)
    tenants: dict[str, Sum] = field(default_factory=dict)
    by_second: dict[int, Sum] = field(default_factory=dict)
    costs: Costs = field(default_factory=Costs)
    wishes: int = 0
    in_time: int = 0
    late: int = 0
    unanswered: int = 0
    ran_twice: int = 0
    buckets: dict[str, Bucket] = field(default_factory=dict)
    by_name: dict[str, ClassRule] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_name = {rule.name: rule for rule in self.rules.classes}
        self.buckets = {
            tenant.name: Bucket(tenant.quota_per_s, tenant.quota_per_s * QUOTA_BURST_S)
            for tenant in self.rules.tenants
        }

    def class_rule(self, name: str) -> ClassRule:
        if name not in self.by_name:
            raise ValueError(f"a client sent a request of class {name!r}, which is not in the judge's rules")
        return self.by_name[name]

    def wished(self, event: ClientWished | ClientSent) -> Wish:
        """Take up a wish that is new."""
        at = event.at if isinstance(event, ClientWished) else event.due_at
        bucket = self.buckets.get(event.tenant)
        within = bucket is None or bucket.within(at)
        wish = Wish(
            self.class_rule(event.class_name),
            event.tenant,
            at,
            1.0 if within else self.rules.over_share_worth,
        )
        self.open[event.wish] = wish
        self.wishes += 1
        return wish

    def attempted(self, wish: Wish | None, got: NodeGot, crossed: bool) -> None:
        self.costs.fresh += got.fresh
        self.costs.crossings += crossed
        if wish is not None and not wish.work_us:
            wish.work_us = got.work_us
            self.costs.offered_us += got.work_us

    def began(self, wish: Wish | None) -> None:
        if wish is not None:
            wish.ran += 1
            self.ran_twice += wish.ran == 2 and not wish.rule.repeatable

    def served(self, wish: Wish | None, answer: ClientGot) -> None:
        if wish is not None and wish.served_at is None:
            wish.served_at = answer.at

    def settled(self, wish: Wish | None, request: Request, served: bool, excused: bool) -> None:
        """A try is over: what ran for nothing, and whether nobody had worked on it for too long."""
        for attempt in request.attempts:
            used = (
                served
                and attempt.gave is not None
                and request.answer is not None
                and (attempt.gave.body == request.answer.body)
            )
            if attempt.ran and not used:
                self.costs.wasted_us += attempt.got.work_us
        end = request.limit_at if request.ended_at is None else request.ended_at
        if wish is None:
            return
        wish.ended_at = max(end, wish.ended_at or end)
        if (
            not served
            and not excused
            and not request.attempts
            and (end - request.sent.at > request.sent.left_us / 2)
        ):
            wish.sat_on = True

    def close(self, wish_id: int) -> None:
        """A wish is over: its worth is counted, in the second in which it was due."""
        wish = self.open.pop(wish_id)
        worth = wish.rule.worth * wish.weight
        took = None if wish.served_at is None else wish.served_at - wish.due_at
        if took is None or took > wish.rule.deadline_us + self.rules.slack_us:
            share = 0.0
            self.unanswered += 1
            if wish.ended_at is None or wish.ended_at - wish.due_at > wish.rule.aim_us:
                self.costs.late_fail += worth
        elif took <= wish.rule.aim_us:
            share = 1.0
            self.in_time += 1
        else:
            share = wish.rule.late_share
            self.late += 1
        served = worth * (share - (self.rules.prices.sat_on if wish.sat_on else 0.0))
        self.total.add(worth, served)
        self.classes.setdefault(wish.rule.name, Sum()).add(worth, served)
        self.by_second.setdefault(wish.due_at // SECOND, Sum()).add(worth, served)
        if wish.weight == 1.0:
            self.tenants.setdefault(wish.tenant, Sum()).add(worth, served)

    def worth(self) -> Worth:
        """Everything so far, weighed."""
        by_class = {name: total.share for name, total in sorted(self.classes.items())}
        by_tenant = {name: total.share for name, total in sorted(self.tenants.items())}
        window_at_s, window = worst_window(self.by_second)
        prices, weights = self._prices(), self.rules.weights
        service = (
            weights.whole * self.total.share
            + weights.worst_window * window
            + weights.worst_class * min(by_class.values(), default=1.0)
            + weights.worst_tenant * min(by_tenant.values(), default=1.0)
            - sum(prices.values())
        )
        return Worth(
            self.total.asked,
            self.total.served,
            self.total.share,
            window,
            window_at_s,
            by_class,
            by_tenant,
            {s: (sum_.asked, sum_.served) for s, sum_ in sorted(self.by_second.items())},
            prices,
            service,
        )

    def _prices(self) -> dict[str, float]:
        costs, prices, firsts = self.costs, self.rules.prices, max(1, self.wishes)
        return {
            "handshake": prices.handshake / 100 * costs.fresh / firsts,
            "waste": prices.waste / 100 * costs.wasted_us / max(1, costs.offered_us),
            "late_fail": prices.late_fail / 100 * costs.late_fail / (self.total.asked or 1.0),
            "cross_hall": prices.cross_hall / 100 * costs.crossings / firsts,
            "probe": prices.probe / 100 * costs.probes / firsts,
        }


def worst_window(by_second: dict[int, Sum]) -> tuple[int, float]:
    """(second in which it begins, share served) of the worst 10 s; all of it where there is less."""
    if not by_second:
        return 0, 1.0
    first, last = min(by_second), max(by_second)
    starts: Iterable[int] = range(first, max(first, last - WINDOW_S + 1) + 1)
    shares = []
    for start in starts:
        within = Sum()
        for second in range(start, start + WINDOW_S):
            if second in by_second:
                within.add(by_second[second].asked, by_second[second].served)
        shares.append((within.share, start))
    share, start = min(shares)
    return start, share
