"""Nine balancers that share, each a process, under load and faults: within bounds, as their own records,
nodes and clients have it; planted defects are found.  benchmarks/shared_processes.py plays more, and longer.

No verdict depends on speed: each turn waits for what must come to pass, and then records are judged.
"""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from roadlb.lab.sharing.faults import HOLDS, LEAST
from roadlb.lab.sharing.judge import (
    ALLOWED,
    NOTICED_US,
    SETTLED_US,
    Cold,
    Life,
    Told,
    largest_sum,
    most_of_a_fall,
    most_of_a_quota,
    most_of_a_rate,
    settled,
)
from roadlb.lab.sharing.play import NOTHING, PLANTED, Outcome, play
from roadlb.lab.sharing.rates import Rates, play_rates

SECONDS = 15.0  # of turns, and all of the last one


def played(seed: int, seconds: float, defect: str = "", turn: str = "") -> Outcome:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(seed, seconds, defect, turn))


def rated(defect: str = "", turns: tuple[str, ...] = ()) -> Rates:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play_rates(1, defect, turns))


@pytest.mark.parametrize("seed", [1, 2])
def test_nine_processes_under_faults_keep_within_their_bounds(seed: int) -> None:
    outcome = played(seed, SECONDS)
    assert outcome.sound, outcome
    assert outcome.moved > HOLDS and outcome.faults >= LEAST and outcome.cold > 0, "it moved, and befell them"


@pytest.mark.parametrize("defect", PLANTED)
def test_a_planted_defect_is_found_by_processes(defect: str) -> None:
    outcome = played(1, 0, defect, PLANTED[defect])
    assert outcome.shares.most > 1 and not outcome.sound, outcome


def test_nodes_are_sent_no_more_repeats_and_requests_to_a_returning_hall_than_all_may() -> None:
    outcome = rated()
    assert outcome.sound and outcome.made and outcome.sent and outcome.moved > HOLDS, outcome


def test_nodes_find_repeats_that_cost_nothing() -> None:
    assert rated("RepeatsAreFree").repeats > 1


def test_nodes_and_clients_alone_find_one_that_takes_the_whole() -> None:
    outcome = played(1, 0, "TakesTheWhole", NOTHING)
    assert outcome.customer > ALLOWED, outcome


def told(at: int, share: float, until: int = 0, then: float | None = None) -> Told:
    return Told(at, at + 2, until, {"b": (share, share if then is None else then)})


def test_the_judge_takes_the_lesser_share_while_one_changes_and_the_later_one_after_a_lease() -> None:
    giver = Life("a", [told(0, 0.5), told(100, 0.2), told(300, 0.5)], 1_000)
    taker = Life("b", [told(0, 0.5), told(101, 0.8, 250, 0.5)], 1_000)
    assert largest_sum([giver, taker]).most == pytest.approx(1.0)
    late = Life("b", [told(0, 0.5), told(101, 0.8, 350, 0.5)], 1_000)
    worst = largest_sum([giver, late])
    assert worst.most == pytest.approx(1.3) and worst.at == 302 and dict(worst.held) == {"a": 0.5, "b": 0.8}
    assert largest_sum([Life("a", [told(0, 1.0)], 50), Life("a", [told(60, 1.0)], 100)]).most == 1


def test_the_judge_counts_what_came_to_a_cold_node_and_what_a_customer_got() -> None:
    cold = Cold(0, 1.0, 0.5, 10_000_000)
    come = [(n * 100_000, 100_000) for n in range(20)]
    assert most_of_a_fall(cold, come, 2.0, 1_000_000, 200_000) == pytest.approx(
        1.0 / (2 * cold.can(900_000)), rel=1e-3
    )
    at_once = [(500_000, 100_000)] * 20
    assert most_of_a_fall(cold, at_once, 2.0, 1_000_000, 200_000) == pytest.approx(
        2 * most_of_a_fall(cold, at_once, 2.0, 1_000_000, 200_000, [(-500_000, 500_000)])
    )
    served = [(n * 10_000, "a" if n % 2 else "b") for n in range(2_000)]
    spans = {"a": [(0, 20_000_000)], "b": [(15_000_000, 20_000_000)]}
    assert most_of_a_quota(served, spans, 50) == pytest.approx(1.5, rel=0.01)
    burst = [(5_000_000, "a")] * 300 + [(5_000_000 + n * 20_000, "a") for n in range(500)]
    assert most_of_a_quota(burst, spans, 50) == pytest.approx(1.6)
    assert most_of_a_quota(burst, spans, 50, lags=[(0, 5_000_000)]) < 1.1


def test_the_judge_lets_all_spend_a_rate_a_second_saved_and_one_for_each_process_and_no_more() -> None:
    second, nine = 1_000_000, [(0, 100_000_000)] * 9
    steady = [n * second // 6 for n in range(600)]
    assert most_of_a_rate(steady, 6, nine) < 1 and not most_of_a_rate([], 6, nine)
    burst = [10 * second] * 18
    assert most_of_a_rate(burst, 6, nine) == pytest.approx(1)
    assert most_of_a_rate([*burst, burst[0]], 6, nine) > 1
    assert most_of_a_rate(burst, 6, nine[:8]) > 1, "who did not run has spent nothing"
    assert most_of_a_rate(burst, 6, [*nine[:8], (11 * second, 12 * second)]) > 1
    double = [n * second // 12 for n in range(120)]
    assert most_of_a_rate(double, 6, nine) > 1.4
    assert most_of_a_rate(burst * 2, 6, nine, [(5 * second, 9 * second)]) < 1, "sent while it stood still"


def test_a_balancer_counts_once_its_rate_is_known_and_its_neighbours_clients_are() -> None:
    second, far = 1_000_000, 100_000_000
    states = [(0, "a", "started"), (0, "b", "started"), (0, "c", "started"), (20 * second, "b", "killed")]
    found = settled(states, {"a": "x", "b": "x", "c": "y"}, far)
    assert [span for span in found["a"] if span[1] > span[0]] == [
        (SETTLED_US, 20 * second),
        (20 * second + SETTLED_US + NOTICED_US, far),
    ]
    assert found["c"] == [(SETTLED_US, far)] and found["b"][-1][1] == 20 * second
