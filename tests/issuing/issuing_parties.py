"""A control service with the agreement, and a follower of it with the real deciders, in one event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio

from roadlb.agreement.events import (
    Apply,
    FollowerEvent,
    FromIssuer,
    Heard,
    Linked,
    Memory,
    Nack,
    Offered,
    Prepare,
    Pulse,
    Remember,
    Remembered,
    Restarted,
    Standing,
    Tell,
)
from roadlb.agreement.follower import Follower
from roadlb.clock import monotonic_us, unix_us
from roadlb.control.settings import AgreementSettings
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId, Picture
from roadlb.issuing.office import Office
from roadlb.lab.standin_etcd.server import StandIn
from roadlb.xds.client.events import Came, Lost, Opened, Send
from roadlb.xds.client.link import Hears, Link, Say
from roadlb.xds.client.link import Event as LinkEvent
from roadlb.xds.codec.discovery import read_delta_request, read_delta_response, write_delta_request
from roadlb.xds.grpc.transport import ADS, Context, listen, next_message, server

PATIENCE_S = 60.0  # generous: only a defect takes so long
HOST = "127.0.0.1"


async def until(what: Callable[[], bool], label: str) -> None:
    end = time.monotonic() + PATIENCE_S
    while not what():
        assert time.monotonic() < end, f"in vain: {label}"
        await asyncio.sleep(0.01)


def picture(generation: int, *drained: int, nodes: int = 6, gone: tuple[int, ...] = ()) -> Picture:
    """So many nodes in two halls."""
    endpoints = tuple(
        Endpoint(
            NodeId(f"n{i}", 1_000),
            HOST,
            9_000 + i,
            Locality(zone=f"hall-{'ab'[i % 2]}"),
            Lifecycle.DRAINING if i in drained else Lifecycle.UP,
        )
        for i in range(nodes)
        if i not in gone
    )
    return Picture(generation, {"grid": Cluster("grid", endpoints)})


class Control:
    """One control service's office behind a gRPC server."""

    def __init__(self, store: StandIn, name: str, **settings: Any) -> None:
        told = AgreementSettings(
            store=(store.address,),
            prefix="/t",
            name=name,
            contradiction_s=2.0,
            margin_s=0.3,
            seat_s=3,
            store_call_s=0.3,
            **settings,
        )
        self.office, self.port = Office(told, monotonic_us, unix_us), 0

    async def start(self) -> Control:
        async def ads(context: Context) -> None:
            first = await next_message(context)
            assert first is not None and self.office.serves(read_delta_request(first))
            await self.office.serve(context, first)

        self._server = server({(ADS, "DeltaAggregatedResources"): ads}, {})
        self.port = listen(self._server, HOST, self.port)
        await self._server.start()
        await self.office.start()
        return self

    async def stop(self) -> None:
        await self.office.stop()
        await self._server.stop(0)

    @property
    def leads(self) -> bool:
        return self.office.issuer.leading


class Balancer:
    """The real decider over the real machine of the stream; `refuses` is its guard."""

    def __init__(self, name: str, timing: Any, *ports: int) -> None:
        self.name, self.ports, self.decider, self.link = name, ports, Follower(timing), Link(name)
        self.refuses: Callable[[Prepare], str] = lambda prepare: ""
        self.applied: list[Apply] = []
        self._out: asyncio.Queue[bytes] = asyncio.Queue()
        self._open = False
        self._tell(Restarted(monotonic_us() & 0xFFFF_FFFF, Memory()))
        self.tasks = [asyncio.create_task(self._run()), asyncio.create_task(self._pulses())]

    @property
    def standing(self) -> Standing:
        return self.decider.standing(monotonic_us())

    def lifecycles(self) -> dict[str, Lifecycle]:
        used = self.decider.used(monotonic_us())
        return {e.node.name: e.lifecycle for c in used.clusters.values() for e in c.endpoints}

    def _tell(self, event: FollowerEvent) -> None:
        for action in self.decider.handle(monotonic_us(), event):
            match action:
                case Tell(message):
                    self._do(Say(message))
                case Remember(number):
                    self._tell(Remembered(number))
                case Apply():
                    self.applied.append(action)

    def _hear(self, message: FromIssuer) -> None:
        if isinstance(message, Prepare):
            self._tell(Offered(message, self.refuses(message)))
        else:
            self._tell(Heard(message))

    def _do(self, event: LinkEvent) -> None:
        for action in self.link.handle(monotonic_us(), event):
            match action:
                case Send(request):
                    self._out.put_nowait(write_delta_request(request))
                case Hears(message):
                    self._hear(message)

    async def _run(self) -> None:
        turn = 0
        while True:
            async with grpc.aio.insecure_channel(f"{HOST}:{self.ports[turn % len(self.ports)]}") as channel:
                call = channel.stream_stream(f"/{ADS}/DeltaAggregatedResources")()
                self._out = asyncio.Queue()
                writer = asyncio.create_task(self._write(call))
                try:
                    self._do(Opened())
                    self._tell(Linked())
                    while (data := await call.read()) is not grpc.aio.EOF:
                        self._do(Came(read_delta_response(data)))
                except grpc.aio.AioRpcError:
                    pass
                finally:
                    writer.cancel()
                    self._do(Lost())
            turn += 1
            await asyncio.sleep(0.1)

    async def _write(self, call: Any) -> None:
        while True:
            await call.write(await self._out.get())

    async def _pulses(self) -> None:
        while True:
            self._tell(Pulse())
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


__all__ = ["Balancer", "Control", "Nack", "picture", "until"]
