"""Sites, agreed versions and shared state at once, in real processes: a hall lost with the leader in it.

Further plays, seeds and planted defects are benchmarks/together.py's.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import uvloop

from roadlb.lab.sharing.judge import Sum
from roadlb.lab.sharing.records import Records
from roadlb.lab.together.house import hall_of
from roadlb.lab.together.plays import Outcome, play


def test_a_hall_lost_with_the_leader_in_it_breaks_no_claim_of_any_part() -> None:
    outcome = uvloop.run(play("lost_with_its_leader"))
    assert outcome.requests > 1_000 and outcome.orders > 100 and outcome.drains == 1
    assert outcome.sound, replace(outcome, notes=())


def test_each_claim_of_a_play_can_fail() -> None:
    sound = Outcome(1, 9, 3, (), Sum(1.0), {}, 5, 6, 0, 1, 1, (), {}, ())
    assert sound.sound
    for claim, broken in {
        "once": replace(sound, twice=("balancer-0.customer-0.0x4",)),
        "shares": replace(sound, shares=Sum(1.001)),
        "answered": replace(sound, spared={"balancer-0": {"TimeoutError": 1}}),
        "drained": replace(sound, late_us=300_000),
        "said": replace(sound, said=("error",)),
    }.items():
        assert broken.broken == (claim,) and not broken.sound


def test_what_a_process_wrote_counts_until_it_was_killed_and_half_a_line_does_not(tmp_path: Path) -> None:
    line = json.dumps({"at": 11, "done": 12, "until": 90, "shares": {"customer 0": [0.5, 0.1]}})
    records = Records(tmp_path)
    (tmp_path / "balancer-1.9.shares").write_text(f"{line}\n{line[:20]}")
    (tmp_path / "balancer-1.40.shares").write_text(f"{line}\n")
    for lines in (1, 2):
        first, again = records.lives([(5, "balancer-1"), (30, "balancer-1"), (35, "balancer-2")], now=100)
        assert (first.ended, again.ended) == (30, 100)
        assert [one.shares for one in first.told] == [{"customer 0": (0.5, 0.1)}]
        assert len(again.told) == lines and records.newest("balancer-1") == (2, again.told)
        (tmp_path / "balancer-1.40.shares").write_text(f"{line}\n" * 2)  # one more, and none twice


def test_a_hall_takes_along_what_stands_in_it() -> None:
    names = ["balancer-1", "balancer-2", "node-1", "control-0", "control-1"]
    assert [hall_of(name) for name in names] == ["hall-a", "hall-b", "hall-b", "hall-b", "hall-a"]
