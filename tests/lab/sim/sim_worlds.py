"""Helpers for tests of the simulated world: a protocol that records, and one small world of two hosts."""

from __future__ import annotations

import asyncio
import functools
import inspect
import struct
from collections.abc import Callable, Coroutine
from typing import Any

from roadlb.lab.sim import Host, Link, Network, SimLoop

PORT = 80
LINGER_ZERO = struct.pack("ii", 1, 0)


class Recorder(asyncio.Protocol):
    """Writes down each callback; `on` names what to do besides, as `on={"data": lambda me: ...}`."""

    def __init__(
        self, log: list[Any] | None = None, keep_open: bool = False, **on: Callable[[Recorder], object]
    ) -> None:
        self.log: list[Any] = [] if log is None else log
        self.keep_open, self.on = keep_open, on
        self.data = b""

    def told(self, what: str, entry: Any) -> None:
        self.log.append(entry)
        self.on.get(what, bool)(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.told("made", "made")

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.log[-1:] == ["data"]:
            self.log.pop()  # in how many parts bytes come is nobody's promise
        self.told("data", "data")

    def eof_received(self) -> bool:
        self.told("eof", "eof")
        return self.keep_open

    def connection_lost(self, error: BaseException | None) -> None:
        self.told("lost", ("lost", type(error).__name__))

    def pause_writing(self) -> None:
        self.told("paused", "paused")

    def resume_writing(self) -> None:
        self.told("resumed", "resumed")


class Pair:
    """A server host and a client host, each in a hall of its own."""

    def __init__(self, loop: SimLoop, **options: Any) -> None:
        options.setdefault("link", Link(delay_us=100))
        self.loop, self.network = loop, Network(loop, **options)
        self.server = self.network.host("server", "a")
        self.client = self.network.host("client", "b")

    async def listen(self, factory: Callable[[], asyncio.BaseProtocol], **options: Any) -> Any:
        return await self.server.run(self.loop.create_server(factory, self.server.ip, PORT, **options))

    async def connect(self, factory: Callable[[], asyncio.BaseProtocol], host: Host | None = None) -> Any:
        client = host or self.client
        return await client.run(self.loop.create_connection(factory, self.server.ip, PORT))

    async def open(self) -> tuple[Recorder, Recorder]:
        """A listener, and one connection to it: the server's recorder, and the client's."""
        served: list[Recorder] = []

        def factory() -> Recorder:
            served.append(Recorder())
            return served[-1]

        await self.listen(factory)
        _, client = await self.connect(Recorder)
        await asyncio.sleep(0.001)
        return served[0], client


def simulate(main: Callable[..., Coroutine[Any, Any, Any]], seed: int = 1, **options: Any) -> Any:
    """Run `main(pair)` on a new loop."""
    loop = SimLoop(seed)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main(Pair(loop, **options)))


def simulated(**options: Any) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Callable[..., None]]:
    """Make `async def test(pair, ...)` a test that runs on a new loop, with a network of these options."""

    def decorate(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
        def run(**arguments: Any) -> None:
            simulate(functools.partial(test, **arguments), **options)

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        asked = list(inspect.signature(test).parameters.values())[1:]
        run.__signature__ = inspect.Signature(asked)  # type: ignore[attr-defined]
        run.__dict__.update(test.__dict__)  # marks
        return run

    return decorate
