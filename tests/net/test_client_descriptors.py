"""A whole balancer whose descriptors idle clients use up: working clients, servers and order of closing.

Stopped while the clients connect, the process finds all of them in its accept queue in one turn.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from limited_program import GENERATION, IDLE, SOCKETS, Program, idle_clients, limited_program
from scenario import Link, run
from watching import ENOUGH_S, Discovery, entry, until, update

WATCHED_S = 1.0  # over which the process's time on a core is taken
BUSY_MOST_S = 0.5  # a process that spins has all of it
TOLD_TOO_MANY = 1024  # descriptors, to a process that may have SOCKETS: its own limits never bite
LATE = 6  # clients past the limit, one at a time
ASK = "GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n\r\n"


class Grid:
    """A server that holds each request back till the test answers it."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[Link] = asyncio.Queue()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._called, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(reader, writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await link.message():
                await self.requests.put(link)

    async def request(self) -> Link:
        async with asyncio.timeout(ENOUGH_S):
            return await self.requests.get()

    def close(self) -> None:
        self._server.close()


class Process:
    """The balancer, which has few descriptors."""

    def __init__(self, program: Program, grid: Grid) -> None:
        self.pid, self.port, self.grid = program.pid, program.port, grid
        self.stop, self.go_on = program.stop, program.go_on

    async def client(self) -> Link:
        return Link(*await asyncio.open_connection("127.0.0.1", self.port))

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def busy_s(self) -> float:
        """Its time on a core so far."""
        told = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(told[11]) + int(told[12])) / os.sysconf("SC_CLK_TCK")


@asynccontextmanager
async def limited_balancer(tmp_path: Path, told: int = SOCKETS) -> AsyncIterator[Process]:
    """`told`: how many descriptors its configuration says that it may hold."""
    discovery, grid = Discovery(), Grid()
    await discovery.start()
    known = update(GENERATION, entry("s", port=await grid.start()), reset=True)
    async with limited_program(tmp_path, discovery, known, max_attempts=1, told=told) as program:
        yield Process(program, grid)
    discovery.close()
    grid.close()


def answer(server: Link, text: str) -> None:
    server.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}")


async def served(client: Link, text: str) -> None:
    async with asyncio.timeout(ENOUGH_S):
        got = await client.message()
    assert got.startswith("HTTP/1.1 200") and got.endswith(text), got


async def asked(client: Link, grid: Grid, id: str) -> None:
    """A request that is served, start to end."""
    client.write(ASK.format(id=id))
    answer(await grid.request(), id)
    await served(client, id)


async def serves_new(process: Process) -> None:
    """More new clients than there are descriptors, once those of the idle ones are free."""
    await until(lambda: process.descriptors() < SOCKETS // 2, "the idle ones have gone")
    for number in range(SOCKETS):
        late = await process.client()
        await asked(late, process.grid, f"late{number}")
        late.writer.close()


def over(client: socket.socket) -> bool:
    """Has the balancer ended this connection?"""
    try:
        return client.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


def test_idle_clients_past_the_descriptors_neither_make_it_spin_nor_take_a_working_clients(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path) as process:
            grid = process.grid
            workers = [await process.client() for _ in range(3)]
            for number, worker in enumerate(workers):
                await asked(worker, grid, f"before{number}")
            process.stop()
            idle = await idle_clients(process.port, IDLE)
            for number, worker in enumerate(workers):
                worker.write(ASK.format(id=f"in{number}"))
            process.go_on()
            # All are at a server at a time: for all but one a connection must be dialled.
            servers = [await grid.request() for _ in workers]
            assert len({id(server) for server in servers}) == len(workers)
            for server in servers:
                answer(server, server.last.partition("X-Correlation-Id: ")[2].partition("\r")[0])
            for number, worker in enumerate(workers):
                await served(worker, f"in{number}")
            began_s, end = process.busy_s(), asyncio.get_running_loop().time() + WATCHED_S
            number = 0
            while asyncio.get_running_loop().time() < end:
                # Where connections are few an answer may be the last on its own; its client comes again.
                worker = await process.client()
                await asked(worker, grid, f"meanwhile{number}")
                worker.writer.close()
                number += 1
                await asyncio.sleep(WATCHED_S / 10)
            assert process.busy_s() - began_s < BUSY_MOST_S
            assert number > 1 and not all(over(client) for client in idle)
            for client in idle:
                client.close()
            await serves_new(process)

    run(asyncio.wait_for(main(), 60))


def test_accepting_without_descriptors_neither_spins_nor_loses_a_request_that_is_read(tmp_path: Path) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path, TOLD_TOO_MANY) as process:
            grid, loop = process.grid, asyncio.get_running_loop()
            # Two connections to the server: the one that carried the last answer may not rest yet.
            worker, other = await process.client(), await process.client()
            for client, name in ((worker, "before"), (other, "beside")):
                client.write(ASK.format(id=name))
            servers = [await grid.request(), await grid.request()]
            for server in servers:
                answer(server, "warm")
            for client in (worker, other):
                await served(client, "warm")
            process.stop()
            idle = await idle_clients(process.port, IDLE)
            worker.write(ASK.format(id="in"))
            process.go_on()
            answer(await grid.request(), "in")
            await served(worker, "in")
            began_s, end, number = process.busy_s(), loop.time() + WATCHED_S, 0
            while loop.time() < end:
                idle += await idle_clients(process.port, 1)
                await asked(worker, grid, f"meanwhile{number}")
                number += 1
                await asyncio.sleep(WATCHED_S / 10)
            assert process.busy_s() - began_s < BUSY_MOST_S
            assert number > 1 and sum(over(client) for client in idle) >= len(idle) - SOCKETS
            for client in idle:
                client.close()
            await serves_new(process)

    run(asyncio.wait_for(main(), 60))


def test_idle_clients_past_the_limit_are_closed_longest_idle_first(tmp_path: Path) -> None:
    async def main() -> None:
        async with limited_balancer(tmp_path) as process:
            idle: list[socket.socket] = []

            async def one_more() -> None:
                idle.extend(await idle_clients(process.port, 1))

            async def ends(client: socket.socket) -> None:
                async with asyncio.timeout(ENOUGH_S):
                    while not over(client):
                        await asyncio.sleep(0.002)

            while not any(over(client) for client in idle):
                assert len(idle) < SOCKETS
                await one_more()
                await asyncio.sleep(0.005)  # it may come to the limit with any of them
            for number in range(LATE):
                await ends(idle[number])
                # The newest is looked at first: what is over by then has its elders over before it.
                gone = [over(client) for client in reversed(idle)][::-1]
                assert gone == sorted(gone, reverse=True), gone
                await one_more()
            for client in idle:
                client.close()

    run(asyncio.wait_for(main(), 60))
