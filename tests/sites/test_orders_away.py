"""A site that answers reads but lets orders hang gets no orders but one trial order at a time."""

from __future__ import annotations

from typing import Any

import pytest
from test_site_states import OTHER_SITE, OWN_SITE, SECOND, THIRD_SITE, SitesUnderTest

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


class HangingOrders(SitesUnderTest):
    """Orders at `OTHER_SITE` fail; all other requests are answered."""

    def __init__(
        self, *counts: int, orders_elsewhere: bool = True, reads: bool = True, servers: int = LOSS_FAILURES
    ) -> None:
        super().__init__(*counts)
        self.now += MIN_SILENCE_US
        self.fail_attempts(OTHER_SITE, 1, order=True)
        self.answer(OWN_SITE, order=orders_elsewhere)
        for number in range(servers):
            if reads:
                self.answer(OTHER_SITE)
            self.handle(AttemptFailed(OTHER_SITE, self.server(OTHER_SITE, number), True))
        if reads:
            self.answer(OTHER_SITE)

    def keeps_orders_away(self, has_no_alternative: bool = False) -> bool:
        return self.sites.is_closed(self.now, OTHER_SITE, repeatable=False, last_resort=has_no_alternative)

    def fail_trial(self) -> int:
        """Waits for the next trial, fails it after two seconds, and returns how long it waited, in us."""
        began = self.now
        while self.keeps_orders_away():
            self.now += 10_000
        self.handle(RequestSent(OTHER_SITE, self.server(OTHER_SITE, 0), True))
        assert self.keeps_orders_away(), "only one trial order at a time"
        waited, self.now = self.now - began, self.now + 2 * SECOND
        # An order sent before the trial fails: that does not count as the trial's outcome.
        self.handle(AttemptFailed(OTHER_SITE, self.server(OTHER_SITE, 1), True))
        self.answer(OTHER_SITE)
        self.fail_attempts(OTHER_SITE, 1, order=True)
        return waited


def test_answers_to_reads_do_not_bring_orders_back_and_trials_become_rarer() -> None:
    harness = HangingOrders()
    assert harness.state(OTHER_SITE) is State.WHOLE and not harness.sites.is_closed(
        harness.now, OTHER_SITE, repeatable=True
    )
    assert harness.keeps_orders_away() and not harness.sites.is_closed(harness.now, THIRD_SITE, False)
    assert [round(harness.fail_trial() / TRIAL_INTERVAL_US) for _ in range(6)] == [1, 2, 4, 8, 8, 8]
    assert harness.keeps_orders_away(has_no_alternative=True), (
        "with no other site to go to, an order must be refused rather than lost"
    )
    harness.answer(OTHER_SITE, order=True)
    assert not harness.keeps_orders_away()
    texts = [str(action) for action in harness.actions if isinstance(action, OrderAvoidanceChanged)]
    assert texts == [
        "site 1: orders keep away: 3 servers fail them and answer other requests",
        "site 1: orders go there: an order is answered",
    ]


@pytest.mark.parametrize("case", [{"servers": DOUBT_FAILURES}, {"orders_elsewhere": False}, {"reads": False}])
def test_little_evidence_or_failures_at_all_sites_keep_no_orders_away(case: dict[str, Any]) -> None:
    harness = HangingOrders(**case)
    assert not any(isinstance(action, OrderAvoidanceChanged) for action in harness.actions)


def test_orders_keep_going_to_a_small_site_and_to_one_that_has_just_answered_an_order() -> None:
    assert not HangingOrders(4, LOSS_FAILURES - 1, 4).keeps_orders_away()
    harness = SitesUnderTest()
    for silence_us, kept_away in ((MIN_SILENCE_US // 2, False), (MIN_SILENCE_US, True)):
        harness.answer(OTHER_SITE, order=True)
        harness.now += silence_us
        harness.fail_attempts(OTHER_SITE, 1, order=True)
        for number in range(LOSS_FAILURES):
            harness.answer(OWN_SITE, order=True)
            harness.answer(OTHER_SITE)
            harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, number), True))
        assert harness.sites.sites[OTHER_SITE].orders_away is kept_away


def test_failures_of_servers_that_left_the_list_or_restarted_do_not_count() -> None:
    harness = HangingOrders()
    others = {n: {harness.server(n, i): 0 for i in range(4)} for n in (OWN_SITE, THIRD_SITE)}
    servers_there = {harness.server(OTHER_SITE, i): 0 for i in range(1, 4)}
    harness.handle(ServersListed({**others, OTHER_SITE: servers_there}))
    assert harness.keeps_orders_away(), "two of the three failed servers are unchanged"
    harness.handle(
        ServersListed({**others, OTHER_SITE: {**servers_there, harness.server(OTHER_SITE, 1): harness.now}})
    )
    assert not harness.keeps_orders_away()
    harness = HangingOrders()
    harness.handle(ServersListed(others))
    harness.handle(ServersListed({**others, OTHER_SITE: servers_there}))
    assert not harness.keeps_orders_away()


def test_orders_keep_away_after_a_loss_too_but_failures_before_it_alone_do_not_count() -> None:
    for kept_away in (True, False):
        harness = HangingOrders(servers=LOSS_FAILURES if kept_away else DOUBT_FAILURES)
        harness.now += MIN_SILENCE_US
        harness.fail_attempts(OTHER_SITE, 1)
        harness.answer(OWN_SITE, order=True)
        harness.fail_attempts(OTHER_SITE, LOSS_FAILURES)
        assert harness.state(OTHER_SITE) is State.LOST
        harness.now += SHORT_OUTAGE_US // 2
        harness.answer(OTHER_SITE)
        harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, 3), True))
        assert harness.state(OTHER_SITE) is State.WHOLE and (
            harness.sites.sites[OTHER_SITE].orders_away is kept_away
        )
    harness = HangingOrders()
    harness.handle(TakeOut(OTHER_SITE))
    harness.handle(PutIn(OTHER_SITE))
    assert not harness.keeps_orders_away()


def test_a_trial_without_any_outcome_delays_the_next_one_for_a_bounded_time() -> None:
    harness = HangingOrders()
    harness.now += TRIAL_INTERVAL_US
    harness.handle(RequestSent(OTHER_SITE, harness.server(OTHER_SITE, 3), True))
    harness.now += MAX_TRIAL_INTERVAL_US
    assert not harness.keeps_orders_away()
