"""Reads wire events as they come, and keeps what a live picture needs: the last second, and sums so far."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..incident import Incident, rules_of
from ..judge import Judge, Rule
from ..judge.rules import ClassRule
from ..wire import (
    BalancerState,
    ClientGot,
    ClientLost,
    ClientSent,
    ClientWished,
    NodeFell,
    NodeGot,
    NodeStarted,
    NodeState,
    WireEvent,
    WireLog,
)
from .picture import BalancerRow, NodeRow, Picture

GONE_SHOWN_US = 10_000_000  # a node that is gone stays in the picture for so long
REFUSALS = (429, 503)
# Anybody may ask the balancers of a live grid, with curl or the load tool: that none of its own clients had
# sent a request tells nothing here.
NOT_HELD = (Rule.SMUGGLED,)
NODE_STATES = {"resumed": "up", "healed": "up", "slowed": ""}  # empty: told apart by its factor
BALANCER_STATES = {
    "started": "starting",
    "ready": "up",
    "terminated": "stopping",
    "killed": "down",
    "ended": "down",
    "resumed": "up",
    "healed": "up",
    "reloaded": "",
    "reset": "",
}


class PassingLog(WireLog):
    """Tells each event to its listeners and keeps none: a grid may be played for days."""

    def __init__(self) -> None:
        super().__init__()
        self._ears: list[Callable[[WireEvent], None]] = []

    def close(self) -> None:
        self._ears.clear()

    def write(self, event: WireEvent) -> None:
        for ear in self._ears:
            ear(event)

    def listen(self, listener: Callable[[WireEvent], None]) -> None:
        self._ears.append(listener)


@dataclass(slots=True)
class _Node:
    kind: str
    hall: str
    capacity: float
    state: str = "up"
    drains: bool = False
    gone_at: int | None = None
    got: int = 0  # in this second


@dataclass(slots=True)
class _Balancer:
    hall: str
    state: str = "starting"
    ends: Counter[str] = field(default_factory=Counter)  # in this second, by how they ended
    asked: float = 0.0  # worth of all tries that have ended
    served: float = 0.0

    @property
    def worth(self) -> float | None:
        return self.served / self.asked if self.asked else None


@dataclass(slots=True, frozen=True)
class Inside:
    """What a node's model tells of itself, beside the wire."""

    cold_share: float
    capacity: float
    slowed: float
    queue: int
    running: int


class Watch:
    """`see` every event; `picture` once a second, which begins the next."""

    def __init__(self, incident: Incident, now: int, traffic: bool = True) -> None:
        self._incident, self._traffic = incident, traffic
        rules = rules_of(incident)
        self._judge = Judge(rules)
        self._classes: dict[str, ClassRule] = {rule.name: rule for rule in rules.classes}
        self._halls = rules.halls
        self._nodes: dict[tuple[str, int], _Node] = {}
        self._balancers: dict[str, _Balancer] = {}
        self._open: dict[str, ClientSent] = {}
        self._wished = 0
        self.origin_us = self._since = now
        self._seen: dict[type[Any], Callable[[Any], None]] = {
            ClientWished: self._due,
            ClientSent: self._sent,
            ClientGot: self._got,
            ClientLost: self._lost,
            NodeStarted: self._started,
            NodeGot: self._came,
            NodeFell: self._fell,
            NodeState: self._node_state,
            BalancerState: self._balancer_state,
        }

    def see(self, event: WireEvent) -> None:
        self._judge.see(event)
        if seen := self._seen.get(type(event)):
            seen(event)

    # Nodes

    def _started(self, event: NodeStarted) -> None:
        self._nodes[event.node, event.started_ms] = _Node(event.kind, event.hall, event.capacity)

    def _came(self, event: NodeGot) -> None:
        if event.request and (node := self._nodes.get((event.node, event.started_ms))):
            node.got += 1

    def _fell(self, event: NodeFell) -> None:
        if node := self._nodes.get((event.node, event.started_ms)):
            node.state, node.gone_at = "fallen", event.at

    def _node_state(self, event: NodeState) -> None:
        node = self._nodes.get((event.node, event.started_ms))
        if node is None or node.state == "fallen":
            return
        if event.state == "draining":
            node.drains = True
        node.state = NODE_STATES.get(event.state, event.state) or node.state
        if node.drains and node.state == "up":
            node.state = "draining"
        if event.state == "stopped":
            node.gone_at = event.at

    # Balancers and their clients

    def _balancer_state(self, event: BalancerState) -> None:
        balancer = self._balancers.setdefault(event.balancer, _Balancer(self._halls.get(event.balancer, "")))
        balancer.state = BALANCER_STATES.get(event.state, event.state) or balancer.state

    def _due(self, event: ClientWished) -> None:
        self._wished += 1

    def _sent(self, event: ClientSent) -> None:
        self._open[event.request] = event

    def _got(self, event: ClientGot) -> None:
        if sent := self._open.pop(event.request, None):
            how = "served" if event.status == 200 else "refused" if event.status in REFUSALS else "failed"
            self._ended(sent, how, event.at)

    def _lost(self, event: ClientLost) -> None:
        if sent := self._open.pop(event.request, None):
            self._ended(sent, "lost", event.at)

    def _ended(self, sent: ClientSent, how: str, at: int) -> None:
        if balancer := self._balancers.get(sent.balancer):
            rule, took = self._classes[sent.class_name], at - sent.due_at
            balancer.ends[how] += 1
            balancer.asked += rule.worth
            if how == "served":
                balancer.served += rule.worth * (1.0 if took <= rule.aim_us else rule.late_share)

    # What it makes

    def picture(self, now: int, inside: Callable[[str], Inside | None]) -> Picture:
        """`inside` tells of a node by its name; None: there is none now."""
        span_s = max(1, now - self._since) / 1e6
        gone = [
            key
            for key, node in self._nodes.items()
            if node.gone_at is not None and now - node.gone_at > GONE_SHOWN_US
        ]
        for key in gone:
            del self._nodes[key]
        verdict = self._judge.verdict()
        held = [violation for violation in verdict.violations if violation.rule not in NOT_HELD]
        latest = max(held, key=lambda violation: violation.at, default=None)
        made = Picture(
            self._incident.title,
            (now - self.origin_us) / 1e6,
            self._incident.duration_s,
            tuple(self._rows(span_s, inside)),
            tuple(
                BalancerRow(
                    name,
                    b.state,
                    b.hall,
                    b.ends["served"] / span_s,
                    b.ends["refused"] / span_s,
                    b.ends["failed"] / span_s,
                    b.ends["lost"] / span_s,
                    b.worth,
                )
                for name, b in self._balancers.items()
            ),
            self._wished / span_s,
            verdict.worth.service if self._traffic else None,
            {rule.value: count for rule, count in verdict.counts.items() if rule not in NOT_HELD},
            latest.text if latest else "",
            verdict.figures.lagged_s,
        )
        for node in self._nodes.values():
            node.got = 0
        for balancer in self._balancers.values():
            balancer.ends.clear()
        self._wished, self._since = 0, now
        return made

    def _rows(self, span_s: float, inside: Callable[[str], Inside | None]) -> Iterable[NodeRow]:
        for (name, _), node in self._nodes.items():
            told = inside(name) if node.gone_at is None else None
            told = told or Inside(0.0, 0.0, 1.0, 0, 0)
            yield NodeRow(
                name,
                node.state,
                node.kind,
                node.hall,
                told.cold_share,
                told.capacity,
                told.slowed,
                told.queue,
                told.running,
                node.got / span_s,
            )
