"""The decision module alone: CPU of a request and memory of its records, by servers and by keys.

    python -m roadlb.lab.capacity.decisions '{"servers": 2400, "keys": 3500, "requests": 4000}'

A process of its own, so that memory is told from a fresh heap; it prints one line.  Requests come at one
balancer's rate, each server answers in 50 ms, and keys are drawn as adapters are used: a few often, most
seldom.
"""

from __future__ import annotations

import gc
import heapq
import json
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from ...config import Pairs, read_settings
from ...net.discovery import server_id
from ...policy.interface import (
    Arrival,
    ListKind,
    ListUpdate,
    Member,
    Outcome,
    Send,
    SetTimer,
    Status,
    TimerFired,
    ViewQuery,
)
from ...policy.logic import Balancer
from .limits import Demand
from .points import Point
from .processes import Processes
from .settings import server_name, settings

ANSWER_US, EVERY_US, LEFT_US = 50_000, 100_000, 2_000_000
VIEWS = 20


@dataclass(frozen=True, slots=True)
class Plan:
    """(servers, keys) one after the other."""

    sizes: tuple[tuple[int, int], ...]
    requests: int = 4_000

    def demand(self) -> Demand:
        return Demand(0, 0, 1, max(servers for servers, _ in self.sizes))


class Replay:
    """One module with its timers, in simulated time."""

    def __init__(self, servers: int) -> None:
        self.now, self._number, self._timers = 1_000_000, 0, list[tuple[int, int]]()
        self.balancer = Balancer(read_settings(Pairs.from_json(settings(1))), 1)
        members = [Member(server_id(server_name(i)), zone=i % 6, cell=i % 40) for i in range(servers)]
        self._carry_out(self.balancer.handle(self.now, ListUpdate(ListKind.FULL, members)))

    def request(self, key: int) -> None:
        """From its arrival to its answer."""
        self._number += 1
        arrival = Arrival(self._number, 0, 0, key, LEFT_US, 0)
        sends = self._carry_out(self.balancer.handle(self.now, arrival))
        for send in sends:
            outcome = Outcome(send.request, 0, send.server, Status.OK, ANSWER_US, True)
            self._carry_out(self.balancer.handle(self.now + ANSWER_US, outcome))
        self._until(self.now + EVERY_US)

    def _until(self, end: int) -> None:
        while self._timers and self._timers[0][0] <= end:
            at, token = heapq.heappop(self._timers)
            self.now = max(self.now, at)
            self._carry_out(self.balancer.handle(self.now, TimerFired(token)))
        self.now = end

    def _carry_out(self, actions: list[Any]) -> list[Send]:
        for action in actions:
            if isinstance(action, SetTimer):
                heapq.heappush(self._timers, (action.at_us, action.token))
        return [action for action in actions if isinstance(action, Send)]


def figures(servers: int, keys: int, requests: int) -> dict[str, float]:
    """CPU first and memory afterwards, by another module: a traced heap is slow."""
    replay, random = Replay(servers), Random(1)
    began = time.process_time()
    for key in range(1, keys + 1):
        replay.request(key)
    first = time.process_time() - began
    began = time.process_time()
    for _ in range(requests):
        replay.request(1 + int(keys * random.random() ** 3))
    known = time.process_time() - began
    began = time.process_time()
    for _ in range(VIEWS):
        replay.balancer.handle(replay.now, ViewQuery())
    view = time.process_time() - began
    return {
        "new key CPU us": first / keys * 1e6,
        "known key CPU us": known / requests * 1e6,
        "view CPU us": view / VIEWS * 1e6,
        **_memory(servers, keys),
    }


def _memory(servers: int, keys: int) -> dict[str, float]:
    tracemalloc.start()
    replay = Replay(servers)
    gc.collect()
    listed, _ = tracemalloc.get_traced_memory()
    for key in range(1, keys + 1):
        replay.request(key)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"servers memory MB": listed / 1e6, "keys memory MB": (held - listed) / 1e6}


async def measure(plan: Plan, folder: Path) -> AsyncIterator[Point]:
    """A process for each size, at one balancer; how many keys it has stands among the figures."""
    async with Processes(folder) as processes:
        for number, (servers, keys) in enumerate(plan.sizes):
            told = {"servers": servers, "keys": keys, "requests": plan.requests}
            argv = ["-m", "roadlb.lab.capacity.decisions", json.dumps(told)]
            process = await processes.start(f"decisions-{number}", argv)
            found: dict[str, float] = json.loads(await process.line())
            await process.close()
            yield Point(1, servers, {**found, "keys": float(keys)})


def main() -> None:
    told = json.loads(sys.argv[1])
    print(json.dumps(figures(told["servers"], told["keys"], told["requests"])), flush=True)


if __name__ == "__main__":
    main()
