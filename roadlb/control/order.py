"""The guard in front of publishing: what may go out, and to whom.

Four rules, which hold whatever the order in which events come:

1. Forward only.  Decisions go out only if their (generation, serial) is above that of all that went out.
2. A node told drained stays so.  What a picture does not have up is closed in whatever goes out, until
   decisions of a newer generation do.  A new start is another node, to which this does not apply.
3. A drain overtakes.  `Pictured` sends out what went out last, with the closed nodes closed, at once.  It
   goes under the picture's generation, so that a proxy which fails over to an instance in between is not told
   that they are open.  So a picture has to be told whole: under the generation of one drain of two, the
   other would pass for open.
4. Silence.  A subscriber that has acknowledged a newer generation than went out here is told nothing until
   we have caught up.  One that comes with a view from elsewhere makes us ask discovery for its list
   (`CatchUp`), at the most every ASK_US: ours may be old without a sign of it.

Generations are discovery's own: all instances of the service must count alike.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypeAlias

from roadlb.fleet.model import Health, NodeId

from .events import Decision, Decisions

ASK_US = 250_000  # between two calls of discovery: a drain must be with the proxies within 1 s
WAIT_US = 2_000_000  # a call that has no answer by then may hang: another is made beside it


@dataclass(slots=True, frozen=True)
class Proposed:
    """The plan would publish this."""

    decisions: Decisions


@dataclass(slots=True, frozen=True)
class Pictured:
    """Discovery has told a picture, in which these nodes are up: all others drain or are gone.

    It comes before the plan is handed the same picture.
    """

    generation: int
    up: frozenset[NodeId]


@dataclass(slots=True, frozen=True)
class Connected:
    """A stream has opened; `acknowledged`: the generation in its first versions, None: it has no view."""

    subscriber: str
    stream: int
    acknowledged: int | None = None


@dataclass(slots=True, frozen=True)
class Acknowledged:
    subscriber: str
    generation: int


@dataclass(slots=True, frozen=True)
class Disconnected:
    subscriber: str
    stream: int


@dataclass(slots=True, frozen=True)
class Listed:
    """Discovery has answered a call with its whole list, of this generation; None: the call failed."""

    generation: int | None


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; every 250 ms or more often."""


@dataclass(slots=True, frozen=True)
class Release:
    """These decisions go out, to all subscribers that are not silenced."""

    decisions: Decisions


@dataclass(slots=True, frozen=True)
class Withheld:
    """Decisions that do not go out, and why."""

    generation: int
    serial: int
    reason: str


@dataclass(slots=True, frozen=True)
class Silence:
    """Tell this subscriber nothing; it has seen `generation`, which is ahead of us."""

    subscriber: str
    generation: int


@dataclass(slots=True, frozen=True)
class Speak:
    """This subscriber may be told, from what went out last on."""

    subscriber: str


@dataclass(slots=True, frozen=True)
class CatchUp:
    """Ask discovery for its whole list now."""

    reason: str


Event: TypeAlias = Proposed | Pictured | Connected | Acknowledged | Disconnected | Listed | Tick
Action: TypeAlias = Release | Withheld | Silence | Speak | CatchUp


