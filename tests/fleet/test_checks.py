"""Each check finds its fault, names the nodes concerned, and is silent on a sound fleet."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest
from fleets import SAME, node, picture, pictures
from hypothesis import given

from roadlb.fleet.checks import Check, Finding, Severity, check_picture
from roadlb.fleet.diff import changes
from roadlb.fleet.model import Cluster, Drop, Endpoint, Health, Lifecycle, Locality, Picture
from roadlb.fleet.steps import check_step

A, B = Locality(zone="a"), Locality(zone="b")
DRAINING, REMOVED = Lifecycle.DRAINING, Lifecycle.REMOVED


def said(findings: tuple[Finding, ...]) -> dict[Check, set[str]]:
    return {finding.check: {n.name for n in finding.nodes} for finding in findings}


def grid(*endpoints: Endpoint) -> Picture:
    return picture(1, *endpoints)


ALONE: dict[Check, tuple[Picture, set[str]]] = {
    Check.TOLD_TWICE: (grid(node("n"), node("n"), node("o")), {"n"}),
    Check.HEALTH_CONTRADICTED: (grid(node("n"), node("n", health=Health.UNHEALTHY), node("o")), {"n"}),
    Check.TWO_STARTS: (grid(node("n", 4), node("n", 5), node("o")), {"n"}),
    Check.ADDRESS_SHARED: (grid(node("n", host="h"), node("m", host="h"), node("o")), {"n", "m"}),
    Check.ADDRESS_BAD: (grid(node("n", port=0), node("m", host=""), node("o")), {"n", "m"}),
    Check.WEIGHT_BAD: (
        grid(node("n", weight=math.nan), node("m", weight=-1.0), node("i", weight=math.inf), node("o")),
        {"n", "m", "i"},
    ),
    Check.PRIORITY_BAD: (grid(node("n", priority=-1), node("o")), {"n"}),
    Check.PRIORITY_GAP: (grid(node("n"), node("o", priority=2)), set()),
    Check.NAME_EMPTY: (grid(node(""), node("o")), {""}),
    Check.LIFECYCLE_UNKNOWN: (grid(node("n", lifecycle="dormant"), node("o")), {"n"}),
    Check.HEALTH_UNKNOWN: (grid(node("n", health=17), node("o")), {"n"}),
    Check.CLUSTER_EMPTY: (grid(node("n", lifecycle=REMOVED)), set()),
    Check.CLUSTER_CLOSED: (grid(node("n", lifecycle=DRAINING), node("m", weight=0.0)), {"n", "m"}),
    Check.CLUSTER_MISNAMED: (Picture(1, {"grid": Cluster("maps", (node("n"),))}), set()),
    Check.DROPS_BAD: (Picture(1, {"grid": Cluster("grid", (node("n"),), drops=(Drop("x", -1),))}), set()),
}
OLD = (node("n", 5, locality=A, machine="m1"), node("o", 5, locality=B, machine="m2"))
STEPS: dict[Check, tuple[Picture, Picture, set[str]]] = {
    Check.GENERATION_BACK: (picture(5, *OLD), picture(4, *OLD), set()),
    Check.GENERATION_REUSED: (grid(*OLD), grid(*OLD, node("x")), set()),
    Check.START_BACK: (grid(*OLD), picture(2, node("n", 4, locality=A, machine="m1"), OLD[1]), {"n"}),
    Check.REOPENED: (grid(node("n", 5, lifecycle=DRAINING), OLD[1]), picture(2, node("n", 5), OLD[1]), {"n"}),
    Check.CLUSTER_GONE: (grid(*OLD), Picture(2, {}), {"n", "o"}),
    Check.CLUSTER_EMPTIED: (grid(*OLD), picture(2), {"n", "o"}),
    Check.HALL_EMPTIED: (grid(*OLD), picture(2, OLD[0], node("o", 5, locality=B, lifecycle=DRAINING)), {"o"}),
    Check.MACHINE_VANISHED: (grid(*OLD), picture(2, OLD[0]), {"o"}),
    Check.CAPACITY_GONE: (grid(*OLD), picture(2, OLD[0], node("o", 5, locality=B, weight=0.5)), {"o"}),
    Check.ADDRESS_TAKEN: (grid(*OLD), picture(2, OLD[0], node("x", host=OLD[1].host)), {"x"}),
    Check.MOVED: (grid(*OLD), picture(2, node("n", 5, locality=A, machine="m1", host="h"), OLD[1]), {"n"}),
}


def test_each_check_has_a_case() -> None:
    assert {*ALONE, *STEPS} == set(Check)


@pytest.mark.parametrize("check", ALONE)
def test_a_fault_in_a_picture_is_found(check: Check) -> None:
    faulty, nodes = ALONE[check]
    assert said(check_picture(faulty))[check] == nodes


@pytest.mark.parametrize("check", STEPS)
def test_a_fault_in_a_step_is_found(check: Check) -> None:
    old, new, nodes = STEPS[check]
    assert said(check_step(old, new))[check] == nodes


SOUND: dict[str, Callable[[], tuple[Finding, ...]]] = {
    "a fleet": lambda: check_picture(grid(*OLD, node("p", priority=1))),
    "one more": lambda: check_step(grid(*OLD), picture(2, *OLD, node("p"))),
    "a restart": lambda: check_step(
        grid(node("n", 5, lifecycle=DRAINING), OLD[1]), picture(2, node("n", 6), OLD[1])
    ),
    "health comes and goes": lambda: check_step(
        grid(*OLD), picture(2, node("n", 5, locality=A, machine="m1", health=Health.UNHEALTHY), OLD[1])
    ),
    "the same again": lambda: check_step(grid(*OLD), grid(*OLD)),
}


@pytest.mark.parametrize("case", SOUND)
def test_nothing_is_found_in(case: str) -> None:
    assert SOUND[case]() == ()


def test_what_drains_have_announced_is_no_loss_of_capacity() -> None:
    drained = node("n", 5, locality=A, machine="m1", lifecycle=DRAINING)
    assert said(check_step(grid(drained, OLD[1]), picture(2, OLD[1]))) == {}


def test_one_successor_does_not_stand_for_two() -> None:
    old = picture(1, node("n", 5), node("n", 5), node("o"), node("p"))
    (gone,) = (
        f
        for f in check_step(old, picture(2, node("n", 6), node("o"), node("p")))
        if f.check is Check.CAPACITY_GONE
    )
    assert gone.figure == 0.25


def test_the_share_gone_is_a_figure_a_threshold_can_be_held_against() -> None:
    old = picture(1, *(node(f"n{i}") for i in range(10)))
    new = picture(2, *(node(f"n{i}") for i in range(7)), node("new", weight=9.0))
    (gone,) = (f for f in check_step(old, new) if f.check is Check.CAPACITY_GONE)
    assert gone.figure == pytest.approx(0.3) and gone.severity is Severity.WARNING and len(gone.nodes) == 3


@SAME
@given(pictures(), pictures())
def test_any_fleet_is_checked_and_every_finding_is_about_its_nodes(old: Picture, new: Picture) -> None:
    nodes = {e.node for p in (old, new) for cluster in p.clusters.values() for e in cluster.endpoints}
    for finding in (*check_picture(new), *check_step(old, new, changes(old, new))):
        assert set(finding.nodes) <= nodes and finding.text
