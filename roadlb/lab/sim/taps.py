"""What the network saw: segments delivered, connections opened, ended and reset; and a digest of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import TypeAlias

HASH_AT_ONCE = 512  # events are hashed in lumps: a call for each costs as much as the event


@dataclass(slots=True, frozen=True)
class Seen:
    """One thing that arrived.

    `kind`: `open` (the target's kernel has taken a connection), `refuse` (a dial was answered with a reset),
    `data`, `fin` (the source writes no more), `reset`, `datagram`.  `connection` counts from 1; 0: none.
    """

    sequence: int
    at: int  # microseconds
    kind: str
    connection: int
    source: str  # "ip:port"
    target: str
    data: bytes


Tap: TypeAlias = Callable[[Seen], None]


class Taps:
    """Listeners, and a running digest that two runs of one seed have in common."""

    def __init__(self) -> None:
        self.sequence = 0
        self._taps: list[Tap] = []
        self._hash = blake2b(digest_size=16)
        self._lines: list[str] = []
        self._bytes: list[bytes] = []

    def add(self, tap: Tap) -> Callable[[], None]:
        """Call `tap` for each event from now on; returns what ends that."""
        self._taps.append(tap)
        return lambda: self._taps.remove(tap)

    def seen(self, at: int, kind: str, connection: int, source: str, target: str, data: bytes = b"") -> None:
        self.sequence += 1
        self._lines.append(f"{at} {kind} {connection} {source} {target} {len(data)}")
        self._bytes.append(data)
        if len(self._lines) > HASH_AT_ONCE:
            self._flush()
        if self._taps:
            event = Seen(self.sequence, at, kind, connection, source, target, data)
            for tap in tuple(self._taps):
                tap(event)

    def digest(self) -> str:
        """Of all that was seen so far, in hexadecimal."""
        whole = self._hash.copy()
        whole.update(self._lump())
        return whole.hexdigest()

    def _flush(self) -> None:
        self._hash.update(self._lump())
        self._lines.clear()
        self._bytes.clear()

    def _lump(self) -> bytes:
        """Lines tell how long the bytes of each event are, so that no two lists of events look the same."""
        return "\n".join(self._lines).encode() + b"\n" + b"".join(self._bytes)
