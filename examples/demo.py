"""A balancer to watch at work: `python -m roadlb` before the toy grid, with a little traffic.

    python examples/demo.py [SECONDS]            for so long, or until Ctrl-C

The grid, its discovery and the clients are in this process, the balancer is one of its own.  All ports are
the kernel's choice.  Every DRAIN_EVERY_S the first instance drains, and then comes back: its column shows it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import statistics
import sys
import time
import uuid
from collections import Counter
from pathlib import Path

import aiohttp
from toy_grid import ToyGrid

ROOT = Path(__file__).resolve().parents[1]
READS_PER_S, ORDERS_PER_S = 40, 4
KEYS = 12                # grid points asked for; each has its instance of preference
LINE_EVERY_S, DRAIN_EVERY_S = 1.0, 8.0
END_WITHIN_S = 10.0      # of the balancer, once told to; its longest deadline is 2.5 s
ACCOUNT = "energia-sever"


def free_port() -> int:
    """A port that the kernel names free; the balancer takes its own only by number."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


class Traffic:
    """Open-loop clients: a request is sent when it is due, whatever became of those before."""

    def __init__(self, at: str, session: aiohttp.ClientSession) -> None:
        self.at, self.session = at, session
        self.tasks: set[asyncio.Task[None]] = set()
        self.clear()

    def clear(self) -> None:
        self.statuses, self.instances = Counter[int](), Counter[str]()
        self.took_ms: list[float] = []

    async def run(self) -> None:
        due, number = asyncio.get_running_loop().time(), 0
        while True:
            order = number % (READS_PER_S // ORDERS_PER_S + 1) == 0
            method, path = ("POST", "/order/") if order else ("GET", "/grid-read/run-7/tatry/")
            task = asyncio.create_task(self.ask(method, path + str(number % KEYS)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number, due = number + 1, due + 1 / (READS_PER_S + ORDERS_PER_S)
            await asyncio.sleep(due - asyncio.get_running_loop().time())

    async def ask(self, method: str, path: str) -> None:
        began = time.monotonic()
        headers = {"X-Correlation-Id": uuid.uuid4().hex, "X-Account": ACCOUNT, "X-Time-Left": "1.0"}
        try:
            async with self.session.request(method, self.at + path, headers=headers) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError):
            self.statuses[0] += 1
            return
        self.statuses[response.status] += 1
        if response.status == 200:
            self.instances[text.partition(" ")[0]] += 1
            self.took_ms.append((time.monotonic() - began) * 1e3)


async def show(traffic: Traffic, grid: ToyGrid) -> None:
    """A line of the table every LINE_EVERY_S, and the drains."""
    print(f"\n{'s':>5}{'served':>8}{'503':>6}{'else':>6}{'median ms':>11}   served by",
          *(f"{name:>7}" for name in grid.names), flush=True)
    began = drained = time.monotonic()
    while True:
        await asyncio.sleep(LINE_EVERY_S)
        served, nacks = traffic.statuses[200], traffic.statuses[503]
        others = traffic.statuses.total() - served - nacks
        print(f"{time.monotonic() - began:5.0f}{served:8}{nacks:6}{others:6}"
              f"{statistics.median(traffic.took_ms or [0.0]):11.1f}{'':12}",
              *(f"{traffic.instances[name]:7}" for name in grid.names), flush=True)
        traffic.clear()
        if time.monotonic() - drained >= DRAIN_EVERY_S:
            drained = time.monotonic()
            print(f"{'':5}{await grid.toggle()}", flush=True)


async def ready(at: str, session: aiohttp.ClientSession) -> None:
    """Wait until the balancer listens and knows its grid."""
    while True:
        try:
            async with session.get(at + "/healthz") as response:
                if response.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)


async def watch(at: str, grid: ToyGrid) -> None:
    """Say where all is, then send traffic and show it until cancelled."""
    async with aiohttp.ClientSession() as session:
        await ready(at, session)
        print("\ninstances  ", *(f"{name} {grid.addresses[name]} " for name in grid.names))
        print(f"balancer    {at}")
        print("ask it      curl -i -H \"X-Correlation-Id: $(date +%s%N)\" "
              f"-H 'X-Account: {ACCOUNT}' -H 'X-Time-Left: 1.0' {at}/grid-read/run-7/tatry/12")
        print(f"traffic     {READS_PER_S} reads and {ORDERS_PER_S} orders a second, until Ctrl-C", flush=True)
        traffic = Traffic(at, session)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.run())
            group.create_task(show(traffic, grid))


async def main(seconds: float | None) -> int:
    ended, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, ended.set)
    grid, port = ToyGrid(), free_port()
    at = f"127.0.0.1:{port}"
    environment = {**os.environ, "PROXY_CONFIG": str(ROOT / "examples" / "config.json"),
                   "PROXY_DISCOVERY": await grid.start(0), "PROXY_LISTEN": at}
    balancer = await asyncio.create_subprocess_exec(sys.executable, "-m", "roadlb", cwd=ROOT, env=environment)
    ways_to_end = [asyncio.create_task(coroutine) for coroutine in (
        ended.wait(), balancer.wait(), watch(f"http://{at}", grid))]
    await asyncio.wait(ways_to_end, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
    by_itself = balancer.returncode is not None and not ended.is_set()
    for task in ways_to_end:
        task.cancel()
    await asyncio.wait(ways_to_end)
    if balancer.returncode is None:
        balancer.terminate()
        try:
            await asyncio.wait_for(balancer.wait(), END_WITHIN_S)
        except TimeoutError:
            balancer.kill()
    for task in ways_to_end:
        if not task.cancelled():
            task.result()          # what ended the traffic, if it was a fault of this program
    if by_itself:
        print(f"the balancer ended by itself, with {balancer.returncode}", file=sys.stderr)
    return int(by_itself or await balancer.wait() != 0)


if __name__ == "__main__":
    sys.exit(asyncio.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else None)))
