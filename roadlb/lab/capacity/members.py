"""Balancers that know each other and share state: bytes, datagrams and CPU of each, by how many there are.

    hollow balancers, some to a process <--datagrams on loopback--> hollow balancers

A datagram's bytes are those handed to the socket; IP's and UDP's own 28 are not among them.  All have one
address, so what each drops as a flood from one host is told too: it must be nothing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ...clock import monotonic_us
from .limits import Demand
from .points import SUSPICIONS, Point
from .processes import Process, Processes
from .readings import cpu_s, read
from .waits import until

SEEDS = 3  # balancers that all are told of
SETTLE_S = 2.0  # once all know all: the last rumours go round
KINDS = ("membership", "shares", "counts", "judgements")


@dataclass(frozen=True, slots=True)
class Plan:
    """One deployment that grows; `requests_per_s`: outcomes that each balancer tells of."""

    balancers: tuple[int, ...]
    servers: int
    requests_per_s: float
    window_s: float = 5.0
    each: int = 50

    def demand(self) -> Demand:
        steps = [after - before for before, after in zip((0, *self.balancers), self.balancers, strict=False)]
        return Demand(self.balancers[-1], sum(-(-more // self.each) for more in steps), 0, self.servers)


class Members:
    """All hollow processes of one deployment."""

    def __init__(self, processes: Processes, plan: Plan) -> None:
        self._processes, self._plan = processes, plan
        self.hollow: list[Process] = []
        self.count = 0
        self.seeds: list[str] = []

    async def grow(self, balancers: int) -> None:
        """To so many, until each knows all."""
        while self.count < balancers:
            count = min(self._plan.each, balancers - self.count)
            told = {
                "first": self.count,
                "count": count,
                "seeds": self.seeds,
                "seeds_most": SEEDS,
                "balancers": self._plan.balancers[-1],
                "servers": self._plan.servers,
                "requests_per_s": self._plan.requests_per_s,
            }
            argv = ["-m", "roadlb.lab.capacity.hollow_peers", json.dumps(told)]
            process = await self._processes.start(f"peers-{self.count}", argv)
            self.seeds = json.loads(await process.line())["seeds"]
            self.hollow.append(process)
            self.count += count

        async def all_known() -> bool:
            return all(one["least_live"] == self.count for one in await self.answers())

        await until("each knows all", all_known)

    async def answers(self) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(one.ask() for one in self.hollow)))

    async def counters(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for answer in await self.answers():
            for name, count in answer["counters"].items():
                sums[name] = sums.get(name, 0) + count
        return sums

    def cpu_s(self) -> float:
        return sum(cpu_s(one.pid) for one in self.hollow)


async def measure(plan: Plan, folder: Path) -> AsyncIterator[Point]:
    """A point at each size, once the datagrams of joining are over."""
    async with Processes(folder) as processes:
        members = Members(processes, plan)
        for balancers in plan.balancers:
            before, joining_us, fresh = await members.counters(), monotonic_us(), balancers - members.count
            await members.grow(balancers)
            joined_s = (monotonic_us() - joining_us) / 1e6
            joining = _since(before, await members.counters())
            await asyncio.sleep(SETTLE_S)
            figures = await _in_window(members, plan.window_s)
            figures["join s"] = joined_s
            figures["join B each"] = joining.get("peers.sent_bytes", 0) / fresh
            yield Point(balancers, plan.servers, figures)


async def _in_window(members: Members, window_s: float) -> dict[str, float]:
    at, used, before = monotonic_us(), members.cpu_s(), await members.counters()
    await asyncio.sleep(window_s)
    seconds, spent = (monotonic_us() - at) / 1e6, members.cpu_s() - used
    counts, each = _since(before, await members.counters()), members.count * (monotonic_us() - at) / 1e6
    dropped = sum(count for name, count in counts.items() if name.startswith("peers.dropped"))
    memory = sum(read(one.pid).peak_bytes for one in members.hollow)
    figures = {f"{kind} B/s each": counts.get(f"peers.out_bytes.{kind}", 0) / each for kind in KINDS}
    return figures | {
        "CPU ms/s each": spent * 1e3 / seconds / members.count,
        "out B/s each": counts.get("peers.sent_bytes", 0) / each,
        "out datagrams/s each": counts.get("peers.sent", 0) / each,
        "in datagrams/s each": counts.get("peers.got", 0) / each,
        "dropped/s each": dropped / each,
        SUSPICIONS: counts.get("peers.suspected", 0) / each,
        "memory MB": memory / 1e6,
        "processes": float(len(members.hollow)),
    }


def _since(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    return {name: count - before.get(name, 0) for name, count in after.items()}
