"""A discovery played by the test, and a server list that watches it: real sockets, order by handshakes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any

from roadlb.config import Address
from roadlb.counters import Counters
from roadlb.net.name_table import NameTable
from roadlb.policy.interface import ListKind, Member, ServerId, ServerState

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
ENOUGH_S = 10.0  # what has not come by then will not come


def entry(name: str, lifecycle: str = "up", port: int = 9001, **more: object) -> dict[str, object]:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "a", "lifecycle": lifecycle} | more


def update(generation: int, *entries: dict[str, object], reset: bool = False) -> dict[str, object]:
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def line(message: object) -> bytes:
    return chunk(json.dumps(message).encode() + b"\n")


async def until(holds: Callable[[], object], what: str) -> None:
    async with asyncio.timeout(ENOUGH_S):
        while not holds():
            await asyncio.sleep(0.002)
    assert holds(), what


@dataclass
class Call:
    """One call of the watch: what it asked for, and the way back."""

    target: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, *data: bytes) -> Call:
        for part in data:
            self.writer.write(part)
        return self

    async def closed(self) -> None:
        """The watch has closed its end."""
        async with asyncio.timeout(ENOUGH_S):
            with suppress(ConnectionError):
                assert await self.reader.read() == b""


class Discovery:
    """Takes calls; the test answers them."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.answer: list[bytes] = []  # each call's, at once; without one the test answers

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._called, "127.0.0.1", port)
        self.address = Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            call = Call(head.split()[1].decode(), reader, writer).send(*self.answer)
            self.calls.put_nowait(call)

    async def call(self) -> Call:
        async with asyncio.timeout(ENOUGH_S):
            return await self.calls.get()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Told:
    """In place of the engine and of the side that dials: what the list told them, in order."""

    def __init__(self) -> None:
        self.order: list[str] = []
        self.states: dict[ServerId, ServerState] = {}
        self.addresses: dict[str, Address] = {}
        self._names: dict[ServerId, str] = {}

    def withdraw(self) -> None:
        self.order.append("withdraw")

    def list_update(self, *told: Any) -> None:
        if isinstance(told[0], ListKind):
            self._engine(*told)
        else:
            self._servers(*told)

    def _engine(self, kind: ListKind, members: list[Member]) -> None:
        self.order.append("engine")
        if kind is not ListKind.DELTA:
            self.states.clear()
        for member in members:
            self.states[member.server] = member.state
            if member.state is ServerState.GONE:
                del self.states[member.server]

    def _servers(
        self,
        listed: dict[ServerId, tuple[str, Address]],
        gone: list[ServerId],
        whole: bool,
        draining: Collection[ServerId],
        started: Mapping[ServerId, int],
    ) -> None:
        self.order.append("servers")
        if whole:
            self.addresses.clear()
        self._names |= {server: name for server, (name, _) in listed.items()}
        self.addresses |= dict(listed.values())
        for server in gone:
            self.addresses.pop(self._names.get(server, ""), None)

    @property
    def lifecycles(self) -> dict[str, str]:
        return {self._names[server]: state.name.lower() for server, state in self.states.items()}


@dataclass
class Watched:
    discovery: Discovery
    table: NameTable
    told: Told
    counters: Counters


def server_list(address: Address, told: Any, counters: Counters) -> NameTable:
    return NameTable(address, ("a",), (), told, told, counters, lambda: 0, lambda: 0, seed=3)


@asynccontextmanager
async def watched(known: dict[str, object] | None = None) -> AsyncIterator[Watched]:
    """A list that watches a discovery of its own, from the known one on."""
    discovery, told, counters = Discovery(), Told(), Counters()
    await discovery.start()
    table = server_list(discovery.address, told, counters)
    table.start_from(known or {})
    task = asyncio.ensure_future(table.run())
    try:
        yield Watched(discovery, table, told, counters)
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        discovery.close()
