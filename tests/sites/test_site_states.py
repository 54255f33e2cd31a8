"""The state machine of a site: what makes it doubtful, lost, returning, whole and out of service."""

from __future__ import annotations

from typing import Any

import pytest

from roadlb.sites.events import (
    ServerAnswered,
    StateChanged,
    CommandRejected,
    ReportedSilent,
    ServersListed,
    AttemptFailed,
    Tick,
    PutIn,
    RequestSent,
    State,
    TakeOut,
)
from roadlb.sites.state_machine import (
    DOUBT_FAILURES,
    MAX_DOUBT_US,
    KEPT_ATTEMPT_INTERVAL_US,
    LOSS_FAILURES,
    MAX_SITES,
    MAX_SILENCE_US,
    SILENCE_LATENCY_MULTIPLE,
    MIN_SILENCE_US,
    SHORT_OUTAGE_US,
    SLOWEST_ANSWER_WINDOW_US,
    STABLE_US,
    RETURN_STEP_ANSWERS,
    RETURN_STEP_US,
    RETURN_STEPS,
    MAX_TRIAL_INTERVAL_US,
    TRIAL_INTERVAL_US,
    Sites,
)

SECOND = 1_000_000
OWN_SITE, OTHER_SITE, THIRD_SITE = 0, 1, 2


class SitesUnderTest:
    """Three sites with the given numbers of servers, and a simulated clock."""

    def __init__(self, *server_counts: int) -> None:
        self.sites, self.now = Sites(), SECOND
        self.server_counts = server_counts or (4, 4, 4)
        self.actions: list[Any] = []
        self.handle(
            ServersListed(
                {n: {self.server(n, i): 0 for i in range(c)} for n, c in enumerate(self.server_counts)}
            )
        )

    @staticmethod
    def server(site: int, number: int) -> bytes:
        return bytes([site, number])

    def handle(self, event: Any) -> list[Any]:
        actions = self.sites.handle(self.now, event)
        self.actions += actions
        return actions

    def fail_attempts(self, site: int, count: int, order: bool = False) -> None:
        for i in range(count):
            self.now += 1_000
            self.handle(AttemptFailed(site, self.server(site, i), order))

    def answer(self, site: int, order: bool = False) -> None:
        self.now += 1_000
        self.handle(ServerAnswered(site, self.server(site, 0), order))

    def lose_site(self, site: int) -> None:
        self.now += MIN_SILENCE_US
        self.fail_attempts(site, 1)
        self.answer(OWN_SITE if site != OWN_SITE else THIRD_SITE)
        self.fail_attempts(site, LOSS_FAILURES)

    def state(self, site: int) -> State:
        return next(view.state for view in self.sites.view() if view.site == site)

    def share(self, site: int) -> float:
        return next(view.share for view in self.sites.view() if view.site == site)

    def pass_step(self, site: int, answers: int = RETURN_STEP_ANSWERS) -> None:
        """Lets the time of one step pass, then delivers this many answers."""
        self.now += RETURN_STEP_US
        for _ in range(answers):
            self.answer(site)


def test_failures_count_until_any_server_of_the_site_answers() -> None:
    harness = SitesUnderTest()
    harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES)
    assert harness.state(OTHER_SITE) is State.DOUBTFUL
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=False)
    assert not harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True)
    harness.answer(OTHER_SITE)
    assert harness.state(OTHER_SITE) is State.WHOLE
    harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES - 1)
    assert harness.state(OTHER_SITE) is State.WHOLE, "the count must start again after an answer"


def test_a_site_is_lost_only_while_another_site_answers() -> None:
    harness = SitesUnderTest()
    for site in (OWN_SITE, OTHER_SITE, THIRD_SITE):
        harness.fail_attempts(site, 4)
    assert {harness.state(site) for site in (OWN_SITE, OTHER_SITE, THIRD_SITE)} == {State.DOUBTFUL}, (
        "the fault may be in this balancer's own link"
    )
    harness.answer(OWN_SITE)
    harness.fail_attempts(OTHER_SITE, 1)
    assert harness.state(OTHER_SITE) is State.LOST and harness.state(THIRD_SITE) is State.DOUBTFUL
    assert [a for a in harness.actions if isinstance(a, StateChanged) and a.after is State.LOST] == [
        StateChanged(OTHER_SITE, State.DOUBTFUL, State.LOST, "3 servers fail, none answers")
    ]


