"""The file system as the store needs it, one directory without subdirectories; handed in, so that a test can
stop it at every step."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Steps that a crash can fall between.  Every one may raise OSError.

    What is written survives a crash only after `sync`, a new name, a rename or a removal only after
    `sync_names`; until then any part of it may be there or not.
    """

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def write(self, name: str, data: bytes) -> None:
        """A new file of this content, in place of any of that name."""

    def append(self, name: str, data: bytes) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None: ...


class Directory:
    """A real directory, made if it is not there, that nobody else may read."""

    def __init__(self, path: Path) -> None:
        self.path, self._lock = path, -1
        path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def claim(self) -> bool:
        """Whether this process alone may write here: until it ends, or not yet, as another one may."""
        if self._lock < 0:
            self._lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def release(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        self._put(name, data, os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        self._put(name, data, os.O_APPEND)

    def _put(self, name: str, data: bytes, how: int) -> None:
        file = os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC | how, 0o600)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(file, left) :]
        finally:
            os.close(file)

    def sync(self, name: str) -> None:
        self._sync(self.path / name)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)

    def sync_names(self) -> None:
        self._sync(self.path)

    @staticmethod
    def _sync(path: Path) -> None:
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)
