"""Whole balancers that are pressed: whose quota counts is seen in what they refuse.

Nodes share one thing that makes a third of what is asked, so that balancers wait, and refuse the rest.  Two
customers ask alike; one has its quota and the other none, and versions make them change places.

    claim     from the bound after an order until the next one, of what a balancer that nothing kept the news
              from serves, SHARE_MOST at the most is of the customer whose quota is taken

Which single request is refused is drawn, so that this is a claim on counts.  It is broken where chance gives
as many less than once in ten thousand times (BY_CHANCE) while the claim holds for each request: in one
window, in all windows of one balancer, or in all of a play together.  Windows in which a balancer refused
less than two fifths say nothing: if all hit the customer beyond its quota, a sixth of what is served is still
its.  SHARE_MOST is a little above that, as the shortage moves.

Judged is what clients were answered.  A balancer whose shortage swings between none and all refuses whole
bursts alike, and obeys no quota in them: so clients do not keep time with each other, and answers take longer
the more is sent, or the play would show its own rhythm (docs/design/agreement-processes.md).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp, lgamma, log
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from ...clock import monotonic_us
from .faults import Faults
from .judge import Turn
from .parties import REFUSED, SERVED, Asked
from .play import take_turns
from .whole import RETURN_US, Whole, hurts

LINES, PERIOD_S = 8, 0.4  # 20 requests a second of each customer, within the quota of 50
MADE_PER_S = 80  # of 240 that are asked of all six
LEAST_S, LEARN_S = 0.05, 4.0  # what an answer takes, and for how long balancers see no more than that
SEEN_US = 3_000_000  # for so long each must have refused enough before the first turn
FAULTS_S = 4.0, 10.0  # between two: most windows are to meet none
OFTEN, LONG_TURN = 0.7, (1.8, 2.8)
REFUSED_LEAST, SHARE_MOST = 0.4, 0.2
BY_CHANCE = 1e-4


def chance(served: int, taken: int) -> float:
    """That of so many that are served so many or more are of the customer whose quota is taken, if each is
    with SHARE_MOST, the most that the claim allows."""
    its, other, ways = log(SHARE_MOST), log(1 - SHARE_MOST), lgamma(served + 1)
    return min(
        1.0,
        sum(
            exp(ways - lgamma(k + 1) - lgamma(served - k + 1) + k * its + (served - k) * other)
            for k in range(taken, served + 1)
        ),
    )


@dataclass(frozen=True, slots=True)
class Window:
    """What a balancer answered from the bound after a turn until the next one.  `kept_from`: a fault kept the
    news from it, or the judge's own loop was held up, so that answers were late whatever was sent."""

    turn: Turn
    balancer: str
    given: int
    taken: int
    refused: int
    kept_from: bool

    @property
    def judged(self) -> bool:
        served = self.given + self.taken
        return not self.kept_from and served > 0 and self.refused >= REFUSED_LEAST * (served + self.refused)

    @property
    def share(self) -> float:
        return self.taken / (self.given + self.taken)

    @property
    def by_chance(self) -> float:
        return chance(self.given + self.taken, self.taken)


