"""What the decision module does when told that its own process is short of means, and of requests to come."""

from __future__ import annotations

import random

import pytest

from roadlb import Balancer
from roadlb.policy.interface import (
    Action,
    Arrival,
    Effect,
    ListKind,
    ListUpdate,
    Member,
    Offer,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Shortage,
    Status,
    Tenant,
    TimerFired,
)

SECOND = 1_000_000
READ, ORDER = 0, 1
CLASSES = [
    RequestClass("grid-read", 500_000, 2_500_000, 2.0),
    RequestClass("order", 600_000, 2_000_000, 10.0, effect=Effect.UNSAFE),
]
TENANTS = [Tenant("within", 10_000.0), Tenant("beyond", 1.0)]


class Node:
    """A balancer with a clock, whose servers answer all that is sent at once or never."""

    def __init__(self, seed: int = 1, **settings: object) -> None:
        self.b = Balancer(Settings(classes=CLASSES, **settings), seed)  # type: ignore[arg-type]
        self.now, self.next, self.luck = 10 * SECOND, 0, random.Random(seed)
        self.trace: list[Action] = []
        self.timers: list[tuple[int, int]] = []
        self.do(ListUpdate(ListKind.FULL, [Member(bytes([10, 0, 0, i, 0, 80])) for i in range(6)]))

    def do(self, event: object) -> list[Action]:
        actions = self.b.handle(self.now, event)  # type: ignore[arg-type]
        self.timers += [(a.at_us, a.token) for a in actions if isinstance(a, SetTimer)]
        self.trace += actions
        return [a for a in actions if not isinstance(a, SetTimer)]

    def ask(
        self,
        cls: int,
        key: int = 0,
        left_us: int = 2 * SECOND,
        tenant: int = 0,
        takes_us: int | None = 20_000,
    ) -> bool:
        """One request; was it sent on?  Its answer is there at once, unless it `takes_us` None."""
        self.next += 1
        (action,) = self.do(Arrival(self.next, cls, tenant, key, left_us, 0))
        if isinstance(action, Send) and takes_us is not None:
            self.do(Outcome(self.next, 0, action.server, Status.OK, takes_us, True))
        return isinstance(action, Send)

    def offer(self, cls: int, key: int = 0, left_us: int = 2 * SECOND, tenant: int = 0) -> list[Action]:
        return self.do(Offer(cls, tenant, key, left_us, 0))

    def mixed(self, count: int, gap_us: int = 1_000) -> dict[int, list[bool]]:
        """Seven reads to three orders; what became of each."""
        sent: dict[int, list[bool]] = {READ: [], ORDER: []}
        for _ in range(count):
            cls = READ if self.luck.random() < 0.7 else ORDER
            sent[cls].append(self.ask(cls, self.luck.randrange(1, 1_000)))
            self.wait(gap_us)
        return sent

    def wait(self, us: int) -> None:
        end = self.now + us
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.do(TimerFired(token))
        self.now = end


def share(sent: list[bool]) -> float:
    return sum(sent) / len(sent)


@pytest.mark.parametrize(
    ("told", "reads", "orders"),
    [(0.0, 1.0, 1.0), (0.35, 0.5, 1.0), (0.7, 0.0, 1.0), (0.85, 0.0, 0.5), (2.0, 0.0, 1 / 6)],
)
def test_a_shortage_refuses_its_share_reads_first(told: float, reads: float, orders: float) -> None:
    node = Node()
    node.mixed(1_000)
    node.do(Shortage(told))
    sent = node.mixed(2_000)
    assert share(sent[READ]) == pytest.approx(reads, abs=0.05)
    assert share(sent[ORDER]) == pytest.approx(orders, abs=0.05)


@pytest.mark.parametrize(("own", "in_hand", "refused"), [(0.6, 0, 0.6), (0.6, 500, 0.95)])
def test_shortage_and_fleet_pressure_do_not_add_up(own: float, in_hand: int, refused: float) -> None:
    node = Node()
    node.mixed(1_000)
    node.do(Shortage(own))
    for _ in range(in_hand):
        node.b.hand.request_started(node.now, 100_000)
    count = 0
    for _ in range(2_000):
        count += not node.ask(READ if node.luck.random() < 0.7 else ORDER, node.luck.randrange(1, 1_000))
        node.wait(1_000)
    assert count / 2_000 == pytest.approx(refused, abs=0.05)


