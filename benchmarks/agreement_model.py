"""Every state of the agreement's model, shape by shape: how many there are, and that all of them hold.

    PYTHONPATH=. python benchmarks/agreement_model.py [--most STATES] [--defects]

Prints one line for each shape.  What must not be is printed with the shortest way to it, and the command
fails.
"""

from __future__ import annotations

import argparse
import resource
import sys
import time
from dataclasses import replace

from roadlb.lab.model_check.defects import DEFECTS, STREAMS, Stubborn, Unfenced
from roadlb.lab.model_check.explore import explore
from roadlb.lab.model_check.world import DRAINED, FIRST, SECOND, Shape

RATES = (4, 3, 5)  # a follower without error, one that is slow, an issuer that is fast
SHAPES = {
    "one version, late and lost": Shape(issuers=1, rates=RATES, ticks=4, on_the_way=1),
    "messages doubled": Shape(issuers=1, rates=RATES, ticks=3, doubles=1, on_the_way=1),
    "two on each way, overtaking": Shape(issuers=1, rates=RATES, ticks=2, on_the_way=2),
    "a version refused": Shape(issuers=1, rates=(5, 3, 4), ticks=3, nacks=1, on_the_way=1),
    "followers crash": Shape(issuers=1, rates=RATES, ticks=2, crashes=1, on_the_way=1),
    "the second back to the first": Shape(
        issuers=1, rates=RATES, ticks=2, proposals=(SECOND, FIRST), on_the_way=1
    ),
    "a node drained": Shape(issuers=1, rates=RATES, ticks=4, proposals=(DRAINED,), on_the_way=1),
    "a node drained and reopened": Shape(
        issuers=1, rates=RATES, ticks=3, proposals=(DRAINED, FIRST), on_the_way=1
    ),
    "the same, and a crash": Shape(
        issuers=1, rates=RATES, ticks=2, crashes=1, proposals=(DRAINED, FIRST), on_the_way=1
    ),
    "two issuers, a drain": Shape(
        followers=1, rates=(3, 5, 4), ticks=4, seats=1, proposals=(DRAINED, FIRST), on_the_way=1
    ),
    "two issuers": Shape(rates=(4, 3, 5, 4), ticks=2, seats=1, on_the_way=1),
    "two issuers, longer": Shape(rates=(4, 3, 5, 4), ticks=3, seats=1, on_the_way=1),
    "two issuers, two versions": Shape(
        followers=1, rates=(4, 5, 4), ticks=3, seats=2, crashes=1, proposals=(SECOND, FIRST), on_the_way=1
    ),
    "streams": STREAMS,
    "streams, no fencing": replace(STREAMS, follower=Unfenced),
    "streams, no fencing, longer": replace(STREAMS, follower=Unfenced, ticks=3, proposals=(SECOND, SECOND)),
    "streams, no fencing, a crash": replace(STREAMS, follower=Unfenced, crashes=1),
    "streams, a leader that goes on": replace(STREAMS, issuer=Stubborn),
    "three followers": Shape(followers=3, issuers=1, rates=(4, 3, 5, 4), ticks=2, on_the_way=1),
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--most", type=int, default=400_000, help="states of one shape")
    parser.add_argument("--defects", action="store_true", help="the planted defects instead")
    told = parser.parse_args()
    bad = 0
    for name, shape in (DEFECTS if told.defects else SHAPES).items():
        began = time.monotonic()
        found = explore(shape, told.most, recover_each=0 if told.defects else 1000)
        what = "all" if found.whole else "cut off at"
        print(
            f"{name:32} {what:>10} {found.states:8} states, {found.steps:8} steps, depth {found.depth:3}, "
            f"recovered {found.recovered:4}, {time.monotonic() - began:6.1f} s",
            flush=True,
        )
        if found.wrong:
            print("  " + "\n    ".join((found.wrong, *found.way)))
        bad += bool(found.wrong) is not told.defects
    print(f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB at the most")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
