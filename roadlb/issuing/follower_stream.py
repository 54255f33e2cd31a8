"""Followers' streams over gRPC: each an exchange, a bounded queue of what is to be written, a reader."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from ..agreement.events import FromFollower, InForce, Lease, Withdrawn
from ..log import fields
from ..xds.codec.discovery import read_delta_request, write_delta_response
from ..xds.codec.protos import CodecError
from ..xds.grpc.transport import Context, next_message, refuse
from ..xds.messages import DeltaRequest, DeltaResponse
from .follower_exchange import (
    Action,
    Deliver,
    EndStream,
    FollowerExchange,
    FollowerSays,
    Offer,
    RequestReceived,
    ResponseRefused,
    SendResponse,
)

logger = logging.getLogger(__name__)

UNSENT_MOST = 256  # responses; a follower that takes none is let go, and asks again


class FollowerStream:
    """One follower's stream; `received` is called with whatever it says."""

    def __init__(self, peer: str, received: Callable[[FollowerStream, FromFollower], None]) -> None:
        self.peer, self.refusals, self.bytes_sent, self.bytes_read = peer, 0, 0, 0
        self._exchange, self._received = FollowerExchange(), received
        self._out: asyncio.Queue[DeltaResponse] = asyncio.Queue()
        self._ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    @property
    def name(self) -> str:
        return self._exchange.name

    def send(self, message: Offer | InForce | Withdrawn | Lease) -> None:
        self._do(self._exchange.handle(Deliver(message)))

    def end(self, reason: str) -> None:
        if not self._ended.done():
            self._ended.set_result(reason)

    def receive(self, request: DeltaRequest) -> None:
        self._do(self._exchange.handle(RequestReceived(request)))

    async def serve(self, context: Context, first: bytes) -> None:
        """From its first request on, to the end."""
        tasks = [asyncio.create_task(self._write(context)), asyncio.create_task(self._read(context, first))]
        until: list[asyncio.Future[Any]] = [*tasks, self._ended]
        try:
            await asyncio.wait(until, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if self._ended.done():
            await refuse(context, self._ended.result())

    async def _read(self, context: Context, first: bytes) -> None:
        data: bytes | None = first
        while data is not None:
            self.bytes_read += len(data)
            try:
                request = read_delta_request(data)
            except CodecError as e:
                self.end(str(e))
                return
            self.receive(request)
            data = await next_message(context)

    async def _write(self, context: Context) -> None:
        while True:
            data = write_delta_response(await self._out.get())
            await context.write(data)
            self.bytes_sent += len(data)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendResponse(response):
                    self._out.put_nowait(response)
                    if self._out.qsize() > UNSENT_MOST:
                        self.end(f"{UNSENT_MOST} responses were not taken")
                case FollowerSays(message):
                    self._received(self, message)
                case ResponseRefused(type_url, reason):
                    self.refusals += 1
                    logger.warning(
                        "follower refuses",
                        extra=fields(
                            follower=self.name, type=type_url.rpartition(".")[2], reason=reason[:400]
                        ),
                    )
                case EndStream(reason):
                    self.end(reason)
