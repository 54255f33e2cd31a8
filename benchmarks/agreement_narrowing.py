"""From the order to narrow a class to when no node reads a repeat any more, and back.

    PYTHONPATH=. python benchmarks/agreement_narrowing.py [--seeds 3] [--turns 2] [--calm] [--bound 3]

Nine real processes (`roadlb/lab/agreement/narrowing.py`); with `--calm` nobody is cut off or stopped.  For
each turn: when the narrow version was seen in force, when the last repeat of a balancer that nothing befell,
of the one cut off and of the one stopped was read, and how many were read once it was in force; then when the
wide one was in force and when the last balancer repeated again.  Fails if a turn is not sound.  It needs the
extras `control` and `lab`.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys

import uvloop

from roadlb.lab.agreement.ends import DidNotCome
from roadlb.lab.agreement.narrowing import play


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--turns", type=int, default=2)
    parser.add_argument("--bound", type=float, default=3.0, help="agreement.contradiction_s")
    parser.add_argument("--calm", action="store_true")
    told = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # its processes end with it
    wrong = 0
    for seed in range(told.first, told.first + told.seeds):
        try:
            outcome = uvloop.run(play(seed, told.turns, told.bound, faulty=not told.calm))
        except DidNotCome as e:
            print(f"seed {seed}: did not settle: {e}", flush=True)
            continue
        wrong += not outcome.sound
        for turn in outcome.turns:
            whole = max(last for name, last in turn.last_us.items() if name not in turn.hurt)
            cut, stopped = (turn.last_us[name] for name in turn.hurt) if turn.hurt else (0, 0)
            print(
                f"seed {seed} load {os.getloadavg()[0]:4.1f}  narrow: in force "
                f"{turn.force_us / 1e6:.2f} s, last repeat {whole / 1e6:.2f} s, cut off {cut / 1e6:.2f} s, "
                f"stopped {stopped / 1e6:.2f} s, then {len(turn.after_us)}; wide: in force "
                f"{turn.widened_us / 1e6:.2f} s, all repeat {max(turn.first_us.values()) / 1e6:.2f} s; "
                f"late {turn.late_us / 1e6:.2f} s",
                flush=True,
            )
        print(
            f"seed {seed} {'sound' if outcome.sound else 'WRONG'}: {outcome.requests} requests read, "
            f"{outcome.repeats} repeats, answers {dict(sorted(outcome.answers.items()))}",
            flush=True,
        )
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
