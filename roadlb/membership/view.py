"""Who is known: members that are there, the dead for a while, and a digest, by which two views are compared.

The digest is the XOR of one hash for each member there, of its name and incarnation; the dead, whom each
forgets in its own time, are left out.  (By lives alone a missed refutation was not mended: with 30% lost, 3
of 50 living members were buried in 4 minutes; so, none.)  BUCKETS parts of it, by name, tell where two views
differ: 256 bytes find one difference among thousands, and one answer mends it.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from random import Random

from .events import Member, State
from .messages import BUCKETS

MEMBERS_MOST = 4_096  # there at once; more are passed over, and counted
GONE_MOST = 1_024  # remembered at once
GONE_KEEP_US = 120_000_000  # remembered for so long: older rumours of them have died out, and splits heal


class Entry:
    """One member as it is known."""

    __slots__ = (
        "bucket",
        "due_us",
        "hash",
        "heard_us",
        "member",
        "since_us",
        "suspected_us",
        "suspecters",
        "warned_us",
    )

    def __init__(self, member: Member, now: int) -> None:
        self.member, self.since_us, self.heard_us = member, now, 0
        self.suspecters: tuple[str, ...] = ()  # who doubts it, the first one first
        self.suspected_us = self.due_us = self.warned_us = 0
        self.bucket = hashed(member.name) % BUCKETS
        self.hash = 0

    @property
    def there(self) -> bool:
        return self.member.state <= State.SUSPECT


def hashed(text: str) -> int:
    """64 bits, the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class View:
    """Members by name, this process's own among them."""

    __slots__ = ("_at", "_gone", "_names", "_random", "buckets", "digest", "entries", "most")

    def __init__(self, random: Random, most: int = MEMBERS_MOST) -> None:
        self._random, self.most = random, most
        self.entries: dict[str, Entry] = {}
        self.buckets, self.digest = [0] * BUCKETS, 0
        self._names: list[str] = []  # of those there, in no order
        self._at: dict[str, int] = {}  # where each stands in it
        self._gone: dict[str, int] = {}  # since when, the oldest first

    def __len__(self) -> int:
        """How many are there."""
        return len(self._names)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self.entries.values())

    @property
    def full(self) -> bool:
        return len(self._names) >= self.most

    def put(self, now: int, member: Member) -> Entry:
        """It is so from now on."""
        entry = self.entries.get(member.name)
        if entry is None:
            entry = self.entries[member.name] = Entry(member, now)
        elif entry.member.state != member.state:
            entry.since_us = now
        entry.member = member
        self._weigh(entry, hashed(f"{member.name}\0{member.incarnation}") if entry.there else 0)
        if entry.there:
            self._gone.pop(member.name, None)
            if member.name not in self._at:
                self._at[member.name] = len(self._names)
                self._names.append(member.name)
        else:
            if member.name in self._at:
                self._take_out(member.name)
            self._gone.pop(member.name, None)
            self._gone[member.name] = now
        return entry

    def _weigh(self, entry: Entry, value: int) -> None:
        change, entry.hash = entry.hash ^ value, value
        self.buckets[entry.bucket] ^= change
        self.digest ^= change

    def _take_out(self, name: str) -> None:
        at, last = self._at.pop(name), self._names.pop()
        if last != name:
            self._names[at], self._at[last] = last, at

    def forget(self, now: int) -> None:
        """The dead of long ago, and the oldest of too many."""
        while self._gone:
            name, since = next(iter(self._gone.items()))
            if len(self._gone) <= GONE_MOST and now - since < GONE_KEEP_US:
                return
            del self._gone[name], self.entries[name]

    def some(self, count: int, but: set[str]) -> list[Member]:
        """So many of those there, drawn, without these; fewer where there are not so many."""
        names = self._names
        if len(names) <= 4 * (count + len(but)):
            names = [name for name in names if name not in but]
            drawn = self._random.sample(names, min(count, len(names)))
        else:
            chosen: dict[str, None] = {}
            while len(chosen) < count:
                name = names[int(self._random.random() * len(names))]
                if name not in but:
                    chosen[name] = None
            drawn = list(chosen)
        return [self.entries[name].member for name in drawn]

    def one_silent(self) -> Member | None:
        """One of the dead, drawn, that has not said itself that it leaves."""
        names = [name for name in self._gone if self.entries[name].member.state is State.DEAD]
        return self.entries[self._random.choice(names)].member if names else None

    def names_there(self) -> list[str]:
        return list(self._names)

    def differing(self, buckets: tuple[int, ...]) -> list[Entry]:
        """Those in buckets that differ from these, in an order that is drawn; the dead among them."""
        odd = {i for i, value in enumerate(buckets) if value != self.buckets[i] & 0xFFFFFFFF}
        found = [entry for entry in self if entry.bucket in odd]
        self._random.shuffle(found)
        return found
