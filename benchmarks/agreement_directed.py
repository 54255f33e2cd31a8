"""Planted defects of the agreement, each found at every seed, and the sound program at none.

    PYTHONPATH=. python benchmarks/agreement_directed.py [--seeds 3] [--only cut killed] [--out rows.jsonl]
    PYTHONPATH=. python benchmarks/agreement_directed.py --read rows.jsonl

Nine real processes for each play (`roadlb/lab/agreement/directed.py`): the sound program, and each defect
that the play is there to show.  A line for each: the longest that was sent of what was taken, and how long
after it was granted to others.  Fails if a defect is not found, or the sound program is.  It needs the extras
`control` and `lab`.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from roadlb.lab.agreement.directed import DEFECTS, PLAYS, play
from roadlb.lab.agreement.ends import DidNotCome


def one(name: str, seed: int, defect: str, bound_s: float) -> dict[str, Any]:
    """A play as a row: `found`, or `error` if it did not come to its end."""
    row: dict[str, Any] = {"play": name, "seed": seed, "defect": defect, "load": os.getloadavg()[0]}
    try:
        outcome = uvloop.run(
            play(name, seed, contradiction_s=bound_s, defects=dict([defect.split("=")] if defect else []))
        )
    except DidNotCome as e:
        return row | {"error": str(e), "notes": e.__notes__}
    worst = max(outcome.verdicts, key=lambda v: (not v.sound, v.after_us, v.lasted_us))
    return row | {
        "found": not outcome.sound,
        "by": worst.balancer,
        "lasted_s": worst.lasted_us / 1e6,
        "after_s": worst.after_us / 1e6,
        "bound_s": bound_s,
        "notes": outcome.notes,
    }


def line(row: dict[str, Any]) -> str:
    if "error" in row:
        said = f"did not settle: {row['error']}"
    else:
        lasted = f"{row['lasted_s']:.2f}" if row["lasted_s"] >= 0 else "-"
        after = f"{row['after_s']:.2f}" if row["after_s"] >= 0 else "-"
        right = row["found"] == bool(row["defect"])
        said = (
            f"{'found' if row['found'] else 'not found':9} {row['by']:10} lasted {lasted:>5} s of "
            f"{row['bound_s']:g}, after {after:>5} s{'' if right else '  WRONG'}"
        )
    return f"{row['play']:7} {row['defect'] or 'sound':18} {row['seed']:>4} load {row['load']:5.1f}  {said}"


def summary(rows: list[dict[str, Any]]) -> int:
    """A line for each play and program; how many are wrong."""
    wrong = 0
    for name, defect in sorted({(row["play"], row["defect"]) for row in rows}):
        mine = [row for row in rows if (row["play"], row["defect"]) == (name, defect)]
        ended = [row for row in mine if "error" not in row]
        found = sum(row["found"] for row in ended)
        wrong += len(ended) - found if defect else found
        longest = max((row["lasted_s"] for row in ended), default=-1)
        print(
            f"{name:7} {defect or 'sound':18} found in {found} of {len(ended)}, longest {longest:.2f} s"
            f"{f'; {len(mine) - len(ended)} did not settle' if len(mine) > len(ended) else ''}"
        )
    return wrong


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--bound", type=float, default=3.0, help="agreement.contradiction_s")
    parser.add_argument("--only", nargs="+", choices=list(PLAYS), default=list(PLAYS))
    parser.add_argument("--defect", nargs="+", help="these alone; sound: none")
    parser.add_argument("--out", help="a file to which each row is added as a line of JSON")
    parser.add_argument("--read", nargs="+", help="what several calls have written")
    told = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # its processes end with it
    if told.read:
        rows = [json.loads(row) for file in told.read for row in Path(file).read_text().splitlines()]
        return summary(rows)
    rows = []
    for seed in range(told.first, told.first + told.seeds):
        for name in told.only:
            for defect in told.defect or ("", *DEFECTS[name]):
                rows.append(one(name, seed, "" if defect == "sound" else defect, told.bound))
                print(line(rows[-1]), flush=True)
                if told.out:
                    with Path(told.out).open("a") as out:
                        out.write(json.dumps(rows[-1]) + "\n")
    return summary(rows)


if __name__ == "__main__":
    sys.exit(1 if main() else 0)
