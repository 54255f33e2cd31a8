"""One balancer as a CPU with a quota, its clients and nodes, in simulated time: no wall clock, no sockets.

The process is the server of one queue.  In each turn of its loop it takes what can be read, in the order in
which it came, then the timers that are due; each piece costs CPU time.  A quota stops it as a cgroup does:
`cores` x 100 ms of work, then nothing up to the next period.  `roadlb.policy` decides, with its own events
and timers, on a fleet with capacity enough.  Clients ask without waiting for each other's answers, give each
try up after its time, ask again by their `Manner`, and hold at most `connections` at once, one request on
each; a try that finds none free has failed at once.  Times are microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from roadlb import Balancer
from roadlb.overload.controller import Action, Shed
from roadlb.overload.meter import READING_INTERVAL_US, Limits, Meter, Reading
from roadlb.overload.loop_monitor import LoopMonitor
from roadlb.policy.interface import (
    Arrival,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    ProcessOverload,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)

SECOND = 1_000_000
PERIOD_US = 100_000  # of the quota
MARGIN_US = 10_000  # what the way here and back takes off a client's time, as in net/frontend.py
WAY_US = 1_000  # to the balancer and back
READ, ORDER = 0, 1


@dataclass(frozen=True)
class Costs:
    """CPU time of each thing the process does.  Serving one request takes 230, refusing one 40."""

    read: int = 15  # a segment from a client: system call, parse
    refuse: int = 25  # then: the module, the refusal's text, a write
    take: int = 95  # or: the module, headers, a write to a node
    answer: int = 120  # a node's answer read, and passed on
    accept: int = 60  # a new connection
    gone: int = 20  # a client's close
    timer: int = 4

    @property
    def served(self) -> int:
        return self.read + self.take + self.answer

    def times(self, factor: float) -> Costs:
        return Costs(*(round(getattr(self, name) * factor) for name in self.__dataclass_fields__))


class Manner(IntEnum):
    """How a client that is refused comes again."""

    AT_ONCE = 0
    SOON = 1  # after a fixed wait
    AS_TOLD = 2  # after Retry-After


@dataclass(frozen=True)
class Site:
    """What is asked of the balancer, and what it may use."""

    costs: Costs = Costs().times(4)  # a slow machine: as much overload for a quarter of the events
    cores: float = 0.7
    told_cores: float = 0.0  # what it believes that it may use; 0: what it may
    connections: int = 341  # a third of 1,024 descriptors
    order_share: float = 0.3
    manners: tuple[float, float, float] = (0.5, 0.3, 0.2)
    retries: int = 3
    wait_us: int = 50_000
    work_us: tuple[int, int] = (15_000, 100_000)
    keys: int = 1_000
    classes: tuple[RequestClass, ...] = (
        RequestClass("grid-read", 500_000, 2_500_000, 2.0, 0.5),
        RequestClass("order", 600_000, 2_000_000, 10.0, 0.5, Effect.UNSAFE),
    )
    try_share: tuple[float, float] = (0.30, 0.55)  # of its give-up time, after which a try is given up

    @property
    def capacity(self) -> float:
        """Requests a second at which serving all takes all CPU time."""
        return self.cores * SECOND / self.costs.served


@dataclass(eq=False, slots=True)
class Request:
    """What a client wants, over all its tries."""

    cls: int
    key: int
    manner: Manner
    asked: int
    until: int
    tries: int = 0
    sends: int = 0  # attempts at nodes
    answered: int = 0  # when it was served; 0: it was not
    ends: int = 0  # final answers, over all tries
    burst: bool = False


@dataclass(eq=False, slots=True)
class Try:
    request: Request
    sent: int  # when its bytes were at the balancer
    given_up: int  # when the client leaves
    gone: bool = False
    done: bool = False  # answered, or seen to be gone
    until: int = 0  # as the balancer knows it
    ends: int = 0
    tellers: list[tuple[bytes, int]] = field(default_factory=list)  # attempts: server, sent at
    over: list[bool] = field(default_factory=list)


class Controller(Protocol):
    def handle(self, now: int, event: Reading) -> list[Action]: ...


@dataclass(slots=True)
class Sample:
    """One reading, as the plots and the tests look at it."""

    at: int
    reading: Reading
    share: float
    pressure: float


class Sim:
    """Play `site` for some time; then look at `requests`, `samples` and the counts."""

    def __init__(
        self,
        site: Site,
        rate: Callable[[int], float],
        controller: Controller | None,
        seed: int = 1,
        stops: Iterable[tuple[int, int]] = (),
        own_work: Iterable[tuple[int, int, bool]] = (),
        order_share: Callable[[int], float] | None = None,
        rude: int = 0,
        ages: str = "told",
    ) -> None:
        """`rate(t)` requests a second; the host stops the process at `stops` (when, for how long); at
        `own_work` it is busy with itself (when, for how long, is the list of nodes new then?).  From 1 s on
        so many `rude` clients send rubbish at full speed.  `ages`: where the pulse is late, the kernel tells
        how long bytes have waited (told), or they count as old as they may be (most), or as new (none)."""
        self.site, self.rate, self.controller, self.luck = site, rate, controller, random.Random(seed)
        self.order_share = order_share or (lambda t: site.order_share)
        self.now, self.cpu, self.left, self.period = 0, 0, round(site.cores * PERIOD_US), 0
        self.stops = deque(sorted(stops))
        self.outside: list[tuple[int, int, Callable[..., None], object]] = []
        self.timers: list[tuple[int, int, Callable[..., None], object]] = []
        self.count = 0
        self.readable: deque[tuple[Callable[..., None], object]] = deque()
        self.free = site.connections
        self.requests: list[Request] = []
        self.open: dict[int, Try] = {}
        self.next_id = 1
        self.samples: list[Sample] = []
        self.waits: list[int] = []  # from bytes at the balancer to its reading them
        self.late_answers = 0  # written when the client had gone
        self.told: list[Action] = []
        self.share = 0.0
        self.tries = self.read_tries = self.refused = self.unreachable = 0
        self.balancer = Balancer(Settings(classes=list(site.classes), max_retry_after_us=1_200_000), seed)
        self.pulse = LoopMonitor(0)
        limits = Limits(site.told_cores or site.cores, 64.0, 1_024)
        self.meter = Meter(
            0,
            self.pulse,
            limits,
            lambda: self.cpu,
            lambda: 32 << 20,
            lambda: 100 + site.connections - self.free,
            lambda: (self.read_tries, self.refused),
        )
        self.new_list(None)
        self.at(10_000, self.beat, None)
        self.at(READING_INTERVAL_US, self.measure, None)
        for when, takes, fresh in own_work:
            self.at(when, self.busy, (takes, fresh))
        self.happen(0, self.arrive, None)
        self.ages = ages
        for _ in range(rude):
            self.happen(SECOND, self.rubbish, None)

    # Time and work

    def happen(self, at: int, what: Callable[..., None], arg: object) -> None:
        """Something outside the process."""
        self.count += 1
        heapq.heappush(self.outside, (at, self.count, what, arg))

    def at(self, at: int, what: Callable[..., None], arg: object) -> None:
        """A timer of the process."""
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, what, arg))

    def spend(self, us: int) -> None:
        """The process works for so long, and is stopped meanwhile by its quota and by the host."""
        while True:
            if self.stops and self.now >= self.stops[0][0]:
                start, length = self.stops.popleft()
                self.now = max(self.now, start + length)
            if self.now // PERIOD_US != self.period:
                self.period, self.left = self.now // PERIOD_US, round(self.site.cores * PERIOD_US)
            part = min(us, self.left)
            self.now, self.cpu, self.left, us = self.now + part, self.cpu + part, self.left - part, us - part
            if not us:
                return
            self.now = max(self.now, (self.period + 1) * PERIOD_US)

    def play(self, until: int) -> Sim:
        while self.now < until:
            while self.outside and self.outside[0][0] <= self.now:
                at, _, what, arg = heapq.heappop(self.outside)
                what(at, arg)
            turn, self.readable = self.readable, deque()
            for read, about in turn:
                read(about)
            due = []
            while self.timers and self.timers[0][0] <= self.now:
                due.append(heapq.heappop(self.timers))
            for _, _, what, arg in due:
                what(arg)
            if not turn and not due:
                self.now = max(self.now, min(x[0][0] for x in (self.outside, self.timers) if x))
                self.spend(0)
        return self

    # Clients

    def arrive(self, at: int, _: object) -> None:
        rate = self.rate(at)
        self.happen(at + max(1, int(self.luck.expovariate(rate) * SECOND)), self.arrive, None)
        cls = ORDER if self.luck.random() < self.order_share(at) else READ
        manner = Manner(self.luck.choices((0, 1, 2), self.site.manners)[0])
        key = 1 + int(self.site.keys * self.luck.random() ** 2)
        request = Request(cls, key, manner, at, at + self.site.classes[cls].deadline_us)
        self.requests.append(request)
        self.ask(at, request)

    def ask(self, at: int, request: Request) -> None:
        if at >= request.until or request.tries > self.site.retries:
            return
        request.tries += 1
        self.tries += 1
        low, high = self.site.try_share
        waits = (low + (high - low) * self.luck.random()) * self.site.classes[request.cls].deadline_us
        if self.free:
            self.free -= 1
            t = Try(request, at, min(request.until, at + int(waits)))
            self.happen(t.given_up, self.leave, t)
            self.readable.append((self.read_request, t))
        else:
            self.unreachable += 1
            self.again(at, request, self.site.wait_us)

    def again(self, at: int, request: Request, told_us: int) -> None:
        """Not served: ask again, by the client's manner, and the way there."""
        self.happen(at + WAY_US + (0, self.site.wait_us, told_us)[request.manner], self.ask, request)

    def leave(self, at: int, t: Try) -> None:
        if t.done:
            return
        t.gone = True
        self.free += 1
        self.readable.append((self.read_close, t))
        self.readable.append((self.read_accept, None))
        if t.request.cls == READ:  # an order may have run
            self.again(at, t.request, 0)

    def answered(self, t: Try, served: bool, retry_after_us: int = 0) -> None:
        """The balancer's final answer."""
        t.done = True
        t.ends += 1
        t.request.ends += 1
        if t.gone or self.now > t.given_up:
            self.late_answers += 1
            return
        self.free += 1
        if served:
            t.request.answered = self.now
        else:
            self.again(self.now, t.request, retry_after_us)

    def rubbish(self, at: int, _: object) -> None:
        self.readable.append((self.read_rubbish, None))

    # The process

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, Send):
                self.start(action)
            elif isinstance(action, SetTimer):
                self.at(action.at_us, self.wheel, action.token)
            elif isinstance(action, (Refuse, Fail)):
                t = self.open[action.request]
                self.spend(self.site.costs.refuse)
                self.refused += 1
                if not t.done:
                    self.finish(t, False, action.retry_after_us if isinstance(action, Refuse) else 0)
            elif isinstance(action, Cancel) and not action.unsent:  # here an attempt begins at once
                self.ended(action.request, action.attempt, Status.CANCELLED)

    def finish(self, t: Try, served: bool, retry_after_us: int = 0) -> None:
        """Answer, or close where it is too late for that."""
        if self.now > t.until + MARGIN_US:
            t.done = True
            if not t.gone:
                t.gone = True
                self.free += 1
                self.readable.append((self.read_accept, None))
        else:
            self.answered(t, served, retry_after_us)

    def wheel(self, token: int) -> None:
        self.spend(self.site.costs.timer)
        self.feed(TimerFired(token))

    def read_rubbish(self, _: object) -> None:
        """It costs as much as a refusal, and comes again the moment it is answered."""
        self.spend(self.site.costs.read + self.site.costs.refuse)
        self.happen(self.now + WAY_US, self.rubbish, None)

    def read_accept(self, _: object) -> None:
        self.spend(self.site.costs.accept)

    def read_request(self, t: Try) -> None:
        # That its client may have gone shows only with what is read next.
        self.spend(self.site.costs.read)
        self.read_tries += 1
        self.waits.append(self.now - t.sent)
        # What the client says is counted from when it sent it; the balancer knows only when it may have come.
        came = self.now if self.ages == "none" else self.pulse.earliest_arrival_us(self.now)
        if self.ages == "told" and came < self.now:
            came = max(came, self.now - ((self.now - t.sent) // 1_000 + 1) * 1_000)
        t.until = came + t.given_up - t.sent - MARGIN_US
        id, self.next_id = self.next_id, self.next_id + 1
        self.open[id] = t
        self.at(t.until + MARGIN_US, self.guard, id)
        r = t.request
        self.feed(Arrival(id, r.cls, 0, r.key, max(1, t.until - self.now), 0, r.tries > 1))

    def guard(self, id: int) -> None:
        t = self.open[id]
        if not t.done:
            self.finish(t, False)
            self.feed(ClientGone(id))

    def read_close(self, t: Try) -> None:
        self.spend(self.site.costs.gone)
        if t.done:
            return
        t.done = True
        for id in [id for id, o in self.open.items() if o is t]:
            self.feed(ClientGone(id))

    def start(self, action: Send) -> None:
        t = self.open[action.request]
        self.spend(self.site.costs.take)
        t.request.sends += 1
        mean = self.site.work_us[t.request.cls]
        takes = int(mean * (0.7 + 0.6 * self.luck.random()))
        t.tellers.append((action.server, self.now))
        t.over.append(False)
        attempt = (action.request, len(t.tellers) - 1)
        if self.now + takes < t.until:
            self.happen(self.now + takes, self.node_answers, attempt)
        self.at(max(t.until, self.now), self.timed_out, attempt)

    def node_answers(self, _: int, attempt: tuple[int, int]) -> None:
        self.readable.append((self.read_answer, attempt))

    def read_answer(self, attempt: tuple[int, int]) -> None:
        t = self.open[attempt[0]]
        if t.over[attempt[1]]:
            return
        self.spend(self.site.costs.answer)
        if not t.done:
            self.finish(t, True)
        self.ended(*attempt, Status.OK)

    def timed_out(self, attempt: tuple[int, int]) -> None:
        self.ended(*attempt, Status.TIMEOUT)

    def ended(self, id: int, attempt: int, status: Status) -> None:
        t = self.open[id]
        if not t.over[attempt]:
            t.over[attempt] = True
            server, sent = t.tellers[attempt]
            self.feed(Outcome(id, attempt, server, status, self.now - sent, t.done))

    def new_list(self, _: object) -> None:
        self.feed(ListUpdate(ListKind.FULL, [Member(bytes([10, 0, 0, i, 0, 80])) for i in range(12)]))

    def busy(self, what: tuple[int, bool]) -> None:
        takes, fresh = what
        self.spend(takes)
        if fresh:
            self.new_list(None)

    def beat(self, _: object) -> None:
        self.at(self.pulse.beat(self.now), self.beat, None)

    def measure(self, _: object) -> None:
        reading = self.meter.read(self.now)
        if self.controller:
            for action in self.controller.handle(self.now, reading):
                self.told.append(action)
                if isinstance(action, Shed):
                    self.share = action.share
                    self.feed(ProcessOverload(action.share))
        self.samples.append(Sample(self.now, reading, self.share, self.balancer.shortage))
        self.at(self.now + READING_INTERVAL_US, self.measure, None)

    # What came of it

    def worth(self, start: int, end: int) -> float:
        """Worth served a second of what was asked for between `start` and `end`, by when it was answered."""
        total = 0.0
        for r in self.requests:
            if start <= r.asked < end and r.answered:
                spec = self.site.classes[r.cls]
                total += spec.worth * (1.0 if r.answered - r.asked <= spec.aim_us else spec.late_worth)
        return total / (end - start) * SECOND

    def share_served(self, cls: int, start: int, end: int) -> float:
        asked = [r for r in self.requests if r.cls == cls and start <= r.asked < end]
        return sum(r.answered > 0 for r in asked) / max(1, len(asked))
