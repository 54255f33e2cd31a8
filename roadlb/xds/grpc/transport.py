"""The gRPC server: its methods, its bounds, and what a stream is to who serves it.  The only user of grpcio.

Messages come and go as bytes: the codec reads and writes them, and a response is encoded once for all.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import grpc  # type: ignore[import-untyped]
import grpc.aio  # type: ignore[import-untyped]

from ...fleet.platform import write_host_port
from ..codec.protos import CodecError

Context: TypeAlias = Any  # grpc.aio.ServicerContext, which comes without types

ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS = "envoy.service.load_stats.v3.LoadReportingService"
STATUS = "envoy.service.status.v3.ClientStatusDiscoveryService"
HEALTH = "grpc.health.v1.Health"

# A proxy that is gone without a word is noticed after 15 s, in which it may be taken for one that lags.
OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_concurrent_streams", 100),  # of one connection: a proxy needs two
    ("grpc.max_receive_message_length", 4 << 20),  # a request with 10,000 names of 400 characters
    ("grpc.so_reuseport", 0),  # two services on one port would share the proxies
)
REASON_CHARS = 1_000  # of an ending's text: it travels in a header
Handler: TypeAlias = Callable[[Context], Awaitable[None]]


async def next_message(context: Context) -> bytes | None:
    """The next message of a stream; None at its end."""
    data = await context.read()
    return None if data is grpc.aio.EOF else data


async def refuse(context: Context, reason: str) -> None:
    """End a stream as one that its client has to mend."""
    await context.abort(grpc.StatusCode.INVALID_ARGUMENT, reason[:REASON_CHARS])


def listen(made: Any, host: str, port: int) -> int:
    """Have a server listen; the port, which the kernel chooses for 0.  OSError names the address."""
    where = write_host_port(host, port)
    try:
        return int(made.add_insecure_port(where))
    except RuntimeError as e:
        raise OSError(f"listen: {where} cannot be had, choose another one or end who has it: {e}") from None


def server(
    streams: dict[tuple[str, str], Handler], calls: dict[tuple[str, str], Callable[[bytes], bytes]]
) -> Any:
    """A server of these methods, by service and method name, that is not started yet."""
    services: dict[str, dict[str, Any]] = {}
    for (service, method), handler in streams.items():
        services.setdefault(service, {})[method] = grpc.stream_stream_rpc_method_handler(_stream(handler))
    for (service, method), call in calls.items():
        services.setdefault(service, {})[method] = grpc.unary_unary_rpc_method_handler(_call(call))
    made = grpc.aio.server(options=OPTIONS)
    made.add_generic_rpc_handlers(
        tuple(grpc.method_handlers_generic_handler(service, methods) for service, methods in services.items())
    )
    return made


def _stream(handler: Handler) -> Callable[[Any, Context], Awaitable[None]]:
    async def serve(_: Any, context: Context) -> None:
        try:
            await handler(context)
        except CodecError as e:
            await refuse(context, str(e))

    return serve


def _call(call: Callable[[bytes], bytes]) -> Callable[[bytes, Context], Awaitable[bytes]]:
    async def serve(request: bytes, _: Context) -> bytes:
        return call(request)

    return serve
