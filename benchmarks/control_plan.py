"""The control service's plan: what it costs, and the ways to keep cold nodes up, weighed in simulation.

    python benchmarks/control_plan.py                time of a plan and of one change, by the fleet's size
    python benchmarks/control_plan.py --prove [50]   hard cases with so many seeds, each way beside the others

The simulation is that of tests/control: its time is simulated and its seeds are fixed.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import replace
from multiprocessing import Pool
from pathlib import Path
from statistics import median
from time import perf_counter

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests" / "control")]

from control_cases import FORMS, careless, cut_off, deploy, fail_over, mourning, restart  # noqa: E402

from roadlb.control.events import Fleet, LoadReport, Tick  # noqa: E402
from roadlb.control.forms import Form, express  # noqa: E402
from roadlb.control.order import Order, Pictured, Proposed  # noqa: E402
from roadlb.control.plan import Plan, up_in  # noqa: E402
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, NodeId, Picture  # noqa: E402

UNIX_MS, SECOND = 1_800_000_000_000, 1_000_000
WEIGHTS, GENERIC = (Form.WEIGHTS,) * 3, (Form.GENERIC,) * 3
BOLD = {"chance": 2.0, "carried": 1.0}
BOLDER = {"chance": 0.0, "carried": 1.0}
PROOFS: dict[str, Callable[[int], object]] = {
    "deploy of 81%, load 0.6: pools": lambda s: deploy(s, 50, 21 + s % 16),
    "deploy of 81%, load 0.6: weights in one pool": lambda s: deploy(s, 50, 21 + s % 16, WEIGHTS),
    "deploy of 81%, load 0.6: left out until warm": lambda s: deploy(s, 50, 21 + s % 16, GENERIC),
    "deploy of 81%, load 0.6: no ramp": lambda s: deploy(s, 50, 21 + s % 16, on=False),
    "deploy of 81%, load 0.8: pools": lambda s: deploy(s, 50, 21 + s % 16, load=0.8),
    "deploy of 81%, load 0.8: weights in one pool": lambda s: deploy(s, 50, 21 + s % 16, WEIGHTS, 0.8),
    "deploy of 81%, load 0.8: left out until warm": lambda s: deploy(s, 50, 21 + s % 16, GENERIC, 0.8),
    "deploy of 81%, load 0.8: no ramp": lambda s: deploy(s, 50, 21 + s % 16, load=0.8, on=False),
    "the same at the same addresses: pools": lambda s: deploy(s, 50, 21 + s % 16, same=True),
    "deploy in 8 s, load 0.8: pools": lambda s: deploy(s, 30, 8, load=0.8),
    "deploy in 8 s, load 0.8: chance 2, carried 1": lambda s: deploy(s, 30, 8, load=0.8, **BOLD),
    "deploy in 8 s, load 0.8: proportion alone": lambda s: deploy(s, 30, 8, load=0.8, **BOLDER),
    "deploy in 8 s, load 1.3: pools": lambda s: deploy(s, 30, 8, load=1.3),
    "deploy in 8 s, load 1.3: chance 2, carried 1": lambda s: deploy(s, 30, 8, load=1.3, **BOLD),
    "deploy in 8 s, load 1.3: proportion alone": lambda s: deploy(s, 30, 8, load=1.3, **BOLDER),
    "all warm ones die: pools": lambda s: mourning(s, FORMS),
    "all warm ones die: weights in one pool": lambda s: mourning(s, WEIGHTS),
    "all warm ones die: left out until warm": lambda s: mourning(s, GENERIC),
    "all warm ones die: no ramp": lambda s: mourning(s, FORMS, on=False),
    "restarted with its old view, word within 0.4 s": restart,
    "restarted with its old view, word within 1.2 s": lambda s: restart(s, delay_ms=(400, 600)),
    "cut off 30 s, time to live 2 s": lambda s: cut_off(s, 2 * SECOND, 45),
    "cut off 30 s, time to live 5 s": lambda s: cut_off(s, 5 * SECOND, 45),
    "cut off 30 s, no time to live (gRPC)": lambda s: cut_off(s, 0, 45),
    "fail-over, second list 4 s older": lambda s: fail_over(s),
    "fail-over, no guard": lambda s: fail_over(s, guard=careless()),
    "fail-over, discovery not asked": lambda s: fail_over(s, fetch_s=(10, 11)),
    "fail-over, discovery answers in 0.4 to 0.6 s": lambda s: fail_over(s, fetch_s=(0.4, 0.6)),
    "fail-over, messages take up to 0.6 s": lambda s: fail_over(s, delay_ms=(5, 600)),
}


def one(job: tuple[str, int]) -> tuple[int, int, int, int, int]:
    """Fallen, late calls, drains, refused, requests."""
    world = PROOFS[job[0]](job[1])
    drains = sum(len(m.drained_told) > 0 for m in world.by_id.values())
    return len(world.fallen), len(world.late), drains, world.refused, world.requests


def prove(seeds: int, only: str) -> None:
    print("| case | nodes fallen | in seeds | drains | late calls | not served |")
    print("| --- | --- | --- | --- | --- | --- |")
    with Pool(2) as pool:
        for name in (n for n in PROOFS if any(word in n for word in only.split(","))):
            rows = pool.map(one, [(name, seed) for seed in range(seeds)])
            fallen, late, drains, refused, requests = (sum(column) for column in zip(*rows, strict=True))
            print(
                f"| {name} | {fallen} | {sum(r[0] > 0 for r in rows)} of {seeds} | {drains} | {late} "
                f"| {refused / requests:.1%} |",
                flush=True,
            )


def picture(generation: int, n: int, cold: int, change: int = 0) -> Picture:
    """`n` endpoints of which `cold` started 2 s ago; `change` of them drain."""
    nodes = [
        Endpoint(NodeId(f"node-{i}", UNIX_MS - 2_000 if i < cold else 0), "10.0.0.1", i) for i in range(n)
    ]
    for i in range(change):
        nodes[-1 - i] = replace(nodes[-1 - i], lifecycle=Lifecycle.DRAINING)
    return Picture(generation, {"grid": Cluster("grid", tuple(nodes))})


def timed(what: Callable[[], object]) -> tuple[float, object]:
    started = perf_counter()
    result = what()
    return (perf_counter() - started) * 1e3, result


def cost(n: int, times: int) -> list[float]:
    """Milliseconds: a first plan, a tick while a fifth is cold, a drain to its release, a plan, a form."""
    rows = []
    for _ in range(times):
        plan, guard = Plan(), Order()
        first = picture(1, n, n // 5)
        whole, (publish,) = timed(lambda: plan.handle(0, Fleet(first, UNIX_MS)))  # noqa: B023
        guard.handle(0, Proposed(publish.decisions))
        for e in first.clusters["grid"].endpoints:
            plan.handle(1, LoadReport("p", "grid", e.node, 20, 0, SECOND))
        plan.handle(SECOND, Tick())
        tick, _ = timed(lambda: plan.handle(2 * SECOND + 1, Tick()))  # noqa: B023
        told = picture(2, n, n // 5, 1)
        drain, actions = timed(lambda: guard.handle(2 * SECOND + 2, Pictured(2, up_in(told))))  # noqa: B023
        change, _ = timed(lambda: plan.handle(2 * SECOND + 2, Fleet(told, UNIX_MS)))  # noqa: B023
        form, _ = timed(lambda: express(Form.GRPC, actions[0].decisions))  # noqa: B023
        rows.append((whole, tick, drain, change, form))
    return [median(column) for column in zip(*rows, strict=True)]


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--prove", nargs="?", type=int, const=50, metavar="SEEDS")
    parser.add_argument("--only", default="", help="cases whose names have one of these, parted by commas")
    options = parser.parse_args()
    if options.prove:
        prove(options.prove, options.only)
        return
    print("| endpoints | first plan | tick | drain to its release | plan after one change | gRPC's form |")
    print("| --- | --- | --- | --- | --- | --- |")
    for n, times in ((10, 200), (100, 50), (1_000, 15), (10_000, 5)):
        print(f"| {n:,} | " + " | ".join(f"{ms:.2f} ms" for ms in cost(n, times)) + " |", flush=True)


if __name__ == "__main__":
    main()
