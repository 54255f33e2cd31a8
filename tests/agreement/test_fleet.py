"""Many followers in simulated time: the bound holds, and the witness sees a floor that is none."""

from __future__ import annotations

import pytest

from roadlb.lab.model_check.defects import NoFloor
from roadlb.lab.model_check.fleet import BOUND_US, CHOICES, CLEAR, Fleet
from roadlb.lab.model_check.lists import Walk


@pytest.mark.parametrize("seed", range(6))
def test_no_contradiction_lasts_longer_than_the_bound(seed: int) -> None:
    result = Fleet(seed, followers=12, length_s=60).run()
    assert result.versions > 1, "nothing was put in force: nothing is shown"
    assert result.longest <= BOUND_US and not result.across


@pytest.mark.parametrize("seed", [0, 1, 16])
def test_nor_does_one_in_the_list_while_who_uses_it_has_a_lease(seed: int) -> None:
    result = Fleet(seed, proposals=Walk(CHOICES).next).run()
    assert result.versions > 1 and result.longest <= BOUND_US and not result.across


def test_a_fleet_of_two_hundred_agrees() -> None:
    result = Fleet(1, followers=200, length_s=25).run()
    assert result.versions and result.longest <= BOUND_US and not result.across


def test_without_faults_each_version_comes_to_be_used_by_all() -> None:
    result = Fleet(3, followers=12, length_s=40, weather=CLEAR).run()
    assert len(result.used) >= 2 and not result.across


def test_the_witness_sees_a_floor_that_is_not_a_floor() -> None:
    results = [Fleet(seed, follower=NoFloor).run() for seed in range(6)]
    assert any(result.longest > BOUND_US or result.across for result in results)
