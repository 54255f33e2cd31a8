"""A site that answers what is cheap and lets orders hang: they keep away, but for one at a time in turn."""

from __future__ import annotations

from typing import Any

import pytest
from test_life import FAR, HERE, SECOND, THERE, World

from roadlb.sites.events import Listed, Missed, OrdersKept, PutIn, Sent, State, TakeOut
from roadlb.sites.life import DOUBT, LOSS, QUIET_US, SHORT_US, TRIAL_MOST_US, TRIAL_US


class Hanging(World):
    """Orders at `THERE` fail; all else is answered."""

    def __init__(
        self, *counts: int, orders_elsewhere: bool = True, reads: bool = True, servers: int = LOSS
    ) -> None:
        super().__init__(*counts)
        self.now += QUIET_US
        self.fail(THERE, 1, order=True)
        self.answer(HERE, order=orders_elsewhere)
        for number in range(servers):
            if reads:
                self.answer(THERE)
            self.tell(Missed(THERE, self.server(THERE, number), True))
        if reads:
            self.answer(THERE)

    def kept(self, bold: bool = False) -> bool:
        return self.sites.shut(self.now, THERE, repeatable=False, bold=bold)

    def trial(self) -> int:
        """Waits for the next trial, which fails after two seconds; how long it waited."""
        began = self.now
        while self.kept():
            self.now += 10_000
        self.tell(Sent(THERE, self.server(THERE, 0), True))
        assert self.kept(), "one at a time"
        waited, self.now = self.now - began, self.now + 2 * SECOND
        self.tell(Missed(THERE, self.server(THERE, 1), True))  # sent before: no trial
        self.answer(THERE)
        self.fail(THERE, 1, order=True)
        return waited


def test_answers_to_reads_bring_no_orders_back_and_trials_grow_rare() -> None:
    world = Hanging()
    assert world.state(THERE) is State.WHOLE and not world.sites.shut(world.now, THERE, repeatable=True)
    assert world.kept() and not world.sites.shut(world.now, FAR, False)
    assert [round(world.trial() / TRIAL_US) for _ in range(6)] == [1, 2, 4, 8, 8, 8]
    assert world.kept(bold=True), "nowhere else to go, and better refused than lost"
    world.answer(THERE, order=True)
    assert not world.kept()
    said = [str(one) for one in world.said if isinstance(one, OrdersKept)]
    assert said == [
        "site 1: orders keep away: 3 servers fail them and answer other requests",
        "site 1: orders go there: an order is answered",
    ]


@pytest.mark.parametrize("case", [{"servers": DOUBT}, {"orders_elsewhere": False}, {"reads": False}])
def test_too_little_or_what_holds_for_all_keeps_no_orders_away(case: dict[str, Any]) -> None:
    world = Hanging(**case)
    assert not any(isinstance(one, OrdersKept) for one in world.said)


def test_a_small_site_and_one_that_answered_an_order_just_now_are_not_judged() -> None:
    assert not Hanging(4, LOSS - 1, 4).kept()
    world = World()
    for still_us, away in ((QUIET_US // 2, False), (QUIET_US, True)):
        world.answer(THERE, order=True)
        world.now += still_us
        world.fail(THERE, 1, order=True)
        for number in range(LOSS):
            world.answer(HERE, order=True)
            world.answer(THERE)
            world.tell(Missed(THERE, world.server(THERE, number), True))
        assert world.sites.sites[THERE].orders_away is away


def test_what_leaves_the_list_or_starts_anew_says_nothing_of_its_site() -> None:
    world = Hanging()
    others = {n: {world.server(n, i): 0 for i in range(4)} for n in (HERE, FAR)}
    there = {world.server(THERE, i): 0 for i in range(1, 4)}
    world.tell(Listed({**others, THERE: there}))
    assert world.kept(), "two of the three are as they were"
    world.tell(Listed({**others, THERE: {**there, world.server(THERE, 1): world.now}}))
    assert not world.kept()
    world = Hanging()
    world.tell(Listed(others))
    world.tell(Listed({**others, THERE: there}))
    assert not world.kept()


def test_orders_kept_away_stay_so_through_a_loss_and_what_failed_in_a_loss_does_not_count() -> None:
    for kept in (True, False):
        world = Hanging(servers=LOSS if kept else DOUBT)
        world.now += QUIET_US
        world.fail(THERE, 1)
        world.answer(HERE, order=True)
        world.fail(THERE, LOSS)
        assert world.state(THERE) is State.LOST
        world.now += SHORT_US // 2
        world.answer(THERE)
        world.tell(Missed(THERE, world.server(THERE, 3), True))
        assert world.state(THERE) is State.WHOLE and (world.sites.sites[THERE].orders_away is kept)
    world = Hanging()
    world.tell(TakeOut(THERE))
    world.tell(PutIn(THERE))
    assert not world.kept()


def test_a_trial_that_nobody_hears_of_is_not_waited_for_for_ever() -> None:
    world = Hanging()
    world.now += TRIAL_US
    world.tell(Sent(THERE, world.server(THERE, 3), True))
    world.now += TRIAL_MOST_US
    assert not world.kept()
