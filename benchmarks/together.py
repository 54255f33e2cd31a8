"""Plays of the whole house (`roadlb/lab/together`): sites, agreement, shared state at once, nine processes.

    python benchmarks/together.py play [--seeds 1 2 3] [--plays lost_with_its_leader parted by_seed]
    python benchmarks/together.py planted              each defect in its play, until a claim breaks

A line for each play as it ends; exits with 1 if one is not as it should be.
"""

from __future__ import annotations

import argparse
import sys
import time

import uvloop

from roadlb.lab.together.plays import Outcome, play

PLAYS = ("lost_with_its_leader", "parted", "by_seed")
# A defect of `roadlb.lab.mutants`, and the play that shows it.
PLANTED = {
    "TakesTheWhole": "parted",
    "FloorBesideTheSum": "parted",
    "ForgetsItsGifts": "lost_with_its_leader",
}


def row(what: str, told: Outcome, took_s: float) -> None:
    figures = "; ".join(f"{name} {us / 1e6:.1f} s" for name, us in told.took_us.items())
    print(
        f"{what}, seed {told.seed}: {took_s:.0f} s, {told.requests} requests, {told.orders} orders, "
        f"{told.faults} faults, {told.drains} drains; shares at most {told.shares.most:.7f}; "
        f"late {told.late_us / 1e6:.2f} of {told.bound_us / 1e6:g} s; "
        f"judge held up {told.loop_us / 1e6:.2f} s; broken: {', '.join(told.broken) or 'none'}; {figures}",
        flush=True,
    )
    for line in told.said[:5]:
        print(f"    {line[-600:]}")


def main() -> int:
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("what", choices=("play", "planted"))
    options.add_argument("--seeds", nargs="*", type=int, default=[1])
    options.add_argument("--seconds", type=float, default=30.0, help="of faults, in by_seed")
    options.add_argument("--plays", nargs="*", choices=PLAYS, default=list(PLAYS))
    options.add_argument("--bound", type=float, default=6.0, help="contradiction_s")
    options.add_argument("--margin", type=float, default=1.5)
    told = options.parse_args()
    wrong = 0
    plays = (
        [(what, "") for what in told.plays]
        if told.what == "play"
        else [(what, defect) for defect, what in PLANTED.items()]
    )
    for seed in told.seeds:
        for what, defect in plays:
            began = time.monotonic()
            outcome = uvloop.run(
                play(
                    what,
                    seed,
                    told.seconds,
                    told.bound,
                    told.margin,
                    {"balancer": defect} if defect else None,
                )
            )
            row(f"{what}, {defect}" if defect else what, outcome, time.monotonic() - began)
            wrong += outcome.sound is bool(defect)
    return min(1, wrong)


if __name__ == "__main__":
    sys.exit(main())
