"""Planted defects are found by processes, and the sound ones beside them are not.

All defects at several seeds are benchmarks/agreement_directed.py's.
"""

from __future__ import annotations

import pytest
import uvloop

from roadlb.lab.agreement import directed
from roadlb.lab.agreement.directed import ATTEMPTS, Disturbed, Outcome, acknowledged, turned, undisturbed
from roadlb.lab.agreement.ends import DidNotCome
from roadlb.lab.agreement.judge import Sent, Turn

BOUND_S, MARGIN_S, SEAT_S = 4.0, 1.0, 3  # a margin that a busy machine does not use up


def played(name: str, whom: tuple[str, ...], **defects: str) -> Outcome:
    planted = {name.replace("_", "-"): defect for name, defect in defects.items()}
    return uvloop.run(directed.play(name, 1, whom, BOUND_S, MARGIN_S, SEAT_S, planted))


def test_a_lease_by_the_wall_clock_and_a_floor_that_is_none_outlast_the_bound() -> None:
    outcome = played("cut", ("balancer-1", "balancer-2", "balancer-3"), balancer_2="wall", balancer_3="floor")
    assert outcome.of("balancer-1").sound, outcome
    for name in ("balancer-2", "balancer-3"):
        assert outcome.of(name).lasted_us > outcome.of(name).bound_us, outcome


def test_a_grant_before_the_others_end_is_seen() -> None:
    outcome = played("cut", ("balancer-4",), control="early")
    assert outcome.verdicts[0].after_us > 0, outcome


def test_a_leader_that_goes_on_without_the_store_is_seen() -> None:
    outcome = played("split", ("balancer-2",), control="unfenced")
    assert not outcome.sound, outcome


def test_who_acknowledges_before_it_stores_sends_to_a_drained_node_when_it_comes_back() -> None:
    outcome = played("killed", ("balancer-0", "balancer-5"), balancer_5="forgetful")
    assert outcome.of("balancer-0").sound, outcome
    assert outcome.of("balancer-5").after_us > 0, outcome


def test_each_balancer_is_judged_by_itself_from_the_answer_on() -> None:
    turn, sent = Turn(100, 150, "g", "t"), [Sent(200, "x", "t"), Sent(400, "z", "g"), Sent(420, "y", "t")]
    x, y = turned(turn, sent, ("x", "y"), 250)
    assert (x.lasted_us, x.after_us, x.sound) == (50, -200, True)
    assert (y.lasted_us, y.after_us, y.sound) == (270, 20, False)


def test_a_play_whose_moment_did_not_come_is_begun_anew_and_not_without_end() -> None:
    reasons = [Disturbed("2.2 is in force")] * ATTEMPTS

    async def once() -> str:
        if reasons:
            raise reasons.pop()
        return "judged"

    with pytest.raises(DidNotCome, match="2.2 is in force"):
        uvloop.run(undisturbed(once))
    reasons[:] = [Disturbed("2.2 is in force")] * (ATTEMPTS - 1)
    assert uvloop.run(undisturbed(once)) == "judged"


def test_a_drain_in_force_by_the_end_of_leases_is_no_moment_for_the_play() -> None:
    before = ("2.1", "acknowledged by 0 of 0", "0")
    acknowledged("2.2", [before, ("2.2", "acknowledged by 6 of 6", "6")])
    for said in ([], [("2.2", "acknowledged by 4 of 6; its drains do not reach balancer-0", "6")]):
        with pytest.raises(Disturbed):
            acknowledged("2.2", [before, *said])
