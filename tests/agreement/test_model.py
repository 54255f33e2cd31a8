"""The model of the agreement finds each planted defect, and nothing in the deciders as they are."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from roadlb.lab.model_check.defects import DEFECTS, STREAMS, Stubborn, Unfenced
from roadlb.lab.model_check.explore import explore
from roadlb.lab.model_check.world import FIRST, SECOND, THIRD, Shape, steady

RATES = (4, 3, 5)


@pytest.mark.parametrize("name", DEFECTS)
def test_each_planted_defect_is_found(name: str) -> None:
    found = explore(DEFECTS[name], 10_000)
    assert found.wrong and found.way, f"{found.states} states"


@pytest.mark.parametrize(
    "shape",
    [
        Shape(issuers=1, rates=RATES, ticks=3, on_the_way=1),
        Shape(issuers=1, rates=(5, 3, 4), ticks=2, nacks=1, on_the_way=1),
        Shape(followers=1, rates=(4, 4, 5), ticks=2, seats=1, on_the_way=1),
        Shape(ticks=3, seats=1, renews=1, proposals=(), on_the_way=1),
        replace(STREAMS, issuer=Stubborn),
    ],
    ids=[
        "two followers",
        "a refusal",
        "two issuers",
        "a new leader that has not heard of all",
        "streams, and a leader that goes on",
    ],
)
def test_every_state_of_a_small_world_holds(shape: Shape) -> None:
    found = explore(shape, 50_000, recover_each=200)
    assert found.whole and not found.wrong, "\n".join((found.wrong, *found.way))
    assert found.recovered


def test_what_a_follower_says_first_on_a_stream_ends_an_older_leader_before_it_can_act_on_one() -> None:
    found = explore(replace(STREAMS, follower=Unfenced), 50_000)
    assert found.whole and not found.wrong, "\n".join((found.wrong, *found.way))


@settings(max_examples=30, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.integers(0, 10**6), min_size=20, max_size=70))
def test_any_schedule_of_a_larger_world_holds(choices: list[int]) -> None:
    world = steady(
        Shape(
            followers=3,
            issuers=2,
            rates=(4, 3, 5, 4, 5),
            ticks=30,
            crashes=2,
            doubles=3,
            nacks=1,
            seats=3,
            proposals=(SECOND, FIRST, THIRD, SECOND),
        )
    )
    way = []
    for choice in choices:
        steps = list(world.steps())
        name, world = steps[choice % len(steps)]
        way.append(name)
        assert not world.wrong, "\n".join((world.wrong, *way))
    assert world.recovers(), "\n".join(("they do not come to agree", *way))
