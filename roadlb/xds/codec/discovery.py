"""What is said on a stream: the messages of `envoy.service.discovery.v3` to and from the plain dataclasses.

Responses are put together from the resources' bytes, which are encoded once for all streams (`assignment`).
Left out: resource locators, details of errors, a server's own name.
"""

from __future__ import annotations

from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryRequest, DeltaDiscoveryResponse
from envoy.service.discovery.v3.discovery_pb2 import DiscoveryRequest as WireRequest
from envoy.service.discovery.v3.discovery_pb2 import DiscoveryResponse as WireResponse
from envoy.service.discovery.v3.discovery_pb2 import Resource as WireResource

from ..messages import (
    DeltaRequest,
    DeltaResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    ErrorDetail,
    Node,
)
from ..resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, Resource
from ...fleet.platform import plain as to_plain
from . import plain
from .assignment import field_of, read_locality, write_locality
from .protos import (
    ClusterLoadAssignment,
    RouteConfiguration,
    Wire,
    WireCluster,
    WireListener,
    held,
    parsed,
)
from .shape import microseconds, put_microseconds

WRAPPER = "type.googleapis.com/envoy.service.discovery.v3.Resource"
NAMES = {
    CLUSTER: (WireCluster, "name"),
    ENDPOINTS: (ClusterLoadAssignment, "cluster_name"),
    LISTENER: (WireListener, "name"),
    ROUTE: (RouteConfiguration, "name"),
}
TYPE_URL, VALUE = bytes([1 << 3 | 2]), bytes([2 << 3 | 2])  # tags of `google.protobuf.Any`
RESOURCES = bytes([2 << 3 | 2])  # tag in both kinds of response
RESOURCE = bytes([2 << 3 | 2])  # tag of `Resource.resource`


# ---- requests


def read_request(data: bytes) -> DiscoveryRequest:
    """State of the world; CodecError for bytes that are no such message."""
    wire = parsed(WireRequest, data)
    return DiscoveryRequest(
        wire.type_url,
        tuple(wire.resource_names),
        wire.version_info,
        wire.response_nonce,
        _read_error(wire),
        _read_node(wire),
    )


def write_request(request: DiscoveryRequest) -> bytes:
    wire = WireRequest(
        type_url=request.type_url,
        resource_names=request.resource_names,
        version_info=request.version_info,
        response_nonce=request.response_nonce,
    )
    return _written(wire, request)


def read_delta_request(data: bytes) -> DeltaRequest:
    """Incremental; CodecError for bytes that are no such message."""
    wire = parsed(DeltaDiscoveryRequest, data)
    return DeltaRequest(
        wire.type_url,
        tuple(wire.resource_names_subscribe),
        tuple(wire.resource_names_unsubscribe),
        dict(wire.initial_resource_versions),
        wire.response_nonce,
        _read_error(wire),
        _read_node(wire),
    )


def write_delta_request(request: DeltaRequest) -> bytes:
    wire = DeltaDiscoveryRequest(
        type_url=request.type_url,
        resource_names_subscribe=request.resource_names_subscribe,
        resource_names_unsubscribe=request.resource_names_unsubscribe,
        initial_resource_versions=request.initial_resource_versions,
        response_nonce=request.response_nonce,
    )
    return _written(wire, request)


def _written(wire: Wire, request: DiscoveryRequest | DeltaRequest) -> bytes:
    if request.error_detail is not None:
        wire.error_detail.SetInParent()
        wire.error_detail.code = request.error_detail.code
        wire.error_detail.message = request.error_detail.message
    if request.node is not None:
        _write_node(wire.node, request.node)
    return held(wire)


def _read_error(wire: Wire) -> ErrorDetail | None:
    found = wire.error_detail
    return ErrorDetail(found.code, found.message) if wire.HasField("error_detail") else None


