"""Planted defects of whole sites in the simulated world: which figure finds which.

    python benchmarks/rig_planted.py [--seeds 2 3] [--processes 2] [--defects "blind spill"]

Two incidents: a hall is lost whole and comes back (`examples/incidents/hall-lost.toml`), and nodes stand
still one by one (`node-pause.toml`), in which no site is lost.  Each is played sound and with each defect,
every run in a process of its own; a figure is printed beside the sound one.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

from apart import ask

from roadlb.lab import mutants

ROOT = Path(__file__).resolve().parent.parent
LOST, BACK = 12, 27  # seconds, in hall-lost.toml
KNOWN = 4  # after the loss, all have found out


def run(incident: str, seed: int, defect: str) -> dict[str, Any]:
    job = {"incident": (ROOT / "examples" / "incidents" / incident).read_text(), "seed": seed}
    return ask(
        [ROOT / "benchmarks" / "sites_runs.py"], job, ROOT, mutants.variables(defect) if defect else None
    )


def figures(lost: dict[str, Any], paused: dict[str, Any]) -> dict[str, float]:
    seconds = {int(second): served / asked for second, (asked, served) in lost["seconds"].items() if asked}
    out = [share for second, share in seconds.items() if LOST + KNOWN <= second < BACK]
    after = [share for second, share in seconds.items() if BACK <= second < 42]
    told = lost["order"]["within 0.5 s"]
    return {
        "whole run": 100 * lost["whole"],
        "outage, mean": 100 * mean(out),
        "outage, worst s": 100 * min(out),
        "return, worst s": 100 * min(after),
        "orders": 100 * lost["classes"]["order"],
        "order of refusals kept": 100 * told["kept"] / max(1, told["refusals"]),
        "returns without steps": float(skipped(lost["changes"])),
        "felled": float(len(lost["fell"])),
        "false losses, halls": float(
            sum(state == "lost" and (site != 1 or at < LOST) for at, _, site, state, _ in lost["changes"])
        ),
        "false losses, nodes": float(sum(state == "lost" for _, _, _, state, _ in paused["changes"])),
        "paused, whole run": 100 * paused["whole"],
    }


def skipped(changes: list[list[Any]]) -> int:
    """Sites that were lost for more than a second, and whole with the next change."""
    before: dict[tuple[int, int], tuple[float, str]] = {}
    count = 0
    for at, balancer, site, state, _ in changes:
        since, was = before.get((balancer, site), (0.0, ""))
        count += was == "lost" and state == "whole" and at - since > 1.0
        before[balancer, site] = at, state
    return count


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=int, nargs="+", default=[2, 3])
    options.add_argument("--processes", type=int, default=2)
    options.add_argument("--defects", nargs="*", choices=list(mutants.DEFECTS), default=list(mutants.DEFECTS))
    told = options.parse_args()
    names = ["", *told.defects]
    jobs = [
        (incident, seed, name)
        for name in names
        for seed in told.seeds
        for incident in ("hall-lost.toml", "node-pause.toml")
    ]
    with ThreadPoolExecutor(told.processes) as pool:
        runs = dict(zip(jobs, pool.map(lambda job: run(*job), jobs), strict=True))
    rows = {
        name: [
            figures(runs["hall-lost.toml", seed, name], runs["node-pause.toml", seed, name])
            for seed in told.seeds
        ]
        for name in names
    }
    print(
        "| figure, mean of seeds "
        + ", ".join(map(str, told.seeds))
        + " | "
        + " | ".join(name or "sound" for name in names)
        + " |"
    )
    print("| --- " * (len(names) + 1) + "|")
    for figure in rows[""][0]:
        print(
            f"| {figure} | "
            + " | ".join(f"{mean(row[figure] for row in rows[name]):.1f}" for name in names)
            + " |"
        )


if __name__ == "__main__":
    main()
