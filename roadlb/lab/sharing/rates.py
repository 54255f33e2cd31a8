"""One run: what nine balancers together repeat, and send to a hall that returns, judged by nodes.

First every node answers a third of its requests with errors; then hall-b's nodes refuse all connections,
until most balancers hold the hall for lost.  Meanwhile balancers are split, stopped, and killed and back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..run.fleet import Ailment
from .deployment import AWAY, PARTS, Sharers
from .faults import HOLDS, TURNS, Faults
from .judge import ROUNDING, Sum

REPEATS, DIALS = 6.0, 3.0  # a second, of all together
BOUNDS = {"repeats_per_s": REPEATS, "dials_per_s": DIALS}
PLANTED = {"RepeatsAreFree": "repeats", "DialsAreFree": "dials", "TakesTheWhole": "repeats"}
ERRORS, HALL = 0.33, "hall-b"
PRESSED_S = 6.0  # that nodes answer errors, at least
MANY = 30  # repeats without which nothing was pressed
FOUND_S = 150.0


@dataclass(slots=True, frozen=True)
class Rates:
    """`repeats`, `dials`: the most in any time, of what is said of it; `made`, `sent`: how many there were;
    `moved`: the most parts of either that one balancer had."""

    seed: int
    repeats: float
    made: int
    dials: float
    sent: int
    moved: float
    shares: Sum
    faults: int
    late_s: float
    said: tuple[str, ...]

    @property
    def sound(self) -> bool:
        return self.repeats <= 1 and self.dials <= 1 and self.shares.most <= 1 + ROUNDING and not self.said


class Pressed:
    """What the nodes of one deployment do to it."""

    def __init__(self, nine: Sharers) -> None:
        self.nine, self.fleet = nine, nine.rig.stage.fleet

    def fail(self) -> Callable[[], None]:
        """Every node answers errors to ERRORS of its requests; gives what ends it."""
        ends = [self.fleet.ail(one, Ailment(errors=ERRORS)) for one in self.fleet.up]

        def end() -> None:
            for each in ends:
                each()

        return end

    async def lose(self) -> None:
        """All connections to HALL's nodes are reset and dials refused, until most balancers hold the hall for
        lost: nothing that was sent before arrives after."""
        rig = self.nine.rig
        relays = rig.world.relays(node_hall=HALL)
        for relay in relays:
            relay.close()
        await rig.until(
            f"most hold {HALL} for lost",
            lambda: sum(rig.say(name, HALL, *AWAY) for name in rig.sites) > PARTS / 2,
        )
        for relay in relays:
            relay.open()

    def taken_back(self) -> bool:
        """By most of them: who has no need of the hall sends it nothing, and waits for its answers."""
        rig = self.nine.rig
        return sum(rig.say(name, HALL, *AWAY) for name in rig.sites) < PARTS / 2

    def repeats(self) -> tuple[float, int]:
        came = self.nine.repeats()
        return self.nine.most_of(came, REPEATS), len(came)

    def dials(self) -> tuple[float, int]:
        came = self.nine.dials()[HALL]
        return self.nine.most_of(came, DIALS), len(came)


async def play_rates(
    seed: int, defect: str = "", turns: tuple[str, ...] = ("split", "asleep", "reborn")
) -> Rates:
    """Without a defect: both kinds, and turns of faults in each.  With one: until it shows, no faults."""
    async with Sharers(seed, defect, BOUNDS) as nine:
        pressed, faults = Pressed(nine), Faults(nine, seed)
        if defect:
            await _until_found(pressed, PLANTED[defect])
        else:
            await _under_faults(pressed, faults, turns)
        repeats, dials, lives = pressed.repeats(), pressed.dials(), nine.lives()
        moved = max(
            (
                PARTS * now
                for life in lives
                for told in life.told
                for name, (now, _) in told.shares.items()
                if name.startswith(("repeats", "dials"))
            ),
            default=0.0,
        )
        return Rates(
            seed,
            *repeats,
            *dials,
            moved,
            nine.sum(),
            faults.count,
            nine.rig.late_s,
            tuple(nine.rig.world.faults),
        )


async def _under_faults(pressed: Pressed, faults: Faults, turns: tuple[str, ...]) -> None:
    loop = asyncio.get_running_loop()
    end, began = pressed.fail(), loop.time()
    for turn in turns:
        await TURNS[turn](faults)
    await asyncio.sleep(max(0.0, began + PRESSED_S - loop.time()))
    nine = pressed.nine
    await nine.until("nodes were sent many repeats", lambda: pressed.repeats()[1] >= MANY)
    await nine.until(
        "somebody holds others' parts of them",
        lambda: any(nine.share(name, "repeats") > HOLDS for name in nine.names),
    )
    end()
    await pressed.lose()
    for turn in turns:
        await TURNS[turn](faults)
    await nine.rig.until(f"most have {HALL} back", pressed.taken_back)


async def _until_found(pressed: Pressed, what: str) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + FOUND_S
    if what == "repeats":
        pressed.fail()
    while (pressed.repeats() if what == "repeats" else pressed.dials())[0] <= 1 and loop.time() < until:
        if what == "dials":
            await pressed.lose()
            await pressed.nine.rig.until(f"most have {HALL} back", pressed.taken_back)
        await asyncio.sleep(0.5)
