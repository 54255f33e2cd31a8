"""The store: one state on one disk, as a snapshot and a log of changes since, each in generations.

    snap.N   the state when generation N began            log.N   the changes since, one record each

A change is one append and one fsync.  When the log has outgrown the snapshot, generation N+1 begins: its
files are written and synced under other names before the rename that makes them count, and generation N stays
until the next one.  So a snapshot of which a byte is spoilt is made good from the one before and both logs,
and a crash leaves the state before a change or the one after.

What is not ours is put aside under `aside.`, never read and never written over.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass

from ..counters import Counters
from ..log import fields
from .disk import Disk
from .forms import apply, read_state, write_change, write_state
from .records import Record, Spoilt, pack, unpack
from .state import Change, State, after

logger = logging.getLogger(__name__)

SCHEMA = 1
LOG_LEAST = 256 << 10  # bytes: below it a log is never folded into a snapshot
LOG_PER_SNAPSHOT = 2  # a log so many times as large is
ASIDE = "aside."
NEW = "new"


@dataclass(frozen=True, slots=True)
class _File:
    kind: str  # snap or log
    generation: int
    items: tuple[Record | Spoilt, ...]

    @property
    def head(self) -> Record | None:
        """The record that says whose file it is, if it is whole."""
        first = self.items[0] if self.items else None
        return first if isinstance(first, Record) and "schema" in first.said else None


class Store:
    """`open()` once, then `put()`.  One process at a time; `name` is the balancer's own."""

    def __init__(self, disk: Disk, name: str, counters: Counters) -> None:
        self._disk, self._name, self._counters = disk, name, counters
        self.state = State()
        self._generation = 0  # the newest of which there may be files
        self._sound = False  # its log may be appended to
        self._log_size = self._log_most = 0

    def open(self, write: bool = True) -> State:
        """The state as last kept; an empty one where there is none, or none that can be used.

        Never raises: without its disk a balancer goes on, and counts it.  Without `write`, as another process
        has the store, it is only read; it is opened again before anything is put.
        """
        self.state = State()
        try:
            files = list(self._files())
            self._generation = max((file.generation for file in files), default=0)
            if foreign := next(filter(None, map(self._foreign, files)), ""):
                if write:
                    self._put_aside(foreign)
            else:
                self.state = self._load(files)
        except OSError as e:
            self._failed("store not read", e)
        try:
            if write:
                self._begin(self.state)
        except OSError as e:
            self._failed("store not written", e)
        return self.state

    def put(self, change: Change) -> None:
        """Keep a change: when this returns, the change survives a crash.

        OSError: it may or may not; `state` is the one before, and the next change goes to new files.
        """
        new, data = after(self.state, change), write_change(change, self.state.version)
        try:
            if self._sound:
                self._append(data)
            else:
                self._begin(new)
        except OSError as e:
            self._failed("change not kept", e)
            raise
        self.state = new
        self._counters.add("store.put")
        if self._log_size > self._log_most:
            # The change is in the old log too, so that the new snapshot can be done without.
            try:
                self._begin(new)
            except OSError as e:
                self._failed("log not folded", e)

    # Writing

    def _append(self, data: bytes) -> None:
        name, self._sound = f"log.{self._generation}", False  # until it is synced
        self._disk.append(name, data)
        self._disk.sync(name)
        self._sound = True
        self._log_size += len(data)

    def _begin(self, state: State) -> None:
        """The next generation, from this state."""
        self._sound = False
        self._generation += 1
        number, head = self._generation, {"schema": SCHEMA, "name": self._name}
        snapshot = write_state(state, head)
        self._disk.write(NEW, snapshot)
        self._disk.sync(NEW)
        self._disk.write(f"log.{number}", pack(head))
        self._disk.sync(f"log.{number}")
        self._disk.rename(NEW, f"snap.{number}")
        self._disk.sync_names()
        self._sound, self._log_size = True, 0
        self._log_most = max(LOG_LEAST, LOG_PER_SNAPSHOT * len(snapshot))
        self._counters.add("store.snapshot")
        with suppress(OSError):  # files too many do no harm
            for name, _, generation in self._own_names():
                if generation < number - 1:
                    self._disk.remove(name)

    def _failed(self, what: str, error: OSError) -> None:
        self._counters.add("store.failed")
        logger.error(what, extra=fields(error=f"{type(error).__name__}: {error}"))

    # Reading

    def _own_names(self) -> list[tuple[str, str, int]]:
        """File name, kind and generation."""
        found = []
        for name in self._disk.names():
            kind, _, number = name.partition(".")
            if kind in ("snap", "log") and number.isascii() and number.isdigit():
                found.append((name, kind, int(number)))
        return found

    def _files(self) -> Iterator[_File]:
        for name, kind, generation in self._own_names():
            yield _File(kind, generation, tuple(unpack(self._disk.read(name))))

    def _foreign(self, file: _File) -> str:
        """Why a file is not ours to read; empty if it is."""
        if (head := file.head) is None:
            return ""
        schema, name = head.said["schema"], head.said["name"]
        if schema != SCHEMA:
            return f"schema {schema}, this program has {SCHEMA}"
        return "" if name == self._name else f"of {name!r}, we are {self._name!r}"

    def _put_aside(self, why: str) -> None:
        """Keep what is there for a person, and begin with nothing, as at a first start."""
        for name in self._disk.names():
            if name.startswith(ASIDE):
                self._disk.remove(name)  # one that was put aside is enough: the disk is bounded
        for name, _, _ in self._own_names():
            self._disk.rename(name, ASIDE + name)
        self._disk.sync_names()
        self._counters.add("store.aside")
        logger.error("store put aside", extra=fields(why=why, beginning_with=ASIDE))

    def _load(self, files: list[_File]) -> State:
        """From the newest snapshot that is whole, through all logs from its generation on."""
        state, since, whole = State(), 0, False
        for file in sorted(files, key=lambda f: -f.generation):
            if file.kind == "snap":
                held = self._snapshot(file)
                if held is not None:
                    state, since, whole = held, file.generation, True
                    break
                self._spoilt("snapshot", file)
        for file in sorted(files, key=lambda f: f.generation):
            # Without a snapshot a log must say itself whose it is.
            if file.kind == "log" and file.generation >= since and (whole or file.head is not None):
                state = self._log(file, state)
        return state

    def _snapshot(self, file: _File) -> State | None:
        if file.head is None or any(isinstance(item, Spoilt) for item in file.items):
            return None
        try:
            return read_state(file.head)
        except (KeyError, TypeError, ValueError):
            return None

    def _log(self, file: _File, state: State) -> State:
        """What stands for itself counts whatever is spoilt; a version only on the one that it builds on."""
        for i, item in enumerate(file.items):
            if isinstance(item, Spoilt) and file.generation == self._generation and i + 1 == len(file.items):
                self._counters.add("store.torn")  # what a crash leaves; what it cut off was never kept
                logger.warning("store torn", extra=fields(bytes=item.size))
            elif isinstance(item, Spoilt):
                self._spoilt("log", file)
            elif "schema" not in item.said:
                try:
                    state, fits = apply(item, state)
                except (KeyError, TypeError, ValueError):
                    fits = False
                if not fits:
                    self._spoilt("change", file)
        return state

    def _spoilt(self, what: str, file: _File) -> None:
        self._counters.add("store.spoilt")
        logger.error("store spoilt", extra=fields(part=what, generation=file.generation))
