"""What became of versions and proposals, as lines in the store, and operators' orders beside them.  No I/O.

A line's number is its key's end; `HISTORY_MOST` are kept.  Those of a proposal that was made, declined or
refused hold its contents as a version record, so that it can be shown, compared and accepted later.

An order is a key that an operator's command writes, bound to a lease of its own; whoever leads carries it out
and writes what became of it beside it, under the same lease.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

HISTORY, ORDERS, ANSWERS = "history/", "orders/", "answers/"
HISTORY_MOST = 64
TEXT_MOST = 2_000  # characters of a text in a line


@dataclass(frozen=True, slots=True)
class Line:
    """`version`: as `epoch.number`, empty for a proposal that got none.  `at_ms`: Unix time, for people."""

    number: int
    at_ms: int
    word: str
    version: str
    text: str
    by: str = ""
    record: bytes = b""

    @property
    def key(self) -> str:
        return line_key(self.number)


def line_key(number: int) -> str:
    return f"{HISTORY}{number:012d}"


def write_line(line: Line) -> bytes:
    return json.dumps(
        {
            "at_ms": line.at_ms,
            "word": line.word,
            "version": line.version,
            "text": line.text[:TEXT_MOST],
            "by": line.by,
            "record": base64.b64encode(line.record).decode(),
        }
    ).encode()


def read_line(key: str, value: bytes) -> Line | None:
    """None for what is no line."""
    try:
        said: dict[str, Any] = json.loads(value)
        return Line(
            int(key.removeprefix(HISTORY)),
            int(said["at_ms"]),
            str(said["word"]),
            str(said["version"]),
            str(said["text"]),
            str(said["by"]),
            base64.b64decode(said["record"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


class OrderError(ValueError):
    """An order that cannot be carried out; the text is for a person."""


@dataclass(frozen=True, slots=True)
class Order:
    """`do`: propose (`settings`), accept (`line`), exclude or include (`follower`).  `why`: a person's."""

    do: str
    why: str = ""
    settings: Mapping[str, str] | None = None
    line: int = 0
    follower: str = ""


def write_order(order: Order) -> bytes:
    said = {
        "do": order.do,
        "why": order.why,
        "settings": order.settings,
        "line": order.line,
        "follower": order.follower,
    }
    return json.dumps(said).encode()


def read_order(value: bytes) -> Order:
    """OrderError for what is none."""
    try:
        said: dict[str, Any] = json.loads(value)
        settings = said["settings"]
        if settings is not None:
            settings = {str(path): str(text) for path, text in settings.items()}
        order = Order(str(said["do"]), str(said["why"]), settings, int(said["line"]), str(said["follower"]))
    except (AttributeError, KeyError, TypeError, ValueError) as e:
        raise OrderError(f"is no order: {e}") from None
    if order.do not in ("propose", "accept", "exclude", "include"):
        raise OrderError(f"{order.do!r} is no order here: propose, accept, exclude and include are")
    if order.do == "propose" and order.settings is None:
        raise OrderError("propose: settings are missing")
    if order.do in ("exclude", "include") and not order.follower:
        raise OrderError(f"{order.do}: whom? name a follower")
    return order
