"""A fleet of independent balancers in simulated time, and all that they together send to cold servers."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from roadlb import Balancer
from roadlb.policy.interface import (
    Arrival,
    Cancel,
    Effect,
    Event,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    RequestClass,
    Send,
    ServerState,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)

SECOND = 1_000_000
CLASSES = (
    RequestClass("read", 500_000, 2 * SECOND, 2.0),
    RequestClass("order", 700_000, 2 * SECOND, 10.0, effect=Effect.UNSAFE),
    RequestClass("keyed", 600_000, 2 * SECOND, 4.0, effect=Effect.KEYED, window_us=5 * SECOND),
)
PARTS = (0.7, 0.15, 0.15)  # of the requests
WORK_US = (15_000, 60_000, 40_000)  # on average
MEAN_US = sum(part * work for part, work in zip(PARTS, WORK_US, strict=True))
REFUSES_FROM = 40  # a server with so many requests waiting has no room
ANSWERED_US = 1_000  # on the way there and back


@dataclass
class Backend:
    """A server that does one request after the other, as fast as it is warm."""

    id: bytes
    zone: int
    per_s: float  # requests of mean work that it can do when warm
    born: int = 0
    up: bool = True
    reachable: bool = True
    free_at: int = 0
    waiting: list[int] = field(default_factory=list)  # when each will be done
    sent: list[tuple[int, float]] = field(default_factory=list)  # since its start: when, how many mean ones
    done: float = 0.0  # likewise, of those in time


class Fleet:
    """`shares`: of the traffic, for each balancer."""

    def __init__(
        self, seed: int, shares: list[float], servers: int, per_s: float, **settings: object
    ) -> None:
        self.random = random.Random(seed)
        self.settings: dict[str, object] = {
            "classes": list(CLASSES),
            "instances": len(shares),
            "cold_from": 0.12,
            "cold_us": 20 * SECOND,
            "fall_multiple": 3.0,
            "fall_us": SECOND,
            "warm_keys": True,
            **settings,
        }
        self.now = 100 * SECOND
        self.events: list[tuple[int, int, int, object]] = []  # time, number, process (-1: the fleet), event
        self.number = self.requests = 0
        self.per_s = per_s
        self.servers: dict[bytes, Backend] = {}
        self.past: list[tuple[Backend, int]] = []  # former lives of servers, with the start of each
        for i in range(servers):
            self.join(b"warm%02d" % i, i % 3, born=0)
        self.processes: list[Balancer | None] = []
        self.traffic: list[float] = []
        self.attempts: dict[tuple[int, int], list[tuple[Backend, int, bool]]] = {}
        self.classes: dict[int, tuple[int, int]] = {}  # request: class, its work
        for share in shares:
            self.start(share)

    # What happens to servers and processes

    def join(self, id: bytes, zone: int = 0, born: int | None = None) -> None:
        size = self.random.choice((0.85, 1.0, 1.15))
        self.servers[id] = Backend(id, zone, self.per_s * size, self.now if born is None else born)

    def restart(self, id: bytes) -> None:
        """The same address, a new process: what it had is lost."""
        old = self.servers[id]
        self.past.append((old, old.born))
        self.servers[id] = Backend(id, old.zone, old.per_s, self.now)

    def members(self) -> list[Member]:
        return [
            Member(s.id, ServerState.READY if s.up else ServerState.DRAINING, 0, 0, s.zone, 1.0, s.born)
            for s in self.servers.values()
        ]

    def tell(self, late_us: int = 0, to: int | None = None) -> None:
        """Each process gets the list as it is now, after a time of its own."""
        for i in range(len(self.processes)) if to is None else (to,):
            self.put(
                self.now + int(self.random.random() * late_us), i, ListUpdate(ListKind.CACHED, self.members())
            )

    def start(self, share: float, told: bool = True) -> int:
        """Another process, with so much of the traffic."""
        number = len(self.processes)
        self.processes.append(Balancer(Settings(**self.settings), self.random.randrange(1 << 30)))  # type: ignore[arg-type]
        self.traffic.append(share)
        if told:
            self.tell(to=number)
        return number

    def end(self, number: int) -> None:
        self.processes[number] = None
        self.traffic[number] = 0.0

    # Time

    def put(self, at: int, process: int, event: object) -> None:
        self.number += 1
        heapq.heappush(self.events, (at, self.number, process, event))

    def play(self, seconds: float, rate: float) -> None:
        """So many requests a second in all, at random moments."""
        end = self.now + int(seconds * SECOND)
        at = self.now
        while (at := at + int(self.random.expovariate(rate) * SECOND) + 1) < end:
            self.put(at, -1, None)
        while self.events and self.events[0][0] < end:
            self.now, _, number, event = heapq.heappop(self.events)
            if event is None:
                number, event = self.arrival()
            self.do(number, event)  # type: ignore[arg-type]
        self.now = end

    def arrival(self) -> tuple[int, Arrival]:
        self.requests += 1
        number = self.random.choices(range(len(self.traffic)), self.traffic)[0]
        kind = self.random.choices(range(len(PARTS)), PARTS)[0]
        work = int(WORK_US[kind] * (0.5 + self.random.random()))
        self.classes[self.requests] = kind, work
        key = 1 + int(500 * self.random.random() ** 3)
        return number, Arrival(self.requests, kind, 0, key, 2 * SECOND, 0)

    def do(self, number: int, event: Event) -> None:
        process = self.processes[number]
        if process is None:
            return
        for action in process.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.put(max(action.at_us, self.now), number, TimerFired(action.token))
            elif isinstance(action, Send):
                self.attempt(number, action)
            elif isinstance(action, Cancel):
                self.put(
                    self.now + ANSWERED_US,
                    number,
                    Outcome(action.request, action.attempt, b"", Status.CANCELLED, ANSWERED_US, False),
                )

    def attempt(self, number: int, send: Send) -> None:
        attempts = self.attempts.setdefault((number, send.request), [])
        attempt = len(attempts)
        server = self.servers.get(send.server)
        if server is None or not server.reachable:
            attempts.append((Backend(send.server, 0, 1.0), self.now, False))
            self.ends(number, send, attempt, Status.CONNECT_FAILED, 250_000)
            return
        attempts.append((server, self.now, True))
        kind, work = self.classes[send.request]
        server.sent.append((self.now, work / MEAN_US))
        server.waiting = [at for at in server.waiting if at > self.now]
        if len(server.waiting) >= REFUSES_FROM:
            self.ends(number, send, attempt, Status.FULL, ANSWERED_US)
            return
        speed = self.share(server, self.now) * server.per_s * MEAN_US / SECOND
        begins = max(self.now, server.free_at)
        server.free_at = begins + int(work / speed)
        server.waiting.append(server.free_at)
        took = server.free_at - self.now + ANSWERED_US
        if took > send.timeout_us:
            self.ends(number, send, attempt, Status.TIMEOUT, send.timeout_us)
        else:
            server.done += work / MEAN_US
            self.ends(number, send, attempt, Status.OK, took)

    def ends(self, number: int, send: Send, attempt: int, status: Status, took: int) -> None:
        closed = status is Status.OK
        self.put(self.now + took, number, Outcome(send.request, attempt, send.server, status, took, closed))

    # What is judged

    def share(self, server: Backend, at: int) -> float:
        """What the settings say that it can do by then, of what it can do when warm."""
        if not server.born:
            return 1.0
        from_, us = float(self.settings["cold_from"]), int(self.settings["cold_us"])  # type: ignore[call-overload, arg-type]
        return min(1.0, from_ + (1 - from_) * (at - server.born) / us)

    def allowed(self, server: Backend, at: int) -> float:
        """N: requests of mean work in a window that begins then."""
        window_s = int(self.settings["fall_us"]) / SECOND  # type: ignore[call-overload]
        return float(self.settings["fall_multiple"]) * server.per_s * self.share(server, at) * window_s  # type: ignore[arg-type]

    def worst(self) -> tuple[float, float, float]:
        """Of all windows of all cold servers, the largest (of what may be sent, its sum, N)."""
        worst = (0.0, 0.0, 0.0)
        lives = [s for s in self.servers.values() if s.born] + [s for s, _ in self.past if s.born]
        for server in lives:
            first = 0
            sent = server.sent
            total_work = 0.0
            for at, work in sent:
                total_work += work
                while sent[first][0] <= at - int(self.settings["fall_us"]):  # type: ignore[call-overload]
                    total_work -= sent[first][1]
                    first += 1
                begins = max(server.born, at - int(self.settings["fall_us"]))  # type: ignore[call-overload]
                if self.share(server, begins) >= 1:
                    break
                n = self.allowed(server, begins)
                worst = max(worst, (total_work / most(n), total_work, n))
        return worst

    def used(self) -> float:
        """What cold servers did, of what they could have done since their start."""
        cold = [s for s in self.servers.values() if s.born]
        could = 0.0
        for server in cold:
            seconds = (self.now - server.born) / SECOND
            could += server.per_s * seconds * self.share(server, (server.born + self.now) // 2)
        return sum(s.done for s in cold) / could if could else 0.0


def most(n: float) -> float:
    """What may be sent in a window for which the settings allow `n`, with the rule's room for chance."""
    return float(n + 3 * n**0.5 + 3 if n < 30 else n + 2 * n**0.5 + 2)
