"""Many decision modules that share state over a bad network, in simulated time, without HTTP.

Each of `balancers` is a `Balancer` with, where sharing is on, a `Told` beside it; servers answer after 50
ms, or at once with an error.  Requests come at random moments to random balancers.  What happens to
requests is drawn apart from what happens to messages, so that a run with sharing and one without meet the
same demand.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ...policy.interface import (
    Action,
    Arrival,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    SharedStateUpdate,
    Status,
    TimerFired,
    View,
    ViewQuery,
)
from ...policy.logic import Balancer
from ...shared_state import told as shared
from ...shared_state.budgets import Terms
from ...shared_state.judgements import Trouble
from ...shared_state.told import Hear, Post, Spread, Told

SECOND = 1_000_000
READ, ORDER = 0, 1
ANSWER_US, ERROR_US = 50_000, 2_000
AIM_US, LEFT_US, WORTH = 250_000, 500_000, (2.0, 10.0)
TROUBLES = {
    Status.OK: Trouble.NONE,
    Status.ERROR: Trouble.ERRORS,
    Status.FULL: Trouble.FULL,
    Status.TIMEOUT: Trouble.SILENT,
    Status.RESET: Trouble.SILENT,
    Status.CONNECT_FAILED: Trouble.SILENT,
}


@dataclass(frozen=True)
class Air:
    """Between balancers.  `heard`: may a message from one balancer reach another at this time?"""

    loss: float = 0.05
    delay_us: int = 5_000
    heard: Callable[[int, int, int], bool] = lambda now, sender, to: True


@dataclass(slots=True)
class Sent:
    at: int
    balancer: int
    cls: int
    server: bytes
    good: bool


@dataclass(slots=True)
class Party:
    balancer: Balancer
    told: Told | None
    random: random.Random
    served: int = 0
    heard: list[SharedStateUpdate] = field(default_factory=list)


class ToldFleet:
    """`play(seconds, rate)`; what was sent is in `sent`, what was refused unsent in `refused`."""

    def __init__(
        self,
        balancers: int,
        servers: int,
        seed: int,
        share: bool,
        air: Air | None = None,
        halls: int = 3,
        weights: Sequence[float] | None = None,
        orders: float = 0.3,
        settled: bool = True,
        carries: float = 0.0,
        **settings: Any,
    ) -> None:
        """`carries`: requests a second of a server, which works one after another; 0: any number."""
        self.demand, self.net = random.Random(seed), random.Random(seed + 1)
        self.air, self.halls, self.orders = air or Air(), halls, orders
        self.weights = list(weights or [1.0] * balancers)
        self.now, self.number, self.requests = 60 * SECOND, 0, 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sent: list[Sent] = []
        self.refused, self.messages, self.bytes, self.in_time = 0, 0, 0, 0.0
        self.carries, self.free = carries, dict[bytes, int]()  # ... and when it has done what it has
        self.refused_of: dict[int, int] = {}  # by customer
        self.tenants: dict[int, int] = {}
        self.classes: dict[int, tuple[int, int]] = {}
        self.bad: dict[bytes, tuple[int, int | None]] = {}  # since when, and for whose hall; None: all
        self.erring: dict[bytes, float] = {}  # part of a server's that fail by chance
        self.avoided_us: dict[bytes, int] = {}  # on others' word, over all balancers
        self.all_avoid: dict[bytes, int] = {}  # when all of them first did at once
        self._avoided: dict[tuple[int, bytes], int] = {}
        self.cut: set[tuple[int, int]] = set()  # a balancer's hall hears none of a server's
        self.unheard: list[Sent] = []  # what was sent over such a cut
        self.flaky = 0.0  # part of all requests that fail by chance
        terms = Terms(instances=balancers)
        classes = [
            RequestClass("read", AIM_US, LEFT_US, WORTH[READ]),
            RequestClass("order", AIM_US, LEFT_US, WORTH[ORDER], effect=Effect.UNSAFE),
        ]
        self.parties: list[Party] = []
        for i in range(balancers):
            s = Settings(classes=classes, instances=balancers, instance=i, zone=i % halls, **settings)
            told = (
                Told(
                    self.now - (terms.gift_us if settled else 0),
                    f"lb-{i}",
                    1,
                    f"hall-{i % halls}",
                    terms,
                    [(t.name, t.quota_per_s) for t in s.tenants],
                )
                if share
                else None
            )
            self.parties.append(Party(Balancer(s, seed * 1000 + i), told, random.Random(seed * 1000 + i)))
            if told:
                self._put(self.net.randrange(shared.PULSE_US), self._pulse, i)
        self.members = [Member(b"node-%d" % i, zone=i % halls) for i in range(servers)]
        self.tell(ListUpdate(ListKind.CACHED, self.members))
        if share:
            names = tuple(f"lb-{i}" for i in range(balancers))
            for i in range(balancers):
                self._shared(i, shared.There(names))

    def tell(self, update: ListUpdate) -> None:
        for i in range(len(self.parties)):
            self._do(i, update)

    def play(self, seconds: float, rate: float, keys: int = 1000, tenants: int = 0, tenant: int = 0) -> None:
        """So many requests a second in all, a few keys far ahead of the others, of one customer or some."""
        end = self.now + int(seconds * SECOND)
        draw = self.demand.random
        for _ in range(int(seconds * rate)):
            self.requests += 1
            at = int(draw() * seconds * SECOND)
            key = 1 + int(keys * draw() ** 3)
            cls = ORDER if draw() < self.orders else READ
            customer = int(draw() * tenants) if tenants else tenant
            i = self.demand.choices(range(len(self.parties)), self.weights)[0]
            self._put(at, self._arrive, i, Arrival(self.requests, cls, customer, key, LEFT_US, 0))
        while self.queue and self.queue[0][0] < end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = end

    def _put(self, wait: int, call: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + max(0, wait), self.number, call, args))

    # Requests

    def _arrive(self, i: int, arrival: Arrival) -> None:
        self.classes[arrival.request] = arrival.class_index, 0
        self.tenants[arrival.request] = arrival.tenant
        self._do(i, arrival)

    def _do(self, i: int, event: Any) -> None:
        for a in self.parties[i].balancer.handle(self.now, event):
            self._carry_out(i, a)

    def _carry_out(self, i: int, a: Action) -> None:
        if isinstance(a, SetTimer):
            self._put(a.at_us - self.now, self._do, i, TimerFired(a.token))
        elif isinstance(a, Send):
            cls, attempt = self.classes[a.request]
            self.classes[a.request] = cls, attempt + 1
            since, hall = self.bad.get(a.server, (1 << 62, None))
            good = self.now < since or hall is not None and hall != i % self.halls
            good = good and (not self.flaky or self.demand.random() >= self.flaky)
            if a.server in self.erring:
                good = good and self.demand.random() >= self.erring[a.server]
            cut = (i % self.halls, int(a.server[5:]) % self.halls) in self.cut if self.cut else False
            self.sent.append(Sent(self.now, i, cls, a.server, good and not cut))
            if cut:
                self.unheard.append(self.sent[-1])
                wait = a.timeout_us or LEFT_US
                self._put(
                    wait, self._outcome, i, Outcome(a.request, attempt, a.server, Status.TIMEOUT, wait, False)
                )
                return
            took, status = (ANSWER_US, Status.OK) if good else (ERROR_US, Status.ERROR)
            if good and self.carries:
                begins = max(self.now, self.free.get(a.server, 0))
                self.free[a.server] = begins + int(SECOND / self.carries)
                took = self.free[a.server] - self.now + ANSWER_US // 2
                if took > LEFT_US:
                    took, status, good = LEFT_US, Status.TIMEOUT, False
                elif took <= AIM_US:
                    self.in_time += WORTH[cls]
            self._put(took, self._outcome, i, Outcome(a.request, attempt, a.server, status, took, good))
        elif isinstance(a, Refuse):
            if self.classes[a.request][1] == 0:
                self.refused += 1
                tenant = self.tenants[a.request]
                self.refused_of[tenant] = self.refused_of.get(tenant, 0) + 1

    def _outcome(self, i: int, outcome: Outcome) -> None:
        self.parties[i].served += 1
        self._do(i, outcome)
        if self.parties[i].told:
            self._shared(i, shared.Outcome(outcome.server, TROUBLES[outcome.status]))

    # What is shared

    def _pulse(self, i: int) -> None:
        self._put(shared.PULSE_US, self._pulse, i)
        party = self.parties[i]
        (view,) = party.balancer.handle(self.now, ViewQuery())
        assert isinstance(view, View)
        self._shared(i, shared.Pulse(view, party.served))

    def _shared(self, i: int, event: shared.Event) -> None:
        party = self.parties[i]
        assert party.told
        for a in party.told.handle(self.now, event):
            if isinstance(a, Hear):
                party.heard[:] = [a.event]
                self._note(i, a.event)
                self._do(i, a.event)
            elif isinstance(a, Post):
                self._message(i, int(a.to[3:]), a.payload)
            elif isinstance(a, Spread):
                others = [n for n in range(len(self.parties)) if n != i]
                for to in others if a.most is None else self.net.sample(others, min(a.most, len(others))):
                    self._message(i, to, a.payload)

    def _note(self, i: int, heard: SharedStateUpdate) -> None:
        for server, until in heard.avoid_until.items():
            since = max(self.now, self._avoided.get((i, server), 0))
            self.avoided_us[server] = self.avoided_us.get(server, 0) + max(0, until - since)
            self._avoided[i, server] = max(until, since)
            if server not in self.all_avoid and all(
                self._avoided.get((n, server), 0) > self.now for n in range(len(self.parties))
            ):
                self.all_avoid[server] = self.now

    def _message(self, i: int, to: int, payload: bytes) -> None:
        self.messages, self.bytes = self.messages + 1, self.bytes + len(payload)
        if self.net.random() >= self.air.loss and self.air.heard(self.now, i, to):
            self._put(
                self.net.randrange(self.air.delay_us) + 100,
                self._shared,
                to,
                shared.Message(f"lb-{i}", 1, payload),
            )
