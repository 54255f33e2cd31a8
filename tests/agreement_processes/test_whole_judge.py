"""The judge of whole balancers: what it must see of drains, and what it must not hold against anyone."""

from __future__ import annotations

from roadlb.lab.agreement.judge import Sent
from roadlb.lab.agreement.whole import RETURN_US, Drain, hurts, judge

DRAIN = Drain("n", 1_000, told=100, until=10_000)
SENT = [
    Sent(*one) for one in ((50, "x", "n"), (120, "x", "n"), (300, "y", "n"), (400, "y", "m"), (900, "y", "n"))
]


def found(notes: list[tuple[int, str]], named: set[str]) -> dict[str, tuple[int, int, bool]]:
    told = judge([DRAIN], SENT, notes, ["x", "y"], 500, {("n", 1_000): (200, named)})
    return {one.balancer: (one.lasted_us, one.after_us, one.kept_from) for one in told}


def test_the_last_request_counts_from_the_telling_and_from_when_it_was_in_force() -> None:
    assert found([], set()) == {"x": (20, -80, False), "y": (800, 700, False)}
    assert found([], {"y"})["y"] == (800, -1, False)  # the leader said that it is not reached


def test_a_fault_that_keeps_the_news_from_a_balancer_excuses_it_alone_and_the_stores_excuses_nobody() -> None:
    cut = [(90, "y to control-0: dropped, both"), (700, "y to control-0: healed")]
    assert [kept for _, _, kept in found(cut, set()).values()] == [False, True]
    away = [(90, "store: fault away"), (90, "control-0 to store: dropped, both"), (95, "store: fault none")]
    assert not any(kept for _, _, kept in found(away, set()).values())
    assert all(kept for _, _, kept in found([(90, "control-1: SIGSTOP")], set()).values())
    assert hurts([(5, "y: SIGKILL"), (9, "y: started, process 7")], "y") == [(5, 9)]
    long_ago = [(0, "y: SIGSTOP"), (100 - RETURN_US, "y: SIGCONT")]
    assert not found(long_ago, set())["y"][2]


def test_the_request_in_hand_when_a_balancer_was_stopped_is_held_against_nobody() -> None:
    notes = [(350, "y: SIGSTOP"), (890, "y: SIGCONT")]
    assert found(notes, set())["y"][:2] == (200, 100)  # that at 900 came with its waking
