"""Each way to break a rule, and beside it the innocent twin that differs in one thing only."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from wire_story import Story, us

from roadlb.lab.judge import Rule, Violation
from roadlb.lab.wire import Lagged

Tell = Callable[[Story, bool], object]
CASES: list[tuple[Rule, Tell]] = []


def breaks(rule: Rule) -> Callable[[Tell], Tell]:
    """The story breaks this rule if it is told with True, and none if it is told with False."""

    def keep(tell: Tell) -> Tell:
        CASES.append((rule, tell))
        return tell

    return keep


@breaks(Rule.LOST)
def an_answer_never_comes(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1)
    if not bad:
        s.got(60)


@breaks(Rule.LOST)
def the_balancer_closes_without_an_answer(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).lost(60, "closed")
    if not bad:
        s.does(59, "killed")


@breaks(Rule.LOST)
def a_client_waits_in_vain_for_its_time_and_the_slack(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).lost(1058 if bad else 900, "timed_out")


@breaks(Rule.LOST)
def an_answer_comes_after_the_slack(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).got(1059 if bad else 1058)


@breaks(Rule.LOST)
def a_balancer_dies_and_what_came_before_had_run_out(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).does(1059 if bad else 1058, "killed")


@breaks(Rule.LOST)
def a_close_that_crosses_a_request_which_is_then_sent_once_more(s: Story, bad: bool) -> None:
    s.sent(0).lost(2, "reset")
    if not bad:
        s.whole(5)


@breaks(Rule.LOST)
def the_same_sent_once_more_under_a_new_id(s: Story, bad: bool) -> None:
    s.sent(0, wish=7).lost(2, "closed")
    s.sent(3, "r2", wish=7, attempt=1 if bad else 0).attempt(4, "r2").got(60, "r2")


@breaks(Rule.LOST)
def half_an_answer_of_a_sound_node(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1, kind="ok" if bad else "length short").lost(60, "cut")


@breaks(Rule.LOST)
def what_came_long_after_sigterm_is_killed(s: Story, bad: bool) -> None:
    s.does(0, "terminated").sent(701 if bad else 700).attempt(702).does(1600, "killed").lost(1601, "reset")


@breaks(Rule.LOST)
def a_balancer_ends_after_sigterm_and_leaves_a_request(s: Story, bad: bool) -> None:
    s.does(0, "terminated").sent(500).attempt(501).lost(601, "closed").does(600, "ended")
    if not bad:
        s.got(599)


@breaks(Rule.DOUBLED)
def two_answers(s: Story, bad: bool) -> None:
    s.whole(0)
    if bad:
        s.got(70)


@breaks(Rule.DOUBLED)
def bytes_behind_an_answer(s: Story, bad: bool) -> None:
    s.whole(0).lost(61, "extra" if bad else "closed")


@breaks(Rule.MISDELIVERED)
def an_answer_goes_to_another_client(s: Story, bad: bool) -> None:
    s.sent(0).sent(1, "r2").attempt(3).attempt(2, "r2").got(60)
    s.got(61, "r2", body="body of r1" if bad else None)


@breaks(Rule.ALTERED)
def an_answer_is_altered(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).got(60, body="half a body" if bad else None)


@breaks(Rule.ALTERED)
def an_answer_is_made_up(s: Story, bad: bool) -> None:
    s.sent(0).got(60, status=200 if bad else 502)


@breaks(Rule.ALTERED)
def a_spoilt_answer_is_served(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1, kind="noise" if bad else "noise behind").got(60)


@breaks(Rule.ALTERED)
def a_request_is_changed_on_its_way(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1, method="GET" if bad else "POST").got(60)


@breaks(Rule.SENT_AFTER_END)
def a_read_is_sent_after_its_answer(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.whole(0).attempt(361 if bad else 360, node="n2")


@breaks(Rule.SENT_AFTER_END)
def a_read_is_sent_after_its_client_left(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.sent(0).lost(500, "timed_out").attempt(801, node="n2")
    if not bad:
        s.state(400, "paused", "n2").state(800, "resumed", "n2")


@breaks(Rule.REPEATED)
def an_order_is_sent_twice(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1, kind="error" if bad else "unprocessed", took=9).attempt(20, node="n2").got(80)


@breaks(Rule.REPEATED)
def an_order_is_sent_again_before_the_proof_that_it_never_ran(s: Story, bad: bool) -> None:
    s.sent(0).came(1).gave(21 if bad else 19, kind="unprocessed").attempt(20, node="n2").got(80)


@breaks(Rule.REPEATED)
def an_order_is_sent_again_though_it_waited_at_a_node_that_broke_off(s: Story, bad: bool) -> None:
    s.sent(0)
    if bad:
        s.came(1)
    s.attempt(20, node="n2").got(80)


@breaks(Rule.REFUSED_AFTER_RUN)
def a_refusal_after_an_order_ran(s: Story, bad: bool) -> None:
    s.sent(0).attempt(1).got(60, status=503 if bad else 502)


@breaks(Rule.REFUSED_AFTER_RUN)
def a_refusal_while_an_order_is_out(s: Story, bad: bool) -> None:
    s.sent(0).came(1).gave(70 if bad else 59, kind="unprocessed").got(60, status=429)


@breaks(Rule.REFUSED_AFTER_RUN)
def an_order_comes_to_a_node_after_its_refusal(s: Story, bad: bool) -> None:
    s.sent(0).got(60, status=503)
    if bad:
        s.attempt(61)


@breaks(Rule.SECOND_COPY)
def two_copies_at_once_where_they_are_not_allowed(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.rules = Story(second_copies=False).rules
    s.sent(0).came(1).came(100, node="n2").ran(101, node="n2").gave(150, node="n2").got(160)
    if bad:
        s.ran(2).gave(151)


@breaks(Rule.ATTEMPTS)
def a_sixth_attempt(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.sent(0)
    for i in range(6 if bad else 5):
        s.attempt(1 + 10 * i, kind="unprocessed", took=5)
    s.got(100, status=503)


@breaks(Rule.SMUGGLED)
def a_request_that_no_client_sent(s: Story, bad: bool) -> None:
    s.whole(0).came(10, "r9")
    if bad:
        s.ran(11, "r9")


@breaks(Rule.DRAIN)
def a_send_1200_ms_after_a_drain(s: Story, bad: bool) -> None:
    s.told(0, "up").told(1000, "draining", 2).whole(2199 if bad else 2040)


@breaks(Rule.DRAIN)
def a_send_to_a_node_that_is_gone_and_has_not_come_back(s: Story, bad: bool) -> None:
    s.told(1000, "removed", 2)
    if not bad:
        s.told(3000, "up", 3, started=2)
    s.whole(4000, started=2)


@breaks(Rule.DRAIN)
def a_stale_list_reopens_a_node(s: Story, bad: bool) -> None:
    s.told(0, "up", 5).told(1000, "draining", 7).told(1500, "up", 6 if bad else 8).whole(2500)


@breaks(Rule.DRAIN)
def a_drain_that_counts_as_told_though_it_never_arrived(s: Story, bad: bool) -> None:
    s.told(0, "up", 5).told(1000, "draining", 7, balancer="").whole(8200 if bad else 8000)


@breaks(Rule.DRAIN)
def a_restarted_balancer_has_its_time_again(s: Story, bad: bool) -> None:
    s.told(0, "draining", 7, balancer="").told(10, "draining", 7).does(2000, "killed").does(3000, "started")
    s.whole(10_100 if bad else 9_900)


@breaks(Rule.DRAIN)
def a_drain_counts_as_told_four_seconds_after_a_new_configuration(s: Story, bad: bool) -> None:
    s.told(0, "up", 5).told(1000, "draining", 7, balancer="").does(1500, "reloaded")
    s.whole(6_600 if bad else 6_500)


@breaks(Rule.DRAIN)
def what_a_node_finds_after_a_pause_may_be_old(s: Story, bad: bool) -> None:
    s.told(1000, "draining").whole(3000)
    if not bad:
        s.state(900, "paused").state(2990, "resumed")


@breaks(Rule.DRAIN)
def what_was_sent_into_a_cut_comes_as_long_after_its_end_as_it_lasted(s: Story, bad: bool) -> None:
    """TCP tries again after twice as long each time."""
    s.told(1000, "draining").state(1500, "cut").state(2500 if bad else 5000, "healed").whole(8000)


@breaks(Rule.DRAIN)
def a_node_stands_still_until_the_last_reason_for_it_has_ended(s: Story, bad: bool) -> None:
    s.told(1000, "draining").state(1500, "paused").state(1600, "cut").state(1700, "healed")
    if bad:
        s.state(1800, "resumed")
    s.whole(4000)


@breaks(Rule.SENT_AFTER_END)
def a_balancer_that_wakes_up_reads_a_request_before_its_end(s: Story, bad: bool) -> None:
    s.sent(0, left=400).lost(450, "timed_out").attempt(1000)
    if not bad:
        s.does(300, "paused").does(900, "resumed")


@breaks(Rule.UNPAID)
def a_rude_client_is_left_waiting(s: Story, bad: bool) -> None:
    s.rude(5000, since=2000)
    if not bad:
        s.does(3000, "killed").does(3500, "started")


@breaks(Rule.UNPAID)
def a_rude_client_is_served(s: Story, bad: bool) -> None:
    s.rude(2100, since=2000, how="served", owed=bad)


@breaks(Rule.PUSHED_OVER)
def a_cold_node_is_flooded_by_balancers_that_knew(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.started(0).told(500, "up", balancer="b1").told(500 if bad else 5000, "up", balancer="b2")
    for i, balancer in enumerate(["b1", "b2"] * 10):
        s.whole(1000 + 40 * i, f"r{i}", work=45, balancer=balancer)
    s.fell(1900)


@breaks(Rule.PUSHED_OVER)
def a_node_falls_in_the_time_in_which_it_is_cold(s: Story, bad: bool) -> None:
    s.class_name = "grid-read"
    s.started(0).told(500, "up").whole(22_000).whole(22_500, "r2")
    s.fell(22_900 if bad else 23_000)


@breaks(Rule.LOST)
def a_process_that_is_stopped_cannot_heed_a_sigterm(s: Story, bad: bool) -> None:
    s.does(100, "terminated")
    if not bad:
        s.does(50, "paused")
    s.sent(1000).lost(3700, "reset").does(3690, "killed").does(4000, "started")


@breaks(Rule.HELD)
def a_drained_balancer_still_takes_requests_on_connections_it_kept(s: Story, bad: bool) -> None:
    s.does(100, "out of service").whole(4200 if bad else 4100)


@breaks(Rule.HELD)
def a_balancer_is_used_again_before_it_is_in_service(s: Story, bad: bool) -> None:
    s.does(100, "out of service")
    if not bad:
        s.does(6000, "in service")
    s.whole(6500)


@breaks(Rule.CRASH)
def a_balancer_ends_by_itself(s: Story, bad: bool) -> None:
    s.whole(0).does(500, "ended")
    if not bad:
        s.does(400, "terminated")


@pytest.mark.parametrize(("rule", "tell"), CASES, ids=lambda value: getattr(value, "__name__", ""))
def test_the_defect_is_found_and_its_innocent_twin_is_not(rule: Rule, tell: Tell) -> None:
    guilty, innocent = Story(), Story()
    tell(guilty, True)
    tell(innocent, False)
    assert guilty.verdict().counts == {rule: 1}
    assert innocent.verdict().counts == {}


def only(story: Story) -> Violation:
    (violation,) = story.verdict().violations
    return violation


def test_every_rule_has_a_defect() -> None:
    assert {rule for rule, _ in CASES} == set(Rule)


def test_a_violation_tells_a_person_what_happened_and_shows_the_events() -> None:
    story = Story()
    an_order_is_sent_twice(story, True)
    violation = only(story)
    assert violation.subject == "r1" and violation.at == 20_000
    assert violation.text == (
        "order r1 of c1, taken by b1, was sent to n2 although it had begun "
        "at n1, where it had come 0.019 s before"
    )
    assert [type(event).__name__ for event in violation.events] == [
        "ClientSent",
        "NodeGot",
        "NodeRan",
        "NodeGave",
        "NodeGot",
    ]
    story = Story()
    a_stale_list_reopens_a_node(story, True)
    assert "1.501 s after it was told" in only(story).text and "generation 6" in only(story).text
    story = Story()
    a_cold_node_is_flooded_by_balancers_that_knew(story, True)
    assert "b1 450 ms, b2 450 ms" in only(story).text and "100% came from balancers" in only(story).text


def test_silence_is_a_failure_and_no_loss_where_the_rules_say_so() -> None:
    for tell in (
        an_answer_never_comes,
        a_client_waits_in_vain_for_its_time_and_the_slack,
        a_close_that_crosses_a_request_which_is_then_sent_once_more,
    ):
        story = Story(silence_is_loss=False)
        tell(story, True)
        assert story.verdict().kept


def test_what_a_busy_machine_saw_late_is_held_against_nobody() -> None:
    late = Story().sent(0).attempt(1).lost(1100, "timed_out")
    drained = Story().told(0, "draining").whole(1100)
    for story in (late, drained):
        assert not story.verdict().kept
        story.events.append(Lagged(us(1101), us(900)))
        assert story.verdict().kept


def test_a_request_that_is_still_open_at_the_end_is_no_loss() -> None:
    verdict = Story().sent(0).verdict(until=1100)
    assert verdict.kept and verdict.figures.open_at_end == 1


def test_violations_beyond_many_are_counted_only() -> None:
    story = Story()
    for i in range(300):
        story.sent(i, f"r{i}")
    verdict = story.verdict()
    assert verdict.counts == {Rule.LOST: 300} and len(verdict.violations) == 200
