"""How the decision module handles a lack of its own process's resources, and admission checks."""

from __future__ import annotations

import random

import pytest

from roadlb import Balancer
from roadlb.policy.interface import (
    Action,
    AdmissionCheck,
    Arrival,
    Effect,
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


class BalancerUnderTest:
    """A balancer with a simulated clock, whose servers answer each request at once or never."""

    def __init__(self, seed: int = 1, **settings: object) -> None:
        self.balancer = Balancer(Settings(classes=CLASSES, **settings), seed)  # type: ignore[arg-type]
        self.now, self.last_request, self.rng = 10 * SECOND, 0, random.Random(seed)
        self.trace: list[Action] = []
        self.timers: list[tuple[int, int]] = []
        self.handle(ListUpdate(ListKind.FULL, [Member(bytes([10, 0, 0, i, 0, 80])) for i in range(6)]))

    def handle(self, event: object) -> list[Action]:
        actions = self.balancer.handle(self.now, event)  # type: ignore[arg-type]
        self.timers += [(a.at_us, a.token) for a in actions if isinstance(a, SetTimer)]
        self.trace += actions
        return [a for a in actions if not isinstance(a, SetTimer)]

    def request(
        self,
        cls: int,
        key: int = 0,
        remaining_us: int = 2 * SECOND,
        tenant: int = 0,
        latency_us: int | None = 20_000,
    ) -> bool:
        """Delivers a request; was it sent?  It is answered at once, or never if `latency_us` is None."""
        self.last_request += 1
        (action,) = self.handle(Arrival(self.last_request, cls, tenant, key, remaining_us, 0))
        if isinstance(action, Send) and latency_us is not None:
            self.handle(Outcome(self.last_request, 0, action.server, Status.OK, latency_us, True))
        return isinstance(action, Send)

    def offer(self, cls: int, key: int = 0, remaining_us: int = 2 * SECOND, tenant: int = 0) -> list[Action]:
        return self.handle(AdmissionCheck(cls, tenant, key, remaining_us, 0))

    def request_mix(self, count: int, gap_us: int = 1_000) -> dict[int, list[bool]]:
        """Delivers seven reads to three orders, at random; by class, whether each was sent."""
        sent: dict[int, list[bool]] = {READ: [], ORDER: []}
        for _ in range(count):
            cls = READ if self.rng.random() < 0.7 else ORDER
            sent[cls].append(self.request(cls, self.rng.randrange(1, 1_000)))
            self.advance(gap_us)
        return sent

    def advance(self, us: int) -> None:
        end = self.now + us
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.handle(TimerFired(token))
        self.now = end


def share(sent: list[bool]) -> float:
    return sum(sent) / len(sent)


@pytest.mark.parametrize(
    ("overload_share", "reads", "orders"),
    [(0.0, 1.0, 1.0), (0.35, 0.5, 1.0), (0.7, 0.0, 1.0), (0.85, 0.0, 0.5), (2.0, 0.0, 1 / 6)],
)
def test_an_overload_refuses_its_share_of_the_requests_and_reads_first(
    overload_share: float, reads: float, orders: float
) -> None:
    harness = BalancerUnderTest()
    harness.request_mix(1_000)
    harness.handle(ProcessOverload(overload_share))
    sent = harness.request_mix(2_000)
    assert share(sent[READ]) == pytest.approx(reads, abs=0.05)
    assert share(sent[ORDER]) == pytest.approx(orders, abs=0.05)


@pytest.mark.parametrize(("overload_share", "in_flight", "refused"), [(0.6, 0, 0.6), (0.6, 500, 0.95)])
def test_own_overload_and_shortage_of_servers_do_not_add_up(
    overload_share: float, in_flight: int, refused: float
) -> None:
    harness = BalancerUnderTest()
    harness.request_mix(1_000)
    harness.handle(ProcessOverload(overload_share))
    for _ in range(in_flight):
        harness.balancer.fleet_load.request_started(harness.now, 100_000)
    count = 0
    for _ in range(2_000):
        count += not harness.request(
            READ if harness.rng.random() < 0.7 else ORDER, harness.rng.randrange(1, 1_000)
        )
        harness.advance(1_000)
    assert count / 2_000 == pytest.approx(refused, abs=0.05)


def test_an_overload_ends_when_an_event_says_so() -> None:
    harness = BalancerUnderTest()
    harness.handle(ProcessOverload(0.9))
    harness.request_mix(1_000)
    harness.handle(ProcessOverload(0.0))
    assert all(all(sent) for sent in harness.request_mix(500).values())


@pytest.mark.parametrize("attribute", ["shortage", "overload"])
def test_refusals_ask_clients_to_wait_longer_in_a_greater_overload_too(attribute: str) -> None:
    # Clients that retry soon do so while the overload lasts, and refusing them costs the CPU that is lacking.
    retry_after = {}
    for share_of in (0.1, 0.9):
        harness = BalancerUnderTest()
        harness.request_mix(200)
        harness.balancer.shortage, harness.balancer.overload = 0.1, 0.1
        setattr(harness.balancer, attribute, share_of)
        cls = harness.balancer.classes[READ]
        retry_after[share_of] = []
        for _ in range(200):
            harness.balancer.actions = []
            harness.balancer.refuse(0, cls)
            retry_after[share_of] += [
                a.retry_after_us for a in harness.balancer.actions if isinstance(a, Refuse)
            ]
    assert sum(retry_after[0.9]) / sum(retry_after[0.1]) == pytest.approx(4.6 / 1.4, rel=0.05)


@pytest.mark.parametrize(("cls", "overload_share"), [(READ, 0.35), (ORDER, 0.85)])
def test_an_admission_check_decides_as_the_arrival_would(cls: int, overload_share: float) -> None:
    harness, refused = BalancerUnderTest(), 0
    harness.request_mix(1_000)
    harness.handle(ProcessOverload(overload_share))
    for key in range(1, 40):
        offered = harness.offer(cls, key)
        assert [type(a) for a in offered] == ([] if harness.request(cls, key) else [Refuse])
        assert all(isinstance(a, Refuse) and a.request == 0 and a.retry_after_us > 0 for a in offered)
        refused += len(offered)
    assert 10 < refused < 30


def test_an_admission_check_and_its_arrival_count_once() -> None:
    # With orders counted twice, their share of the demand would seem doubled, and too many reads be served.
    harness = BalancerUnderTest(tenants=TENANTS)
    harness.handle(ProcessOverload(0.7))
    harness.request_mix(300)
    for cls in (READ, ORDER):
        for key in range(1, 100):
            ranks, tenants, requests = (
                harness.balancer.refusals.request_count,
                sum(harness.balancer.quotas.counts),
                dict(harness.balancer.requests),
            )
            refused = bool(harness.offer(cls, key))
            assert (harness.balancer.refusals.request_count, sum(harness.balancer.quotas.counts)) == (
                ranks + refused,
                tenants + refused,
            )
            assert harness.balancer.requests == requests
            if not refused:
                harness.request(cls, key)
                assert harness.balancer.refusals.request_count == ranks + 1


def test_admission_checks_change_nothing_without_an_overload() -> None:
    # The simulator makes no such checks: a run must be the same with and without them.
    traces = []
    for offers in (False, True):
        harness = BalancerUnderTest(tenants=TENANTS)
        for i in range(1_000):
            cls, key, tenant = i % 2, i % 7, i % 2
            if offers:
                assert not harness.offer(cls, key, tenant=tenant)
            harness.request(cls, key, tenant=tenant, latency_us=None if i % 50 == 0 else 20_000)
            harness.advance(500)
        assert harness.balancer.shortage <= 0
        traces.append(harness.trace)
    assert traces[0] == traces[1]


@pytest.mark.parametrize("event_kind", ["arrival", "offer"])
def test_a_request_that_no_answer_can_reach_in_time_is_not_sent(event_kind: str) -> None:
    # Sent, it makes a server work in vain and counts as that server's timeout; an order may run with no
    # answer to its client.
    harness = BalancerUnderTest()
    harness.handle(ProcessOverload(0.0))
    for latency_us in (90_000, 30_000, 120_000, 60_000):
        harness.request(ORDER, latency_us=latency_us)
    for remaining_us, sent in ((1, False), (14_000, False), (16_000, True), (50_000, True)):
        assert sent == (
            harness.request(ORDER, remaining_us=remaining_us)
            if event_kind == "arrival"
            else not harness.offer(ORDER, remaining_us=remaining_us)
        )
    assert harness.request(READ, remaining_us=14_000), "no latency of reads is known yet"


def test_one_quick_answer_is_enough_to_send_a_request_with_little_time_left() -> None:
    # A server with the key in its cache answers in 3 ms where the mean is 90 ms; a bound that is a fraction
    # of the mean would refuse such a request.
    harness = BalancerUnderTest()
    harness.handle(ProcessOverload(0.0))
    harness.request(READ, latency_us=3_000)
    for _ in range(1_000):
        harness.request(READ, latency_us=90_000)
    assert harness.request(READ, remaining_us=3_000)


def test_requests_that_cannot_be_in_time_are_sent_until_the_first_overload_event() -> None:
    harness = BalancerUnderTest()
    harness.request(ORDER, latency_us=90_000)
    assert harness.request(ORDER, remaining_us=1)
