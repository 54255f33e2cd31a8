"""Nine balancers that share, each a process, under faults by a seed: are they within their bounds?

    python benchmarks/shared_processes.py --seeds 50 [--first 0] [--seconds 40]     55 s a seed, about 3 cores
    python benchmarks/shared_processes.py --directed [--seeds 3]       the hard cases, each on purpose
    python benchmarks/shared_processes.py --rates [--seeds 5]          what all repeat, and dial
    python benchmarks/shared_processes.py --planted                    is each defect found?

The verdict comes from what the processes recorded of their shares, and from nodes and clients; a busy machine
changes no verdict.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from roadlb.lab.sharing import rates  # noqa: E402
from roadlb.lab.sharing.directed import CASES  # noqa: E402
from roadlb.lab.sharing.play import PLANTED, Outcome, play  # noqa: E402


def run(seed: int, seconds: float, defect: str = "", turn: str = "", cases: Sequence[str] = ()) -> Outcome:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(seed, seconds, defect, turn, cases))


def run_rates(name: str, seed: int, defect: str = "") -> rates.Rates:
    began = time.monotonic()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        one = runner.run(rates.play_rates(seed, defect))
    print(
        f"{name}: {'sound' if one.sound else 'NOT SOUND'}; of what is said {one.repeats:.2f} in {one.made} "
        f"repeats, {one.dials:.2f} in {one.sent} requests to a hall that is away, one held {one.moved:.1f} "
        f"parts; sum of shares {one.shares.most:.7f}; {one.faults} faults, late {one.late_s:.1f} s; "
        f"{time.monotonic() - began:.0f} s{''.join('; ' + line for line in one.said)}",
        flush=True,
    )
    if not one.sound:
        print(f"    {one.shares}")
    return one


def show(name: str, one: Outcome, began: float) -> None:
    print(
        f"{name}: {'sound' if one.sound else 'NOT SOUND'}; sum of shares {one.shares.most:.7f}, one held "
        f"{one.moved:.1f} parts; cold {one.cold:.2f} of a fall, {one.fell} fell; customer "
        f"{one.customer:.2f} of its quota; repeated {one.repeated}; {one.faults} faults, late "
        f"{one.late_s:.1f} s; {time.monotonic() - began:.0f} s"
        f"{''.join('; ' + line for line in (*one.said, *one.missing))}",
        flush=True,
    )
    if not one.sound:
        print(f"    {one.shares}")


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=40)
    for what in ("planted", "directed", "rates"):
        parser.add_argument(f"--{what}", action="store_true")
    asked = parser.parse_args()
    failed = 0
    if asked.planted:
        for defect, turn in PLANTED.items():
            began = time.monotonic()
            one = run(asked.first, 0, defect, turn)
            failed += one.sound
            show(f"{defect}, {turn}", one, began)
        for defect, what in rates.PLANTED.items():
            failed += run_rates(f"{defect}, {what}", asked.first, defect).sound
        return failed
    for seed in range(asked.first, asked.first + asked.seeds):
        began = time.monotonic()
        if asked.rates:
            failed += not run_rates(f"rates, seed {seed}", seed).sound
            continue
        for case in CASES if asked.directed else ():
            one = run(seed, 0, cases=[case])
            failed += not one.sound
            show(f"{case}, seed {seed}", one, began)
            began = time.monotonic()
        if asked.directed:
            continue
        one = run(seed, asked.seconds)
        failed += not one.sound
        show(f"seed {seed}", one, began)
    return failed


if __name__ == "__main__":
    sys.exit(main())
