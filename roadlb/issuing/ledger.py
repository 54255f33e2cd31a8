"""What a leader writes into the store, in order: book, roll, lines of history; and what stands there.

Of books and rolls that wait only the newest is written, since each is whole.  A version in force is never
written over by an older one: the issuer may say the book twice, and say an older one in between.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from ..agreement.events import NOTHING, Book, Keep, KeepRoll, Kept, RollKept, Unkept, Version, VersionId
from ..clock import Clock
from ..etcd.model import Delete, Operation, Pair, Put, StoreError
from ..log import Limit, fields
from ..xds.codec.protos import CodecError
from .books import Books
from .history import HISTORY, HISTORY_MOST, Line, read_line, write_line
from .keys import Keys
from .roll import ROLL, read_roll, write_roll
from .seat import Seat

logger = logging.getLogger(__name__)

LINES_WAITING = 64  # lines of history that wait for the store


class Ledger:
    """`told` gets `Kept` and `Unkept`, `enrolled` `RollKept`.  `book`: the newest that the store was seen to
    hold; `lines`: of the history, by key."""

    def __init__(
        self,
        keys: Keys,
        books: Books,
        by: str,
        clock: Clock,
        wall: Clock,
        told: Callable[[Kept | Unkept, Book], None],
        enrolled: Callable[[RollKept], None],
    ) -> None:
        self.book, self.lines = Book(), dict[str, Line]()
        self.kept_force = NOTHING  # the newest in force that this service knows there
        self._keys, self._books, self._by, self._wall, self._told = keys, books, by, wall, told
        self._enrolled = enrolled
        self._keep: Keep | None = None
        self._roll: KeepRoll | None = None
        self._waiting: list[tuple[int, Line]] = []  # with the epoch that said it
        self._last_line = 0
        self._work = asyncio.Event()
        self._warnings = Limit(clock, 20)

    # What stands there

    def seen(self, found: Mapping[str, Pair | None], whole: bool) -> None:
        """As the seat tells it."""
        if whole:
            self.lines.clear()
        for name, pair in found.items():
            if name.startswith(HISTORY):
                line = read_line(name, pair.value) if pair is not None else None
                if line is None:
                    self.lines.pop(name, None)
                else:
                    self.lines[name] = line
                    self._last_line = max(self._last_line, line.number)
        if whole or "force" in found or "prepared" in found:
            force = self.version(found.get("force"))
            prepared = (
                self.version(found.get("prepared")) if whole or "prepared" in found else self.book.prepared
            )
            self.book = Book(newest(self.book.force, force), prepared)

    def version(self, pair: Pair | None) -> Version | None:
        """None too for one that cannot be read, which is logged."""
        if pair is None:
            return None
        try:
            return self._books.read(pair.value)
        except CodecError as e:
            self._warn("not readable", key=pair.key.decode(errors="replace"), error=e)
            return None

    def roll(self, pair: Pair | None) -> frozenset[str]:
        """Empty for none, as in a store of an earlier release, and for one that cannot be read."""
        if pair is None:
            return frozenset()
        try:
            return read_roll(pair.value)
        except CodecError as e:
            self._warn("not readable", key=pair.key.decode(errors="replace"), error=e)
            return frozenset()

    # What is written

    def enrol(self, roll: KeepRoll) -> None:
        self._roll = roll
        self._work.set()

    def keep(self, keep: Keep) -> None:
        self._keep = keep
        self._work.set()

    def add(self, epoch: int, word: str, id: VersionId, text: str, by: str = "", record: bytes = b"") -> int:
        """A line of history under this epoch; its number."""
        self._last_line += 1
        line = Line(
            self._last_line,
            self._wall() // 1000,
            word,
            str(id) if id != NOTHING else "",
            text,
            by or self._by,
            record,
        )
        self._waiting = [*self._waiting, (epoch, line)][-LINES_WAITING:]
        self._work.set()
        return line.number

    async def run(self, seat: Seat) -> None:
        while True:
            if self._keep is None and self._roll is None and not self._waiting:
                self._work.clear()
                await self._work.wait()
            if self._keep is not None:
                keep, self._keep = self._keep, None
                await self._write_book(seat, keep)
            elif self._roll is not None:
                roll, self._roll = self._roll, None
                await self._write_roll(seat, roll)
            elif self._waiting:
                await self._write_line(seat, *self._waiting.pop(0))

    async def _write_book(self, seat: Seat, keep: Keep) -> None:
        force, prepared, then = keep.book.force, keep.book.prepared, list[Operation]()
        try:
            if force is not None and force.id > self.kept_force:
                then.append(Put(self._keys["force"], self._books.write(force)))
            then.append(
                Put(self._keys["prepared"], self._books.write(prepared))
                if prepared is not None
                else Delete(self._keys["prepared"])
            )
            reason = "" if (await seat.write(keep.epoch, *then)).held else "the seat is another's"
        except (StoreError, CodecError) as e:
            reason = str(e)
            self._warn("book not kept", error=e)
        if force is None:
            return
        if not reason:
            self.kept_force = max(self.kept_force, force.id)
            self.book = Book(newest(self.book.force, force), prepared)
        self._told(Unkept(force.id, reason) if reason else Kept(force.id), keep.book)

    async def _write_roll(self, seat: Seat, roll: KeepRoll) -> None:
        """Without an answer it is asked again."""
        try:
            held = (await seat.write(roll.epoch, Put(self._keys[ROLL], write_roll(roll.names)))).held
        except StoreError as e:
            self._warn("roll not kept", error=e)
            return
        if held:
            self._enrolled(RollKept(roll.number))

    async def _write_line(self, seat: Seat, epoch: int, line: Line) -> None:
        old = [Delete(self._keys[key]) for key in sorted(self.lines)[: -HISTORY_MOST + 1]][:HISTORY_MOST]
        try:
            await seat.write(epoch, Put(self._keys[line.key], write_line(line)), *old)
        except StoreError as e:
            self._warn("history not written", error=e)

    def _warn(self, event: str, **values: object) -> None:
        if self._warnings.allows():
            logger.warning(event, extra=fields(**values))


def newest(a: Version | None, b: Version | None) -> Version | None:
    """The newer of two versions; the first if they are one."""
    if a is None or (b is not None and b.id > a.id):
        return b
    return a
