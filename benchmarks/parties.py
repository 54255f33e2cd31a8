"""The far side of a benchmark: grid nodes that answer alike, and a discovery service that has no news.

    python benchmarks/parties.py --nodes 6 --delay-ms 2

Every node answers 200 with a fixed body and a load report after a fixed delay.  For a key that starts with
`again-`, the first try of each X-Correlation-Id gets 503 with `X-Unprocessed: 1` instead, at once.  The first
line of output is JSON with the ports, which the kernel chooses; `GET /counts` at any node says how many
requests all of them have had.
"""

from __future__ import annotations

import argparse
import asyncio
import json

import httptools
import uvloop

AGAIN = b"/again-"
BODY = b"x" * 300
QUIET_S = 2.0  # discovery says an empty line so often


def answer(first_line: bytes, headers: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (first_line, len(body), headers, body)


LOAD = b"X-Backend-Load: eps=0,queue=0\r\n"
SERVED = answer(b"200 OK", b"Content-Type: application/octet-stream\r\n" + LOAD, BODY)
UNPROCESSED = answer(b"503 Service Unavailable", b"X-Unprocessed: 1\r\n" + LOAD, b"")
HEALTHY = answer(b"200 OK", b"", b"")


class Counts:
    """What all nodes of this process have been asked."""

    def __init__(self) -> None:
        self.requests, self.turned_away = 0, 0
        self.tried: set[bytes] = set()


class Node(asyncio.Protocol):
    """One connection to a node."""

    def __init__(self, counts: Counts, delay_s: float) -> None:
        self.counts, self.delay_s = counts, delay_s
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.id = self.url = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-correlation-id":
            self.id = value

    def on_message_complete(self) -> None:
        counts = self.counts
        if not self.id:
            told = b'{"requests": %d, "turned_away": %d}' % (counts.requests, counts.turned_away)
            self.transport.write(answer(b"200 OK", b"", told) if self.url == b"/counts" else HEALTHY)
            return
        counts.requests += 1
        if AGAIN in self.url and self.id not in counts.tried:
            counts.tried.add(self.id)
            counts.turned_away += 1
            self.transport.write(UNPROCESSED)
        elif self.delay_s:
            self.loop.call_later(self.delay_s, self.serve)
        else:
            self.serve()

    def serve(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(SERVED)


class Discovery(asyncio.Protocol):
    """One watch: an empty line every 2 s, and never a list, so that the one known at the start holds."""

    def __init__(self) -> None:
        self.tail, self.line = b"", None  # type: bytes, asyncio.TimerHandle | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        if self.line:
            self.line.cancel()

    def data_received(self, data: bytes) -> None:
        self.tail += data
        if self.tail.endswith(b"\r\n\r\n") and not self.line:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.say()

    def say(self) -> None:
        self.transport.write(b"1\r\n\n\r\n")
        self.line = asyncio.get_running_loop().call_later(QUIET_S, self.say)


async def serve(nodes: int, delay_s: float) -> None:
    loop, counts = asyncio.get_running_loop(), Counts()
    servers = [
        await loop.create_server(lambda: Node(counts, delay_s), "127.0.0.1", 0, backlog=512)
        for _ in range(nodes)
    ]
    servers.append(await loop.create_server(Discovery, "127.0.0.1", 0))
    *ports, discovery = (s.sockets[0].getsockname()[1] for s in servers)
    print(json.dumps({"nodes": ports, "discovery": discovery}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--delay-ms", type=float, default=2.0)
    options = parser.parse_args()
    uvloop.run(serve(options.nodes, options.delay_ms / 1000))


if __name__ == "__main__":
    main()
