"""Discovery's watch at one real balancer: what a line and a list cost, by how many servers there are."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from .discovery import Discovery
from .limits import Demand
from .points import Point
from .processes import Processes
from .readings import cpu_s, read
from .real_balancer import RealBalancer
from .settings import HOST
from .waits import until

QUIET_S = 0.3  # after the last line, for what it sets off
LINE_S = 0.01  # between two lines


@dataclass(frozen=True, slots=True)
class Plan:
    """A balancer for each size; `lines` of one change, then `lists` whole ones."""

    servers: tuple[int, ...]
    lines: int = 100
    lists: int = 3
    idle_s: float = 2.0

    def demand(self) -> Demand:
        return Demand(0, 0, 1, max(self.servers))


async def measure(plan: Plan, folder: Path) -> AsyncIterator[Point]:
    async with Processes(folder) as processes:
        for number, servers in enumerate(plan.servers):
            discovery = Discovery(servers)
            await discovery.start()
            try:
                at = {"discovery": f"{HOST}:{discovery.port}"}
                async with RealBalancer(processes, number, 1, at) as balancer:
                    yield Point(1, servers, await _at_size(plan, discovery, balancer))
            finally:
                discovery.stop()


async def _at_size(plan: Plan, discovery: Discovery, balancer: RealBalancer) -> dict[str, float]:
    pid, servers = balancer.process.pid, len(discovery.entries)

    async def has_all() -> bool:
        return await balancer.gauge("cluster_size") == servers

    await until("the list is there", has_all)
    await asyncio.sleep(QUIET_S)
    listed = read(pid)
    await asyncio.sleep(plan.idle_s)
    idle = (cpu_s(pid) - listed.cpu_s) / plan.idle_s
    line_bytes, line_s = await _lines(plan, discovery, pid, idle)
    list_bytes, list_s = await _lists(plan, discovery, pid, idle)
    last = read(pid)

    async def drains() -> bool:
        return await balancer.gauge("cluster_unhealthy") >= 1

    await until("the drains are known", drains)  # all lines have been taken
    return {
        "idle CPU ms/s": idle * 1e3,
        "line B": line_bytes,
        "line CPU ms": line_s * 1e3,
        "list B": list_bytes,
        "list CPU ms": list_s * 1e3,
        "resident MB": listed.resident_bytes / 1e6,
        "peak MB": last.peak_bytes / 1e6,
        "descriptors": float(last.descriptors),
    }


async def _lines(plan: Plan, discovery: Discovery, pid: int, idle: float) -> tuple[float, float]:
    """Bytes and CPU seconds of a line that tells one change: a drain, and the same server up again."""
    loop = asyncio.get_running_loop()
    told, began, used = 0, loop.time(), cpu_s(pid)
    for number in range(plan.lines):
        told += discovery.tell([number // 2 % len(discovery.entries)], "up" if number % 2 else "draining")
        await asyncio.sleep(LINE_S)
    await asyncio.sleep(QUIET_S)
    spent = cpu_s(pid) - used - idle * (loop.time() - began)
    return told / plan.lines, spent / plan.lines


async def _lists(plan: Plan, discovery: Discovery, pid: int, idle: float) -> tuple[float, float]:
    """The same of a whole list, in which one server drains."""
    discovery.tell([0], "draining")
    await asyncio.sleep(QUIET_S)
    loop = asyncio.get_running_loop()
    told, began, used = 0, loop.time(), cpu_s(pid)
    for _ in range(plan.lists):
        told += discovery.tell_whole()
        await asyncio.sleep(QUIET_S)
    spent = cpu_s(pid) - used - idle * (loop.time() - began)
    return told / plan.lists, spent / plan.lists
