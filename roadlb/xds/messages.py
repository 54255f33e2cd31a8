"""What is said on an xDS stream, without protobuf; and the events and actions of the stream machines.

Fields are named after `envoy.service.discovery.v3`; `xds/codec` turns them into its messages and back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeAlias

from ..fleet.model import Locality
from .resources import Resource, Snapshot

WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class Node:
    """Who subscribes (`envoy.config.core.v3.Node`)."""

    id: str
    cluster: str = ""
    metadata: Mapping[str, object] = field(default_factory=dict)
    locality: Locality = Locality()
    user_agent_name: str = ""
    user_agent_version: str = ""
    client_features: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Why a response was refused (`google.rpc.Status`)."""

    code: int
    message: str


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """State of the world: all names wanted of a type; also the ACK or NACK of a response."""

    type_url: str
    resource_names: tuple[str, ...] = ()
    version_info: str = ""  # the last version accepted, also of an earlier stream
    response_nonce: str = ""
    error_detail: ErrorDetail | None = None
    node: Node | None = None


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """State of the world: for clusters and listeners all there are, else those that are new or changed.

    Resources with a TTL travel in the protocol's `Resource` wrapper, the others bare.
    """

    type_url: str
    version_info: str
    nonce: str
    resources: tuple[Resource, ...] = ()


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """Incremental (`DeltaDiscoveryRequest`): what is wanted from now on, or no more; also an ACK or NACK."""

    type_url: str
    resource_names_subscribe: tuple[str, ...] = ()
    resource_names_unsubscribe: tuple[str, ...] = ()
    initial_resource_versions: Mapping[str, str] = field(default_factory=dict)
    response_nonce: str = ""
    error_detail: ErrorDetail | None = None
    node: Node | None = None


@dataclass(frozen=True, slots=True)
class DeltaResponse:
    """Incremental (`DeltaDiscoveryResponse`): what is new or changed, and names that are not, or no more."""

    type_url: str
    system_version_info: str
    nonce: str
    resources: tuple[Resource, ...] = ()
    removed_resources: tuple[str, ...] = ()


Request: TypeAlias = DiscoveryRequest | DeltaRequest
Response: TypeAlias = DiscoveryResponse | DeltaResponse


# ---- events


@dataclass(frozen=True, slots=True)
class Asked:
    """The subscriber sent a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class Published:
    """This is to be known from now on."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Ready:
    """The transport has taken the last response and can take another one."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The machine's `wake_at` has come."""


@dataclass(frozen=True, slots=True)
class Closed:
    """The stream is gone."""


Event: TypeAlias = Asked | Published | Ready | Tick | Closed


# ---- actions


class Why(StrEnum):
    """Why a stream is silent though its subscriber may wait for something."""

    NO_SNAPSHOT = "no snapshot"  # nothing was published yet
    BEHIND = "behind"  # the subscriber has seen a newer generation than ours
    OLDER = "older"  # a snapshot older than the one before was not taken
    UNKNOWN_TYPE = "unknown type"  # the type is not published here
    ORDER = "order"  # something else must arrive first
    PACED = "paced"  # the subscriber asks for the same things too fast


@dataclass(frozen=True, slots=True)
class Respond:
    """Send this; nothing more until `Ready`."""

    response: Response


@dataclass(frozen=True, slots=True)
class Acked:
    """The subscriber accepted a version; all of the type that was published up to `generation` is in it."""

    type_url: str
    nonce: str
    version: str
    generation: int


@dataclass(frozen=True, slots=True)
class Nacked:
    """The subscriber refused a version; `accepted` is the last one it took, "" if none."""

    type_url: str
    nonce: str
    version: str
    accepted: str
    error_detail: ErrorDetail


@dataclass(frozen=True, slots=True)
class Hold:
    """Nothing is sent for this reason.  Told when it begins, not again as long as it lasts."""

    why: Why
    type_url: str = ""  # empty: the whole stream


@dataclass(frozen=True, slots=True)
class End:
    """Close the stream and tell the subscriber why."""

    reason: str


Action: TypeAlias = Respond | Acked | Nacked | Hold | End
