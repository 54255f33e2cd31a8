"""Whole balancers in simulated time without control: worth served, and restarts; long runs: benchmarks/."""

from __future__ import annotations

from roadlb.agreement.events import Standing
from roadlb.lab.followers.rehearsal import Plan, play
from roadlb.lab.followers.restarts import restarts
from roadlb.lab.incident.load import read

NIGHT = read(
    """
title = "A customer's flood while control is away"
duration_s = 15
[fleet]
nodes = 3
[traffic]
rate = 60
quota_per_s = 105
[[step]]
do = "flood"
at_s = 8
for_s = 4
times = 6
tenant = "cesty-vychod"
""",
    "night",
)


def test_without_control_grants_are_at_their_floors_and_worth_is_within_a_point() -> None:
    there, away = play(NIGHT, 3, Plan()), play(NIGHT, 3, Plan(away=(2.0, 30.0)))
    gone = {standing: count for (away_now, standing), count in away.standings.items() if away_now}
    assert gone[Standing.LAPSED] > sum(gone.values()) / 2
    assert not any(standing is Standing.LAPSED for _, standing in there.standings)
    assert away.verdict.worth.whole > there.verdict.worth.whole - 0.01
    assert not away.errors


def test_restarts_in_a_shrink_with_control_down_send_nothing_to_a_drained_node() -> None:
    found = restarts(1)
    assert found.drained and found.returns == 6
    assert (found.astray, found.fell, found.errors) == (0, 0, 0)


def test_without_a_store_the_same_restarts_do() -> None:
    assert restarts(1, stores=False).astray > 0
