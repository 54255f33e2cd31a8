"""How fast the simulated world runs: `python benchmarks/lab_sim.py [--profile]`.

Three figures, the best of some rounds: timers (tasks that sleep), deliveries (echo on ten connections), and a
day of 390 requests a second for 45 s over three hops with trivial protocols.  The yardstick of the machine is
the same echo on asyncio's own loop and loopback sockets, deliveries a second.
"""

from __future__ import annotations

import asyncio
import cProfile
import pstats
import sys
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from roadlb.lab.sim import Host, Link, Network, SimLoop

ROUNDS = 3
PORT = 8080
RATE, SECONDS, CONNECTIONS = 390, 45, 32
REQUEST = b"GET /grid-read/k17 HTTP/1.1\r\n" + b"h" * 270 + b"\n"
ANSWER = b"HTTP/1.1 200 OK\r\n" + b"b" * 480 + b"\n"


class Echo(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


class Asker(asyncio.Protocol):
    """Sends a line and waits for it, so many times."""

    def __init__(self, times: int, done: asyncio.Future[None]) -> None:
        self.left, self.done = times, done

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(REQUEST)

    def data_received(self, data: bytes) -> None:
        self.left -= 1
        if self.left:
            self.transport.write(REQUEST)
        else:
            self.transport.close()
            self.done.set_result(None)


async def ask(host: str, port: int, times: int) -> None:
    loop = asyncio.get_running_loop()
    asked = [loop.create_future() for _ in range(10)]
    for done in asked:
        await loop.create_connection(lambda done=done: Asker(times, done), host, port)  # type: ignore[misc]
    await asyncio.gather(*asked)


async def real_echo() -> int:
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    await ask(*server.sockets[0].getsockname(), 1_000)
    server.close()
    return 20_000


async def echo() -> int:
    network = Network(SimLoop.running())
    server, client = network.host("server"), network.host("client")
    await server.run(SimLoop.running().create_server(Echo, server.ip, PORT))
    await client.run(ask(server.ip, PORT, 1_000))
    return 20_000


async def sleeps() -> int:
    async def sleeper(number: int) -> None:
        for _ in range(100):
            await asyncio.sleep(0.01 * (1 + number % 7))

    await asyncio.gather(*(sleeper(number) for number in range(200)))
    return 20_000


class Upstream(asyncio.Protocol):
    """A kept connection to the next hop; answers go to whoever asked."""

    def __init__(self, idle: deque[Upstream]) -> None:
        self.idle = idle
        self.asker: Callable[[bytes], None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.idle.append(self)

    def ask(self, data: bytes, answer: Callable[[bytes], None]) -> None:
        self.asker = answer
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        asker, self.asker = self.asker, None
        self.idle.append(self)
        if asker is not None:
            asker(data)


class Hop(asyncio.Protocol):
    """Hands each request to the next hop, with a guard timer as a real one has."""

    def __init__(self, idle: deque[Upstream]) -> None:
        self.idle = idle

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        guard = asyncio.get_running_loop().call_later(5.0, self.transport.abort)

        def answered(data: bytes) -> None:
            guard.cancel()
            self.transport.write(data)

        self.idle.popleft().ask(data, answered)


class Node(asyncio.Protocol):
    """Answers after 20 ms."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(0.02, self.transport.write, ANSWER)


async def listen(
    factory: Callable[[], asyncio.BaseProtocol], onward: Host | None, idle: deque[Upstream]
) -> None:
    loop = asyncio.get_running_loop()
    if onward is not None:
        for _ in range(CONNECTIONS):
            await loop.create_connection(lambda: Upstream(idle), onward.ip, PORT)
    await loop.create_server(factory, "0.0.0.0", PORT)


async def traffic(onward: Host) -> int:
    loop, idle, answered = asyncio.get_running_loop(), deque[Upstream](), [0]

    def got(data: bytes) -> None:
        answered[0] += 1

    for _ in range(CONNECTIONS):
        await loop.create_connection(lambda: Upstream(idle), onward.ip, PORT)
    start = loop.time()
    for number in range(RATE * SECONDS):
        loop.call_at(start + number / RATE, lambda: idle.popleft().ask(REQUEST, got))
    await asyncio.sleep(SECONDS + 1)
    return answered[0]


async def day(jitter_us: int = 100) -> int:
    """Client, front, balancer, node: 390 requests a second."""
    network = Network(SimLoop.running(), link=Link(delay_us=250, jitter_us=jitter_us))
    node, balancer, front, client = (network.host(name) for name in ("node", "balancer", "front", "client"))
    await node.run(listen(Node, None, deque()))
    for host, onward in ((balancer, node), (front, balancer)):
        idle: deque[Upstream] = deque()
        await host.run(listen(lambda idle=idle: Hop(idle), onward, idle))  # type: ignore[misc]
    answered: int = await client.run(traffic(front))
    assert answered == RATE * SECONDS, answered
    return 6 * answered


def simulated() -> SimLoop:
    return SimLoop(1)


def measure(main: Callable[[], Coroutine[Any, Any, int]], loop: Callable[[], Any]) -> tuple[float, int]:
    """The best of some rounds: seconds of this process's CPU, and how many things were done."""
    best, done = float("inf"), 0
    for _ in range(ROUNDS):
        with asyncio.Runner(loop_factory=loop) as runner:
            start = time.process_time()
            done = runner.run(main())
            best = min(best, time.process_time() - start)
    return best, done


def main() -> None:
    if "--profile" in sys.argv:
        profile = cProfile.Profile()
        with asyncio.Runner(loop_factory=simulated) as runner:
            profile.runcall(runner.run, day())
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        return
    real, deliveries = measure(real_echo, asyncio.SelectorEventLoop)
    for name, what in (
        ("20,000 sleeps", sleeps),
        ("20,000 echo deliveries", echo),
        (f"{RATE} requests/s x {SECONDS} s, 3 hops", day),
    ):
        seconds, done = measure(what, simulated)
        print(
            f"{name:36} {seconds:6.2f} s  {done / seconds:9,.0f} a second  "
            f"{done / seconds / (deliveries / real):5.2f} of asyncio's echo on loopback"
        )


if __name__ == "__main__":
    main()
