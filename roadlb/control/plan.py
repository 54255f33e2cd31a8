"""From the fleet, what is believed of it and what it carries: health, weight and part of each endpoint.

Theory of operation.  A proxy that is told weights puts them in proportion to those that it thinks are well.
If the others vanish from under it, a cold node of the smallest weight gets all the traffic, before any
service can say a word.  So cold nodes do not share a pool with warm ones: each is in a pool of its own (its
own cluster on the wire), and the routes give each pool a part of the traffic, which no proxy renormalises:
where a pool has nobody, its part fails.  What the pools leave goes to pool "", where the warm ones are, by
weight.

- `ramp` says which part a cold node may have.  It is told anew when it differs by STEP, every `gap_us` at
  the most.
- There are POOLS pools.  Where more are cold, several share one; then each gets half of what it could, for
  the other may vanish.
- One that becomes warm moves to pool "" and stays listed in its own for HANDOVER_US, with no part of the
  traffic: endpoints travel before routes, and the routes must not point at an empty pool.
- A new node where another stood gets nothing while a proxy has not acknowledged that the old one has gone.
- Of two nodes told at one address only the one started last is there.
- Ejected nodes (by the decision module, or failing by the proxies' reports) are told unhealthy, but not more
  than EJECT_SHARE of those that are open.

A drain, a node gone or restarted is published at once.  Everything else waits for the gap.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from roadlb.fleet.model import OPEN, Cluster, Endpoint, Health, Lifecycle, NodeId, Picture

from .events import (
    MILLION,
    Belief,
    Carrier,
    Carriers,
    Decision,
    Decisions,
    Fleet,
    LoadReport,
    PlanEvent,
    Publish,
    Tick,
    View,
    sub_zone,
)
from .loads import Loads
from .ramp import RampLimits

STEP = 1.25  # a part that differs by less is not worth telling: from 12% to all in ten steps
POOLS = 16  # a route lists them all; a deploy starts 19% of the fleet at a time
HANDOVER_US = 2_000_000  # until all proxies' routes have followed: the 1 s in which they must, twice
EJECT_SHARE = 0.34  # as the decision module's: more is not a matter of single nodes
SUSPECT = 0.5  # of its weight, for one that failed lately
UNIT = 1_000  # of a weight on the wire, for the weight 1
MOST_WEIGHT = 400_000  # 10,000 of them stay under the 2^32 - 1 that xDS allows for a priority
CLOCKS_US = 5_000_000  # a node is told by then; what its clock says beyond that is not believed
VIEW_US = 10_000_000  # without a new one, what a decision module believed is of no account any more
OLD_PLACE_US = 120_000_000  # that a proxy cut off may still send where a node stood


@dataclass(slots=True)
class _Node:
    """What the plan remembers of a node from one look to the next."""

    born: int  # on our clock, at the latest that it can be
    pool: str = ""
    part_ppm: int = 0
    weight: int = 0
    left_pool: str = ""
    left_at: int = 0
    reason: str = ""  # of its part, when that was last changed


@dataclass(slots=True)
class _Place:
    """A host and port where a node stood that was told to proxies, until generation `gone`."""

    gone: int
    at: int


@dataclass(slots=True)
class _Plan:
    """One cluster."""

    cluster: Cluster
    nodes: dict[NodeId, _Node] = field(default_factory=dict)
    loads: Loads = field(default_factory=Loads)
    views: dict[NodeId, Belief] = field(default_factory=dict)
    viewed: int = 0
    places: dict[tuple[str, int], _Place] = field(default_factory=dict)
    told: tuple[Decision, ...] = ()
    stirred: bool = True  # may it be decided differently now than it was?

    def pools(self) -> Counter[str]:
        """How many are in each pool but that of the warm ones."""
        return Counter(n.pool for n in self.nodes.values() if n.pool)


class Plan:
    """A decider: `handle(now, event) -> [Publish]` or `[]`; give it a `Tick` every 250 ms or more often."""

    def __init__(self, limits: RampLimits | None = None, gap_us: int = 1_000_000) -> None:
        self.limits, self.gap_us = limits or RampLimits(), gap_us
        self._clusters: dict[str, _Plan] = {}
        self._generation, self._serial, self._at = -1, 0, -gap_us
        self._behind: Carrier | None = None  # the one with the oldest view
        self._dirty = False

    def handle(self, now: int, event: PlanEvent) -> list[Publish]:
        match event:
            case Fleet():
                return self._fleet(now, event)
            case View():
                if (plan := self._clusters.get(event.cluster)) is not None:
                    views = {b.node: b for b in event.beliefs if b.ejected or b.suspect or b.share < 1}
                    plan.stirred = plan.stirred or views != plan.views
                    plan.views, plan.viewed = views, now
            case LoadReport():
                if (plan := self._clusters.get(event.cluster)) is not None:
                    plan.loads.add(now, event)
                    plan.stirred = plan.stirred or plan.loads.failing(now, event.node)
            case Carriers():
                self._behind = min(event.carriers, key=lambda c: c.generation, default=None)
            case Tick():
                if self._generation >= 0 and now - self._at >= self.gap_us:
                    return self._decide(now, urgent=False)
        return []

    # The fleet

    def _fleet(self, now: int, event: Fleet) -> list[Publish]:
        picture = event.picture
        if picture.generation <= self._generation:
            return []
        self._generation = picture.generation
        up = {name: _up(cluster) for name, cluster in picture.clusters.items()}
        urgent = not self._serial or self._closes(up)
        for name in [n for n in self._clusters if n not in picture.clusters]:
            del self._clusters[name]
        for name, cluster in picture.clusters.items():
            plan = self._clusters.setdefault(name, _Plan(cluster))
            self._take(now, plan, cluster, up[name], event.unix_ms)
        self._dirty = True
        return self._decide(now, urgent) if urgent or now - self._at >= self.gap_us else []

    def _closes(self, up: Mapping[str, set[NodeId]]) -> bool:
        """Does anyone that proxies may be sending to drain, vanish or start anew?"""
        return any(
            d.open and d.node not in up.get(name, ())
            for name, plan in self._clusters.items()
            for d in plan.told
        )

    def _take(self, now: int, plan: _Plan, cluster: Cluster, up: set[NodeId], unix_ms: int) -> None:
        plan.cluster, plan.stirred, first = cluster, True, not plan.told
        listed = {e.node for e in cluster.endpoints if e.lifecycle is not Lifecycle.REMOVED}
        for d in plan.told:
            if d.node not in up and (d.open or d.left_pool):
                plan.places[d.endpoint.host, d.endpoint.port] = _Place(self._generation, now)
        for where in [w for w, p in plan.places.items() if now - p.at > OLD_PLACE_US]:
            del plan.places[where]
        for gone in [n for n in plan.nodes if n not in listed]:
            del plan.nodes[gone]
        used = plan.pools()
        for e in cluster.endpoints:
            if e.node in plan.nodes or e.node not in listed:
                continue
            born = now - (unix_ms - e.node.started_ms) * 1000 if e.node.started_ms else now - (1 << 60)
            if not first and e.node.started_ms:
                # Its clock may be wrong; it was not there when we last looked.
                born = max(born, now - CLOCKS_US)
            node = plan.nodes[e.node] = _Node(min(born, now))
            if self.limits.share(now - node.born) < 1:
                node.pool = self._free_pool(used, e.node)
                used[node.pool] += 1
        plan.loads.keep(listed)

    @staticmethod
    def _free_pool(used: Counter[str], node: NodeId) -> str:
        """A pool of its own, or if there are too many the one with the fewest in it.

        It is named after the node that it was made for: by a number that is used again, a proxy that has the
        new endpoints and the old routes would send a cold node what the last one there had when nearly warm.
        """
        return sub_zone(node) if len(used) < POOLS else min(used, key=lambda pool: (used[pool], pool))

    # Decisions

    def _decide(self, now: int, urgent: bool) -> list[Publish]:
        """Decide on all clusters; published if anything has changed, or a picture has not been told yet."""
        changed = urgent or self._dirty
        for plan in self._clusters.values():
            if plan.views and now - plan.viewed > VIEW_US:
                plan.views, plan.stirred = {}, True
            if not plan.stirred:
                continue
            new = tuple(self._cluster(now, plan))
            # Time alone bears on those that become warm, and on those that may be believed well again.
            plan.stirred = any(d.pool or d.left_pool or d.health is Health.UNHEALTHY for d in new)
            if new != plan.told:
                plan.told, changed = new, True
        if not changed:
            return []
        self._dirty, self._at = False, now
        self._serial += 1
        return [
            Publish(
                Decisions(
                    self._generation,
                    self._serial,
                    {name: plan.told for name, plan in self._clusters.items()},
                    urgent,
                )
            )
        ]

    def _cluster(self, now: int, plan: _Plan) -> Iterable[Decision]:
        health = self._health(now, plan)
        cold: dict[NodeId, tuple[Endpoint, float]] = {}
        warm: dict[NodeId, float] = {}
        for e in plan.cluster.endpoints:
            if e.node in plan.nodes and e.node in health and health[e.node][0] in OPEN:
                share = self._share(now, plan, e.node)
                if share < 1 and plan.nodes[e.node].pool:
                    cold[e.node] = e, share
                else:
                    warm[e.node] = e.weight
        parts = self._parts(now, plan, cold, warm)
        held = {node: why for node, (e, _) in cold.items() if (why := self._held(plan, e))}
        stepped = {
            node: 0 if node in held else _step(plan.nodes[node].part_ppm, int(part * MILLION))
            for node, part in parts.items()
        }
        if (total := sum(stepped.values())) > MILLION:  # those that kept their step may be too many
            stepped = {node: part * MILLION // total for node, part in stepped.items()}
        seen: set[NodeId] = set()
        for e in plan.cluster.endpoints:
            if e.node in health and e.node not in seen:
                seen.add(e.node)
                if e.node in cold:
                    node, part = plan.nodes[e.node], stepped[e.node]
                    if e.node in held:
                        node.reason = held[e.node]
                    elif part != node.part_ppm or not node.reason.startswith("cold"):
                        # What changes with each look would be published with each.
                        node.reason = f"cold: at least {cold[e.node][1]:.0%} of its capacity"
                    node.part_ppm = part
                    yield Decision(e, health[e.node][0], 0, node.pool, part, node.reason)
                else:
                    yield self._decision(now, plan, e, health[e.node])

    def _share(self, now: int, plan: _Plan, node: NodeId) -> float:
        """By its age alone: what a module says may only lower it, never raise it."""
        share, belief = self.limits.share(now - plan.nodes[node].born), plan.views.get(node)
        return min(share, belief.share) if belief and self.limits.on and share < 1 else share

    def _health(self, now: int, plan: _Plan) -> dict[NodeId, tuple[Health, str]]:
        """What each is told to be, and why.  Of a node listed twice, the worse word counts."""
        told: dict[NodeId, tuple[Health, str]] = {}
        there = _there(plan.cluster)
        for e in plan.cluster.endpoints:
            if e.lifecycle is Lifecycle.REMOVED:
                continue
            last = there[e.host, e.port]
            if e.lifecycle is Lifecycle.DRAINING:
                word = Health.DRAINING, "drains"
            elif last != e.node:
                word = Health.DRAINING, f"its address is now that of {last.name}, started later"
            elif e.health not in OPEN:
                word = e.health, f"discovery says {e.health.name.lower()}"
            elif e.weight <= 0:
                word = Health.UNHEALTHY, "its weight is 0"
            else:
                word = e.health, ""
            if e.node not in told or told[e.node][0] in OPEN or word[0] is Health.DRAINING:
                told[e.node] = word
        candidates = [n for n, word in told.items() if word[0] in OPEN]
        room = int(EJECT_SHARE * len(candidates))
        before = {d.node for d in plan.told if d.health is Health.UNHEALTHY}
        bad = [(n not in before, n, why) for n in candidates if (why := self._ejection(now, plan, n))]
        for _, node, why in sorted(bad)[:room]:  # those that are out stay out, so that none alternate
            told[node] = Health.UNHEALTHY, why
        return told

    @staticmethod
    def _ejection(now: int, plan: _Plan, node: NodeId) -> str:
        belief = plan.views.get(node)
        if belief is not None and belief.ejected:
            return "ejected by the decision module"
        return "most requests failed, by the proxies' reports" if plan.loads.failing(now, node) else ""

    # Parts and weights

    def _parts(
        self, now: int, plan: _Plan, cold: dict[NodeId, tuple[Endpoint, float]], warm: dict[NodeId, float]
    ) -> dict[NodeId, float]:
        """The part of all traffic that each cold node may have."""
        if not cold:
            return {}
        limits = self.limits
        present = sum(warm.values()) + sum(e.weight * share for e, share in cold.values())
        demand, carried = plan.loads.demand, plan.loads.carried(now, warm)
        mates, parts = plan.pools(), {}
        for node, (e, share) in cold.items():
            part = e.weight * share / present
            if demand > 0 and carried > 0:
                part = min(part, limits.budget(share, e.weight, carried) / demand)
            else:
                # Not even the proportion is sure to be within its means: nobody knows the demand.
                part *= limits.unreported * share
            parts[node] = part if mates[plan.nodes[node].pool] <= 1 else part / 2
        return parts

    def _held(self, plan: _Plan, e: Endpoint) -> str:
        place, behind = plan.places.get((e.host, e.port)), self._behind
        if place is not None and behind is not None and behind.generation < place.gone:
            return f"{behind.name} may still send to the one that stood there"
        return ""

    def _decision(self, now: int, plan: _Plan, e: Endpoint, word: tuple[Health, str]) -> Decision:
        """Of one that is closed or warm."""
        health, reason = word
        node = plan.nodes[e.node]
        if node.left_pool and now - node.left_at >= HANDOVER_US:
            node.left_pool = ""
        if health not in OPEN:
            # A pool that others are in must not hand them its part before the routes follow.
            node.part_ppm = node.weight = 0
            return Decision(e, health, 0, node.pool, 0, reason, node.left_pool)
        if node.pool:
            node.pool, node.left_pool, node.left_at, node.part_ppm = "", node.pool, now, 0
        belief, weight = plan.views.get(e.node), e.weight
        if belief is not None and belief.suspect:
            weight, reason = weight * SUSPECT, "suspect: it failed lately"
        node.weight = _step(node.weight, max(1, min(MOST_WEIGHT, round(weight * UNIT))))
        return Decision(e, health, node.weight, "", 0, reason or "warm", node.left_pool)


def up_in(picture: Picture) -> frozenset[NodeId]:
    """The nodes that a picture has up, as `order.Pictured` wants them.

    One that it also has draining is not, nor one at whose address another has started since.
    """
    return frozenset(node for cluster in picture.clusters.values() for node in _up(cluster))


def _up(cluster: Cluster) -> set[NodeId]:
    there = _there(cluster)
    ends = {e.node for e in cluster.endpoints if e.lifecycle is not Lifecycle.UP}
    return {e.node for e in cluster.endpoints if e.node not in ends and there[e.host, e.port] == e.node}


def _there(cluster: Cluster) -> dict[tuple[str, int], NodeId]:
    """Who stands at each address: of several the one started last."""
    there: dict[tuple[str, int], NodeId] = {}
    for e in cluster.endpoints:
        if e.lifecycle is not Lifecycle.REMOVED:
            there[e.host, e.port] = max(e.node, there.get((e.host, e.port), e.node), key=_start)
    return there


def _start(node: NodeId) -> tuple[int, str]:
    return node.started_ms, node.name


def _step(old: int, new: int) -> int:
    """The new figure if it differs enough from the old one, else the old one."""
    return new if not old or not new or not old / STEP < new < old * STEP else old
