"""The bound of the agreement over real processes: nine of them, faults by a seed, judged by what was sent.

    python benchmarks/agreement_processes.py --seeds 50 --out agreement.json --plot agreement.svg
    python benchmarks/agreement_processes.py --seeds 3 --defect balancer=floor     # is it found?

Each seed plays `--seconds` of turns between two customers (`roadlb/lab/agreement/play.py`) over a stand-in
store, two control services and six balancers without a data path, with links dropped, silenced, slowed and
reset, and processes stopped, killed and started again.  `--whole` plays whole balancers instead, with clients
and nodes, judged by drains (`roadlb/lab/agreement/whole.py`), `--pressed` judges them by quotas
(`pressed.py`).  It needs the extras `control` and `lab`.
"""

from __future__ import annotations

import argparse
import json
import signal
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Any

import uvloop

from roadlb.lab.agreement import pressed, whole
from roadlb.lab.agreement.ends import DidNotCome
from roadlb.lab.agreement.play import Outcome, play

DEFECTS = (
    "balancer=floor",
    "balancer=deaf",
    "balancer=wall",
    "balancer=unfenced",
    "control=early",
    "control=unfenced",
    "control=mute",
    "balancer-3=deaf",
)  # with --whole: deaf and control=mute, with --pressed: deaf


def each(
    told: argparse.Namespace, played: Callable[..., Coroutine[Any, Any, Any]], line: Callable[[Any], str]
) -> list[dict[str, Any]]:
    """Plays each seed, prints its line, and keeps what was played; a row with `error` is of one that did not
    come to an end."""
    rows = list[dict[str, Any]]()
    for seed in range(told.first, told.first + told.seeds):
        try:
            one = uvloop.run(
                played(
                    seed,
                    told.seconds,
                    told.bound,
                    not told.quiet,
                    dict(word.split("=") for word in told.defect),
                )
            )
        except DidNotCome as e:
            print(f"{seed:>5} did not settle: {e}", flush=True)
            rows.append({"seed": seed, "error": "\n".join((str(e), *e.__notes__))})
            continue
        rows.append({**asdict(one), "sound": one.sound})
        print(f"{seed:>5} {line(one)}{'' if one.sound else '  BROKEN'}", flush=True)
    if told.out:
        Path(told.out).write_text(json.dumps(rows, indent=1))
    return rows


def turns(told: argparse.Namespace) -> None:
    """Balancers without a data path: a line for each seed, and what came of all."""
    print(
        f"{'seed':>5} {'turns':>6} {'lost':>5} {'judged':>7} {'whole':>6} {'longest s':>10} {'bound s':>8} "
        f"{'after ms':>9} {'faults':>7} {'requests':>9}"
    )

    def line(one: Outcome) -> str:
        return (
            f"{one.turns:>6} {one.lost:>5} {one.judged:>7} {one.whole:>6} {one.longest_us / 1e6:>10.3f} "
            f"{one.bound_us / 1e6:>8.1f} {after(one)} {one.faults:>7} {one.requests:>9}"
        )

    conclude(each(told, play, line), told.plot)


def after(one: Any) -> str:
    return f"{f'{one.after_us / 1e3:.1f}' if one.after_us >= 0 else '-':>9}"


def drains(told: argparse.Namespace) -> None:
    """Whole balancers: a line for each seed."""
    print(
        f"{'seed':>5} {'drains':>7} {'reached':>8} {'longest s':>10} {'complete':>9} {'after ms':>9} "
        f"{'kept from s':>12} {'faults':>7} {'requests':>9}"
    )

    def line(one: Any) -> str:
        return (
            f"{one.drains:>7} {one.reached:>8} {one.longest_us / 1e6:>10.3f} {one.complete:>9} "
            f"{after(one)} {one.kept_from_us / 1e6:>12.3f} {one.faults:>7} {one.requests:>9}"
            f"{'  did not settle' if one.unsettled else ''}"
        )

    each(told, whole.play, line)


def quotas(told: argparse.Namespace) -> None:
    """Whole balancers that are pressed: a line for each seed."""
    print(
        f"{'seed':>5} {'turns':>6} {'windows':>8} {'telling':>8} {'served of it':>13} {'at worst':>9} "
        f"{'by chance':>10} {'refused':>8} {'faults':>7} {'requests':>9}"
    )

    def line(one: Any) -> str:
        mean = sum(its for _, _, its in one.windows) / max(1, sum(served for _, served, _ in one.windows))
        return (
            f"{one.turns:>6} {len(one.windows):>8} {one.telling:>8} {mean:>13.3f} "
            f"{max(one.shares, default=0):>9.3f} {one.by_chance:>10.1e} {one.refused:>8.3f} "
            f"{one.faults:>7} {one.requests:>9}"
        )

    each(told, pressed.play, line)


def plot(rows: list[dict[str, Any]], file: str) -> None:
    """The share of turns, and of runs by their longest, whose contradictions lasted no longer; and how long
    it was from the order to the first request that it grants."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    for label, us in (
        ("each turn", [us for row in rows for us in row["each_us"]]),
        ("the longest of each run", [row["longest_us"] for row in rows]),
        ("order to first use", [us for row in rows for us in row["force_us"]]),
    ):
        each = sorted(one / 1e6 for one in us)
        axes.step(each, [(i + 1) / len(each) for i in range(len(each))], where="post", label=label)
    axes.axvline(rows[0]["bound_us"] / 1e6, color="tab:red", label="bound")
    axes.set(xlabel="seconds from the order", ylabel="share", ylim=(0, 1.02), xlim=(0, None))
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(file)


def summary(rows: list[dict[str, Any]]) -> None:
    print(
        f"{sum(row['turns'] for row in rows)} turns under {sum(row['faults'] for row in rows)} faults in "
        f"{len(rows)} runs, {sum(row['judged'] for row in rows)} judged for the bound, "
        f"{sum(row['whole'] for row in rows)} of them seen for longer than it, "
        f"{sum(row['granted'] for row in rows)} for the instant; lost {sum(row['lost'] for row in rows)}"
    )
    for what, us in (
        ("the longest contradiction of a run", [row["longest_us"] for row in rows]),
        ("order to the first request granted", [us for row in rows for us in row["force_us"]]),
    ):
        each = sorted(one / 1e6 for one in us)
        if each:
            print(
                f"{what}: p50 {each[len(each) // 2]:.3f} s, p99 {each[int(len(each) * 0.99)]:.3f} s, "
                f"at most {each[-1]:.3f} s"
            )
    print(f"broken: {sum(not row['sound'] for row in rows)} runs")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--bound", type=float, default=3.0, help="agreement.contradiction_s")
    parser.add_argument("--quiet", action="store_true", help="without faults")
    parser.add_argument("--defect", action="append", default=[], choices=DEFECTS)
    parser.add_argument("--whole", action="store_true", help="balancers with their data path, by drains")
    parser.add_argument("--pressed", action="store_true", help="balancers with their data path, by quotas")
    parser.add_argument("--out")
    parser.add_argument("--plot")
    parser.add_argument("--read", nargs="+", help="what several calls have written with --out, as one")
    told = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # its processes end with it
    if told.read:
        conclude([row for file in told.read for row in json.loads(Path(file).read_text())], told.plot)
    else:
        (drains if told.whole else quotas if told.pressed else turns)(told)


def conclude(rows: list[dict[str, Any]], file: str | None) -> None:
    """Of the runs that came to an end."""
    if ended := [row for row in rows if "error" not in row]:
        summary(ended)
        if file:
            plot(ended, file)


if __name__ == "__main__":
    main()
