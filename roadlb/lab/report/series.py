"""What happened over time, in bins of equal length, for pictures: counted from the wire log in one pass."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ..judge.book import REFUSALS
from ..wire import (
    ClientGot,
    ClientLost,
    ClientSent,
    NodeFell,
    NodeGave,
    NodeGot,
    NodeStarted,
    NodeState,
    WireEvent,
)
from .subject import SECOND_US, Subject

MOST_BINS = 180
SHORTEST_BIN_S = 0.25
OUTCOMES = ("served", "refused", "failed", "broken")
ENDS = {"resumed": "paused", "healed": "cut"}  # states that end others
SPANS = ("draining", "paused", "cut", "slowed")


@dataclass(slots=True)
class Span:
    """A state of a node: from when to when, in seconds."""

    state: str
    since_s: float
    until_s: float | None = None


@dataclass(slots=True)
class NodeSeries:
    """One node's life, over all of its starts."""

    name: str
    kind: str = ""
    hall: str = ""
    sent_us: list[int] = field(default_factory=list)  # work that came, by bin
    open: list[int] = field(default_factory=list)  # the most requests in hand, by bin
    starts: list[tuple[float, float, float]] = field(default_factory=list)  # (second, capacity, cold share)
    spans: list[Span] = field(default_factory=list)
    fell_s: list[float] = field(default_factory=list)
    stopped_s: list[float] = field(default_factory=list)
    by_balancer: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Series:
    """All series of a run; every list has one entry for each bin."""

    bin_s: float
    bins: int
    sent: dict[str, list[int]]  # tries taken, by class
    ended: dict[str, list[int]]  # tries by how they ended: OUTCOMES
    nodes: dict[str, NodeSeries]

    def at(self, index: int) -> float:
        """The second in which a bin begins."""
        return index * self.bin_s


class _Counting:
    """The pass over the log."""

    def __init__(self, subject: Subject) -> None:
        self._subject = subject
        bin_s = max(SHORTEST_BIN_S, subject.seconds / MOST_BINS)
        bins = int(subject.seconds / bin_s) + 1
        self.series = Series(bin_s, bins, {}, {name: [0] * bins for name in OUTCOMES}, {})
        self._over: dict[str, int] = {}  # when a request's time is up
        self._open: dict[tuple[str, str], int] = {}  # (node, request): until when it is in hand
        self._swept = 0

    def bin(self, at_us: int) -> int:
        second = self._subject.second(at_us)
        return min(self.series.bins - 1, max(0, int(second / self.series.bin_s)))

    def node(self, name: str) -> NodeSeries:
        if name not in self.series.nodes:
            bins = self.series.bins
            self.series.nodes[name] = NodeSeries(name, sent_us=[0] * bins, open=[0] * bins)
        return self.series.nodes[name]

    def see(self, event: WireEvent) -> None:
        match event:
            case ClientSent():
                self._over[event.request] = event.at + event.left_us
                counts = self.series.sent.setdefault(event.class_name, [0] * self.series.bins)
                counts[self.bin(event.at)] += 1
            case ClientGot():
                self.series.ended[outcome(event)][self.bin(event.at)] += 1
                self._over.pop(event.request, None)
            case ClientLost():
                if event.taken and event.how != "extra":
                    self.series.ended["broken"][self.bin(event.at)] += 1
                self._over.pop(event.request, None)
            case NodeGot():
                self._came(event)
            case NodeGave():
                self._open.pop((event.node, event.request), None)
            case NodeStarted() | NodeState() | NodeFell():
                self._lived(event)
            case _:
                pass

    def _came(self, event: NodeGot) -> None:
        node, bin_ = self.node(event.node), self.bin(event.at)
        node.sent_us[bin_] += event.work_us
        node.by_balancer[event.balancer] += event.work_us
        # Withdrawals are not on the wire: what is not answered is in hand until its request's time is up.
        self._open[event.node, event.request] = self._over.get(event.request, event.at)
        if event.at - self._swept > SECOND_US // 10:
            self._swept = event.at
            self._open = {key: until for key, until in self._open.items() if until >= event.at}
            held = Counter(name for name, _ in self._open)
            for name, count in held.items():
                counts = self.node(name).open
                counts[bin_] = max(counts[bin_], count)

    def _lived(self, event: NodeStarted | NodeState | NodeFell) -> None:
        node, second = self.node(event.node), self._subject.second(event.at)
        if isinstance(event, NodeStarted):
            node.kind, node.hall = event.kind, event.hall
            node.starts.append((second, event.capacity, event.cold_share))
            self._close(node, SPANS, second)
        elif isinstance(event, NodeFell):
            node.fell_s.append(second)
        elif event.state == "stopped":
            node.stopped_s.append(second)
            self._close(node, SPANS, second)
        elif event.state in ENDS:
            self._close(node, (ENDS[event.state],), second)
        elif event.state == "slowed" and any(
            span.state == "slowed" and span.until_s is None for span in node.spans
        ):
            self._close(node, ("slowed",), second)  # the same word ends it
        elif event.state in SPANS:
            node.spans.append(Span(event.state, second))

    @staticmethod
    def _close(node: NodeSeries, states: tuple[str, ...], second: float) -> None:
        for span in node.spans:
            if span.state in states and span.until_s is None:
                span.until_s = second


def outcome(event: ClientGot) -> str:
    if event.status == 200:
        return "served"
    return "refused" if event.status in REFUSALS else "failed"


def count(subject: Subject) -> Series:
    """The series of a run; nodes in the order of their names."""
    counting = _Counting(subject)
    for event in subject.log:
        counting.see(event)
    counting.series.nodes = dict(sorted(counting.series.nodes.items()))
    return counting.series