def test_a_trial_ends_the_doubt_whether_it_is_answered_or_fails() -> None:
    # Servers that have failed are avoided one by one: without trials, in a zone of four the third server got
    # no request for 45 s, so the site stayed in doubt.
    for answers, after in ((True, State.WHOLE), (False, State.LOST)):
        harness = SitesUnderTest()
        harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES)
        harness.answer(OWN_SITE)
        harness.now += MAX_DOUBT_US
        assert harness.sites.due_trial(harness.now) == OTHER_SITE
        harness.handle(RequestSent(OTHER_SITE))
        assert harness.sites.due_trial(harness.now) == -1
        harness.handle(
            (ServerAnswered if answers else AttemptFailed)(OTHER_SITE, harness.server(OTHER_SITE, 0))
        )
        assert harness.state(OTHER_SITE) is after


def test_a_trial_whose_hedge_answers_first_can_end_a_long_doubt_but_not_raise_one() -> None:
    harness = SitesUnderTest()
    for _ in range(20):
        harness.sites.on_hedge_won(harness.now, OTHER_SITE, harness.server(OTHER_SITE, 0))
        harness.sites.on_hedge_won(harness.now, OTHER_SITE, harness.server(OTHER_SITE, 1))
    assert harness.state(OTHER_SITE) is State.WHOLE
    harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES)
    harness.answer(OWN_SITE)
    for n in range(4):
        harness.sites.on_hedge_won(harness.now, OTHER_SITE, harness.server(OTHER_SITE, n))
    assert harness.state(OTHER_SITE) is State.DOUBTFUL, "two servers may have ended, and the others be slow"
    harness.now += MAX_DOUBT_US
    harness.sites.on_hedge_won(harness.now, OTHER_SITE, harness.server(OTHER_SITE, 0))
    assert harness.state(OTHER_SITE) is State.LOST


def test_where_hedges_always_answer_first_an_attempt_in_each_interval_runs_to_its_end() -> None:
    harness = SitesUnderTest()
    harness.answer(OTHER_SITE)
    for n in range(LOSS_FAILURES):
        assert not harness.sites.keeps_hedged_attempt(harness.now, OTHER_SITE)
        harness.now += MIN_SILENCE_US // LOSS_FAILURES + 1
        harness.sites.on_hedge_won(harness.now, OTHER_SITE, harness.server(OTHER_SITE, n))
    assert harness.state(OTHER_SITE) is State.WHOLE
    assert harness.sites.keeps_hedged_attempt(
        harness.now, OTHER_SITE
    ) and not harness.sites.keeps_hedged_attempt(harness.now, OTHER_SITE)
    harness.now += KEPT_ATTEMPT_INTERVAL_US
    assert harness.sites.keeps_hedged_attempt(harness.now, OTHER_SITE)
    harness.answer(OTHER_SITE)
    harness.now += 2 * MIN_SILENCE_US
    assert not harness.sites.keeps_hedged_attempt(harness.now, OTHER_SITE), (
        "the count must start again after an answer"
    )


def test_a_site_that_is_slow_by_overload_is_not_lost() -> None:
    harness = SitesUnderTest(20, 20, 20)
    for i in range(200):
        harness.now += 5_000
        harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, i % 20)))
        if i % 2:
            harness.answer(OTHER_SITE)  # late, but an answer
        harness.answer(OWN_SITE)
    assert not any(isinstance(a, StateChanged) and a.after is State.LOST for a in harness.actions)


def test_simultaneous_failures_soon_after_an_answer_do_not_lose_a_site() -> None:
    harness = SitesUnderTest()
    harness.answer(OTHER_SITE)
    harness.fail_attempts(OTHER_SITE, LOSS_FAILURES)
    harness.answer(OWN_SITE)
    harness.now += MIN_SILENCE_US // 2
    harness.fail_attempts(OTHER_SITE, LOSS_FAILURES)
    assert harness.state(OTHER_SITE) is State.DOUBTFUL
    harness.now += MIN_SILENCE_US // 2
    harness.fail_attempts(OTHER_SITE, 1)
    assert harness.state(OTHER_SITE) is State.LOST


