"""The judge of pressed balancers: what counts in a window, and what chance gives alone."""

from __future__ import annotations

import pytest

from roadlb.lab.agreement.judge import Turn
from roadlb.lab.agreement.parties import REFUSED, SERVED, Asked
from roadlb.lab.agreement.pressed import BY_CHANCE, Outcome, Window, chance, judge

TURNS = [Turn(1_000, 1_100, "a", "b"), Turn(9_000, 9_100, "b", "a")]
BOUND, END = 3_000, 9_000


def window(asked: list[Asked], notes: list[tuple[int, str]] | None = None) -> Window:
    [found] = judge(TURNS, asked, notes or [], ["x"], BOUND)
    return found


def outcome(*windows: tuple[str, int, int]) -> Outcome:
    return Outcome(1, 2, windows, 0.6, 0, 1_000, None, ())


def test_only_what_was_sent_and_answered_between_the_bound_and_the_next_turn_counts() -> None:
    asked = [
        Asked(4_100, 4_200, "x", "a", SERVED),
        Asked(4_099, 4_200, "x", "b", SERVED),
        Asked(8_900, END, "x", "b", SERVED),
        Asked(8_900, 8_999, "x", "b", SERVED),
        Asked(5_000, 5_100, "x", "b", REFUSED),
        Asked(5_000, 5_100, "x", "a", REFUSED),
        Asked(5_000, 5_100, "y", "b", SERVED),
    ]
    found = window(asked)
    assert (found.given, found.taken, found.refused, found.judged) == (1, 1, 2, True)
    assert not window(asked, [(2_000, "x to control-0: dropped, both")]).judged
    assert all(one.judged for one in judge(TURNS, asked, [], ["x"], BOUND, [(4_000, 4_050)]))
    assert not any(one.judged for one in judge(TURNS, asked, [], ["x"], BOUND, [(4_000, 4_150)]))
    assert not window(asked[:4]).judged  # it refused too little to say anything


def test_no_window_follows_a_turn_that_was_lost_or_was_shorter_than_the_bound() -> None:
    [lost, later] = TURNS[0], TURNS[1]
    assert judge([Turn(1_000, 1_100, "a", "b", lost=True), later], [], [], ["x"], BOUND) == []
    assert judge([lost, Turn(4_000, 4_100, "b", "a")], [], [], ["x"], BOUND) == []


@pytest.mark.parametrize(
    ("served", "taken", "broken"),
    [
        (40, 8, False),
        (40, 13, False),
        (40, 20, True),
        (8, 5, False),
        (8, 8, True),
        (0, 0, False),
        (5_000, 1_000, False),
        (5_000, 1_200, True),
    ],
)
def test_a_window_is_broken_where_chance_gives_as_many_too_seldom(
    served: int, taken: int, broken: bool
) -> None:
    assert outcome(("x", served, taken)).sound is not broken
    assert (chance(served, taken) < BY_CHANCE) is broken


def test_what_no_window_shows_by_itself_is_seen_in_all_of_a_balancer_and_in_all_of_a_play() -> None:
    few = ("x", 20, 9)
    assert outcome(few).sound
    assert not outcome(*[few] * 4).sound
    assert not outcome(*((name, 20, 9) for name in "uvwxyz")).sound
    assert outcome(*((name, 20, 4) for name in "uvwxyz" * 4)).sound  # the claim's own edge
