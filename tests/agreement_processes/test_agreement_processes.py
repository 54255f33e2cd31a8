"""Nine real processes under faults: no contradiction outlasts the bound, nothing is granted too early.

Long runs and planted defects are benchmarks/agreement_processes.py's.
"""

from __future__ import annotations

import pytest
import uvloop

from roadlb.lab.agreement import whole
from roadlb.lab.agreement.play import play

# What is sent after a look at the lease is bounded by the margin, which a busy machine must not use up: a
# bound of 6 s with a margin of 1.5 s, where the rehearsal's own is 3 s with 0.4 s.
BOUND_S, MARGIN_S = 6.0, 1.5


@pytest.mark.parametrize("seed", [5, 11])
def test_no_contradiction_outlasts_the_bound_and_none_is_granted_early(seed: int) -> None:
    outcome = uvloop.run(play(seed, seconds=15.0, contradiction_s=BOUND_S, margin_s=MARGIN_S))
    assert outcome.turns > 0 and outcome.faults > 0 and outcome.requests > 1_000
    assert outcome.sound, (outcome.longest_us, outcome.after_us, outcome.worst, outcome.notes)


def test_whole_balancers_send_nothing_to_a_node_once_its_drain_is_in_force() -> None:
    outcome = uvloop.run(whole.play(3, 12.0, BOUND_S, margin_s=MARGIN_S))
    assert outcome.drains > 0 and outcome.complete > 0 and outcome.requests > 1_000
    assert outcome.sound, (outcome.longest_us, outcome.after_us, outcome.worst, outcome.notes)
