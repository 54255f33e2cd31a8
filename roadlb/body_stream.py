"""A body on its way from the side that reads it to the side that writes it, in pieces, with backpressure.

    source ──piece, end──> Flow ──> sink
           <──want, drop── Flow <──

Nothing is queued here.  The source passes on what it reads, and reads only while the sink wants more.  A sink
whose transport is full says so, and what it holds is one read of the source at the most.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Source(Protocol):
    def set_body_reading(self, on: bool) -> None:
        """Read on, or stop reading."""

    def body_abandoned(self) -> None:
        """Nobody wants the rest."""


class Sink(Protocol):
    def body_data(self, data: bytes) -> None:
        """Write it; it may make the sink say that it wants no more for now."""

    def body_end(self, is_complete: bool) -> None:
        """There is no more: all of it has come, or the source broke."""


def ignore_end(is_complete: bool | None) -> None:
    """In place of who counts how flows end."""


class BodyStream:
    """`size` in bytes as told by the source; -1: it is told by its end.

    `passed`: something has gone to a sink, so that another sink could not have it all.  `on_end` hears once
    how it ended: True, all of it was written out; False, it broke; None, it was dropped.
    """

    __slots__ = ("_sink", "_source", "on_end", "has_delivered", "size")

    def __init__(self, size: int, source: Source) -> None:
        self.size, self.has_delivered = size, False
        self._source: Source | None = source
        self._sink: Sink | None = None
        self.on_end: Callable[[bool | None], None] = ignore_end

    @property
    def is_attachable(self) -> bool:
        """May a sink be attached?"""
        return self._sink is None and not self.has_delivered and self._source is not None

    @property
    def is_attached(self) -> bool:
        return self._sink is not None

    # The sink's side

    def attach(self, sink: Sink) -> None:
        self._sink = sink

    def detach(self) -> None:
        """The sink is no more; while nothing has passed there may be another."""
        if self._sink is not None:
            self._sink = None
            if self._source is not None:
                self._source.set_body_reading(False)

    def set_reading(self, on: bool) -> None:
        if self._source is not None:
            self._source.set_body_reading(on)

    def discard(self) -> None:
        """The sink is no more, and there will be no other."""
        source, self._source, self._sink = self._source, None, None
        if source is not None:
            source.body_abandoned()
        self.report_end(None)

    def report_end(self, is_complete: bool | None) -> None:
        """The sink has written out what it will: all of it or not; None: nobody wanted it."""
        notify, self.on_end = self.on_end, ignore_end
        notify(is_complete)

    # The source's side

    def feed_data(self, data: bytes) -> None:
        if self._sink is not None:
            self.has_delivered = True
            self._sink.body_data(data)

    def feed_end(self, is_complete: bool) -> None:
        sink, self._source, self._sink = self._sink, None, None
        if sink is not None:
            sink.body_end(is_complete)
        elif not is_complete:
            self.report_end(None)
