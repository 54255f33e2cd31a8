"""A client nobody here wrote: gRPC's own, which finds the nodes through all four kinds of resources."""

from __future__ import annotations

import asyncio

from grid_parties import grpc_client, nodes, platform, service, until


async def follow() -> None:
    async with (nodes(3) as (a, b, c), platform(a=a.entry(), b=b.entry(), c=c.entry()) as told,
                service(told) as control, grpc_client(control.port) as said):
        await until(lambda: min(len(n.calls) for n in (a, b, c)) > 20, "calls at all nodes")
        print([len(n.calls) for n in (a, b, c)], said)
        told.tell(a={"lifecycle": "draining"})
        await asyncio.sleep(1)
        n = len(a.calls)
        await asyncio.sleep(1)
        print(n, [len(n.calls) for n in (a, b, c)], said)
        told.tell(b={"weight": 9.0})
        await asyncio.sleep(1)
        before = [len(n.calls) for n in (b, c)]
        await asyncio.sleep(2)
        print([len(n.calls)-x for n, x in zip((b, c), before, strict=True)], said)
        print(control.clients, control.counts, control.subscribers.known)


def test_it_follows_a_drain_and_a_shift_of_weights() -> None:
    asyncio.run(follow())
