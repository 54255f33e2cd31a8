"""Clusters, localities and endpoints: what discovery, xDS and files all come down to.

Immutable; a change makes a new picture with a higher generation.  A node is its id and its start, never its
address: an address is where it is.  Times are Unix milliseconds, as discovery tells them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType


class Lifecycle(Enum):
    """What discovery says of a node's process."""

    UP = "up"
    DRAINING = "draining"      # finishes what it has, wants nothing new
    REMOVED = "removed"


class Health(Enum):
    """What is believed of a node, in the terms of xDS (`envoy.config.core.v3.HealthStatus`)."""

    UNKNOWN = 0
    HEALTHY = 1
    UNHEALTHY = 2
    DRAINING = 3
    TIMEOUT = 4
    DEGRADED = 5


@dataclass(frozen=True, slots=True, order=True)
class NodeId:
    """Who a node is: its name and its last start (0: long ago).  Restarted, it is another of that name."""

    name: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True, order=True)
class Locality:
    """Where nodes stand together: our halls are zones."""

    region: str = ""
    zone: str = ""
    sub_zone: str = ""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One node of a cluster.

    `weight` is relative within the cluster, 0 takes no work; `priority` 0 comes first; `machine` and `cell`
    are the platform's machine type and cell.
    """

    node: NodeId
    host: str
    port: int
    locality: Locality = Locality()
    lifecycle: Lifecycle = Lifecycle.UP
    health: Health = Health.UNKNOWN
    weight: float = 1.0
    priority: int = 0
    machine: str = ""
    cell: int = 0


@dataclass(frozen=True, slots=True)
class Cluster:
    """A named set of endpoints, in the order in which they were told.

    The same node may be told twice, with different health: which word counts is `checks`' matter, not that of
    the data, so that nothing is lost on the way through.
    """

    name: str
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Picture:
    """All clusters at one generation; a higher one is newer, and nothing goes back."""

    generation: int
    clusters: Mapping[str, Cluster] = field(default_factory=lambda: MappingProxyType({}))
