"""One hollow balancer beside one real one for the same events, so that what is left out of the former shows.

A real balancer does more than what is compared: a second one, that neither follows nor has peers, says how
much, and that is taken off.  The hollow one is told twice: alone in its process, and as a part of a crowd.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from ...agreement.events import Standing
from . import control_plane, members
from .discovery import Discovery
from .limits import Demand
from .points import Point
from .processes import Process, Processes
from .readings import connections, cpu_s, read, traffic
from .real_balancer import RealBalancer
from .settings import CONTRADICTION_S, HOST, PEERS_KEY
from .waits import until

CROWD = 9
SETTLE_S = 2.0
REAL, BARE = 9_000, 9_001  # numbers of the real balancers
GRANTED = list(Standing).index(Standing.GRANTED)  # as operators' figures have it


@dataclass(frozen=True, slots=True)
class Plan:
    servers: int = 600
    changes: int = 4
    window_s: float = 4.0

    def demand(self) -> Demand:
        return Demand(CROWD + 1, 2, 4, self.servers)


async def measure(plan: Plan, folder: Path) -> AsyncIterator[Point]:
    """Two deployments, one after the other; a point with the figures of both."""
    figures: dict[str, float] = {}
    for name, compare in (("following", _following), ("peers", _peers)):
        (folder / name).mkdir()
        async with Processes(folder / name) as processes:
            figures |= await compare(plan, processes)
    yield Point(CROWD + 1, plan.servers, figures)


# Following


async def _following(plan: Plan, processes: Processes) -> dict[str, float]:
    grown = control_plane.Plan((1, CROWD + 1), (plan.servers,), plan.changes, each=CROWD)
    plane = control_plane.ControlPlane(processes, grown)
    async with AsyncExitStack() as ends:
        ends.push_async_callback(plane.stop)
        await plane.start()
        for followers in grown.followers:
            await plane.grow(followers, plan.servers)
        store = processes.folder / "real-store"
        agreement = {
            "control": [f"{HOST}:{plane.port}"],
            "contradiction_s": CONTRADICTION_S,
            "store": str(store),
        }
        real = await ends.enter_async_context(
            RealBalancer(processes, REAL, plane.balancers, {"agreement": agreement})
        )
        bare = await ends.enter_async_context(
            RealBalancer(processes, BARE, plane.balancers, {"discovery": f"{HOST}:{plane.discovery.port}"})
        )

        async def follows() -> bool:
            return await real.gauge("follow.in_force") > 0 and await real.gauge("follow.standing") == GRANTED

        await until("the real balancer follows", follows)
        await asyncio.sleep(SETTLE_S)
        return await _compared(plan, plane, real, bare)


async def _compared(
    plan: Plan, plane: control_plane.ControlPlane, real: RealBalancer, bare: RealBalancer
) -> dict[str, float]:
    alone, crowd = plane.hollow
    watched = _Watched(plane.port, real.process, bare.process, alone, crowd)
    idle = await watched.during(lambda: asyncio.sleep(plan.window_s))
    figures = {f"following idle {name}": value / idle["seconds"] for name, value in idle.items()}
    for kind, change in (("settings", plane.change_settings), ("drain", plane.drain)):
        used = await watched.during(partial(_several, plan.changes, change))
        for name, value in used.items():
            usual = idle[name] * used["seconds"] / idle["seconds"]
            figures[f"following {kind} {name}"] = (value - usual) / plan.changes
    del figures["following idle seconds"], figures["following settings seconds"]
    del figures["following drain seconds"]
    for name, process, count in (("real", real.process, 1), ("bare", bare.process, 1), ("hollow", alone, 1)):
        figures[f"following {name} memory MB"] = read(process.pid).peak_bytes / 1e6 / count
    return figures


async def _several(changes: int, change: Callable[[], Awaitable[int]]) -> None:
    for _ in range(changes):
        await change()
        await asyncio.sleep(control_plane.SETTLE_S)
    await asyncio.sleep(SETTLE_S)  # the real one may be the last


class _Watched:
    """CPU and bytes of the four while something goes on."""

    def __init__(self, port: int, real: Process, bare: Process, alone: Process, crowd: Process) -> None:
        self._port, self._real, self._alone = port, real, alone
        self._cpu_of = {"real": real, "bare": bare, "hollow": alone, "crowd": crowd}

    async def during(self, what: Callable[[], Awaitable[None]]) -> dict[str, float]:
        loop = asyncio.get_running_loop()
        began, used = loop.time(), {name: cpu_s(one.pid) for name, one in self._cpu_of.items()}
        sockets = connections(self._real.pid), connections(self._alone.pid)
        await what()
        spent = {name: cpu_s(one.pid) - used[name] for name, one in self._cpu_of.items()}
        now = connections(self._real.pid), connections(self._alone.pid)
        found = {
            "seconds": loop.time() - began,
            "real CPU ms": (spent["real"] - spent["bare"]) * 1e3,
            "hollow CPU ms": spent["hollow"] * 1e3,
            "crowd CPU ms": spent["crowd"] * 1e3 / CROWD,
        }
        for name, before, after in (("real", sockets[0], now[0]), ("hollow", sockets[1], now[1])):
            told = traffic(before, after, peer_port=self._port)
            found |= {f"{name} in B": float(told.received), f"{name} out B": float(told.sent)}
        return found


# Peers


async def _peers(plan: Plan, processes: Processes) -> dict[str, float]:
    discovery = Discovery(plan.servers)
    fleet = members.Members(processes, members.Plan((1, CROWD + 1), plan.servers, 0.0, each=CROWD))
    async with AsyncExitStack() as ends:
        await discovery.start()
        ends.callback(discovery.stop)
        await fleet.grow(1)
        await fleet.grow(CROWD + 1)
        peers = {
            "listen": f"{HOST}:0",
            "cluster": "capacity",
            "key": PEERS_KEY,
            "seeds": fleet.seeds,
            "share": True,
        }
        at = {"discovery": f"{HOST}:{discovery.port}"}
        real = await ends.enter_async_context(
            RealBalancer(processes, REAL, CROWD + 1, {**at, "peers": peers})
        )
        bare = await ends.enter_async_context(RealBalancer(processes, BARE, CROWD + 1, at))

        async def known() -> bool:
            return int((await _report(real))["live"]) == CROWD + 2

        await until("the real balancer knows all", known)
        await asyncio.sleep(SETTLE_S)
        return await _among_peers(plan, fleet, real, bare)


async def _among_peers(
    plan: Plan, fleet: members.Members, real: RealBalancer, bare: RealBalancer
) -> dict[str, float]:
    alone, crowd = fleet.hollow
    pids = {"real": real.process.pid, "bare": bare.process.pid, "hollow": alone.pid, "crowd": crowd.pid}
    said = (await _report(real))["counts"], (await alone.ask())["counters"]
    used = {name: cpu_s(pid) for name, pid in pids.items()}
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(plan.window_s)
    seconds = asyncio.get_running_loop().time() - began
    spent = {name: (cpu_s(pid) - used[name]) * 1e3 / seconds for name, pid in pids.items()}
    now = (await _report(real))["counts"], (await alone.ask())["counters"]
    memory = {name: read(pid).peak_bytes / 1e6 for name, pid in pids.items()}
    return {
        "peers idle real CPU ms": spent["real"] - spent["bare"],
        "peers idle bare CPU ms": spent["bare"],
        "peers idle hollow CPU ms": spent["hollow"],
        "peers idle crowd CPU ms": spent["crowd"] / CROWD,
        "peers idle real out B": (now[0]["sent_bytes"] - said[0]["sent_bytes"]) / seconds,
        "peers idle hollow out B": (now[1]["peers.sent_bytes"] - said[1]["peers.sent_bytes"]) / seconds,
        "peers real memory MB": memory["real"],
        "peers bare memory MB": memory["bare"],
        "peers hollow memory MB": memory["hollow"],
    }


async def _report(real: RealBalancer) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(await real.call("/control/peers"))
    return found
