"""A busy day of faults, a program for test_sim_determinism.py: prints what must not depend on the run."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from roadlb.lab.sim import Host, Link, Network, SimLoop

HOSTS, SECONDS, PORT = 6, 8, 80


class Gossip(asyncio.Protocol):
    """Answers each message with another to somebody else, kept in a set on purpose."""

    def __init__(self, known: set[Gossip], rng: Any) -> None:
        self.known, self.rng = known, rng

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.known.add(self)

    def data_received(self, data: bytes) -> None:
        self.transport.write(data[: self.rng.randrange(len(data))])

    def connection_lost(self, error: Exception | None) -> None:
        self.known.discard(self)


async def live(host: Host, others: list[Host]) -> None:
    loop, rng, known = asyncio.get_running_loop(), host.rng, set[Gossip]()
    await loop.create_server(lambda: Gossip(known, rng), "0.0.0.0", PORT, backlog=4)

    async def talk(other: Host) -> None:
        while True:
            transport = None
            try:
                async with asyncio.timeout(rng.uniform(0.01, 2)):
                    transport, _ = await loop.create_connection(lambda: Gossip(known, rng), other.name, PORT)
                    await asyncio.sleep(rng.random())
                    transport.write(bytes(rng.randrange(256) for _ in range(rng.randrange(1, 900))))
                    await asyncio.sleep(rng.random())
                    rng.choice((transport.close, transport.abort))()
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                if transport is not None:
                    transport.close()

    # A set of tasks: the order in which it is walked, and they are cancelled, must be the same.
    tasks = {asyncio.create_task(talk(other)) for other in others for _ in range(3)}
    await asyncio.sleep(SECONDS * 0.9)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def main() -> str:
    network = Network(SimLoop.running(), link=Link(300, jitter_us=400, split=0.3), receive_buffer=2_000)
    hosts = [network.host(f"h{number}", "abc"[number % 3]) for number in range(HOSTS)]
    for host in hosts:
        host.run(live(host, [other for other in hosts if other is not host]))
    hosts[0].cpu(lambda rng: rng.randrange(500), cores=0.3)
    rng = network.rng
    for _ in range(SECONDS):
        await asyncio.sleep(1)
        host = rng.choice(hosts[1:])
        fault = rng.choice(("kill", "vanish", "stall", "cut", "reset"))
        if fault == "kill":
            host.restart()
            host.run(live(host, [other for other in hosts if other is not host]))
        elif fault == "vanish":
            host.vanish()
            network.loop.call_later(1.5, host.return_)
        elif fault == "stall":
            host.stall(300_000)
        elif fault == "cut":
            network.cut("a", rng.choice("bc"))
            network.loop.call_later(0.7, network.heal)
        else:
            network.reset_share(0.5)
    return f"{network.taps.sequence} {network.digest()}"


if __name__ == "__main__":
    ballast = [bytearray(number * 7 % 600) for number in range(int(sys.argv[2]))]  # moves every address
    with asyncio.Runner(loop_factory=lambda: SimLoop(int(sys.argv[1]))) as runner:
        print(runner.run(main()))
