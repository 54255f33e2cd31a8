"""One control service over a store, and what it costs to have so many balancers follow.

    discovery (here) --> control service --> hollow balancers, some to a process
    operators' orders (here) --> store <--> control service

The control service is `roadlb control` as it runs; the store is the lab's stand-in, whose own cost says
nothing of etcd's, while the bytes that the control service writes to it are what etcd would be sent.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from ...clock import monotonic_us
from ...config import Pairs
from ...control.settings import AgreementSettings
from ...etcd.model import StoreError
from ...issuing.archive import Archive, ArchiveError
from ...issuing.history import Order
from . import settings
from .discovery import Discovery
from .hollow_followers import NEVER, Answer
from .limits import Demand
from .points import Point
from .processes import Process, Processes
from .readings import Connection, Reading, connections, read, traffic
from .settings import CONTRADICTION_S, HOST
from .waits import until

ORDER_S = 10.0  # for a leader's answer to an order
PREFIX = "/capacity"
STORE_CALL_S = 2.0  # a stand-in on a busy machine may be late
SETTLE_S = 0.3  # after a change is kept to by all, for acknowledgements and the store


@dataclass(frozen=True, slots=True)
class Plan:
    """One deployment that grows, in followers or in servers.

    `changes`: of settings, and again as many of the list, at each size; `idle_s`: renewals are measured for
    so long; `each`: hollow balancers in a process at the most; `returns`: at the last size the control
    service is killed and started again.
    """

    followers: tuple[int, ...]
    servers: tuple[int, ...]
    changes: int = 4
    idle_s: float = 3.0
    each: int = 50
    returns: bool = False

    def demand(self) -> Demand:
        processes = sum(-(-more // self.each) for more in _steps(self.followers))
        return Demand(self.followers[-1], processes, 2, max(self.servers))

    def sizes(self) -> list[tuple[int, int]]:
        """(followers, servers), growing."""
        return [(count, servers) for servers in self.servers for count in self.followers]


def _steps(sizes: tuple[int, ...]) -> list[int]:
    return [after - before for before, after in zip((0, *sizes), sizes, strict=False)]


@dataclass(frozen=True, slots=True)
class Look:
    """All at one moment."""

    at_us: int
    control: Reading
    store: Reading
    hollow: tuple[Reading, ...]
    sockets: tuple[Connection, ...]  # of the control service

    @property
    def hollow_cpu_s(self) -> float:
        return sum(one.cpu_s for one in self.hollow)


class ControlPlane:
    """From `start` on; all processes are those of `processes`."""

    def __init__(self, processes: Processes, plan: Plan) -> None:
        self.plan, self._processes = plan, processes
        self.discovery = Discovery(plan.servers[0])
        self.balancers = plan.followers[-1]  # as all are configured
        self.followers = 0
        self.hollow: list[Process] = []
        self.store: Process
        self.control: Process
        self.port = self.store_port = 0
        self._archive: Archive | None = None
        self._drained = self._marks = 0

    async def start(self) -> None:
        await self.discovery.start()
        self.store = await self._processes.start("store", ["-m", "roadlb.lab.standin_etcd"])
        _, where = (await self.store.line()).split()
        self.store_port = int(where.rpartition(":")[2])
        self._archive = Archive(AgreementSettings(store=(where,), prefix=PREFIX, store_call_s=STORE_CALL_S))
        self._file = self._processes.folder / "control.toml"
        self._write_settings(0)
        await self._start_control()

    async def stop(self) -> None:
        if self._archive is not None:
            await self._archive.close()
        self.discovery.stop()

    def _write_settings(self, port: int) -> None:
        """Of the control service, which listens at this port."""
        first = self._processes.write("first.json", {"settings": settings.settings(self.balancers)})
        self._file.write_text(
            f'discovery = "{HOST}:{self.discovery.port}"\nlisten = "{HOST}:{port}"\nstatus = ""\n'
            f'[agreement]\nstore = ["{HOST}:{self.store_port}"]\nprefix = "{PREFIX}"\nname = "control"\n'
            f'contradiction_s = {CONTRADICTION_S}\nsettings = "{first}"\nstore_call_s = {STORE_CALL_S}\n'
        )

    async def _start_control(self) -> None:
        argv = ["-m", "roadlb.lab.agreement.control", str(self._file)]
        self.control = await self._processes.start(f"control-{len(self._processes.all)}", argv, lines=False)

        async def listens() -> bool:
            return "event=ready" in self.control.said()

        await until("the control service listens", listens)
        self.port = int(self.control.said().partition(f"listen={HOST}:")[2].split()[0])

    async def restart_control(self) -> None:
        """Killed, and started again where it was."""
        self.control.kill()
        await self.control.wait()
        self._write_settings(self.port)
        await self._start_control()

    async def grow(self, followers: int, servers: int) -> None:
        """To so many; what is there stays."""
        if more := range(len(self.discovery.entries), servers):
            self.discovery.tell(more, "up")
        while self.followers < followers:
            count = min(self.plan.each, followers - self.followers)
            told = {
                "first": self.followers,
                "count": count,
                "control": [f"{HOST}:{self.port}"],
                "contradiction_s": CONTRADICTION_S,
                "settings": settings.settings(self.balancers),
            }
            argv = ["-m", "roadlb.lab.capacity.hollow_followers", json.dumps(told)]
            self.hollow.append(await self._processes.start(f"hollow-{self.followers}", argv))
            self.followers += count
        await until("all have leases and the list", self._all_have)

    async def _all_have(self) -> bool:
        answers, servers = await self.answers(), len(self.discovery.entries)
        return (
            sum(one.granted for one in answers) == self.followers
            and min(one.least_servers for one in answers) == servers
        )

    async def answers(self, dials_since: int = NEVER) -> list[Answer]:
        """Of each process of hollow balancers."""
        told = await asyncio.gather(*(one.ask(dials_since=dials_since) for one in self.hollow))
        return [Answer(**one) for one in told]

    def look(self) -> Look:
        return Look(
            monotonic_us(),
            read(self.control.pid),
            read(self.store.pid),
            tuple(read(one.pid) for one in self.hollow),
            tuple(connections(self.control.pid)),
        )

    # Changes: each gives microseconds from the proposal until the last hollow balancer kept to it

    async def change_settings(self) -> int:
        """An operator's order."""
        assert self._archive is not None
        self._marks += 1
        retry_us = settings.RETRY_US + self._marks
        texts = Pairs.from_json(settings.settings(self.balancers, 0, retry_us)).values
        at = monotonic_us()
        try:
            said = await self._archive.order(Order("propose", "capacity", dict(texts)), ORDER_S)
        except (StoreError, ArchiveError) as e:
            raise RuntimeError(f"a change was not taken: {e}") from e
        if said:
            raise RuntimeError(f"a change was not taken: {said}")
        return await self._kept(f"settings {retry_us}") - at

    async def drain(self) -> int:
        """One server more drains, as discovery tells it."""
        at = monotonic_us()
        self.discovery.tell([self._drained], "draining")
        self._drained += 1
        return await self._kept(f"drained {self._drained}") - at

    async def _kept(self, mark: str) -> int:
        found: list[Answer] = []

        async def by_all() -> bool:
            found[:] = await self.answers()
            return sum(one.count.get(mark, 0) for one in found) >= self.followers

        await until(f"all keep to {mark}", by_all)
        return max(one.last[mark] for one in found if mark in one.last)


