"""The issuer's side of a follower's incremental stream: a machine without I/O; `codec/versions` has the form.

    what happens                              what is done
    it subscribes to STRUCT or PARTS          what the versions shown say that it has is not sent again
    a name of LEASES is subscribed to         that is its `Ask`
    `Prepare`                                 parts that differ from what it has, then `prepared`, which is
                                              sent again each time: what was not answered may be lost
    `InForce`, `Withdrawn`, `Lease`           one resource each
    the response with `prepared` is accepted  `Ack` of that version
    it is refused                             `Nack`, `Fenced`, or nothing, as the reason says
    any response is refused                   what was in it is taken for not held

Several responses may be in flight, told apart by their nonces; what is sent after a refusal repairs it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from ..agreement.events import Ack, FromFollower, InForce, Lease, VersionId, Withdrawn
from ..xds.codec.protos import CodecError
from ..xds.codec.versions import (
    FORCE,
    LEASES,
    PARTS,
    STRUCT,
    WITHDRAWN,
    Key,
    read_answer,
    read_ask,
    write_force,
    write_lease,
    write_withdrawn,
)
from ..xds.messages import DeltaRequest, DeltaResponse
from ..xds.resources import Resource, digest_of

IN_FLIGHT_MOST = 256  # responses that a follower may leave unanswered; in order it answers each
ASKS_MOST = 16  # that wait for their answers
BYTES_MOST = 1 << 20  # of bodies in one response
TYPES = (STRUCT, PARTS, LEASES)


@dataclass(frozen=True, slots=True)
class Offer:
    """A version as resources, made once for all followers; `prepared` bears the leader's epoch."""

    id: VersionId
    parts: Mapping[Key, Resource]
    prepared: Resource


# Events


@dataclass(frozen=True, slots=True)
class RequestReceived:
    request: DeltaRequest


@dataclass(frozen=True, slots=True)
class Deliver:
    message: Offer | InForce | Withdrawn | Lease


Event: TypeAlias = RequestReceived | Deliver


# Actions


@dataclass(frozen=True, slots=True)
class SendResponse:
    response: DeltaResponse


@dataclass(frozen=True, slots=True)
class FollowerSays:
    """The follower says this."""

    message: FromFollower


@dataclass(frozen=True, slots=True)
class ResponseRefused:
    """A response was refused, for the log."""

    type_url: str
    reason: str


@dataclass(frozen=True, slots=True)
class EndStream:
    """Close the stream; the follower is told why."""

    reason: str


Action: TypeAlias = SendResponse | FollowerSays | ResponseRefused | EndStream


@dataclass(frozen=True, slots=True)
class _Flight:
    type_url: str
    names: tuple[str, ...]
    prepared: VersionId | None = None


