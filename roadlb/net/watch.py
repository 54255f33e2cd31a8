"""One watch of discovery: a long answer over HTTP/1.1, read line by line."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..config import Address

LINE_MOST = 4 << 20
# A sound watch says something every 2 s.  A silent one is opened again well before what discovery has to
# tell counts as told without having come.
SILENCE_S = 3.0
DIAL_S = 1.0
PAUSE_S, PAUSE_MOST_S = 0.1, 1.0  # before it is opened again where it broke ...
REFUSED_S, REFUSED_MOST_S = 1.0, 8.0  # ... and where discovery answered, but had no room for one more


class WatchBroken(Exception):
    """What came is no watch; the text is for a person."""


class WatchRefused(WatchBroken):
    """Discovery answered with another status than 200: it is there, and did not take the watch."""


class BackOff:
    """How long to wait before a watch is opened again: ever longer, and each balancer at its own moment.

    Discovery is one service for all.  A break costs it nothing, so that one is mended at once; a refusal says
    that it has more calls than it can answer, and calls that come again at once are what keeps it there.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random, self._pause, self._refused = random.Random(seed), PAUSE_S, REFUSED_S

    def heard(self) -> None:
        """The last watch brought a line, or another discovery is asked from now on."""
        self._pause, self._refused = PAUSE_S, REFUSED_S

    def seconds(self, refused: bool) -> float:
        """The pause after this break, at the least half and at the most one and a half times its mean."""
        if refused:
            mean, self._refused = self._refused, min(REFUSED_MOST_S, self._refused * 2)
        else:
            mean, self._pause = self._pause, min(PAUSE_MOST_S, self._pause * 2)
        return mean * (0.5 + self._random.random())


class Watch(asyncio.Protocol):
    """Asks on connecting for what came after a generation, and all that is yet to come.

    `line` gets each line without its end; `ended` is done when it is over.
    """

    def __init__(self, discovery: Address, after: int, line: Callable[[bytes], None]) -> None:
        self._ask = (
            f"GET /v1/servers?watch=1&after={after} HTTP/1.1\r\nHost: {discovery}\r\n"
            "Accept: application/json\r\n\r\n"
        ).encode()
        self._line, self._rest = line, b""
        self._parser = HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.heard = self._loop.time()  # seconds of the loop's time, when something last came
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._ask)

    def data_received(self, data: bytes) -> None:
        if self.ended.done():
            return
        self.heard = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as e:
            self._end(WatchBroken(f"not HTTP: {e}"))

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            self._end(WatchRefused(f"status {status}"))

    def on_body(self, body: bytes) -> None:
        *lines, self._rest = (self._rest + body).split(b"\n")
        for line in lines:
            if self.ended.done():
                return
            try:
                self._line(line)
            except Exception as e:
                self._end(e)
        if len(self._rest) > LINE_MOST:
            self._end(WatchBroken("a line without an end"))

    def on_message_complete(self) -> None:
        self._end(None)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._end(exc)

    def _end(self, error: Exception | None) -> None:
        if not self.ended.done():
            if error:
                self.ended.set_exception(error)
            else:
                self.ended.set_result(None)
        self.close()

    def close(self) -> None:
        if self._transport:
            self._transport.abort()


async def listen(discovery: Address, after: int, line: Callable[[bytes], None]) -> None:
    """One watch, to its end; raises what ended it, TimeoutError after a silence."""
    loop = asyncio.get_running_loop()
    watch = Watch(discovery, after, line)
    try:
        async with asyncio.timeout(DIAL_S):
            await loop.create_connection(lambda: watch, discovery.host, discovery.port)
        while not watch.ended.done():
            left = watch.heard + SILENCE_S - loop.time()
            if left <= 0:
                raise TimeoutError(f"silent for {SILENCE_S} s")
            await asyncio.wait([watch.ended], timeout=left)
        watch.ended.result()
    finally:
        watch.ended.cancel()
        watch.close()
