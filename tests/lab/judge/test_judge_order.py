"""The order of refusals, counted on the wire."""

from __future__ import annotations

from wire_story import Story, us

from roadlb.lab.judge.order import Kept, order_of_refusals, ranks_by
from roadlb.sites.refusal import PlanLine

WORTHS = {"grid-read": 2.0, "order": 10.0}
READS_FIRST = [PlanLine(class_index=0)]


def counted(
    story: Story,
    plan: list[PlanLine] = READS_FIRST,
    over: bool | None = None,
    window: float = 500,
    since: float = 0,
) -> Kept:
    ranks = ranks_by(plan, WORTHS, ["acme", "bolt"], 0.2, over=over)
    events = sorted(story.events, key=lambda event: event.at)
    return order_of_refusals(events, ranks, us(window), us(since))


def order_refused_beside_a_read(gap: float = 100, read: str = "grid-read", balancer: str = "b1") -> Story:
    story = Story().sent(1000, "o").got(1001, "o", 503)
    story.sent(1000 + gap, "r", read, balancer=balancer)
    return story.came(1001 + gap, "r", balancer=balancer)


def test_an_order_refused_while_a_read_was_sent_on_broke_the_order() -> None:
    assert counted(order_refused_beside_a_read()) == Kept(1, 0, {("order", "grid-read"): 1})


def test_another_order_another_balancer_and_another_time_break_nothing() -> None:
    assert counted(order_refused_beside_a_read(read="order")).share == 1.0
    assert counted(order_refused_beside_a_read(balancer="b2")).share == 1.0
    assert counted(order_refused_beside_a_read(gap=501)).share == 1.0
    assert counted(order_refused_beside_a_read(gap=-400)).share == 0.0
    assert counted(order_refused_beside_a_read(), window=50).share == 1.0
    assert counted(order_refused_beside_a_read(), since=1002).refusals == 0


def test_what_came_to_a_node_was_not_refused_at_the_door() -> None:
    story = order_refused_beside_a_read().sent(900, "late").came(901, "late").got(1100, "late", 503)
    assert counted(story).refusals == 1


def test_a_word_that_the_wire_does_not_tell_is_held_against_nobody() -> None:
    over_first = [PlanLine(over_share=True), PlanLine(class_index=0)]
    assert counted(order_refused_beside_a_read(), over_first).share == 1.0
    assert counted(order_refused_beside_a_read(), over_first, over=False).share == 0.0


def test_without_a_plan_what_is_worth_less_goes_first_and_repeats_are_told() -> None:
    assert counted(order_refused_beside_a_read(), [], over=False).share == 0.0
    repeats_first = [PlanLine(repeat=True)]
    story = Story().sent(0, "a").got(1, "a", 429).sent(5, "b", attempt=1).came(6, "b")
    assert counted(story, repeats_first).pairs == {("order", "order"): 1}
    assert (
        counted(
            Story().sent(0, "a", attempt=1).got(1, "a", 429).sent(5, "b").came(6, "b"), repeats_first
        ).share
        == 1.0
    )
