"""Discovery for a run: a watch that tells the whole list at once, then each change as soon as it is made."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable

from ..parties.links import stream
from .settings import HOST, entry

BEAT_S = 1.0  # an empty line so often, as a watch that is silent for 3 s is opened again


class _Watcher(asyncio.Protocol):
    """One watch."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery, self._asked = discovery, b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)

    def data_received(self, data: bytes) -> None:
        self._asked += data
        if self._asked.endswith(b"\r\n\r\n"):
            self._asked = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._discovery.watched(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._discovery.watchers.pop(self, None)

    def line(self, line: bytes) -> None:
        self.transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))


class Discovery:
    """So many servers, all up.  `sent_bytes` counts the lines that were told, once for each watcher."""

    def __init__(self, servers: int) -> None:
        self.entries = {i: entry(i) for i in range(servers)}
        self.watchers: dict[_Watcher, None] = {}
        self.lines = self.sent_bytes = 0
        self._generation = 1
        self._server: asyncio.Server
        self._beat: asyncio.TimerHandle

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Watcher(self), HOST, 0)
        self._beat = loop.call_later(BEAT_S, self._on_beat)

    @property
    def port(self) -> int:
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop(self) -> None:
        self._beat.cancel()
        self._server.close()
        for watcher in list(self.watchers):
            watcher.transport.abort()

    def tell(self, numbers: Iterable[int], lifecycle: str) -> int:
        """These servers change, in one line; its bytes."""
        changed = [entry(i, lifecycle) for i in numbers]
        for i, one in zip(numbers, changed, strict=True):
            self.entries[i] = one
        self._generation += 1
        return self._say(self._line(False, changed))

    def tell_whole(self) -> int:
        """The whole list again; its bytes."""
        self._generation += 1
        return self._say(self._line(True, list(self.entries.values())))

    def watched(self, watcher: _Watcher) -> None:
        """One more watch has begun."""
        self.watchers[watcher] = None
        watcher.line(self._line(True, list(self.entries.values())))

    def _say(self, line: bytes) -> int:
        self.lines += 1
        for watcher in self.watchers:
            self.sent_bytes += len(line)
            watcher.line(line)
        return len(line)

    def _line(self, reset: bool, instances: list[dict[str, object]]) -> bytes:
        told = {"generation": self._generation, "reset": reset, "instances": instances}
        return json.dumps(told).encode()

    def _on_beat(self) -> None:
        for watcher in self.watchers:
            watcher.line(b"")
        self._beat = asyncio.get_running_loop().call_later(BEAT_S, self._on_beat)
