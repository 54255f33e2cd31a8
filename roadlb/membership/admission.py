"""Whose datagrams are let in: by rate, by life and by number; a decider without I/O.

    what comes                                   verdict   reason
    more than its sender's rate, or all's        FLOOD     a sick one must not cost the others their turn
    of a life that is the proved one, new        PASS
    the same, its number seen or long past       REPLAY    a datagram counts once
    of another life than the proved one          ASK       older: a replay from yesterday, or a process whose
                                                           clock was set back; newer: a restart, or a replay
                                                           to one who never knew a later life.  Its pings are
                                                           answered and it is pinged; no word of it counts
                                                           until it answers, which no replay can

Which life is proved, `Members` says (`Trust`; `Distrust` when it is gone).
"""

from __future__ import annotations

from enum import Enum

from .events import life_of

WINDOW = 1_024  # numbers behind the greatest seen that may still come, each once ...
LATE_US = 5_000_000  # ... and as long as the greatest was passed less than once or twice this ago
SENDERS_MOST = 8_192  # remembered; the one heard longest ago goes first
SENDER_RATE, SENDER_BURST = 300, 600  # datagrams a second, and at once, of one
ALL_RATE, ALL_BURST = 5_000, 5_000  # and of all: about a tenth of a core at 20 us each


class Verdict(Enum):
    PASS = "pass"
    ASK = "ask"
    REPLAY = "replayed"
    FLOOD = "flooded"


class Bucket:
    """So many a second, and so many at once."""

    __slots__ = ("at", "burst", "rate", "room")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.room, self.at = rate, burst, burst, 0

    def take(self, now: int) -> bool:
        self.room = min(self.burst, self.room + max(0, now - self.at) * self.rate / 1e6)
        self.at = now
        if self.room < 1:
            return False
        self.room -= 1
        return True


class Sender:
    """What is remembered of one name.  Numbers up to `floor` are past; of the WINDOW up to `top`, bit i of
    `seen` is the number top - i."""

    __slots__ = ("bucket", "floor", "floor_us", "life", "next_floor", "seen", "top")

    def __init__(self) -> None:
        self.bucket = Bucket(SENDER_RATE, SENDER_BURST)
        self.life, self.top, self.seen, self.floor, self.next_floor, self.floor_us = -1, -1, 0, -1, -1, 0


class Admission:
    """`judge(now, sender, incarnation, number)` for each datagram whose tag is true."""

    __slots__ = ("_all", "senders")

    def __init__(self) -> None:
        self._all = Bucket(ALL_RATE, ALL_BURST)
        self.senders: dict[str, Sender] = {}

    def _sender(self, name: str) -> Sender:
        sender = self.senders.pop(name, None) or Sender()
        self.senders[name] = sender
        if len(self.senders) > SENDERS_MOST:
            del self.senders[next(iter(self.senders))]
        return sender

    def trust(self, name: str, life: int) -> None:
        """A life that runs; the proved one never goes back."""
        sender = self._sender(name)
        if life > sender.life:
            sender.life, sender.top, sender.floor = life, -1, -1

    def distrust(self, name: str) -> None:
        """It is gone: what comes under its name has to prove itself anew."""
        self._sender(name).life = -1

    def judge(self, now: int, name: str, incarnation: int, number: int) -> Verdict:
        sender = self._sender(name)
        if not sender.bucket.take(now) or not self._all.take(now):
            return Verdict.FLOOD
        if life_of(incarnation) != sender.life:
            return Verdict.ASK
        if sender.top < 0:  # what went before this one is past
            sender.top, sender.seen, sender.floor_us = number, 1, now
            sender.floor = sender.next_floor = number - 1
            return Verdict.PASS
        if now - sender.floor_us >= LATE_US:
            sender.floor, sender.next_floor, sender.floor_us = sender.next_floor, sender.top, now
        if number > sender.top:
            shift = number - sender.top
            sender.seen = (sender.seen << shift) & (1 << WINDOW) - 1 if shift < WINDOW else 0
            sender.seen |= 1
            sender.top = number
            return Verdict.PASS
        behind = sender.top - number
        if number <= sender.floor or behind >= WINDOW or sender.seen >> behind & 1:
            return Verdict.REPLAY
        sender.seen |= 1 << behind
        return Verdict.PASS
