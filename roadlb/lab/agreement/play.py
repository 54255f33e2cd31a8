"""One run: turns between two customers, in quiet or under faults, and the verdict."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from ...clock import monotonic_us
from .deployment import CONTROLS, Deployment
from .ends import ends
from .faults import Faults
from .judge import Contradiction, Turn, judge

UNCHANGED = "nothing changes"  # the issuer's word: that is so already
TURN_S = (0.6, 2.4)  # from one turn to the next, for most: versions in quick succession
LONG, LONG_TURN = 0.35, (1.1, 1.5)  # the others are longer than the bound by so much
AGAIN_S = 0.2  # after an order that nobody took
PROMPT_US = 300_000  # a turn whose order took longer to be answered began nobody knows when


@dataclass(frozen=True, slots=True)
class Outcome:
    """`whole`: turns that were seen for longer than the bound; `longest_us`: of turns whose beginning is
    known; `after_us`: the worst break of the instant claim, in the queue's order (below 0: none); `force_us`:
    from the order to the first request that a version grants."""

    seed: int
    turns: int
    lost: int
    judged: int
    whole: int
    granted: int
    longest_us: int
    after_us: int
    requests: int
    faults: int
    bound_us: int
    each_us: tuple[int, ...]
    force_us: tuple[int, ...]
    notes: tuple[tuple[int, str], ...]
    worst: Contradiction | None

    @property
    def sound(self) -> bool:
        return self.longest_us <= self.bound_us and self.after_us < 0


async def play(
    seed: int,
    seconds: float,
    contradiction_s: float = 3.0,
    faulty: bool = True,
    defects: dict[str, str] | None = None,
    margin_s: float = 0.4,
) -> Outcome:
    """`seconds` of turns, after all is up; then time for the last one to end."""
    with TemporaryDirectory(prefix="roadlb-agreement-") as folder:
        async with Deployment(Path(folder), contradiction_s, margin_s, defects=defects) as all_of_it:
            begun = all_of_it.note("begun")
            balancers = {name for name in all_of_it.children if name.startswith("balancer")}
            await all_of_it.until(
                "every balancer serves the first customer",
                lambda: all_of_it.senders("customer-0", begun) == balancers,
            )
            faults, turns = Faults(all_of_it, seed), list[Turn]()
            playing = asyncio.create_task(faults.run()) if faulty else None
            try:
                await take_turns(all_of_it, Random(seed + 1), turns, monotonic_us() + round(seconds * 1e6))
            finally:
                await faults.heal(playing)
            since = all_of_it.note("healed")
            await ends("the last turn's proposal is taken, or holds already", _last_holds(all_of_it, turns))
            gives = turns[-1].gives if turns else "customer-0"
            await all_of_it.until(
                "every balancer serves again, all by one rule",
                lambda: all_of_it.senders(gives, since) == balancers,
            )
            return _outcome(seed, all_of_it, turns, faults.count)


async def take_turns(
    all_of_it: Deployment,
    random: Random,
    turns: list[Turn],
    until: int,
    often: float = LONG,
    long_turn: tuple[float, float] = LONG_TURN,
) -> None:
    """Until then; `often`: the share of long ones, which last so many bounds."""
    gives, first = 0, -1  # `first`: the first of several tries, since one that took effect
    while monotonic_us() < until:
        long = random.uniform(*long_turn) * all_of_it.contradiction_s if random.random() < often else 0.0
        await asyncio.sleep(long or random.uniform(*TURN_S) if first < 0 else AGAIN_S)
        ordered = monotonic_us()
        answer = await all_of_it.propose(1 - gives)
        if answer and answer != UNCHANGED:
            first = ordered if first < 0 else first
            continue
        gives = 1 - gives
        if answer and first < 0:
            # The turn before was answered, and yet what was before it holds: its leader took it along.
            turns[-1] = replace(turns[-1], lost=True)
            all_of_it.note("turn: the last one was lost")
            continue
        began = first if answer else ordered  # an earlier try was taken after all
        turns.append(Turn(began, monotonic_us(), f"customer-{gives}", f"customer-{1 - gives}"))
        all_of_it.note(f"turn: {turns[-1].gives}")
        first = -1


async def _last_holds(all_of_it: Deployment, turns: list[Turn]) -> None:
    """What the last turn said, proposed again if its leader took it along."""
    gives = int(turns[-1].gives.rpartition("-")[2]) if turns else 0
    while (answer := await all_of_it.propose(gives)) and answer != UNCHANGED:
        await asyncio.sleep(AGAIN_S)
    if not answer and turns:
        turns[-1] = replace(turns[-1], lost=True)


def _outcome(seed: int, all_of_it: Deployment, turns: list[Turn], faults: int) -> Outcome:
    found = judge(turns, all_of_it.ears.sent, all_of_it.went_on())
    prompt = [one for one in found if one.turn.answered - one.turn.ordered <= PROMPT_US]
    worst = max(prompt, key=lambda one: one.lasted_us, default=None)
    return Outcome(
        seed,
        len(turns),
        sum(turn.lost for turn in turns),
        len(prompt),
        sum(one.seen_us > all_of_it.contradiction_s * 1e6 for one in prompt),
        sum(one.granted for one in found),
        worst.lasted_us if worst else 0,
        max((one.after_us for one in found), default=-1),
        len(all_of_it.ears.sent),
        faults,
        round(all_of_it.contradiction_s * 1e6),
        tuple(one.lasted_us for one in prompt),
        tuple(one.force_us for one in prompt if one.granted),
        tuple(all_of_it.notes),
        worst,
    )


__all__ = ["CONTROLS", "Outcome", "play"]
