"""The way between two hosts: delay, jitter, splitting, speed, and silence."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .host import Host
    from .loop import SimLoop

FIRST_RETRY_US = 200_000  # Linux sends a lost segment again after 200 ms, then after twice as long
LONGEST_RETRY_US = 120_000_000  # ... and never waits for longer than 2 minutes


@dataclass(slots=True)
class Link:
    """One direction between two halls.  All of it may be changed while running.

    A segment takes `delay_us` and between 0 and `jitter_us` more, and what is needed for its bytes at
    `bytes_per_s` (0: no limit), which all streams of the link share.  `segment_bytes`: the most in one
    segment (0: no limit).  `split`: the chance that a segment is cut at a random place, and again for what is
    left of it.  The parts never arrive at one instant.
    `lose`: the chance that a segment or datagram is lost; TCP sends it again after 0.2 s, and what came
    behind it waits.  With jitter, datagrams overtake one another; `repeat`, `cut_short`: the chance that one
    comes twice, or without its end.
    """

    delay_us: int = 250
    jitter_us: int = 0
    bytes_per_s: int = 0
    segment_bytes: int = 0
    split: float = 0.0
    lose: float = 0.0
    repeat: float = 0.0
    cut_short: float = 0.0
    cut: bool = False  # set by Network.cut
    free_at_us: int = 0  # when the last byte that it was given will have gone


class Route:
    """From one host to another; `silent` while nothing gets through."""

    __slots__ = ("loop", "source", "target", "link", "rng", "silent", "_parked")

    def __init__(self, loop: SimLoop, source: Host, target: Host, link: Link) -> None:
        self.loop, self.source, self.target, self.link = loop, source, target, link
        self.rng = loop.random(f"route {source.name} {target.name}")
        self._parked: list[Callable[[], None]] = []
        self.silent = self._silent()

    def _silent(self) -> bool:
        if self.source is self.target:
            return False
        return self.link.cut or self.source.gone or self.target.gone

    def arrival(self, size: int) -> int:
        """When a segment that leaves now is there; microseconds."""
        link, at = self.link, self.loop.now_us
        if link.bytes_per_s:
            at = link.free_at_us = max(at, link.free_at_us) + -(-size * 1_000_000 // link.bytes_per_s)
        at += link.delay_us
        if link.jitter_us:
            at += int(self.rng.random() * (link.jitter_us + 1))
        return at

    def loses(self) -> bool:
        """Is what leaves now lost on its way?"""
        return self.link.lose > 0 and self.rng.random() < self.link.lose

    def parts(self, data: bytes) -> list[bytes]:
        """What is written at once, as it is cut on its way."""
        chance, most = self.link.split, self.link.segment_bytes or len(data)
        parts, rng = [data[at : at + most] for at in range(0, len(data), most)], self.rng
        if not chance:
            return parts
        pieces = []
        for part in parts:
            while len(part) > 1 and rng.random() < chance:
                at = rng.randrange(1, len(part))
                pieces.append(part[:at])
                part = part[at:]
            pieces.append(part)
        return pieces

    def carry(self, event: Callable[[], None]) -> None:
        """Have a small message of the kernel's arrive: `event` runs in a delay's time, or after silence."""
        self.loop.kernel_at(self.arrival(0), lambda: self.when_open(event))

    def when_open(self, event: Callable[[], None]) -> None:
        if self.silent:
            self._parked.append(event)
        else:
            event()

    def look_again(self) -> None:
        """A fault came or went: go on where the silence has ended."""
        before, self.silent = self.silent, self._silent()
        if before and not self.silent:
            parked, self._parked = self._parked, []
            for event in parked:
                event()

    def retry_at(self, lost_us: int) -> int:
        """When TCP next sends again what was lost at `lost_us`, now that it would get through."""
        at, wait = lost_us + FIRST_RETRY_US, FIRST_RETRY_US
        while at < self.loop.now_us:
            wait = min(2 * wait, LONGEST_RETRY_US)
            at += wait
        return at
