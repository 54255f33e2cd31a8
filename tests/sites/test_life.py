"""The table of a site's life, line by line: what makes it doubtful, lost, returning, whole and out."""

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
HERE, THERE, FAR = 0, 1, 2


class World:
    """Three sites with so many servers each, and a clock."""

    def __init__(self, *counts: int) -> None:
        self.sites, self.now = Sites(), SECOND
        self.counts = counts or (4, 4, 4)
        self.said: list[Any] = []
        self.tell(
            ServersListed({n: {self.server(n, i): 0 for i in range(c)} for n, c in enumerate(self.counts)})
        )

    @staticmethod
    def server(site: int, number: int) -> bytes:
        return bytes([site, number])

    def tell(self, event: Any) -> list[Any]:
        said = self.sites.handle(self.now, event)
        self.said += said
        return said

    def fail(self, site: int, count: int, order: bool = False) -> None:
        for i in range(count):
            self.now += 1_000
            self.tell(AttemptFailed(site, self.server(site, i), order))

    def answer(self, site: int, order: bool = False) -> None:
        self.now += 1_000
        self.tell(ServerAnswered(site, self.server(site, 0), order))

    def lose(self, site: int) -> None:
        self.now += MIN_SILENCE_US
        self.fail(site, 1)
        self.answer(HERE if site != HERE else FAR)
        self.fail(site, LOSS_FAILURES)

    def state(self, site: int) -> State:
        return next(view.state for view in self.sites.view() if view.site == site)

    def share(self, site: int) -> float:
        return next(view.share for view in self.sites.view() if view.site == site)

    def step(self, site: int, answers: int = RETURN_STEP_ANSWERS) -> None:
        """A step's time passes, with so many answers."""
        self.now += RETURN_STEP_US
        for _ in range(answers):
            self.answer(site)


def test_each_failure_counts_until_any_answer() -> None:
    world = World()
    world.fail(THERE, DOUBT_FAILURES)
    assert world.state(THERE) is State.DOUBTFUL
    assert world.sites.is_closed(world.now, THERE, repeatable=False)
    assert not world.sites.is_closed(world.now, THERE, repeatable=True)
    world.answer(THERE)
    assert world.state(THERE) is State.WHOLE
    world.fail(THERE, DOUBT_FAILURES - 1)
    assert world.state(THERE) is State.WHOLE, "counted anew"


def test_a_site_is_lost_when_others_answer_and_never_when_nobody_does() -> None:
    world = World()
    for site in (HERE, THERE, FAR):
        world.fail(site, 4)
    assert {world.state(site) for site in (HERE, THERE, FAR)} == {State.DOUBTFUL}, "it may be our own link"
    world.answer(HERE)
    world.fail(THERE, 1)
    assert world.state(THERE) is State.LOST and world.state(FAR) is State.DOUBTFUL
    assert [a for a in world.said if isinstance(a, StateChanged) and a.after is State.LOST] == [
        StateChanged(THERE, State.DOUBTFUL, State.LOST, "3 servers fail, none answers")
    ]


def test_doubt_is_ended_by_a_trial_one_way_or_the_other() -> None:
    # What has failed is avoided one by one: in a hall of four, a third server was never asked, for 45 s.
    for answers, after in ((True, State.WHOLE), (False, State.LOST)):
        world = World()
        world.fail(THERE, DOUBT_FAILURES)
        world.answer(HERE)
        world.now += MAX_DOUBT_US
        assert world.sites.due_trial(world.now) == THERE
        world.tell(RequestSent(THERE))
        assert world.sites.due_trial(world.now) == -1
        world.tell((ServerAnswered if answers else AttemptFailed)(THERE, world.server(THERE, 0)))
        assert world.state(THERE) is after


def test_a_trial_that_its_copy_overtakes_ends_a_long_doubt_and_raises_none() -> None:
    world = World()
    for _ in range(20):
        world.sites.on_hedge_won(world.now, THERE, world.server(THERE, 0))
        world.sites.on_hedge_won(world.now, THERE, world.server(THERE, 1))
    assert world.state(THERE) is State.WHOLE
    world.fail(THERE, DOUBT_FAILURES)
    world.answer(HERE)
    for n in range(4):
        world.sites.on_hedge_won(world.now, THERE, world.server(THERE, n))
    assert world.state(THERE) is State.DOUBTFUL, "two have ended, and those that are left are slow"
    world.now += MAX_DOUBT_US
    world.sites.on_hedge_won(world.now, THERE, world.server(THERE, 0))
    assert world.state(THERE) is State.LOST


