"""Was the plan's order of refusals kept?  Counted from the wire alone, not from what a balancer says of it.

A request's rank is that of the plan: the lowest is refused first.  Some words of a plan are not on the wire
(whether a balancer takes a key for cached, or a customer for beyond its share); a request then has a least
and a most rank, and only what is broken for every rank that it may have counts as broken.

A refusal broke the order if within `window_us` before or after it, at the same balancer, a request that is to
go earlier was sent on to a node.  A request that came to a node is none that was refused, whatever its client
was told in the end.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ...sites.refusal import PlanLine, RefusalOrder
from ..wire import ClientGot, ClientSent, NodeGot, WireEvent
from .book import NEVER, REFUSALS

WINDOW_US = 500_000
Ranks = Callable[[ClientSent], tuple[int, int]]  # the least and the most that a request may have


@dataclass(slots=True, frozen=True)
class Kept:
    """`pairs`: of the refusals that broke the order, how many by (class refused, class sent on instead)."""

    refusals: int
    kept: int
    pairs: Mapping[tuple[str, str], int] = field(default_factory=dict)

    @property
    def share(self) -> float:
        return self.kept / self.refusals if self.refusals else 1.0


@dataclass(slots=True, frozen=True)
class _Decided:
    """What became of a request at its balancer."""

    at: int
    ranks: tuple[int, int]
    class_name: str


def ranks_by(
    plan: Sequence[PlanLine],
    worths: Mapping[str, float],
    tenants: Sequence[str],
    over_share_worth: float = 1.0,
    over: bool | None = None,
    warm: bool | None = None,
) -> Ranks:
    """Ranks by a plan, or by worth where it is empty.

    `worths`: of each class, in the order of the plan's numbers, as are `tenants`.  `over` and `warm` say
    what holds of every request; None: the wire does not tell, and either may.
    """
    refusals, classes = RefusalOrder(plan), {name: index for index, name in enumerate(worths)}
    numbers = {name: index for index, name in enumerate(tenants)}
    overs = (False, True) if over is None else (over,)
    warms = (False, True) if warm is None else (warm,)

    def ranks(sent: ClientSent) -> tuple[int, int]:
        tenant, repeat = numbers.get(sent.tenant, len(numbers)), sent.attempt > 0
        found = [
            refusals.rank(
                worths[sent.class_name] * (over_share_worth if is_over else 1.0) * (2 if is_warm else 1),
                classes[sent.class_name],
                tenant,
                is_over,
                repeat,
                is_warm,
            )
            for is_over in overs
            for is_warm in warms
        ]
        return min(found), max(found)

    return ranks


def order_of_refusals(
    events: Iterable[WireEvent], ranks: Ranks, window_us: int = WINDOW_US, since: int = 0, until: int = NEVER
) -> Kept:
    """Over the refusals told to clients from `since` on and before `until`."""
    sent: dict[str, ClientSent] = {}
    passed: dict[str, list[_Decided]] = defaultdict(list)
    refused: dict[str, list[_Decided]] = defaultdict(list)
    at_nodes: set[str] = set()
    for event in events:
        if isinstance(event, ClientSent):
            sent[event.request] = event
        elif isinstance(event, NodeGot) and event.request in sent and event.request not in at_nodes:
            at_nodes.add(event.request)
            one = sent[event.request]
            passed[one.balancer].append(_Decided(event.at, ranks(one), one.class_name))
        elif (
            isinstance(event, ClientGot)
            and event.status in REFUSALS
            and since <= event.at < until
            and event.request in sent
            and event.request not in at_nodes
        ):
            one = sent[event.request]
            refused[one.balancer].append(_Decided(event.at, ranks(one), one.class_name))
    pairs: Counter[tuple[str, str]] = Counter()
    for balancer, refusals in refused.items():
        pairs.update(_broken(refusals, passed[balancer], window_us))
    count = sum(map(len, refused.values()))
    return Kept(count, count - pairs.total(), dict(pairs))


def _broken(refused: Sequence[_Decided], passed: list[_Decided], window_us: int) -> Iterable[tuple[str, str]]:
    """For each refusal that broke the order, its class and that of what should have gone first."""
    passed.sort(key=lambda one: one.at)
    times = [one.at for one in passed]
    for one in refused:
        near = passed[bisect_left(times, one.at - window_us) : bisect_right(times, one.at + window_us)]
        worst = min(near, key=lambda other: other.ranks[1], default=None)
        if worst is not None and worst.ranks[1] < one.ranks[0]:
            yield one.class_name, worst.class_name
