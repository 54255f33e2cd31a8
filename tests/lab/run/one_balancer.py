"""One real balancer on the simulated network, between nodes and clients that a test drives byte by byte."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from short_stage import small

from roadlb.app import App
from roadlb.config import read_config
from roadlb.lab.run.settings import configuration, text
from roadlb.lab.run.sim_world import EPOCH_US, START_US
from roadlb.lab.sim import Host, Link, Network, SimLoop, SimTransport

DELAY_US = 250
ID = re.compile(rb"X-Correlation-Id: (\w+)")


class End(asyncio.Protocol):
    """Keeps what comes; `on_made` and `on_data` are a test's."""

    def __init__(
        self,
        on_made: Callable[[End], None] = lambda end: None,
        on_data: Callable[[End], None] = lambda end: None,
    ) -> None:
        self.got, self.ended, self.on_made, self.on_data = b"", False, on_made, on_data
        self.transport: SimTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.on_made(self)

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.on_data(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True


def request(id: int, order: bool = False, left_s: float = 0.9) -> bytes:
    line, body = (f"POST /order/f{id}?w=1", b"b" * 212) if order else (f"GET /grid-read/f{id}?w=1", b"")
    return (
        f"{line} HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id:016x}\r\nX-Account: energia-sever\r\n"
        f"X-Time-Left: {left_s}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def answer(size: int = 5) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size


class Scene:
    """`node(...)` before `begin()`; then clients `connect`."""

    def __init__(self) -> None:
        self.loop = SimLoop.running()
        self.network = Network(self.loop, link=Link(DELAY_US), abort_resets=False)
        self.balancer = self.network.host("lb", deferred_writes=True)
        self.clients = self.network.host("clients")
        self.instances: list[dict[str, object]] = []
        self.app: App

    async def node(self, factory: Callable[[], End], **settings: Any) -> Host:
        host = self.network.host(f"node-{len(self.instances)}", **settings)
        await host.run(self._listen(factory, host))
        self.instances.append(
            {
                "instanceId": host.name,
                "hostPort": f"{host.ip}:80",
                "zone": "hall-a",
                "machineType": "new-2c",
                "lifecycle": "up",
                "weight": 1.0,
                "startedAtMs": 0,
            }
        )
        return host

    async def _listen(self, factory: Callable[[], End], host: Host) -> None:
        await self.loop.create_server(factory, host.ip, 80)

    async def begin(self) -> None:
        raw = configuration(small(), 0, "lb", "hall-a", Random(1), (self.balancer.ip, 8080))
        raw["limits"]["memory_mb"] = 0
        raw |= {
            "discovery": text((self.clients.ip, 9)),
            "known": {"generation": 1, "reset": True, "instances": self.instances},
        }
        self.app = App(
            read_config(raw, {}),
            clock=self.loop.clock_us,
            wall=lambda: EPOCH_US + self.loop.now_us,
            cpu_us=lambda: 0,
        )
        await self.balancer.run(self.app.start())

    async def connect(self, data: bytes = b"", **options: Any) -> End:
        _, end = await self.clients.run(
            self.loop.create_connection(lambda: End(**options), self.balancer.ip, 8080)
        )
        assert isinstance(end, End)
        if data:
            self.clients.call(end.transport.write, data)
        return end


def play(scene: Callable[[Scene], Coroutine[Any, Any, Any]], seed: int = 1) -> Any:
    """Run a scene on a loop of its own; nothing in the program may have failed."""

    async def main() -> Any:
        stage = Scene()
        result = await scene(stage)
        faults = {name: n for name, n in stage.app.counters.all().items() if name.startswith("fault")}
        assert faults == {}
        stage.network.end()
        return result

    with asyncio.Runner(loop_factory=lambda: SimLoop(seed, start_us=START_US)) as runner:
        return runner.run(main())
