"""One state of the model: the real `Issuer`s and `Follower`s, what is on its way, the stores, the clocks.

Time goes in ticks, of which each process shows so many units as its own monotonic clock's rate says.  Steps
are named as the functions that they call.  A message may be lost (it is never delivered), overtaken and, as
often as the bounds say, doubled.  All are pulsed after a tick.  A process that is stopped is one to which
nothing is delivered and whose messages are lost; one that is stopped between deciding and sending is one
whose message is late.  So stops need no steps of their own.

With `streams` messages go as `xds.client.connection` and `issuing.office` have them go: a follower has one
stream at a time, whose first message is its `Ask`; an issuer answers on the stream on which it heard last, in
order, and one that does not lead tells what the store holds.  Without, any link may carry anything late.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import TypeAlias

from ...agreement import rules
from ...agreement.events import (
    NOTHING,
    Ack,
    Ask,
    Book,
    Contents,
    Fenced,
    FollowerAction,
    From,
    FromFollower,
    FromIssuer,
    Heard,
    InForce,
    IssuerAction,
    Keep,
    KeepRoll,
    Kept,
    Leading,
    Lease,
    Linked,
    Memory,
    Nack,
    Offered,
    Prepare,
    Propose,
    Pulse,
    Remember,
    Remembered,
    Reported,
    Restarted,
    RollKept,
    StillLeading,
    Tell,
    To,
    Version,
    VersionId,
    Word,
)
from ...agreement.follower import Follower
from ...agreement.issuer import Issuer, Peer
from ...agreement.lease import Timing, least_bound_us
from ...agreement.roll import NOBODY, Roll
from ...fleet.model import Cluster, Endpoint, Lifecycle, NodeId

UNIT = 4  # what an exact clock shows in a tick
TIMING = Timing(lease_us=4, renew_us=2, margin_us=0, rate_ppm=250_000)
BOUND = -(-least_bound_us(TIMING) // UNIT)  # ticks within which no contradiction lasts
TERM = 2  # ticks of true time that a leader's seat lasts
SURE = TERM * (UNIT - 1)  # what even the slowest clock may show of it


def contents(pool: str, attempts: int, node: Lifecycle = Lifecycle.UP) -> Contents:
    return Contents(
        {"routes.read": pool, "limits.max_attempts": str(attempts)},
        {"grid": Cluster("grid", (Endpoint(NodeId("a", 1), "10.0.0.1", 80, lifecycle=node),))},
    )


FIRST, SECOND, THIRD = contents("p", 3), contents("q", 1), contents("r", 2)
DRAINED = contents("p", 3, Lifecycle.DRAINING)  # of keys without a floor: the first, but for the node
CALM_MOST = 40  # ticks without faults after which everyone uses what is in force
MOST_DELIVERIES = 1000

# "up" or "down", follower, issuer, what, and the stream's number (0: there are no streams)
Sent: TypeAlias = "tuple[str, int, int, FromFollower | FromIssuer, int]"


@dataclass(frozen=True, slots=True)
class Shape:
    """How large the model is.  `rates`: units a tick of each follower's clock, then of each issuer's."""

    followers: int = 2
    issuers: int = 2
    rates: tuple[int, ...] = (4, 3, 4, 5)
    on_the_way: int = 2  # messages on each link each way; the oldest goes lost
    ticks: int = 8
    proposals: tuple[Contents, ...] = (SECOND,)
    crashes: int = 0  # of followers, each with what its store holds
    doubles: int = 0  # messages delivered twice
    nacks: int = 0  # versions refused
    seats: int = 0  # changes of leadership
    renews: int = 0  # of the leader's seat
    wall: int = 0  # jumps of the wall clock, by so many units back
    streams: bool = False
    moves: int = 0  # streams that end, each for another to any issuer
    follower: type[Follower] = Follower
    issuer: type[Issuer] = Issuer
    ack_first: bool = False  # planted: what is to be remembered is on its way while the ack goes
    wall_leases: bool = False  # planted: followers count by the wall clock


def _copy_follower(one: Follower) -> Follower:
    new = object.__new__(type(one))
    for name in Follower.__slots__:
        setattr(new, name, getattr(one, name))
    new.asks, new.passed, new.waiting = dict(one.asks), list(one.passed), dict(one.waiting)
    return new


def _copy_issuer(one: Issuer) -> Issuer:
    new = object.__new__(type(one))
    for name in Issuer.__slots__:
        setattr(new, name, getattr(one, name))
    new.roll = Roll()
    for name in Roll.__slots__:
        setattr(new.roll, name, getattr(one.roll, name))
    new.excluded, new.history = set(one.excluded), one.history.copy()
    new.peers = {}
    for key, peer in one.peers.items():
        new.peers[key] = other = Peer()
        for name in Peer.__slots__:
            setattr(other, name, getattr(peer, name))
    return new


class World:
    """One state; `steps` gives each state that can follow, by the name of the step."""

    __slots__ = (
        "ages",
        "book",
        "budget",
        "disks",
        "followers",
        "heard_on",
        "held_until",
        "issuers",
        "jumped",
        "life",
        "net",
        "promised",
        "roll",
        "seat",
        "shape",
        "streams",
        "t",
        "told",
        "unwritten",
        "versions",
        "wrong",
    )

    def __init__(self, shape: Shape) -> None:
        self.shape, self.t, self.life = shape, 0, 1
        self.followers = [shape.follower(TIMING) for _ in range(shape.followers)]
        self.issuers = [shape.issuer(TIMING) for _ in range(shape.issuers)]
        self.disks = [Memory() for _ in self.followers]
        self.net: tuple[Sent, ...] = ()
        self.book, self.seat, self.held_until = Book(), (-1, 0), 0  # who leads under which epoch
        self.roll = NOBODY  # who follows, as the issuers' store has it
        self.budget: tuple[int, ...] = _budget(shape)
        self.ages: dict[tuple[int, int], int] = {}  # for how many ticks two have contradicted each other
        self.promised = [NOTHING for _ in self.followers]  # the newest each acknowledged
        self.unwritten: list[Memory | None] = [None for _ in self.followers]
        self.streams = [(0, 1) for _ in self.followers]  # to which issuer, and which one it is
        self.heard_on: dict[tuple[int, int], int] = {}  # by issuer and follower, on which one it heard last
        self.jumped = 0
        self.told = 0  # proposals made
        self.wrong = ""
        self.versions: dict[VersionId, Contents] = {}  # all that were ever prepared, in any state

    def copy(self) -> World:
        new = object.__new__(World)
        for name in World.__slots__:
            setattr(new, name, getattr(self, name))
        new.followers = list(self.followers)  # each is copied when it is touched
        new.issuers = list(self.issuers)
        new.disks, new.promised, new.ages = list(self.disks), list(self.promised), dict(self.ages)
        new.unwritten = list(self.unwritten)
        new.streams, new.heard_on = list(self.streams), dict(self.heard_on)
        return new

    # Clocks

    def follower_now(self, f: int) -> int:
        now = self.t * self.shape.rates[f]
        return now - self.jumped if self.shape.wall_leases else now

    def issuer_now(self, i: int) -> int:
        return self.t * self.shape.rates[self.shape.followers + i]

    # What deciders answer

    def _send(self, way: str, f: int, i: int, message: FromFollower | FromIssuer) -> None:
        number = 0
        if self.shape.streams:
            number = self.streams[f][1]
            if self.streams[f][0] != i or way == "down" and self.heard_on.get((i, f)) != number:
                return  # nobody reads that one any more
        link = [sent for sent in self.net if sent[:3] == (way, f, i)]
        if any(sent[3:] == (message, number) for sent in link):
            return
        if len(link) >= self.shape.on_the_way:
            if number and any(sent[4] == number for sent in link):
                return  # a stream does not lose what it began with
            net = list(self.net)
            net.remove(link[0])
            self.net = tuple(net)
        self.net += ((way, f, i, message, number),)

    def _follower(self, f: int, actions: list[FollowerAction]) -> None:
        follower = self.followers[f]
        late = []
        for action in actions:
            if isinstance(action, Tell):
                if isinstance(action.message, Ack):
                    self.promised[f] = max(self.promised[f], action.message.id)
                for i, issuer in enumerate(self.issuers):
                    if issuer.leading or self.shape.streams:
                        self._send("up", f, i, action.message)
            elif isinstance(action, Remember):
                if self.shape.ack_first:
                    self.unwritten[f] = action.memory
                else:
                    self.disks[f] = action.memory
                late += follower.handle(self.follower_now(f), Remembered(action.number))
        if late:
            self._follower(f, late)

    def _issuer(self, i: int, actions: list[IssuerAction]) -> None:
        for action in actions:
            if isinstance(action, To):
                if isinstance(action.message, Prepare):
                    self.versions.setdefault(action.message.version.id, action.message.version.contents)
                elif isinstance(action.message, Lease) and action.follower not in self.roll:
                    self.wrong = f"follower {action.follower} is given a lease and is not on the store's roll"
                self._send("down", int(action.follower), i, action.message)
            elif isinstance(action, Keep) and action.epoch == self.seat[1]:
                self.book = action.book
                if action.book.force is not None:
                    self._issuer(i, self.issuers[i].handle(self.issuer_now(i), Kept(action.book.force.id)))
            elif isinstance(action, KeepRoll) and action.epoch == self.seat[1]:
                self.roll = action.names
                self._issuer(i, self.issuers[i].handle(self.issuer_now(i), RollKept(action.number)))
            elif isinstance(action, Reported) and action.word is Word.IN_FORCE:
                self._said_in_force(action)

    def _said_in_force(self, said: Reported) -> None:
        """Each follower has had a lease before the model begins: one that has not acknowledged is named."""
        named = said.text.partition("do not reach ")[2].split(", ")
        for f, promised in enumerate(self.promised):
            if promised < said.id and str(f) not in named:
                self.wrong = f"{said.id} is in force, and follower {f}, who has not taken it, is not named"

    # Steps

    def steps(self) -> Iterator[tuple[str, World]]:
        seen = set()
        for index, sent in enumerate(self.net):
            # A stream keeps the order.
            tag = (sent[0], sent[1], sent[2], sent[4]) if self.shape.streams else _tag(sent)
            if tag not in seen:
                seen.add(tag)
                yield from self._deliveries(index, sent)
        if self.t < self.shape.ticks:
            yield "tick", self._after(World.tick)
        for f, memory in enumerate(self.unwritten):
            if memory is not None:
                yield f"written {f}", self._after(lambda new, f=f: new.write(f))  # type: ignore[misc]
        yield from self._faults()

    def _after(self, step: Callable[[World], None]) -> World:
        new = self.copy()
        step(new)
        new.judge()
        return new

    def _deliveries(self, index: int, sent: Sent) -> Iterator[tuple[str, World]]:
        way, f, i, message, _ = sent
        name = f"{'issuer' if way == 'up' else 'follower'} {i if way == 'up' else f}: {_shown(message)}"
        yield name, self._after(lambda new: new.deliver(index))
        if self.budget[2]:
            yield f"{name}, twice", self._after(lambda new: new.deliver(index, twice=True))
        if self.budget[3] and isinstance(message, Prepare):
            yield f"{name}, refused", self._after(lambda new: new.deliver(index, refusal="hall_emptied"))

    def _faults(self) -> Iterator[tuple[str, World]]:
        if self.budget[0]:
            for i, issuer in enumerate(self.issuers):
                if issuer.leading:
                    yield f"propose at {i}", self._after(lambda new, i=i: new.propose(i))  # type: ignore[misc]
        if self.budget[1]:
            for f in range(self.shape.followers):
                yield f"restart {f}", self._after(lambda new, f=f: new.restart(f))  # type: ignore[misc]
        if self.budget[4] and self.t >= self.held_until:
            for i in range(self.shape.issuers):
                if i != self.seat[0]:
                    yield f"lead {i}", self._after(lambda new, i=i: new.lead(i))  # type: ignore[misc]
        if self.budget[6] and self.t < self.held_until:
            yield "renew", self._after(World.renew)
        if self.budget[7]:
            for f in range(self.shape.followers):
                for i in range(self.shape.issuers):
                    yield f"follower {f} to issuer {i}", self._after(lambda new, f=f, i=i: new.move(f, i))  # type: ignore[misc]
        if self.budget[5]:
            yield "wall clock jumps", self._after(World.jump)

    def _spend(self, which: int) -> None:
        budget = list(self.budget)
        budget[which] -= 1
        self.budget = tuple(budget)

    def tick(self) -> None:
        self.t += 1
        for p in range(self.shape.followers + self.shape.issuers):
            self.pulse(p)
        for pair in self.pairs():
            self.ages[pair] = self.ages.get(pair, 0) + 1 if self.contradicting(*pair) else 0

    def deliver(self, index: int, twice: bool = False, refusal: str = "") -> None:
        way, f, i, message, number = self.net[index]
        if twice:
            self._spend(2)
        else:
            self.net = self.net[:index] + self.net[index + 1 :]
        if way == "up":
            issuer = self.issuers[i] = _copy_issuer(self.issuers[i])
            assert isinstance(message, Ask | Ack | Nack | Fenced)
            if number:
                self.heard_on[i, f] = number
            if self.shape.streams and isinstance(message, Ask) and not issuer.leading:
                self._stand_by(f, i, message)
            self._issuer(i, issuer.handle(self.issuer_now(i), From(str(f), message)))
            return
        follower = self.followers[f] = _copy_follower(self.followers[f])
        if isinstance(message, Prepare):
            if refusal:
                self._spend(3)
            event: Offered | Heard = Offered(message, refusal)
        else:
            event = Heard(message)  # type: ignore[arg-type]
        before = follower.told.id if follower.told is not None else NOTHING
        self._follower(f, follower.handle(self.follower_now(f), event))
        if follower.told is not None and follower.told.id < before:
            self.wrong = f"follower {f} goes back from {before} to {follower.told.id}"

    def _stand_by(self, f: int, i: int, ask: Ask) -> None:
        """As `issuing.office` has it: what the store holds, under the epoch of whoever leads."""
        version, epoch = self.book.prepared or self.book.force, self.seat[1]
        if version is None or epoch < ask.epoch:
            return
        if version.id > ask.told:
            self._send("down", f, i, Prepare(epoch, version))
        elif self.book.force is not None:
            self._send("down", f, i, InForce(epoch, self.book.force.id))

    def move(self, f: int, i: int) -> None:
        self._spend(7)
        self._connect(f, i)

    def _connect(self, f: int, i: int) -> None:
        """The follower's stream ends, and it opens one to this issuer."""
        self.streams[f] = i, self.streams[f][1] + 1
        self.net = tuple(sent for sent in self.net if sent[:2] != ("down", f))
        follower = self.followers[f] = _copy_follower(self.followers[f])
        self._follower(f, follower.handle(self.follower_now(f), Linked()))

    def pulse(self, p: int) -> None:
        if p < self.shape.followers:
            follower = self.followers[p] = _copy_follower(self.followers[p])
            self._follower(p, follower.handle(self.follower_now(p), Pulse()))
        else:
            i = p - self.shape.followers
            issuer = self.issuers[i] = _copy_issuer(self.issuers[i])
            self._issuer(i, issuer.handle(self.issuer_now(i), Pulse()))

    def propose(self, i: int) -> None:
        self._spend(0)
        issuer = self.issuers[i] = _copy_issuer(self.issuers[i])
        proposal = self.shape.proposals[self.told]
        self.told += 1
        self._issuer(i, issuer.handle(self.issuer_now(i), Propose(proposal)))

    def write(self, f: int) -> None:
        self.disks[f], self.unwritten[f] = self.unwritten[f] or self.disks[f], None

    def restart(self, f: int) -> None:
        """Killed and started again, with what its store holds."""
        self._spend(1)
        self.life += 1
        self.unwritten[f] = None
        self.followers[f] = self.shape.follower(TIMING)
        if self.shape.streams:
            self.streams[f] = self.streams[f][0], self.streams[f][1] + 1
            self.net = tuple(sent for sent in self.net if sent[:2] != ("down", f))
        self._follower(f, self.followers[f].handle(self.follower_now(f), Restarted(self.life, self.disks[f])))

    def lead(self, i: int) -> None:
        """Its seat is free or has run out; the former leader need not know."""
        self._spend(4)
        self.seat, self.held_until = (i, self.seat[1] + 1), self.t + TERM
        issuer = self.issuers[i] = _copy_issuer(self.issuers[i])
        self._issuer(
            i,
            issuer.handle(
                self.issuer_now(i), Leading(self.seat[1], self.issuer_now(i) + SURE, self.book, self.roll)
            ),
        )

    def renew(self) -> None:
        self._spend(6)
        self._renew()

    def _renew(self) -> None:
        i, self.held_until = self.seat[0], self.t + TERM
        issuer = self.issuers[i] = _copy_issuer(self.issuers[i])
        self._issuer(
            i, issuer.handle(self.issuer_now(i), StillLeading(self.seat[1], self.issuer_now(i) + SURE))
        )

    def jump(self) -> None:
        self._spend(5)
        self.jumped += self.shape.wall

    # What must hold

    def pairs(self) -> list[tuple[int, int]]:
        n = self.shape.followers
        return [(a, b) for a in range(n) for b in range(a + 1, n)]

    def in_use(self, f: int) -> rules.InUse:
        return self.followers[f].in_use(self.follower_now(f))

    def contradicting(self, a: int, b: int) -> bool:
        return bool(rules.contradict(self.in_use(a), self.in_use(b)))

    def judge(self) -> None:
        """Notes in `wrong` what must not be."""
        for a, b in self.pairs():
            if keys := rules.in_use_across(self.in_use(a), self.in_use(b), self.versions):
                self.wrong = f"{a} and {b} contradict each other in {', '.join(keys)}, one by a lease"
            elif self.ages.get((a, b), 0) > BOUND:
                self.wrong = f"{a} and {b} have contradicted each other for over {BOUND} ticks"
        for f, follower in enumerate(self.followers):
            told = follower.told.id if follower.told is not None else NOTHING
            if told < self.promised[f]:
                self.wrong = f"follower {f} has acknowledged {self.promised[f]} and is at {told}"

    # What tells states apart: two that differ only in what is over, or in how `Ask`s are numbered, are one

    def key(self) -> tuple[object, ...]:
        asks = [self._live_asks(f) for f in range(self.shape.followers)]
        return (
            self.t,
            tuple((_tag(sent, asks[sent[1]]), sent[4]) for sent in self.net),
            tuple(self.streams),
            tuple(sorted(self.heard_on.items())),
            _id(self.book.force),
            _id(self.book.prepared),
            self.roll,
            self.seat,
            max(self.held_until, self.t),
            self.budget,
            self.jumped,
            tuple(self.promised),
            tuple(sorted(pair for pair in self.ages.items() if pair[1])),
            tuple(self._follower_key(f, asks[f]) for f in range(self.shape.followers)),
            tuple(_issuer_key(one, self.issuer_now(i), asks) for i, one in enumerate(self.issuers)),
        )

    def _live_asks(self, f: int) -> list[int]:
        """Numbers of those `Ask`s of this life to which an answer can still come, in order."""
        life = self.followers[f].life
        return sorted(
            {
                message.number
                for _, of, _, message, _ in self.net
                if of == f and isinstance(message, Ask | Lease) and message.life == life
            }
        )

    def _follower_key(self, f: int, asks: list[int]) -> tuple[object, ...]:
        one, disk, now = self.followers[f], self.disks[f], self.follower_now(f)
        asked = None if one.asked_at is None else min(now - one.asked_at, TIMING.renew_us)
        return (
            one.life,
            one.epoch,
            _id(one.told),
            one.acked,
            one.force,
            _said(one.bound),
            max(one.until - now, 0),
            asked,
            tuple(one.asks.get(number) for number in asks),
            tuple(one.passed),
            disk.epoch,
            _id(disk.told),
            disk.force,
            _said(disk.bound or FIRST),
            disk.passed,
            self.unwritten[f] is None,
        )

    # Without faults

    def calm(self) -> None:
        """Leadership is renewed, a tick goes by, and everything is delivered."""
        if self.seat[0] >= 0:
            self._renew()
        self.tick()
        for _ in range(MOST_DELIVERIES):
            if not self.net:
                break
            self.deliver(0)
        self.judge()

    def settled(self) -> bool:
        """Does everyone use the version that the store has in force?"""
        newest = self.book.force
        return (
            newest is not None
            and self.book.prepared is None
            and all(
                one.told is not None
                and one.told.id == newest.id == one.force
                and one.granted(self.follower_now(f))
                for f, one in enumerate(self.followers)
            )
        )

    def recovers(self) -> bool:
        """Once faults end: a seat is taken, contents are proposed, and all come to use them."""
        one = self.copy()
        one.budget = (*one.budget[:4], 2, 0, 0, 0)
        if one.t >= one.held_until or one.seat[0] < 0 or not one.issuers[one.seat[0]].leading:
            one.t = max(one.t, one.held_until)
            one.lead(0 if one.seat[0] != 0 else len(one.issuers) - 1)
        if one.shape.streams:
            for f in range(one.shape.followers):
                one._connect(f, one.seat[0])
        for number in range(CALM_MOST):
            if number == 3:
                i = one.seat[0]
                one.issuers[i] = _copy_issuer(one.issuers[i])
                one._issuer(i, one.issuers[i].handle(one.issuer_now(i), Propose(THIRD)))
            one.calm()
            if one.wrong:
                return False
            if number > 3 and one.settled():
                return all(f.bound == THIRD for f in one.followers)
        return False


