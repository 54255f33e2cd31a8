"""Ways to shed, compared in the simulation of roadlb/lab/model/shedding.py: worth and lateness against load.

    python benchmarks/overload_sim.py [--loads 0.5,1,2] [--slow 4] [--connections 341] [--png FILE]
    python benchmarks/overload_sim.py --compare            every way, with bursts and rude clients
    python benchmarks/overload_sim.py --targets 0.85,0.95  the chosen way with other CPU targets

Loads are multiples of what takes all CPU if everything is served.  `--slow 4` is a machine on which each
thing costs four times the CPU; it plays four times as fast.  Time is simulated and seeds are fixed.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from math import exp
from pathlib import Path
from statistics import fmean, pstdev

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from roadlb.lab.model.shedding import ORDER, READ, SECOND, Controller, Costs, Sim, Site  # noqa: E402

from roadlb.overload import controller as chosen  # noqa: E402
from roadlb.overload.controller import Action, Shed  # noqa: E402
from roadlb.overload.meter import Reading  # noqa: E402

AIM_US = 500_000
REFUSAL = 40 / 230  # what a refusal costs of a served request, by `Costs`
START, END = 2 * SECOND, 5 * SECOND  # of what is judged; a run ends a second later


class Integral:
    """Share moved by the distance of the mean CPU share from a target."""

    def __init__(self, target: float = 0.85) -> None:
        self.target, self.cpu, self.sum, self.share = target, 0.0, 0.0, 0.0

    def handle(self, now: int, r: Reading) -> list[Action]:
        seconds = r.interval_us / 1e6
        self.cpu += (r.cpu_share - self.cpu) * (1 - exp(-seconds / 0.2))
        error = self.cpu - self.target
        self.sum = min(0.95, max(0.0, self.sum + 2 * error * seconds))
        self.share = min(0.95, max(0.0, self.sum + error)) if self.sum > 0 or error > 0 else 0.0
        return [Shed(self.share)]


class Delay:
    """Share moved by the loop's delay over a target, as CoDel moves its rate of drops."""

    def __init__(self, target_us: float = 30_000, most: float = 0.95) -> None:
        self.target, self.most, self.share = target_us, most, 0.0

    def handle(self, now: int, r: Reading) -> list[Action]:
        error = min(2.0, r.late_mean_us / self.target - 1)
        moved = self.share + r.interval_us / 1e6 * error * (1 if error > 0 else 0.5)
        self.share = min(self.most, max(0.0, moved))
        return [Shed(self.share)]


class Aimd:
    """What is kept grows by steps and falls by a factor, as TCP's window does."""

    def __init__(self) -> None:
        self.kept = 1.0

    def handle(self, now: int, r: Reading) -> list[Action]:
        over = r.cpu_share > 0.92 or r.late_mean_us > 30_000
        self.kept = max(0.05, self.kept * 0.85) if over else min(1.0, self.kept + 0.05)
        return [Shed(1 - self.kept)]


class Model:
    """Costs of a served and a refused request by recursive least squares, and the share that they ask for."""

    def __init__(self, target: float = 0.92) -> None:
        self.target, self.served, self.refused = target, 0.0, 0.0
        self.p = [[1e-2, 0.0], [0.0, 1e-2]]
        self.rate, self.share = 0.0, 0.0

    def handle(self, now: int, r: Reading) -> list[Action]:
        x = (float(r.arrived_count - r.refused_count), float(r.refused_count))
        y = r.cpu_share * r.interval_us / 100_000
        px = [self.p[i][0] * x[0] + self.p[i][1] * x[1] for i in (0, 1)]
        scale = 0.98 + x[0] * px[0] + x[1] * px[1]
        error = y - self.served * x[0] - self.refused * x[1]
        self.served = max(1e-6, self.served + px[0] / scale * error)
        self.refused = min(self.served, max(0.0, self.refused + px[1] / scale * error))
        self.p = [[min(1e-2, (self.p[i][j] - px[i] * px[j] / scale) / 0.98) for j in (0, 1)] for i in (0, 1)]
        self.rate += (r.arrived_count * 100_000 / r.interval_us - self.rate) * 0.3
        over, gain = self.served * self.rate - self.target, (self.served - self.refused) * self.rate
        self.share = min(0.95, max(0.0, over / gain)) if over > 0 and gain > 0 else 0.0
        return [Shed(self.share)]


WAYS: dict[str, Callable[[], Controller | None]] = {
    "none": lambda: None,
    "integral 0.85": Integral,
    "integral 0.95": lambda: Integral(0.95),
    "delay 30 ms": Delay,
    "delay 60 ms to 0.75": lambda: Delay(60_000, 0.75),
    "aimd": Aimd,
    "model": Model,
    "chosen": lambda: chosen.Controller(AIM_US, REFUSAL),
}


def steady(site: Site, load: float, way: str, seed: int, rude: int = 0) -> Sim:
    return Sim(site, lambda t: load * site.capacity, WAYS[way](), seed, rude=rude).play(END + SECOND)


