"""Plays a grid in real time on loopback until told to end: nodes, discovery, clients and steps."""

from __future__ import annotations

import asyncio
import gc
import shutil
import signal
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import prod
from pathlib import Path

import msgspec

from ..incident import Incident
from ..incident import steps as s
from ..incident.targets import balancers_at_start
from ..parties.discovery import Address
from ..run.drawn import draw
from ..run.sim_world import generators
from ..run.stage import Stage
from ..run.world import Process
from .picture import Picture
from .processes import ByHand, LiveWorld, Started
from .watch import Inside, PassingLog, Watch

SECOND_S = 1.0
READY_S, LOOK_S = 10.0, 0.02  # for the balancers that are started to be ready
END_S = 10.0  # for a balancer to end, once told to; its longest deadline is 2.5 s
NEEDS_TRAFFIC = (s.Flood, s.Rude)
TAIL = 5  # lines of the log of a balancer that did not start

Say = Callable[[str], None]
Show = Callable[[Picture], None]


class NotReady(Exception):
    """A balancer that was started does not serve; the text has the end of its log."""


async def grid(
    incident: Incident,
    seed: int,
    say: Say,
    *,
    balancers: int = 0,
    traffic: bool = False,
    config: Path | None = None,
    seconds: float | None = None,
    show: Show | None = None,
) -> Picture:
    """Play the nodes and the discovery of an incident until SIGINT, SIGTERM or SIGHUP, or for `seconds`.

    Starts so many balancers, and one more is expected to be started by a person, with the configuration that
    is written to `config`, if that is given or none is started.  With `traffic` the incident's clients ask
    all of them.  `show` gets a picture once a second.  Gives the last one; raises NotReady.
    """
    folder = Path(tempfile.mkdtemp(prefix="roadlb-grid-"))
    try:
        with told_to_end() as ended:
            by_hand = config if config or balancers else folder / "balancer.json"
            return await _Live(incident, seed, say, balancers, by_hand, traffic, folder).play(
                ended, seconds, show or (lambda picture: None)
            )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


@contextmanager
def told_to_end() -> Iterator[asyncio.Event]:
    """Set by the signals that end a program, where this is the main thread."""
    ended, loop, numbers = asyncio.Event(), asyncio.get_running_loop(), []
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        try:
            loop.add_signal_handler(number, ended.set)
        except (ValueError, RuntimeError):
            break
        numbers.append(number)
    try:
        yield ended
    finally:
        for number in numbers:
            loop.remove_signal_handler(number)


def fitted(incident: Incident, balancers: int, traffic: bool, say: Say) -> Incident:
    """The incident with so many balancers, dealt to the halls in turn, and the steps that can be played."""
    halls = incident.network.halls
    in_hall = {hall: len(range(i, balancers, len(halls))) for i, hall in enumerate(halls)}
    steps = []
    for step in incident.steps:
        if isinstance(step, NEEDS_TRAFFIC) and not traffic:
            say(f"left out, as there is no traffic: {step.do} at {step.at_s:g} s")
        else:
            steps.append(step)
    return msgspec.structs.replace(
        incident, steps=tuple(steps), balancers=msgspec.structs.replace(incident.balancers, in_hall=in_hall)
    )


