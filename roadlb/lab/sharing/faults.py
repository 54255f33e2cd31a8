"""What befalls nine balancers that share, in turns, each where it hurts a transfer of shares; by a seed.

Each turn waits until a balancer holds others' parts, does its worst to it or to a giver, and goes on once
that must have shown.  Meanwhile datagrams are lost, doubled and late by seconds, and nodes start anew, cold.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import TypeAlias

from ..run.balancers import Standing
from .deployment import Sharers

BUDGET = "customer 1"  # of which the givers' own clients need the least
HOLDS, GAVE = 1.15, 0.95  # parts
LEASE_S = 4.2  # from a gift until its giver has it back, and a little
NODE_S = (3.0, 6.0)  # between two new starts of nodes
PATIENCE_S = 15.0
LEAST = 3  # turns of a run, however slow the machine: one of them waits for a taker
Turn: TypeAlias = Callable[["Faults"], Awaitable[None]]


class Faults:
    def __init__(self, nine: Sharers, seed: int) -> None:
        self.nine, self.random, self.count = nine, Random(seed), 0

    async def run(self, seconds: float) -> None:
        """All turns in an order drawn anew each time, until the time is over and LEAST have been, and a cold
        node was sent something."""
        loop, turns = asyncio.get_running_loop(), 0
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as beside:
            nodes = beside.create_task(self._start_nodes())
            while loop.time() < until or turns < LEAST:
                for turn in self.random.sample(list(TURNS.values()), len(TURNS)):
                    if loop.time() < until or turns < LEAST:
                        turns += 1
                        self._weather()
                        await turn(self)
            await self.nine.until("a cold node was sent something", lambda: self.nine.cold()[0] > 0)
            nodes.cancel()
        self._calm()

    async def again(self, turn: Turn) -> None:
        """One kind, without end."""
        while True:
            await turn(self)

    def _weather(self) -> None:
        """Half of the links are bad."""
        for link in self.nine.links.values():
            if self.random.random() < 0.5:
                link.fail(
                    lost=0.3,
                    doubled=0.2,
                    reordered=0.1,
                    behind_ms=self.random.uniform(100, 3_000),
                    jitter_ms=20,
                )
            else:
                link.heal()

    def _calm(self) -> None:
        self.nine.blocked.clear()
        for link in self.nine.links.values():
            link.heal()

    async def _start_nodes(self) -> None:
        fleet, random = self.nine.rig.stage.fleet, Random(self.random.random())
        while True:
            await asyncio.sleep(random.uniform(*NODE_S))
            node = random.choice(sorted(fleet.up, key=lambda one: one.name))
            fleet.stop(node)
            await fleet.back(node)
            self.count += 1

    # Whom it befalls

    def _who(self, fits: Callable[[float], bool]) -> list[str]:
        running = {one.name for one in self.nine.rig.stage.balancers.running if not one.pauses}
        return [name for name in self.nine.names if name in running and fits(self.nine.share(name, BUDGET))]

    async def taker(self) -> str:
        return await self._one("somebody holds others' parts", lambda share: share > HOLDS)

    async def giver(self) -> str:
        return await self._one("somebody has given", lambda share: 0 < share < GAVE)

    async def _one(self, what: str, fits: Callable[[float], bool]) -> str:
        """Whoever it is then.  Bad weather ends after PATIENCE_S: on a machine that makes every answer late
        as well, none might be the one to the last ask, and no share would move."""
        loop = asyncio.get_running_loop()
        calm_at = loop.time() + PATIENCE_S

        def there() -> bool:
            if loop.time() > calm_at:
                self._calm()
            return bool(self._who(fits))

        await self.nine.until(what, there)
        return self.random.choice(self._who(fits))

    def standing(self, name: str) -> Standing:
        return next(one for one in self.nine.rig.stage.balancers.all if one.name == name)

    async def part(self, what: str, blocked: Callable[[str, str], bool], seconds: float) -> None:
        """Nothing passes where that holds, for so long."""
        self.count += 1
        self.nine.rig.note(f"{what}, for {seconds:.1f} s")
        self.nine.blocked[what] = blocked
        await asyncio.sleep(seconds)
        del self.nine.blocked[what]
        self.nine.rig.note(f"{what}: healed")

    def some_s(self) -> float:
        """Shorter than a lease, or longer."""
        return self.random.uniform(0.5, LEASE_S + 1.5)


async def late_and_cut(faults: Faults) -> None:
    """Answers take a third of a second, then the taker is cut off for longer than a lease."""
    for link in faults.nine.links.values():
        link.fail(delay_ms=350)
    await asyncio.sleep(2)
    taker = await faults.taker()
    await faults.part(f"{taker} cut off", lambda a, b: taker in (a, b), LEASE_S + 1)


async def overtaken(faults: Faults) -> None:
    """What comes to the taker is late, and then nobody hears it any more: only answers to old asks come."""
    taker = await faults.taker()
    faults.nine.links[taker].fail(delay_ms=1_900)
    await asyncio.sleep(2.5)
    await faults.part(f"nobody hears {taker}", lambda a, b: a == taker, LEASE_S + 2)


async def reborn(faults: Faults) -> None:
    """A giver is killed, and starts anew under its name within a second."""
    one = faults.standing(await faults.giver())
    balancers = faults.nine.rig.stage.balancers
    faults.count += 1
    balancers.kill(one)
    await balancers.gone(one, 10)
    await asyncio.sleep(faults.random.uniform(0, 0.3))
    balancers.start_again(one)
    await asyncio.sleep(LEASE_S)
    await faults.nine.until(f"{one.name} is there again", lambda: faults.nine.share(one.name, BUDGET) > 0)


async def asleep(faults: Faults) -> None:
    """A taker stands still, and wakes with its old shares and a queue of datagrams."""
    one = faults.standing(await faults.taker())
    wake = faults.nine.rig.stage.balancers.pause(one)
    faults.count += 1
    await asyncio.sleep(max(faults.some_s(), faults.some_s()))
    wake()
    await asyncio.sleep(0.5)


async def split(faults: Faults) -> None:
    """Halves, 8 and 1, or one alone; both ways or one; it heals while shares move."""
    names = list(faults.nine.names)
    faults.random.shuffle(names)
    side = set(names[: faults.random.choice((4, 1, 1))])
    both = faults.random.random() < 0.7
    await faults.taker()
    await faults.part(
        f"{', '.join(sorted(side))} apart{'' if both else ', one way'}",
        lambda a, b: (a in side) != (b in side) and (both or a in side),
        faults.some_s(),
    )
    await asyncio.sleep(faults.random.uniform(0, 1))


async def many_killed(faults: Faults) -> None:
    """A third of them at once; they start anew some seconds later."""
    balancers = faults.nine.rig.stage.balancers
    drawn = faults.random.sample(faults.nine.names, len(faults.nine.names) // 3)
    some = [faults.standing(name) for name in drawn]
    faults.count += 1
    for one in some:
        balancers.kill(one)
    for one in some:
        await balancers.gone(one, 10)
    await asyncio.sleep(faults.some_s())
    for one in some:
        balancers.start_again(one)
    await faults.nine.until(
        "all are there again", lambda: all(faults.nine.share(one.name, BUDGET) > 0 for one in some)
    )


TURNS: Mapping[str, Turn] = {
    turn.__name__: turn for turn in (late_and_cut, overtaken, reborn, asleep, split, many_killed)
}
