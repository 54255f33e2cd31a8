"""A relay for datagrams before each of several balancers, which knows who sends by the sender's port.

So any direction between any two can be cut.  Balancers listen at an address of this process's own, where
nobody's port is drawn by the kernel while theirs is free; relays stand at HOST.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from ..run.datagrams import Datagrams
from ..run.ports import reserved

HOST = "127.0.0.1"
LISTEN = f"127.{130 + os.getpid() % 100}.0.1"
KEY = "a key for this rig only"


class Relays:
    """`links`: by the balancer that is behind it, in the order in which they were set up."""

    def __init__(self, passes: Callable[[str, str], bool]) -> None:
        """`passes`: does a datagram from the first to the second?  Empty: the sender is no balancer."""
        self._passes = passes
        self.links: dict[str, Datagrams] = {}
        self._ports: dict[str, int] = {}
        self._by_port: dict[int, str] = {}
        self._reserved: dict[str, socket.socket] = {}

    async def before(self, name: str, random: Random) -> None:
        """One more; the balancer's port is reserved until `peers` is asked for."""
        held = self._reserved[name] = reserved(LISTEN, socket.SOCK_DGRAM)
        port: int = held.getsockname()[1]
        self._ports[name], self._by_port[port] = port, name
        link = self.links[name] = Datagrams(name, (LISTEN, port), random, lambda text: 0)
        await link.start(HOST)
        pass_on = link.there

        def there(data: bytes, sender: tuple[str, int]) -> None:
            if self._passes(self._by_port.get(sender[1], ""), name):
                pass_on(data, sender)

        link.there = there  # type: ignore[method-assign]

    def peers(self, name: str, cluster: str, each: int) -> dict[str, Any]:
        """This part of the balancer's configuration, with each so-manieth as a seed; it may bind its port."""
        if (held := self._reserved.pop(name, None)) is not None:
            held.close()
        return {
            "listen": f"{LISTEN}:{self._ports[name]}",
            "key": KEY,
            "cluster": cluster,
            "advertise": "{}:{}".format(*self.links[name].address),
            "seeds": ["{}:{}".format(*link.address) for link in list(self.links.values())[::each]],
        }

    def end(self) -> None:
        for link in self.links.values():
            link.end()
        for held in self._reserved.values():
            held.close()
