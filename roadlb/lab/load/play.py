"""Plays traffic at one balancer, second by second."""

from __future__ import annotations

import asyncio
import gc
import resource
from collections.abc import Callable, Mapping, Sequence
from math import ceil
from random import Random

from ...clock import Clock, monotonic_us
from ..incident import Incident, schema
from ..model.shapes import Part
from ..model.traffic import Traffic, Wish
from ..parties.clients import Clients
from ..parties.front import Front
from ..run.drawn import draw, shape_of
from .loopback import loopback_address
from .result import Counts, LoadResult

Progress = Callable[[float, Mapping[str, float]], None]

READY_WITHIN_S = 5.0  # a balancer that has just been started asks discovery first
LOOK_S = 0.02  # between two looks whether it is ready, or whether all is answered
LEAD_S = 0.05  # from ready to the first moment at which a wish may be due
BALANCER, HALL = "balancer", "here"


class NoAnswer(Exception):
    """There is no healthy balancer at the URL."""


class Paced(Traffic):
    """A `Traffic` that notes how late each wish was taken up.

    Its clients ask for the next wish when they have taken up the one before, never earlier.
    """

    _counts: Counts

    def watch(self, counts: Counts, clock: Clock) -> None:
        self._counts, self._clock, self._drawn = counts, clock, -1

    def next(self, until: int) -> Wish | None:
        if self._drawn >= 0:
            self._counts.wished(self._drawn, self._clock())
        wish = super().next(until)
        self._drawn = wish.due if wish else -1
        return wish


async def load(
    url: str,
    traffic: schema.Traffic,
    seconds: float,
    progress: Progress,
    *,
    edges: Sequence[float] = (),
    connections: int = 300,
    seed: int = 1,
    clock: Clock = monotonic_us,
) -> LoadResult:
    """Send `traffic` to the balancer at `url` for so long, and tell how it answered.

    `edges` are the seconds at which a stair ends and the next begins, each told apart in the result.
    `progress(second, figures of that second)` is called once a second.  Raises NotLoopback for an address of
    another machine, and NoAnswer if nothing healthy is there.  The balancer's grid must be the lab's: what is
    served is told from what is not by the bodies of its nodes.
    """
    address = loopback_address(url)

    def random(name: str) -> Random:
        return Random(f"{seed}/load/{name}")

    ends = [*(edge for edge in edges if 0 < edge < seconds), seconds]
    counts = Counts(list(zip([0.0, *ends], ends, strict=False)))
    front = Front(counts, clock, random("front"))
    front.place(BALANCER, HALL, address)
    try:
        await _ready(front, url)
        # Full collections need not look at what the imports left behind: at 4,000 wishes a second it ran
        # 34 ms late with that (p99), and 8 ms without.
        gc.collect()
        gc.freeze()
        start_us = clock() + int(LEAD_S * 1e6)
        counts.began_at = start_us
        drawn = draw(Incident(name="load", title="load", traffic=traffic), random)
        shape = shape_of(traffic, start_us)
        wishes = Paced(
            shape, drawn.classes, drawn.tenants, drawn.keys, drawn.habits, random("wishes"), start_us
        )
        wishes.shape = Part(shape, wishes.usage)
        wishes.watch(counts, clock)
        clients = Clients(HALL, HALL, wishes, front, counts, clock, random("clients"), connections)
        clients.latency = counts.watch(clients.latency)
        cpu_s = _cpu_s()
        clients.start()
        try:
            await _play(clients, counts, seconds, progress, clock)
        finally:
            clients.close()
        took_s = (clock() - start_us) / 1e6
        return LoadResult(url, counts.stairs, counts.late, _cpu_s() - cpu_s, took_s)
    finally:
        gc.unfreeze()
        front.stop()


async def _ready(front: Front, url: str) -> None:
    try:
        async with asyncio.timeout(READY_WITHIN_S):
            while not front.taken_in:
                await asyncio.sleep(LOOK_S)
    except TimeoutError:
        raise NoAnswer(
            f"{url}: nothing there said 200 to GET /healthz within {READY_WITHIN_S:g} s; start a "
            "balancer there, or look why it is not ready"
        ) from None


async def _play(clients: Clients, counts: Counts, seconds: float, progress: Progress, clock: Clock) -> None:
    """Until the time is over, and what is open is answered or given up."""
    for second in range(1, ceil(seconds) + 1):
        till_s = min(second, seconds)
        await asyncio.sleep(max(0, counts.began_at + round(till_s * 1e6) - clock()) / 1e6)
        progress(till_s, {**counts.since_last(), "open": clients.open_wishes})
    clients.stop()
    while clients.open_wishes:
        await asyncio.sleep(LOOK_S)


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
