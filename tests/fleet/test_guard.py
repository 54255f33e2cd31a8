"""What a version may not do, what an operator may mean, and that neither age nor small steps get round it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fleets import node, picture

from roadlb.fleet.guard import Accept, Guard, Offer, Pass, Refuse, Thresholds, Took
from roadlb.fleet.model import Endpoint, Lifecycle, Locality, Picture

MINUTE = 60_000_000
DRAINS: dict[str, int] = {}


def hall(name: str, count: int, start: int = 1_000, **fields: object) -> list[Endpoint]:
    at = Locality(zone=name)
    return [
        node(f"{name}-{i}", start, host=f"10.{ord(name[0])}.0.{i}", locality=at, **fields)
        for i in range(count)
    ]


def guard(
    *endpoints: Endpoint,
    fresh: bool = True,
    drains: dict[str, int] = DRAINS,
    thresholds: Thresholds | None = None,
) -> Guard:
    made = Guard(thresholds or Thresholds(), lambda name, start: start <= drains.get(name, -1))
    if endpoints:
        made.handle(0, Took(picture(1, *endpoints), fresh))
    return made


def judge(
    by: Guard, *endpoints: Endpoint, now: int = 1, id: str = "1.2", meant: bool = False, generation: int = 2
) -> Pass | Refuse:
    [action] = by.handle(now, Offer(id, picture(generation, *endpoints), meant=meant))
    return action


def refused(by: Guard, *endpoints: Endpoint, **told: object) -> tuple[str, ...]:
    action = judge(by, *endpoints, **told)  # type: ignore[arg-type]
    return action.checks if isinstance(action, Refuse) else ()


A, B = hall("a", 6), hall("b", 6)
DRAINED = replace(A[0], lifecycle=Lifecycle.DRAINING)


@pytest.mark.parametrize(
    "new, check",
    [
        (A, "hall_emptied"),
        ([*A, *(replace(e, lifecycle=Lifecycle.DRAINING) for e in B)], "hall_emptied"),
        ([A[0], *B[:4]], "capacity_gone"),
        ([], "cluster_emptied"),
        ([node("a-0", 999, host="10.97.0.0", locality=Locality(zone="a")), *A[1:], *B], "start_back"),
        ([replace(A[0], weight=float("nan")), *A[1:], *B], "weight_bad"),
        ([A[0], replace(A[0], node=replace(A[0].node, started_ms=2_000)), *A[1:], *B], "two_starts"),
    ],
)
def test_a_version_that_would_do_harm_is_refused_by_name(new: list[Endpoint], check: str) -> None:
    action = judge(guard(*A, *B), *new)
    assert isinstance(action, Refuse) and check in action.checks
    assert f"{check}: " in action.text and "accept this version as meant" in action.text


@pytest.mark.parametrize(
    "new",
    [
        [DRAINED, *A[1:], *B],  # a drain
        [*A[2:], *B[1:]],  # a quarter goes
        [*hall("a", 6, start=2_000), *B],  # a hall restarted
        [*A, *B, *hall("c", 3)],  # a hall more
        [replace(A[0], weight=0.5), *A[1:], *B],
    ],
)
def test_what_happens_every_day_passes(new: list[Endpoint]) -> None:
    assert isinstance(judge(guard(*A, *B), *new), Pass)


def test_a_hall_of_one_node_may_empty_unless_told_otherwise() -> None:
    one = hall("c", 1)
    assert isinstance(judge(guard(*A, *one), *A), Pass)
    assert "hall_emptied" in refused(guard(*A, *one, thresholds=Thresholds(hall_least=1)), *A)


def test_a_drained_node_stays_so_until_a_newer_start() -> None:
    by = guard(DRAINED, *A[1:], *B)
    assert "reopened" in refused(by, *A, *B)
    newer = node("a-0", 1_001, host="10.97.0.0", locality=Locality(zone="a"))
    assert isinstance(judge(by, newer, *A[1:], *B), Pass)


def test_a_drain_outlives_the_list_that_told_it() -> None:
    """Left out of one version and open in the next: the list in force knows nothing of the node."""
    by = guard(*A[1:], *B, drains={"a-0": 1_000})
    action = judge(by, *A, *B)
    assert isinstance(action, Refuse) and action.checks == ("reopened",) and "a-0" in action.text
    found = judge(by, *A, *B, meant=True)
    assert isinstance(found, Pass) and found.reopened == (A[0].node,)


def test_small_steps_within_a_window_add_up_and_outside_of_it_do_not() -> None:
    def shrink(step_us: int) -> tuple[str, ...]:
        nodes = [*hall("a", 12), *hall("b", 12)]
        by, now = guard(*nodes), 0
        while len(nodes) > 2:
            now, nodes = now + step_us, nodes[1:-1]  # both halls lose one
            if checks := refused(by, *nodes, now=now, generation=now):
                return checks
            by.handle(now, Took(picture(now, *nodes)))
        return ()

    assert shrink(MINUTE // 2) == ("capacity_drained",)
    assert "capacity_drained" not in shrink(11 * MINUTE)


def test_a_rolling_restart_of_everything_is_no_loss() -> None:
    nodes = [*A, *B]
    by, now = guard(*nodes), 0
    for i in range(len(nodes)):
        for after in (
            replace(nodes[i], lifecycle=Lifecycle.DRAINING),
            replace(nodes[i], node=replace(nodes[i].node, started_ms=9_000 + i)),
        ):
            now += MINUTE // 4
            nodes = [*nodes[:i], after, *nodes[i + 1 :]]
            assert isinstance(judge(by, *nodes, now=now, generation=now), Pass)
            by.handle(now, Took(picture(now, *nodes)))


def test_an_old_list_is_no_measure_of_capacity_but_of_starts_and_drains() -> None:
    by = guard(DRAINED, *A[1:], *B, fresh=False)
    assert isinstance(judge(guard(*A, *B, fresh=False), *hall("c", 2)), Pass)
    assert "start_back" in refused(guard(*A, *B, fresh=False), *hall("a", 6, start=1))
    assert "reopened" in refused(by, *A, *B)


def test_a_word_counts_for_one_version_once() -> None:
    by = guard(*A, *B)
    by.handle(0, Accept("1.2"))
    assert "hall_emptied" in refused(by, *A, id="1.3"), "another version was accepted"
    passed = judge(by, *A, id="1.2")
    assert isinstance(passed, Pass) and "hall_emptied" in passed.overruled
    assert "hall_emptied" in refused(by, *A, id="1.2"), "the same word counted twice"


def test_no_word_makes_a_version_good_that_cannot_be_followed() -> None:
    by = Guard(
        Thresholds(), lambda *_: False, lambda s: "max_attempts: 0 makes no sense" if s else "", lambda s: ""
    )
    [bad] = by.handle(0, Offer("1.1", Picture(1), {"limits.max_attempts": "0"}, meant=True))
    assert isinstance(bad, Refuse) and bad.checks == ("settings_bad",) and "max_attempts" in bad.text
    by = Guard(Thresholds(), lambda *_: False, settings_fixed=lambda s: "classes.0.name: restart for it")
    [fixed] = by.handle(0, Offer("1.1", Picture(1), meant=True))
    assert isinstance(fixed, Refuse) and fixed.checks == ("settings_fixed",)
    assert "generation_back" in refused(guard(*A), *A[1:], generation=0, meant=True)


def test_a_fault_that_is_in_force_already_does_not_stop_what_leaves_it() -> None:
    """Or no version could mend the list one part at a time."""
    two = [replace(A[0], weight=-1.0), replace(B[0], host="")]
    by = guard(*two, *A[1:], *B[1:])
    assert isinstance(judge(by, A[0], two[1], *A[1:], *B[1:]), Pass)
    assert refused(by, *two, replace(A[1], weight=-1.0), *A[2:], *B[1:]) == ("weight_bad",)


def test_what_is_kept_is_bounded() -> None:
    by = guard(*A)
    for i in range(1_000):
        by.handle(i * MINUTE // 10, Took(picture(i, *A)))
        by.handle(i, Accept(f"{i}.0"))
    assert len(by._window) <= 18 and len(by._accepted) <= 16
    with pytest.raises(ValueError, match="capacity_at_once"):
        Guard(Thresholds(capacity_at_once=0.0), lambda *_: False)
