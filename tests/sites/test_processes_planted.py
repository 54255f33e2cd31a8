"""Mutations can still be applied: what they replace exists, and a child process has them from its start."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from roadlb.lab import mutants

PROGRAM = """
from roadlb.sites import refusal, state_machine
from roadlb.policy.state import Server
one = refusal.RefusalOrder()
for rank in (1, 2): one.count_request(rank)
print(state_machine.LOSS_FAILURES, state_machine.SHORT_OUTAGE_US, Server(b"x", in_flight=3).load(0, 1))
print(one.is_refused(1, 0.5, 0.5), one.is_refused(2, 0.5, 0.5))
"""


@pytest.mark.parametrize(
    "name, seen",
    [
        ("", "3 1000000 sound True False"),
        ("no hysteresis", "1 1000000 sound True False"),
        ("return at once", f"3 {1 << 62} sound True False"),
        ("blind spill", "3 1000000 0.0 True False"),
        ("reversed plan", "3 1000000 sound False True"),
    ],
)
def test_each_mutation_is_in_force_from_the_first_line_of_a_child_process(name: str, seen: str) -> None:
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={**os.environ, **mutants.variables(name)},
        capture_output=True,
        text=True,
        check=True,
    )
    found = done.stdout.split()
    assert (found[2] == "0.0") is (name == "blind spill")
    assert found[:2] + found[3:] == [word for word in seen.split() if word not in ("sound", "0.0")]


def test_a_mutation_of_a_missing_attribute_or_of_unknown_name_is_reported() -> None:
    with pytest.raises(AttributeError, match="has no nothing: this defect needs to be planted anew"):
        mutants.put(mutants.Server, "nothing", 1)
    with pytest.raises(ValueError, match="planted are no hysteresis, blind spill"):
        mutants.plant("no such")
