"""The balancers of a rehearsal, each with its agent of discovery, and the front before them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..incident import Incident
from ..incident.targets import balancers_at_start
from ..parties.discovery import Agent, Registry
from ..parties.front import Front
from ..wire import BalancerState, WireLog
from .drawn import Drawn
from .settings import configuration, text
from .world import Machine, Process, Role, World

DEALT_S = 0.3  # to a balancer that drains, from when it is told


@dataclass(slots=True, eq=False)
class Standing:
    """One balancer and what stands beside it."""

    name: str
    hall: str
    process: Process
    agent: Agent
    agent_place: Machine
    raw: dict[str, Any]  # its configuration, but for `discovery` and `known`
    runs: bool = False
    starts: int = 0
    pauses: int = 0  # that are on
    cuts: int = 0  # that part it from clients
    watch: asyncio.Task[None] | None = None
    machine: str = ""  # it has no kind: what a step's choice asks for


class Balancers:
    """`all`: those of the incident, whether they run or not."""

    def __init__(
        self, incident: Incident, drawn: Drawn, world: World, log: WireLog, registry: Registry, front: Front
    ) -> None:
        self._incident, self._drawn, self._world, self._log = incident, drawn, world, log
        self._registry, self._front = registry, front
        self.all: list[Standing] = []
        self._at_front: Callable[[str], Machine]

    async def begin(self, at_front: Callable[[str], Machine]) -> None:
        """All of them start, knowing the fleet; `at_front`: where the front looks at those of a hall from."""
        self._at_front = at_front
        for me, placed in enumerate(balancers_at_start(self._incident)):
            process = self._world.process(placed.name, placed.hall)
            place = self._world.machine(f"agent of {placed.name}", placed.hall, Role.AGENT)
            agent = Agent(placed.name, self._drawn.discovery, self._log, self._world.clock)
            await place.run(agent.start((place.ip, 0)))
            self._registry.attach(agent)
            raw = configuration(
                self._incident,
                me,
                placed.name,
                placed.hall,
                self._world.random(f"balancer {placed.name}"),
                process.address,
                [before.process.address for before in self.all],
            )
            one = Standing(placed.name, placed.hall, process, agent, place, raw)
            self.all.append(one)
            self._start(one, agent.preload)
            at_front(placed.hall).call(self._front.place, placed.name, placed.hall, process.address)

    @property
    def running(self) -> list[Standing]:
        return [one for one in self.all if one.runs]

    def state(self, one: Standing, state: str) -> None:
        self._log.write(BalancerState(self._world.clock(), one.name, state))

    def _raw(self, one: Standing, known: dict[str, object] | None = None) -> dict[str, Any]:
        return {**one.raw, "discovery": text(one.agent.address), "known": known or {}}

    def _start(self, one: Standing, known: Callable[[], dict[str, object]]) -> None:
        one.runs, one.starts, one.pauses = True, one.starts + 1, 0
        self.state(one, "started")
        one.process.start(self._raw(one, one.agent_place.call(known)))
        one.watch = asyncio.get_running_loop().create_task(self._watch(one, one.starts))

    async def _watch(self, one: Standing, start: int) -> None:
        """Its end by itself: after SIGTERM, or else a crash."""
        await one.process.ended()
        if one.runs and one.starts == start:
            one.runs, one.agent.absent = False, True
            self.state(one, "ended")

    def end(self) -> None:
        for one in self.all:
            if one.watch:
                one.watch.cancel()
            one.agent.stop()

    # What befalls them

    def kill(self, one: Standing) -> None:
        if one.runs:
            one.runs, one.agent.absent = False, True
            self.state(one, "killed")
            one.process.kill()

    def start_again(self, one: Standing, held_at: int | None = None) -> None:
        """With the list that it held last, or at that time."""
        if not one.runs:
            self._start(one, lambda: one.agent.restarted(held_at))

    async def gone(self, one: Standing, within_s: float) -> None:
        """Wait until its process is no more, or that time is over."""
        if one.watch:
            await asyncio.wait([one.watch], timeout=within_s)

    def terminate(self, one: Standing) -> None:
        if one.runs:
            self.state(one, "terminated")
            one.process.signal(signal.SIGTERM)

    def pause(self, one: Standing) -> Callable[[], None]:
        """Gives what ends it, which finds nothing to end at a process that is gone."""
        start = one.starts
        if one.runs:
            one.pauses += 1
            if one.pauses == 1:
                self.state(one, "paused")
                one.process.signal(signal.SIGSTOP)

        def end() -> None:
            if one.runs and one.starts == start:
                one.pauses -= 1
                if not one.pauses:
                    one.process.signal(signal.SIGCONT)
                    self.state(one, "resumed")

        return end

    def drain(self, one: Standing) -> Callable[[], None]:
        """Gives what ends it; one that is started again meanwhile has nothing to end."""
        start, loop = one.starts, asyncio.get_running_loop()
        if one.runs:
            self.state(one, "out of service")
            one.process.tell("out-of-service")
            # The front looks every 0.1 s, and goes on dealing for 0.2 s after the first no.
            loop.call_later(DEALT_S, self._front.out, one.name)

        def end() -> None:
            if one.runs and one.starts == start:
                one.process.tell("in-service")
                self.state(one, "in service")
                self._at_front(one.hall).call(self._front.back, one.name)

        return end

    def state_of(self, name: str, state: str) -> None:
        self.state(self._named(name), state)

    def _named(self, name: str) -> Standing:
        return next(one for one in self.all if one.name == name)

    def cut(self, names: list[str]) -> list[Standing]:
        """These are cut off from clients that are connected to them."""
        cut_off = [self._named(name) for name in names]
        for one in cut_off:
            one.cuts += 1
            if one.cuts == 1:
                self.state(one, "cut")
        return cut_off

    def heal(self, cut_off: list[Standing]) -> None:
        for one in cut_off:
            one.cuts -= 1
            if not one.cuts:
                self.state(one, "healed")

    async def move(self, one: Standing, closes_s: float) -> None:
        """Its agent answers at another address, and it is told to read its configuration again."""
        await one.agent_place.run(one.agent.move((one.agent_place.ip, 0), closes_s))
        one.process.configure(self._raw(one))
        if one.runs:
            self.state(one, "reloaded")
            one.process.signal(signal.SIGHUP)
