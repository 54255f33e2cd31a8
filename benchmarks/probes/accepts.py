"""How many connections a loop accepts in one turn when hundreds connect while it is busy, and for how much.

    python benchmarks/probes/accepts.py

400 sockets connect while the loop sleeps.  A turn is counted by a callback that asks to be called again.
Each way is also run with descriptors for 100 connections only, to see who gets one.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from importlib.metadata import version

import uvloop

CONNECT, BACKLOG, AT_ONCE, ROOM = 400, 512, 16, 100


class Tally:
    def __init__(self) -> None:
        self.turn, self.made, self.lost, self.most_open = 0, Counter[int](), 0, 0
        self.on, self.counts_open = True, False

    def next_turn(self) -> None:
        self.turn += 1
        if self.on:
            asyncio.get_running_loop().call_soon(self.next_turn)


class Accepted(asyncio.Protocol):
    def __init__(self, tally: Tally, most: int) -> None:
        self.tally, self.most = tally, most

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.tally.made[self.tally.turn] += 1
        if self.tally.counts_open:  # costs 100 us, and a descriptor
            self.tally.most_open = max(self.tally.most_open, len(os.listdir("/proc/self/fd")))
        if self.tally.made.total() > self.most:
            transport.abort()  # type: ignore[attr-defined]

    def connection_lost(self, exc: BaseException | None) -> None:
        self.tally.lost += 1


def listening(backlog: int = BACKLOG) -> socket.socket:
    return socket.create_server(("127.0.0.1", 0), backlog=backlog)


async def servers(tally: Tally, most: int) -> socket.socket:
    """create_server, as it comes."""
    sock = listening()
    await asyncio.get_running_loop().create_server(lambda: Accepted(tally, most), sock=sock, backlog=BACKLOG)
    return sock


async def few(tally: Tally, most: int) -> socket.socket:
    """create_server with backlog=16, and a longer line asked of the kernel after it: roadlb today."""
    sock = listening()
    await asyncio.get_running_loop().create_server(lambda: Accepted(tally, most), sock=sock, backlog=AT_ONCE)
    sock.listen(BACKLOG)
    return sock


async def own(tally: Tally, most: int) -> socket.socket:
    """add_reader on the listener, at most 16 accepted in a turn, each handed to connect_accepted_socket."""
    loop, sock, tasks = asyncio.get_running_loop(), listening(), set[asyncio.Task[object]]()
    sock.setblocking(False)

    def accept() -> None:
        for _ in range(AT_ONCE):
            try:
                new, _ = sock.accept()
            except OSError:
                return
            new.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(
                loop.connect_accepted_socket(lambda: Accepted(tally, most), new)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    loop.add_reader(sock, accept)
    return sock


async def burst(
    serve: Callable[[Tally, int], Awaitable[socket.socket]], most: int, cap: bool, counts_open: bool
) -> str:
    tally = Tally()
    sock = await serve(tally, most)
    clients = [socket.socket() for _ in range(CONNECT)]
    await asyncio.sleep(0.01)
    asyncio.get_running_loop().call_soon(tally.next_turn)
    await asyncio.sleep(0)
    for c in clients:  # the loop has no turn until all of them stand in line
        c.connect(sock.getsockname()[:2])
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if cap:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + ROOM, hard))
    before, tally.counts_open = len(os.listdir("/proc/self/fd")) - CONNECT, counts_open
    began = time.process_time_ns()
    while tally.turn < 600 and tally.made.total() < CONNECT:
        await asyncio.sleep(0)
    took, turns = (time.process_time_ns() - began) / 1000, tally.turn
    tally.on = False
    await asyncio.sleep(0.05)
    if serve is own:
        asyncio.get_running_loop().remove_reader(sock)
    made = [n for _, n in sorted(tally.made.items())]
    closed = 0
    for c in clients:
        c.setblocking(False)
        try:
            closed += c.recv(1) == b""
        except BlockingIOError:
            pass
        except OSError:
            closed += 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    for c in clients:
        c.close()
    if counts_open:
        return f"descriptors of the server at most {tally.most_open - CONNECT - before}"
    return (
        f"a turn {made[:4]}{'...' if len(made) > 4 else ''}, {sum(made)} in {turns} turns, "
        f"closed at clients {closed}, {took / max(1, sum(made)):.0f} us each"
    )


def main() -> None:
    logging.disable(logging.CRITICAL)  # asyncio logs each accept that fails
    print(f"uvloop {version('uvloop')}; {CONNECT} connect at once")
    for way in (servers, few, own):
        print(way.__doc__)
        for loop, factory in (("asyncio", asyncio.new_event_loop), ("uvloop", uvloop.new_event_loop)):
            for name, most, cap, counts in (
                ("all kept", CONNECT, False, False),
                ("past 50 aborted", 50, False, False),
                ("past 50 aborted", 50, False, True),
                ("descriptors for 100", CONNECT, True, False),
            ):
                with asyncio.Runner(loop_factory=factory) as runner:
                    print(f"  {loop:<8} {name:<20}", runner.run(burst(way, most, cap, counts)))


if __name__ == "__main__":
    main()
