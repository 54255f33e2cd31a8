"""One aggregated xDS stream, seen from the server: what both variants have in common.

Theory of operation.  A stream is `handle(now, event)`; it holds one `Subscription` for each type that was
asked for, which knows what is owed.  Each event changes that; then at most one response goes out:

- The transport takes one response at a time (`Ready`), and a type has at most one in flight until it is
  accepted or refused.  What changes meanwhile is owed once, in its newest state: a slow subscriber costs no
  more memory than a fast one, and one that never answers gets one response of each type.
- `ordering.py` says which type may go, and what has to wait for another.
- What a subscriber has only asked for again goes at the rate of `pace.py`.
- Nothing goes back.  The highest generation that a subscriber has shown in any version is the floor: as
  long as our snapshot is older, the stream is silent.  Snapshots older than the one before are not taken.
- TTLs, for subscribers that know them, are prolonged every third of the shortest one of a type.

Bounds for each stream and type: NAMES_MOST names, wanted or claimed, of NAME_CHARS_MOST characters, and
GONE_MOST removals refused; beyond, the stream ends.  All that is kept is keyed by these names and by those
that are there.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import replace

from .conversation import Step, Table, phase_of, said
from .messages import (
    WILDCARD,
    Acked,
    Action,
    Asked,
    Closed,
    DiscoveryResponse,
    End,
    Event,
    Hold,
    Nacked,
    Node,
    Published,
    Ready,
    Request,
    Respond,
    Response,
    Tick,
    Why,
)
from .ordering import BREAKS, GONE_MOST, MAKES, Order
from .pace import Pace
from .resources import ENDPOINTS, TYPES, Resource, Snapshot, generation_of
from .subscription import Subscription

NAMES_MOST = 10_000
NAME_CHARS_MOST = 512
TTL_FEATURES = frozenset({"xds.config.supports-resource-ttl", "xds.config.supports-resource-in-sotw"})
BEATS_PER_TTL = 3  # two may be late by a whole interval before anything expires


class Stream(ABC):
    """The server's side of one stream.  `wake_at`: when a `Tick` is due, None: no need of one."""

    table: Table
    takes: type

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        """`snapshot`: the newest one, None if nothing was published yet."""
        self.node: Node | None = None
        self.ended = False
        self.wake_at: int | None = None
        self.floor = 0  # the newest generation that the subscriber has shown
        self.snapshot, self._writable, self._nonces = snapshot, True, 0
        self._subscriptions: dict[str, Subscription] = {}
        self._order, self._pace = Order(self._subscriptions), Pace()
        self._ttl = False
        self._holding: set[Hold] = set()

    @property
    def generation(self) -> int:
        """Of the newest snapshot taken."""
        return self.snapshot.generation if self.snapshot is not None else 0

    @property
    def quiet(self) -> bool:
        """Whether all that was published is told and answered, nothing of it refused."""
        return (
            self.snapshot is not None
            and self.floor <= self.generation
            and not any(
                s.flight is not None or s.differs or s.again or s.greet for s in self._subscriptions.values()
            )
        )

    @property
    def kept(self) -> int:
        """How many names are kept, over all types: for each type at most five times those there, NAMES_MOST
        that are asked for, and GONE_MOST each that are gone and must stay or whose removal was refused.
        """
        return sum(
            len(s.names)
            + len(s.differs)
            + len(s.again)
            + len(s.refused)
            + (len(s.flight.names) if s.flight is not None else 0)
            for s in self._subscriptions.values()
        )

    def handle(self, now: int, event: Event) -> list[Action]:
        """One event at `now`, in microseconds of a monotonic clock.  After the end, nothing."""
        if self.ended:
            return []
        actions: list[Action] = []
        match event:
            case Asked(request):
                self._order.begin(now)
                self._asked(request, actions)
            case Published(snapshot):
                if self.snapshot is not None and snapshot.generation < self.snapshot.generation:
                    return [Hold(Why.OLDER)]
                self.snapshot = snapshot
                for subscription in self._subscriptions.values():
                    self.follow(subscription, snapshot)
            case Ready():
                self._writable = True
            case Tick():
                pass
            case Closed():
                self.ended, self.wake_at = True, None
                self._subscriptions.clear()
        if not self.ended:
            self._flow(now, actions)
        return actions

    # ---- requests

    def _asked(self, request: Request, actions: list[Action]) -> None:
        reason = self._not_of_this_stream(request)
        if reason:
            self._end(reason, actions)
        elif request.type_url not in TYPES:
            actions.append(Hold(Why.UNKNOWN_TYPE, request.type_url[:NAME_CHARS_MOST]))
        else:
            if self.node is None and request.node is not None:
                self.node, self._ttl = request.node, bool(TTL_FEATURES & set(request.node.client_features))
            self._converse(request, actions)

    def _not_of_this_stream(self, request: Request) -> str:
        """Why a request cannot be one of this stream's; empty if it can."""
        if not isinstance(request, self.takes):
            return f"a {type(request).__name__} came on a stream of {self.takes.__name__}"
        if not request.type_url:
            return "type_url is empty: on an aggregated stream each request must have one"
        if self.node is None and (request.node is None or not request.node.id):
            return "node.id is missing: the first request of a stream must say who asks"
        if self.node is not None and request.node is not None and request.node.id != self.node.id:
            return f"node.id is {request.node.id!r}, was {self.node.id!r}: another node needs its own stream"
        return ""

    def _converse(self, request: Request, actions: list[Action]) -> None:
        """One step of the type's conversation, by the variant's table."""
        type_url = request.type_url
        subscription = self._subscriptions.get(type_url)
        steps = self.table[phase_of(subscription), said(request, subscription)]
        if Step.END in steps:
            self._end(
                f"the first request of {type_url} answers nonce {request.response_nonce!r}, which this "
                "stream never sent: start with an empty response_nonce and no error_detail",
                actions,
            )
            return
        if subscription is None:
            subscription = self._subscriptions[type_url] = Subscription(type_url, self.tells_gone(type_url))
            if self.snapshot is not None:
                self.follow(subscription, self.snapshot)
        for step in steps:
            if step is Step.ACCEPT:
                self._accept(subscription, actions)
            elif step is Step.REFUSE:
                self._refuse(subscription, request, actions)
                if sum(version is None for version in subscription.refused.values()) > GONE_MOST:
                    self._end(f"more than {GONE_MOST} removals of {type_url} refused: start anew", actions)
                    return
            else:
                if reason := self.take(step, subscription, request):
                    self._end(reason, actions)
                    return

    def _accept(self, subscription: Subscription, actions: list[Action]) -> None:
        flight = subscription.flight
        assert flight is not None
        subscription.accept()
        actions.append(Acked(subscription.type_url, flight.nonce, flight.version, flight.generation))

    def _refuse(self, subscription: Subscription, request: Request, actions: list[Action]) -> None:
        flight = subscription.flight
        assert flight is not None and request.error_detail is not None
        subscription.refuse()
        actions.append(
            Nacked(
                subscription.type_url,
                flight.nonce,
                flight.version,
                subscription.accepted,
                request.error_detail,
            )
        )

    def _end(self, reason: str, actions: list[Action]) -> None:
        self.ended, self.wake_at = True, None
        self._subscriptions.clear()
        actions.append(End(reason))

    # ---- what the variants do in their own way

    @abstractmethod
    def tells_gone(self, type_url: str) -> bool:
        """Whether a response of this type can say that a resource is gone."""

    @abstractmethod
    def take(self, step: Step, subscription: Subscription, request: Request) -> str:
        """SUBSCRIBE, SHOW or DOUBT; why the request cannot be, or an empty string."""

    @abstractmethod
    def respond(self, subscription: Subscription, nonce: str, breaks: bool) -> tuple[Response, list[str]]:
        """The response with what is owed, and the names whose newest state it tells.

        `breaks`: what is gone may be told.
        """

    @abstractmethod
    def beat(self, subscription: Subscription, nonce: str) -> Response | None:
        """The response that prolongs the TTLs of what the subscriber has; None: there are none."""

    # ---- responses

    def _flow(self, now: int, actions: list[Action]) -> None:
        """At most one response, and when to look again."""
        self.wake_at = None
        held: set[Hold] = set()
        if self.snapshot is None or self.floor > self.snapshot.generation:
            if self._subscriptions:
                held.add(Hold(Why.NO_SNAPSHOT if self.snapshot is None else Why.BEHIND))
        elif self._writable:
            self._send_first(now, held, actions)
        self._hold(held, actions)

    def _send_first(self, now: int, held: set[Hold], actions: list[Action]) -> None:
        """Sends the first in order that may go; notes what waits, and until when."""
        wakes: list[int] = []
        idle = {type_url: s for type_url, s in self._subscriptions.items() if s.flight is None}
        for type_url in filter(idle.__contains__, MAKES):
            owed = idle[type_url].owed()
            if owed.make or owed.absent or idle[type_url].greet:
                waits = self._order.make_waits(type_url, now)
                if self._may_go(idle[type_url], waits, now, held, wakes):
                    self._send(idle[type_url], self._order.break_waits(type_url, now) is None, now, actions)
                    return
        for type_url in filter(idle.__contains__, BREAKS):
            owed = idle[type_url].owed()
            if owed.gone and not owed.make:
                waits = self._order.break_waits(type_url, now)
                if self._may_go(idle[type_url], waits, now, held, wakes):
                    self._send(idle[type_url], True, now, actions)
                    return
        for subscription in self._subscriptions.values():
            at = self._beat_at(subscription, now)
            if at is not None and at <= now and subscription.flight is None:
                if self._send_beat(subscription, now, actions):
                    return
                at = self._beat_at(subscription, now)
            if at is not None and at > now:
                wakes.append(at)
        self.wake_at = min(wakes, default=None)

    def _may_go(
        self, subscription: Subscription, waits: int | None, now: int, held: set[Hold], wakes: list[int]
    ) -> bool:
        """Whether what is owed of a type may go by its order and by its pace; if not, until when it waits."""
        asked = subscription.asked and not subscription.owed().change
        paced = self._pace.free_at() if asked else now
        if waits is None and paced <= now:
            return True
        held.add(Hold(Why.ORDER if waits is not None else Why.PACED, subscription.type_url))
        wakes.append(waits if waits is not None else paced)
        return False

    def _send(self, subscription: Subscription, breaks: bool, now: int, actions: list[Action]) -> None:
        assert self.snapshot is not None
        if subscription.asked and not subscription.owed().change:
            self._pace.take(now)
        response, told = self.respond(subscription, self._nonce(), breaks)
        clusters_with_endpoints = self.snapshot.collections[ENDPOINTS].by_name
        made = [name for name in told if name in subscription.newest.by_name]
        new = {name for name in made if subscription.held(name) is None and name in clusters_with_endpoints}
        subscription.sent(told, response.nonce, version_of(response), self.snapshot.generation)
        self._order.sent(subscription.type_url, made, new)
        self._writable = False
        actions.append(Respond(response))

    def _send_beat(self, subscription: Subscription, now: int, actions: list[Action]) -> bool:
        """Prolongs the TTLs of a type, if there is anything to prolong."""
        assert self.snapshot is not None
        subscription.beat_at = None
        response = self.beat(subscription, self._nonce())
        if response is None:
            return False
        subscription.prolonged(response.nonce, version_of(response), self.snapshot.generation, {})
        self._beat_at(subscription, now)
        self._writable = False
        actions.append(Respond(response))
        return True

    def _beat_at(self, subscription: Subscription, now: int) -> int | None:
        """When a type's TTLs are to be prolonged, from the time on at which there are any."""
        shortest = subscription.newest.shortest_ttl_us
        if not self._ttl or shortest is None:
            subscription.beat_at = None
        elif subscription.beat_at is None:
            subscription.beat_at = now + shortest // BEATS_PER_TTL
        return subscription.beat_at

    def _nonce(self) -> str:
        self._nonces += 1
        return str(self._nonces)

    def _hold(self, held: set[Hold], actions: list[Action]) -> None:
        """Tells of what is held since now."""
        begun: list[Hold] = sorted(held - self._holding, key=lambda hold: (hold.why, hold.type_url))
        actions += begun
        self._holding = held

    # ---- for the variants

    def follow(self, subscription: Subscription, snapshot: Snapshot) -> None:
        """Takes a type on to a newer snapshot."""
        subscription.follow(snapshot.collections[subscription.type_url])

    def shows(self, versions: Iterable[str]) -> None:
        """The subscriber has seen the generations of these versions."""
        self.floor = max(self.floor, max(map(generation_of, versions), default=0))

    def with_ttl(self, resources: tuple[Resource, ...]) -> tuple[Resource, ...]:
        """The resources, without their TTLs for a subscriber that does not know what they are."""
        if self._ttl or all(resource.ttl_us is None for resource in resources):
            return resources
        return tuple(replace(resource, ttl_us=None) for resource in resources)


def version_of(response: Response) -> str:
    """The version that an answer to this response is about."""
    return response.version_info if isinstance(response, DiscoveryResponse) else response.system_version_info


def too_much(names: Iterable[str], count: int, type_url: str) -> str:
    """Why so many names, or such names, cannot be kept; empty if they can."""
    if count > NAMES_MOST:
        return f"{count} names of {type_url}: at most {NAMES_MOST} are kept; subscribe to {WILDCARD!r}"
    if any(len(name) > NAME_CHARS_MOST for name in names):
        return f"a name of {type_url} has more than {NAME_CHARS_MOST} characters"
    return ""


def part(subscription: Subscription, names: list[str], most: int) -> list[str]:
    """The first of these names whose bodies have at most so many bytes together; at least one."""
    size = 0
    for count, name in enumerate(names):
        size += len(subscription.newest.by_name[name].body)
        if size > most and count:
            return names[:count]
    return names