async def measure(plan: Plan, folder: Path) -> AsyncIterator[Point]:
    """One deployment from its start to its end, a point at each of its sizes."""
    async with Processes(folder) as processes:
        plane = ControlPlane(processes, plan)
        try:
            await plane.start()
            for followers, servers in plan.sizes():
                yield Point(followers, servers, await _at_size(plane, followers, servers))
            if plan.returns:
                yield Point(followers, servers, await _return(plane))
        finally:
            await plane.stop()


async def _at_size(plane: ControlPlane, followers: int, servers: int) -> dict[str, float]:
    before, fresh = plane.look(), followers - plane.followers
    await plane.grow(followers, servers)
    await asyncio.sleep(SETTLE_S)
    joined = plane.look()
    await asyncio.sleep(plane.plan.idle_s)
    idle = Window(plane, joined, plane.look())
    figures = _joining(Window(plane, before, joined), fresh) if fresh else {}
    figures |= _renewing(idle)
    figures |= await _changing(plane, idle, "settings", plane.change_settings)
    figures |= await _changing(plane, idle, "drain", plane.drain)
    last = plane.look()
    return figures | {
        "control memory MB": last.control.peak_bytes / 1e6,
        "control descriptors": float(last.control.descriptors),
        "store memory MB": last.store.peak_bytes / 1e6,
        "hollow memory MB": sum(one.peak_bytes for one in last.hollow) / 1e6,
        "processes": 2.0 + len(last.hollow),
    }


