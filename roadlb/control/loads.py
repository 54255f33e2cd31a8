"""What the proxies' load reports say: the demand, and what warm nodes carry for their weight."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from roadlb.fleet.model import NodeId

from .events import LoadReport

DEMAND_US = 2_000_000  # memory of a subscriber's rate to a node
MEMORY_US = 5_000_000  # memory of what a node carries
STALE_US = 10_000_000  # a node that a subscriber has not named for so long gets nothing from it
FORGET_US = 60_000_000  # one that is cut off goes on sending: its last word counts so long
ENOUGH = 20  # requests before the errors among them say anything
FAILING, MORE = 0.5, 0.3  # part that fails, and by how much more than all nodes' part, that speaks against
# one: in overload all turn work away, and fewer nodes would turn away more
MOST_SUBSCRIBERS = 10_000  # the longest silent goes


@dataclass(slots=True)
class _Rate:
    rate: float  # requests a second
    at: int


@dataclass(slots=True)
class _Sender:
    nodes: dict[NodeId, _Rate] = field(default_factory=dict)
    at: int = 0
    pruned: int = 0


@dataclass(slots=True)
class _Done:
    at: int
    rate: float  # answered well, a second, by all subscribers
    failing: float = 0.0  # part of the requests that failed, on the mean of late
    seen: float = 0.0  # requests of late


class Loads:
    """One cluster's reports, in sums that cost the same to read whatever their number."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}  # the longest silent first
        self._done: dict[NodeId, _Done] = {}
        self._sum = 0.0
        self._asked = self._failed = 0.0  # of all nodes' requests of late, with those that failed
        self._at = 0

    def add(self, now: int, report: LoadReport) -> None:
        """Take a report; one of no length says nothing."""
        if report.interval_us <= 0:
            return
        sender = self._senders.pop(report.subscriber, None) or _Sender(pruned=now)
        self._senders[report.subscriber], sender.at = sender, now
        rate, old = report.requests * 1e6 / report.interval_us, sender.nodes.get(report.node)
        if old is None:
            sender.nodes[report.node] = _Rate(rate, now)
            self._sum += rate
        else:
            change = (rate - old.rate) * report.interval_us / (report.interval_us + DEMAND_US)
            old.rate, old.at = old.rate + change, now
            self._sum += change
        if now - sender.pruned > MEMORY_US:
            sender.pruned = now
            for node in [n for n, r in sender.nodes.items() if now - r.at > STALE_US]:
                self._sum -= sender.nodes.pop(node).rate
        self._forget(now)
        self._carry(now, report)

    def _forget(self, now: int) -> None:
        while self._senders:
            name, sender = next(iter(self._senders.items()))
            if now - sender.at < FORGET_US and len(self._senders) <= MOST_SUBSCRIBERS:
                return
            del self._senders[name]
            self._sum -= sum(r.rate for r in sender.nodes.values())

    def _carry(self, now: int, report: LoadReport) -> None:
        good, done = report.requests - report.errors, self._done.get(report.node)
        if done is None:
            done = self._done[report.node] = _Done(now, 0.0)
        # A leaky sum: it starts from nothing, so that at first too little seems carried, never too much.
        kept = exp(-max(0, now - done.at) / MEMORY_US)
        done.rate = done.rate * kept + good * 1e6 / MEMORY_US
        done.seen, done.at = done.seen * kept + report.requests, now
        kept = exp(-max(0, now - self._at) / MEMORY_US)
        self._asked, self._at = self._asked * kept + report.requests, now
        self._failed = self._failed * kept + report.errors
        if report.requests:
            part = min(1.0, report.requests / ENOUGH)
            done.failing += (report.errors / report.requests - done.failing) * part

    def keep(self, nodes: set[NodeId]) -> None:
        """Forget what nodes carried that are no longer listed."""
        for node in [n for n in self._done if n not in nodes]:
            del self._done[node]

    @property
    def demand(self) -> float:
        """Requests a second that all subscribers send, to all nodes."""
        return max(0.0, self._sum)

    def carried(self, now: int, weights: dict[NodeId, float]) -> float:
        """Requests a second answered well for each unit of weight, by the nodes given."""
        weight = rate = 0.0
        for node, w in weights.items():
            done = self._done.get(node)
            if done is not None and now - done.at < 2 * MEMORY_US:
                weight, rate = weight + w, rate + done.rate
        return rate / weight if weight else 0.0

    def failing(self, now: int, node: NodeId) -> bool:
        """By the proxies' word, have most of its requests failed lately, and far more than the others'?"""
        done = self._done.get(node)
        if done is None or now - done.at >= 2 * MEMORY_US or done.seen < ENOUGH:
            return False
        return done.failing > FAILING and done.failing - self._failed / max(1.0, self._asked) > MORE
