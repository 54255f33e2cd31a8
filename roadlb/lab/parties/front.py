"""The front layer: which balancer a client's new connection goes to.

It takes a balancer in once `GET /healthz` has said 200, and goes on dealing to a dead one until it notices.
It looks at those that it does not deal to; of the others it hears when a connection fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..wire import BalancerState, WireLog
from .http import AnswerReader, Garbled, write_request
from .links import stream

Address = tuple[str, int]

LOOK_S = 0.1  # between two looks at a balancer that is out
LOOK_MOST_S = 0.5  # for one look
NOTICE_US = (1_300_000, 3_900_000)


@dataclass(slots=True)
class _Place:
    hall: str
    address: Address
    taken_in: bool = False
    looking: asyncio.Task[None] | None = None
    notices: asyncio.TimerHandle | None = None


class _Look(asyncio.Protocol):
    """Asks for /healthz once; `status` is 0 if nothing came."""

    def __init__(self, done: asyncio.Future[int]) -> None:
        self._reader, self._done = AnswerReader(), done
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = stream(transport)
        headers = [("Host", "backend.local"), ("Connection", "close")]
        self._transport.write(write_request("GET", "/healthz", headers))

    def data_received(self, data: bytes) -> None:
        try:
            for answer in self._reader.feed(data):
                self._tell(answer.status)
        except Garbled:
            self._tell(0)

    def connection_lost(self, error: Exception | None) -> None:
        self._tell(0)

    def _tell(self, status: int) -> None:
        if not self._done.done():
            self._done.set_result(status)
        self._transport.close()


class Front:
    """Balancers are `place`d when they are to be dealt to; writes their `ready` when they first are."""

    def __init__(
        self, log: WireLog, clock: Callable[[], int], rng: Random, notice_us: tuple[int, int] = NOTICE_US
    ) -> None:
        self._log, self._clock, self._rng, self._notice_us = log, clock, rng, notice_us
        self._places: dict[str, _Place] = {}
        self._turn = 0

    def place(self, name: str, hall: str, address: Address) -> None:
        """A balancer listens there, or soon will."""
        self._drop(name)
        place = self._places[name] = _Place(hall, address)
        self._look_at(name, place)

    def stop(self) -> None:
        for name in list(self._places):
            self._drop(name)

    def _drop(self, name: str) -> None:
        place = self._places.pop(name, None)
        if place:
            if place.looking:
                place.looking.cancel()
            if place.notices:
                place.notices.cancel()

    @property
    def taken_in(self) -> list[str]:
        return [name for name, place in self._places.items() if place.taken_in]

    def pick(self, hall: str) -> tuple[str, Address] | None:
        """The next balancer of this hall in turn, or of any, if it has none; none at all: none."""
        places = [(name, place) for name, place in self._places.items() if place.taken_in]
        near = [(name, place) for name, place in places if place.hall == hall] or places
        if not near:
            return None
        self._turn += 1
        name, place = near[self._turn % len(near)]
        return name, place.address

    def out(self, name: str) -> None:
        """It said no at its last look: no new connection until it says yes again."""
        if place := self._places.get(name):
            place.taken_in = False

    def back(self, name: str) -> None:
        """It may say yes again."""
        place = self._places.get(name)
        if place and not place.taken_in and not place.looking:
            self._look_at(name, place)

    def failed(self, name: str) -> None:
        """A connection to it was refused or reset, or never came up: some time later this is noticed."""
        place = self._places.get(name)
        if place and place.taken_in and not place.notices:
            late = self._rng.randint(*self._notice_us) / 1e6
            place.notices = asyncio.get_running_loop().call_later(late, self._noticed, name, place)

    def _noticed(self, name: str, place: _Place) -> None:
        place.notices = None
        self._look_at(name, place)

    def _look_at(self, name: str, place: _Place) -> None:
        place.looking = asyncio.get_running_loop().create_task(self._look_until_well(name, place))

    async def _look_until_well(self, name: str, place: _Place) -> None:
        """One that is well again by the time its fault is noticed is never out."""
        while await self._look(place.address) != 200:
            place.taken_in = False
            await asyncio.sleep(LOOK_S)
        place.looking = None
        if not place.taken_in:
            place.taken_in = True
            self._log.write(BalancerState(self._clock(), name, "ready"))

    async def _look(self, address: Address) -> int:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[int] = loop.create_future()
        transport: asyncio.BaseTransport | None = None
        try:
            async with asyncio.timeout(LOOK_MOST_S):
                transport, _ = await loop.create_connection(lambda: _Look(done), *address)
                return await done
        except (OSError, TimeoutError):
            return 0
        finally:
            if transport:
                transport.close()
