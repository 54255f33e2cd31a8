"""Each decision of the plan on a small case."""

from dataclasses import replace

from roadlb.control.events import (
    Belief,
    Carrier,
    Carriers,
    Decision,
    Decisions,
    Fleet,
    LoadReport,
    Publish,
    Tick,
    View,
)
from roadlb.control.forms import parts_of
from roadlb.control.plan import EJECT_SHARE, HANDOVER_US, POOLS, STEP, VIEW_US, Plan
from roadlb.control.ramp import RampLimits
from roadlb.fleet.model import Cluster, Endpoint, Health, Lifecycle, NodeId, Picture

SECOND = 1_000_000
UNIX_MS = 1_800_000_000_000


class Case:
    """A plan with its clock and its last word."""

    def __init__(self, *nodes: Endpoint, **limits: object) -> None:
        self.plan, self.now, self.generation = Plan(RampLimits(**limits)), 0, 0  # type: ignore[arg-type]
        self.last: Decisions | None = None
        self.published: list[int] = []
        self.fleet(*nodes)

    def do(self, event: object) -> bool:
        """Has it published?"""
        actions = self.plan.handle(self.now, event)  # type: ignore[arg-type]
        for a in actions:
            assert isinstance(a, Publish)
            self.last = a.decisions
            self.published.append(self.now)
        return bool(actions)

    def fleet(self, *nodes: Endpoint) -> bool:
        self.generation += 1
        picture = Picture(self.generation, {"grid": Cluster("grid", nodes)})
        return self.do(Fleet(picture, UNIX_MS + self.now // 1000))

    def wait(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += SECOND // 4
            self.do(Tick())

    def of(self, name: str, started: int = 0) -> Decision:
        (d,) = [d for d in self.last.clusters["grid"] if d.node == NodeId(name, started)]
        return d


def node(i: int, started_s: float | None = None, **kw: object) -> Endpoint:
    started = 0 if started_s is None else UNIX_MS + int(started_s * 1000)
    return replace(Endpoint(NodeId(f"n{i}", started), "h", i), **kw)  # type: ignore[arg-type]


OLD = [node(i) for i in range(6)]


def carry(case: Case, per_node: int = 30, nodes: list[Endpoint] = OLD, errors: int = 0) -> None:
    for e in nodes:
        case.do(LoadReport("p", "grid", e.node, per_node, errors, SECOND))


def test_a_cold_node_stands_in_a_pool_of_its_own_ramps_in_steps_and_is_warm_at_last() -> None:
    case = Case(*OLD)
    case.wait(2)
    case.fleet(*OLD, node(9, 2))
    cold, parts = case.of("n9", UNIX_MS + 2000), []
    assert cold.pool and cold.weight == 0 and "cold: at least 12%" in cold.reason
    for _ in range(23):
        carry(case)
        case.wait(1)
        d = case.of("n9", UNIX_MS + 2000)
        parts.append(d.part_ppm)
        assert d.part_ppm <= 1_000_000 / 7
        assert not d.pool or parts_of(case.last.clusters["grid"])[d.pool] == d.part_ppm
    steps = [p for p in dict.fromkeys(parts) if p]
    assert 4 <= len(steps) <= 14 and len(case.published) <= len(steps) + 4
    assert all(b >= a * STEP * 0.999 for a, b in zip(steps, steps[1:], strict=False))
    d = case.of("n9", UNIX_MS + 2000)
    assert d.pool == "" and d.left_pool == cold.pool and d.weight == 1000
    case.wait(HANDOVER_US / SECOND + 1)
    assert case.of("n9", UNIX_MS + 2000).left_pool == ""


def test_without_load_reports_a_cold_node_gets_less_than_its_proportion_but_something() -> None:
    case = Case(*OLD, node(9, 0))
    assert 0 < case.of("n9", UNIX_MS).part_ppm < 0.12 / 6.12 * 1_000_000 / 2


def test_a_clock_that_is_wrong_does_not_make_a_new_node_warm() -> None:
    case = Case(*OLD)
    case.now = 100 * SECOND
    case.fleet(*OLD, node(9, -3600))
    assert case.of("n9", UNIX_MS - 3_600_000).pool


def test_a_drain_a_restart_and_a_lost_node_go_out_at_once_the_rest_waits_for_the_gap() -> None:
    case = Case(*OLD)
    case.now += 1000
    assert case.fleet(replace(OLD[0], lifecycle=Lifecycle.DRAINING), *OLD[1:]) and case.last.urgent
    assert case.of("n0").health is Health.DRAINING and not case.of("n0").open
    case.now += 1000
    assert not case.fleet(*OLD[1:], node(8)) and case.fleet(*OLD[2:])
    assert case.fleet(node(2, 0.1), *OLD[3:])
    assert case.of("n2", UNIX_MS + 100).pool


def test_a_picture_that_changes_no_decision_is_told_all_the_same() -> None:
    # Who waits for a generation to be carried must hear of it, however long after the last word it came.
    case = Case(*OLD)
    case.wait(10)
    assert case.fleet(*OLD)
    assert case.last.generation == case.generation


def test_an_older_picture_changes_nothing() -> None:
    case = Case(*OLD)
    case.generation = -5
    assert not case.fleet(*OLD[:1]) and len(case.last.clusters["grid"]) == 6


def test_a_successor_waits_for_those_who_may_still_send_to_its_address() -> None:
    case = Case(*OLD)
    case.do(Carriers((Carrier("late", 1), Carrier("up to date", 9))))
    case.now = 3 * SECOND
    case.fleet(replace(node(9, 3), port=0), *OLD[1:])
    d = case.of("n9", UNIX_MS + 3000)
    assert d.part_ppm == 0 and d.reason == "late may still send to the one that stood there"
    case.do(Carriers((Carrier("late", 2),)))
    case.wait(2)
    assert case.of("n9", UNIX_MS + 3000).part_ppm > 0


def test_of_two_at_one_address_only_the_one_started_last_is_open_and_the_worse_word_on_one_counts() -> None:
    case = Case(*OLD)
    case.now += 1000
    assert case.fleet(*OLD, replace(node(9, 0), port=0), replace(OLD[1], health=Health.UNHEALTHY))
    assert case.last.urgent
    assert not case.of("n0").open and "is now that of n9" in case.of("n0").reason
    assert case.of("n9", UNIX_MS).pool and case.of("n1").health is Health.UNHEALTHY


def test_the_module_ejects_up_to_its_share_and_those_who_are_out_do_not_alternate() -> None:
    case = Case(*OLD)
    case.do(View("grid", tuple(Belief(e.node, ejected=True) for e in OLD[2:])))
    case.wait(2)
    out = {d.node for d in case.last.clusters["grid"] if d.health is Health.UNHEALTHY}
    assert len(out) == int(EJECT_SHARE * 6)
    case.do(View("grid", tuple(Belief(e.node, ejected=True) for e in OLD)))
    case.wait(2)
    assert out == {d.node for d in case.last.clusters["grid"] if d.health is Health.UNHEALTHY}
    case.do(View("grid", (Belief(OLD[0].node, suspect=True),)))
    case.wait(2)
    assert [d.weight for d in case.last.clusters["grid"]] == [500] + [1000] * 5
    case.wait(VIEW_US / SECOND + 1)  # the module is silent
    assert [d.weight for d in case.last.clusters["grid"]] == [1000] * 6


def test_a_node_that_fails_by_the_proxies_reports_is_unhealthy() -> None:
    case = Case(*OLD)
    for _ in range(3):
        carry(case, nodes=OLD[:1], errors=28)
        carry(case, nodes=OLD[1:])
    case.wait(2)
    assert case.of("n0").health is Health.UNHEALTHY and case.of("n1").open


def test_weights_that_differ_little_are_not_told_and_nothing_is_told_too_often() -> None:
    case = Case(*OLD)
    case.wait(2)
    told = len(case.published)
    for i in range(40):
        case.fleet(*(replace(e, weight=1 + 0.01 * (i % 9)) for e in OLD))
        case.wait(0.25)
    assert all(d.weight == 1000 for d in case.last.clusters["grid"])
    assert len(case.published) - told <= 11
    assert all(b - a >= SECOND for a, b in zip(case.published, case.published[1:], strict=False))


def test_more_cold_nodes_than_pools_share_them_at_half_and_all_parts_are_within_the_whole() -> None:
    many = [node(i, 0) for i in range(100, 100 + 2 * POOLS)]
    case = Case(*many)
    for _ in range(25):
        case.wait(1)
        told = case.last.clusters["grid"]
        assert sum(parts_of(told).values()) == 1_000_000
        pools = [d.pool for d in told if d.pool]
        assert not pools or max(map(pools.count, pools)) <= 2
    assert not pools