class Window:
    """What was used between two looks."""

    def __init__(self, plane: ControlPlane, since: Look, until: Look) -> None:
        self.followers = plane.followers
        self.seconds = (until.at_us - since.at_us) / 1e6
        self.control_cpu_s = until.control.cpu_s - since.control.cpu_s
        self.store_cpu_s = until.store.cpu_s - since.store.cpu_s
        self.hollow_cpu_s = until.hollow_cpu_s - since.hollow_cpu_s
        told = traffic(since.sockets, until.sockets, own_port=plane.port)
        self.sent, self.received, self.ended = told.sent, told.received, told.ended
        self.stored = traffic(since.sockets, until.sockets, peer_port=plane.store_port).sent


def _joining(window: Window, fresh: int) -> dict[str, float]:
    """With what had joined before: renewals of a few seconds are among it."""
    return {
        "join control CPU ms each": window.control_cpu_s * 1e3 / fresh,
        "join in B each": window.sent / fresh,
        "join out B each": window.received / fresh,
    }


def _renewing(window: Window) -> dict[str, float]:
    seconds, count = window.seconds, window.followers
    return {
        "idle control CPU ms/s": window.control_cpu_s * 1e3 / seconds,
        "idle store CPU ms/s": window.store_cpu_s * 1e3 / seconds,
        "idle hollow CPU ms/s each": window.hollow_cpu_s * 1e3 / seconds / count,
        "idle control out B/s": window.sent / seconds,
        "idle control in B/s": window.received / seconds,
        "idle to store B/s": window.stored / seconds,
        "idle in B/s each": window.sent / seconds / count,
        "idle out B/s each": window.received / seconds / count,
    }


async def _changing(
    plane: ControlPlane, idle: Window, name: str, change: Callable[[], Awaitable[int]]
) -> dict[str, float]:
    """So many changes, one after the other, over what goes on by itself."""
    changes, count = plane.plan.changes, plane.followers
    before = plane.look()
    took_ms = []
    for _ in range(changes):
        took_ms.append(await change() / 1e3)
        await asyncio.sleep(SETTLE_S)
    window = Window(plane, before, plane.look())

    def each(total: float, usual: float) -> float:
        return (total - usual * window.seconds / idle.seconds) / changes

    sent, received = each(window.sent, idle.sent), each(window.received, idle.received)
    return {
        f"{name} control CPU ms": each(window.control_cpu_s, idle.control_cpu_s) * 1e3,
        f"{name} store CPU ms": each(window.store_cpu_s, idle.store_cpu_s) * 1e3,
        f"{name} hollow CPU ms each": each(window.hollow_cpu_s, idle.hollow_cpu_s) * 1e3 / count,
        f"{name} control out B": sent,
        f"{name} control in B": received,
        f"{name} in B each": sent / count,
        f"{name} out B each": received / count,
        f"{name} to store B": each(window.stored, idle.stored),
        f"{name} slowest ms": max(took_ms),
        f"{name} median ms": sorted(took_ms)[len(took_ms) // 2],
        f"{name} streams ended": float(window.ended),
    }


async def _return(plane: ControlPlane) -> dict[str, float]:
    """The control service dies and is back: how soon all have leases again, and how they come."""
    epoch = max(one.most_epoch for one in await plane.answers())
    at = monotonic_us()
    await plane.restart_control()
    listens, began = monotonic_us(), read(plane.control.pid)

    async def granted_anew() -> bool:
        answers = await plane.answers()
        return (
            min(one.least_epoch for one in answers) > epoch
            and sum(one.granted for one in answers) == plane.followers
        )

    await until("all have leases again", granted_anew)
    granted = monotonic_us()
    answers = await plane.answers(dials_since=at)
    dials = sorted(dial for one in answers for dial in one.dials)
    look = plane.look()
    told = traffic((), look.sockets, own_port=plane.port)
    return {
        "return away s": (listens - at) / 1e6,
        "return granted s": (granted - listens) / 1e6,
        "return control CPU ms each": (look.control.cpu_s - began.cpu_s) * 1e3 / plane.followers,
        "return in B each": told.sent / plane.followers,
        "return out B each": told.received / plane.followers,
        "return dials each": len(dials) / plane.followers,
        "return most dials in 100 ms each": most_within(dials, 100_000) / plane.followers,
        "return dials over s": (dials[-1] - dials[0]) / 1e6 if dials else 0.0,
    }


def most_within(times: list[int], width_us: int) -> int:
    """The most of these sorted times that lie within any span of that width."""
    most, first = 0, 0
    for i, at in enumerate(times):
        while at - times[first] > width_us:
            first += 1
        most = max(most, i - first + 1)
    return most
