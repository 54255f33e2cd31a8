"""The state that balancers share reaches the policy as one event; an empty one changes no decision."""

from __future__ import annotations

from roadlb import Balancer
from roadlb.policy.interface import (
    Action,
    Arrival,
    Event,
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
    Tenant,
    TimerFired,
    View,
    ViewQuery,
)
from roadlb.routing.shares import BudgetShares
from roadlb.routing.health import MAX_EJECTED_SHARE, HealthTracker, ServerHealth

SECOND = 1_000_000
SERVERS = [bytes([n]) for n in range(10)]


class SteadyBalancer:
    """One balancer's policy at 20 requests a second, each answered after 50 ms."""

    def __init__(self, **settings: object) -> None:
        self.balancer = Balancer(Settings(instances=4, second_copies=False, **settings), 5)  # type: ignore[arg-type]
        self.now, self.last_request = 100 * SECOND, 0
        self.timers: list[tuple[int, int]] = []
        self.feed(ListUpdate(ListKind.CACHED, [Member(s) for s in SERVERS]))

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        self.timers += [(a.at_us, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def send_request(self, status: Status = Status.OK, tenant: int = 0) -> list[Action]:
        self.last_request, self.now = self.last_request + 1, self.now + SECOND // 20
        for timer in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove(timer)
            self.feed(TimerFired(timer[1]))
        actions = self.feed(Arrival(self.last_request, 0, tenant, self.last_request, SECOND, 0))
        for a in list(actions):
            if isinstance(a, Send):
                self.now += SECOND // 20
                actions += self.feed(
                    Outcome(self.last_request, 0, a.server, status, SECOND // 20, status is Status.OK)
                )
        return actions

    def servers_of_requests(self, count: int) -> list[bytes]:
        return [a.server for _ in range(count) for a in self.send_request() if isinstance(a, Send)]

    def view(self) -> View:
        (view,) = self.balancer.handle(self.now, ViewQuery())
        assert isinstance(view, View)
        return view


def test_an_empty_update_changes_no_decision() -> None:
    without_event, with_event = SteadyBalancer(), SteadyBalancer()
    for n in range(200):
        if n % 10 == 0:
            assert with_event.feed(SharedStateUpdate()) == []
        status = Status.ERROR if n % 7 == 0 else Status.OK
        assert without_event.send_request(status) == with_event.send_request(status)


def test_a_server_that_peers_report_bad_is_ejected_until_then_within_the_share() -> None:
    harness = SteadyBalancer()
    until = harness.now + 20 * SECOND
    harness.feed(SharedStateUpdate(avoid_until={s: until for s in [b"unknown", *SERVERS[:6]]}))
    ejection_limit = int(MAX_EJECTED_SHARE * len(SERVERS))
    assert sum(s.ejected for s in harness.view().servers) == ejection_limit
    assert not set(SERVERS[:ejection_limit]) & set(harness.servers_of_requests(100))
    harness.now = until + 1
    # Each gets one request that can be repeated, answers it, and takes load again.
    assert set(harness.servers_of_requests(300)) >= set(SERVERS[:ejection_limit])
    assert not any(s.ejected for s in harness.view().servers)


def test_a_good_answer_outweighs_the_same_peer_report_repeated() -> None:
    tracker, s = HealthTracker(lambda: 0.5), ServerHealth()
    tracker.apply_peer_report(s, 100, server_count=10)
    tracker.record_success(s)
    tracker.apply_peer_report(s, 100, server_count=10)
    assert s.ejected_until == 0 and tracker.ejected_count == 0
    tracker.apply_peer_report(s, 101, server_count=10)
    assert s.ejected_until == 101 and tracker.ejected_count == 1


def test_reported_shares_replace_an_even_division() -> None:
    shares = BudgetShares(8)
    assert (shares.process_count, shares.slow_start_divisor(0, b"a"), shares.quota_divisor(0, 0)) == (8, 8, 8)
    shares.set_process_count(0, 2)
    assert (shares.process_count, shares.balancer_count) == (16, 8)
    shares.update(0, 5, {b"a": 0.5, b"b": 0.0}, {1: 0.1}, None, 0, 1.0, {})
    assert (shares.process_count, shares.balancer_count) == (5, 5)
    assert (
        shares.slow_start_divisor(0, b"a") == 2
        and shares.slow_start_divisor(0, b"b") > 1e6
        and shares.slow_start_divisor(0, b"c") == 5
    )
    assert round(shares.quota_divisor(0, 1)) == 10 and shares.quota_divisor(0, 0) == 5
    shares.set_process_count(0, 3)  # a reported count is already one of processes
    assert shares.process_count == 5
    shares.update(0, 0, {}, {}, None, 0, 1.0, {})
    assert (shares.process_count, shares.balancer_count) == (24, 8)


def test_a_server_in_slow_start_gets_no_more_than_the_reported_share() -> None:
    def sent(share: float | None) -> int:
        harness = SteadyBalancer(cold_from=0.2, cold_us=20 * SECOND, fall_us=SECOND)
        harness.servers_of_requests(100)
        harness.feed(ListUpdate(ListKind.DELTA, [Member(b"cold", born_us=harness.now)]))
        if share is not None:
            harness.feed(SharedStateUpdate(slow_start_shares={b"cold": share}))
        return harness.servers_of_requests(190).count(b"cold")

    assert sent(0.0) == 0 < sent(0.25) == sent(None) < sent(1.0)


def test_a_tenant_over_the_reported_quota_is_refused_first() -> None:
    tenants = [Tenant("a", 1e6), Tenant("b", 40.0)]

    def refused(quotas: dict[int, float]) -> list[bool]:
        harness = SteadyBalancer(classes=[RequestClass("read")], tenants=tenants)
        harness.feed(SharedStateUpdate(quota_shares=quotas, fleet_shortage=0.3))
        for n in range(200):
            harness.send_request(tenant=n % 2)
        # Each tenant sends ten a second, which is a quarter of b's quota.
        return [any(isinstance(a, Refuse) for a in harness.send_request(tenant=n % 2)) for n in range(200)]

    within_quota, over_quota = refused({1: 1.0}), refused({1: 0.01})
    assert 15 < sum(within_quota[::2]) < 50 and 15 < sum(within_quota[1::2]) < 50
    assert sum(over_quota[::2]) < 10 and 50 < sum(over_quota[1::2])


def test_the_fleet_shortage_replaces_the_local_one() -> None:
    harness = SteadyBalancer()
    assert harness.view().shortage == 0.0
    harness.feed(SharedStateUpdate(fleet_shortage=0.5))
    refused = sum(any(isinstance(a, Refuse) for a in harness.send_request()) for _ in range(200))
    assert 70 < refused < 130
    harness.feed(SharedStateUpdate())
    assert not any(isinstance(a, Refuse) for _ in range(50) for a in harness.send_request())


def test_the_fleet_shortage_counts_by_its_weight_until_it_expires() -> None:
    shares = BudgetShares(4)
    assert shares.shortage(0, 0.2) == 0.2
    shares.update(0, 0, {}, {}, 0.6, 0, 1.0, {}, fleet_shortage_weight=0.25, fleet_shortage_until=SECOND)
    assert round(shares.shortage(0, 0.2), 6) == 0.3 and round(shares.shortage(0, 1.0), 6) == 0.9
    assert shares.shortage(SECOND, 0.2) == 0.2
    harness = SteadyBalancer()
    harness.feed(
        SharedStateUpdate(
            fleet_shortage=0.8, fleet_shortage_weight=0.5, fleet_shortage_until=harness.now + 1_000 * SECOND
        )
    )
    assert 50 < sum(any(isinstance(a, Refuse) for a in harness.send_request()) for _ in range(200)) < 110


def test_failures_at_a_server_that_left_the_list_use_up_none_of_the_ejected_share() -> None:
    # Each server of a deployment that went silent before it left kept one place for good, until none could be
    # ejected.
    tracker = HealthTracker(lambda: 0.5)
    for ejected_before in (False, True):
        s = ServerHealth()
        for n in range(10):
            if n == (9 if ejected_before else 1):
                tracker.remove_server(s)
            tracker.record_failed_attempt(n, s, spoilt=False, server_count=10)
        assert tracker.ejected_count == 0