def burst(site: Site, base: float, way: str, seed: int) -> Sim:
    """Eight times the reads from START on for 2 s, at a load of `base` else."""

    def rate(t: int) -> float:
        return base * site.capacity * (0.3 + 0.7 * (8 if START <= t < START + 2 * SECOND else 1))

    orders = 0.3 * base * site.capacity
    return Sim(site, rate, WAYS[way](), seed, order_share=lambda t: orders / rate(t)).play(END + 3 * SECOND)


def row(s: Sim) -> tuple[float, ...]:
    """Worth a second, share of orders and of reads served, refusals a second, lateness in ms, share shed."""
    samples = [x for x in s.samples if START <= x.at < END]
    return (
        s.worth(START, END),
        s.share_served(ORDER, START, END),
        s.share_served(READ, START, END),
        s.refused / s.now * SECOND,
        fmean(x.reading.late_mean_us for x in samples) / 1000,
        max(x.reading.late_max_us for x in samples) / 1000,
        fmean(x.share for x in samples),
    )


def sweep(site: Site, loads: Sequence[float], png: str) -> None:
    print(
        f"{'load':>5} {'way':8}{'worth/s':>9}{'orders':>8}{'reads':>7}{'refused/s':>11}{'late ms':>9}"
        f"{'most':>6}{'shed':>6}"
    )
    table: dict[str, list[tuple[float, ...]]] = {"none": [], "chosen": []}
    for load in loads:
        for way, rows in table.items():
            rows.append(row(steady(site, load, way, 1)))
            worth, orders, reads, refused, late, most, shed = rows[-1]
            print(
                f"{load:5.2f} {way:8}{worth:9.0f}{orders:8.2f}{reads:7.2f}{refused:11.0f}{late:9.1f}"
                f"{most:6.0f}{shed:6.2f}",
                flush=True,
            )
    if png:
        plot(loads, table, png)


def plot(loads: Sequence[float], table: dict[str, list[tuple[float, ...]]], png: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    for axis, column, title in zip(
        axes,
        (0, 3, 4),
        ("worth served a second", "refused a second", "loop's mean lateness, ms"),
        strict=True,
    ):
        for name, way in (("without", "none"), ("with", "chosen")):
            axis.plot(loads, [r[column] for r in table[way]], "o-", label=name)
        axis.set(title=title, xlabel="load (1: serving all takes all CPU)", xscale="log", ylim=(0, None))
        axis.set_xticks([x for x in loads if x in (0.5, 1, 2, 4, 8)])
        axis.xaxis.set_major_formatter("{x:g}")
        axis.minorticks_off()
        axis.legend()
    figure.tight_layout()
    figure.savefig(png, dpi=110)
    print("plot in", png)


def compare(site: Site, loads: Sequence[float], ways: Sequence[str]) -> None:
    """Worth a second at each load (mean of two seeds), the share's deviation; a burst; five rude clients."""
    print(
        f"{'way':22}"
        + "".join(f"{load:>11g}" for load in loads)
        + "   burst: worth orders   reads 1 s, 2 s after   rude"
    )
    for way in ways:
        cells = []
        for load in loads:
            sims = [steady(site, load, way, seed) for seed in (1, 2)]
            deviation = max(pstdev(x.share for x in s.samples if START <= x.at < END) for s in sims)
            cells.append(f"{fmean(s.worth(START, END) for s in sims):6.0f}/{deviation:.2f}")
        s, over = burst(site, 0.7, way, 1), START + 2 * SECOND
        after = [s.share_served(READ, over + i * SECOND, over + (i + 1) * SECOND) for i in (0, 1)]
        rude = steady(site, 0.6, way, 1, rude=5).worth(START, END)
        print(
            f"{way:22}"
            + "".join(f"{c:>11}" for c in cells)
            + f"{s.worth(START, over):15.0f} {s.share_served(ORDER, START, over):6.2f}"
            f"{after[0]:15.2f}, {after[1]:.2f}{rude:13.0f}",
            flush=True,
        )


def numbers(text: str) -> list[float]:
    return [float(x) for x in text.split(",")]


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--loads", type=numbers, default=[0.5, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 8])
    parser.add_argument("--slow", type=float, default=4, help="CPU costs, as a multiple of 230 us a request")
    parser.add_argument("--cores", type=float, default=0.7)
    parser.add_argument("--connections", type=int, default=341)
    parser.add_argument("--png", default="")
    parser.add_argument("--compare", action="store_true")
    parser.add_argument("--targets", type=numbers, default=[])
    told = parser.parse_args()
    site = Site(costs=Costs().times(told.slow), cores=told.cores, connections=told.connections)
    if told.targets:
        compare_targets(site, told.loads, told.targets)
    elif told.compare:
        compare(site, told.loads, list(WAYS))
    else:
        sweep(site, told.loads, told.png)


def compare_targets(site: Site, loads: Sequence[float], targets: Sequence[float]) -> None:
    usual = chosen.TARGET_CPU_SHARE
    for target in targets:
        chosen.TARGET_CPU_SHARE = target
        WAYS[f"target {target:g}"] = WAYS["chosen"]
        compare(site, loads, [f"target {target:g}"])
    chosen.TARGET_CPU_SHARE = usual


if __name__ == "__main__":
    main()
