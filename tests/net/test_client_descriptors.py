"""A balancer process whose descriptors are exhausted by idle clients.

Active clients must still be served, and idle ones closed longest idle first.  The process is suspended while
the clients connect, so that it finds all of them in its accept queue in one loop iteration.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from limited_program import (
    INITIAL_GENERATION,
    IDLE_CLIENT_COUNT,
    MAX_DESCRIPTORS,
    BalancerProcess,
    idle_clients,
    limited_program,
)
from scenario import Link, run
from watching import ENOUGH_S, Discovery, entry, until, update

MEASURED_S = 1.0  # interval over which the CPU time of the process is measured
MAX_CPU_S = 0.5  # a busy loop would use all of MEASURED_S
# Configured for a process that may open only MAX_DESCRIPTORS, so its own limit never applies.
OVERSTATED_DESCRIPTORS = 1024
LATE_CLIENT_COUNT = 6  # clients that connect one at a time once the limit is reached
REQUEST_TEMPLATE = "GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n\r\n"


class HoldingServer:
    """A server that queues each request until the test answers it."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Link] = asyncio.Queue()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(reader, writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await link.message():
                await self.requests.put(link)

    async def next_request(self) -> Link:
        async with asyncio.timeout(ENOUGH_S):
            return await self.requests.get()

    def close(self) -> None:
        self._server.close()


class LimitedBalancer:
    """A balancer process with a low descriptor limit, and the server behind it."""

    def __init__(self, program: BalancerProcess, holding_server: HoldingServer) -> None:
        self.pid, self.port, self.holding_server = program.pid, program.port, holding_server
        self.suspend, self.resume = program.suspend, program.resume

    async def client(self) -> Link:
        return Link(*await asyncio.open_connection("127.0.0.1", self.port))

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def cpu_s(self) -> float:
        """Returns the CPU time that the process has used so far."""
        stat_fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")


@asynccontextmanager
async def limited_balancer(
    tmp_path: Path, configured_descriptors: int = MAX_DESCRIPTORS
) -> AsyncIterator[LimitedBalancer]:
    """Runs a limited balancer with one server; `configured_descriptors` is the limit in its configuration."""
    discovery, holding_server = Discovery(), HoldingServer()
    await discovery.start()
    initial_list = update(INITIAL_GENERATION, entry("s", port=await holding_server.start()), reset=True)
    async with limited_program(
        tmp_path, discovery, initial_list, max_attempts=1, configured_descriptors=configured_descriptors
    ) as program:
        yield LimitedBalancer(program, holding_server)
    discovery.close()
    holding_server.close()


def send_answer(server: Link, text: str) -> None:
    server.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}")


async def expect_answer(client: Link, text: str) -> None:
    async with asyncio.timeout(ENOUGH_S):
        received = await client.message()
    assert received.startswith("HTTP/1.1 200") and received.endswith(text), received


async def complete_request(client: Link, holding_server: HoldingServer, id: str) -> None:
    """Sends a request, answers it at the server and checks the answer."""
    client.write(REQUEST_TEMPLATE.format(id=id))
    send_answer(await holding_server.next_request(), id)
    await expect_answer(client, id)


