"""The plan, its guard and its forms against proxies, late words and the lab's grid nodes.

The same with 50 seeds, longer runs and the ways that were weighed: benchmarks/control_plan.py --prove.
"""

import pytest
from control_cases import FORMS, careless, cut_off, deploy, fail_over, mourning, restart
from control_shares import planned_and_counted
from control_world import SECOND

from roadlb.control.forms import Form


def test_no_node_falls_in_a_deploy_of_81_percent() -> None:
    worlds = [deploy(seed, until_s=22, length_s=12) for seed in range(10)]
    assert [w.fallen + w.late for w in worlds] == [[]] * 10
    assert sum(w.refused for w in worlds) < 0.2 * sum(w.requests for w in worlds)


def test_without_the_ramp_nodes_fall() -> None:
    assert any(deploy(seed, until_s=22, length_s=12, on=False).fallen for seed in range(3))


def test_cold_nodes_stand_when_all_others_fail_at_once_but_not_by_weights_alone() -> None:
    assert [mourning(seed, FORMS).fallen for seed in range(3)] == [[]] * 3
    assert any(mourning(seed, (Form.WEIGHTS,) * 3).fallen for seed in range(3))


def test_a_proxy_restarted_with_a_view_in_which_cold_successors_had_full_weight() -> None:
    assert [restart(seed).fallen for seed in range(4)] == [[]] * 4


def test_a_proxy_cut_off_with_that_view_that_keeps_to_the_time_to_live() -> None:
    assert [cut_off(seed, 2 * SECOND).fallen for seed in range(3)] == [[]] * 3


def test_no_call_later_than_1_s_after_a_drain_over_104_drains_fail_overs_and_a_list_4_s_older() -> None:
    worlds = [fail_over(seed) for seed in range(13)]
    assert [w.late for w in worlds] == [[]] * 13
    assert sum(len(m.drained_told) > 0 for w in worlds for m in w.by_id.values()) == 104


def test_without_the_guard_calls_come_late() -> None:
    assert any(fail_over(seed, guard=careless()).late for seed in range(2))


@pytest.mark.parametrize("form", [Form.ENVOY, Form.GRPC, Form.WEIGHTS])
def test_counted_shares_are_those_planned_while_they_change(form: Form) -> None:
    planned, counted = planned_and_counted(form)
    assert len(planned) == 9
    for node, part in planned.items():
        assert counted[node] == pytest.approx(part, rel=0.1), node
