"""A TCP link between two parties of a rig that a test names, with faults that fall when it says so.

`there` is the way from who dials to who listens, `back` the other one.  What a dropped link has taken comes
through once it is healed, as kernels send again; only `reset` ends connections.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..parties.discovery import Address
from .relay import Pair, Relay, Way, Ways

WAYS = {"there": Ways.THERE, "back": Ways.BACK, "both": Ways.BOTH}


def ways_of(word: str) -> Ways:
    """ValueError for any other word."""
    if word not in WAYS:
        raise ValueError(f"{word!r}: is one of {', '.join(WAYS)}")
    return WAYS[word]


@dataclass(slots=True, eq=False)
class Trigger:
    """Falls once, when `after` bytes behind the needle have gone that way in any one connection."""

    needle: bytes
    way: Ways
    after: int
    fallen: asyncio.Future[int]
    then: Callable[[], None] | None
    tails: dict[Pair, bytes] = field(default_factory=dict)  # the last bytes, where a needle may begin
    left: dict[Pair, int] = field(default_factory=dict)  # where the needle has passed: bytes to go

    def reach(self, pair: Pair, data: bytes) -> int | None:
        """After how many of these bytes it falls; None: not among them."""
        end = self._end(pair, data)
        return end if end is not None and end <= len(data) else None

    def _end(self, pair: Pair, data: bytes) -> int | None:
        if pair in self.left:
            return self.left[pair]
        tail = self.tails.get(pair, b"")
        at = (tail + data).find(self.needle)
        return None if at < 0 else at + len(self.needle) + self.after - len(tail)

    def pass_on(self, pair: Pair, data: bytes) -> None:
        """These bytes go on, and it does not fall among them."""
        end = self._end(pair, data)
        if end is not None:
            self.left[pair] = end - len(data)
        elif len(self.needle) > 1:
            self.tails[pair] = (self.tails.get(pair, b"") + data)[1 - len(self.needle) :]


class Link:
    """Made by `Rig.link`; who dials is told `address`.  Each call is noted in the rig's log.

    A fault takes the place of the one before; `slow` alone goes with the others.
    """

    def __init__(self, name: str, ip: str, target: Address, note: Callable[[str], int]) -> None:
        self.name, self._note = name, note
        self._delay_s = 0.0
        self.relay = Relay(Way(*name.split(" to ")), ip, target, lambda: self._delay_s)
        self.relay.watch = self._see
        self.relay.open()
        self.passed = {Ways.THERE: 0, Ways.BACK: 0}  # bytes that came and went on, or wait to
        self._triggers: list[Trigger] = []

    @property
    def address(self) -> Address:
        return self.relay.address

    # Faults

    def drop(self, way: str = "both") -> None:
        """Packets that go this way are lost.  Dials never come up."""
        self._fault(f"dropped, {way}", ways_of(way), deaf=True)

    def silent(self, way: str = "both") -> None:
        """Dials come up, and bytes are taken; nothing comes out on the other side."""
        self._fault(f"silent, {way}", ways_of(way), deaf=False)

    def refuse(self) -> None:
        """Dials are refused, as by a machine where nothing listens; connections go on."""
        self._note(f"{self.name}: refuses")
        self.relay.refuse()

    def reset(self) -> None:
        """All connections, now; dials come up as before."""
        self._note(f"{self.name}: reset")
        for pair in list(self.relay.pairs):
            pair.reset()

    def slow(self, ms: float) -> None:
        """So much later, each way; 0: no more."""
        self._note(f"{self.name}: {ms:g} ms")
        self._delay_s = ms / 1_000

    def heal(self) -> None:
        """None of all this, and what was held goes on."""
        self._delay_s = 0.0
        self._fault("healed", Ways.NONE, deaf=False)

    def _fault(self, text: str, holds: Ways, deaf: bool) -> None:
        self._note(f"{self.name}: {text}")
        if not self.relay.is_open:
            self.relay.open()
        self.relay.deafen(deaf)
        self.relay.hold(holds)

    def end(self) -> None:
        self.relay.hold(Ways.NONE)
        self.relay.close()

    # On what passes

    def when(
        self, needle: bytes, then: Callable[[], None] | None = None, way: str = "there", after: int = 0
    ) -> asyncio.Future[int]:
        """Once, when the needle and `after` bytes more have gone this way in one connection, and before the
        next byte does: `then`, with what went before delivered.  Gives the clock at that moment.

        ValueError for an empty needle, or a way that is not one."""
        if not needle or ways_of(way) is Ways.BOTH:
            raise ValueError("a needle of at least one byte, and the way: there or back")
        fallen: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._triggers.append(Trigger(needle, ways_of(way), after, fallen, then))
        return fallen

    def _see(self, way: Ways, data: bytes, pair: Pair) -> tuple[int, Callable[[], None]] | None:
        mine = [trigger for trigger in self._triggers if trigger.way is way]
        first = min(
            (
                (reach, number)
                for number, trigger in enumerate(mine)
                if (reach := trigger.reach(pair, data)) is not None
            ),
            default=None,
        )
        size = len(data) if first is None else first[0]
        self.passed[way] += size
        falls = None if first is None else mine[first[1]]
        for trigger in mine:
            if trigger is not falls:
                trigger.pass_on(pair, data[:size])
        if falls is None:
            return None
        self._triggers.remove(falls)
        return size, lambda: self._fall(falls)

    def _fall(self, trigger: Trigger) -> None:
        at = self._note(f"{self.name}: {trigger.needle[:40]!r} has passed")
        if trigger.then:
            trigger.then()
        if not trigger.fallen.done():
            trigger.fallen.set_result(at)