async def serve_new_clients(balancer: LimitedBalancer) -> None:
    """Serves more new clients than there are descriptors, once those of the idle clients are free."""
    await until(lambda: balancer.open_descriptors() < MAX_DESCRIPTORS // 2, "the idle connections are closed")
    for number in range(MAX_DESCRIPTORS):
        late_client = await balancer.client()
        await complete_request(late_client, balancer.holding_server, f"late{number}")
        late_client.writer.close()


def is_closed(client: socket.socket) -> bool:
    """Tells whether the balancer has closed this connection."""
    try:
        return client.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


def test_idle_clients_beyond_the_descriptor_limit_neither_cause_a_busy_loop_nor_displace_active_clients(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path) as balancer:
            holding_server = balancer.holding_server
            workers = [await balancer.client() for _ in range(3)]
            for number, worker in enumerate(workers):
                await complete_request(worker, holding_server, f"before{number}")
            balancer.suspend()
            idle = await idle_clients(balancer.port, IDLE_CLIENT_COUNT)
            for number, worker in enumerate(workers):
                worker.write(REQUEST_TEMPLATE.format(id=f"in{number}"))
            balancer.resume()
            # All requests are at the server at once, so all but one need a new connection to it.
            servers = [await holding_server.next_request() for _ in workers]
            assert len({id(server) for server in servers}) == len(workers)
            for server in servers:
                send_answer(server, server.last.partition("X-Correlation-Id: ")[2].partition("\r")[0])
            for number, worker in enumerate(workers):
                await expect_answer(worker, f"in{number}")
            cpu_before_s, end_s = balancer.cpu_s(), asyncio.get_running_loop().time() + MEASURED_S
            number = 0
            while asyncio.get_running_loop().time() < end_s:
                # When connections are scarce an answer may close its connection; each request uses a new one.
                worker = await balancer.client()
                await complete_request(worker, holding_server, f"meanwhile{number}")
                worker.writer.close()
                number += 1
                await asyncio.sleep(MEASURED_S / 10)
            assert balancer.cpu_s() - cpu_before_s < MAX_CPU_S
            assert number > 1 and not all(is_closed(client) for client in idle)
            for client in idle:
                client.close()
            await serve_new_clients(balancer)

    run(asyncio.wait_for(main(), 60))


def test_accept_without_free_descriptors_neither_busy_loops_nor_loses_a_request_already_read(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path, OVERSTATED_DESCRIPTORS) as balancer:
            holding_server, loop = balancer.holding_server, asyncio.get_running_loop()
            # Open two connections to the server: the one that carried the last answer may not be idle yet.
            worker, other = await balancer.client(), await balancer.client()
            for client, name in ((worker, "before"), (other, "beside")):
                client.write(REQUEST_TEMPLATE.format(id=name))
            servers = [await holding_server.next_request(), await holding_server.next_request()]
            for server in servers:
                send_answer(server, "warm")
            for client in (worker, other):
                await expect_answer(client, "warm")
            balancer.suspend()
            idle = await idle_clients(balancer.port, IDLE_CLIENT_COUNT)
            worker.write(REQUEST_TEMPLATE.format(id="in"))
            balancer.resume()
            send_answer(await holding_server.next_request(), "in")
            await expect_answer(worker, "in")
            cpu_before_s, end_s, number = balancer.cpu_s(), loop.time() + MEASURED_S, 0
            while loop.time() < end_s:
                idle += await idle_clients(balancer.port, 1)
                await complete_request(worker, holding_server, f"meanwhile{number}")
                number += 1
                await asyncio.sleep(MEASURED_S / 10)
            assert balancer.cpu_s() - cpu_before_s < MAX_CPU_S
            assert number > 1 and sum(is_closed(client) for client in idle) >= len(idle) - MAX_DESCRIPTORS
            for client in idle:
                client.close()
            await serve_new_clients(balancer)

    run(asyncio.wait_for(main(), 60))


def test_idle_clients_past_the_limit_are_closed_longest_idle_first(tmp_path: Path) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path) as balancer:
            idle: list[socket.socket] = []

            async def add_idle_client() -> None:
                idle.extend(await idle_clients(balancer.port, 1))

            async def wait_until_closed(client: socket.socket) -> None:
                async with asyncio.timeout(ENOUGH_S):
                    while not is_closed(client):
                        await asyncio.sleep(0.002)

            while not any(is_closed(client) for client in idle):
                assert len(idle) < MAX_DESCRIPTORS
                await add_idle_client()
                await asyncio.sleep(0.005)  # any of them may be the one that reaches the limit
            for number in range(LATE_CLIENT_COUNT):
                await wait_until_closed(idle[number])
                # Checked from the newest to the oldest: if one is closed, all older ones were closed before.
                closed_in_order = [is_closed(client) for client in reversed(idle)][::-1]
                assert closed_in_order == sorted(closed_in_order, reverse=True), closed_in_order
                await add_idle_client()
            for client in idle:
                client.close()

    run(asyncio.wait_for(main(), 60))
