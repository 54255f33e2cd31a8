"""A site that answers what is cheap and lets orders hang: they keep away, but for one at a time in turn."""

from __future__ import annotations

from typing import Any

import pytest
from test_life import FAR, HERE, SECOND, THERE, World

from roadlb.sites.events import (
    ServersListed,
    AttemptFailed,
    OrderAvoidanceChanged,
    PutIn,
    RequestSent,
    State,
    TakeOut,
)
from roadlb.sites.state_machine import (
    DOUBT_FAILURES,
    LOSS_FAILURES,
    MIN_SILENCE_US,
    SHORT_OUTAGE_US,
    MAX_TRIAL_INTERVAL_US,
    TRIAL_INTERVAL_US,
)


class Hanging(World):
    """Orders at `THERE` fail; all else is answered."""

    def __init__(
        self, *counts: int, orders_elsewhere: bool = True, reads: bool = True, servers: int = LOSS_FAILURES
    ) -> None:
        super().__init__(*counts)
        self.now += MIN_SILENCE_US
        self.fail(THERE, 1, order=True)
        self.answer(HERE, order=orders_elsewhere)
        for number in range(servers):
            if reads:
                self.answer(THERE)
            self.tell(AttemptFailed(THERE, self.server(THERE, number), True))
        if reads:
            self.answer(THERE)

    def kept(self, last_resort: bool = False) -> bool:
        return self.sites.is_closed(self.now, THERE, repeatable=False, last_resort=last_resort)

    def trial(self) -> int:
        """Waits for the next trial, which fails after two seconds; how long it waited."""
        began = self.now
        while self.kept():
            self.now += 10_000
        self.tell(RequestSent(THERE, self.server(THERE, 0), True))
        assert self.kept(), "one at a time"
        waited, self.now = self.now - began, self.now + 2 * SECOND
        self.tell(AttemptFailed(THERE, self.server(THERE, 1), True))  # sent before: no trial
        self.answer(THERE)
        self.fail(THERE, 1, order=True)
        return waited


def test_answers_to_reads_bring_no_orders_back_and_trials_grow_rare() -> None:
    world = Hanging()
    assert world.state(THERE) is State.WHOLE and not world.sites.is_closed(world.now, THERE, repeatable=True)
    assert world.kept() and not world.sites.is_closed(world.now, FAR, False)
    assert [round(world.trial() / TRIAL_INTERVAL_US) for _ in range(6)] == [1, 2, 4, 8, 8, 8]
    assert world.kept(last_resort=True), "nowhere else to go, and better refused than lost"
    world.answer(THERE, order=True)
    assert not world.kept()
    said = [str(one) for one in world.said if isinstance(one, OrderAvoidanceChanged)]
    assert said == [
        "site 1: orders keep away: 3 servers fail them and answer other requests",
        "site 1: orders go there: an order is answered",
    ]


@pytest.mark.parametrize("case", [{"servers": DOUBT_FAILURES}, {"orders_elsewhere": False}, {"reads": False}])
def test_too_little_or_what_holds_for_all_keeps_no_orders_away(case: dict[str, Any]) -> None:
    world = Hanging(**case)
    assert not any(isinstance(one, OrderAvoidanceChanged) for one in world.said)


def test_a_small_site_and_one_that_answered_an_order_just_now_are_not_judged() -> None:
    assert not Hanging(4, LOSS_FAILURES - 1, 4).kept()
    world = World()
    for still_us, away in ((MIN_SILENCE_US // 2, False), (MIN_SILENCE_US, True)):
        world.answer(THERE, order=True)
        world.now += still_us
        world.fail(THERE, 1, order=True)
        for number in range(LOSS_FAILURES):
            world.answer(HERE, order=True)
            world.answer(THERE)
            world.tell(AttemptFailed(THERE, world.server(THERE, number), True))
        assert world.sites.sites[THERE].orders_away is away


def test_what_leaves_the_list_or_starts_anew_says_nothing_of_its_site() -> None:
    world = Hanging()
    others = {n: {world.server(n, i): 0 for i in range(4)} for n in (HERE, FAR)}
    there = {world.server(THERE, i): 0 for i in range(1, 4)}
    world.tell(ServersListed({**others, THERE: there}))
    assert world.kept(), "two of the three are as they were"
    world.tell(ServersListed({**others, THERE: {**there, world.server(THERE, 1): world.now}}))
    assert not world.kept()
    world = Hanging()
    world.tell(ServersListed(others))
    world.tell(ServersListed({**others, THERE: there}))
    assert not world.kept()


def test_orders_kept_away_stay_so_through_a_loss_and_what_failed_in_a_loss_does_not_count() -> None:
    for kept in (True, False):
        world = Hanging(servers=LOSS_FAILURES if kept else DOUBT_FAILURES)
        world.now += MIN_SILENCE_US
        world.fail(THERE, 1)
        world.answer(HERE, order=True)
        world.fail(THERE, LOSS_FAILURES)
        assert world.state(THERE) is State.LOST
        world.now += SHORT_OUTAGE_US // 2
        world.answer(THERE)
        world.tell(AttemptFailed(THERE, world.server(THERE, 3), True))
        assert world.state(THERE) is State.WHOLE and (world.sites.sites[THERE].orders_away is kept)
    world = Hanging()
    world.tell(TakeOut(THERE))
    world.tell(PutIn(THERE))
    assert not world.kept()


def test_a_trial_that_nobody_hears_of_is_not_waited_for_for_ever() -> None:
    world = Hanging()
    world.now += TRIAL_INTERVAL_US
    world.tell(RequestSent(THERE, world.server(THERE, 3), True))
    world.now += MAX_TRIAL_INTERVAL_US
    assert not world.kept()