@dataclass(frozen=True, slots=True)
class Outcome:
    """`windows`: of those that are judged, by balancer, what was served and of it to the customer whose
    quota is taken.  `telling`: of how many one that knows no quota would be found out by itself, more often
    than not."""

    seed: int
    turns: int
    windows: tuple[tuple[str, int, int], ...]
    refused: float
    faults: int
    requests: int
    worst: Window | None
    notes: tuple[tuple[int, str], ...]

    @property
    def shares(self) -> tuple[float, ...]:
        return tuple(taken / served for _, served, taken in self.windows)

    @property
    def telling(self) -> int:
        return sum(chance(served, served // 2) < BY_CHANCE for _, served, _ in self.windows)

    @property
    def by_chance(self) -> float:
        """The least that chance gives of any window, of all of one balancer, or of all."""
        served, taken = Counter[str](), Counter[str]()
        for balancer, all_of_it, its in self.windows:
            for group in (balancer, "all"):
                served[group] += all_of_it
                taken[group] += its
        counts = [(served[group], taken[group]) for group in served]
        counts += [(all_of_it, its) for _, all_of_it, its in self.windows]
        return min((chance(*one) for one in counts), default=1.0)

    @property
    def sound(self) -> bool:
        return self.by_chance >= BY_CHANCE


class Pressed(Whole):
    lines, period_s = LINES, PERIOD_S

    @property
    def asked(self) -> list[Asked]:
        return [one for client in self.clients for one in client.asked]

    def refuse(self, names: Iterable[str], since: int) -> bool:
        """Has each of them refused enough of what was answered since then?"""
        answers = Counter(
            (client.balancer, one.status)
            for client in self.clients
            for one in reversed(client.asked)
            if one.answered >= since
        )
        return all(
            answers[name, REFUSED]
            > REFUSED_LEAST * sum(count for (balancer, _), count in answers.items() if balancer == name)
            for name in names
        )


def judge(
    turns: Sequence[Turn],
    asked: Sequence[Asked],
    notes: list[tuple[int, str]],
    balancers: Iterable[str],
    bound_us: int,
    held: Sequence[tuple[int, int]] = (),
) -> list[Window]:
    """One for each balancer and each turn that was not lost, from the bound after it until the next one, of
    requests that were sent and answered between.  `held`: when nodes and clients could not run."""
    found = list[Window]()
    for turn, after in zip(turns, turns[1:], strict=False):
        begin, end = turn.answered + bound_us, after.ordered
        if turn.lost or begin >= end:
            continue
        late = any(since < end and over > begin for since, over in held)
        counts = Counter(
            (one.balancer, one.customer, one.status)
            for one in asked
            if begin <= one.sent and one.answered < end
        )
        for balancer in balancers:
            given, taken = (
                (counts[balancer, customer, SERVED], counts[balancer, customer, REFUSED])
                for customer in (turn.gives, turn.takes)
            )
            kept_from = late or any(
                hurt < end and over > turn.ordered - RETURN_US for hurt, over in hurts(notes, balancer)
            )
            found.append(Window(turn, balancer, given[0], taken[0], given[1] + taken[1], kept_from))
    return found


async def play(
    seed: int,
    seconds: float,
    contradiction_s: float = 3.0,
    faulty: bool = True,
    defects: dict[str, str] | None = None,
    margin_s: float = 0.4,
) -> Outcome:
    with TemporaryDirectory(prefix="roadlb-pressed-") as folder:
        async with Pressed(Path(folder), contradiction_s, margin_s, defects) as whole:
            names = sorted(one for one in whole.children if one.startswith("balancer"))
            whole.nodes.least_s, begun = LEAST_S, whole.note("begun")
            await whole.until(
                "every balancer sends to every node",
                lambda: all(whole.reached(node, begun) == set(names) for node in whole.discovery.entries),
            )
            await asyncio.sleep(LEARN_S)
            whole.nodes.each_s = 1 / MADE_PER_S
            pressed = whole.note("pressed")
            await whole.until(
                "every balancer refuses enough",
                lambda: (now := monotonic_us()) > pressed + SEEN_US and whole.refuse(names, now - SEEN_US),
            )
            faults, turns = Faults(whole, seed, FAULTS_S), list[Turn]()
            playing = asyncio.create_task(faults.run()) if faulty else None
            try:
                await take_turns(
                    whole, Random(seed + 1), turns, monotonic_us() + round(seconds * 1e6), OFTEN, LONG_TURN
                )
            finally:
                await faults.heal(playing)
            asked = whole.asked
            found = [
                one
                for one in judge(
                    turns, asked, whole.notes, names, round(contradiction_s * 1e6), whole.beat.held
                )
                if one.judged
            ]
            return Outcome(
                seed,
                len(turns),
                tuple((one.balancer, one.given + one.taken, one.taken) for one in found),
                sum(one.status == REFUSED for one in asked) / max(1, len(asked)),
                faults.count,
                len(asked),
                min(found, key=lambda one: one.by_chance, default=None),
                tuple(whole.notes),
            )
