"""Drains by the hundred: calls later than 1 s after one, on the nodes, by three kinds of proxy.

    python benchmarks/control_drains.py [--drains 100] [--seed 1] [--careless]

Two instances of the service; the second one's watch of discovery is up to 4 s late, but for the first answer
of each connection.  Two stand-in proxies and gRPC's own client change between the instances at random, are
cut off in the middle, and call nodes all the time.  Drained nodes end 3 s later, new ones take their places.

The second counts from when an instance that a proxy is connected to has been told, or from when a proxy
connects to one that knows: gRPC's client waits up to 1.2 s before it dials again, by itself.  What the nodes'
process stood still at the longest is added.  `--careless`: drains wait for the plan's gap, of 3 s, as other
changes do, to see that the count can be other than 0.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), *(str(ROOT / "tests" / part) for part in ("control_service", "xds/streams"))]

from grid_parties import HOST, Node, grpc_client, platform, service, until  # noqa: E402
from standin_proxies import StandIn  # noqa: E402

from roadlb.control import events, order  # noqa: E402
from roadlb.control.service import Service  # noqa: E402
from roadlb.fleet.model import Lifecycle, Picture  # noqa: E402

NODES, ENDS_S, RULE_S, PROMPT_S = 8, 3.0, 1.0, 0.2


class Relay:
    """A port in front of `target()`; `lag()`: how late what comes back is, after PROMPT_S of a connection."""

    def __init__(
        self,
        target: Callable[[], int],
        lag: Callable[[], float] = lambda: 0.0,
        came: Callable[[], None] = lambda: None,
    ) -> None:
        self._target, self._lag, self._came, self._writers = target, lag, came, set()

    async def start(self) -> Relay:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, to = await asyncio.open_connection(HOST, self._target())
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to}
        self._came()
        try:
            await asyncio.gather(self._copy(reader, to, False), self._copy(there, writer, True))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers -= {writer, to}
            writer.transport.abort()
            to.transport.abort()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late: bool) -> None:
        began = time.monotonic()
        while data := await reader.read(1 << 16):
            if late and time.monotonic() - began > PROMPT_S and (lag := self._lag()):
                await asyncio.sleep(lag)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()

    def cut(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()


class Rehearsal:
    """Who is connected where, and since when each proxy should know of each drain."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.services, self.at = rng, [], {}
        self.connected: set[str] = set()
        self.told: dict[tuple[str, str], float] = {}  # (proxy, node): since when

    def add(self, control: Service) -> None:
        handle = control.discovery._told

        def told(picture: Picture) -> None:
            for proxy, where in self.at.items():
                if where is control and proxy in self.connected:
                    self.knows(proxy, picture)
            handle(picture)

        control.discovery._told = told
        self.services.append(control)

    def knows(self, proxy: str, picture: Picture) -> None:
        for e in picture.clusters["grid"].endpoints:
            if e.lifecycle is not Lifecycle.UP:
                self.told.setdefault((proxy, e.node.name), time.monotonic())

    def move(self, proxy: str, relay: Relay) -> None:
        """To an instance drawn anew, by a cut in the middle of whatever is said."""
        self.at[proxy] = self.rng.choice(self.services)
        self.connected.discard(proxy)
        relay.cut()

    def came(self, proxy: str) -> None:
        """It has dialled the instance where it is to be."""
        self.connected.add(proxy)
        if picture := self.at[proxy].discovery.picture:
            self.knows(proxy, picture)

    def late(self, node: Node, stall: float) -> list[tuple[str, float]]:
        made = zip(node.calls, node.callers, strict=True)
        return [
            (who, at - self.told[who, node.name])
            for at, who in made
            if at > self.told.get((who, node.name), at) + RULE_S + stall
        ]


async def stream_for_ever(proxy: StandIn, port: int) -> None:
    while True:
        await proxy.stream(port)
        await asyncio.sleep(0.05)