class FollowerExchange:
    """`handle(event) -> actions`: it knows no time.  `name`: the follower's, once it has said it."""

    def __init__(self) -> None:
        self.name = ""
        self._held: dict[str, dict[str, str]] = {}  # by type and name: the version that it has
        self._flights: dict[str, _Flight] = {}  # by nonce
        self._asks: dict[tuple[int, int], str] = {}  # by life and number: the name that asked
        self._offer: Offer | None = None  # what it is told once it subscribes
        self._nonces = 0

    def handle(self, event: Event) -> list[Action]:
        actions: list[Action] = []
        if isinstance(event, RequestReceived):
            self._asked(event.request, actions)
        else:
            self._tell(event.message, actions)
        if len(self._flights) > IN_FLIGHT_MOST:
            actions.append(
                EndStream(
                    f"{len(self._flights)} responses without an answer: more than "
                    f"{IN_FLIGHT_MOST} are not kept"
                )
            )
        return actions

    # What it asks

    def _asked(self, request: DeltaRequest, actions: list[Action]) -> None:
        if request.node is not None and not self.name:
            self.name = request.node.id
        if not self.name:
            actions.append(EndStream("node.id: the first request must say who asks"))
            return
        type_url = request.type_url
        if type_url not in TYPES:
            return  # nothing of it is served on this stream
        self._answered(request, actions)
        if type_url == LEASES:
            for name in request.resource_names_subscribe:
                try:
                    ask = read_ask(name)
                except CodecError as e:
                    actions.append(EndStream(str(e)))
                    return
                self._asks[ask.life, ask.number] = name
                while len(self._asks) > ASKS_MOST:
                    del self._asks[next(iter(self._asks))]
                actions.append(FollowerSays(ask))
        elif request.resource_names_subscribe and type_url not in self._held:
            self._held[type_url] = dict(request.initial_resource_versions)
            if self._offer is not None and {STRUCT, PARTS} <= self._held.keys():
                self._prepare(self._offer, actions)

    def _answered(self, request: DeltaRequest, actions: list[Action]) -> None:
        flight = self._flights.pop(request.response_nonce, None)
        if flight is None:
            return
        detail = request.error_detail
        if detail is None:
            if flight.prepared is not None:
                actions.append(FollowerSays(Ack(flight.prepared)))
            return
        for name in flight.names:
            self._held.get(flight.type_url, {}).pop(name, None)
        actions.append(ResponseRefused(flight.type_url, detail.message))
        if flight.prepared is not None and (said := read_answer(flight.prepared, detail)) is not None:
            actions.append(FollowerSays(said))

    # What it is told

    def _tell(self, message: Offer | InForce | Withdrawn | Lease, actions: list[Action]) -> None:
        match message:
            case Offer():
                self._offer = message
                if {STRUCT, PARTS} <= self._held.keys():
                    self._prepare(message, actions)
            case InForce(_, id):
                self._one(Resource.make(STRUCT, FORCE, write_force(message), id.number), actions)
            case Withdrawn(_, id):
                self._one(Resource.make(STRUCT, WITHDRAWN, write_withdrawn(message), id.number), actions)
            case Lease(id=id):
                # The answer bears the name of the question; one that was asked on an earlier stream is lost.
                if name := self._asks.pop((message.life, message.number), ""):
                    body = write_lease(message)
                    self._one(Resource.make(LEASES, name, body, id.number, message.lease_us), actions)

    def _prepare(self, offer: Offer, actions: list[Action]) -> None:
        parts = self._held[PARTS]
        changed = [
            resource
            for (type_url, _), resource in offer.parts.items()
            if type_url == PARTS and not _has(parts, resource)
        ]
        gone = tuple(name for name in parts if (PARTS, name) not in offer.parts)
        while changed or gone:
            size, count = 0, 0
            for resource in changed:
                size += len(resource.body)
                count += 1
                if size >= BYTES_MOST:
                    break
            self._send(PARTS, tuple(changed[:count]), gone, None, actions)
            changed, gone = changed[count:], ()
        others = [
            resource
            for (type_url, _), resource in offer.parts.items()
            if type_url == STRUCT and not _has(self._held[STRUCT], resource)
        ]
        self._send(STRUCT, (*others, offer.prepared), (), offer.id, actions)

    def _one(self, resource: Resource, actions: list[Action]) -> None:
        self._send(resource.type_url, (resource,), (), None, actions)

    def _send(
        self,
        type_url: str,
        resources: tuple[Resource, ...],
        gone: tuple[str, ...],
        prepared: VersionId | None,
        actions: list[Action],
    ) -> None:
        held = self._held.setdefault(type_url, {}) if type_url != LEASES else {}
        for resource in resources:
            held[resource.name] = resource.version
        for name in gone:
            held.pop(name, None)
        self._nonces += 1
        nonce = str(self._nonces)
        self._flights[nonce] = _Flight(type_url, tuple(r.name for r in resources), prepared)
        version = resources[0].version if resources else ""
        actions.append(SendResponse(DeltaResponse(type_url, version, nonce, resources, gone)))


def _has(held: Mapping[str, str], resource: Resource) -> bool:
    return resource.name in held and digest_of(held[resource.name]) == digest_of(resource.version)
