"""Many balancers that pass shares round on a bad network, in simulated time; the sums are judged from
outside.

A process's share changes only when it is told something, and when a lease or a gift ends; the fleet looks
at it at each of these instants, by the true time, and adds up all shares of each budget: `most` is the
largest part of the whole that all together ever could use.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ...shared_state.budgets import Budgets, Terms
from ...shared_state.events import Came, Needs, Partners, Pulse, Tell

SECOND = 1_000_000
PULSE_US = 250_000


@dataclass(frozen=True)
class Weather:
    """What goes wrong.  Rates are a second and process, times are microseconds."""

    loss: float = 0.3
    double: float = 0.1
    delay_us: int = 20_000  # most are under it
    late: float = 0.05  # of the messages take up to `late_us`
    late_us: int = 6 * SECOND
    drift_ppm: int = 200  # clocks are off by up to this
    restart: float = 0.02
    again_us: int = 1 * SECOND  # a process is away for up to this long before it starts anew
    pause: float = 0.02
    pause_us: int = 8 * SECOND  # a stop lasts up to this long
    split: float = 0.2  # a second: the fleet splits, or heals
    one_way: float = 0.2  # of the splits hold one way only


CALM = Weather(loss=0, double=0, late=0, restart=0, pause=0, split=0)


@dataclass(slots=True)
class Process:
    budgets: Budgets
    rate: float
    offset: int
    up: bool = True
    stopped_until: int = 0
    side: int = 0
    waiting: list[tuple[str, int, Any]] = field(default_factory=list)
    shares: dict[bytes, int] = field(default_factory=dict)

    def clock(self, true: int) -> int:
        return self.offset + int(true * self.rate)

    def true(self, clock: int) -> int:
        """The first instant at which its clock shows this or more."""
        return int((clock - self.offset) / self.rate) + 1


class ShareFleet:
    """`play(seconds)`; `needs(i, random)` tells what a process could use, drawn anew now and then."""

    def __init__(
        self,
        members: int,
        terms: Terms,
        seed: int,
        weather: Weather = CALM,
        make: Callable[[int, str, int, Terms], Budgets] = Budgets,
        needs: Callable[[int, random.Random], dict[bytes, int]] | None = None,
        resources: int = 3,
        settled: bool = False,
    ) -> None:
        self.random, self.weather, self.terms, self.make = random.Random(seed), weather, terms, make
        self.resources = [b"thing%03d" % n for n in range(resources)]
        self.needs = needs or self._any_need
        self.now, self.number, self.messages = 0, 0, 0
        self.total = dict.fromkeys(self.resources, 0)
        self.most, self.most_at = 0.0, 0
        self.split, self.one_way = False, False
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.processes: dict[str, Process] = {}
        self.names = tuple(f"lb-{i}" for i in range(members))
        for name in self.names:
            rate = 1 + self.random.uniform(-1, 1) * weather.drift_ppm / 1e6
            offset = self.random.randrange(10**12)
            life = make(offset - (terms.gift_us if settled else 0), name, 1, terms)
            self.processes[name] = Process(life, rate, offset)
            self._started(name)
            self._put(self.random.randrange(PULSE_US), self._pulse, name)
        self._put(SECOND, self._every_second)

    def _any_need(self, i: int, chance: random.Random) -> dict[bytes, int]:
        return {r: int(self.terms.part * chance.choice((0, 0, 1, 4, 40))) for r in self.resources}

    def _put(self, wait: int, call: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + wait, self.number, call, args))

    def play(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = end

    # One process

    def _started(self, name: str) -> None:
        p = self.processes[name]
        now = p.clock(self.now)
        p.budgets.handle(now, Partners(self.names))
        p.budgets.handle(now, Needs(self.needs(self.names.index(name), self.random)))
        self._look(name)
        self._put(max(0, p.true(now + self.terms.gift_us) - self.now), self._look, name)

    def _look(self, name: str) -> None:
        """Bring the sums up to date with what this process may use now."""
        p = self.processes[name]
        now = p.clock(self.now)
        for resource in self.resources:
            share = p.budgets.usable(now, resource) if p.up else 0
            self.total[resource] += share - p.shares.get(resource, 0)
            p.shares[resource] = share
            if self.total[resource] > self.most * self.terms.whole:
                self.most, self.most_at = self.total[resource] / self.terms.whole, self.now

    def _tell(self, name: str, event: Any) -> None:
        p = self.processes[name]
        now = p.clock(self.now)
        actions = p.budgets.handle(now, event)
        self._look(name)  # before anything it says has left
        if isinstance(event, Came):
            for span in (self.terms.gift_us, self.terms.lease_us):
                self._put(max(0, p.true(now + span) - self.now), self._look, name)
        for partner in p.budgets.partners.values():
            for held in partner.held.values():
                if isinstance(event, Came):
                    self._put(max(0, p.true(held.until) - self.now), self._look, name)
                    break
        for action in actions:
            self._send(name, p.budgets.life, action)

    def _pulse(self, name: str) -> None:
        p = self.processes[name]
        self._put(PULSE_US, self._pulse, name)
        if p.up and self.now >= p.stopped_until:
            self._tell(name, Pulse())

    def _send(self, name: str, life: int, action: Tell) -> None:
        w, chance = self.weather, self.random
        self.messages += 1
        for _ in range(1 + (chance.random() < w.double)):
            if chance.random() >= w.loss:
                late = chance.random() < w.late
                wait = chance.randrange(w.late_us if late else w.delay_us) + 100
                self._put(wait, self._arrive, name, life, action)

    def _arrive(self, sender: str, life: int, action: Tell) -> None:
        p, s = self.processes[action.to], self.processes[sender]
        if self.split and p.side != s.side and not (self.one_way and s.side):
            return
        if not p.up:
            return
        if self.now < p.stopped_until:
            p.waiting.append((sender, life, action.message))
        else:
            self._tell(action.to, Came(sender, life, action.message))

    # What goes wrong

    def _every_second(self) -> None:
        self._put(SECOND, self._every_second)
        w, chance = self.weather, self.random
        if chance.random() < w.split:
            self.split, self.one_way = not self.split, chance.random() < w.one_way
            part = chance.choice((0.5, 0.9, 1 / len(self.names)))
            for p in self.processes.values():
                p.side = int(chance.random() < part)
        for i, name in enumerate(self.names):
            p = self.processes[name]
            if not p.up or self.now < p.stopped_until:
                continue
            if chance.random() < w.restart:
                p.up = False
                self._look(name)
                self._put(chance.randrange(w.again_us) + 1, self.restart, name)
            elif chance.random() < w.pause:
                self.stop(name, chance.randrange(w.pause_us) + 1)
            elif chance.random() < 0.3:
                self._tell(name, Needs(self.needs(i, chance)))

    def stop(self, name: str, span_us: int) -> None:
        """It stands still for so long; what comes meanwhile waits."""
        self.processes[name].stopped_until = self.now + span_us
        self._put(span_us, self._wake, name)

    def restart(self, name: str) -> None:
        """It starts anew, as another life."""
        p = self.processes[name]
        p.waiting.clear()
        p.budgets = self.make(p.clock(self.now), name, p.budgets.life + 1, self.terms)
        p.up = True
        self._started(name)

    def _wake(self, name: str) -> None:
        p = self.processes[name]
        waiting, p.waiting = p.waiting, []
        for sender, life, message in waiting:
            if p.up:
                self._tell(name, Came(sender, life, message))

    def kill(self, names: tuple[str, ...]) -> None:
        """They end, and do not come back."""
        for name in names:
            self.processes[name].up = False
            self._look(name)

    def know(self) -> None:
        """All know who is there, as membership tells them."""
        up = tuple(name for name, p in self.processes.items() if p.up)
        for name in up:
            self._tell(name, Partners(up))

    def used(self, resource: bytes) -> float:
        """The part of the whole that those there may use now."""
        return self.total[resource] / self.terms.whole
