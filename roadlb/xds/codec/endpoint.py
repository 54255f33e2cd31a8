"""One endpoint: `envoy.config.endpoint.v3.LbEndpoint` to and from the fleet's.

What the wire has no field for (id, start, lifecycle, machine, cell, and weight or health where the wire's own
field must say less) is told as metadata in the namespace `roadlb`, as far as it is not the default.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from ...fleet.model import NO_METADATA, OPEN, Endpoint, Health, Lifecycle, Locality, NodeId, Place, Plain
from . import plain, weights
from .protos import CodecError, LbEndpoint, Wire, WireEndpoint, held, parsed, says

HEALTH = {health.value: health for health in Health}
HEALTH_BY_NAME = {health.name: health for health in Health}
LIFECYCLE = {lifecycle.value: lifecycle for lifecycle in Lifecycle}


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What of an endpoint stands around its message: its group, the group's scale, the endpoints by name."""

    locality: Locality = Locality()
    priority: int = 0
    part: int = 0
    scale: float = 1.0
    named: Mapping[str, Wire] = field(default_factory=dict)


def read_place(address: Wire) -> Place:
    """An `Address`; what is neither socket, pipe nor internal listener has no host."""
    kind = address.WhichOneof("address")
    if kind == "socket_address":
        return Place(address.socket_address.address, address.socket_address.port_value)
    if kind == "pipe":
        return Place(f"unix:{address.pipe.path}", 0)
    if kind == "envoy_internal_address":
        return Place(f"internal:{address.envoy_internal_address.server_listener_name}", 0)
    return Place("", 0)


def _local(host: str, port: int) -> tuple[str, str]:
    """Scheme and path or name of what is no host and port; two empty texts for one that is."""
    scheme, _, rest = host.partition(":")
    return (scheme, rest) if port == 0 and scheme in ("unix", "internal") and rest else ("", "")


def can_be_written(host: str, port: int) -> bool:
    """Has it a host and a port, or a path or name instead of both?"""
    return bool(host) and 0 < port <= 65535 or _local(host, port) != ("", "")


def write_place(address: Wire, place: Place) -> None:
    """Make `address` say this; a field beside host and port stays if the kind does."""
    scheme, rest = _local(place.host, place.port)
    if scheme:
        if scheme == "unix":
            address.pipe.path = rest
        else:
            address.envoy_internal_address.server_listener_name = rest
        return
    if not can_be_written(place.host, place.port):
        raise CodecError(f"address {place.host!r}, port {place.port}: must be a host and 1 to 65535")
    address.socket_address.address = place.host
    address.socket_address.port_value = place.port


def wire_health(lifecycle: Lifecycle, health: Health, weight: float) -> Health:
    """What clients are told: one who is to get nothing new is DRAINING there, whatever its health.

    The wire knows neither lifecycles nor a weight of 0 (a weight is at least 1).
    """
    closed = lifecycle is not Lifecycle.UP or weight == 0
    return Health.DRAINING if closed and health in OPEN else health


def target(message: Wire, named: Mapping[str, Wire]) -> Wire:
    """The `Endpoint` that an `LbEndpoint` has or names; an empty one if it does neither."""
    if message.WhichOneof("host_identifier") == "endpoint_name":
        return named[message.endpoint_name] if message.endpoint_name in named else WireEndpoint()
    return message.endpoint


def usual_name(message: Wire, place: Place) -> str:
    """The id of an endpoint of which no id is told: the name by which it is referred to, or its address."""
    if message.WhichOneof("host_identifier") == "endpoint_name":
        return str(message.endpoint_name)
    return f"{place.host}:{place.port}" if place.port else place.host


def view(message: Wire, around: Surroundings) -> Endpoint:
    """The fleet's view of an `LbEndpoint`, without what the view leaves out."""
    at = target(message, around.named)
    place, own = read_place(at.address), plain.read_own(message)
    name = own.get("node")
    lifecycle = LIFECYCLE.get(str(own.get("lifecycle")), Lifecycle.UP)
    sent = message.load_balancing_weight.value if message.HasField("load_balancing_weight") else 1
    weight, told = sent / around.scale, own.get("weight")
    if isinstance(told, float) and 0 <= told <= weights.WEIGHT_MOST:
        if weights.on_the_wire(told, around.scale) == sent:  # or somebody changed the wire's since
            weight = told
    health = HEALTH.get(message.health_status, Health.UNKNOWN)
    meant = HEALTH_BY_NAME.get(str(own.get("health")), health)
    if wire_health(lifecycle, meant, weight) is health:
        health = meant
    return Endpoint(
        NodeId(
            name if isinstance(name, str) and name else usual_name(message, place),
            plain.whole(own.get("started_ms")),
        ),
        place.host,
        place.port,
        around.locality,
        lifecycle,
        health,
        weight,
        around.priority,
        machine=text(own.get("machine")),
        cell=plain.whole(own.get("cell")),
        hostname=at.hostname,
        additional=tuple(read_place(more.address) for more in at.additional_addresses),
        metadata=plain.read_metadata(message.metadata) if message.HasField("metadata") else NO_METADATA,
        part=around.part,
    )


def text(value: Plain) -> str:
    return value if isinstance(value, str) else ""


