"""A site that answers reads but lets orders hang gets no orders but one trial order at a time."""

from __future__ import annotations

from typing import Any

import pytest
from test_site_states import OTHER_SITE, OWN_SITE, SECOND, THIRD_SITE, SitesUnderTest

from roadlb.sites.events import Listed, Missed, OrdersKept, PutIn, Sent, State, TakeOut
from roadlb.sites.life import DOUBT, LOSS, QUIET_US, SHORT_US, TRIAL_MOST_US, TRIAL_US


class HangingOrders(SitesUnderTest):
    """Orders at `OTHER_SITE` fail; all other requests are answered."""

    def __init__(
        self, *counts: int, orders_elsewhere: bool = True, reads: bool = True, servers: int = LOSS
    ) -> None:
        super().__init__(*counts)
        self.now += QUIET_US
        self.fail_attempts(OTHER_SITE, 1, order=True)
        self.answer(OWN_SITE, order=orders_elsewhere)
        for number in range(servers):
            if reads:
                self.answer(OTHER_SITE)
            self.handle(Missed(OTHER_SITE, self.server(OTHER_SITE, number), True))
        if reads:
            self.answer(OTHER_SITE)

    def keeps_orders_away(self, has_no_alternative: bool = False) -> bool:
        return self.sites.shut(self.now, OTHER_SITE, repeatable=False, bold=has_no_alternative)

    def fail_trial(self) -> int:
        """Waits for the next trial, fails it after two seconds, and returns how long it waited, in us."""
        began = self.now
        while self.keeps_orders_away():
            self.now += 10_000
        self.handle(Sent(OTHER_SITE, self.server(OTHER_SITE, 0), True))
        assert self.keeps_orders_away(), "only one trial order at a time"
        waited, self.now = self.now - began, self.now + 2 * SECOND
        # An order sent before the trial fails: that does not count as the trial's outcome.
        self.handle(Missed(OTHER_SITE, self.server(OTHER_SITE, 1), True))
        self.answer(OTHER_SITE)
        self.fail_attempts(OTHER_SITE, 1, order=True)
        return waited


def test_answers_to_reads_do_not_bring_orders_back_and_trials_become_rarer() -> None:
    harness = HangingOrders()
    assert harness.state(OTHER_SITE) is State.WHOLE and not harness.sites.shut(
        harness.now, OTHER_SITE, repeatable=True
    )
    assert harness.keeps_orders_away() and not harness.sites.shut(harness.now, THIRD_SITE, False)
    assert [round(harness.fail_trial() / TRIAL_US) for _ in range(6)] == [1, 2, 4, 8, 8, 8]
    assert harness.keeps_orders_away(has_no_alternative=True), (
        "with no other site to go to, an order must be refused rather than lost"
    )
    harness.answer(OTHER_SITE, order=True)
    assert not harness.keeps_orders_away()
    texts = [str(action) for action in harness.actions if isinstance(action, OrdersKept)]
    assert texts == [
        "site 1: orders keep away: 3 servers fail them and answer other requests",
        "site 1: orders go there: an order is answered",
    ]


@pytest.mark.parametrize("case", [{"servers": DOUBT}, {"orders_elsewhere": False}, {"reads": False}])
def test_little_evidence_or_failures_at_all_sites_keep_no_orders_away(case: dict[str, Any]) -> None:
    harness = HangingOrders(**case)
    assert not any(isinstance(action, OrdersKept) for action in harness.actions)


def test_orders_keep_going_to_a_small_site_and_to_one_that_has_just_answered_an_order() -> None:
    assert not HangingOrders(4, LOSS - 1, 4).keeps_orders_away()
    harness = SitesUnderTest()
    for silence_us, kept_away in ((QUIET_US // 2, False), (QUIET_US, True)):
        harness.answer(OTHER_SITE, order=True)
        harness.now += silence_us
        harness.fail_attempts(OTHER_SITE, 1, order=True)
        for number in range(LOSS):
            harness.answer(OWN_SITE, order=True)
            harness.answer(OTHER_SITE)
            harness.handle(Missed(OTHER_SITE, harness.server(OTHER_SITE, number), True))
        assert harness.sites.sites[OTHER_SITE].orders_away is kept_away


def test_failures_of_servers_that_left_the_list_or_restarted_do_not_count() -> None:
    harness = HangingOrders()
    others = {n: {harness.server(n, i): 0 for i in range(4)} for n in (OWN_SITE, THIRD_SITE)}
    servers_there = {harness.server(OTHER_SITE, i): 0 for i in range(1, 4)}
    harness.handle(Listed({**others, OTHER_SITE: servers_there}))
    assert harness.keeps_orders_away(), "two of the three failed servers are unchanged"
    harness.handle(
        Listed({**others, OTHER_SITE: {**servers_there, harness.server(OTHER_SITE, 1): harness.now}})
    )
    assert not harness.keeps_orders_away()
    harness = HangingOrders()
    harness.handle(Listed(others))
    harness.handle(Listed({**others, OTHER_SITE: servers_there}))
    assert not harness.keeps_orders_away()


def test_orders_keep_away_after_a_loss_too_but_failures_before_it_alone_do_not_count() -> None:
    for kept_away in (True, False):
        harness = HangingOrders(servers=LOSS if kept_away else DOUBT)
        harness.now += QUIET_US
        harness.fail_attempts(OTHER_SITE, 1)
        harness.answer(OWN_SITE, order=True)
        harness.fail_attempts(OTHER_SITE, LOSS)
        assert harness.state(OTHER_SITE) is State.LOST
        harness.now += SHORT_US // 2
        harness.answer(OTHER_SITE)
        harness.handle(Missed(OTHER_SITE, harness.server(OTHER_SITE, 3), True))
        assert harness.state(OTHER_SITE) is State.WHOLE and (
            harness.sites.sites[OTHER_SITE].orders_away is kept_away
        )
    harness = HangingOrders()
    harness.handle(TakeOut(OTHER_SITE))
    harness.handle(PutIn(OTHER_SITE))
    assert not harness.keeps_orders_away()


def test_a_trial_without_any_outcome_delays_the_next_one_for_a_bounded_time() -> None:
    harness = HangingOrders()
    harness.now += TRIAL_US
    harness.handle(Sent(OTHER_SITE, harness.server(OTHER_SITE, 3), True))
    harness.now += TRIAL_MOST_US
    assert not harness.keeps_orders_away()
