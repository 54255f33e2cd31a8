"""Agreed versions and shares both say what is left of a quota: neither undoes the other, in any order."""

from __future__ import annotations

import random
from itertools import permutations

from pytest import approx

from roadlb.policy.interface import SharedStateUpdate, View
from roadlb.routing.shares import BudgetShares
from roadlb.shared_state.budgets import Terms
from roadlb.shared_state.events import Agreed, Beside
from roadlb.shared_state.merged import Event, FromShares, FromVersions, Merged
from roadlb.shared_state.told import PULSE_US, Hear, Message, Post, Pulse, There, Told

N = 4
HALVED, FLOOR = (
    FromVersions(SharedStateUpdate(N, quota_factors={0: 0.5})),
    FromVersions(SharedStateUpdate(N, quota_factors={0: 0.2})),
)
LENT = FromShares(
    N,
    SharedStateUpdate(
        0,
        {b"s": 0.4},
        {0: 0.4},
        {b"bad": 9},
        None,
        1_000,
        0.125,
        retries_per_s=9.0,
        retry_share=0.4,
        dials_per_s=9.0,
        dial_shares={1: 0.4},
    ),
)
ALONE = FromShares(N, SharedStateUpdate(0, {}, {}, {}, None, 0, 0.125))


def quota(heard: SharedStateUpdate, now: int = 0) -> float:
    """Of the settings' quota, what this balancer serves as within it."""
    shares = BudgetShares(N)
    shares.update(
        0,
        heard.process_count,
        heard.slow_start_shares,
        heard.quota_shares,
        None,
        heard.lease_end_us,
        heard.fallback_share,
        heard.quota_factors,
    )
    return 1 / shares.quota_divisor(now, 0)


def test_the_last_word_of_each_holds_in_every_order() -> None:
    for order in permutations([HALVED, FLOOR, LENT, ALONE]):
        merged, whole, share = Merged(), 1.0, 1 / N
        for event in order:
            (heard, *_) = merged.handle(0, event)
            assert isinstance(heard, SharedStateUpdate)
            whole = event.heard.quota_factors[0] if isinstance(event, FromVersions) else whole
            share = event.heard.quota_shares.get(0, 1 / N) if isinstance(event, FromShares) else share
            assert abs(quota(heard) - whole * share) < 1e-12
            assert (b"bad" in heard.avoid_until) == (share == 0.4)


def test_each_lease_ends_alone() -> None:
    merged = Merged()
    merged.handle(0, HALVED)
    (heard,) = merged.handle(0, LENT)
    assert isinstance(heard, SharedStateUpdate)
    assert quota(heard, 999) == approx(0.2) and quota(heard, 1_000) == approx(0.0625)  # the shares
    (heard,) = [a for a in merged.handle(999, FLOOR) if isinstance(a, SharedStateUpdate)]  # the versions
    assert quota(heard, 999) == approx(0.08) and quota(heard, 1_000) == approx(0.025)


def test_shares_in_parts_of_another_number_count_for_no_more_than_even_ones() -> None:
    merged = Merged()
    merged.handle(0, LENT)
    heard, agreed = merged.handle(0, FromVersions(SharedStateUpdate(2 * N)))
    assert agreed == Agreed(2 * N, {}) and isinstance(heard, SharedStateUpdate)
    even = 1 / (2 * N)
    assert heard.quota_shares == {0: even} and heard.slow_start_shares == {b"s": even}
    assert heard.retry_share == even and heard.dial_shares == {1: even}
    (heard,) = merged.handle(0, FromShares(2 * N, LENT.heard))
    assert isinstance(heard, SharedStateUpdate) and heard.quota_shares == {0: 0.4}
    merged.handle(0, Beside(2))  # a twin changes the parts, and not the number
    assert len(merged.handle(0, FromVersions(SharedStateUpdate(4 * N)))) == 1


class Fleet:
    """Balancers that share, each with what its module hears, and versions that reach them at any time."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.most = random.Random(seed), 10_000_000, 0.0
        self.told = [Told(0, f"lb-{i}", 1, "h", Terms(instances=N), [("t", 100.0)]) for i in range(N)]
        self.merged, self.heard = [Merged() for _ in self.told], [SharedStateUpdate() for _ in self.told]
        self.way: list[tuple[int, int, bytes]] = []
        for i, told in enumerate(self.told):
            self.do(i, told.handle(self.now, There(tuple(f"lb-{i}" for i in range(N)))))

    def do(self, i: int, actions: object) -> None:
        for action in actions:  # type: ignore[attr-defined]
            if isinstance(action, Hear):
                self.tell(i, FromShares(self.told[i].terms.instances, action.event))
            elif isinstance(action, Post) and self.random.random() < 0.8:
                self.way.append((i, int(action.to[3:]), action.payload))

    def tell(self, i: int, event: Event) -> None:
        for action in self.merged[i].handle(self.now, event):
            if isinstance(action, Agreed):
                self.do(i, self.told[i].handle(self.now, action))
            elif isinstance(action, SharedStateUpdate):
                self.heard[i] = action
                self.look()

    def look(self) -> None:
        self.most = max(self.most, sum(quota(heard, self.now) for heard in self.heard))

    def play(self, pulses: int) -> None:
        for _ in range(pulses):
            for i, told in enumerate(self.told):
                if self.random.random() < 0.02:
                    self.tell(i, FromVersions(SharedStateUpdate(self.random.choice((N, N, 2 * N, 5 * N)))))
                asked = 90.0 if (self.now // 5_000_000) % N == i else 0.0
                self.do(i, told.handle(self.now, Pulse(View([], tenant_rates_per_s=(asked,)), 0)))
            for _ in range(len(self.way)):
                sender, to, payload = self.way.pop(self.random.randrange(len(self.way)))
                self.do(to, self.told[to].handle(self.now, Message(f"lb-{sender}", 1, payload)))
            self.now += PULSE_US
            self.look()


def test_balancers_of_different_numbers_never_have_more_than_the_whole_and_share_again() -> None:
    for seed in range(6):
        fleet = Fleet(seed)
        fleet.play(200)
        assert fleet.most <= 1 + 1e-9
        for i in range(N):
            fleet.tell(i, FromVersions(SharedStateUpdate(N)))
        fleet.play(1)
        largest = 0.0
        for _ in range(60):
            for i in range(N):
                fleet.tell(i, FromVersions(SharedStateUpdate(N)))
            fleet.play(1)
            largest = max(largest, max(quota(heard, fleet.now) for heard in fleet.heard))
        assert largest > 1.5 / N and fleet.most <= 1 + 1e-9
