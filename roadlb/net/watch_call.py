"""One call of discovery's watch: a long answer over HTTP/1.1, read message by message."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..config import Address
from . import watch_timing as timing
from .json_stream import JsonStream, MalformedStream

OK = 200


class WatchBroken(Exception):
    """What came is no watch; the text is for a person."""


class WatchRefused(WatchBroken):
    """Discovery answered with another status than 200: it is there, and did not take the watch."""


@dataclass(slots=True)
class ListPosition:
    """Up to which generation of the list a call has told: at first the one that it was to go on from."""

    generation: int


class CallState(Enum):
    """Where one call stands; nothing leaves ENDED."""

    DIALLING = "dialling"
    AWAITING = "awaiting the answer"
    STREAMING = "streaming"
    ENDED = "ended"


class WatchCall(asyncio.Protocol):
    """One call: asks on connecting for what came after a generation, and for all that is yet to come.

    `message` gets each JSON value, None for a blank line; what it raises ends the call.  `ended` is told once
    how the call ended (None: by discovery), and never after `close`.  Whatever comes in ENDED does nothing, a
    connection that comes up then is reset.  `cancel_dial` calls the dial off.
    """

    def __init__(
        self,
        discovery: Address,
        after: int,
        message: Callable[[object], None],
        ended: Callable[[Exception | None], None],
        now_s: Callable[[], float],
    ) -> None:
        self._ask = (
            f"GET /v1/servers?watch=1&after={after} HTTP/1.1\r\nHost: {discovery}\r\n"
            "Accept: application/json\r\n\r\n"
        ).encode()
        self._message, self._ended, self._now_s = message, ended, now_s
        self.position = ListPosition(after)
        self.cancel_dial: Callable[[], object] = lambda: None
        self.state = CallState.DIALLING
        self.opened_s = now_s()  # when the call began ...
        self.began_s = now_s()  # ... and when its state did
        self.heard_s = now_s()  # when a whole line, or a byte of an open message, last came
        self.answered = False  # has a whole line come?
        self.brought_news = False
        self._message_began_s = 0.0
        self._parser = HttpResponseParser(self)
        self._stream = JsonStream()
        self._interim = False  # a 1xx answer, in front of the one that counts
        self._transport: asyncio.Transport | None = None

    def overdue_s(self, dial_s: float, answer_s: float) -> float:
        """When this call is overdue if nothing more comes.

        Its connection may take `dial_s` and its first line `answer_s`, both from the call's beginning.
        """
        if self.state is CallState.DIALLING:
            return self.opened_s + dial_s
        silent_s = self.heard_s + timing.SILENCE_S
        trickled_s = self._stream.open_bytes / timing.LEAST_BYTES_PER_S
        if self.state is CallState.AWAITING:
            return min(silent_s, self.opened_s + answer_s + trickled_s)
        if self._stream.open:
            return min(silent_s, self._message_began_s + timing.MESSAGE_S + trickled_s)
        return silent_s

    def may_be_late(self, now_s: float) -> bool:
        """Whether what has not come may still be on its way; a stream that fell silent is broken."""
        if self.state is CallState.STREAMING:
            return now_s < self.heard_s + timing.SILENCE_S
        return not self.over

    @property
    def awaited_since_s(self) -> float:
        """Since when its answer has been waited for, or the rest of a message."""
        return self._message_began_s if self.state is CallState.STREAMING else self.opened_s

    @property
    def over(self) -> bool:
        return self.state is CallState.ENDED

    @property
    def streamed_s(self) -> float:
        """For how long the answer has brought something."""
        return self.heard_s - self.began_s if self.answered else 0.0

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self.state is not CallState.DIALLING:
            self._transport.abort()
            return
        self._enter(CallState.AWAITING)
        self._transport.write(self._ask)

    def data_received(self, data: bytes) -> None:
        if self.state is CallState.ENDED:
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as e:
            self.end(WatchBroken(f"not HTTP: {e}"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.end(exc or self._cut())

    # the HTTP parser's side

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        self._interim = 100 <= status < OK
        if self.state is CallState.ENDED or self._interim:
            return
        if status != OK:
            self.end(WatchRefused(f"status {status}"))

    def on_body(self, body: bytes) -> None:
        if self.state is CallState.ENDED:
            return
        now_s, was_open = self._now_s(), self._stream.open
        try:
            for value in self._stream.feed(body):
                if self.state is CallState.AWAITING:
                    self._enter(CallState.STREAMING)
                    self.answered = True
                self.heard_s, was_open = now_s, False
                self._message(value)
                if self.over:
                    return  # closed by what it was told
        except MalformedStream as e:
            self.end(WatchBroken(str(e)))
        except Exception as e:
            self.end(e)
        if self._stream.open:
            self.heard_s = now_s
            if not was_open:
                self._message_began_s = now_s

    def on_message_complete(self) -> None:
        if self._interim:
            self._interim = False
        else:
            self.end(self._cut())

    def _cut(self) -> Exception | None:
        return WatchBroken("ended within a message") if self._stream.open else None

    # its end

    def _enter(self, state: CallState) -> None:
        self.state = state
        self.began_s = self.heard_s = self._now_s()

    def end(self, error: Exception | None) -> None:
        """Over, by this error or by discovery; only the first end counts."""
        if self.state is not CallState.ENDED:
            self.close()
            self._ended(error)

    def close(self) -> None:
        """Over, by the caller's will: nothing more is told."""
        self.state = CallState.ENDED
        self.cancel_dial()
        if self._transport:
            self._transport.abort()
