"""No node reads a repeat once a class that runs at most once is in force, whoever is stopped or cut off."""

from __future__ import annotations

import uvloop

from roadlb.lab.agreement.narrowing import Outcome, Turned, play


def test_a_class_narrowed_while_its_requests_fail_is_repeated_by_nobody_and_by_all_once_widened() -> None:
    outcome = uvloop.run(play(1, turns=1, contradiction_s=4.0, margin_s=1.0))
    assert outcome.sound and outcome.repeats > 0, outcome


def test_a_balancer_that_acknowledges_and_goes_on_repeating_is_found() -> None:
    outcome = uvloop.run(
        play(2, turns=1, contradiction_s=4.0, margin_s=1.0, faulty=False, defects={"balancer-3": "deaf"})
    )
    [turn] = outcome.turns
    assert not outcome.sound, outcome
    assert {name for name, last in turn.last_us.items() if last > turn.force_us + turn.late_us} == {
        "balancer-3"
    }


def test_a_repeat_in_force_or_beyond_the_bound_is_not_sound_but_for_the_judges_own_lateness() -> None:
    def sound(after: tuple[int, ...], last: int, late: int = 5) -> bool:
        turn = Turned(70, 10, {"x": last, "y": 0}, after, 50, {}, late, ())
        return Outcome(1, (turn,), 0, 0, {}, 100, ()).sound

    assert sound((), 115) and sound((5,), 0)
    assert not sound((6,), 0) and not sound((), 116)
