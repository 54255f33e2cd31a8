"""What two processes of one balancer know of each other: locks and a small file in a directory they share.

Each holds a lock on a file of its own, which the kernel frees at its death.  The handover file is replaced as
a whole, has a version and a checksum, and whatever is wrong with it, it is as good as none.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import struct
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

from ..log import fields

logger = logging.getLogger(__name__)

VERSION = 1
SIZE_MOST = 8 << 20
FILE, LOCKS = "roadlb.handover", "roadlb.*.lock"
LOCK_TRIES = (
    20  # each may meet another process that looks just then, or one with this pid in its own namespace
)
_HELD = struct.Struct("<IIQ")


@dataclass(frozen=True, slots=True)
class Handover:
    """What a successor goes on with: `known`, a whole list in discovery's form, told by `discovery`."""

    discovery: str
    known: Mapping[str, object]
    draining: bool


def generation_of(known: Mapping[str, object]) -> int:
    """The generation of a list; -1 where there is none to read."""
    generation = known.get("generation")
    return generation if isinstance(generation, int) and known.get("instances") else -1


@dataclass(frozen=True, slots=True)
class Held:
    """What a process holds: connections of clients and to instances, and resident memory in bytes."""

    clients: int
    instances: int
    memory: int


def table_path(lock_path: Path) -> Path:
    """Where the process with this lock keeps the ids of its requests."""
    return lock_path.with_suffix(".ids")


class Neighbours:
    """The processes of this balancer that live, as told by their locks in a directory."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.other_tables: list[Path] = []  # of the others that lived at the last look
        for number in range(LOCK_TRIES):
            self._mine = directory / f"roadlb.{os.getpid()}.{number}.lock"
            self._lock = os.open(self._mine, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
            with suppress(BlockingIOError):
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                # Before it was locked, another may have taken it for a dead one's and removed it.
                if os.fstat(self._lock).st_nlink:
                    return
            os.close(self._lock)
        raise BlockingIOError(f"no file in {directory} could be locked")

    def tell(self, held: Held) -> None:
        """Say what this process holds, for the others to leave it its part of the limits."""
        os.pwrite(self._lock, _HELD.pack(held.clients, held.instances, held.memory), 0)

    @property
    def table_path(self) -> Path:
        """Where this process keeps the ids of its requests."""
        return table_path(self._mine)

    def others(self) -> list[Held]:
        """What each of the others that live holds; the files of dead ones are removed."""
        others: list[Held] = []
        self.other_tables = []
        for path in self._directory.glob(LOCKS):
            if path == self._mine:
                continue
            with suppress(OSError):  # gone meanwhile
                lock = os.open(path, os.O_RDWR | os.O_CLOEXEC)
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    path.unlink()
                    table_path(path).unlink(missing_ok=True)
                except BlockingIOError:
                    self.other_tables.append(table_path(path))
                    told = os.pread(lock, _HELD.size, 0)
                    others.append(Held(*_HELD.unpack(told)) if len(told) == _HELD.size else Held(0, 0, 0))
                finally:
                    os.close(lock)
        return others

    def leave(self) -> None:
        with suppress(OSError):
            self._mine.unlink()
        os.close(self._lock)


def write(directory: Path, handover: Handover) -> None:
    """Replace the handover file; what cannot be written is logged, and the one before stays."""
    body = json.dumps(
        {"discovery": handover.discovery, "known": handover.known, "draining": handover.draining},
        separators=(",", ":"),
    ).encode()
    head = b"roadlb-handover %d %b\n" % (VERSION, _sum(body))
    new = directory / f"{FILE}.{os.getpid()}"
    try:
        new.write_bytes(head + body)
        new.replace(directory / FILE)
    except OSError as e:
        logger.warning("handover not written", extra=fields(error=e))


def read(directory: Path) -> Handover | None:
    """The handover file, or None where there is none; ValueError, which says why, if it cannot be used."""
    try:
        with (directory / FILE).open("rb") as file:
            head, body = file.readline(200), file.read(SIZE_MOST + 1)
    except OSError:
        return None
    words = head.split()
    if len(words) != 3 or words[0] != b"roadlb-handover":
        raise ValueError("it is no handover")
    if words[1] != b"%d" % VERSION:
        raise ValueError(f"version {words[1].decode('latin-1')} is not {VERSION}")
    if len(body) > SIZE_MOST or _sum(body) != words[2]:
        raise ValueError("its checksum is wrong")
    raw = json.loads(body)
    return Handover(str(raw["discovery"]), dict(raw["known"]), raw["draining"] is True)


def _sum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()