def test_a_site_with_slow_answers_is_lost_only_after_a_longer_silence() -> None:
    def silence_before_loss(took_us: int, ago_us: int = 0) -> int:
        """The time from its last answer to its loss."""
        harness = SitesUnderTest()
        harness.handle(ServerAnswered(OTHER_SITE, harness.server(OTHER_SITE, 0), took_us=took_us))
        harness.now += ago_us
        harness.handle(ServerAnswered(OTHER_SITE, harness.server(OTHER_SITE, 0), took_us=20_000))
        last_answer = harness.now
        while harness.state(OTHER_SITE) is not State.LOST:
            harness.now += 50_000
            harness.answer(OWN_SITE)
            harness.fail_attempts(OTHER_SITE, LOSS_FAILURES)
        return harness.now - last_answer

    usual = silence_before_loss(20_000)
    assert MIN_SILENCE_US <= usual < MIN_SILENCE_US + 200_000
    assert (
        SILENCE_LATENCY_MULTIPLE * 500_000
        <= silence_before_loss(500_000)
        < SILENCE_LATENCY_MULTIPLE * 500_000 + 200_000
    )
    assert MAX_SILENCE_US <= silence_before_loss(5 * SECOND) < MAX_SILENCE_US + 200_000, (
        "the silence needed is bounded"
    )
    assert silence_before_loss(500_000, SLOWEST_ANSWER_WINDOW_US + 1) == usual, (
        "a slow answer long ago must not count"
    )


@pytest.mark.parametrize("servers", [1, LOSS_FAILURES - 1])
def test_a_site_of_few_servers_is_never_doubtful_or_lost(servers: int) -> None:
    harness = SitesUnderTest(4, servers, 4)
    for _ in range(50):
        harness.answer(OWN_SITE)
        harness.fail_attempts(OTHER_SITE, servers)
    assert harness.state(OTHER_SITE) is State.WHOLE and not harness.sites.is_closed(
        harness.now, OTHER_SITE, False
    )


def test_repeated_failures_of_one_server_do_not_count_against_its_site() -> None:
    harness = SitesUnderTest()
    for _ in range(100):
        harness.answer(OWN_SITE)
        harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, 0)))
    assert harness.state(OTHER_SITE) is State.WHOLE


def test_a_lost_site_gets_one_trial_per_interval_by_a_repeatable_request() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    assert harness.sites.due_trial(harness.now) == -1 and harness.sites.is_closed(
        harness.now, OTHER_SITE, repeatable=True
    )
    harness.now += TRIAL_INTERVAL_US
    assert harness.sites.due_trial(harness.now) == OTHER_SITE
    assert not harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True)
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=False)
    assert not harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True, last_resort=True), (
        "a request with no other site to go to"
    )
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=False, last_resort=True), (
        "an order lost there could not be retried"
    )
    harness.handle(RequestSent(OTHER_SITE))
    assert harness.sites.due_trial(harness.now) == -1 and harness.sites.is_closed(
        harness.now, OTHER_SITE, repeatable=True
    )


def test_a_balancer_with_little_traffic_makes_fewer_trials() -> None:
    harness = SitesUnderTest()
    harness.sites.set_usual_rates([(OTHER_SITE, 2.0), (OWN_SITE, 2.0)])
    harness.lose_site(OTHER_SITE)
    harness.now += TRIAL_INTERVAL_US
    assert harness.sites.due_trial(harness.now) == -1
    harness.now += 4 * TRIAL_INTERVAL_US
    assert harness.sites.due_trial(harness.now) == OTHER_SITE


def test_a_server_started_after_the_loss_gets_a_trial_at_once() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.now += TRIAL_INTERVAL_US // 4
    lists = {n: {harness.server(n, i): 0 for i in range(4)} for n in range(3)}
    harness.handle(ServersListed(lists))
    assert harness.sites.due_trial(harness.now) == -1
    lists[OTHER_SITE][harness.server(OTHER_SITE, 2)] = harness.now
    harness.handle(ServersListed(lists))
    assert harness.sites.due_trial(harness.now) == OTHER_SITE


def test_a_return_takes_load_in_steps_and_each_step_needs_answers() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.now += 2 * SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)
    harness.sites.set_usual_rates([(OTHER_SITE, 100.0), (OWN_SITE, 200.0)])
    shares = []
    for _ in range(len(RETURN_STEPS)):
        assert harness.state(OTHER_SITE) is State.RETURNING
        shares.append(harness.share(OTHER_SITE))
        taken, step_began = 0, harness.now
        while harness.now < step_began + RETURN_STEP_US:
            harness.now += 1_000
            if not harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=False):
                harness.handle(RequestSent(OTHER_SITE))
                taken += 1
        assert taken == pytest.approx(shares[-1] * 100 * RETURN_STEP_US / SECOND, rel=0.35)
        for _ in range(RETURN_STEP_ANSWERS):
            harness.answer(OTHER_SITE)
    assert shares == list(RETURN_STEPS) and harness.state(OTHER_SITE) is State.WHOLE