def test_of_a_site_that_copies_overtake_an_attempt_in_turn_runs_to_its_end() -> None:
    world = World()
    world.answer(THERE)
    for n in range(LOSS_FAILURES):
        assert not world.sites.keeps_hedged_attempt(world.now, THERE)
        world.now += MIN_SILENCE_US // LOSS_FAILURES + 1
        world.sites.on_hedge_won(world.now, THERE, world.server(THERE, n))
    assert world.state(THERE) is State.WHOLE
    assert world.sites.keeps_hedged_attempt(world.now, THERE) and not world.sites.keeps_hedged_attempt(
        world.now, THERE
    )
    world.now += KEPT_ATTEMPT_INTERVAL_US
    assert world.sites.keeps_hedged_attempt(world.now, THERE)
    world.answer(THERE)
    world.now += 2 * MIN_SILENCE_US
    assert not world.sites.keeps_hedged_attempt(world.now, THERE), "an answer begins the count anew"


def test_slow_by_overload_is_not_lost() -> None:
    world = World(20, 20, 20)
    for i in range(200):
        world.now += 5_000
        world.tell(AttemptFailed(THERE, world.server(THERE, i % 20)))
        if i % 2:
            world.answer(THERE)  # late as it is
        world.answer(HERE)
    assert not any(isinstance(a, StateChanged) and a.after is State.LOST for a in world.said)


def test_one_that_answered_a_moment_ago_is_not_lost_by_failures_that_come_together() -> None:
    world = World()
    world.answer(THERE)
    world.fail(THERE, LOSS_FAILURES)
    world.answer(HERE)
    world.now += MIN_SILENCE_US // 2
    world.fail(THERE, LOSS_FAILURES)
    assert world.state(THERE) is State.DOUBTFUL
    world.now += MIN_SILENCE_US // 2
    world.fail(THERE, 1)
    assert world.state(THERE) is State.LOST


def test_one_whose_answers_took_long_is_lost_by_a_longer_silence_alone() -> None:
    def silence(took_us: int, ago_us: int = 0) -> int:
        """How long it was unheard when it was lost."""
        world = World()
        world.tell(ServerAnswered(THERE, world.server(THERE, 0), took_us=took_us))
        world.now += ago_us
        world.tell(ServerAnswered(THERE, world.server(THERE, 0), took_us=20_000))
        heard = world.now
        while world.state(THERE) is not State.LOST:
            world.now += 50_000
            world.answer(HERE)
            world.fail(THERE, LOSS_FAILURES)
        return world.now - heard

    usual = silence(20_000)
    assert MIN_SILENCE_US <= usual < MIN_SILENCE_US + 200_000
    assert (
        SILENCE_LATENCY_MULTIPLE * 500_000 <= silence(500_000) < SILENCE_LATENCY_MULTIPLE * 500_000 + 200_000
    )
    assert MAX_SILENCE_US <= silence(5 * SECOND) < MAX_SILENCE_US + 200_000, "in the end it is lost"
    assert silence(500_000, SLOWEST_ANSWER_WINDOW_US + 1) == usual, "that was long ago"


@pytest.mark.parametrize("servers", [1, LOSS_FAILURES - 1])
def test_a_site_of_few_servers_is_not_judged_as_one(servers: int) -> None:
    world = World(4, servers, 4)
    for _ in range(50):
        world.answer(HERE)
        world.fail(THERE, servers)
    assert world.state(THERE) is State.WHOLE and not world.sites.is_closed(world.now, THERE, False)


def test_one_server_that_fails_again_and_again_is_not_its_site() -> None:
    world = World()
    for _ in range(100):
        world.answer(HERE)
        world.tell(AttemptFailed(THERE, world.server(THERE, 0)))
    assert world.state(THERE) is State.WHOLE


def test_a_lost_site_is_tried_in_turn_with_what_may_run_twice() -> None:
    world = World()
    world.lose(THERE)
    assert world.sites.due_trial(world.now) == -1 and world.sites.is_closed(world.now, THERE, repeatable=True)
    world.now += TRIAL_INTERVAL_US
    assert world.sites.due_trial(world.now) == THERE
    assert not world.sites.is_closed(world.now, THERE, repeatable=True)
    assert world.sites.is_closed(world.now, THERE, repeatable=False)
    assert not world.sites.is_closed(world.now, THERE, repeatable=True, last_resort=True), (
        "nowhere else to go"
    )
    assert world.sites.is_closed(world.now, THERE, repeatable=False, last_resort=True), (
        "what it would lose stays lost"
    )
    world.tell(RequestSent(THERE))
    assert world.sites.due_trial(world.now) == -1 and world.sites.is_closed(world.now, THERE, repeatable=True)


