"""Requests and responses of a stream, to and from the published messages."""

from __future__ import annotations

from typing import Any

import pytest
from envoy.service.discovery.v3 import discovery_pb2 as published
from fleets import node

from roadlb.fleet.model import Cluster, Locality
from roadlb.xds.codec import discovery
from roadlb.xds.codec.assignment import write_assignment
from roadlb.xds.codec.protos import CodecError
from roadlb.xds.messages import (
    DeltaRequest,
    DeltaResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    ErrorDetail,
    Node,
)
from roadlb.xds.resources import CLUSTER, ENDPOINTS, Resource

BODY = write_assignment(Cluster("grid", (node("a"),)))
RESOURCE = Resource.make(ENDPOINTS, "grid", BODY, 7)
LASTING = Resource.make(ENDPOINTS, "grid", BODY, 7, ttl_us=1_500_000)
WHO = Node(
    "proxy-1",
    "edge",
    {"roadlb.form": "grpc", "n": 1.0},
    Locality("r", "a"),
    "gRPC C++",
    "1.85",
    ("envoy.lb.does_not_support_overprovisioning",),
)
SAID: dict[str, Any] = {
    "request": DiscoveryRequest(ENDPOINTS, ("grid", "maps"), "v1", "n1", ErrorDetail(3, "no"), WHO),
    "request_empty": DiscoveryRequest(""),
    "request_ack": DiscoveryRequest(CLUSTER, (), "v1", "n1", None, Node("")),
    "delta_request": DeltaRequest(
        ENDPOINTS, ("*", "x"), ("y",), {"x": "v", "z": ""}, "n", ErrorDetail(0, ""), WHO
    ),
    "response": DiscoveryResponse(ENDPOINTS, RESOURCE.version, "n", (RESOURCE,)),
    "response_ttl": DiscoveryResponse(ENDPOINTS, "v", "n", (LASTING, LASTING.heartbeat())),
    "response_none": DiscoveryResponse(ENDPOINTS, "v", "n"),
    "delta_response": DeltaResponse(
        ENDPOINTS, "v", "n", (RESOURCE, LASTING, LASTING.heartbeat()), ("x", "y")
    ),
}
PAIRS: dict[type, tuple[Any, Any]] = {
    DiscoveryRequest: (discovery.write_request, discovery.read_request),
    DeltaRequest: (discovery.write_delta_request, discovery.read_delta_request),
    DiscoveryResponse: (discovery.write_response, discovery.read_response),
    DeltaResponse: (discovery.write_delta_response, discovery.read_delta_response),
}


@pytest.mark.parametrize("case", SAID)
def test_what_is_said_arrives(case: str) -> None:
    write, read = PAIRS[type(SAID[case])]
    assert read(write(SAID[case])) == SAID[case]


def test_a_response_put_together_from_bytes_is_the_published_message() -> None:
    data = discovery.write_response(
        DiscoveryResponse(ENDPOINTS, "v", "n", (RESOURCE, LASTING, LASTING.heartbeat()))
    )
    message = published.DiscoveryResponse.FromString(data)
    assert (message.version_info, message.nonce, message.type_url) == ("v", "n", ENDPOINTS)
    bare, wrapped, heartbeat = message.resources
    assert bare.type_url == ENDPOINTS and bare.value == BODY
    inner = published.Resource()
    assert wrapped.Unpack(inner) and inner.resource.value == BODY and inner.ttl.nanos == 500_000_000
    assert heartbeat.Unpack(inner) and not inner.HasField("resource") and inner.name == "grid"


def test_a_build_version_is_read_as_a_version() -> None:
    wire = published.DiscoveryRequest()
    wire.node.user_agent_build_version.version.major_number = 1
    wire.node.user_agent_build_version.version.minor_number = 36
    found = discovery.read_request(wire.SerializeToString()).node
    assert found is not None and found.user_agent_version == "1.36.0"


@pytest.mark.parametrize("read", [read for _, read in PAIRS.values()])
def test_a_garbled_message_is_refused(read: Any) -> None:
    with pytest.raises(CodecError):
        read(b"\x0a\xff\xff")
