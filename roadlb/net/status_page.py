"""Status pages for operators over plain HTTP: GET only, one answer per connection."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from .http import text_answer

MAX_HEAD_BYTES = 8_192
REQUEST_TIMEOUT_S = 5.0  # to receive the request and send the answer
MAX_OPEN_REQUESTS = 20  # at a time: a page of 10,000 subscribers takes several MB


@dataclass(frozen=True, slots=True)
class Page:
    """A status and its content: a text, or data that is sent as JSON."""

    status: int
    content: object

    def encode(self) -> bytes:
        """Encode the whole answer, which announces that the connection closes after it."""
        if isinstance(self.content, str):
            return text_answer(self.status, self.content, True)
        return text_answer(
            self.status,
            json.dumps(self.content, indent=1),
            True,
            b"Cache-Control: no-store\r\n",
            b"application/json",
        )


class StatusPage:
    """Serves pages by path, each made when it is requested; `port` is the port it listens on."""

    def __init__(self, pages: Mapping[str, Callable[[], Page]]) -> None:
        self._pages, self._open_count, self.port = pages, 0, 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open_count += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self._answer(head).encode())
                await writer.drain()
        except (TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            writer.transport.abort()  # the client has gone or sent no valid request
        finally:
            self._open_count -= 1
            writer.close()

    def _answer(self, head: bytes) -> Page:
        words = head.partition(b"\r\n")[0].decode("latin-1").split(" ")
        if len(words) != 3 or words[0] != "GET":
            return Page(405, "only GET is answered here")
        page = self._pages.get(words[1].partition("?")[0])
        if page is None:
            return Page(404, f"there is nothing here but {', '.join(self._pages)}")
        return page() if self._open_count <= MAX_OPEN_REQUESTS else Page(503, "too many ask at once")

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
