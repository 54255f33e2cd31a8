"""Clusters, localities and endpoints: what discovery, xDS and files all come down to.

Immutable; a change makes a new picture with a higher generation.  A node is its id and its start, never its
address: an address is where it is.  Times are Unix milliseconds, as discovery tells them.

`origin` on endpoint, group and cluster is what the wire held beyond the other fields: opaque bytes that only
`xds/codec` reads, None where the other fields say all.  Whoever changes a field leaves `origin` as it is
(`dataclasses.replace` does so), and what nobody here understands comes out again as it came in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from types import MappingProxyType
from typing import TypeAlias

# What metadata is made of, as in JSON; sequences are tuples, numbers are floats as in protobuf's Struct.
Plain: TypeAlias = "None | bool | float | str | tuple[Plain, ...] | Mapping[str, Plain]"


class Lifecycle(Enum):
    """What discovery says of a node's process."""

    UP = "up"
    DRAINING = "draining"  # finishes what it has, wants nothing new
    REMOVED = "removed"


class Health(Enum):
    """What is believed of a node, in the terms of xDS (`envoy.config.core.v3.HealthStatus`)."""

    UNKNOWN = 0
    HEALTHY = 1
    UNHEALTHY = 2
    DRAINING = 3
    TIMEOUT = 4
    DEGRADED = 5


OPEN = frozenset({Health.UNKNOWN, Health.HEALTHY, Health.DEGRADED})  # may be sent new work


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


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """An address: a host (no brackets round IPv6) and a port; or `unix:PATH`, `internal:NAME` and port 0."""

    host: str
    port: int


NO_METADATA: Mapping[str, Mapping[str, Plain]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One node of a cluster.

    `weight` is relative within the cluster, 0 takes no work; `priority` 0 comes first; `machine` and `cell`
    are the platform's machine type and cell.  `additional` are further addresses of the same node, `metadata`
    plain data by namespace.  `part` tells apart several groups of one locality and priority (0: the first).
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
    hostname: str = ""
    additional: tuple[Place, ...] = ()
    metadata: Mapping[str, Mapping[str, Plain]] = field(default_factory=lambda: NO_METADATA, hash=False)
    part: int = 0
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class LocalityGroup:
    """The endpoints of one locality and priority, as far as something is told of them together.

    `weight`: the locality's share among those of its priority, a whole number (None: not told).  A group
    without endpoints is one that stands empty.
    """

    locality: Locality = Locality()
    priority: int = 0
    part: int = 0
    weight: int | None = None
    origin: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Drop:
    """A share of requests, in parts of a million, that clients are to turn away: for `category`."""

    category: str
    millionths: int


@dataclass(frozen=True, slots=True)
class Cluster:
    """A named set of endpoints, in the order in which they were told.

    The same node may be told twice, with different health: which word counts is `checks`' matter, not that of
    the data, so that nothing is lost on the way through.  `groups` need only hold those of which something is
    told beyond their endpoints, or whose order matters; `drops` are applied in turn.
    """

    name: str
    endpoints: tuple[Endpoint, ...] = ()
    groups: tuple[LocalityGroup, ...] = ()
    drops: tuple[Drop, ...] = ()
    origin: bytes | None = field(default=None, repr=False)


GroupKey: TypeAlias = tuple[Locality, int, int]


def group_key(item: Endpoint | LocalityGroup) -> GroupKey:
    """Locality, priority and part: what endpoints of one group have in common."""
    return item.locality, item.priority, item.part


def settled(cluster: Cluster) -> Cluster:
    """The same with endpoints by group, and groups listed only if something is told of one of them.

    This is the form in which a cluster comes back from the wire, which has no order across groups.
    """
    members = by_group(cluster)
    groups = cluster.groups
    listed = {group_key(group) for group in groups}
    if all(g.weight is None and g.origin is None and members[group_key(g)] for g in groups):
        groups = ()
    elif len(listed) < len(members):
        groups += tuple(LocalityGroup(*key) for key in members if key not in listed)
    endpoints = tuple(endpoint for lines in members.values() for endpoint in lines)
    return replace(cluster, endpoints=endpoints, groups=groups)


def by_group(cluster: Cluster) -> dict[GroupKey, list[Endpoint]]:
    """The endpoints of each group: groups as listed, then as endpoints first name them; order is kept."""
    found: dict[GroupKey, list[Endpoint]] = {group_key(group): [] for group in cluster.groups}
    last, members = None, list[Endpoint]()
    for endpoint in cluster.endpoints:
        # Neighbours mostly share one group and one object for it: of 10,000 endpoints that saves 8 of 9 ms.
        if (
            last is None
            or endpoint.locality is not last.locality
            or endpoint.priority != last.priority
            or endpoint.part != last.part
        ):
            last, members = endpoint, found.setdefault(group_key(endpoint), [])
        members.append(endpoint)
    return found


@dataclass(frozen=True, slots=True)
class Picture:
    """All clusters at one generation; a higher one is newer, and nothing goes back."""

    generation: int
    clusters: Mapping[str, Cluster] = field(default_factory=lambda: MappingProxyType({}))
