"""The least that an HTTP/1.1 forwarder in Python does: what roadlb's data path is measured against.

    python benchmarks/relay.py 127.0.0.1:9001 127.0.0.1:9002 ...

uvloop and httptools on both sides, connections kept on both sides, one Protocol object for each, instances
taken in turn.  It has no bounds, no time limits, no retries, no choice, no log and no counters, and it trusts
both sides to speak HTTP/1.1 and not to pipeline.  Its one line of output is the port that it listens on,
which the kernel chooses.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools

import httptools
import uvloop


class Pool:
    """The connections to one instance that carry no request just now."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.idle: list[Back] = []

    def forward(self, front: Front, request: bytes) -> None:
        if self.idle:
            self.idle.pop().ask(front, request)
        else:
            front.dialling = asyncio.get_running_loop().create_task(self.dial(front, request))

    async def dial(self, front: Front, request: bytes) -> None:
        _, back = await asyncio.get_running_loop().create_connection(lambda: Back(self), self.host, self.port)
        back.ask(front, request)


class Back(asyncio.Protocol):
    """A connection to an instance."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.front = pool, None  # type: Pool, Front | None
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        if self.front:
            self.front.transport.close()

    def ask(self, front: Front, request: bytes) -> None:
        self.front = front
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.head: list[bytes] = []
        self.body = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head.append(b"%b: %b\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        front, self.front = self.front, None
        self.pool.idle.append(self)
        if front:
            front.transport.write(
                b"HTTP/1.1 %d OK\r\n%b\r\n%b"
                % (self.parser.get_status_code(), b"".join(self.head), self.body)
            )


class Front(asyncio.Protocol):
    """A client's connection."""

    dialling: asyncio.Task[None] | None = None

    def __init__(self, pools: itertools.cycle[Pool]) -> None:
        self.pools = pools
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.head: list[bytes] = []
        self.body = b""

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head.append(b"%b: %b\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        next(self.pools).forward(
            self,
            b"%b %b HTTP/1.1\r\n%b\r\n%b"
            % (self.parser.get_method(), self.url, b"".join(self.head), self.body),
        )


async def serve(addresses: list[str]) -> None:
    pools = itertools.cycle([Pool(a) for a in addresses])
    server = await asyncio.get_running_loop().create_server(lambda: Front(pools), "127.0.0.1", 0, backlog=512)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("instance", nargs="+", help="host:port")
    uvloop.run(serve(parser.parse_args().instance))


if __name__ == "__main__":
    main()
