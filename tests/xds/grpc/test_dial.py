"""A stream that is over ends as such, whoever notices first: the one who reads or the one who writes."""

from __future__ import annotations

import asyncio

import grpc.aio
import pytest

from roadlb.xds.client.connection import StreamEnded
from roadlb.xds.grpc.dial import METHOD, dial

PATIENCE_S = 60.0


class Ends(grpc.GenericRpcHandler):
    """A service that ends each stream once it has read one message."""

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        async def serve(requests: object, context: grpc.aio.ServicerContext) -> None:
            await context.read()
            await context.abort(grpc.StatusCode.UNAVAILABLE, "killed")

        return grpc.stream_stream_rpc_method_handler(serve) if details.method == METHOD else None


def test_a_message_to_a_stream_that_has_ended_meanwhile_says_that_it_has() -> None:
    # gRPC raises InvalidStateError there, which a balancer logged as a fault of its own, with a trace.
    async def main() -> None:
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((Ends(),))
        call = await dial(f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}")
        await server.start()
        try:
            await call.write(b"one")
            with pytest.raises(StreamEnded, match="UNAVAILABLE: killed"):
                await call.read()
            with pytest.raises(StreamEnded, match="InvalidStateError"):
                await call.write(b"two")
        finally:
            await call.close()
            await server.stop(None)

    asyncio.run(asyncio.wait_for(main(), PATIENCE_S))
