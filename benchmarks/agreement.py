"""The agreement in simulated time, over many seeds: the longest contradiction against the bound.

    PYTHONPATH=. python benchmarks/agreement.py [--seeds 1000 100 20] [--plot docs/design/agreement.png]
    PYTHONPATH=. python benchmarks/agreement.py --list --seeds 200 0 0 [--first 0]

Fleets of 12, 200 and 1,000 followers, two issuers, in rough weather (loss, delays of seconds, links cut one
way or both, processes stopped for up to 12 s, crashes, clocks 200 ppm off) and without.  For each: the
longest time for which one follower went on contradicting others, how often a version in force was used while
another follower exceeded it (must be 0), the time from a proposal to in force and to its use by the last
follower, and the CPU time of a run.  Fails if the bound is broken.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from roadlb.lab.model_check.fleet import BOUND_US, CHOICES, CLEAR, ROUGH, Fleet, Result, Weather
from roadlb.lab.model_check.lists import Walk

LENGTHS = {12: 60.0, 200: 60.0, 1000: 30.0}  # followers, and simulated seconds of one run


def one(followers: int, weather: Weather, lists: bool, seed: int) -> tuple[Result, float]:
    began = time.process_time()
    told = {"proposals": Walk(CHOICES).next} if lists else {}
    result = Fleet(seed, followers, LENGTHS[followers], weather, **told).run()
    return result, time.process_time() - began


def at(values: Sequence[int], share: float) -> str:
    """A quantile in seconds."""
    return f"{sorted(values)[min(len(values) - 1, int(share * len(values)))] / 1e6:.2f}" if values else "-"


def plot(path: str, longest: dict[int, list[int]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.4))
    for followers, values in longest.items():
        values = sorted(values)
        axes.step(
            [value / 1e6 for value in values],
            [(i + 1) / len(values) for i in range(len(values))],
            where="post",
            label=f"{followers} followers, {len(values)} seeds",
        )
    axes.axvline(BOUND_US / 1e6, color="black", linestyle="--", label=f"bound, {BOUND_US / 1e6:.2f} s")
    axes.set(
        xlabel="longest contradiction of a run, s", ylabel="share of runs", xlim=(0, None), ylim=(0, 1.02)
    )
    axes.legend(loc="lower right", fontsize=8)
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, nargs=3, default=[1000, 100, 20], help="for each size")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--first", type=int, default=0, help="of the seeds")
    parser.add_argument("--list", action="store_true", help="nodes among the proposals")
    parser.add_argument("--plot")
    told = parser.parse_args()
    longest: dict[int, list[int]] = {}
    bad = 0
    print(
        "followers  weather  seeds  longest: p50   p99   most (bound)  apart  across  versions"
        "  in force: p50   p99  used by all: p50   p99  messages/s each  CPU s/run"
    )
    with ProcessPoolExecutor(told.jobs) as pool:
        for followers, seeds in zip(LENGTHS, told.seeds, strict=True):
            for name, weather in (("rough", ROUGH), ("clear", CLEAR)) if seeds else ():
                count = seeds if weather is ROUGH else max(2, seeds // 10)
                done = list(
                    pool.map(
                        partial(one, followers, weather, told.list), range(told.first, told.first + count)
                    )
                )
                results = [result for result, _ in done]
                worst = [result.longest for result in results]
                if weather is ROUGH:
                    longest[followers] = worst
                across = sum(result.across for result in results)
                in_force = [us for result in results for us in result.in_force]
                used = [us for result in results for us in result.used]
                messages = sum(result.messages for result in results)
                rate = messages / count / followers / LENGTHS[followers]
                print(
                    f"{followers:9}  {name:7} {count:6}  {at(worst, 0.5):>12} {at(worst, 0.99):>6} "
                    f"{max(worst) / 1e6:6.2f} ({BOUND_US / 1e6:.2f}) "
                    f"{max(result.apart for result in results) / 1e6:6.2f} {across:7}  "
                    f"{sum(result.versions for result in results):8}  {at(in_force, 0.5):>12} "
                    f"{at(in_force, 0.99):>5} {at(used, 0.5):>16} {at(used, 0.99):>5}  {rate:15.1f}  "
                    f"{sum(cpu for _, cpu in done) / count:9.2f}",
                    flush=True,
                )
                bad += across + (max(worst) > BOUND_US)
    if told.plot:
        plot(told.plot, longest)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
