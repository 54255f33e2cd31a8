"""Nodes that remember which request came to them, and clients whose requests are reads and orders in turn.

A request's id is `balancer.customer.number`; an order is a POST.  All live in the judge's own loop.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ...clock import monotonic_us
from ..agreement.parties import Client, Node
from ..agreement.watch import HOST
from ..parties.http import ACCOUNT, CORRELATION_ID, Message, write_request

ORDERS = 4  # every fourth request of a client is one
ANSWER_S = 20.0  # generous: a busy machine holds balancers up for seconds
READ, ORDER = "read", "order"


@dataclass(frozen=True, slots=True)
class Came:
    """A request of a balancer's client was read whole by a node, at this time of the monotonic clock."""

    at: int
    node: str
    balancer: str
    request: str
    order: bool


class Nodes:
    """Each answers at once; `came` has what they read, in that order.  What bears no id is a probe."""

    def __init__(self) -> None:
        self.came: list[Came] = []
        self._servers: list[asyncio.Server] = []

    async def start(self, name: str) -> int:
        """One more node; its port."""
        server = await asyncio.get_running_loop().create_server(lambda: _Connection(name, self.came), HOST, 0)
        self._servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def since(self, at: int) -> list[Came]:
        """What came since then."""
        found = []
        for one in reversed(self.came):
            if one.at < at:
                break
            found.append(one)
        return found[::-1]

    def end(self) -> None:
        for server in self._servers:
            server.close()


class _Connection(Node):
    def __init__(self, node: str, came: list[Came]) -> None:
        super().__init__(lambda balancer, customer: 0.0)
        self._node, self._came = node, came

    def answer(self, message: Message) -> None:
        request = message.headers.get(CORRELATION_ID.lower(), "")
        if request.count(".") == 2:
            self._came.append(
                Came(monotonic_us(), self._node, request.partition(".")[0], request, message.method == "POST")
            )
        super().answer(message)


class Asker(Client):
    """Sends reads and orders to one balancer, one after the other; each id is new."""

    def __init__(self, balancer: str, at: tuple[str, int], customer: str, period_s: float) -> None:
        super().__init__(balancer, at, customer, READ, period_s=period_s)
        self.answer_s = ANSWER_S

    def request(self, number: int) -> bytes:
        order = number % ORDERS == 0
        name, method = (ORDER, "POST") if order else (READ, "GET")
        return write_request(
            method,
            f"/{name}/{self.line * 1_000 + number % 1_000}?w=1",
            (
                ("Host", "backend.local"),
                (ACCOUNT, self.customer),
                (CORRELATION_ID, f"{self.balancer}.{self.customer}.{self.line}x{number}"),
            ),
        )
