"""What balancers tell each other is one event for the module, and changes nothing where it says nothing."""

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
from roadlb.routing.shares import Shares
from roadlb.routing.standing import EJECT_SHARE, Standing, Standings

SECOND = 1_000_000
SERVERS = [bytes([n]) for n in range(10)]


class Fed:
    """One balancer at 20 requests a second, each answered after 50 ms."""

    def __init__(self, **settings: object) -> None:
        self.b = Balancer(Settings(instances=4, second_copies=False, **settings), 5)  # type: ignore[arg-type]
        self.now, self.request = 100 * SECOND, 0
        self.timers: list[tuple[int, int]] = []
        self.do(ListUpdate(ListKind.CACHED, [Member(s) for s in SERVERS]))

    def do(self, event: Event) -> list[Action]:
        actions = self.b.handle(self.now, event)
        self.timers += [(a.at_us, a.token) for a in actions if isinstance(a, SetTimer)]
        return actions

    def ask(self, status: Status = Status.OK, tenant: int = 0) -> list[Action]:
        self.request, self.now = self.request + 1, self.now + SECOND // 20
        for timer in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove(timer)
            self.do(TimerFired(timer[1]))
        actions = self.do(Arrival(self.request, 0, tenant, self.request, SECOND, 0))
        for a in list(actions):
            if isinstance(a, Send):
                self.now += SECOND // 20
                actions += self.do(
                    Outcome(self.request, 0, a.server, status, SECOND // 20, status is Status.OK)
                )
        return actions

    def went(self, count: int) -> list[bytes]:
        return [a.server for _ in range(count) for a in self.ask() if isinstance(a, Send)]

    def view(self) -> View:
        (view,) = self.b.handle(self.now, ViewQuery())
        assert isinstance(view, View)
        return view


def test_an_event_that_says_nothing_changes_no_decision() -> None:
    alone, told = Fed(), Fed()
    for n in range(200):
        if n % 10 == 0:
            assert told.do(SharedStateUpdate()) == []
        status = Status.ERROR if n % 7 == 0 else Status.OK
        assert alone.ask(status) == told.ask(status)


def test_a_server_that_others_judge_bad_is_avoided_until_then_and_not_beyond_the_share() -> None:
    fed = Fed()
    until = fed.now + 20 * SECOND
    fed.do(SharedStateUpdate(avoid_until={s: until for s in [b"unknown", *SERVERS[:6]]}))
    most = int(EJECT_SHARE * len(SERVERS))
    assert sum(s.ejected for s in fed.view().servers) == most
    assert not set(SERVERS[:most]) & set(fed.went(100))
    fed.now = until + 1
    # Each is tried by one request that may be repeated, answers, and is one of them again.
    assert set(fed.went(300)) >= set(SERVERS[:most])
    assert not any(s.ejected for s in fed.view().servers)


def test_an_own_good_answer_counts_more_than_the_same_word_told_again() -> None:
    standings, s = Standings(lambda: 0.5), Standing()
    standings.avoid(s, 100, servers=10)
    standings.good(s)
    standings.avoid(s, 100, servers=10)
    assert s.eject_until == 0 and standings.ejected == 0
    standings.avoid(s, 101, servers=10)
    assert s.eject_until == 101 and standings.ejected == 1


def test_shares_told_stand_for_those_of_an_even_division() -> None:
    shares = Shares(8)
    assert (shares.parts, shares.of_cold(0, b"a"), shares.of_quota(0, 0)) == (8, 8, 8)
    shares.twins(0, 2)
    assert (shares.parts, shares.alike) == (16, 8)
    shares.told(0, 5, {b"a": 0.5, b"b": 0.0}, {1: 0.1}, None, 0, 1.0, {})
    assert (shares.parts, shares.alike) == (5, 5)
    assert shares.of_cold(0, b"a") == 2 and shares.of_cold(0, b"b") > 1e6 and shares.of_cold(0, b"c") == 5
    assert round(shares.of_quota(0, 1)) == 10 and shares.of_quota(0, 0) == 5
    shares.twins(0, 3)  # what all may do is divided among processes, as they were told
    assert shares.parts == 5
    shares.told(0, 0, {}, {}, None, 0, 1.0, {})
    assert (shares.parts, shares.alike) == (24, 8)


def test_a_cold_server_gets_no_more_than_the_share_that_was_told() -> None:
    def sent(share: float | None) -> int:
        fed = Fed(cold_from=0.2, cold_us=20 * SECOND, fall_us=SECOND)
        fed.went(100)
        fed.do(ListUpdate(ListKind.DELTA, [Member(b"cold", born_us=fed.now)]))
        if share is not None:
            fed.do(SharedStateUpdate(slow_start_shares={b"cold": share}))
        return fed.went(190).count(b"cold")

    assert sent(0.0) == 0 < sent(0.25) == sent(None) < sent(1.0)


def test_a_customer_beyond_the_quota_that_was_told_is_refused_first() -> None:
    tenants = [Tenant("a", 1e6), Tenant("b", 40.0)]

    def refused(quotas: dict[int, float]) -> list[bool]:
        fed = Fed(classes=[RequestClass("read")], tenants=tenants)
        fed.do(SharedStateUpdate(quota_shares=quotas, fleet_shortage=0.3))
        for n in range(200):
            fed.ask(tenant=n % 2)
        # Ten a second of each: a quarter of b's quota is as much.
        return [any(isinstance(a, Refuse) for a in fed.ask(tenant=n % 2)) for n in range(200)]

    within, over = refused({1: 1.0}), refused({1: 0.01})
    assert 15 < sum(within[::2]) < 50 and 15 < sum(within[1::2]) < 50
    assert sum(over[::2]) < 10 and 50 < sum(over[1::2])


def test_the_shortage_that_all_see_stands_for_the_own() -> None:
    fed = Fed()
    assert fed.view().shortage == 0.0
    fed.do(SharedStateUpdate(fleet_shortage=0.5))
    refused = sum(any(isinstance(a, Refuse) for a in fed.ask()) for _ in range(200))
    assert 70 < refused < 130
    fed.do(SharedStateUpdate())
    assert not any(isinstance(a, Refuse) for _ in range(50) for a in fed.ask())


def test_the_shortage_that_all_see_counts_beside_the_own_by_its_part_and_while_it_is_fresh() -> None:
    shares = Shares(4)
    assert shares.shortage(0, 0.2) == 0.2
    shares.told(0, 0, {}, {}, 0.6, 0, 1.0, {}, lean=0.25, stale=SECOND)
    assert round(shares.shortage(0, 0.2), 6) == 0.3 and round(shares.shortage(0, 1.0), 6) == 0.9
    assert shares.shortage(SECOND, 0.2) == 0.2
    fed = Fed()
    fed.do(
        SharedStateUpdate(
            fleet_shortage=0.8, fleet_shortage_weight=0.5, fleet_shortage_until=fed.now + 1_000 * SECOND
        )
    )
    assert 50 < sum(any(isinstance(a, Refuse) for a in fed.ask()) for _ in range(200)) < 110


def test_what_ends_at_a_server_that_left_the_list_takes_no_part_of_the_ejected_share() -> None:
    # Each node of a deploy that fell silent before it left took one for good, until none could be ejected.
    standings = Standings(lambda: 0.5)
    for ejected_before in (False, True):
        s = Standing()
        for n in range(10):
            if n == (9 if ejected_before else 1):
                standings.gone(s)
            standings.failed(n, s, spoilt=False, servers=10)
        assert standings.ejected == 0
