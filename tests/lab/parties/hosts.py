"""Hosts of the simulated network, 1 ms from each other: a party's own, and those that it meets."""

import asyncio
import inspect
from collections.abc import Callable

from roadlb.lab.sim import Link, Network, SimLoop

HERE, CALLER, *BALANCERS = "10.0.0.1", "10.0.0.2", "10.0.0.4", "10.0.0.5"
DELAY_S = 0.001


class Hosts:
    """The test itself runs on the host `HERE`."""

    def __init__(self, loop: SimLoop) -> None:
        network = Network(loop, link=Link(delay_us=1_000))
        self._loop, self.clock, self.time = loop, loop.clock_us, loop.time
        self.hosts = {ip: network.host(ip, ip=ip) for ip in (HERE, CALLER, *BALANCERS)}
        self.servers: dict[str, asyncio.AbstractServer] = {}

    async def create_server(self, factory, ip, port):
        """In place of the one that is there."""
        if ip in self.servers:
            self.servers[ip].close()
        self.servers[ip] = await self.hosts[ip].run(self._loop.create_server(factory, ip, port))

    async def create_connection(self, factory, ip, port):
        return await self.hosts[CALLER].run(self._loop.create_connection(factory, ip, port))


def virtual(test: Callable[..., object]) -> Callable[..., None]:
    """Has pytest run `async def test(hosts, ...)` to its end in no time."""

    def run(**parameters: object) -> None:
        loop = SimLoop(1)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:

            async def main() -> None:
                hosts = Hosts(loop)
                await hosts.hosts[HERE].run(test(hosts, **parameters))

            runner.run(main())

    of_test = inspect.signature(test)
    run.__signature__ = of_test.replace(parameters=list(of_test.parameters.values())[1:])
    return run
