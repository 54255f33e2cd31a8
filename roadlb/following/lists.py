"""The list of a version in discovery's form, as differences where that is less: for `ServerDiscovery`."""

from __future__ import annotations

from dataclasses import replace

from ..fleet.diff import cluster_change
from ..fleet.model import Cluster, Endpoint, Health, Lifecycle
from ..fleet.platform import write_delta, write_whole

CLOSED = frozenset({Health.DRAINING, Health.UNHEALTHY, Health.TIMEOUT})


class Lists:
    """Successive states of one cluster."""

    def __init__(self) -> None:
        self._told: Cluster | None = None
        self._generation = 0

    def take(self, cluster: Cluster, whole: bool = False) -> dict[str, object] | None:
        """What to tell; None if nothing has changed.  `whole`: all of it, whatever was told."""
        before = None if whole else self._told
        now = replace(cluster, endpoints=tuple(map(plainly, cluster.endpoints)))
        if before is None:
            self._told, self._generation = now, self._generation + 1
            return write_whole(now, self._generation)
        change = cluster_change(before, now)
        self._told = now
        if change is None or not (change.added or change.removed or change.changed):
            return None
        self._generation += 1
        return write_delta(change, self._generation)


def plainly(endpoint: Endpoint) -> Endpoint:
    """Discovery's form has no health: who is told unfit gets nothing new."""
    if endpoint.lifecycle is Lifecycle.UP and endpoint.health in CLOSED:
        return replace(endpoint, lifecycle=Lifecycle.DRAINING)
    return endpoint
