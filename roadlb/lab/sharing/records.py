"""What processes have written down of their shares (`record`), read as lives for the judge."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from .judge import Life, Told


def told(file: Path) -> list[Told]:
    """All whole lines of one process's record."""
    text = file.read_text(encoding="utf-8")
    found = []
    for line in text[:text.rfind("\n") + 1].splitlines():
        raw = json.loads(line)
        found.append(Told(raw["at"], raw["done"], raw["until"],
                          {name: (now, then) for name, (now, then) in raw["shares"].items()}))
    return found


def lives(folder: Path, ended: Iterable[tuple[int, str]], now: int) -> list[Life]:
    """Of all processes with a record in the folder.  `ended`: when which balancer's process ended; one that
    has not lives until `now`."""
    ends = list(ended)
    found = []
    for file in sorted(folder.glob("*.shares")):
        name, began, _ = file.name.split(".")
        end = min((at for at, whose in ends if whose == name and at > int(began)), default=now)
        found.append(Life(name, told(file), end))
    return found
