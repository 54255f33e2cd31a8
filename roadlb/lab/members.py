"""A fleet of membership deciders on a simulated network: no socket, no loop, one heap of events.

    fleet = Fleet(200, seed=3, loss=0.3)
    fleet.run(30)                       # seconds, of the simulated clock
    fleet.kill("m7")
    fleet.run(30)
    fleet.news                          # (when in us, at whom, what it was told)

Each process has a clock of its own: another origin, and a rate up to `ppm` off.  A process that is paused
gets its datagrams (as many as a kernel keeps) and its tick when it goes on.  `acquainted`: all know all from
the start, as large fleets take long to simulate until they do.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from ..membership.admission import Admission, Verdict
from ..membership.events import (
    LIFE_SHIFT,
    Action,
    Distrust,
    Event,
    Leave,
    Member,
    News,
    Odd,
    Received,
    Send,
    Start,
    Tell,
    Tick,
    Trust,
    WakeAt,
    first_incarnation,
)
from ..membership.members import Members

ENVELOPE = 54  # bytes of a datagram round its item, its sender's name left out
KEPT_WHILE_PAUSED = 256  # datagrams in a kernel's buffer
EPOCH_MS = 1_790_000_000_000

Flight = tuple[str, int, int, bytes]  # sender, incarnation, number, payload


class Process:
    """One life of one balancer."""

    def __init__(self, fleet: Fleet, name: str, hall: str, wall_ms: int) -> None:
        self.fleet, self.name = fleet, name
        self.random = Random(fleet.random.getrandbits(64))
        self.rate = 1 + fleet.random.uniform(-fleet.ppm, fleet.ppm) / 1e6
        self.origin = fleet.random.randrange(10**12)
        me = Member(name, name, 1, hall, first_incarnation(wall_ms))
        self.members = fleet.make(me, [(seed, 1) for seed in fleet.seeds], self.random)
        self.admission = Admission()
        self.admission.trust(name, me.life)
        self.number = self.sent = self.sent_bytes = self.got = self.got_bytes = 0
        self.paused: list[Flight] | None = None
        self.tick_kept = False
        self.odd: dict[str, int] = {}

    def clock(self) -> int:
        return self.origin + int(self.fleet.now * self.rate)

    def tell(self, event: Event) -> list[Action]:
        actions = self.members.handle(self.clock(), event)
        for action in actions:
            if isinstance(action, Send):
                self.number += 1
                self.fleet.carry(self, action)
            elif isinstance(action, Tell):
                self.fleet.news.append((self.fleet.now, self.name, action.news))
            elif isinstance(action, Trust):
                self.admission.trust(action.name, action.life)
            elif isinstance(action, Distrust):
                self.admission.distrust(action.name)
            elif isinstance(action, Odd):
                self.odd[action.what] = self.odd.get(action.what, 0) + 1
            elif isinstance(action, WakeAt):
                due = self.fleet.now + int((action.at_us - self.clock()) / self.rate) + 1
                self.fleet.at(due, "tick", self, None)
        return actions

    def take(self, flight: Flight) -> None:
        sender, incarnation, number, payload = flight
        self.got += 1
        self.got_bytes += len(payload) + ENVELOPE + len(sender)
        if sender not in self.admission.senders and sender in self.fleet.acquainted:
            self.admission.trust(sender, self.fleet.acquainted[sender].life)
        verdict = self.fleet.judge(self.admission, self.clock(), sender, incarnation, number)
        if verdict in (Verdict.PASS, Verdict.ASK):
            self.tell(Received(sender, incarnation, payload, verdict is Verdict.PASS))
            if verdict is Verdict.ASK:  # it may have proved itself just now: its numbers count from here
                self.fleet.judge(self.admission, self.clock(), sender, incarnation, number)
        else:
            self.odd[verdict.value] = self.odd.get(verdict.value, 0) + 1


class Fleet:
    """`size` processes m0, m1, ..., of which the first `seeds` are in everyone's configuration.

    Links: each datagram is lost with `loss`, doubled with `double`, takes `delay_us` (low, high), and with
    `reorder` up to `reorder_us` more.  `blocked(from, to)` may forbid a direction.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        *,
        seeds: int = 3,
        halls: int = 3,
        loss: float = 0.0,
        double: float = 0.0,
        reorder: float = 0.0,
        reorder_us: int = 3_000_000,
        delay_us: tuple[int, int] = (200, 2_000),
        ppm: float = 200.0,
        start_over_us: int = 1_000_000,
        acquainted: bool = False,
        make: Callable[..., Members] = Members,
    ) -> None:
        self.random, self.ppm, self.make = Random(seed), ppm, make
        self.loss, self.double, self.reorder, self.reorder_us = loss, double, reorder, reorder_us
        self.delay_us, self.halls = delay_us, halls
        self.blocked: Callable[[str, str], bool] | None = None
        self.judge: Callable[..., Verdict] = lambda admission, *told: admission.judge(*told)
        self.now, self._events, self._order = 0, list[tuple[int, int, str, Any, Any]](), 0
        self.news: list[tuple[int, str, News]] = []
        self.tap: Callable[[Flight, str], None] | None = None
        self.seeds = [f"m{i}" for i in range(min(seeds, size))]
        self.running: dict[str, Process] = {}
        self.acquainted: dict[str, Member] = {}
        if acquainted:
            for i in range(size):
                self.running[f"m{i}"] = process = Process(self, f"m{i}", self.hall(f"m{i}"), EPOCH_MS)
                self.acquainted[f"m{i}"] = process.members.me
            for process in self.running.values():
                for member in self.acquainted.values():
                    process.members.view.put(process.clock(), member)
                process.tell(Start())
        else:
            for i in range(size):
                self.at(int(self.random.random() * start_over_us), "start", f"m{i}", None)

    def at(self, when: int, what: str, whom: Any, told: Any) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, what, whom, told))

    def start(self, name: str, clock_off_s: float = 0.0) -> Process:
        """A new life of this name, its wall clock off by so much."""
        wall_ms = EPOCH_MS + self.now // 1_000 + int(clock_off_s * 1_000)
        process = self.running[name] = Process(self, name, self.hall(name), wall_ms)
        process.tell(Start())
        return process

    def hall(self, name: str) -> str:
        return f"hall-{int(name[1:]) % self.halls}"

    def kill(self, name: str) -> None:
        del self.running[name]

    def leave(self, name: str) -> None:
        self.running.pop(name).tell(Leave())

    def pause(self, name: str) -> None:
        self.running[name].paused = []

    def go_on(self, name: str) -> None:
        process = self.running[name]
        kept, process.paused = process.paused or [], None
        for flight in kept[:1]:  # a loop's turn takes one datagram, then the timers that are due
            process.take(flight)
        if process.tick_kept:
            process.tick_kept = False
            process.tell(Tick())
        for flight in kept[1:]:
            process.take(flight)

    def inject(self, flight: Flight, to: str) -> None:
        self.at(self.now, "arrive", to, flight)

    def carry(self, process: Process, action: Send) -> None:
        payload, to = action.payload, action.host
        process.sent += 1
        process.sent_bytes += len(payload) + ENVELOPE + len(process.name)
        flight = process.name, process.members.me.incarnation, process.number, payload
        if self.tap:
            self.tap(flight, to)
        random = self.random
        for _ in range(1 + (self.double > 0 and random.random() < self.double)):
            if random.random() < self.loss or self.blocked and self.blocked(process.name, to):
                continue
            low, high = self.delay_us
            delay = low + random.random() * (high - low)
            if self.reorder and random.random() < self.reorder:
                delay += random.random() * self.reorder_us
            self.at(self.now + int(delay), "arrive", to, flight)

    def run(self, seconds: float, until: Callable[[], bool] | None = None, look_us: int = 50_000) -> bool:
        """So long, or until it holds, which is looked at each `look_us`; whether it came to hold."""
        end, look = self.now + int(seconds * 1e6), self.now
        while self._events and self._events[0][0] <= end:
            when, _, what, whom, told = heapq.heappop(self._events)
            while until is not None and look <= when:
                self.now = max(self.now, look)
                if until():
                    self.at(when, what, whom, told)
                    return True
                look += look_us
            self.now = when
            if what == "arrive":
                if whom in self.running:
                    self._arrive(self.running[whom], told)
            elif what == "tick":
                if whom.name in self.running and self.running[whom.name] is whom:
                    if whom.paused is None:
                        whom.tell(Tick())
                    else:
                        whom.tick_kept = True
            elif what == "start":
                self.start(whom)
            else:
                told()
        self.now = end
        return until is not None and until()

    def _arrive(self, process: Process, flight: Flight) -> None:
        if process.paused is None:
            process.take(flight)
        elif len(process.paused) < KEPT_WHILE_PAUSED:
            process.paused.append(flight)

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        self.at(self.now + int(seconds * 1e6), "call", None, call)

    # What is looked at

    def there(self, at: str) -> set[str]:
        return set(self.running[at].members.view.names_there())

    def agree(self, among: set[str] | None = None) -> bool:
        """Does each that runs (of these) hold exactly these to be there?"""
        names = set(self.running) if among is None else among
        return all(self.there(name) == names for name in names)

    def later_life(self, name: str) -> int:
        return self.running[name].members.me.incarnation >> LIFE_SHIFT