def test_trials_of_a_balancer_with_little_traffic_are_rarer() -> None:
    world = World()
    world.sites.set_usual_rates([(THERE, 2.0), (HERE, 2.0)])
    world.lose(THERE)
    world.now += TRIAL_INTERVAL_US
    assert world.sites.due_trial(world.now) == -1
    world.now += 4 * TRIAL_INTERVAL_US
    assert world.sites.due_trial(world.now) == THERE


def test_a_server_started_since_the_loss_is_tried_at_once() -> None:
    world = World()
    world.lose(THERE)
    world.now += TRIAL_INTERVAL_US // 4
    lists = {n: {world.server(n, i): 0 for i in range(4)} for n in range(3)}
    world.tell(ServersListed(lists))
    assert world.sites.due_trial(world.now) == -1
    lists[THERE][world.server(THERE, 2)] = world.now
    world.tell(ServersListed(lists))
    assert world.sites.due_trial(world.now) == THERE


def test_the_return_is_paced_by_steps_that_answers_earn() -> None:
    world = World()
    world.lose(THERE)
    world.now += 2 * SHORT_OUTAGE_US
    world.answer(THERE)
    world.sites.set_usual_rates([(THERE, 100.0), (HERE, 200.0)])
    shares = []
    for _ in range(len(RETURN_STEPS)):
        assert world.state(THERE) is State.RETURNING
        shares.append(world.share(THERE))
        took, began = 0, world.now
        while world.now < began + RETURN_STEP_US:
            world.now += 1_000
            if not world.sites.is_closed(world.now, THERE, repeatable=False):
                world.tell(RequestSent(THERE))
                took += 1
        assert took == pytest.approx(shares[-1] * 100 * RETURN_STEP_US / SECOND, rel=0.35)
        for _ in range(RETURN_STEP_ANSWERS):
            world.answer(THERE)
    assert shares == list(RETURN_STEPS) and world.state(THERE) is State.WHOLE


def test_what_would_be_refused_waits_for_no_step_but_for_the_first_answer() -> None:
    # A hall's steps are shares of what is sent, and where little is, they kept it empty for two seconds.
    world = World()
    world.lose(THERE)
    assert world.sites.is_closed(world.now, THERE, repeatable=True, otherwise_refused=True)
    world.now += 2 * SHORT_OUTAGE_US
    world.answer(THERE)
    world.tell(RequestSent(THERE))
    assert world.sites.is_closed(world.now, THERE, repeatable=True)
    assert not world.sites.is_closed(world.now, THERE, repeatable=True, otherwise_refused=True)


def test_no_answers_no_step() -> None:
    world = World()
    world.lose(THERE)
    world.now += 2 * SHORT_OUTAGE_US
    world.answer(THERE)
    for _ in range(10):
        world.step(THERE, answers=0)
    assert world.share(THERE) == RETURN_STEPS[0]


def test_a_loss_of_a_moment_needs_no_steps() -> None:
    world = World()
    world.lose(THERE)
    world.now += SHORT_OUTAGE_US // 2
    world.answer(THERE)
    assert world.state(THERE) is State.WHOLE


