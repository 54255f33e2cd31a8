"""Streams a message body from the connection that reads it to the one that writes it, with backpressure.

    source ──────feed_data, feed_end──────> BodyStream ────body_data, body_end───> sink
           <─set_body_reading, body_abandoned─         <────set_reading, discard────

The stream queues nothing.  The source passes on what it reads, and reads only while the sink accepts data.  A
sink whose transport is full stops the reading, and then holds at most one read of the source.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Source(Protocol):
    """The connection that reads the body."""

    def set_body_reading(self, on: bool) -> None:
        """Resume or pause reading."""

    def body_abandoned(self) -> None:
        """The rest of the body is not needed."""

    def unread_since_us(self) -> int:
        """Return when the latest of the bytes came that the stream does not take yet; 0: none waits."""


class Sink(Protocol):
    """The connection that writes the body."""

    def body_data(self, data: bytes) -> None:
        """Write a part of the body; the sink may pause the reading meanwhile."""

    def body_end(self, is_complete: bool) -> None:
        """The body has ended: complete, or because the source failed."""


def ignore_end(is_complete: bool | None) -> None:
    """Default for `BodyStream.on_end`."""


class BodyStream:
    """A body that is being streamed from a source to a sink.

    `size` is its length in bytes as announced by the source; -1: not known before its end.
    `has_delivered`: a sink has received data, so another sink could not get the whole body.
    `on_end` is called once when the body has ended, with True if all of it was written, False if it broke off
    and None if it was discarded.
    """

    __slots__ = ("_sink", "_source", "on_end", "has_delivered", "size")

    def __init__(self, size: int, source: Source) -> None:
        self.size, self.has_delivered = size, False
        self._source: Source | None = source
        self._sink: Sink | None = None
        self.on_end: Callable[[bool | None], None] = ignore_end

    @property
    def is_attachable(self) -> bool:
        """Whether a sink may be attached."""
        return self._sink is None and not self.has_delivered and self._source is not None

    @property
    def is_attached(self) -> bool:
        return self._sink is not None

    # The sink's side

    def attach(self, sink: Sink) -> None:
        self._sink = sink

    def detach(self) -> None:
        """Remove the sink; as long as no data was delivered another one may be attached."""
        if self._sink is not None:
            self._sink = None
            if self._source is not None:
                self._source.set_body_reading(False)

    def set_reading(self, on: bool) -> None:
        """Resume or pause the source's reading."""
        if self._source is not None:
            self._source.set_body_reading(on)

    def unread_since_us(self) -> int:
        """Return when the latest of the bytes came that wait for a sink to take them; 0: none waits."""
        return self._source.unread_since_us() if self._source is not None else 0

    def discard(self) -> None:
        """Remove the sink for good and discard the rest of the body."""
        source, self._source, self._sink = self._source, None, None
        if source is not None:
            source.body_abandoned()
        self.report_end(None)

    def report_end(self, is_complete: bool | None) -> None:
        """Report once that the sink has written all of the body or not; None: it was discarded."""
        notify, self.on_end = self.on_end, ignore_end
        notify(is_complete)

    # The source's side

    def feed_data(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        if self._sink is not None:
            self.has_delivered = True
            self._sink.body_data(data)

    def feed_end(self, is_complete: bool) -> None:
        """Tell the sink that the body has ended; False: the source failed before its end."""
        sink, self._source, self._sink = self._sink, None, None
        if sink is not None:
            sink.body_end(is_complete)
        elif not is_complete:
            self.report_end(None)
