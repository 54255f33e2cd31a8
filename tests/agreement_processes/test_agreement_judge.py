"""The judge of the agreement: what it must see in what was sent, and what it must not hold against anyone."""

from __future__ import annotations

from roadlb.lab.agreement.judge import Sent, Turn, judge

A, B = "customer-0", "customer-1"


def sent(*told: tuple[int, str, str]) -> list[Sent]:
    return [Sent(*one) for one in told]


def test_the_last_request_of_what_was_taken_away_is_what_counts() -> None:
    turns = [Turn(100, 110, gives=B, takes=A), Turn(500, 510, gives=A, takes=B)]
    found = judge(
        turns, sent((90, "x", A), (105, "x", A), (190, "y", A), (300, "x", B), (505, "x", B), (700, "y", A))
    )
    assert [(one.lasted_us, one.by, one.after_us) for one in found] == [(90, "y", -110), (5, "x", -195)]
    assert all(one.granted for one in found)


def test_a_request_of_what_was_taken_after_one_of_what_was_given_breaks_the_instant() -> None:
    (found,) = judge([Turn(100, 110, B, A)], sent((120, "x", B), (121, "y", A)))
    assert found.after_us == 1 and found.by == "y"


def test_a_turn_that_never_came_into_force_is_not_held_against_anybody() -> None:
    turns = [Turn(100, 110, B, A, lost=True), Turn(500, 510, B, A)]
    found = judge(turns, sent((120, "x", A), (400, "y", A), (501, "y", A), (600, "x", B)))
    assert [(one.lasted_us, one.after_us) for one in found] == [(1, -99)]


def test_one_that_nobody_was_granted_counts_for_the_bound_alone() -> None:
    (found,) = judge([Turn(100, 110, B, A)], sent((400, "x", A)))
    assert (found.lasted_us, found.after_us, found.granted) == (300, -1, False)


def test_the_one_in_hand_when_a_balancer_was_stopped_is_not_held_against_it_and_the_next_is() -> None:
    turn, told = Turn(100, 110, B, A), sent((120, "x", B), (900, "y", A), (900, "x", B), (905, "y", A))
    assert judge([turn], told)[0].after_us == 785
    assert judge([turn], told[:3], went_on=[(890, "y")])[0].after_us == -1
    assert judge([turn], told, went_on=[(890, "y"), (880, "y")])[0].after_us == 785
    assert judge([turn], told, went_on=[(901, "y")])[0].after_us == 780
