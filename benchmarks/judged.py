"""Judgements of servers: how long one that errs is avoided on others' word, and what it costs till it is.

    python benchmarks/judged.py errors [--seeds 3] [--seconds 20] [--balancers 12 40 200]

Decision modules with their shared state, driven directly in simulated time: seeds are fixed, and the figures
do not depend on the machine.  Each of 20 servers gets 15 requests a second, three in ten of them orders,
whatever the number of balancers; one of them errs, at once, in so many of its answers.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from roadlb.lab.model.told_fleet import ORDER, SECOND, Air, ToldFleet  # noqa: E402

SERVERS, EACH, ERRING = 20, 15, b"node-7"
RATES = (0.01, 0.05, 0.1, 0.3, 0.6, 1.0)


@dataclass(frozen=True)
class Found:
    """Of one run."""

    avoided: float  # part of the time, over all balancers
    until: float | None  # seconds until all avoided it at once; None: never
    orders: int  # that failed there until then, or in the whole run
    reads: int
    messages: float  # bytes a second of each balancer


def erring(
    balancers: int, error: float, seed: int, seconds: float, air: Air | None = None, orders: float = 0.3
) -> Found:
    f = ToldFleet(balancers, SERVERS, seed, True, air, orders=orders)
    f.play(4, SERVERS * EACH)
    began, before = f.now, f.bytes
    f.erring[ERRING] = error
    f.play(seconds, SERVERS * EACH)
    all_avoid = f.all_avoid.get(ERRING)
    failed = [s for s in f.sent if s.server == ERRING and not s.good and s.at <= (all_avoid or f.now)]
    lost = sum(s.cls == ORDER for s in failed)
    return Found(
        f.avoided_us.get(ERRING, 0) / balancers / seconds / SECOND,
        None if all_avoid is None else (all_avoid - began) / SECOND,
        lost,
        len(failed) - lost,
        (f.bytes - before) / balancers / seconds,
    )


def table(sizes: list[int], seeds: int, seconds: float) -> None:
    print("balancers  errors  avoided  until all avoid it, s       orders  reads  bytes/s each")
    for balancers in sizes:
        for error in RATES:
            runs = [erring(balancers, error, seed, seconds) for seed in range(1, seeds + 1)]
            until = ", ".join("-" if r.until is None else f"{r.until:.2f}" for r in runs)
            print(
                f"{balancers:>9}{error:>8.0%}{fmean(r.avoided for r in runs):>9.2%}  {until:26}"
                f"{fmean(r.orders for r in runs):>7.1f}{fmean(r.reads for r in runs):>7.1f}"
                f"{fmean(r.messages for r in runs):>14.0f}",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("errors",))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--balancers", type=int, nargs="+", default=[12, 40, 200])
    asked = parser.parse_args()
    table(asked.balancers, asked.seeds, asked.seconds)


if __name__ == "__main__":
    main()
