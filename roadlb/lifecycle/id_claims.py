"""The ids that the processes of one balancer have in use, so that no two requests with one id run.

Each process writes a table of its own, in a file of the directory that they share, and reads those of the
others.  A process claims an id before it looks: of two that take one id at the same moment at least one finds
the other's claim.  A claim lasts as long as the process keeps the id: while its request is open, and for its
retention from then on.

A table is a fixed number of buckets of slots: a digest and the claim's state.  In a full bucket a retained id
makes room, one of a read before one of an order; the id of an open request never does.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Callable, Iterable
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path

DIGEST_BYTES, SLOT_BYTES = 7, 8  # a slot is written at once: others read it meanwhile
SLOTS_PER_BUCKET, BUCKETS = 8, 4_096
BUCKET_BYTES = SLOT_BYTES * SLOTS_PER_BUCKET
TABLE_BYTES = BUCKET_BYTES * BUCKETS
KEPT_US = 6_000_000  # the table of a process that has ended: longer than an id is retained


# The last byte of a slot.
FREE, OPEN, RETAINED_READ, RETAINED_ORDER = 0, 1, 2, 3
FREE_SLOT, OPEN_BYTE = bytes(SLOT_BYTES), bytes([OPEN])
FIRST_TAKEN = (FREE, RETAINED_READ, RETAINED_ORDER)  # by a new claim, of a bucket's slots


class _Table:
    """Another process's table."""

    __slots__ = ("inode", "memory", "until_us")

    def __init__(self, path: Path) -> None:
        fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            self.inode = os.fstat(fd).st_ino
            self.memory = mmap.mmap(fd, TABLE_BYTES, prot=mmap.PROT_READ)
        finally:
            os.close(fd)
        self.until_us = 0  # until when it is kept; 0: its process lives


class IdClaims:
    """The table of this process at `path`, and those of the others; raises OSError if it cannot be made."""

    def __init__(self, path: Path, clock: Callable[[], int]) -> None:
        self._path, self._clock = path, clock
        # A table that a process with this name left behind may be mapped by others: it is not written again.
        path.unlink(missing_ok=True)
        fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            # Without it, writing to a page for which there is no room would end the process.
            os.posix_fallocate(fd, 0, TABLE_BYTES)
            self._own = mmap.mmap(fd, TABLE_BYTES)
        finally:
            os.close(fd)
        self._others: dict[Path, _Table] = {}
        self._ended: list[_Table] = []  # of processes that have ended

    def claim(self, id: bytes) -> bool:
        """Claim the id of a request; return whether it could be, and no other process has claimed it."""
        digest, start = _place(id)
        place = self._place_for_claim(start)
        if place < 0:
            return False
        self._own[place : place + SLOT_BYTES] = digest + OPEN_BYTE
        tables = [*self._others.values(), *self._ended]
        if any(_find(table.memory, start, digest) >= 0 for table in tables):
            self._own[place : place + SLOT_BYTES] = FREE_SLOT
            return False
        return True

    def retain(self, id: bytes, is_repeatable: bool) -> None:
        """The claimed id's request has ended, and it may have run; `is_repeatable`: its class is safe."""
        digest, start = _place(id)
        if (place := _find(self._own, start, digest)) >= 0:
            self._own[place + DIGEST_BYTES] = RETAINED_READ if is_repeatable else RETAINED_ORDER

    def release(self, id: bytes) -> None:
        """The id is free again, if it is still claimed."""
        digest, start = _place(id)
        if (place := _find(self._own, start, digest)) >= 0:
            self._own[place : place + SLOT_BYTES] = FREE_SLOT

    def _place_for_claim(self, start: int) -> int:
        """Return where in this bucket a claim is written; -1: each slot has the id of an open request."""
        states = self._own[start + DIGEST_BYTES : start + BUCKET_BYTES : SLOT_BYTES]
        for state in FIRST_TAKEN:
            if (slot := states.find(state)) >= 0:
                return start + slot * SLOT_BYTES
        return -1

    def follow(self, paths: Iterable[Path]) -> None:
        """Read the tables of these processes, which live; those of ended ones are kept for a while."""
        living, now = set(paths), self._clock()
        for path, table in list(self._others.items()):
            if path not in living or _inode(path) != table.inode:  # another process may have its name by now
                table.until_us = now + KEPT_US
                self._ended.append(self._others.pop(path))
        for path in living - self._others.keys():
            with suppress(OSError, ValueError):  # it is not made yet, or has just been removed
                self._others[path] = _Table(path)
        while self._ended and self._ended[0].until_us <= now:
            self._ended.pop(0).memory.close()

    def close(self) -> None:
        """Remove the table; processes that read it keep what they have mapped."""
        with suppress(OSError):
            self._path.unlink()
        self._own.close()
        for table in [*self._others.values(), *self._ended]:
            table.memory.close()
        self._others, self._ended = {}, []


def _inode(path: Path) -> int:
    """The file's number; 0 if there is none."""
    try:
        return path.stat().st_ino
    except OSError:
        return 0


def _place(id: bytes) -> tuple[bytes, int]:
    """Return an id's digest, and where in a table its bucket begins."""
    digest = blake2b(id, digest_size=DIGEST_BYTES).digest()
    return digest, int.from_bytes(digest[:4], "little") % BUCKETS * BUCKET_BYTES


def _find(memory: mmap.mmap, start: int, digest: bytes) -> int:
    """Return where in this bucket the digest's slot begins; -1: it has none."""
    bucket = memory[start : start + BUCKET_BYTES]
    place = bucket.find(digest)
    while place >= 0 and place % SLOT_BYTES:
        place = bucket.find(digest, place + 1)
    return start + place if place >= 0 else -1
