"""The stand-in store over gRPC on loopback, with faults on demand: a thin shell round `Store`.

async with StandIn() as store:
    client = Etcd([store.address])
    ...
    store.fault = Fault.SILENT           # carries out what it is asked, and answers nothing
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any

import grpc  # type: ignore[import-untyped]
import grpc.aio  # type: ignore[import-untyped]

from ...clock import Clock, monotonic_us
from ...etcd import codec
from ...etcd.model import KeepAlive, Request
from . import events
from .store import Store

HOST = "127.0.0.1"


class Fault(Enum):
    NONE = "none"
    DEAF = "deaf"  # hears nothing: calls wait, nothing is carried out, watches are not told
    SILENT = "silent"  # carries out, and answers nothing: who asks cannot know
    AWAY = "away"  # refuses every call at once, as unavailable, and ends watches


class StandIn:
    """`address`: host:port once it serves.  Faults hold from the next message on."""

    def __init__(self, clock: Clock = monotonic_us, port: int = 0) -> None:
        self._clock, self._port, self.address = clock, port, ""
        self.store, self.fault = Store(), Fault.NONE
        self._waits: dict[int, asyncio.Future[Any]] = {}
        self._watches: dict[int, asyncio.Queue[events.Tell | events.Cancel | None]] = {}
        self._numbers = 0
        self._timer: asyncio.TimerHandle | None = None
        self._server: Any = None

    async def __aenter__(self) -> StandIn:
        services: dict[str, dict[str, Any]] = {}
        for kind, (service, method, asks, answers) in codec.METHODS.items():
            form = {"request_deserializer": asks.FromString, "response_serializer": answers.SerializeToString}
            handler = (
                grpc.stream_stream_rpc_method_handler(self._keep_alive, **form)
                if kind is KeepAlive
                else grpc.unary_unary_rpc_method_handler(self._call(kind), **form)
            )
            services.setdefault(service, {})[method] = handler
        services[codec.WATCH] = {
            "Watch": grpc.stream_stream_rpc_method_handler(
                self._watch,
                request_deserializer=codec.WatchRequest.FromString,
                response_serializer=codec.WatchResponse.SerializeToString,
            )
        }
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        self._server.add_generic_rpc_handlers(
            tuple(
                grpc.method_handlers_generic_handler(service, methods)
                for service, methods in services.items()
            )
        )
        self._port = self._server.add_insecure_port(f"{HOST}:{self._port}")
        self.address = f"{HOST}:{self._port}"
        await self._server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._server.stop(0)

    def restore(self, backup: Store) -> None:
        """The store is set up anew from a backup: revisions go back, watches end, leases begin again."""
        self.store = backup.restored(self._clock())
        for queue in self._watches.values():
            queue.put_nowait(None)
        self._watches.clear()
        self._set_timer()

    # The store

    def tell(self, event: events.Event) -> None:
        """An event for the store; an answer that nobody waits for is dropped."""
        for action in self.store.handle(self._clock(), event):
            match action:
                case events.Answer(by) | events.Refuse(by):
                    waits = self._waits.pop(by, None)
                    if waits is not None and not waits.done():
                        waits.set_result(action)
                case events.Tell(by) | events.Cancel(by):
                    self._watches[by].put_nowait(action)
        self._set_timer()

    def _set_timer(self) -> None:
        """Leases end by themselves; watches are told then."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.store.wake_at) is not None:
            wait = max(0, at - self._clock()) / 1e6
            self._timer = asyncio.get_running_loop().call_later(wait, self.tell, events.Tick())

    async def _hears(self, context: Any) -> None:
        """What the fault of the moment does to a message that has come."""
        while self.fault is Fault.DEAF:
            await asyncio.sleep(0.01)
        if self.fault is Fault.AWAY:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the stand-in is away")

    async def _says(self) -> None:
        while self.fault in (Fault.SILENT, Fault.DEAF):
            await asyncio.sleep(0.01)

    async def _ask(self, context: Any, kind: type[Request], wire: Any) -> Any:
        await self._hears(context)
        self._numbers += 1
        number, waits = self._numbers, asyncio.get_running_loop().create_future()
        self._waits[number] = waits
        try:
            request = codec.read_request(kind, wire)
        except ValueError as e:
            del self._waits[number]
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, str(e))
        self.tell(events.Asked(number, request))
        action = await waits
        await self._says()
        if isinstance(action, events.Refuse):
            await context.abort(getattr(grpc.StatusCode, action.code), action.text)
        return codec.write_reply(kind, action.reply)

    # gRPC

    def _call(self, kind: type[Request]) -> Callable[[Any, Any], Any]:
        async def serve(wire: Any, context: Any) -> Any:
            return await self._ask(context, kind, wire)

        return serve

    async def _keep_alive(self, _: Any, context: Any) -> None:
        while (wire := await context.read()) is not grpc.aio.EOF:
            await context.write(await self._ask(context, KeepAlive, wire))

    async def _watch(self, _: Any, context: Any) -> None:
        """A stream of any number of watches, numbered from 0 in it."""
        told: asyncio.Queue[events.Tell | events.Cancel | None] = asyncio.Queue()
        watches = list[int]()
        writer = asyncio.create_task(self._write_watch(context, told, watches))
        try:
            while (wire := await context.read()) is not grpc.aio.EOF:
                await self._hears(context)
                if wire.HasField("create_request"):
                    asked = wire.create_request
                    self._numbers += 1
                    watches.append(self._numbers)
                    self._watches[self._numbers] = told
                    self.tell(
                        events.Watching(self._numbers, asked.key, asked.range_end, asked.start_revision)
                    )
                elif wire.HasField("cancel_request") and wire.cancel_request.watch_id < len(watches):
                    self._end_watch(watches[wire.cancel_request.watch_id])
            await writer
        finally:
            writer.cancel()
            for number in watches:
                self._end_watch(number)

    def _end_watch(self, number: int) -> None:
        if self._watches.pop(number, None) is not None:
            self.tell(events.Left(number))

    async def _write_watch(
        self, context: Any, told: asyncio.Queue[events.Tell | events.Cancel | None], watches: list[int]
    ) -> None:
        created = set[int]()
        while (action := await told.get()) is not None:
            await self._says()
            if self.fault is Fault.AWAY:
                break
            number = watches.index(action.by)
            if isinstance(action, events.Cancel):
                self._watches.pop(action.by, None)
                await context.write(
                    codec.WatchResponse(
                        watch_id=number,
                        canceled=True,
                        compact_revision=action.compacted,
                        cancel_reason=action.text,
                    )
                )
                continue
            wire = codec.write_news(number, action.news)
            if action.by not in created:
                created.add(action.by)
                wire.created = True
            await context.write(wire)
        await context.abort(grpc.StatusCode.UNAVAILABLE, "the stand-in has ended its watches")
