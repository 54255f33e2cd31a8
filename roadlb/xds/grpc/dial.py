"""A client's call of the incremental aggregated stream over gRPC."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc  # type: ignore[import-untyped]
import grpc.aio  # type: ignore[import-untyped]

from ..client.connection import StreamEnded
from .transport import ADS

METHOD = f"/{ADS}/DeltaAggregatedResources"
# A channel for each call: none of gRPC's own back-off, as who is called when is `client.choice`'s matter.
OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", 8 << 20),  # a server keeps a response below 1 MiB, or one resource
)
# What gRPC raises on a stream that is over; the last, undocumented, is `write` on one that ended meanwhile.
ENDS = (grpc.RpcError, grpc.aio.UsageError, asyncio.InvalidStateError)


class Call:
    """One stream, as `client.connection` reads and writes it."""

    def __init__(self, channel: Any) -> None:
        self._channel = channel
        self._call = channel.stream_stream(METHOD)()

    async def read(self) -> bytes:
        try:
            data = await self._call.read()
        except ENDS as e:
            raise StreamEnded(_said(e)) from None
        if data is grpc.aio.EOF:
            raise StreamEnded("the control service has ended the stream")
        return bytes(data)

    async def write(self, data: bytes) -> None:
        try:
            await self._call.write(data)
        except ENDS as e:
            raise StreamEnded(_said(e)) from None

    async def close(self) -> None:
        self._call.cancel()
        await self._channel.close()


def _said(error: Any) -> str:
    if isinstance(error, grpc.RpcError) and hasattr(error, "code"):
        return f"{error.code().name}: {error.details()}"
    return f"{type(error).__name__}: {error}"


async def dial(at: str) -> Call:
    """Call `host:port`; a service that is not there shows in the first `read`."""
    return Call(grpc.aio.insecure_channel(at, options=OPTIONS))
