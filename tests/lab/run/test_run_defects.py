"""A defect of the program, put into each balancer, is found under its rule; the sound one is not blamed."""

from __future__ import annotations

from functools import cache

import pytest
from faulty_balancers import FAULTS
from short_stage import broken, small

from roadlb.lab.incident import Incident
from roadlb.lab.run import rehearse

QUICK = "[discovery]\nnotice_s = [0.1, 0.2]\nadd_s = [0.1, 0.2]\nperiod_ms = 100\nspread_ms = 0\n"
COLD = (
    QUICK
    + """
[[fleet.machine]]
name = "m"
share = 1
speed = 0.8
speed_spread = 0
cold_share = 0.12
cold_s = 20
"""
)
STAGES: dict[str, Incident] = {
    "": small(seconds=3, rate=50),
    "errors": small('do = "errors"; at_s = 0.5; answers = 0.3', seconds=3, rate=50),
    "resets": small("\n".join(f'do = "reset"; at_s = {at / 10}' for at in range(10, 30, 3)), rate=90),
    "deploy": small(
        'do = "deploy"; at_s = 0.5; share = 0.5; batch = 1.0; over_s = 4; drain_s = 3.9',
        seconds=4.6,
        more=QUICK,
    ),
    "drain": small('do = "balancer_drain"; at_s = 0.5; share = 0.5; for_s = 6', seconds=6, rate=50),
    "cold": small(
        'do = "deploy"; at_s = 0.1; share = 0.5; batch = 1.0; over_s = 0.5; drain_s = 0.3',
        seconds=4,
        rate=120,
        nodes=4,
        more=COLD + "[rules]\nfall_multiple = 1.5\n",
    ),
}


@cache
def sound(stage: str) -> dict[str, int]:
    return broken(rehearse(STAGES[stage], seed=3))


@pytest.mark.parametrize("name", FAULTS)
def test_a_defect_of_the_program_is_found_under_its_rule(name: str) -> None:
    app, stage = FAULTS[name]
    rule = name.partition(",")[0]
    found = broken(rehearse(STAGES[stage], seed=3, app=app))
    assert found.get(rule, 0) > 0, f"not found; what was: {found}"
    assert sound(stage) == {}