def _budget(shape: Shape) -> tuple[int, ...]:
    return (
        len(shape.proposals),
        shape.crashes,
        shape.doubles,
        shape.nacks,
        shape.seats,
        1 if shape.wall else 0,
        shape.renews,
        shape.moves,
    )


def _id(version: Version | None) -> VersionId:
    return version.id if version is not None else NOTHING


def _tag(sent: Sent, asks: list[int] | None = None) -> tuple[object, ...]:
    """A message by what it says; of a version, which it is; an `Ask` and its answer by their place."""
    way, f, i, message, _ = sent
    if asks is not None and isinstance(message, Ask | Lease) and message.number in asks:
        return way, f, i, replace(message, number=asks.index(message.number))
    if isinstance(message, Prepare):
        return way, f, i, "Prepare", message.epoch, message.version.id
    return sent[:4]


def _said(contents: Contents) -> tuple[object, ...]:
    return (
        *contents.settings.items(),
        *(end.lifecycle for cluster in contents.clusters.values() for end in cluster.endpoints),
    )


def _issuer_key(one: Issuer, now: int, asks: list[list[int]]) -> tuple[object, ...]:
    if not one.leading:
        return one.epoch, one.number
    half = TIMING.renew_us // 2
    return (
        one.epoch,
        one.number,
        max(one.sure_until - now, 0),
        max(one.ready_at - now, 0),
        _id(one.force),
        _id(one.prepared),
        _id(one.keeping),
        one.pending and _said(one.pending.contents),
        one.unknown,
        one.roll.held,
        one.roll.asked,
        tuple(
            (
                n,
                p.heard,
                p.acked,
                p.force,
                max(p.until - now, 0),
                p.life,
                sum(number < p.number for number in asks[int(n)]),
                p.sent,
                min(now - p.sent_at, half),
            )
            for n, p in one.peers.items()
        ),
    )


