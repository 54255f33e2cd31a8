"""Parts planned against parts counted, through three proxies of one form, while cold nodes become warm."""

from collections import Counter
from random import Random

from control_proxies import Proxy

from roadlb.control.events import MILLION, Decisions, Fleet, LoadReport, Tick
from roadlb.control.forms import Form, express, parts_of
from roadlb.control.plan import Plan
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, NodeId, Picture

SECOND = 1_000_000
EACH_S = 2_500  # requests a second


def planned(decisions: Decisions) -> dict[NodeId, float]:
    """What part of all traffic each node is meant to have."""
    told = decisions.clusters["grid"]
    rest, weights = parts_of(told)[""] / MILLION, sum(d.weight for d in told)
    return {d.node: d.part_ppm / MILLION if d.pool else rest * d.weight / weights for d in told if d.open}


def planned_and_counted(form: Form) -> tuple[dict[NodeId, float], Counter[NodeId]]:
    """Over 40 s in which 3 of 9 nodes become warm, one drains and another changes its weight."""
    plan, rng, now = Plan(), Random(5), 0
    nodes = [
        Endpoint(NodeId(f"n{i}", 1_000_000_000 if i < 3 else 0), "h", i, weight=1 + i / 10) for i in range(9)
    ]
    proxies = [Proxy(f"p{i}", form, share, Random(i)) for i, share in enumerate((0.8, 0.15, 0.05))]
    expected, counted = Counter(), Counter()
    fleet = {
        0: nodes,
        15: [*nodes[:7], Endpoint(NodeId("n7"), "h", 7, weight=3.0), nodes[8]],
        30: [*nodes[:8], Endpoint(NodeId("n8"), "h", 8, lifecycle=Lifecycle.DRAINING)],
    }
    for second in range(40):
        now = second * SECOND
        actions = []
        if second in fleet:
            picture = Picture(second + 1, {"grid": Cluster("grid", tuple(fleet[second]))})
            actions += plan.handle(now, Fleet(picture, 1_000_000_000 + now // 1000))
        actions += plan.handle(now, Tick())
        for a in actions:
            target, view = planned(a.decisions), express(form, a.decisions)
            for p in proxies:
                p.told(now, second, view)
        sent = Counter()
        for _ in range(EACH_S):
            placed = rng.choices(proxies, (0.8, 0.15, 0.05))[0].pick(now)
            sent[placed.node] += 1
        for node, part in target.items():
            expected[node] += part * EACH_S
        for node, count in sent.items():
            plan.handle(now, LoadReport("all", "grid", node, count, 0, SECOND))
        counted += sent
    return dict(expected), counted
