"""What differs between two pictures, by identity of clusters and nodes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .model import Cluster, Endpoint, NodeId, Picture


@dataclass(frozen=True, slots=True)
class ClusterChange:
    """One cluster that is in both pictures and differs.

    `changed` are pairs of old and new of one node and start.  A restarted node is removed and added.
    `frame`: groups, drops, the endpoints' order or what the wire held of the cluster differ.
    """

    name: str
    added: tuple[Endpoint, ...] = ()
    removed: tuple[Endpoint, ...] = ()
    changed: tuple[tuple[Endpoint, Endpoint], ...] = ()
    frame: bool = False

    def restarted(self) -> tuple[tuple[Endpoint, Endpoint], ...]:
        """Pairs of old and new whose node has the same name and another start."""
        old = {endpoint.node.name: endpoint for endpoint in self.removed}
        return tuple(
            (old[endpoint.node.name], endpoint) for endpoint in self.added if endpoint.node.name in old
        )


@dataclass(frozen=True, slots=True)
class Changes:
    """From one picture to another: whole clusters added and removed, and those that differ."""

    before: int  # generations
    after: int
    added: tuple[Cluster, ...] = ()
    removed: tuple[Cluster, ...] = ()
    changed: tuple[ClusterChange, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed)


def changes(old: Picture, new: Picture) -> Changes:
    """What differs.  A cluster that both pictures hold as one object costs one comparison of references."""
    added, removed, changed = [], [], []
    if old.clusters is not new.clusters:
        for name, cluster in new.clusters.items():
            held = old.clusters.get(name)
            if held is None:
                added.append(cluster)
            elif held is not cluster and (change := cluster_change(held, cluster)) is not None:
                changed.append(change)
        removed = [cluster for name, cluster in old.clusters.items() if name not in new.clusters]
    return Changes(old.generation, new.generation, tuple(added), tuple(removed), tuple(changed))


def cluster_change(old: Cluster, new: Cluster) -> ClusterChange | None:
    """What differs between two states of one cluster; None: nothing.

    A node told twice is compared place by place among the lines about it.
    """
    frame = (old.groups, old.drops, old.origin) != (new.groups, new.drops, new.origin)
    if old.endpoints is new.endpoints:
        return ClusterChange(new.name, frame=True) if frame else None
    if len(old.endpoints) == len(new.endpoints):
        # The commonest change: some endpoints are other ones, each at its place.
        pairs = [(a, b) for a, b in zip(old.endpoints, new.endpoints, strict=True) if a is not b and a != b]
        if all(a.node == b.node for a, b in pairs):
            return ClusterChange(new.name, changed=tuple(pairs), frame=frame) if pairs or frame else None
    added, removed, changed = _by_node(old.endpoints, new.endpoints)
    if not frame:
        frame = _order(old.endpoints, new.endpoints) != _order(new.endpoints, old.endpoints)
    if not (added or removed or changed or frame):
        return None
    return ClusterChange(new.name, tuple(added), tuple(removed), tuple(changed), frame)


def _order(of: Iterable[Endpoint], among: Iterable[Endpoint]) -> list[NodeId]:
    """The nodes of one list, in its order, as far as they are in the other."""
    known = {endpoint.node for endpoint in among}
    return list(dict.fromkeys(endpoint.node for endpoint in of if endpoint.node in known))


def _by_node(
    old: Iterable[Endpoint], new: Iterable[Endpoint]
) -> tuple[list[Endpoint], list[Endpoint], list[tuple[Endpoint, Endpoint]]]:
    held: defaultdict[NodeId, list[Endpoint]] = defaultdict(list)
    for endpoint in old:
        held[endpoint.node].append(endpoint)
    turns: dict[NodeId, Iterator[Endpoint]] = {node: iter(lines) for node, lines in held.items()}
    added, changed = [], []
    for endpoint in new:
        before = next(turns.get(endpoint.node, iter(())), None)
        if before is None:
            added.append(endpoint)
        elif before is not endpoint and before != endpoint:
            changed.append((before, endpoint))
    return added, [endpoint for rest in turns.values() for endpoint in rest], changed
