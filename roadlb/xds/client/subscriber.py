"""The incremental variant of an aggregated stream, from the subscriber's side.

Each type is in one of three states.  The table, with its reasons:

    state    what happens       to      what is done
    silent   the stream opens   asked   all names wanted are subscribed to, and the versions held are told:
                                        only what differs comes again
    silent   a name is wanted   silent  it is told when a stream opens
    asked    a name is wanted   asked   subscribed to; one that is wanted no more, unsubscribed from
    asked    a response         owing   its resources are told on.  What has the version held, or was not
                                        asked for, is no news; an empty body prolongs a TTL
    owing    a response         owing   told on too: a server may send before the last is answered
    owing    accepted           asked   an ACK with its nonce; only now does it change what is held, and is
                                        shown on the next stream
    owing    refused            asked   a NACK with its nonce and the reason; what was held stays held
    any      the stream is lost silent  what was accepted is held; answers that come later are of no stream
    any      a TTL runs out             the resource is no longer held, and its version not shown

A token tells one response from any other, also of an earlier stream: an answer that was decided before a
break must not answer what came after it, whose nonce may be the same.  Answers may come in any order: what a
later response told of a name counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..messages import WILDCARD, DeltaRequest, DeltaResponse, Node
from ..resources import Resource, digest_of
from .events import Accept, Action, Came, End, Event, Expired, Lost, Opened, Refuse, Send, Tick, Told, Want

OWED_MOST = 64  # responses of a type that wait for our answer
HELD_MOST = 20_000  # resources of a type; 10,000 nodes stand in 513
BYTES_MOST = 64 << 20  # and the bodies of all


class State(Enum):
    """Of one type."""

    SILENT = "silent"
    ASKED = "asked"
    OWING = "owing"


@dataclass(slots=True)
class _Held:
    version: str
    size: int
    until: int | None  # when its TTL runs out


@dataclass(slots=True)
class _Type:
    names: dict[str, None] = field(default_factory=dict)
    held: dict[str, _Held] = field(default_factory=dict)
    owed: dict[int, DeltaResponse] = field(default_factory=dict)  # by token
    newest: dict[str, int] = field(default_factory=dict)  # by name, which of those owed told it last

    def wants(self, name: str) -> bool:
        return name in self.names or WILDCARD in self.names


class Subscriber:
    """`handle(now, event) -> actions`, for one stream at a time; `wake_at`: when a `Tick` is due."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._types: dict[str, _Type] = {}
        self._open = self._introduced = False
        self._tokens = self._bytes = 0
        self.wake_at: int | None = None

    def state(self, type_url: str) -> State:
        one = self._types.get(type_url)
        if one is None or not self._open:
            return State.SILENT
        return State.OWING if one.owed else State.ASKED

    def versions(self, type_url: str) -> dict[str, str]:
        """What is held of a type, by name."""
        one = self._types.get(type_url)
        return {name: held.version for name, held in one.held.items()} if one is not None else {}

    def handle(self, now: int, event: Event) -> list[Action]:
        """One event at `now`, in microseconds of a monotonic clock."""
        actions: list[Action] = []
        match event:
            case Opened():
                self._open, self._introduced = True, False
                for type_url, one in self._types.items():
                    if one.names:
                        actions.append(self._ask(type_url, one.names, (), self.versions(type_url)))
            case Lost():
                self._open = False
                for one in self._types.values():
                    one.owed.clear()
                    one.newest.clear()
            case Want(type_url, names, no_more):
                self._want(type_url, names, no_more, actions)
            case Came(response):
                if self._open:
                    self._came(now, response, actions)
            case Accept(token) | Refuse(token):
                self._answer(now, token, event, actions)
            case Tick():
                pass
        self._expire(now, actions)
        return actions

    def _want(
        self, type_url: str, names: Iterable[str], no_more: Iterable[str], actions: list[Action]
    ) -> None:
        one = self._types.setdefault(type_url, _Type())
        new = [name for name in names if name not in one.names]
        left = [name for name in no_more if name in one.names]
        one.names |= dict.fromkeys(new)
        for name in left:
            del one.names[name]
        for name in [name for name in one.held if not one.wants(name)]:
            self._drop(one, name)
        if self._open and (new or left):
            actions.append(self._ask(type_url, new, left))

    def _ask(
        self, type_url: str, names: Iterable[str], left: Iterable[str], versions: dict[str, str] | None = None
    ) -> Send:
        return Send(
            self._request(
                type_url,
                resource_names_subscribe=tuple(names),
                resource_names_unsubscribe=tuple(left),
                initial_resource_versions=versions or {},
            )
        )

    def _request(self, type_url: str, **fields: object) -> DeltaRequest:
        """The first request of a stream says who asks."""
        node, self._introduced = None if self._introduced else self._node, True
        return DeltaRequest(type_url, node=node, **fields)  # type: ignore[arg-type]

    # Responses

    def _came(self, now: int, response: DeltaResponse, actions: list[Action]) -> None:
        one = self._types.get(response.type_url)
        if one is None or not one.names:
            actions.append(End(f"a response of {response.type_url:.200}, which was not asked for"))
            return
        if not response.nonce:
            actions.append(End(f"a response of {response.type_url} without a nonce cannot be answered"))
            return
        if len(one.owed) >= OWED_MOST:
            actions.append(End(f"{OWED_MOST} responses of {response.type_url} wait for an answer: too many"))
            return
        self._tokens += 1
        one.owed[self._tokens] = response
        names = [*(resource.name for resource in response.resources), *response.removed_resources]
        one.newest |= dict.fromkeys(names, self._tokens)
        news = []
        for resource in response.resources:
            held = one.held.get(resource.name)
            if held is not None and digest_of(held.version) == digest_of(resource.version):
                held.until = _until(now, resource)
            elif resource.body and one.wants(resource.name):
                news.append(resource)
        removed = tuple(name for name in response.removed_resources if one.wants(name))
        actions.append(Told(self._tokens, response.type_url, tuple(news), removed))

    def _answer(self, now: int, token: int, answer: Accept | Refuse, actions: list[Action]) -> None:
        type_url = next((url for url, one in self._types.items() if token in one.owed), None)
        if type_url is None:
            return  # of a stream that is gone
        one = self._types[type_url]
        response = one.owed.pop(token)
        newest = one.newest if one.owed else {**one.newest}
        if not one.owed:
            one.newest.clear()
        if isinstance(answer, Refuse):
            actions.append(
                Send(self._request(type_url, response_nonce=response.nonce, error_detail=answer.detail))
            )
            return
        for resource in response.resources:
            if resource.body and one.wants(resource.name) and newest[resource.name] == token:
                self._hold(now, one, resource)
        for name in response.removed_resources:
            if newest[name] == token:
                self._drop(one, name)
        if len(one.held) > HELD_MOST or self._bytes > BYTES_MOST:
            actions.append(
                End(
                    f"{len(one.held)} resources of {type_url}, {self._bytes} bytes in all: more "
                    f"than {HELD_MOST} or {BYTES_MOST} are not kept"
                )
            )
            return
        actions.append(Send(self._request(type_url, response_nonce=response.nonce)))

    def _hold(self, now: int, one: _Type, resource: Resource) -> None:
        self._drop(one, resource.name)
        one.held[resource.name] = _Held(resource.version, len(resource.body), _until(now, resource))
        self._bytes += len(resource.body)

    def _drop(self, one: _Type, name: str) -> None:
        held = one.held.pop(name, None)
        if held is not None:
            self._bytes -= held.size

    # Time

    def _expire(self, now: int, actions: list[Action]) -> None:
        self.wake_at = None
        for type_url, one in self._types.items():
            gone = [name for name, held in one.held.items() if held.until is not None and held.until <= now]
            for name in gone:
                self._drop(one, name)
            if gone:
                actions.append(Expired(type_url, tuple(gone)))
            soonest = min((held.until for held in one.held.values() if held.until is not None), default=None)
            if soonest is not None and (self.wake_at is None or soonest < self.wake_at):
                self.wake_at = soonest


def _until(now: int, resource: Resource) -> int | None:
    return now + resource.ttl_us if resource.ttl_us is not None else None
