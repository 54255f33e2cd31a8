"""Counters of what is taken in, sent and answered; printed at exit and on a signal."""

from __future__ import annotations

import logging
from collections import Counter

from .log import fields

logger = logging.getLogger(__name__)


class Counters:
    """Named counts, such as `taken`, `execution.reset`, `answered.<class>` or `rejected.413`."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def all(self) -> dict[str, int]:
        """All counts, in the order of their names."""
        return dict(sorted(self._counts.items()))

    def print(self, reason: str, **figures: float) -> None:
        """One log line with all counts, and these figures, in the order of their names."""
        values = sorted({**self._counts, **figures}.items())
        logger.info("counters", extra=fields(reason=reason, **dict(values)))
