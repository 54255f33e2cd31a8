"""What many balancers do together, each of which sees a small part: sums over all, in simulated time."""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left, bisect_right, insort
from typing import Any

import pytest

from roadlb import Balancer
from roadlb.policy.interface import (
    Arrival, ListKind, ListUpdate, Member, Outcome, Send, ServerState, SetTimer, Settings, Status,
    TimerFired,
)

SECOND = 1_000_000
COLD_FROM, COLD_US, MULTIPLE = 0.2, 20 * SECOND, 3.0
KEEP = 7 * SECOND
EACH = 16                # requests a second that a warm server carries


class Together:
    """Balancers that share nothing but the servers; a server answers each request after 50 ms.

    Each has a pool: the connection that rests for the shortest time is taken first, one is kept for KEEP.
    """

    def __init__(self, instances: int, warm: int, seed: int, **settings: Any) -> None:
        self.dials, self.idle = 0, [dict[bytes, list[int]]() for _ in range(instances)]
        self.now, self.random, self.number, self.requests = 60 * SECOND, random.Random(seed), 0, 0
        self.queue: list[tuple[int, int, int, object]] = []       # time, number, balancer, event
        self.sent: dict[bytes, list[int]] = {}                     # by server, when
        self.balancers = [
            Balancer(Settings(instances=instances, instance=i, cold_from=COLD_FROM, cold_us=COLD_US,
                              fall_multiple=MULTIPLE, fall_us=SECOND, warm_keys=True,
                              second_copies=False, **settings), seed * 100 + i)
            for i in range(instances)]
        self.tell(ListUpdate(ListKind.CACHED, [Member(b"warm%d" % i) for i in range(warm)]))

    def tell(self, update: ListUpdate) -> None:
        for i in range(len(self.balancers)):
            self.do(i, update)

    def do(self, i: int, event: object) -> None:
        for a in self.balancers[i].handle(self.now, event):  # type: ignore[arg-type]
            if isinstance(a, SetTimer):
                self.put(max(a.at_us, self.now), i, TimerFired(a.token))
            elif isinstance(a, Send):
                self.sent.setdefault(a.server, []).append(self.now)
                idle = self.idle[i].setdefault(a.server, [])
                free = bisect_right(idle, self.now)         # the others still carry a request
                if not free or idle.pop(free - 1) < self.now - KEEP:
                    self.dials += 1
                insort(idle, self.now + 50_000)
                self.put(self.now + 50_000, i, Outcome(a.request, 0, a.server, Status.OK, 50_000, True))

    def put(self, at: int, i: int, event: object) -> None:
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, i, event))

    def play(self, seconds: float, rate: float) -> None:
        """So many requests a second in all, at random moments, to random balancers, a few keys far ahead."""
        end = self.now + int(seconds * SECOND)
        for _ in range(int(seconds * rate)):
            self.requests += 1
            key = 1 + int(1000 * self.random.random() ** 3)
            self.put(self.now + int(self.random.random() * seconds * SECOND),
                     self.random.randrange(len(self.balancers)), Arrival(self.requests, 0, 0, key, SECOND, 0))
        while self.queue and self.queue[0][0] < end:
            self.now, _, i, event = heapq.heappop(self.queue)
            self.do(i, event)
        self.now = end


@pytest.mark.parametrize("instances", [1, 3, 12, 40])
def test_a_cold_server_gets_what_it_can_do_from_all_of_them_together(instances: int) -> None:
    # Each keeps to its part of one budget.  With a budget a third as large, forty balancers, none of which
    # sees enough to prove more, used a tenth of what twelve cold servers of twenty could do.
    fleet = Together(instances, warm=8, seed=instances)
    fleet.play(8, rate=8 * EACH)
    born, cold = fleet.now, [b"cold%d" % i for i in range(12)]
    fleet.tell(ListUpdate(ListKind.DELTA, [Member(s, born_us=born) for s in cold]))
    fleet.play(10, rate=14 * EACH)
    used = []
    for server in cold:
        at = fleet.sent.get(server, [])
        for n, t in enumerate(at):
            share = COLD_FROM + (1 - COLD_FROM) * (t - born) / COLD_US
            assert bisect_left(at, t + SECOND) - n <= MULTIPLE * share * EACH, (server, (t - born) / SECOND)
        used.append(len(at))
    could = sum(EACH * (COLD_FROM + (1 - COLD_FROM) * (s + 0.5) / 20) for s in range(10))
    assert sum(used) / len(used) >= 0.25 * could


