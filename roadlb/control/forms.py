"""The same decisions in the form that each kind of proxy obeys, as plain data for the codec.

| | Envoy | gRPC's xDS client | anything else |
| --- | --- | --- | --- |
| weights of endpoints | obeyed | ignored by round robin (200 and 200 calls for 1 and 9) | not relied on |
| weights of localities | obeyed | obeyed (33 and 367 for 1 and 9) | not relied on |
| parts of a route (weighted clusters) | obeyed | obeyed (188 of 2,000 for 10%) | not relied on |
| the same if a part has nobody left | it fails | it fails (895 of 1,000 for 90%) | not relied on |
| DRAINING | no new work, unless it panics: so no panic | no new work (0 of 400) | left out of the list |
| load reports | by endpoint | by locality | none needed |

What is measured is gRPC C-core 1.85 from Python; Envoy's column is from its documentation.

So gRPC gets a locality for each node, whose sub-zone is `sub_zone(node)`.  Anything else gets neither cold
nodes nor ones that drain: whatever it makes of its list, it cannot push a cold one over.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from roadlb.fleet.model import Health, Locality, NodeId

from .events import MILLION, Decision, Decisions, sub_zone


class Form(Enum):
    ENVOY = "envoy"  # weights of endpoints, parts of routes
    GRPC = "grpc"  # a locality for each node, parts of routes
    GENERIC = "generic"  # warm nodes only, weights of both kinds
    WEIGHTS = "weights"  # one pool, cold nodes by weight alone: for comparison; safe only while none fail


FORM_KEY = "roadlb.form"  # in a node's metadata: the operator's word, before any guess


def form_of(user_agent: str, metadata: Mapping[str, str] | None = None, features: Iterable[str] = ()) -> Form:
    """What kind of proxy this is, by the `node` of its first request.

    `user_agent`: `user_agent_name`.  Raises ValueError for a form in the metadata that there is not.
    """
    word = (metadata or {}).get(FORM_KEY, "")
    if word:
        try:
            return Form(word)
        except ValueError:
            raise ValueError(f"{FORM_KEY}: {word!r} is none of {[f.value for f in Form]}") from None
    name = user_agent.strip().lower()
    if name == "envoy":
        return Form.ENVOY
    if name.startswith("grpc") or "envoy.lb.does_not_support_overprovisioning" in features:
        return Form.GRPC
    return Form.GENERIC


def node_of(word: str) -> NodeId | None:
    """The node of a `sub_zone`; None if it is not one."""
    name, at, started = word.rpartition("@")
    return NodeId(name, int(started)) if at and name and started.isascii() and started.isdigit() else None


@dataclass(slots=True, frozen=True)
class Placed:
    """An endpoint in a locality: `weight` 1 and up."""

    node: NodeId
    host: str
    port: int
    health: Health
    weight: int


@dataclass(slots=True, frozen=True)
class Place:
    """A locality with its weight, 1 and up, among those of one priority."""

    locality: Locality
    priority: int
    weight: int
    endpoints: tuple[Placed, ...]


@dataclass(slots=True, frozen=True)
class Assignment:
    """One pool as a cluster's endpoints.

    Its cluster must have a panic threshold of 0: in panic Envoy sends to endpoints that drain.  `localities`:
    are weights of localities meant (`locality_weighted_lb_config`), or only those of endpoints?
    """

    cluster: str
    places: tuple[Place, ...]
    localities: bool = False


@dataclass(slots=True, frozen=True)
class Split:
    """A route's clusters with their parts per million of the traffic, the sum being a million."""

    cluster: str
    parts_ppm: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class Expression:
    """What a proxy of one form is told.  `left_out`: nodes that it does not get to know."""

    form: Form
    assignments: tuple[Assignment, ...]
    splits: tuple[Split, ...]
    left_out: tuple[NodeId, ...] = ()


def pool_name(cluster: str, pool: str) -> str:
    """The cluster on the wire that stands for a pool: the fleet's own name for that of the warm ones."""
    return f"{cluster}~{pool}" if pool else cluster


def parts_of(decisions: Iterable[Decision]) -> dict[str, int]:
    """Each pool's part of the traffic in parts per million; pool "" has what the others leave."""
    parts: dict[str, int] = {"": 0}
    for d in decisions:
        for pool in (d.pool, d.left_pool):
            parts.setdefault(pool, 0)
        if d.pool:
            parts[d.pool] += d.part_ppm
    cold = sum(parts.values())
    if cold > MILLION:
        raise ValueError(f"parts: {cold} parts per million for cold nodes: a defect of Plan, report it")
    parts[""] = MILLION - cold
    return parts


def express(form: Form, decisions: Decisions) -> Expression:
    """All clusters in one form.  It costs work for each endpoint: do it once for each form."""
    assignments: list[Assignment] = []
    splits: list[Split] = []
    left: list[NodeId] = []
    for name, told in decisions.clusters.items():
        if form in (Form.GENERIC, Form.WEIGHTS):
            kept = [d for d in told if d.open and not d.pool] if form is Form.GENERIC else _flat(told)
            nodes = {d.node for d in kept}
            left += [d.node for d in told if d.node not in nodes]
            assignments.append(_assignment(form, name, ((d, d.weight) for d in kept)))
            splits.append(Split(name, ((name, MILLION),)))
            continue
        parts, members = parts_of(told), _members(told)
        for pool in sorted(parts):
            assignments.append(_assignment(form, pool_name(name, pool), members.get(pool, ())))
        splits.append(Split(name, tuple((pool_name(name, p), parts[p]) for p in sorted(parts))))
    return Expression(form, tuple(assignments), tuple(splits), tuple(left))


def _members(told: Iterable[Decision]) -> dict[str, list[tuple[Decision, int]]]:
    """Who is in each pool, with the weight there; one that has left it is still listed."""
    members: dict[str, list[tuple[Decision, int]]] = {}
    for d in told:
        members.setdefault(d.pool, []).append((d, d.part_ppm if d.pool else d.weight))
        if d.left_pool and d.left_pool != d.pool:
            members.setdefault(d.left_pool, []).append((d, 1))
    return members


def _flat(told: tuple[Decision, ...]) -> list[Decision]:
    """Weights for one pool, in which each open node gets the part that was decided."""
    warm = sum(d.weight for d in told if not d.pool)
    rest = parts_of(told)[""]
    flat = []
    for d in told:
        part = d.part_ppm if d.pool else rest * d.weight // max(1, warm)
        if not d.pool or d.part_ppm:
            flat.append(replace(d, pool="", weight=part))
    return flat


def _assignment(form: Form, cluster: str, members: Iterable[tuple[Decision, int]]) -> Assignment:
    """Endpoints by locality and priority, in the order in which they were told."""
    places: dict[tuple[int, Locality], list[Placed]] = {}
    for d, weight in members:
        where = d.endpoint.locality
        if form is not Form.ENVOY:
            where = replace(where, sub_zone=sub_zone(d.node))
        placed = Placed(d.node, d.endpoint.host, d.endpoint.port, d.health, max(1, weight))
        places.setdefault((d.endpoint.priority, where), []).append(placed)
    ranks = {priority: rank for rank, priority in enumerate(sorted({p for p, _ in places}))}
    return Assignment(
        cluster,
        tuple(
            Place(where, ranks[priority], sum(e.weight for e in endpoints), tuple(endpoints))
            for (priority, where), endpoints in places.items()
        ),
        localities=form is not Form.ENVOY,
    )
