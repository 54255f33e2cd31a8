"""Pictures of several sources into one, by stated precedence, with what was in conflict."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType

from .model import Cluster, Endpoint, Lifecycle, Picture, group_key

# In this order a node's process goes; who says more of the way has heard later.
COURSE = {Lifecycle.UP: 0, Lifecycle.DRAINING: 1, Lifecycle.REMOVED: 2}
# What sources can contradict each other about.
CONTRADICTED = ("host", "port", "locality", "lifecycle", "health", "weight", "priority")


@dataclass(frozen=True, slots=True)
class Source:
    """One teller of a fleet; `name` is for people."""

    name: str
    picture: Picture


@dataclass(frozen=True, slots=True)
class Conflict:
    """Sources that contradict each other about one node: `said` is what each said, `chosen` whose counts.

    `about` is a field of `Endpoint`, or `started_ms` of its node.
    """

    cluster: str
    node: str
    about: str
    said: tuple[tuple[str, object], ...]
    chosen: str


@dataclass(frozen=True, slots=True)
class Merged:
    """The picture that counts, and what the sources did not agree on."""

    picture: Picture
    conflicts: tuple[Conflict, ...]


def merge(sources: Sequence[Source], generation: int, before: Picture | None = None) -> Merged:
    """All clusters and nodes that any source tells; sources that come first count first, but for two rules.

    1. The newest start of a node counts: an older one is of a process that has ended.
    2. Of one start, the word that is furthest on its way counts (up, draining, removed): a drain told by one
       source is told.
    All else of a node (address, weight, health, ...) is taken from the first source that tells that start,
    and so are lines about a node told twice.  Groups, drops and what the wire held of a cluster come from the
    first source that has any.

    `generation` is the caller's, as sources count their own.  Clusters equal to those of `before` are the
    same objects, so that the difference between two merges costs what changed.
    """
    conflicts: list[Conflict] = []
    clusters = {}
    for name in dict.fromkeys(name for source in sources for name in source.picture.clusters):
        told = [
            (source.name, source.picture.clusters[name])
            for source in sources
            if name in source.picture.clusters
        ]
        cluster = told[0][1] if len(told) == 1 else _cluster(name, told, conflicts)
        held = before.clusters.get(name) if before is not None else None
        clusters[name] = held if held is not None and held == cluster else cluster
    return Merged(Picture(generation, MappingProxyType(clusters)), tuple(conflicts))


def _cluster(name: str, told: Sequence[tuple[str, Cluster]], conflicts: list[Conflict]) -> Cluster:
    lines: dict[str, dict[str, list[Endpoint]]] = defaultdict(dict)  # by node, then by source
    for source, cluster in told:
        for endpoint in cluster.endpoints:
            lines[endpoint.node.name].setdefault(source, []).append(endpoint)
    endpoints: list[Endpoint] = []
    for node, by_source in lines.items():
        endpoints += (
            next(iter(by_source.values())) if len(by_source) == 1 else _node(name, node, by_source, conflicts)
        )
    groups = {group_key(group): group for _, cluster in reversed(told) for group in cluster.groups}
    ordered = dict.fromkeys(group_key(group) for _, cluster in told for group in cluster.groups)
    return Cluster(
        name,
        tuple(endpoints),
        tuple(groups[key] for key in ordered),
        next((cluster.drops for _, cluster in told if cluster.drops), ()),
        next((cluster.origin for _, cluster in told if cluster.origin is not None), None),
    )


def _node(
    cluster: str, node: str, said: Mapping[str, list[Endpoint]], conflicts: list[Conflict]
) -> list[Endpoint]:
    """The lines about one node that several sources tell."""
    starts = {source: max(line.node.started_ms for line in lines) for source, lines in said.items()}
    newest = max(starts.values())
    chosen = next(source for source, start in starts.items() if start == newest)
    if len(set(starts.values())) > 1:
        conflicts.append(Conflict(cluster, node, "started_ms", tuple(starts.items()), chosen))
    same = {
        source: [line for line in lines if line.node.started_ms == newest]
        for source, lines in said.items()
        if starts[source] == newest
    }
    furthest = {
        source: max((line.lifecycle for line in lines), key=COURSE.__getitem__)
        for source, lines in same.items()
    }
    word = max(furthest.values(), key=COURSE.__getitem__)
    for about in CONTRADICTED:
        values: dict[str, object] = {source: getattr(lines[0], about) for source, lines in same.items()}
        by = chosen
        if about == "lifecycle":
            values = dict(furthest)
            by = next(source for source, value in furthest.items() if value is word)
        if len(set(values.values())) > 1:
            conflicts.append(Conflict(cluster, node, about, tuple(values.items()), by))
    return [
        line if COURSE[line.lifecycle] >= COURSE[word] else replace(line, lifecycle=word)
        for line in same[chosen]
    ]
