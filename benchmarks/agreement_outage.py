"""A minute without any control service, under load: what is served with grants at their floors.

    PYTHONPATH=. python benchmarks/agreement_outage.py [--seeds 6] [--jobs 2] [--only rough ...]
    PYTHONPATH=. python benchmarks/agreement_outage.py --restarts --seeds 100 [--forget]

Whole balancers in simulated time (`roadlb/lab/followers/`) follow one control service, which is away for the
60 s in which all befalls.  Each incident is played with the control service there, then away with the table's
own floors, and away with floors as an operator states them (STATED).  For each: the part of worth served, of
the worst 10 s, of each customer within its share, nodes that fell, rules broken, and the difference to the
undisturbed run of the same seed in points.

`--restarts`: balancers crash and return in a shrink while control and discovery are away
(`roadlb/lab/followers/restarts.py`), with `--forget` without what they had stored; a line for each seed.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from statistics import mean
from typing import Any

from roadlb.agreement.events import Standing
from roadlb.lab.followers.rehearsal import Plan, play
from roadlb.lab.followers.restarts import Restarts, restarts
from roadlb.lab.incident.load import read

AWAY_S = 8.0, 68.0
HEAD = """
duration_s = 76
[fleet]
nodes = 4
[traffic]
quota_per_s = 140
rate = {rate}
"""


def step(do: str, **words: float | str) -> str:
    """One of an incident's steps, as its file has it."""
    return "\n".join(("[[step]]", *(f"{key} = {word!r}" for key, word in {"do": do, **words}.items()), ""))


# The rate of arrivals, and what befalls.
STEPS = {
    "calm": (70, ""),
    # One customer sends fifteen times its share for 40 s: quotas say whose requests go first.
    "flood": (80, step("flood", at_s=18, for_s=40, times=15, tenant="cesty-vychod")),
    # What repeats and copies are for: nodes that stop, die, err and slow down, and connections that break.
    "rough": (
        80,
        step("pause", at_s=14, for_s=2.5, count=2)
        + step("errors", at_s=22, for_s=10, answers=0.3, count=2)
        + step("reset", at_s=30, connections=0.5)
        + step("slow", at_s=36, for_s=12, factor=3, count=2)
        + step("kill_node", at_s=52, count=1),
    ),
}
# A class that may be repeated by its nature, the file's attempts, cold nodes as they are, and a part of each
# customer's quota that no version goes below.
STATED = {
    "classes.grid-read.effect": "idempotent",
    "limits.max_attempts": "5",
    "limits.second_copies": "true",
    "invariants.cold_from": "0.12",
    "invariants.cold_us": "23000000",
    "invariants.fall_multiple": "3",
    "tenants.energia-sever.quota_per_s": "56",
    "tenants.cesty-vychod.quota_per_s": "14",
}
PLANS = {"there": Plan(), "away": Plan(away=AWAY_S), "stated": Plan(away=AWAY_S, floors=STATED)}


def one(job: tuple[str, str, int]) -> dict[str, Any]:
    incident, plan, seed = job
    rate, steps = STEPS[incident]
    told = read(f'title = "{incident}"' + HEAD.format(rate=rate) + steps, incident)
    played = play(told, seed, PLANS[plan])
    worth, figures = played.verdict.worth, played.verdict.figures
    away = {standing: count for (gone, standing), count in played.standings.items() if gone}
    return {
        "whole": worth.whole,
        "worst": worth.worst_window,
        "tenants": dict(worth.by_tenant),
        "classes": dict(worth.by_class),
        "fell": len(figures.fallen),
        "broken": sum(played.verdict.counts.values()),
        "errors": len(played.errors),
        "lapsed": away.get(Standing.LAPSED, 0) / max(1, sum(away.values())),
    }


def play_restarts(seeds: range, jobs: int, stores: bool) -> None:
    print("seed  drained nodes  requests to them  cold nodes fell  returns  worth %  broken  errors")
    all_of_it = list[Restarts]()
    with ProcessPoolExecutor(jobs) as pool:
        for seed, found in zip(seeds, pool.map(partial(restarts, stores=stores), seeds), strict=True):
            all_of_it.append(found)
            print(
                f"{seed:4} {found.drained:14} {found.astray:17} {found.fell:16} {found.returns:8} "
                f"{100 * found.worth:8.2f} {found.broken:7} {found.errors:7}",
                flush=True,
            )
    seeds_with = {
        what: sum(getattr(one, what) > 0 for one in all_of_it)
        for what in ("astray", "fell", "broken", "errors")
    }
    print(
        f"{len(all_of_it)} seeds, {sum(one.returns for one in all_of_it)} returns; requests to drained "
        f"nodes in {seeds_with['astray']}, cold nodes that fell in {seeds_with['fell']}, broken "
        f"rules in {seeds_with['broken']}, errors in {seeds_with['errors']}; worth "
        f"{100 * min(one.worth for one in all_of_it):.1f} to "
        f"{100 * max(one.worth for one in all_of_it):.1f}%",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", nargs="*", choices=list(STEPS), default=list(STEPS))
    parser.add_argument("--restarts", action="store_true", help="balancers that return, in their place")
    parser.add_argument("--forget", action="store_true", help="with --restarts: without their stores")
    told = parser.parse_args()
    seeds = range(told.first, told.first + told.seeds)
    if told.restarts:
        play_restarts(seeds, told.jobs, not told.forget)
        return
    jobs = [(incident, plan, seed) for seed, incident, plan in product(seeds, told.only, PLANS)]
    found: dict[tuple[str, str, int], dict[str, Any]] = {}
    with ProcessPoolExecutor(told.jobs) as pool:
        for job, row in zip(jobs, pool.map(one, jobs), strict=True):
            found[job] = row
            print(*job, *(f"{key} {value}" for key, value in row.items()), flush=True)
    print(
        "incident  control  worth %  worst 10 s  least customer  lapsed  fell  broken  errors  "
        "points lost: mean  most"
    )
    for incident, plan in product(told.only, PLANS):
        rows = [found[incident, plan, seed] for seed in seeds]
        lost = [
            100 * (found[incident, "there", seed]["whole"] - found[incident, plan, seed]["whole"])
            for seed in seeds
        ]
        print(
            f"{incident:9} {plan:8} {100 * mean(r['whole'] for r in rows):7.2f} "
            f"{100 * mean(r['worst'] for r in rows):11.2f} "
            f"{100 * mean(min(r['tenants'].values()) for r in rows):15.2f} "
            f"{mean(r['lapsed'] for r in rows):7.2f} {sum(r['fell'] for r in rows):5} "
            f"{sum(r['broken'] for r in rows):7} {sum(r['errors'] for r in rows):7} "
            f"{mean(lost):18.3f} {max(lost):5.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
