"""Faults drawn from a seed: links dropped, silenced and reset, processes stopped, killed, restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from .deployment import Deployment
from .ends import ends

PAUSE_S = (0.2, 1.6)  # between two faults
LASTS_S = (0.2, 5.0)  # one that lasts
CUT_S = (1.0, 9.0)  # a balancer that nobody hears: longer than its lease, and shorter
DEPOSED_S = (6.0, 12.0)  # a control service without the store: another has the seat, and waits out leases
STORE_FAULTS = ("deaf", "silent", "away")


class Faults:
    """`run()` until `heal()`, which ends all that last, and starts what was killed."""

    def __init__(self, deployment: Deployment, seed: int, pause_s: tuple[float, float] = PAUSE_S) -> None:
        self._all, self._random, self._pause_s = deployment, Random(seed), pause_s
        self._lasting: set[str] = set()  # whom one befell that has not ended
        self._ends: list[asyncio.Task[None]] = []
        self._over = asyncio.Event()
        self.count = 0

    async def run(self) -> None:
        """Until `heal`.  Never cancelled: a fault that has begun must have its end registered."""
        while not await self._pause(*self._pause_s):
            await self._one()

    async def _pause(self, least_s: float, most_s: float) -> bool:
        """Some time passes; is it all over?"""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._random.uniform(least_s, most_s)):
                await self._over.wait()
        return self._over.is_set()

    async def heal(self, running: asyncio.Task[None] | None = None) -> None:
        """End `running`, which is `run`, and then all that still lasts."""
        self._over.set()
        if running is not None:
            await ends("the faults' own task ends", running)
        await ends("all that lasts is mended", asyncio.gather(*self._ends))

    async def _one(self) -> None:
        draw = self._random.random()
        if draw < 0.05:
            self._depose()
        elif draw < 0.2:
            self._cut()
        elif draw < 0.55:
            await self._link()
        elif draw < 0.92:
            await self._process()
        else:
            await self._store()

    def _cut(self) -> None:
        """A balancer is cut off from all control services, which its lease may outlast or not."""
        name = self._random.choice(sorted(one for one in self._all.children if one.startswith("balancer")))
        links = [link for both, link in self._all.links.items() if both.startswith(f"{name} to ")]
        if f"{name}, cut" in self._lasting:
            return
        way = self._random.choice(("there", "back", "both"))
        for link in links:
            link.drop(way)

        async def heal() -> None:
            for link in links:
                link.heal()

        self._last(f"{name}, cut", heal, CUT_S)

    def _depose(self) -> None:
        """A control service that its followers still hear loses the store, for longer than its seat."""
        name = self._random.choice(sorted(one for one in self._all.links if one.endswith("to store")))
        if any(whom == "store" or whom.startswith("control") for whom in self._lasting):
            return
        link = self._all.links[name]
        link.drop("both")

        async def heal() -> None:
            link.heal()

        self._last(name, heal, DEPOSED_S)

    async def _link(self) -> None:
        name = self._random.choice(sorted(self._all.links))
        if name.endswith("to store") and self._spared():
            return
        link, way = self._all.links[name], self._random.choice(("there", "back", "both"))
        kind = self._random.choice(("drop", "silent", "reset", "slow"))
        if kind == "reset":
            link.reset()
            self.count += 1
            return
        if name in self._lasting:
            return
        if kind == "slow":
            link.slow(self._random.uniform(20, 800))
        else:
            (link.drop if kind == "drop" else link.silent)(way)

        async def heal() -> None:
            link.heal()

        self._last(name, heal)

    async def _process(self) -> None:
        name = self._random.choice(sorted(self._all.children))
        child = self._all.children[name]
        if name in self._lasting or (name.startswith("control") and self._spared()):
            return
        if self._random.random() < 0.6:
            self._all.stop(name)

            async def go_on() -> None:
                child.go_on()

            self._last(name, go_on)
        else:
            child.kill()
            await ends(f"{name} ends when it is killed", child.ended())

            async def start() -> None:
                await child.start()

            self._last(name, start)

    async def _store(self) -> None:
        if "store" in self._lasting or self._spared():
            return
        await self._all.order_store(f"fault {self._random.choice(STORE_FAULTS)}")

        async def mend() -> None:
            await self._all.order_store("fault none")

        self._last("store", mend)

    def _spared(self) -> bool:
        """Mostly one fault at a time on the side that issues: without a leader there is no turn to judge."""
        hurt = any(whom == "store" or whom.startswith("control") for whom in self._lasting)
        return self._random.random() < (0.9 if hurt else 0.3)

    def _last(
        self, whom: str, end: Callable[[], Awaitable[None]], lasts_s: tuple[float, float] = LASTS_S
    ) -> None:
        self.count += 1
        self._lasting.add(whom)

        async def later() -> None:
            await self._pause(*lasts_s)
            await end()
            self._lasting.discard(whom)

        self._ends.append(asyncio.create_task(later()))  # kept, so that `heal` raises what one raised
