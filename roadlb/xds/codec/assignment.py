"""A cluster's endpoints: `envoy.config.endpoint.v3.ClusterLoadAssignment` to and from the fleet's cluster.

A message is put together from the bytes of its endpoints, each encoded once: fields of a message may stand in
any order, and occurrences of a repeated field in different places are one list.  So a change of one endpoint
among n costs one encoding and n copies of some 100 bytes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from ...fleet.model import (
    Cluster,
    Drop,
    Endpoint,
    GroupKey,
    Locality,
    LocalityGroup,
    by_group,
    group_key,
    settled,
)
from . import plain, weights
from .endpoint import Surroundings, keeping, view, write_endpoint
from .protos import (
    ClusterLoadAssignment,
    CodecError,
    LbEndpoint,
    LocalityLbEndpoints,
    Wire,
    held,
    parsed,
    says,
)

# Tags of fields that hold messages: the field's number times 8, plus 2.
ENDPOINTS = bytes([2 << 3 | 2])  # ClusterLoadAssignment.endpoints
LB_ENDPOINTS = bytes([2 << 3 | 2])  # LocalityLbEndpoints.lb_endpoints
LISTED = bytes([7 << 3 | 2])  # LocalityLbEndpoints.load_balancer_endpoints
LISTED_ENDPOINTS = bytes([1 << 3 | 2])  # LocalityLbEndpoints.LbEndpointList.lb_endpoints
SCALE = "weight_scale"
MILLIONTHS = {0: 10_000, 1: 100, 2: 1}  # of a `FractionalPercent`, by its denominator


def read_assignment(data: bytes) -> Cluster:
    """The cluster that these bytes of a `ClusterLoadAssignment` tell; CodecError."""
    return view_assignment(parsed(ClusterLoadAssignment, data))


def view_assignment(message: Wire) -> Cluster:
    """The same of a message already parsed, from which the endpoints are taken out."""
    named = {name: message.named_endpoints[name] for name in message.named_endpoints}
    wire_groups, parts = list(message.endpoints), Counter[tuple[Locality, int]]()
    groups, lines = [], []
    for wire in wire_groups:
        at = read_locality(wire.locality), wire.priority
        around = Surroundings(*at, parts[at], read_scale(wire), named)
        parts[at] += 1
        lines += [(line, around, view(line, around)) for line in _lines(wire)]
        groups.append((wire, around))
    usual = usual_scale([seen for _, _, seen in lines])
    found = []
    for line, around, seen in lines:
        endpoint = keeping(seen, line, around)
        if around.scale != usual and not weights.exact(endpoint.weight, around.scale):
            # Off the usual scale a rounded weight would have it chosen anew.
            endpoint = replace(endpoint, origin=held(line))
        found.append(endpoint)
    same = all(around.scale == usual for _, around in groups)
    bare = tuple(_read_group(wire, around, same) for wire, around in groups)
    del message.endpoints[:]
    cluster = Cluster(message.cluster_name, tuple(found), bare, read_drops(message))
    origin = held(message)
    if not says(lambda: _head(cluster), origin):
        cluster = replace(cluster, origin=origin)
    return settled(cluster)


def _lines(wire: Wire) -> Iterable[Wire]:
    listed = wire.HasField("load_balancer_endpoints")
    lines: Iterable[Wire] = wire.load_balancer_endpoints.lb_endpoints if listed else wire.lb_endpoints
    return lines


def _read_group(wire: Wire, around: Surroundings, usual: bool) -> LocalityGroup:
    """A group by itself; its endpoints are taken out of `wire`.

    `usual`: all groups have the usual scale; otherwise each keeps what it held, to remember its own.
    """
    if wire.HasField("load_balancer_endpoints"):
        wire.load_balancer_endpoints.ClearField("lb_endpoints")
    else:
        wire.ClearField("lb_endpoints")
    weight = wire.load_balancing_weight.value if wire.HasField("load_balancing_weight") else None
    group, origin = LocalityGroup(around.locality, around.priority, around.part, weight), held(wire)
    if usual and says(lambda: _group_head(group, around.scale), origin):
        return group
    return replace(group, origin=origin)


def read_locality(wire: Wire) -> Locality:
    return Locality(wire.region, wire.zone, wire.sub_zone)


def write_locality(wire: Wire, where: Locality) -> None:
    wire.region, wire.zone, wire.sub_zone = where.region, where.zone, where.sub_zone


def read_scale(group: Wire) -> float:
    """What a weight of 1.0 is in this group; 1 in messages that others made."""
    scale = plain.read_own(group).get(SCALE)
    return scale if isinstance(scale, float) and 1e-12 <= scale <= 1e12 else 1.0


def read_drops(message: Wire) -> tuple[Drop, ...]:
    return tuple(
        Drop(
            drop.category,
            drop.drop_percentage.numerator * MILLIONTHS.get(drop.drop_percentage.denominator, 1),
        )
        for drop in message.policy.drop_overloads
    )


def usual_scale(endpoints: Iterable[Endpoint]) -> float:
    found = [endpoint.weight for endpoint in endpoints if endpoint.weight > 0]
    if max(found, default=0.0) > weights.WEIGHT_MOST:
        found = [min(weight, weights.WEIGHT_MOST) for weight in found]  # not written, but read
    return weights.usual_scale(found)


def _head(cluster: Cluster) -> bytes:
    """The message without its endpoints."""
    message = parsed(ClusterLoadAssignment, cluster.origin)
    if not cluster.name and cluster.origin is None:
        raise CodecError("a cluster without a name: give it one")
    if message.cluster_name != cluster.name:
        message.cluster_name = cluster.name
    was = read_drops(message)
    if was != cluster.drops:
        drops = message.policy.drop_overloads
        for i, drop in enumerate(cluster.drops):
            wire = drops[i] if i < len(drops) else drops.add()
            if i >= len(was) or was[i] != drop:
                _write_drop(wire, drop)
        del drops[len(cluster.drops) :]
    return held(message)


def _write_drop(wire: Wire, drop: Drop) -> None:
    if not drop.category or not 0 <= drop.millionths <= 1_000_000:
        raise CodecError(
            f"drops {drop.millionths} millionths for {drop.category!r}: give a category and 0 to 1000000"
        )
    wire.category = drop.category
    wire.drop_percentage.numerator, wire.drop_percentage.denominator = drop.millionths, 2


def _group_head(group: LocalityGroup, scale: float) -> bytes:
    """A group without its endpoints."""
    message = parsed(LocalityLbEndpoints, group.origin)
    if read_locality(message.locality) != group.locality:
        write_locality(message.locality, group.locality)
    if message.priority != group.priority:
        if not 0 <= group.priority <= 128:
            raise CodecError(f"priority {group.priority}: must be 0 to 128")
        message.priority = group.priority
    weight = message.load_balancing_weight.value if message.HasField("load_balancing_weight") else None
    if weight != group.weight:
        if group.weight is None:
            message.ClearField("load_balancing_weight")
        elif 1 <= group.weight <= weights.SUM_MOST:
            message.load_balancing_weight.value = group.weight
        else:
            raise CodecError(f"{group.locality}: weight {group.weight}: must be 1 to {weights.SUM_MOST}")
    if read_scale(message) != scale:
        plain.write_own(message, SCALE, scale if scale != 1 else None)
    return held(message)


def field_of(tag: bytes, data: bytes) -> bytes:
    """One occurrence of a field that holds a message."""
    size, length = len(data), bytearray()
    while size > 127:
        length.append(size & 127 | 128)
        size >>= 7
    length.append(size)
    return tag + length + data


@dataclass(slots=True)
class _Lines:
    """The encoded endpoints of one group.  The objects are held, so that no other gets the id of one."""

    around: Surroundings
    scale: float
    tag: bytes
    origins: tuple[bytes | None, bytes | None]
    endpoints: list[Endpoint] = field(default_factory=list)
    lines: list[bytes] = field(default_factory=list)

    def write(self, endpoints: list[Endpoint]) -> bytes:
        if len(endpoints) == len(self.endpoints):
            # The commonest change; going through identities alone costs a tenth of the way below.
            lines = self.lines
            for i, (before, endpoint) in enumerate(zip(self.endpoints, endpoints, strict=True)):
                if before is not endpoint:
                    lines[i] = self._line(endpoint)
        else:
            known = {id(endpoint): line for endpoint, line in zip(self.endpoints, self.lines, strict=True)}
            lines = [known.get(id(endpoint)) or self._line(endpoint) for endpoint in endpoints]
        self.endpoints, self.lines = endpoints, lines
        return b"".join(lines)

    def _line(self, endpoint: Endpoint) -> bytes:
        return field_of(self.tag, write_endpoint(endpoint, self.around, self.scale))


class AssignmentWriter:
    """Writes successive states of one cluster; endpoints that are the same objects are encoded once."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, _Lines] = {}

    def write(self, cluster: Cluster, scale: float | None = None) -> bytes:
        """The bytes of the `ClusterLoadAssignment`; CodecError names what cannot be said.

        `scale`: what a weight of 1.0 is on the wire, such as 1.0 for a plan whose weights are whole numbers
        already; None: the one that it came with, or the usual one.
        """
        try:
            return self._write(cluster, scale)
        except CodecError as e:
            raise CodecError(f"cluster {cluster.name!r}: {e}") from e

    def _write(self, cluster: Cluster, scale: float | None) -> bytes:
        members, head = by_group(cluster), _head(cluster)
        listed = {group_key(group): group for group in cluster.groups}
        named = parsed(ClusterLoadAssignment, cluster.origin).named_endpoints if cluster.origin else {}
        heads = {key: listed.get(key) or LocalityGroup(*key) for key in members}
        messages = {key: parsed(LocalityLbEndpoints, group.origin) for key, group in heads.items()}
        came_with = {key: read_scale(message) for key, message in messages.items()}
        scales = (
            choose_scales(members, heads, came_with, named)
            if scale is None
            else dict.fromkeys(members, scale)
        )
        before, self._groups = self._groups, {}
        out = [head]
        for key, endpoints in members.items():
            group, wire = heads[key], messages[key]
            origins = cluster.origin, group.origin
            lines, inside = before.get(key), wire.HasField("load_balancer_endpoints")
            if lines is None or lines.scale != scales[key] or lines.origins != origins:
                came = came_with[key] if group.origin is not None else scales[key]
                around = Surroundings(*key, came, named)
                lines = _Lines(around, scales[key], LISTED_ENDPOINTS if inside else LB_ENDPOINTS, origins)
            body = lines.write(endpoints)
            if inside and body:
                body = field_of(LISTED, body)
            out.append(field_of(ENDPOINTS, _group_head(group, scales[key]) + body))
            self._groups[key] = lines
        return b"".join(out)


