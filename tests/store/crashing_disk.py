"""A disk in memory that stops at a chosen step, and tells every content that a real one may have then."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product


class Crashed(OSError):
    """The machine is gone."""


class _File:
    def __init__(self) -> None:
        self.safe, self.data = b"", b""


class CrashingDisk:
    """Bytes are safe after `sync`, names after `sync_names`; a crash keeps any prefix of what is not safe."""

    def __init__(self, content: dict[str, bytes] | None = None, steps: int = 1 << 30) -> None:
        self.left, self.taken = steps, 0
        self._names: dict[str, _File] = {}
        for name, data in (content or {}).items():
            self._names[name] = file = _File()
            file.safe = file.data = data
        self._safe_names = dict(self._names)
        self._pending: list[tuple[str, str, _File | None]] = []

    def _step(self) -> None:
        if self.left == 0:
            raise Crashed("no more steps")
        self.left -= 1
        self.taken += 1

    def names(self) -> list[str]:
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        return self._names[name].data

    def write(self, name: str, data: bytes) -> None:
        self._step()
        if name not in self._names:
            self._name("", name, _File())
        self._names[name].safe, self._names[name].data = b"", data

    def append(self, name: str, data: bytes) -> None:
        self._step()
        self._names[name].data += data

    def sync(self, name: str) -> None:
        self._step()
        self._names[name].safe = self._names[name].data

    def rename(self, old: str, new: str) -> None:
        self._step()
        self._name(old, new, self._names[old])

    def remove(self, name: str) -> None:
        self._step()
        self._name(name, "", None)

    def _name(self, old: str, new: str, file: _File | None) -> None:
        self._pending.append((old, new, file))
        self._apply(self._names, (old, new, file))

    @staticmethod
    def _apply(names: dict[str, _File], op: tuple[str, str, _File | None]) -> None:
        old, new, file = op
        names.pop(old, None)
        if file is not None:
            names[new] = file

    def sync_names(self) -> None:
        self._step()
        self._safe_names, self._pending = dict(self._names), []

    def content(self) -> dict[str, bytes]:
        return {name: file.data for name, file in self._names.items()}

    def after_crash(self) -> Iterator[dict[str, bytes]]:
        """Every content that may be found: so many of the pending names, and any prefix of unsafe bytes."""
        for count in range(len(self._pending) + 1):
            names = dict(self._safe_names)
            for op in self._pending[:count]:
                self._apply(names, op)
            cuts = [range(len(f.safe), len(f.data) + 1) for f in names.values()]
            for lengths in product(*cuts):
                yield {
                    name: file.data[:length]
                    for (name, file), length in zip(names.items(), lengths, strict=True)
                }
