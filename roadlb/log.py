"""Logging: one key=value line for each record, on standard error."""

from __future__ import annotations

import logging
import sys

from .clock import Clock


def quoted(value: object) -> str:
    """A value as it stands behind a key: bare if it is one plain word, else in quotes on one line."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not any(c in ' "=\\' for c in text):
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text) + '"'


class KeyValueFormatter(logging.Formatter):
    """`at=... level=... logger=... event=... key=value`, the keys in the order in which they were given."""

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, object] = {
            "at": f"{record.created:.6f}",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(value)}" for key, value in fields.items())


def fields(**values: object) -> dict[str, dict[str, object]]:
    """Named values of a record: `logger.info("dial failed", extra=fields(instance=name))`."""
    return {"fields": values}


class Limit:
    """Lets so many records through in each second of a clock; the caller counts the rest."""

    def __init__(self, clock: Clock, a_second: int) -> None:
        self._clock, self._most = clock, a_second
        self._second, self._count = 0, 0

    def allows(self) -> bool:
        second = self._clock() // 1_000_000
        self._count = self._count + 1 if second == self._second else 1
        self._second = second
        return self._count <= self._most


def set_up(level: int = logging.INFO) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