def test_a_site_that_flaps_is_tried_ever_less_and_forgiven_when_it_holds() -> None:
    world, waits = World(), []
    world.lose(THERE)
    for _ in range(6):
        world.now += 2 * MAX_TRIAL_INTERVAL_US
        world.answer(THERE)
        assert world.state(THERE) is State.RETURNING
        world.fail(THERE, DOUBT_FAILURES)
        assert world.state(THERE) is State.LOST
        lost = world.now
        while world.sites.due_trial(world.now) != THERE:
            world.now += 10_000
        waits.append((world.now - lost) // TRIAL_INTERVAL_US)
    assert waits == [2, 4, 8, 8, 8, 8]
    world.answer(THERE)
    for _ in RETURN_STEPS:
        world.step(THERE)
    assert world.state(THERE) is State.WHOLE and world.sites.sites[THERE].relapses == 6
    world.now += STABLE_US + 1
    world.tell(Tick())
    assert world.sites.sites[THERE].relapses == 0


@pytest.mark.parametrize("gone_us", [SHORT_OUTAGE_US // 2, 2 * SHORT_OUTAGE_US])
def test_one_that_is_lost_again_soon_after_it_was_whole_has_relapsed(gone_us: int) -> None:
    world, relapses = World(), []
    for holds_us in (STABLE_US // 2, STABLE_US // 2, STABLE_US + 1):
        world.lose(THERE)
        relapses.append(world.sites.sites[THERE].relapses)
        lost = world.now
        assert world.sites.due_trial(lost + (TRIAL_INTERVAL_US << relapses[-1]) - 10_000) == -1, (
            "it waits twice as long"
        )
        world.now = max(lost + gone_us, world.now)
        world.answer(THERE)
        while world.state(THERE) is State.RETURNING:
            world.step(THERE)
        assert world.state(THERE) is State.WHOLE
        world.now += holds_us
        world.tell(Tick())
    world.lose(THERE)
    assert relapses == [0, 1, 2] and world.sites.sites[THERE].relapses == 0, "it held"


def test_servers_that_end_in_turn_during_a_deploy_are_no_sign_of_a_loss() -> None:
    # Each fails once its process has ended, is drained or another one in the next list; nobody answers.
    world = World()
    there = {world.server(THERE, i): 0 for i in range(4)}
    sites = {n: {world.server(n, i): 0 for i in range(4)} for n in (HERE, FAR)}
    for i in range(4):
        world.fail(FAR, 1)
        world.answer(HERE)
        old = world.server(THERE, i)
        world.tell(AttemptFailed(THERE, old))
        if i % 2:
            there[old] = world.now  # starts anew, under its name
        else:
            del there[old]
            there[bytes([THERE, 9, i])] = world.now
        world.tell(ServersListed({**sites, THERE: dict(there)}))
        if not i % 2:
            world.tell(AttemptFailed(THERE, old))  # what was still under way there
    assert not [said for said in world.said if isinstance(said, StateChanged) and said.site == THERE]
    world.tell(AttemptFailed(THERE, world.server(THERE, 1)))
    world.tell(AttemptFailed(THERE, world.server(THERE, 3)))
    assert world.state(THERE) is State.DOUBTFUL
    world.tell(ServersListed({**sites, THERE: {**there, world.server(THERE, 3): world.now + 1}}))
    assert world.state(THERE) is State.WHOLE, "what it was doubted for is another process now"


def test_two_sites_of_three_one_after_the_other() -> None:
    world = World()
    world.lose(THERE)
    world.fail(FAR, 1)
    world.answer(HERE)
    world.fail(FAR, LOSS_FAILURES)
    assert world.state(THERE) is world.state(FAR) is State.LOST and world.state(HERE) is State.WHOLE
    world.now += 2 * SHORT_OUTAGE_US
    world.answer(THERE)  # one is lost while another returns
    world.fail(HERE, LOSS_FAILURES)
    assert world.state(HERE) is State.DOUBTFUL, "nobody else has answered since"
    assert world.state(THERE) is State.RETURNING


def test_an_operator_takes_a_site_out_and_puts_it_in_and_the_last_one_stays() -> None:
    world = World()
    assert world.tell(TakeOut(THERE)) == [StateChanged(THERE, State.WHOLE, State.OUT, "an operator's word")]
    for last_resort in (False, True):
        assert world.sites.is_closed(world.now, THERE, repeatable=True, last_resort=last_resort)
    world.answer(THERE)
    world.fail(THERE, 4)
    assert world.state(THERE) is State.OUT
    world.tell(TakeOut(FAR))
    assert world.tell(TakeOut(HERE)) == [CommandRejected(HERE, "it is the last one in service")]
    assert isinstance(world.tell(TakeOut(9))[0], CommandRejected) and isinstance(
        world.tell(PutIn(9))[0], CommandRejected
    )
    world.tell(ServersListed({HERE: {b"a": 0}, FAR: {b"b": 0}}))
    world.tell(ServersListed({HERE: {b"a": 0}, THERE: {b"c": 0}, FAR: {b"b": 0}}))
    assert world.state(THERE) is State.OUT, "the word outlives a list"
    world.tell(PutIn(THERE))
    assert world.state(THERE) is State.RETURNING and world.share(THERE) == RETURN_STEPS[0]


def test_a_site_that_the_list_drops_is_forgotten_and_the_table_is_bounded() -> None:
    world = World()
    world.lose(THERE)
    world.tell(ServersListed({HERE: {b"a": 0}}))
    views = [(view.site, view.state) for view in world.sites.view()]
    assert views == [(HERE, State.WHOLE), (THERE, State.LOST)]
    world.now += 1
    world.tell(ServersListed({HERE: {b"a": 0}, THERE: {b"new": world.now}}))
    assert world.sites.due_trial(world.now) == THERE, (
        "a loss outlives the list, and new servers are tried at once"
    )
    world.answer(THERE)
    world.tell(ServersListed({n: {b"a": 0} for n in range(2 * MAX_SITES)}))
    assert len(world.sites.view()) == MAX_SITES
    assert not world.sites.is_closed(world.now, 2 * MAX_SITES - 1, repeatable=False)


def test_a_return_outlives_the_list_and_begins_anew() -> None:
    world = World()
    others = {n: {world.server(n, i): 0 for i in range(4)} for n in (HERE, FAR)}
    world.lose(THERE)
    world.now += 2 * SHORT_OUTAGE_US
    world.answer(THERE)
    world.step(THERE)
    assert world.share(THERE) == RETURN_STEPS[1]
    world.tell(ServersListed(others))
    assert world.sites.spare_site(world.now) == -1, "nobody is there"
    for _ in range(3):
        world.step(THERE)  # what was still under way
    world.tell(ServersListed({**others, THERE: {world.server(THERE, i): world.now for i in range(4)}}))
    assert world.state(THERE) is State.RETURNING and world.share(THERE) == RETURN_STEPS[0]
    world.tell(RequestSent(THERE))
    assert world.sites.is_closed(world.now, THERE, repeatable=True), "its room is that of the first step"
    for _ in RETURN_STEPS:
        world.step(THERE)
    assert world.state(THERE) is State.WHOLE


def doubted(w: World, site: int = THERE, for_us: int = 6 * SECOND) -> None:
    """Others have had no answer of it for a while."""
    w.now += 1_000
    w.tell(ReportedSilent(site, w.now - 500, w.now + for_us))


def is_closed(w: World, repeatable: bool = True) -> bool:
    return w.sites.is_closed(w.now, THERE, repeatable)


def test_a_site_that_does_not_answer_others_gets_trials_only_and_is_not_lost_for_that() -> None:
    w = World()
    w.answer(HERE)
    doubted(w)
    assert w.state(THERE) is State.DOUBTFUL and w.sites.limited(THERE)
    assert not is_closed(w) and is_closed(w, repeatable=False) and w.sites.due_trial(w.now) == THERE
    w.tell(RequestSent(THERE))
    assert (
        is_closed(w)
        and not w.sites.is_closed(w.now, THERE, True, last_resort=True)
        and w.sites.due_trial(w.now) == -1
    )
    for _ in range(20):  # however often they say it
        w.now += SECOND // 4
        doubted(w)
        w.tell(Tick())
    assert w.state(THERE) is State.DOUBTFUL
    w.fail(THERE, 1)
    w.answer(HERE)
    assert w.state(THERE) is State.DOUBTFUL, "one own failure is too little"
    w.fail(THERE, 2)
    assert w.state(THERE) is State.LOST, "it has been in doubt for long, and two have failed here"


def test_the_first_answer_ends_what_others_say_and_they_are_not_heeded_again_for_the_same() -> None:
    w = World()
    doubted(w)
    since = w.now - 500
    w.answer(THERE)
    assert w.state(THERE) is State.WHOLE and not w.sites.limited(THERE)
    w.tell(ReportedSilent(THERE, since, w.now + 6 * SECOND))
    assert w.state(THERE) is State.WHOLE
    doubted(w)
    w.now += SHORT_OUTAGE_US
    w.answer(THERE)  # others have had its load for long
    assert w.state(THERE) is State.RETURNING


def test_what_others_say_of_a_site_ends_with_its_age() -> None:
    w = World()
    doubted(w, for_us=SECOND)
    w.now += SECOND
    w.tell(Tick())
    assert w.state(THERE) is State.WHOLE and not is_closed(w, repeatable=False)
    w.fail(THERE, DOUBT_FAILURES)  # ... but not what was met here
    doubted(w, for_us=SECOND)
    w.now += SECOND
    w.tell(Tick())
    assert w.state(THERE) is State.DOUBTFUL and not is_closed(w) and is_closed(w, repeatable=False)


def test_no_word_takes_the_last_whole_site_nor_a_small_one_nor_moves_one_that_is_lost_or_out() -> None:
    w = World(4, 4, LOSS_FAILURES - 1)
    doubted(w, FAR)
    assert w.state(FAR) is State.WHOLE
    w.tell(TakeOut(HERE))
    doubted(w, HERE)
    assert w.state(HERE) is State.OUT
    w.tell(TakeOut(FAR))
    doubted(w)
    assert w.state(THERE) is State.WHOLE