class _Live:
    def __init__(
        self,
        incident: Incident,
        seed: int,
        say: Say,
        balancers: int,
        by_hand: Path | None,
        traffic: bool,
        folder: Path,
    ) -> None:
        self._incident = fitted(incident, balancers + (by_hand is not None), traffic, say)
        self._say, self._traffic, self._by_hand, self._folder = say, traffic, by_hand, folder
        self._names = [one.name for one in balancers_at_start(self._incident)]
        random, log = generators(seed), PassingLog()
        drawn = draw(self._incident, random)
        self._world = LiveWorld(drawn, log, folder, random, self._process)
        self._watch = Watch(self._incident, self._world.clock(), traffic)
        log.listen(self._watch.see)
        self._stage = Stage(self._incident, drawn, self._world, log)

    def _process(self, name: str, address: Address) -> Process:
        if self._by_hand and name == self._names[-1]:
            return ByHand(name, address, self._by_hand, self._say)
        return Started(name, address, self._folder)

    async def play(self, ended: asyncio.Event, seconds: float | None, show: Show) -> Picture:
        stage = self._stage
        try:
            await stage.build()
            if await self._ready(ended):
                self._introduce()
                gc.collect()
                gc.freeze()  # what the imports left behind need not be looked at again and again
                await self._run(ended, seconds, show)
            return self._picture()
        finally:
            gc.unfreeze()
            await self._end()

    async def _ready(self, ended: asyncio.Event) -> bool:
        """All that were started serve; False: told to end before."""
        stage, loop = self._stage, asyncio.get_running_loop()
        started = {
            name: process for name, process in self._world.processes.items() if isinstance(process, Started)
        }
        until = loop.time() + READY_S
        while out := started.keys() - set(stage.front.taken_in):
            running = {one.name for one in stage.balancers.running}
            if loop.time() > until or out - running:
                name = min(out - running or out)
                tail = started[name].log_file.read_text(errors="replace").splitlines()[-TAIL:]
                raise NotReady("\n".join([f"{name} does not serve; the end of its log:", *tail]))
            if ended.is_set():
                return False
            await asyncio.sleep(LOOK_S)
        return True

    def _introduce(self) -> None:
        """Where everything is, and what to do with it."""
        stage = self._stage
        self._say(
            f"grid        {len(stage.fleet.there)} nodes in {len(self._incident.network.halls)} halls: "
            f"{self._incident.title}"
        )
        for one in stage.balancers.all:
            host, port = one.agent.address
            self._say(
                f"{one.name}  http://{one.process.address[0]}:{one.process.address[1]} in {one.hall}, "
                f"its discovery on {host}:{port}"
            )
            if isinstance(one.process, ByHand):
                self._say(f"start it    PROXY_CONFIG={one.process.file} python -m roadlb")
        self._say(f"ask it      {self._curl()}")
        rate = self._incident.traffic.rate_at(0)
        self._say(f"traffic     {f'{rate:g} wishes a second' if self._traffic else 'none'}; until Ctrl-C")

    def _curl(self) -> str:
        """A line for a shell, each second with another id."""
        told, name = self._incident.traffic, self._stage.balancers.all[0].process.address
        row = next((row for row in told.classes if row.repeatable), told.classes[0])
        return (
            f"curl -i{'' if row.repeatable else ' -X POST'} "
            f'-H "X-Correlation-Id: $(printf %016x $(date +%s))" '
            f"-H 'X-Account: {told.tenants[0].name}' -H 'X-Time-Left: {row.deadline_s:g}' "
            f"'http://{name[0]}:{name[1]}/{row.name}/f0001?w={round(row.work_ms.middle * 1000)}'"
        )

    async def _run(self, ended: asyncio.Event, seconds: float | None, show: Show) -> None:
        stage, loop = self._stage, asyncio.get_running_loop()
        stage.origin_us = self._watch.origin_us = self._world.clock()
        if self._traffic:
            stage.arrive()
        tasks = [
            loop.create_task(stage.step(number, self._say_step))
            for number in range(len(self._incident.steps))
        ]
        try:
            began, second = loop.time(), 0
            while not ended.is_set() and (seconds is None or loop.time() - began < seconds):
                second += 1
                try:
                    async with asyncio.timeout(max(0.0, began + second * SECOND_S - loop.time())):
                        await ended.wait()
                except TimeoutError:
                    show(self._picture())
                for task in tasks:
                    if task.done():
                        task.result()  # a fault of this program ends it
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _say_step(self, step: s.Step, text: str) -> None:
        self._say(f"{step.at_s:6.1f} s  {text}")

    def _picture(self) -> Picture:
        return self._watch.picture(self._world.clock(), self._inside)

    def _inside(self, name: str) -> Inside | None:
        one = self._stage.fleet.there.get(name)
        if one is None or not one.party.alive:
            return None
        model, capacity = one.party.model, one.spec.capacity
        now = model.capacity(self._world.clock())
        return Inside(now / capacity, now, prod(one.slowed, start=1.0), model.waiting, model.running)

    async def _end(self) -> None:
        """Balancers answer what they have taken, then the rest goes."""
        stage = self._stage
        for clients in stage.crowd.clients.values():
            clients.stop()
        started = [one for one in stage.balancers.running if isinstance(one.process, Started)]
        for one in started:
            one.process.signal(signal.SIGCONT)
            stage.balancers.terminate(one)
        await asyncio.gather(*(stage.balancers.gone(one, END_S) for one in started))
        for one in started:
            one.process.kill()
        await stage.end()
