"""What processes have written down of their shares (`record`), read as lives for the judge."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from .judge import Life, Told


class Records:
    """Of all processes with a record in the folder; each line is read once."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._read: dict[Path, tuple[int, list[Told]]] = {}  # so many bytes, and what they say

    def lives(self, ended: Iterable[tuple[int, str]], now: int) -> list[Life]:
        """`ended`: when which balancer's process did; one that has not lives until `now`."""
        ends = list(ended)
        return [
            Life(
                name,
                self._told(file),
                min((at for at, whose in ends if whose == name and at > began), default=now),
            )
            for name, began, file in self._files("*")
        ]

    def newest(self, balancer: str) -> tuple[int, list[Told]]:
        """How many processes of it there have been, and what the last one was told."""
        files = self._files(balancer)
        return len(files), self._told(files[-1][2]) if files else []

    def _files(self, of: str) -> list[tuple[str, int, Path]]:
        """By balancer, in the order in which its processes began."""
        parts = ((file.name.split("."), file) for file in self._folder.glob(f"{of}.*.shares"))
        return sorted((name, int(began), file) for (name, began, _), file in parts)

    def _told(self, file: Path) -> list[Told]:
        """All whole lines so far."""
        where, told = self._read.get(file, (0, []))
        with file.open("rb") as lines:
            lines.seek(where)
            new = lines.read()
        whole = new[: new.rfind(b"\n") + 1]
        for line in whole.splitlines():
            raw = json.loads(line)
            told.append(
                Told(
                    raw["at"],
                    raw["done"],
                    raw["until"],
                    {name: (now, then) for name, (now, then) in raw["shares"].items()},
                )
            )
        self._read[file] = where + len(whole), told
        return told
