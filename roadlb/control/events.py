"""What goes into and comes out of the deciders `plan`, `order` and `subscribers`.

`now` is in integer microseconds of one monotonic clock.  Shares and parts are parts of 1, unless a name ends
in `_ppm` (parts per million).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from roadlb.fleet.model import OPEN, Endpoint, Health, NodeId, Picture

MILLION = 1_000_000


# Into the plan


@dataclass(slots=True, frozen=True)
class Fleet:
    """A picture, and the Unix time in milliseconds at the `now` at which it is handed over."""

    picture: Picture
    unix_ms: int


@dataclass(slots=True, frozen=True)
class Belief:
    """What the decision module believes of a node, from its `ServerView`, by the node's id."""

    node: NodeId
    share: float = 1.0
    ejected: bool = False
    suspect: bool = False


@dataclass(slots=True, frozen=True)
class View:
    """All beliefs of one decision module about one cluster; takes the place of the one before."""

    cluster: str
    beliefs: tuple[Belief, ...]


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What one subscriber sent to one node within `interval_us`; `errors` of `requests` failed.

    `eps` and `queue` are the node's own named metrics, on the mean of the interval; None if no request that
    ended within it told them.  `finished`: how many requests ended within it, also of those sent before.
    """

    subscriber: str
    cluster: str
    node: NodeId
    requests: int
    errors: int
    interval_us: int
    eps: float | None = None
    queue: float | None = None
    finished: int = 0


@dataclass(slots=True, frozen=True)
class Carrier:
    """A subscriber as the plan sees it.  `generation`: the newest that it has acknowledged."""

    name: str
    generation: int


@dataclass(slots=True, frozen=True)
class Carriers:
    """All subscribers that may be sending, those among them that are cut off but not yet given up."""

    carriers: tuple[Carrier, ...]


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; every 250 ms or more often."""


# Out of the plan


@dataclass(slots=True, frozen=True)
class Decision:
    """What is to become of one endpoint, before it is put in any proxy's form.

    In pool "" are the warm ones, which share what the other pools leave, by `weight` (1 and up; 0: nothing).
    A cold one is in a pool of its own (see `plan`) and gets `part_ppm` of all the cluster's traffic.  One
    that has just become warm is in pool "" and still listed in `left_pool`, with no traffic there, until the
    routes have turned away from it.
    """

    endpoint: Endpoint
    health: Health
    weight: int
    pool: str
    part_ppm: int
    reason: str
    left_pool: str = ""

    @property
    def node(self) -> NodeId:
        return self.endpoint.node

    @property
    def open(self) -> bool:
        """May it be sent new work?"""
        return self.health in OPEN and (self.part_ppm > 0 if self.pool else self.weight > 0)

    def closed(self, health: Health, reason: str) -> Decision:
        return replace(self, health=health, weight=0, part_ppm=0, reason=reason)


def sub_zone(node: NodeId) -> str:
    """One node as a word: the sub-zone of its own locality, and the name of a pool that it was first in."""
    return f"{node.name}@{node.started_ms}"


@dataclass(slots=True, frozen=True)
class Decisions:
    """Everything decided, made on the picture `generation`; `serial` counts up within one plan.

    `urgent`: something drains or has gone, so that nothing may delay it.
    """

    generation: int
    serial: int
    clusters: Mapping[str, tuple[Decision, ...]] = field(default_factory=dict)
    urgent: bool = False


@dataclass(slots=True, frozen=True)
class Publish:
    decisions: Decisions


PlanEvent: TypeAlias = Fleet | View | LoadReport | Carriers | Tick
