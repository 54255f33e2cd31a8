"""One run: nine balancers that share, faults between them, and the verdict."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from .deployment import PARTS, Sharers
from .directed import CASES
from .faults import TURNS, Faults
from .judge import ALLOWED, ROUNDING, Sum

# Planted defects of `roadlb.lab.mutants`, and the turn that shows each.
PLANTED = {
    "DeductsOnAcknowledgement": "split",
    "FloorBesideTheSum": "split",
    "LeaseFromReceipt": "late_and_cut",
    "ForgetsItsGifts": "reborn",
    "TakesOldAnswers": "overtaken",
}
NOTHING = "nothing"  # befalls them
FOUND_S, FIND_S = 150.0, 1.0  # a planted defect must have shown by then; looked for so often


@dataclass(slots=True, frozen=True)
class Outcome:
    """`shares`: the largest sum; `moved`: the most parts that one held; `cold`, `customer`: the most that was
    sent and served, of what is allowed; `late_s`: for so long the rig itself was held up."""

    seed: int
    shares: Sum
    moved: float
    cold: float
    fell: int
    customer: float
    repeated: int
    faults: int
    late_s: float
    said: tuple[str, ...]
    missing: tuple[str, ...] = ()  # what a directed case says must have come to pass, and did not

    @property
    def sound(self) -> bool:
        return (
            self.shares.most <= 1 + ROUNDING
            and not self.fell
            and self.cold <= 1
            and self.customer <= ALLOWED
            and not self.repeated
            and not self.said
            and not self.missing
        )


async def play(
    seed: int, seconds: float, defect: str = "", turn: str = "", cases: Sequence[str] = ()
) -> Outcome:
    """Faults for so long, of all kinds in turn; or of one, until what is planted has shown; or these of
    CASES, one after the other."""
    async with Sharers(seed, defect) as nine:
        faults, missing = Faults(nine, seed), list[str]()
        if turn == NOTHING:
            await _found(lambda: nine.customer() > ALLOWED, asyncio.sleep(FOUND_S))
        elif turn:
            await _found(lambda: nine.sum().most > 1 + ROUNDING, faults.again(TURNS[turn]))
        elif cases:
            for case in cases:
                evidence = await CASES[case](faults)
                missing += [f"{case}: {what}" for what, there in evidence.items() if not there]
        else:
            await faults.run(seconds)
        lives = nine.lives()
        cold, fell = nine.cold()
        return Outcome(
            seed,
            nine.sum(),
            PARTS
            * max(
                (
                    now
                    for life in lives
                    for told in life.told
                    for name, (now, _) in told.shares.items()
                    if name.startswith("customer")
                ),
                default=0.0,
            ),
            cold,
            fell,
            nine.customer(),
            len(nine.rig.repeated_orders()),
            faults.count,
            nine.rig.late_s,
            tuple(nine.rig.world.faults),
            tuple(missing),
        )


async def _found(shows: Callable[[], bool], what: Coroutine[Any, Any, None]) -> None:
    """This goes on until it shows what is planted, for FOUND_S at most."""
    doing = asyncio.ensure_future(what)
    with suppress(TimeoutError):
        async with asyncio.timeout(FOUND_S):
            while not doing.done() and not shows():
                await asyncio.wait([doing], timeout=FIND_S)
    doing.cancel()
    with suppress(asyncio.CancelledError):
        await doing