def test_requests_that_would_be_refused_need_only_the_first_answer_of_a_return() -> None:
    # The steps of a return are shares of what is sent; where little is sent, they kept a zone empty for 2 s.
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True, otherwise_refused=True)
    harness.now += 2 * SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)
    harness.handle(RequestSent(OTHER_SITE))
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True)
    assert not harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True, otherwise_refused=True)


def test_a_return_takes_no_further_step_without_answers() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.now += 2 * SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)
    for _ in range(10):
        harness.pass_step(OTHER_SITE, answers=0)
    assert harness.share(OTHER_SITE) == RETURN_STEPS[0]


def test_a_site_lost_for_a_short_time_returns_without_steps() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.now += SHORT_OUTAGE_US // 2
    harness.answer(OTHER_SITE)
    assert harness.state(OTHER_SITE) is State.WHOLE


def test_trials_of_a_flapping_site_become_rarer_until_it_has_been_stable() -> None:
    harness, waits = SitesUnderTest(), []
    harness.lose_site(OTHER_SITE)
    for _ in range(6):
        harness.now += 2 * MAX_TRIAL_INTERVAL_US
        harness.answer(OTHER_SITE)
        assert harness.state(OTHER_SITE) is State.RETURNING
        harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES)
        assert harness.state(OTHER_SITE) is State.LOST
        lost = harness.now
        while harness.sites.due_trial(harness.now) != OTHER_SITE:
            harness.now += 10_000
        waits.append((harness.now - lost) // TRIAL_INTERVAL_US)
    assert waits == [2, 4, 8, 8, 8, 8]
    harness.answer(OTHER_SITE)
    for _ in RETURN_STEPS:
        harness.pass_step(OTHER_SITE)
    assert harness.state(OTHER_SITE) is State.WHOLE and harness.sites.sites[OTHER_SITE].relapses == 6
    harness.now += STABLE_US + 1
    harness.handle(Tick())
    assert harness.sites.sites[OTHER_SITE].relapses == 0


@pytest.mark.parametrize("outage_us", [SHORT_OUTAGE_US // 2, 2 * SHORT_OUTAGE_US])
def test_a_loss_soon_after_the_site_was_whole_again_is_a_relapse(outage_us: int) -> None:
    harness, relapses = SitesUnderTest(), []
    for holds_us in (STABLE_US // 2, STABLE_US // 2, STABLE_US + 1):
        harness.lose_site(OTHER_SITE)
        relapses.append(harness.sites.sites[OTHER_SITE].relapses)
        lost = harness.now
        assert harness.sites.due_trial(lost + (TRIAL_INTERVAL_US << relapses[-1]) - 10_000) == -1, (
            "the wait must double with each relapse"
        )
        harness.now = max(lost + outage_us, harness.now)
        harness.answer(OTHER_SITE)
        while harness.state(OTHER_SITE) is State.RETURNING:
            harness.pass_step(OTHER_SITE)
        assert harness.state(OTHER_SITE) is State.WHOLE
        harness.now += holds_us
        harness.handle(Tick())
    harness.lose_site(OTHER_SITE)
    assert relapses == [0, 1, 2] and harness.sites.sites[OTHER_SITE].relapses == 0, (
        "it was stable before this loss"
    )


def test_servers_that_end_one_by_one_during_a_deploy_do_not_lose_their_site() -> None:
    # Each server fails after its process has ended; the next list has it drained or as a new process.  No
    # server of the site answers.
    harness = SitesUnderTest()
    servers_there = {harness.server(OTHER_SITE, i): 0 for i in range(4)}
    sites = {n: {harness.server(n, i): 0 for i in range(4)} for n in (OWN_SITE, THIRD_SITE)}
    for i in range(4):
        harness.fail_attempts(THIRD_SITE, 1)
        harness.answer(OWN_SITE)
        old = harness.server(OTHER_SITE, i)
        harness.handle(AttemptFailed(OTHER_SITE, old))
        if i % 2:
            servers_there[old] = harness.now  # a new process under the same address
        else:
            del servers_there[old]
            servers_there[bytes([OTHER_SITE, 9, i])] = harness.now
        harness.handle(ServersListed({**sites, OTHER_SITE: dict(servers_there)}))
        if not i % 2:
            harness.handle(AttemptFailed(OTHER_SITE, old))  # an attempt that was still in flight there
    assert not [
        action for action in harness.actions if isinstance(action, StateChanged) and action.site == OTHER_SITE
    ]
    harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, 1)))
    harness.handle(AttemptFailed(OTHER_SITE, harness.server(OTHER_SITE, 3)))
    assert harness.state(OTHER_SITE) is State.DOUBTFUL
    harness.handle(
        ServersListed(
            {**sites, OTHER_SITE: {**servers_there, harness.server(OTHER_SITE, 3): harness.now + 1}}
        )
    )
    assert harness.state(OTHER_SITE) is State.WHOLE, "one of the failed servers is a new process now"


def test_two_of_three_sites_are_lost_one_after_the_other() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.fail_attempts(THIRD_SITE, 1)
    harness.answer(OWN_SITE)
    harness.fail_attempts(THIRD_SITE, LOSS_FAILURES)
    assert (
        harness.state(OTHER_SITE) is harness.state(THIRD_SITE) is State.LOST
        and harness.state(OWN_SITE) is State.WHOLE
    )
    harness.now += 2 * SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)  # one may be lost while another returns
    harness.fail_attempts(OWN_SITE, LOSS_FAILURES)
    assert harness.state(OWN_SITE) is State.DOUBTFUL, "no other site has answered since its first failure"
    assert harness.state(OTHER_SITE) is State.RETURNING