class Order:
    """A decider: `handle(now, event) -> actions`, to be carried out in their order.

    `out` is what went out last; `silent` maps the silenced to what they have seen.
    """

    def __init__(self) -> None:
        self.out: Decisions | None = None
        self.silent: dict[str, int] = {}
        self._known: dict[str, int] = {}  # to its stream
        self._picture: Pictured | None = None  # the newest
        self._asked_at: int | None = None
        self._open, self._wish = False, ""  # a call of discovery is out; another is wished for

    def handle(self, now: int, event: Event) -> list[Action]:
        match event:
            case Proposed():
                return self._proposed(event.decisions)
            case Pictured():
                return self._pictured(event)
            case Connected():
                return self._connected(now, event)
            case Acknowledged():
                return self._seen(now, event.subscriber, event.generation)
            case Disconnected():
                # The end of a stream may be noticed after the next one has begun.
                if self._known.get(event.subscriber) == event.stream:
                    del self._known[event.subscriber]
                    self.silent.pop(event.subscriber, None)
            case Listed():
                return self._listed(now, event)
            case Tick():
                return self._ask(now)
        return []

    def may_tell(self, subscriber: str) -> bool:
        return subscriber in self._known and subscriber not in self.silent and self.out is not None

    @property
    def generation(self) -> int:
        """Of what went out last; -1: nothing has."""
        return self.out.generation if self.out else -1

    # What goes out

    def _proposed(self, d: Decisions) -> list[Action]:
        if self.out is not None and (d.generation, d.serial) <= (self.out.generation, self.out.serial):
            return [
                Withheld(
                    d.generation, d.serial, f"{self.out.generation}.{self.out.serial} has gone out already"
                )
            ]
        return self._release(self._closed(d))

    def _pictured(self, event: Pictured) -> list[Action]:
        if event.generation <= max(self._picture.generation if self._picture else -1, self.generation):
            return []  # what went out was decided in the knowledge of it
        self._picture = event
        if self.out is None:
            return []
        closed = self._closed(self.out)
        return self._release(closed) if closed is not self.out else []

    def _closed(self, d: Decisions) -> Decisions:
        """The same, in which no node is open that a newer picture has not up; itself if none is."""
        picture = self._picture
        if picture is None or picture.generation <= d.generation:
            return d
        clusters, changed = dict(d.clusters), False
        for name, told in d.clusters.items():
            if any(one.open and one.node not in picture.up for one in told):
                clusters[name], changed = tuple(_close(one, picture.up) for one in told), True
        return replace(d, generation=picture.generation, clusters=clusters, urgent=True) if changed else d

    def _release(self, d: Decisions) -> list[Action]:
        self.out = d
        caught_up = [s for s, seen in self.silent.items() if seen <= d.generation]
        for subscriber in caught_up:
            del self.silent[subscriber]
        return [Release(d), *(Speak(s) for s in caught_up)]

    # Who is told

    def _connected(self, now: int, event: Connected) -> list[Action]:
        self._known[event.subscriber] = event.stream
        self.silent.pop(event.subscriber, None)
        actions: list[Action] = []
        if event.acknowledged is not None:
            actions += self._seen(now, event.subscriber, event.acknowledged)
        if event.subscriber not in self.silent and self.out is not None:
            actions.append(Speak(event.subscriber))
        if event.acknowledged is not None:
            self._wish = self._wish or f"{event.subscriber} comes with a view of {event.acknowledged}"
            actions += self._ask(now)
        return actions

    def _seen(self, now: int, subscriber: str, generation: int) -> list[Action]:
        if subscriber not in self._known:
            return []
        if generation <= max(self.generation, self.silent.get(subscriber, -1)):
            return []
        self.silent[subscriber] = generation
        self._wish = f"{subscriber} has seen {generation}, we are at {self.generation}"
        return [Silence(subscriber, generation), *self._ask(now)]

    # Catching up

    def _ask(self, now: int) -> list[Action]:
        if self._open and self._asked_at is not None and now - self._asked_at >= WAIT_US:
            self._open = False
        if not self._wish and self.silent:
            self._wish = f"{len(self.silent)} subscribers are ahead of us"
        due = self._asked_at is None or now - self._asked_at >= ASK_US
        if not self._wish or self._open or not due:
            return []
        reason, self._wish = self._wish, ""
        self._asked_at, self._open = now, True
        return [CatchUp(reason)]

    def _listed(self, now: int, event: Listed) -> list[Action]:
        self._open = False
        if event.generation is None:
            self._wish = self._wish or "the last call failed"
        return self._ask(now)


def _close(one: Decision, up: frozenset[NodeId]) -> Decision:
    return one if one.node in up or not one.open else one.closed(Health.DRAINING, "told drained or gone")