def keeping(found: Endpoint, message: Wire, around: Surroundings) -> Endpoint:
    """The view of a message, with the message's bytes if the view alone would not give them back."""
    data = held(message)
    if not says(lambda: write_endpoint(found, around, around.scale), data):
        return replace(found, origin=data)
    return found


def write_endpoint(endpoint: Endpoint, around: Surroundings, scale: float) -> bytes:
    """The bytes of an `LbEndpoint`: what the wire held, changed where the fleet's view has changed.

    `around` is what surrounded the bytes held, `scale` the one to write with.
    """
    try:
        if endpoint.origin is None:
            return held(_fresh(endpoint, scale))
        message = parsed(LbEndpoint, endpoint.origin)
        was = view(message, around)
        if scale == around.scale and was == replace(endpoint, origin=None):
            return endpoint.origin
        _change(message, was, endpoint, around, scale)
        return held(message)
    except (CodecError, ValueError, TypeError) as e:
        raise CodecError(f"endpoint {endpoint.node.name!r}: {e}") from e


def told(endpoint: Endpoint, usual: str, scale: float) -> dict[str, Plain]:
    """What our own metadata is to say of an endpoint; None where the wire or the default says it."""
    shown = wire_health(endpoint.lifecycle, endpoint.health, endpoint.weight)
    return {
        "node": endpoint.node.name if endpoint.node.name not in ("", usual) else None,
        "started_ms": plain.of_whole(endpoint.node.started_ms) if endpoint.node.started_ms else None,
        "lifecycle": endpoint.lifecycle.value if endpoint.lifecycle is not Lifecycle.UP else None,
        "machine": endpoint.machine or None,
        "cell": plain.of_whole(endpoint.cell) if endpoint.cell else None,
        "weight": endpoint.weight if not weights.exact(endpoint.weight, scale) else None,
        "health": endpoint.health.name if endpoint.health is not shown else None,
    }


def _fresh(endpoint: Endpoint, scale: float) -> Wire:
    message, place = LbEndpoint(), Place(endpoint.host, endpoint.port)
    write_place(message.endpoint.address, place)
    if endpoint.hostname:
        message.endpoint.hostname = endpoint.hostname
    for more in endpoint.additional:
        write_place(message.endpoint.additional_addresses.add().address, more)
    message.load_balancing_weight.value = weights.on_the_wire(endpoint.weight, scale)
    message.health_status = wire_health(endpoint.lifecycle, endpoint.health, endpoint.weight).value
    if endpoint.metadata:
        plain.write_metadata(message, NO_METADATA, endpoint.metadata)
    own = {k: v for k, v in told(endpoint, usual_name(message, place), scale).items() if v is not None}
    if own:
        plain.write_struct(message.metadata.filter_metadata[plain.OWN], own)
    return message


def _change(message: Wire, was: Endpoint, endpoint: Endpoint, around: Surroundings, scale: float) -> None:
    """Bring a message from the view that it gives to this one, touching nothing else."""
    _change_target(message, was, endpoint, around.named)
    if endpoint.weight != was.weight or scale != around.scale:
        plain.write_own(message, "weight", None)
        sent = weights.on_the_wire(endpoint.weight, scale)
        if sent != 1 or message.HasField("load_balancing_weight"):
            message.load_balancing_weight.value = sent
    if (endpoint.lifecycle, endpoint.health, endpoint.weight == 0) != (
        was.lifecycle,
        was.health,
        was.weight == 0,
    ):
        plain.write_own(message, "health", None)
        message.health_status = wire_health(endpoint.lifecycle, endpoint.health, endpoint.weight).value
    if endpoint.metadata != was.metadata:
        plain.write_metadata(message, was.metadata, endpoint.metadata)
    usual = usual_name(message, read_place(target(message, around.named).address))
    now = view(message, replace(around, scale=scale))
    for key, value in told(endpoint, usual, scale).items():
        if READ[key](now) != READ[key](endpoint):
            plain.write_own(message, key, value)


READ: Mapping[str, Callable[[Endpoint], object]] = {
    "node": lambda e: e.node.name,
    "started_ms": lambda e: e.node.started_ms,
    "lifecycle": lambda e: e.lifecycle,
    "machine": lambda e: e.machine,
    "cell": lambda e: e.cell,
    "weight": lambda e: e.weight,
    "health": lambda e: e.health,
}


def _change_target(message: Wire, was: Endpoint, endpoint: Endpoint, named: Mapping[str, Wire]) -> None:
    """Address, hostname and further addresses; a reference by name gives way to a copy with the change."""
    place = Place(endpoint.host, endpoint.port)
    if (place, endpoint.hostname, endpoint.additional) == (
        Place(was.host, was.port),
        was.hostname,
        was.additional,
    ):
        return
    if message.WhichOneof("host_identifier") == "endpoint_name":
        message.endpoint.CopyFrom(target(message, named))
    at = message.endpoint
    if place != Place(was.host, was.port):
        write_place(at.address, place)
    at.hostname = endpoint.hostname
    for i, more in enumerate(endpoint.additional):
        if i == len(at.additional_addresses):
            at.additional_addresses.add()
        if read_place(at.additional_addresses[i].address) != more:
            write_place(at.additional_addresses[i].address, more)
    del at.additional_addresses[len(endpoint.additional) :]