def test_an_operator_takes_sites_out_of_service_but_not_the_last_one() -> None:
    harness = SitesUnderTest()
    assert harness.handle(TakeOut(OTHER_SITE)) == [
        StateChanged(OTHER_SITE, State.WHOLE, State.OUT, "an operator's word")
    ]
    for last_resort in (False, True):
        assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True, last_resort=last_resort)
    harness.answer(OTHER_SITE)
    harness.fail_attempts(OTHER_SITE, 4)
    assert harness.state(OTHER_SITE) is State.OUT
    harness.handle(TakeOut(THIRD_SITE))
    assert harness.handle(TakeOut(OWN_SITE)) == [CommandRejected(OWN_SITE, "it is the last one in service")]
    assert isinstance(harness.handle(TakeOut(9))[0], CommandRejected) and isinstance(
        harness.handle(PutIn(9))[0], CommandRejected
    )
    harness.handle(ServersListed({OWN_SITE: {b"a": 0}, THIRD_SITE: {b"b": 0}}))
    harness.handle(ServersListed({OWN_SITE: {b"a": 0}, OTHER_SITE: {b"c": 0}, THIRD_SITE: {b"b": 0}}))
    assert harness.state(OTHER_SITE) is State.OUT, "the command must outlast a list without the site"
    harness.handle(PutIn(OTHER_SITE))
    assert harness.state(OTHER_SITE) is State.RETURNING and harness.share(OTHER_SITE) == RETURN_STEPS[0]


def test_a_whole_site_that_leaves_the_list_is_removed_and_the_table_is_bounded() -> None:
    harness = SitesUnderTest()
    harness.lose_site(OTHER_SITE)
    harness.handle(ServersListed({OWN_SITE: {b"a": 0}}))
    views = [(view.site, view.state) for view in harness.sites.view()]
    assert views == [(OWN_SITE, State.WHOLE), (OTHER_SITE, State.LOST)]
    harness.now += 1
    harness.handle(ServersListed({OWN_SITE: {b"a": 0}, OTHER_SITE: {b"new": harness.now}}))
    assert harness.sites.due_trial(harness.now) == OTHER_SITE, (
        "a loss outlasts the list, and new servers are tried at once"
    )
    harness.answer(OTHER_SITE)
    harness.handle(ServersListed({n: {b"a": 0} for n in range(2 * MAX_SITES)}))
    assert len(harness.sites.view()) == MAX_SITES
    assert not harness.sites.is_closed(harness.now, 2 * MAX_SITES - 1, repeatable=False)


def test_a_return_outlasts_the_list_and_starts_from_the_first_step_again() -> None:
    harness = SitesUnderTest()
    others = {n: {harness.server(n, i): 0 for i in range(4)} for n in (OWN_SITE, THIRD_SITE)}
    harness.lose_site(OTHER_SITE)
    harness.now += 2 * SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)
    harness.pass_step(OTHER_SITE)
    assert harness.share(OTHER_SITE) == RETURN_STEPS[1]
    harness.handle(ServersListed(others))
    assert harness.sites.spare_site(harness.now) == -1, "it has no servers now"
    for _ in range(3):
        harness.pass_step(OTHER_SITE)  # answers to requests that were still in flight
    harness.handle(
        ServersListed({**others, OTHER_SITE: {harness.server(OTHER_SITE, i): harness.now for i in range(4)}})
    )
    assert harness.state(OTHER_SITE) is State.RETURNING and harness.share(OTHER_SITE) == RETURN_STEPS[0]
    harness.handle(RequestSent(OTHER_SITE))
    assert harness.sites.is_closed(harness.now, OTHER_SITE, repeatable=True), (
        "it must take no more than the first step allows"
    )
    for _ in RETURN_STEPS:
        harness.pass_step(OTHER_SITE)
    assert harness.state(OTHER_SITE) is State.WHOLE