def _shown(message: FromFollower | FromIssuer) -> str:
    if isinstance(message, Prepare):
        return f"Prepare {message.version.id} of epoch {message.epoch}"
    if isinstance(message, Ask):
        return f"Ask {message.number}, told {message.told}, in force {message.force}"
    if isinstance(message, Lease):
        return f"Lease {message.id} for Ask {message.number} of epoch {message.epoch}"
    return f"{type(message).__name__} {message.id if not hasattr(message, 'epoch') else message}"


def steady(shape: Shape) -> World:
    """Where the model starts: the first version is in force, and each follower has a lease for it."""
    world = World(shape)
    world.budget = (0, 0, 0, 0, 1, 0, 0, 0)
    for f, follower in enumerate(world.followers):
        world._follower(f, follower.handle(0, Restarted(1, Memory())))
    world.lead(0)
    world._issuer(0, world.issuers[0].handle(0, Propose(FIRST)))
    for _ in range(CALM_MOST):
        world.calm()
    assert world.settled(), "without faults all come to use the first version"
    world.shape = replace(shape, ticks=world.t + shape.ticks)
    world.budget = _budget(shape)
    world.net, world.ages = (), {}
    for f, memory in enumerate(world.unwritten):
        world.disks[f], world.unwritten[f] = memory or world.disks[f], None
    world.judge()
    return world
