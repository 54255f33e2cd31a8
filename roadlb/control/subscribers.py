"""Who is connected, what each has acknowledged, who refuses and why, who lags; how fast newcomers are let in.

A subscriber goes through these states:

    came --> waiting --(its turn)--> connected --(stream ends)--> away --(stale_us)--> forgotten
                                         ^______ comes again _______|

While it is away it may still be sending by its last view, and so it counts among `carriers` until a proxy
that keeps to the resources' time to live has given that view up.  A stream's end may be noticed after the
next one has begun: a late word of the old one changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush
from random import Random
from typing import TypeAlias

from .events import Carrier, Carriers

ADMIT_PER_S = 1_500.0  # 1,000 proxies that come back at once are let in within 0.7 s
BURST = 20  # and so many at once, as on any calm day
LAG_US = 1_000_000  # a proxy that has not acknowledged by then is late: drains count by it
LAG_VERSIONS = 3
MOST = 10_000  # subscribers known, those away among them
REASONS = 200  # characters of a refusal that are kept


class State(Enum):
    WAITING = "waiting"
    CONNECTED = "connected"
    AWAY = "away"


# Events


@dataclass(slots=True, frozen=True)
class Came:
    """A stream has opened; `acknowledged`: the generation in its first versions, None: it has no view."""

    subscriber: str
    stream: int
    acknowledged: int | None = None


@dataclass(slots=True, frozen=True)
class Left:
    subscriber: str
    stream: int


@dataclass(slots=True, frozen=True)
class Sent:
    """A version was sent: the `number`-th of this type, made on `generation`."""

    subscriber: str
    type_url: str
    number: int
    generation: int


@dataclass(slots=True, frozen=True)
class Acked:
    subscriber: str
    type_url: str
    number: int


@dataclass(slots=True, frozen=True)
class Nacked:
    subscriber: str
    type_url: str
    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class Hurry:
    """A drain goes out: nobody who has a view waits any longer."""


@dataclass(slots=True, frozen=True)
class Turn:
    """A newcomer's turn has come; see `Subscribers.next_at`."""


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed, so that somebody may lag or be forgotten."""


# Actions


@dataclass(slots=True, frozen=True)
class Admit:
    """From now on it may be answered."""

    subscriber: str


@dataclass(slots=True, frozen=True)
class TurnAway:
    """End its stream."""

    subscriber: str
    reason: str


@dataclass(slots=True, frozen=True)
class Refuses:
    """It refused a version; `times` in a row of this type."""

    subscriber: str
    type_url: str
    reason: str
    times: int


@dataclass(slots=True, frozen=True)
class Lags:
    """It is behind by so many versions of a type, and the oldest of them was sent so long ago."""

    subscriber: str
    type_url: str
    versions: int
    us: int


@dataclass(slots=True, frozen=True)
class CaughtUp:
    subscriber: str
    type_url: str


@dataclass(slots=True, frozen=True)
class Forgot:
    subscriber: str


Event: TypeAlias = Came | Left | Sent | Acked | Nacked | Hurry | Turn | Tick
Action: TypeAlias = Admit | TurnAway | Refuses | Lags | CaughtUp | Forgot


@dataclass(slots=True)
class Progress:
    """Of one subscriber and one type.  Numbers of versions count up; 0: none."""

    sent: int = 0
    acked: int = 0
    settled: int = 0  # the newest acknowledged or refused
    open: tuple[tuple[int, int, int], ...] = ()  # number, generation, time of KEPT sent since
    refused: int = 0  # times in a row
    reason: str = ""
    lagging: bool = False


KEPT = 8  # sent versions remembered: a proxy is owed the newest state, not every one


@dataclass(slots=True)
class Subscriber:
    """`generation`: the newest whose endpoints it has acknowledged, -1 none; `since`: of its state."""

    name: str
    state: State
    since: int
    stream: int
    number: int  # of its coming
    generation: int = -1
    has_view: bool = False
    types: dict[str, Progress] = field(default_factory=dict)


class Subscribers:
    """A decider: `handle(now, event) -> actions`.  `random` only spreads the newcomers.

    `counted`: the type whose acknowledgements tell which endpoints a proxy uses.  `stale_us`: how long one
    that is away is taken to go on by its last view.
    """

    def __init__(
        self,
        random: Random,
        counted: str,
        stale_us: int = 60_000_000,
        admit_per_s: float = ADMIT_PER_S,
        most: int = MOST,
    ) -> None:
        self.known: dict[str, Subscriber] = {}
        self._random, self._counted, self._stale_us, self._most = random, counted, stale_us, most
        self._step, self._next = 1e6 / admit_per_s, float("-inf")
        self._queue: list[tuple[int, int, str]] = []  # turn, number, subscriber
        self._numbers = 0
        self._away: dict[str, None] = {}  # the longest first
        self._owing: dict[tuple[str, str], None] = {}  # subscriber and type that owe an answer

    def handle(self, now: int, event: Event) -> list[Action]:
        actions: list[Action]
        match event:
            case Came():
                actions = self._came(now, event)
            case Left():
                actions = self._left(now, event)
            case Hurry():
                waiting = [s for s in self.known.values() if s.state is State.WAITING and s.has_view]
                actions = [self._admit(now, s) for s in waiting]
            case Turn():
                actions = self._turns(now)
            case Tick():
                actions = [*self._turns(now), *self._time(now)]
            case _:
                actions = self._progress(now, event)
        return actions

    @property
    def next_at(self) -> int | None:
        """When the next newcomer's turn is; None: nobody waits."""
        return self._queue[0][0] if self._queue else None

    def carriers(self) -> Carriers:
        """For the plan: who may be sending, and by which generation."""
        return Carriers(tuple(Carrier(s.name, s.generation) for s in self.known.values() if s.has_view))

    # Coming and going

    def _came(self, now: int, event: Came) -> list[Action]:
        actions: list[Action] = []
        known = self.known.get(event.subscriber)
        if known is None and len(self.known) >= self._most:
            if not self._away:
                return [
                    TurnAway(
                        event.subscriber,
                        f"{self._most} subscribers are connected: start another "
                        "instance of the service, or raise its limit",
                    )
                ]
            actions.append(self._forget(next(iter(self._away))))
        self._away.pop(event.subscriber, None)
        if known is not None:
            self._settle(known)
        self._numbers += 1
        s = self.known[event.subscriber] = Subscriber(
            event.subscriber, State.WAITING, now, event.stream, self._numbers
        )
        # What it says it has is what it goes by, whatever we remember of it.
        s.generation = -1 if event.acknowledged is None else event.acknowledged
        s.has_view = event.acknowledged is not None
        self._next = max(self._next, now - BURST * self._step)
        self._next += self._step
        turn = max(now, int(self._next))
        if turn > now:
            turn += int(self._random.random() * min(self._step * BURST, turn - now))
        heappush(self._queue, (turn, s.number, s.name))
        if len(self._queue) > 2 * len(self.known):  # most are of streams that have ended
            self._queue = [q for q in self._queue if self._waits(q[2], q[1])]
            heapify(self._queue)
        return actions

    def _left(self, now: int, event: Left) -> list[Action]:
        s = self.known.get(event.subscriber)
        if s is None or s.state is State.AWAY or s.stream != event.stream:
            return []
        self._settle(s)
        s.state, s.since = State.AWAY, now
        self._away[s.name] = None
        return []

    def _forget(self, name: str) -> Forgot:
        del self.known[name], self._away[name]
        return Forgot(name)

    def _settle(self, s: Subscriber) -> None:
        """Its stream has ended: nothing is owed on it any more."""
        for type_url in s.types:
            self._owing.pop((s.name, type_url), None)
        s.types = {}

    def _waits(self, name: str, number: int) -> bool:
        s = self.known.get(name)
        return s is not None and s.state is State.WAITING and s.number == number

    def _admit(self, now: int, s: Subscriber) -> Admit:
        s.state, s.since = State.CONNECTED, now
        return Admit(s.name)

    # What was sent, and what became of it

    def _progress(self, now: int, event: Sent | Acked | Nacked) -> list[Action]:
        s = self.known.get(event.subscriber)
        if s is None or s.state is not State.CONNECTED:
            return []
        p = s.types.setdefault(event.type_url, Progress())
        if isinstance(event, Sent):
            if event.number > p.sent:
                p.sent = event.number
                p.open = (*p.open[-KEPT + 1 :], (event.number, event.generation, now))
                self._owing[s.name, event.type_url] = None
                if event.type_url == self._counted and not s.has_view:
                    s.has_view, s.generation = True, event.generation  # it has this, or nothing yet
            return []
        if not p.settled < event.number <= p.sent:
            return []  # of a version never sent, or one that a later word has settled
        p.settled = event.number
        actions: list[Action] = []
        if isinstance(event, Acked):
            p.acked, p.refused, p.reason = event.number, 0, ""
            generation = next((g for number, g, _ in p.open if number == event.number), -1)
            if event.type_url == self._counted and generation >= 0:
                s.generation, s.has_view = max(s.generation, generation), True
        else:
            p.refused, p.reason = p.refused + 1, event.reason[:REASONS]
            actions.append(Refuses(s.name, event.type_url, p.reason, p.refused))
        p.open = tuple(o for o in p.open if o[0] > event.number)
        if not p.open:
            self._owing.pop((s.name, event.type_url), None)
        if p.lagging and not (p.open and self._late(now, p)):
            p.lagging = False
            actions.append(CaughtUp(s.name, event.type_url))
        return actions

    @staticmethod
    def _late(now: int, p: Progress) -> bool:
        return now - p.open[0][2] >= LAG_US or p.sent - p.settled >= LAG_VERSIONS

    # Time

    def _turns(self, now: int) -> list[Action]:
        actions: list[Action] = []
        while self._queue and self._queue[0][0] <= now:
            _, number, name = heappop(self._queue)
            if self._waits(name, number):
                actions.append(self._admit(now, self.known[name]))
        return actions

    def _time(self, now: int) -> list[Action]:
        actions: list[Action] = []
        while self._away:
            name = next(iter(self._away))
            if now - self.known[name].since < self._stale_us:
                break
            actions.append(self._forget(name))
        for name, type_url in list(self._owing):
            p = self.known[name].types[type_url]
            if not p.lagging and self._late(now, p):
                p.lagging = True
                actions.append(Lags(name, type_url, p.sent - p.settled, now - p.open[0][2]))
        return actions