def report_silence(harness: SitesUnderTest, site: int = OTHER_SITE, for_us: int = 6 * SECOND) -> None:
    """Delivers a peer report: other balancers get no answer from the site."""
    harness.now += 1_000
    harness.handle(ReportedSilent(site, harness.now - 500, harness.now + for_us))


def is_other_site_closed(harness: SitesUnderTest, repeatable: bool = True) -> bool:
    return harness.sites.is_closed(harness.now, OTHER_SITE, repeatable)


def test_peer_reports_of_a_silent_site_limit_it_to_trials_but_do_not_lose_it() -> None:
    harness = SitesUnderTest()
    harness.answer(OWN_SITE)
    report_silence(harness)
    assert harness.state(OTHER_SITE) is State.DOUBTFUL and harness.sites.limited(OTHER_SITE)
    assert (
        not is_other_site_closed(harness)
        and is_other_site_closed(harness, repeatable=False)
        and harness.sites.due_trial(harness.now) == OTHER_SITE
    )
    harness.handle(RequestSent(OTHER_SITE))
    assert (
        is_other_site_closed(harness)
        and not harness.sites.is_closed(harness.now, OTHER_SITE, True, last_resort=True)
        and harness.sites.due_trial(harness.now) == -1
    )
    for _ in range(20):  # however often peers report it
        harness.now += SECOND // 4
        report_silence(harness)
        harness.handle(Tick())
    assert harness.state(OTHER_SITE) is State.DOUBTFUL
    harness.fail_attempts(OTHER_SITE, 1)
    harness.answer(OWN_SITE)
    assert harness.state(OTHER_SITE) is State.DOUBTFUL, "one failure seen here is too few"
    harness.fail_attempts(OTHER_SITE, 2)
    assert harness.state(OTHER_SITE) is State.LOST, "in doubt for long, and two servers have failed here"


def test_the_first_answer_ends_a_peer_report_and_its_repetition_is_ignored() -> None:
    harness = SitesUnderTest()
    report_silence(harness)
    since = harness.now - 500
    harness.answer(OTHER_SITE)
    assert harness.state(OTHER_SITE) is State.WHOLE and not harness.sites.limited(OTHER_SITE)
    harness.handle(ReportedSilent(OTHER_SITE, since, harness.now + 6 * SECOND))
    assert harness.state(OTHER_SITE) is State.WHOLE
    report_silence(harness)
    harness.now += SHORT_OUTAGE_US
    harness.answer(OTHER_SITE)  # other sites have had its load for long
    assert harness.state(OTHER_SITE) is State.RETURNING


def test_a_peer_report_expires() -> None:
    harness = SitesUnderTest()
    report_silence(harness, for_us=SECOND)
    harness.now += SECOND
    harness.handle(Tick())
    assert harness.state(OTHER_SITE) is State.WHOLE and not is_other_site_closed(harness, repeatable=False)
    harness.fail_attempts(OTHER_SITE, DOUBT_FAILURES)  # ... but not failures seen here
    report_silence(harness, for_us=SECOND)
    harness.now += SECOND
    harness.handle(Tick())
    assert (
        harness.state(OTHER_SITE) is State.DOUBTFUL
        and not is_other_site_closed(harness)
        and is_other_site_closed(harness, repeatable=False)
    )


def test_peer_reports_do_not_affect_the_last_whole_site_a_small_one_or_one_out_of_service() -> None:
    harness = SitesUnderTest(4, 4, LOSS_FAILURES - 1)
    report_silence(harness, THIRD_SITE)
    assert harness.state(THIRD_SITE) is State.WHOLE
    harness.handle(TakeOut(OWN_SITE))
    report_silence(harness, OWN_SITE)
    assert harness.state(OWN_SITE) is State.OUT
    harness.handle(TakeOut(THIRD_SITE))
    report_silence(harness)
    assert harness.state(OTHER_SITE) is State.WHOLE