def _read_node(wire: Wire) -> Node | None:
    if not wire.HasField("node"):
        return None
    node = wire.node
    version = node.user_agent_version
    if node.WhichOneof("user_agent_version_type") == "user_agent_build_version":
        number = node.user_agent_build_version.version
        version = f"{number.major_number}.{number.minor_number}.{number.patch}"
    return Node(
        node.id,
        node.cluster,
        plain.read_struct(node.metadata),
        read_locality(node.locality),
        node.user_agent_name,
        version,
        tuple(node.client_features),
    )


def _write_node(wire: Wire, node: Node) -> None:
    wire.SetInParent()
    wire.id, wire.cluster, wire.user_agent_name = node.id, node.cluster, node.user_agent_name
    if node.user_agent_version:
        wire.user_agent_version = node.user_agent_version
    if node.metadata:
        for key, value in node.metadata.items():
            plain.write_value(wire.metadata.fields[key], to_plain(value))
    where = node.locality
    if where.region or where.zone or where.sub_zone:
        write_locality(wire.locality, where)
    wire.client_features.extend(node.client_features)


# ---- responses


def write_response(response: DiscoveryResponse) -> bytes:
    """State of the world: resources bare, those with a TTL in their wrapper."""
    head = held(
        WireResponse(version_info=response.version_info, type_url=response.type_url, nonce=response.nonce)
    )
    packed = (
        _any(one.type_url, one.body) if one.ttl_us is None else _any(WRAPPER, _wrapped(one))
        for one in response.resources
    )
    return head + b"".join(field_of(RESOURCES, one) for one in packed)


def write_delta_response(response: DeltaResponse) -> bytes:
    """Incremental: each resource with its name and version."""
    head = held(
        DeltaDiscoveryResponse(
            system_version_info=response.system_version_info,
            type_url=response.type_url,
            nonce=response.nonce,
            removed_resources=response.removed_resources,
        )
    )
    return head + b"".join(field_of(RESOURCES, _wrapped(one)) for one in response.resources)


def _any(type_url: str, body: bytes) -> bytes:
    return field_of(TYPE_URL, type_url.encode()) + field_of(VALUE, body)


def _wrapped(resource: Resource) -> bytes:
    """A `Resource`; one without a body is a heartbeat and holds no message."""
    wire = WireResource(name=resource.name, version=resource.version)
    if resource.ttl_us is not None:
        put_microseconds("ttl")(wire, resource.ttl_us, None)
    body = field_of(RESOURCE, _any(resource.type_url, resource.body)) if resource.body else b""
    return held(wire) + body


def read_response(data: bytes) -> DiscoveryResponse:
    """State of the world; a bare resource has the response's version, and the name that its body tells."""
    wire = parsed(WireResponse, data)
    found = []
    for packed in wire.resources:
        if packed.type_url == WRAPPER:
            found.append(_unwrapped(parsed(WireResource, packed.value), wire.type_url))
        else:
            found.append(
                Resource(
                    packed.type_url, name_of(packed.type_url, packed.value), wire.version_info, packed.value
                )
            )
    return DiscoveryResponse(wire.type_url, wire.version_info, wire.nonce, tuple(found))


def read_delta_response(data: bytes) -> DeltaResponse:
    """Incremental; CodecError for bytes that are no such message."""
    wire = parsed(DeltaDiscoveryResponse, data)
    return DeltaResponse(
        wire.type_url,
        wire.system_version_info,
        wire.nonce,
        tuple(_unwrapped(one, wire.type_url) for one in wire.resources),
        tuple(wire.removed_resources),
    )


def _unwrapped(wire: Wire, type_url: str) -> Resource:
    packed = wire.resource
    return Resource(
        packed.type_url or type_url,
        wire.name or name_of(packed.type_url, packed.value),
        wire.version,
        packed.value,
        microseconds(wire, "ttl"),
    )


def name_of(type_url: str, body: bytes) -> str:
    """The name that a resource's body tells; empty for types that are not published here.  CodecError."""
    if type_url not in NAMES:
        return ""
    kind, field = NAMES[type_url]
    return str(getattr(parsed(kind, body), field))