def test_a_key_goes_to_a_server_of_the_own_hall_mostly_and_moves_with_as_few_others() -> None:
    # Crossing costs, and a connection to each of sixty servers costs forty balancers 2,400 handshakes.
    halls = {bytes([i]): i % 3 for i in range(60)}
    balancers = [Balancer(Settings(instances=40, zone=zone, cross_zone_cost=cost, second_copies=False), 1)
                 for zone, cost in ((0, 0.02), (0, 0.02), (1, 0.02), (1, 0.0))]
    members = [Member(s, zone=hall) for s, hall in halls.items()]
    went: list[list[bytes]] = []
    for b in balancers:
        b.handle(0, ListUpdate(ListKind.CACHED, members))
        went.append([])
        for key in range(1, 601):
            (send,) = (a for a in b.handle(key * SECOND, Arrival(key, 0, 0, key, SECOND, 0))
                       if isinstance(a, Send))
            went[-1].append(send.server)
            b.handle(key * SECOND + 1000, Outcome(key, 0, send.server, Status.OK, 1000, True))
    own = [sum(halls[s] == b.s.zone for s in servers) / 600
           for b, servers in zip(balancers, went, strict=True)]
    assert all(0.6 < part < 0.75 for part in own[:3]) and own[3] < 0.45
    assert went[0] == went[1]                               # balancers of a hall agree
    b = balancers[0]
    b.handle(700 * SECOND, ListUpdate(ListKind.DELTA, [Member(bytes([0]), ServerState.GONE)]))
    for key, before in enumerate(went[0], 1):
        sends = b.handle(701 * SECOND + key, Arrival(1000 + key, 0, 0, key, SECOND, 0))
        (send,) = (a for a in sends if isinstance(a, Send))
        b.handle(701 * SECOND + key, Outcome(1000 + key, 0, send.server, Status.OK, 1000, True))
        assert send.server == before or before == bytes([0])


@pytest.mark.parametrize(("rate", "part"), [(1, 0.55), (4, 0.4), (16, 0.4)])
def test_balancers_that_see_few_requests_use_the_connections_they_have(rate: int, part: float) -> None:
    # A balancer that spreads a few requests a second over sixty servers uses each once in many seconds: every
    # other request had to dial.  What is saved must not cost the servers their even loads.
    dials, spread = [], []
    for price in (0.0, 0.08):
        fleet = Together(50, warm=60, seed=rate, handshake_cost=price, keep_us=KEEP)
        fleet.play(20, rate=50 * rate)
        before = fleet.dials
        fleet.play(10, rate=50 * rate)
        dials.append((fleet.dials - before) / (10 * 50 * rate))
        sent = [len(at) for at in fleet.sent.values()]
        spread.append(max(sent) / (sum(sent) / 60))
    assert dials[1] <= part * dials[0], dials
    assert spread[1] <= 1.25 * spread[0], spread


def test_a_connection_is_no_reason_to_go_to_a_loaded_server() -> None:
    balancer = Balancer(Settings(handshake_cost=0.08, keep_us=KEEP, second_copies=False), 1)
    balancer.handle(0, ListUpdate(ListKind.CACHED, [Member(b"a"), Member(b"b")]))

    def went(request: int, at: int) -> bytes:
        actions = balancer.handle(at, Arrival(request, 0, 0, request, SECOND, 0))
        (send,) = (a for a in actions if isinstance(a, Send))
        return send.server

    first = went(1, SECOND)
    balancer.handle(SECOND + 1000, Outcome(1, 0, first, Status.OK, 1000, True))
    assert [went(n, SECOND + 2000 + n) for n in (2, 3)] == [first, b"b" if first == b"a" else b"a"]
    for n, server in ((2, first), (3, b"b" if first == b"a" else b"a")):
        balancer.handle(SECOND + 3000, Outcome(n, 0, server, Status.OK, 1000, True))
    # Idle for longer than connections are kept: nothing is saved, and keys go where they belong.
    late = SECOND + 4000 + KEEP
    again = Balancer(Settings(second_copies=False), 1)
    again.handle(0, ListUpdate(ListKind.CACHED, [Member(b"a"), Member(b"b")]))
    for n in range(10, 20):
        (send,) = (a for a in again.handle(late, Arrival(n, 0, 0, n, SECOND, 0)) if isinstance(a, Send))
        again.handle(late, Outcome(n, 0, send.server, Status.OK, 1000, True))
        assert went(n, late) == send.server
        balancer.handle(late, Outcome(n, 0, send.server, Status.CANCELLED, 1000, True))
