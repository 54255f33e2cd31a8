"""The published message classes, from `xds-protos`.

They come without type stubs, so a message is `Wire` here.  None of these modules imports grpcio.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from envoy.config.cluster.v3.cluster_pb2 import Cluster as WireCluster
from envoy.config.endpoint.v3.endpoint_components_pb2 import Endpoint as WireEndpoint
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint, LocalityLbEndpoints
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.listener.v3.listener_pb2 import Listener as WireListener
from envoy.config.route.v3.route_pb2 import RouteConfiguration
from google.protobuf.message import DecodeError

__all__ = [
    "ClusterLoadAssignment",
    "CodecError",
    "DecodeError",
    "LbEndpoint",
    "LocalityLbEndpoints",
    "RouteConfiguration",
    "Wire",
    "WireCluster",
    "WireEndpoint",
    "WireListener",
    "held",
    "parsed",
    "says",
]

Wire: TypeAlias = Any


class CodecError(ValueError):
    """What cannot be read or written; the text names the resource or node, the value and the remedy."""


def parsed(kind: Wire, data: bytes | None) -> Wire:
    """A message of this class, empty for None; CodecError for bytes that are none of it."""
    try:
        return kind.FromString(data or b"")
    except DecodeError as e:
        name, size = kind.DESCRIPTOR.full_name, len(data or b"")
        raise CodecError(f"{name}: {size} bytes are no such message: {e}") from e


def says(write: Callable[[], bytes], data: bytes) -> bool:
    """Whether the view alone gives these bytes back; it need not keep them then.

    It does not if it holds what is never written anew, such as an endpoint without an address.
    """
    try:
        return write() == data
    except CodecError:
        return False


def held(message: Wire) -> bytes:
    """The message's bytes, unknown fields included; the same each time, whatever the order of its maps."""
    data: bytes = message.SerializeToString(deterministic=True)
    return data