def choose_scales(
    members: Mapping[GroupKey, list[Endpoint]],
    groups: Mapping[GroupKey, LocalityGroup],
    held_scales: Mapping[GroupKey, float],
    named: Mapping[str, Wire],
) -> dict[GroupKey, float]:
    """The scale of each group: the one that it came with if that still says all weights, else the usual one.

    Weights of all groups of a cluster are held against each other, so one that changes changes all.
    """
    came = {key: held_scales[key] for key, group in groups.items() if group.origin is not None}
    common = set(came.values())
    if len(common) == 1:
        came = dict.fromkeys(groups, common.pop())
    if all(key in came for key in groups) and all(
        _said(endpoint, Surroundings(*key, came[key], named))
        for key, endpoints in members.items()
        for endpoint in endpoints
    ):
        return came
    return dict.fromkeys(groups, usual_scale(e for endpoints in members.values() for e in endpoints))


def _said(endpoint: Endpoint, around: Surroundings) -> bool:
    """Whether this scale says the weight: exactly, or as it came."""
    if endpoint.weight == 0 or weights.exact(endpoint.weight, around.scale):
        return True
    return (
        endpoint.origin is not None
        and view(parsed(LbEndpoint, endpoint.origin), around).weight == endpoint.weight
    )


def write_assignment(cluster: Cluster, scale: float | None = None) -> bytes:
    """The bytes of one state of a cluster; see `AssignmentWriter.write`."""
    return AssignmentWriter().write(cluster, scale)
