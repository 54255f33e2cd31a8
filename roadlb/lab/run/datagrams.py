"""A way for datagrams between two parties of a rig: it loses, doubles, reorders, delays, cuts, by a seed.

Each sender has a socket of its own towards the target, so that answers find their way back to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..parties.discovery import Address
from .link import ways_of
from .relay import Ways


@dataclass(slots=True)
class Weather:
    """Shares are 0..1 of the datagrams; one that is reordered comes `behind_s` later than it would."""

    lost: float = 0.0
    doubled: float = 0.0
    reordered: float = 0.0
    behind_s: float = 0.05
    delay_s: float = 0.0
    jitter_s: float = 0.0


class _Near(asyncio.DatagramProtocol):
    def __init__(self, link: Datagrams) -> None:
        self._link = link

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self._link.there(data, sender)


class _Far(asyncio.DatagramProtocol):
    """Where the target answers one sender."""

    def __init__(self, link: Datagrams, sender: Address) -> None:
        self._link, self._sender = link, sender

    def datagram_received(self, data: bytes, _: Address) -> None:
        self._link.back(data, self._sender)


class Datagrams:
    """Made by `Rig.datagrams`; who sends is told `address`.  Each call is noted in the rig's log.

    `counts`: came, lost, doubled, reordered, cut, went, of both ways together."""

    def __init__(self, name: str, target: Address, rng: Random, note: Callable[[str], int]) -> None:
        self.name, self._target, self._note = name, target, note
        # One each way: whose turn it is does not change anybody's luck.
        self._luck = {way: Random(rng.getrandbits(64)) for way in (Ways.THERE, Ways.BACK)}
        self.weather, self._cut = Weather(), Ways.NONE
        self.counts = dict.fromkeys(("came", "lost", "doubled", "reordered", "cut", "went"), 0)
        self.address: Address = ("", 0)
        self._near: asyncio.DatagramTransport
        self._far: dict[Address, asyncio.DatagramTransport] = {}
        self._dials: dict[Address, asyncio.Task[None]] = {}
        self._waiting: dict[Address, list[bytes]] = {}  # until the sender's socket is there
        self._conditions: list[
            tuple[Ways, Callable[[bytes], bool], asyncio.Future[int], Callable[[], None] | None]
        ] = []
        self._over = False

    async def start(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        near, _ = await loop.create_datagram_endpoint(lambda: _Near(self), local_addr=(ip, 0))
        self._near = near
        self.address = near.get_extra_info("sockname")

    # Faults

    def fail(
        self,
        lost: float = 0.0,
        doubled: float = 0.0,
        reordered: float = 0.0,
        delay_ms: float = 0.0,
        jitter_ms: float = 0.0,
        behind_ms: float = 50.0,
    ) -> None:
        """From now on, both ways; takes the place of what was said before."""
        self._note(
            f"{self.name}: lost {lost:g}, doubled {doubled:g}, reordered {reordered:g}, "
            f"{delay_ms:g} ms and up to {jitter_ms:g} more"
        )
        self.weather = Weather(
            lost, doubled, reordered, behind_ms / 1_000, delay_ms / 1_000, jitter_ms / 1_000
        )

    def drop(self, way: str = "both") -> None:
        """All that goes this way is lost."""
        self._note(f"{self.name}: dropped, {way}")
        self._cut = ways_of(way)

    def heal(self) -> None:
        """Every datagram comes, once, in order, at once."""
        self._note(f"{self.name}: healed")
        self.weather, self._cut = Weather(), Ways.NONE

    def end(self) -> None:
        self._over = True
        self._near.close()
        for dial in self._dials.values():
            dial.cancel()
        for far in self._far.values():
            far.close()

    def when(
        self, fits: Callable[[bytes], bool], then: Callable[[], None] | None = None, way: str = "there"
    ) -> asyncio.Future[int]:
        """Once, as the first datagram comes that fits: `then`, which may cut it off as well.  Gives the clock
        at that moment."""
        fallen: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._conditions.append((ways_of(way), fits, fallen, then))
        return fallen

    # What comes

    def there(self, data: bytes, sender: Address) -> None:
        self._pass(Ways.THERE, data, lambda: self._send_there(data, sender))

    def back(self, data: bytes, sender: Address) -> None:
        self._pass(Ways.BACK, data, lambda: self._near.sendto(data, sender))

    def _send_there(self, data: bytes, sender: Address) -> None:
        if sender in self._far:
            self._far[sender].sendto(data)
            return
        self._waiting.setdefault(sender, []).append(data)
        if sender not in self._dials:
            self._dials[sender] = asyncio.get_running_loop().create_task(self._dial(sender))

    async def _dial(self, sender: Address) -> None:
        far, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Far(self, sender), remote_addr=self._target
        )
        self._far[sender] = far
        for data in self._waiting.pop(sender):
            far.sendto(data)

    def _pass(self, way: Ways, data: bytes, send: Callable[[], None]) -> None:
        self.counts["came"] += 1
        for condition in [c for c in self._conditions if c[0] & way and c[1](data)]:
            self._conditions.remove(condition)
            at = self._note(f"{self.name}: the datagram has come that was waited for")
            if condition[3]:
                condition[3]()
            if not condition[2].done():
                condition[2].set_result(at)
        if self._cut & way:
            self.counts["cut"] += 1
            return
        rng, weather = self._luck[way], self.weather
        # Always as many draws: the n-th datagram has the same luck whatever the weather.
        loses, doubles, falls_behind, late = (rng.random() for _ in range(4))
        if loses < weather.lost:
            self.counts["lost"] += 1
            return
        wait = weather.delay_s + late * weather.jitter_s
        if falls_behind < weather.reordered:
            self.counts["reordered"] += 1
            wait += weather.behind_s
        self._later(wait, send)
        if doubles < weather.doubled:
            self.counts["doubled"] += 1
            self._later(wait, send)

    def _later(self, wait_s: float, send: Callable[[], None]) -> None:
        def go() -> None:
            if not self._over:
                self.counts["went"] += 1
                send()

        if wait_s:
            asyncio.get_running_loop().call_later(wait_s, go)
        else:
            go()
