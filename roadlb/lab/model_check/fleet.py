"""Many followers and two issuers in simulated time, with faults drawn from a seed, and a witness beside them.

The real deciders; each process has a clock that is up to 200 ppm off, messages are late, lost or overtaken,
links are cut one way or both, processes are stopped and go on, crash and come back with what they stored.
The witness knows true time and looks at what each follower uses, not at what it says.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ...agreement import rules
from ...agreement.events import (
    NOTHING,
    Book,
    Contents,
    Deposed,
    FollowerAction,
    FollowerEvent,
    From,
    FromFollower,
    FromIssuer,
    Heard,
    IssuerAction,
    IssuerEvent,
    Keep,
    KeepRoll,
    Kept,
    Leading,
    Memory,
    Offered,
    Prepare,
    Propose,
    Pulse,
    Remember,
    Remembered,
    Restarted,
    RollKept,
    StillLeading,
    Tell,
    To,
    Unkept,
    VersionId,
)
from ...agreement.follower import Follower
from ...agreement.issuer import Issuer
from ...agreement.lease import Timing, least_bound_us

TIMING = Timing()
SECOND_US = 1_000_000
SEAT_US = 3 * SECOND_US  # a leader's seat, renewed each third of it
PULSE_US = 250_000
STORE_US = 2_000  # a write of a follower's store or of the issuers'


def contents(pool: str, attempts: int, quota: int) -> Contents:
    return Contents(
        {
            "routes.read": pool,
            "limits.max_attempts": str(attempts),
            "tenants.count": "1",
            "tenants.0.name": "t",
            "tenants.0.quota_per_s": str(quota),
        }
    )


CHOICES = (
    contents("p", 3, 50),
    contents("q", 1, 80),
    contents("p", 2, 20),
    contents("", 3, 80),
    contents("q", 2, 50),
)


@dataclass(frozen=True, slots=True)
class Weather:
    """What goes wrong, and how often.  Shares 0..1; counts are for a whole run."""

    loss: float = 0.02
    late: float = 0.02  # share of messages that take up to `late_us`
    late_us: int = 3 * SECOND_US
    cuts: int = 6  # links between a follower and an issuer, one way or both, up to 12 s
    stops: int = 4  # followers or issuers, up to 12 s
    crashes: int = 3  # followers, back after up to 3 s
    ppm: int = 200


ROUGH, CLEAR = Weather(), Weather(0.0, 0.0, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True, eq=True)
class Group:
    """What some followers have in common: the newest version told, what it says, and what they use.

    Contents are told apart by identity: the witness keeps one object of each."""

    id: VersionId
    told: Contents
    used: Contents
    lapsed: bool
    force: VersionId

    def __hash__(self) -> int:
        return hash((self.id, id(self.told), id(self.used), self.lapsed, self.force))


@dataclass(slots=True)
class Result:
    """Times in microseconds of true time.  `longest`: for which one follower went on contradicting others;
    `apart`: in keys that have no floor, without a lease, where no bound is claimed; `across`: instants at
    which two did while the newer used a grant, which must be none."""

    longest: int = 0
    apart: int = 0
    across: int = 0
    in_force: list[int] = field(default_factory=list)  # from the proposal to the store's word
    used: list[int] = field(default_factory=list)  # to the last follower that uses it
    messages: int = 0
    versions: int = 0


class Fleet:
    """One run; `run` gives its `Result`."""

    def __init__(
        self,
        seed: int,
        followers: int = 12,
        length_s: float = 60.0,
        weather: Weather = ROUGH,
        timing: Timing = TIMING,
        every_s: float = 8.0,
        follower: type[Follower] = Follower,
        proposals: Callable[[Random], Contents] = lambda random: random.choice(CHOICES),
    ) -> None:
        self.random, self.weather, self.timing, self.make = Random(seed), weather, timing, follower
        self.end, self.now, self.order, self.proposals = int(length_s * 1e6), 0, 0, proposals
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.result = Result()
        self.followers = [follower(timing) for _ in range(followers)]
        self.issuers = [Issuer(timing) for _ in range(2)]
        self.disks = [Memory() for _ in self.followers]
        self.lives = [0 for _ in self.followers]
        count = followers + 2
        self.rates = [1 + self.random.uniform(-weather.ppm, weather.ppm) / 1e6 for _ in range(count)]
        self.offsets = [self.random.randrange(10**12) for _ in range(count)]
        self.stopped: dict[int, list[Callable[[], None]]] = {}  # what waits for a process to go on
        self.cut: dict[tuple[int, int], int] = {}  # a link, one way, until then
        self.book, self.epoch, self.seat, self.held_until = Book(), 0, -1, 0
        self.roll: frozenset[str] = frozenset()
        self.proposed: dict[VersionId, int] = {}
        self.waiting: dict[VersionId, set[int]] = {}
        self.since: list[int | None] = [None for _ in self.followers]
        self.since_apart: list[int | None] = [None for _ in self.followers]
        self.memo: dict[tuple[int, int], tuple[bool, bool]] = {}
        self.known: dict[tuple[object, ...], Contents] = {}
        self.versions: dict[VersionId, Contents] = {}
        self.states: list[Group | None] = [None for _ in self.followers]
        self.groups: dict[Group, set[int]] = {}
        self.until = [-1 for _ in self.followers]
        self._plan(every_s)

    # Time

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, what))

    def clock(self, process: int) -> int:
        """Its monotonic clock now; followers are numbered first, then issuers."""
        return self.offsets[process] + int(self.now * self.rates[process])

    def run(self) -> Result:
        while self.queue and self.queue[0][0] <= self.end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        for f in range(len(self.followers)):
            self._witness(f)
        return self.result

    def _plan(self, every_s: float) -> None:
        draw, n, weather = self.random.randrange, len(self.followers), self.weather
        for f in range(n):
            self.at(draw(PULSE_US), lambda f=f: self.restart(f, first=True))  # type: ignore[misc]
        for i in range(2):
            self.at(draw(PULSE_US), lambda i=i: self.pulse_issuer(i))  # type: ignore[misc]
        when = 6 * SECOND_US  # a first leader has waited
        while when < self.end:
            self.at(when, self.propose)
            when += int(self.random.expovariate(1 / (every_s * 1e6))) + 1
        for _ in range(weather.cuts):
            process, i = draw(n), n + draw(2)
            ways = self.random.choice((((process, i),), ((i, process),), ((process, i), (i, process))))
            when, length = draw(self.end), draw(12 * SECOND_US)
            self.at(
                when,
                lambda ways=ways, length=length: (  # type: ignore[misc]
                    self.cut.update({way: self.now + length for way in ways})
                ),
            )
        for _ in range(weather.stops):
            process, length = draw(n + 2), draw(12 * SECOND_US)
            self.at(draw(self.end), lambda p=process, us=length: self.stop(p, us))  # type: ignore[misc]
        for _ in range(weather.crashes):
            f, when, down = draw(n), draw(self.end), draw(3 * SECOND_US)
            self.at(when, lambda f=f, down=down: self.crash(f, down))  # type: ignore[misc]

    # Faults

    def stop(self, process: int, length: int) -> None:
        if process not in self.stopped:
            self.stopped[process] = []
            self.at(self.now + length, lambda: self.go_on(process))

    def go_on(self, process: int) -> None:
        for what in self.stopped.pop(process, []):
            what()

    def crash(self, f: int, down: int) -> None:
        self.lives[f] += 1
        self.followers[f] = self.make(self.timing)
        self._witness(f)
        self.at(self.now + down, lambda: self.restart(f))

    def restart(self, f: int, first: bool = False) -> None:
        self.lives[f] += 1
        event = Restarted(self.lives[f], Memory() if first else self.disks[f])
        self.tell_follower(f, self.lives[f], event)
        self.at(self.now + PULSE_US, lambda life=self.lives[f]: self.pulse_follower(f, life))  # type: ignore[misc]

    # Messages

    def send(self, source: int, to: int, deliver: Callable[[], None]) -> None:
        self.result.messages += 1
        weather, random = self.weather, self.random
        if self.cut.get((source, to), 0) > self.now or random.random() < weather.loss:
            return
        delay = random.randrange(200, 5_000)
        if random.random() < weather.late:
            delay += random.randrange(weather.late_us)
        self.at(self.now + delay, lambda: self.reach(to, deliver))

    def reach(self, process: int, deliver: Callable[[], None]) -> None:
        if process in self.stopped:
            self.stopped[process].append(deliver)
        else:
            deliver()

    def tell_follower(self, f: int, life: int, event: FollowerEvent) -> None:
        if life == self.lives[f]:
            self._follower(f, self.followers[f].handle(self.clock(f), event))
            self._witness(f)

    def _follower(self, f: int, actions: list[FollowerAction]) -> None:
        life = self.lives[f]
        for action in actions:
            if isinstance(action, Tell):
                for i in range(2):
                    self.send(f, len(self.followers) + i, lambda i=i, m=action.message: self._from(i, f, m))  # type: ignore[misc]
            elif isinstance(action, Remember):
                self.at(
                    self.now + STORE_US,
                    lambda a=action: self.reach(  # type: ignore[misc]
                        f, lambda: self._remembered(f, life, a)
                    ),
                )

    def _remembered(self, f: int, life: int, action: Remember) -> None:
        if life == self.lives[f]:
            self.disks[f] = action.memory
            self.tell_follower(f, life, Remembered(action.number))

    def _from(self, i: int, f: int, message: FromFollower) -> None:
        self.tell_issuer(i, From(str(f), message))

    def tell_issuer(self, i: int, event: IssuerEvent) -> None:
        self._issuer(i, self.issuers[i].handle(self.clock(len(self.followers) + i), event))

    def _issuer(self, i: int, actions: list[IssuerAction]) -> None:
        process = len(self.followers) + i
        for action in actions:
            if isinstance(action, To):
                if isinstance(action.message, Prepare):
                    told = action.message.version
                    self.versions.setdefault(told.id, self._same(told.contents))
                f = int(action.follower)
                self.send(process, f, lambda f=f, m=action.message: self._heard(f, m))  # type: ignore[misc]
            elif isinstance(action, Keep):
                self.at(self.now + STORE_US, lambda a=action: self._keep(i, a))  # type: ignore[misc]
            elif isinstance(action, KeepRoll):
                self.at(self.now + STORE_US, lambda a=action: self._keep_roll(i, a))  # type: ignore[misc]

    def _heard(self, f: int, message: FromIssuer) -> None:
        event = Offered(message) if isinstance(message, Prepare) else Heard(message)
        self.tell_follower(f, self.lives[f], event)

    def _keep(self, i: int, action: Keep) -> None:
        process, force = len(self.followers) + i, action.book.force
        if action.epoch == self.epoch:
            known = self.book.force.id if self.book.force is not None else NOTHING
            self.book = action.book
            if force is not None and force.id > known:
                self.result.versions += 1
                if force.id in self.proposed:
                    self.result.in_force.append(self.now - self.proposed[force.id])
                    self.waiting = {force.id: set(range(len(self.followers)))}
        if force is not None:
            event = Kept(force.id) if action.epoch == self.epoch else Unkept(force.id, "a higher epoch")
            self.reach(process, lambda: self.tell_issuer(i, event))

    def _keep_roll(self, i: int, action: KeepRoll) -> None:
        if action.epoch == self.epoch:
            self.roll = action.names
            self.reach(len(self.followers) + i, lambda: self.tell_issuer(i, RollKept(action.number)))

    # The two issuers

    def pulse_follower(self, f: int, life: int) -> None:
        if life != self.lives[f]:
            return
        self.reach(f, lambda: self.tell_follower(f, life, Pulse()))
        self.at(self.now + PULSE_US, lambda: self.pulse_follower(f, life))

    def pulse_issuer(self, i: int) -> None:
        self.reach(len(self.followers) + i, lambda: self._seat(i))
        self.at(self.now + PULSE_US, lambda: self.pulse_issuer(i))

    def _seat(self, i: int) -> None:
        """The seat as a store with leases keeps it: taken when it is free, renewed by who has it."""
        until = self.clock(len(self.followers) + i) + int(SEAT_US * 0.99)
        if self.seat == i and self.now < self.held_until:
            self.held_until = self.now + SEAT_US
            self.tell_issuer(i, StillLeading(self.epoch, until))
        elif self.now >= self.held_until:
            self.seat, self.epoch, self.held_until = i, self.epoch + 1, self.now + SEAT_US
            self.tell_issuer(i, Leading(self.epoch, until, self.book, self.roll))
        elif self.issuers[i].leading:
            self.tell_issuer(i, Deposed())
        self.tell_issuer(i, Pulse())

    def propose(self) -> None:
        """To whoever believes that it leads, so to a deposed one as well."""
        wanted = self.proposals(self.random)
        for i, issuer in enumerate(self.issuers):
            if issuer.leading and len(self.followers) + i not in self.stopped:
                before = issuer.number
                self.tell_issuer(i, Propose(wanted))
                if issuer.number > before and issuer.prepared is not None:
                    self.proposed[issuer.prepared.id] = self.now

    # The witness

    def _same(self, told: Contents) -> Contents:
        """One object for all contents that say the same."""
        return self.known.setdefault((*told.settings.items(), *told.clusters.values()), told)

    def _exceeds(self, used: Contents, told: Contents) -> tuple[bool, bool]:
        """In a key that has a floor, and in one that keeps its value when nothing is heard."""
        key = (id(used), id(told))
        found = self.memo.get(key)
        if found is None:
            kept = [rules.keeps(one) for one in rules.exceeds(used, told)]
            found = self.memo[key] = not all(kept), any(kept)
        return found

    def _contradicts(self, group: Group, told: Contents) -> bool:
        """While it has a lease in any key; without one a key that has no floor is told as apart."""
        floored, kept = self._exceeds(group.used, told)
        return floored or kept and not group.lapsed

    def _witness(self, f: int) -> None:
        """Follower f may use something else now: do it and the others contradict each other?"""
        one, clock = self.followers[f], self.clock(f)
        state = None
        if one.told is not None:
            state = Group(
                one.told.id,
                self._same(one.told.contents),
                self._same(one.used(clock)),
                not one.granted(clock),
                one.force,
            )
            if one.until > clock and self.until[f] != one.until:
                self.until[f] = one.until
                left = int((one.until - clock) / self.rates[f]) + 2
                self.at(self.now + left, lambda: self._witness(f))
        was = self.states[f]
        if state == was:
            return
        if was is not None:
            self.groups[was].discard(f)
            if not self.groups[was]:
                del self.groups[was]
        self.states[f] = state
        if state is not None:
            fresh = state not in self.groups
            self.groups.setdefault(state, set()).add(f)
            if self.waiting:
                self._count(f, state)
            if fresh:
                self.result.across += sum(self._across(state, other) for other in self.groups)
        for group, members in self.groups.items():
            newer = [other.told for other in self.groups if other.id > group.id]
            against = any(self._contradicts(group, told) for told in newer)
            apart = group.lapsed and any(self._exceeds(group.used, told)[1] for told in newer)
            for member in members:
                self._judge(member, against, apart)
        if state is None:
            self._judge(f, False, False)

    def _across(self, a: Group, b: Group) -> bool:
        older, newer = (a, b) if a.force < b.force else (b, a)
        return (
            not newer.lapsed
            and older.force != newer.force
            and self._contradicts(older, self.versions[newer.force])
        )

    def _judge(self, f: int, against: bool, apart: bool) -> None:
        self.result.longest = max(self.result.longest, self._lasted(self.since, f, against))
        self.result.apart = max(self.result.apart, self._lasted(self.since_apart, f, apart))

    def _lasted(self, since: list[int | None], f: int, goes_on: bool) -> int:
        """For how long it has by now, from `since` on, which is begun or ended here."""
        began = since[f]
        if not goes_on:
            since[f] = None
        elif began is None:
            since[f] = self.now
        return 0 if began is None else self.now - began

    def _count(self, f: int, state: Group) -> None:
        [(id, left)] = self.waiting.items()
        if state.id == id and state.used is state.told:
            left.discard(f)
            if not left:
                self.result.used.append(self.now - self.proposed[id])
                self.waiting = {}


BOUND_US = least_bound_us(TIMING)
