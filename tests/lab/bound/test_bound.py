"""The bound: hand-computed, of the nodes' true state, and passed by no run."""

from __future__ import annotations

from pathlib import Path

import pytest

from roadlb.lab.bound import Bound, Capacity, Group, demand, first, greedy
from roadlb.lab.incident import load
from roadlb.lab.model.spec import NodeSpec
from roadlb.lab.run import rehearse
from roadlb.lab.run.drawn import draw
from roadlb.lab.run.sim_world import generators
from roadlb.lab.wire import NodeFell, NodeStarted, NodeState, WireEvent

SECOND = 1_000_000
COLD = NodeSpec(kind="k", cores=2, speed=1.0, cold_share=0.25, warm_us=20 * SECOND)
NOISE = 1.02  # what chance in the work of a run's requests may add to the strict bound
LOST = """title = "Lost"
duration_s = 6
[balancers]
per_hall = 1
[traffic]
rate = {rate}
[[step]]
do = "lose_hall"
hall = "hall-b"
at_s = 2
"""


def capacity(*events: WireEvent) -> Capacity:
    return Capacity(events, {"k": COLD})


def started(name: str, at_s: float, capacity: float = 2.0, cold: bool = False) -> NodeStarted:
    return NodeStarted(
        round(at_s * SECOND), name, round(at_s * 1000), "k", "hall-a", capacity, 0.25 if cold else 1.0
    )


def state(name: str, at_s: float, what: str, start_s: float = 0) -> NodeState:
    return NodeState(round(at_s * SECOND), name, round(start_s * 1000), what)


def test_capacity_is_size_times_warmth_from_start_to_end() -> None:
    warm = capacity(started("a", 0))
    assert warm.between(3 * SECOND, 5 * SECOND) == 4 * SECOND
    # From 0.25 evenly to 1 over 20 s: 0.625 in the mean, and 1 from then on.
    cold = capacity(started("a", 10, cold=True))
    assert cold.between(0, 10 * SECOND) == 0
    assert cold.between(10 * SECOND, 30 * SECOND) == pytest.approx(0.625 * 2 * 20 * SECOND, rel=0.002)
    assert cold.between(14 * SECOND, 15 * SECOND) == pytest.approx(0.41875 * 2 * SECOND, rel=0.003)
    assert cold.between(28 * SECOND, 34 * SECOND) == pytest.approx((0.9625 * 2 + 4) * 2 * SECOND, rel=0.002)


def test_what_ends_stands_still_or_falls_carries_nothing_meanwhile() -> None:
    ended = capacity(started("a", 0), started("b", 0), state("b", 4, "stopped"))
    assert ended.between(3 * SECOND, 6 * SECOND) == (6 + 2) * SECOND
    paused = capacity(started("a", 0), state("a", 1, "paused"), state("a", 3, "resumed"))
    assert paused.between(0, 4 * SECOND) == 4 * SECOND
    fell = capacity(started("a", 1, cold=True), NodeFell(2 * SECOND, "a", 1000, 1, 1))
    assert fell.between(2 * SECOND, 9 * SECOND) == 0


def test_greedy_takes_worth_for_work_and_the_last_in_part() -> None:
    reads, orders = Group("read", 20.0, 100.0), Group("order", 100.0, 1_000.0)
    assert greedy([orders, reads], 600.0) == pytest.approx(20 + 100 * 0.5)
    assert greedy([orders, reads], 1_050.0, first("order")) == pytest.approx(100 + 20 * 0.5)
    assert greedy([orders, reads], 600.0, first("order")) == pytest.approx(60)
    assert greedy([orders, reads], 0.0) == 0 and greedy([Group("free", 3.0, 0.0)], 0.0) == 3
    assert greedy([orders, reads], 5_000.0) == 120


def bound_of(tmp_path: Path, rate: float, seed: int) -> tuple[Bound, int, dict[int, tuple[float, float]]]:
    """The bound of a run, the second in which it began, and what was asked and served by second."""
    file = tmp_path / "lost.toml"
    file.write_text(LOST.format(rate=rate))
    incident = load(str(file))
    run = rehearse(incident, seed)
    drawn = draw(incident, generators(seed))
    wishes = demand(incident, drawn, generators(seed), run.log, run.origin_us)
    bound = Bound(incident, drawn, run.log, Capacity(run.log, drawn.kinds), wishes)
    return bound, run.origin_us // SECOND, dict(run.verdict.worth.by_second)


@pytest.mark.parametrize(("rate", "seed"), [(390, 2), (700, 3)])
def test_no_run_serves_more_than_the_bound(tmp_path: Path, rate: float, seed: int) -> None:
    bound, zero, served = bound_of(tmp_path, rate, seed)
    for second in range(zero + 1, max(served)):
        so_far = sum(both[1] for at, both in served.items() if at < second)
        assert so_far <= NOISE * bound.at_best(zero * SECOND, second * SECOND)
    # Known by class alone, it is no more than with each request's work known; and less is borne once lost.
    end = max(served)
    assert sum(bound.by_second(zero, end - 1).values()) <= bound.at_best(zero * SECOND, end * SECOND)
    lost, before = (zero + 3) * SECOND, bound.borne(zero * SECOND, (zero + 2) * SECOND)
    assert bound.borne(lost, end * SECOND) < 0.9 * before


def test_wishes_of_another_seed_are_told_from_those_of_the_run(tmp_path: Path) -> None:
    file = tmp_path / "lost.toml"
    file.write_text(LOST.format(rate=60))
    incident = load(str(file))
    run = rehearse(incident, 1)
    with pytest.raises(ValueError, match="is not the one that the seed gives"):
        demand(incident, draw(incident, generators(2)), generators(2), run.log, run.origin_us)