def test_a_shortage_ends_when_the_next_one_says_so() -> None:
    node = Node()
    node.do(Shortage(0.9))
    node.mixed(1_000)
    node.do(Shortage(0.0))
    assert all(all(sent) for sent in node.mixed(500).values())


@pytest.mark.parametrize("told", ["pressure", "own"])
def test_clients_are_told_to_stay_away_for_longer_in_a_shortage_too(told: str) -> None:
    # Those who come back soon ask again while it lasts, and to refuse them costs what it is short of.
    waits = {}
    for share_of in (0.1, 0.9):
        node = Node()
        node.mixed(200)
        node.b.pressure, node.b.own = 0.1, 0.1
        setattr(node.b, told, share_of)
        cls = node.b.classes[READ]
        waits[share_of] = []
        for _ in range(200):
            node.b.actions = []
            node.b.refuse(0, cls)
            waits[share_of] += [a.retry_after_us for a in node.b.actions if isinstance(a, Refuse)]
    assert sum(waits[0.9]) / sum(waits[0.1]) == pytest.approx(4.6 / 1.4, rel=0.05)


@pytest.mark.parametrize(("cls", "told"), [(READ, 0.35), (ORDER, 0.85)])
def test_an_offer_is_answered_as_its_arrival_would_be(cls: int, told: float) -> None:
    node, refused = Node(), 0
    node.mixed(1_000)
    node.do(Shortage(told))
    for key in range(1, 40):
        offered = node.offer(cls, key)
        assert [type(a) for a in offered] == ([] if node.ask(cls, key) else [Refuse])
        assert all(isinstance(a, Refuse) and a.request == 0 and a.retry_after_us > 0 for a in offered)
        refused += len(offered)
    assert 10 < refused < 30


def test_an_offer_and_its_arrival_count_once() -> None:
    # Counted twice, orders would seem to be twice as many, and so many more of the reads would be served.
    node = Node(tenants=TENANTS)
    node.do(Shortage(0.7))
    node.mixed(300)
    for cls in (READ, ORDER):
        for key in range(1, 100):
            ranks, tenants, requests = (
                node.b.refusals.request_count,
                sum(node.b.quotas.counts),
                dict(node.b.requests),
            )
            refused = bool(node.offer(cls, key))
            assert (node.b.refusals.request_count, sum(node.b.quotas.counts)) == (
                ranks + refused,
                tenants + refused,
            )
            assert node.b.requests == requests
            if not refused:
                node.ask(cls, key)
                assert node.b.refusals.request_count == ranks + 1


def test_offers_change_nothing_where_nothing_is_short() -> None:
    # The simulator makes none: a day must play alike whether they are made or not.
    traces = []
    for offers in (False, True):
        node = Node(tenants=TENANTS)
        for i in range(1_000):
            cls, key, tenant = i % 2, i % 7, i % 2
            if offers:
                assert not node.offer(cls, key, tenant=tenant)
            node.ask(cls, key, tenant=tenant, takes_us=None if i % 50 == 0 else 20_000)
            node.wait(500)
        assert node.b.pressure <= 0
        traces.append(node.trace)
    assert traces[0] == traces[1]


@pytest.mark.parametrize("effect", ["arrival", "offer"])
def test_what_no_answer_can_reach_in_time_is_not_sent(effect: str) -> None:
    # A node worked for nothing, was blamed for the time-out, and an order had run with nobody told.
    node = Node()
    node.do(Shortage(0.0))
    for took in (90_000, 30_000, 120_000, 60_000):
        node.ask(ORDER, takes_us=took)
    for left, sent in ((1, False), (14_000, False), (16_000, True), (50_000, True)):
        assert sent == (
            node.ask(ORDER, left_us=left) if effect == "arrival" else not node.offer(ORDER, left_us=left)
        )
    assert node.ask(READ, left_us=14_000), "of reads no answer is known yet"


def test_a_rare_quick_answer_is_enough_to_send_what_has_little_time() -> None:
    # A node that has the key answers in 3 ms where the mean is 90: a part of the mean would refuse that.
    node = Node()
    node.do(Shortage(0.0))
    node.ask(READ, takes_us=3_000)
    for _ in range(1_000):
        node.ask(READ, takes_us=90_000)
    assert node.ask(READ, left_us=3_000)


def test_hopeless_requests_are_sent_as_ever_until_a_shortage_is_told() -> None:
    node = Node()
    node.ask(ORDER, takes_us=90_000)
    assert node.ask(ORDER, left_us=1)
