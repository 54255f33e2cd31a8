"""One watch of discovery: a long answer over HTTP/1.1, read line by line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..config import Address

LINE_MOST = 4 << 20
# A sound watch says something every 2 s.  A silent one is opened again well before what discovery has to
# tell counts as told without having come.
SILENCE_S = 3.0
DIAL_S = 1.0
PAUSE_S, PAUSE_MOST_S = 0.1, 1.0     # before it is opened again


class WatchBroken(Exception):
    """What came is no watch; the text is for a person."""


class Watch(asyncio.Protocol):
    """Asks on connecting for what came after a generation, and all that is yet to come.

    `line` gets each line without its end; `ended` is done when it is over.
    """

    def __init__(self, discovery: Address, after: int, line: Callable[[bytes], None]) -> None:
        self._ask = (f"GET /v1/servers?watch=1&after={after} HTTP/1.1\r\nHost: {discovery}\r\n"
                     "Accept: application/json\r\n\r\n").encode()
        self._line, self._rest = line, b""
        self._parser = HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.heard = self._loop.time()     # seconds of the loop's time, when something last came
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
            self._end(WatchBroken(f"status {status}"))

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
