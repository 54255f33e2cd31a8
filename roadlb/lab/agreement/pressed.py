"""Whole balancers that are pressed: whose quota counts is seen in what they refuse.

Nodes answer late enough that balancers shed about half of what they are asked.  Two customers ask alike; one
has its quota and the other none, and versions make them change places.

    claim     from the bound after an order until the next one, of what a balancer that nothing kept the news
              from serves, two fifths at the most are of the customer whose quota is taken

Which single request is refused is drawn, so that this is a claim on counts, and on those windows alone in
which the balancer refused two fifths or more: if all hit the customer beyond its quota, a sixth of what is
served is still its.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from ...clock import monotonic_us
from .faults import Faults
from .judge import Sent, Turn
from .play import take_turns
from .whole import RETURN_US, Whole, hurts

LINES, PERIOD_S = 8, 0.4     # 20 requests a second of each customer, within the quota of 50
LEARN_S = 2.0                # of quick answers: what a balancer then takes for usual
LATE_S = 0.45                # of a promise of 0.5 s: about half is shed
SETTLE_S = 8.0               # from then on until what is refused is the customer's beyond its quota
FAULTS_S = 3.0, 9.0          # between two: most windows are to meet none
OFTEN, LONG_TURN = 0.7, (1.6, 2.2)
FEW = 8                      # requests served in a window: below that nothing is judged
REFUSED_LEAST, SHARE_MOST = 0.4, 0.4


@dataclass(frozen=True, slots=True)
class Window:
    """What a balancer served from the bound after a turn until the next one, of either customer."""

    turn: Turn
    balancer: str
    given: int
    taken: int
    refused: int
    kept_from: bool

    @property
    def judged(self) -> bool:
        served = self.given + self.taken
        return (not self.kept_from and served >= FEW
                and self.refused >= REFUSED_LEAST * (served + self.refused))

    @property
    def share(self) -> float:
        return self.taken / (self.given + self.taken)


@dataclass(frozen=True, slots=True)
class Outcome:
    """`shares`: of the customer whose quota is taken, in each window that is judged."""

    seed: int
    turns: int
    windows: int
    shares: tuple[float, ...]
    refused: float
    faults: int
    requests: int
    worst: Window | None
    notes: tuple[tuple[int, str], ...]

    @property
    def sound(self) -> bool:
        return max(self.shares, default=0.0) <= SHARE_MOST


class Pressed(Whole):
    lines, period_s = LINES, PERIOD_S


def judge(turns: list[Turn], served: list[Sent], refused: list[Sent], notes: list[tuple[int, str]],
          balancers: list[str], bound_us: int) -> list[Window]:
    """One for each balancer and each turn that was not lost, from the bound after it until the next one."""
    found = list[Window]()
    for turn, after in zip(turns, turns[1:], strict=False):
        begin, end = turn.answered + bound_us, after.ordered
        counts = Counter((one.balancer, one.what) for one in served if begin <= one.at < end)
        turned = Counter(one.balancer for one in refused if begin <= one.at < end)
        found += [Window(turn, balancer, counts[balancer, turn.gives], counts[balancer, turn.takes],
                         turned[balancer], any(hurt < end and over > turn.ordered - RETURN_US
                                               for hurt, over in hurts(notes, balancer)))
                  for balancer in balancers if not turn.lost]
    return found


async def play(seed: int, seconds: float, contradiction_s: float = 3.0, faulty: bool = True,
               defects: dict[str, str] | None = None, margin_s: float = 0.4) -> Outcome:
    with TemporaryDirectory(prefix="roadlb-pressed-") as folder:
        async with Pressed(Path(folder), contradiction_s, margin_s, defects) as whole:
            names = sorted(one for one in whole.children if one.startswith("balancer"))
            begun = whole.note("begun")
            await whole.until("every balancer sends to every node", lambda: all(
                whole.reached(node, begun) == set(names) for node in whole.discovery.entries))
            await asyncio.sleep(LEARN_S)
            whole.nodes.later_s = LATE_S
            await asyncio.sleep(SETTLE_S)
            faults, turns = Faults(whole, seed, FAULTS_S), list[Turn]()
            playing = asyncio.create_task(faults.run()) if faulty else None
            try:
                await take_turns(whole, Random(seed + 1), turns, monotonic_us() + round(seconds * 1e6),
                                 OFTEN, LONG_TURN)
            finally:
                await faults.heal(playing)
            refused = [one for client in whole.clients for one in client.refused]
            found = [one for one in judge(turns, whole.nodes.served, refused, whole.notes, names,
                                          round(contradiction_s * 1e6)) if one.judged]
            asked = sum(sum(client.answers.values()) for client in whole.clients)
            return Outcome(
                seed, len(turns), len(found), tuple(one.share for one in found), len(refused) / max(1, asked),
                faults.count, asked, max(found, key=lambda one: one.share, default=None), tuple(whole.notes))