async def rehearse(drains: int, seed: int, careless: bool) -> None:
    rng, tasks, stall = Random(seed), [], 0.0
    here, count = Rehearsal(rng), 0

    async def start() -> Node:
        nonlocal count
        node, count = Node(f"node-{count}"), count + 1
        await node.start()
        return node

    async def watch_stalls() -> None:
        nonlocal stall
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            stall = max(stall, time.monotonic() - before - 0.02)

    up = [await start() for _ in range(NODES)]
    gone: list[Node] = []
    async with AsyncExitStack() as stack:
        told = await stack.enter_async_context(platform(**{n.name: n.entry() for n in up}))
        slow = await Relay(lambda: told.port, lambda: rng.uniform(0, 4.0)).start()
        for source in (told, slow):
            control = await stack.enter_async_context(service(source, plan_gap_s=3.0 if careless else 0.1))
            if careless:
                control.order.handle = careless_order(control.order.handle)
                control.plan.handle = careless_plan(control.plan.handle)
            here.add(control)
        here.at = dict.fromkeys(("sotw", "delta", "grpc"), here.services[0])
        relays = {
            name: await Relay(
                lambda name=name: here.at[name].port, came=lambda name=name: here.came(name)
            ).start()
            for name in here.at
        }
        proxies = [StandIn("sotw", "sotw"), StandIn("delta", "delta")]
        said = await stack.enter_async_context(grpc_client(relays["grpc"].port, "grpc"))
        for proxy in proxies:
            tasks.append(asyncio.create_task(stream_for_ever(proxy, relays[proxy.node.id].port)))
            tasks.append(asyncio.create_task(proxy.traffic()))
        await until(lambda: min(len(n.calls) for n in up) > 20, "calls at all nodes")
        tasks.append(asyncio.create_task(watch_stalls()))

        async def end(node: Node) -> None:
            await asyncio.sleep(ENDS_S)
            told.tell(**{node.name: {"lifecycle": "removed"}})
            await asyncio.sleep(5.0)  # a watch that is 4 s late has not told it yet
            gone.append(node)

        ends = []
        for _ in range(drains):
            for name, relay in relays.items():
                if rng.random() < 0.2:
                    here.move(name, relay)
            if rng.random() < 0.1:
                told.cut()
            node = up.pop(rng.randrange(len(up)))
            told.tell(**{node.name: {"lifecycle": "draining"}})
            ends.append(asyncio.create_task(end(node)))
            new = await start()
            up.append(new)
            told.tell(**{new.name: new.entry()})
            await asyncio.sleep(rng.uniform(0.1, 0.9))
        await asyncio.gather(*ends)
        late = [(node.name, *one) for node in gone for one in here.late(node, stall)]
        calls = sum(len(n.calls) for n in (*up, *gone))
        print(
            f"{drains} drains, seed {seed}, {calls} calls, {len(here.told)} times told, "
            f"longest stall {stall * 1e3:.0f} ms"
        )
        print(
            f"late calls: {len(late)}",
            *(f"{node} by {who} after {after:.2f} s;" for node, who, after in late[:5]),
        )
        print(
            f"failed calls: grpc {len(said) - 1}, "
            + ", ".join(f"{p.node.id} {p.failures}" for p in proxies)
            + f"; silenced {[s.counts['silenced'] for s in here.services]}, "
            f"asked discovery {[s.counts['calls'] for s in here.services]}"
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for proxy in proxies:
            await proxy.close()
        for node in (*up, *gone):
            await node.server.stop(0)


def careless_order(handle):
    """Order without its rule that a drain overtakes."""
    return lambda now, event: [] if isinstance(event, order.Pictured) else handle(now, event)


def careless_plan(handle):
    """The newest picture is planned when the gap is over, like any other change."""
    held = []

    def careless(now, event):
        if isinstance(event, events.Fleet) and event.picture.generation > 1:
            held[:] = [(now, event)] if not held else [(held[0][0], event)]
            return []
        if held and now - held[0][0] > 3_000_000:
            return handle(now, held.pop()[1])
        return handle(now, event)

    return careless


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--drains", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--careless", action="store_true")
    options = parser.parse_args()
    asyncio.run(rehearse(options.drains, options.seed, options.careless))


if __name__ == "__main__":
    os.environ |= {"NO_PROXY": "*", "GRPC_VERBOSITY": "ERROR"}
    main()
