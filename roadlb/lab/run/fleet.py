"""The grid nodes of a rehearsal: who is there, and what befalls them; tells discovery of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from math import prod

from ..incident import Incident, micro
from ..incident.targets import balancers_at_start, nodes_at_start
from ..model.spec import NodeSpec, Spoil
from ..parties.discovery import Address, Entry, Registry
from ..parties.grid_node import GridNode
from ..wire import NodeFell, NodeState, WireEvent, WireLog
from .drawn import Drawn, rough_weight
from .world import Machine, Role, World, parted


class Life(Enum):
    UP = auto()
    DRAINING = auto()
    GONE = auto()


@dataclass(slots=True, frozen=True)
class Ailment:
    """Shares of a node's answers that are errors, or spoilt in one of these ways."""

    errors: float = 0.0
    spoilt: float = 0.0
    kinds: tuple[Spoil, ...] = ()


@dataclass(slots=True, eq=False)
class Standing:
    """One start of a node, until it is gone."""

    name: str
    hall: str
    machine: str  # its kind
    spec: NodeSpec
    weight: float
    place: Machine
    party: GridNode
    addresses: Mapping[str, Address]  # where each balancer finds it
    starts: int = 1
    life: Life = Life.UP
    pauses: int = 0  # that are on
    slowed: list[float] = field(default_factory=list)
    ails: list[Ailment] = field(default_factory=list)


class Fleet:
    """`there`: all that are up or draining, by name, in the order of their starts."""

    def __init__(
        self, incident: Incident, drawn: Drawn, world: World, log: WireLog, registry: Registry
    ) -> None:
        self._incident, self._drawn, self._world, self._log = incident, drawn, world, log
        self._registry = registry
        self._balancers = balancers_at_start(incident)
        self._cuts: list[str] = []  # halls that are cut off; one may be so twice
        self._numbers = 0
        self.there: dict[str, Standing] = {}
        self.awaited = 0  # successors of nodes that drain
        log.listen(self._see)

    async def begin(self) -> None:
        """The fleet as it stands when the rehearsal begins, known to everybody."""
        placed = nodes_at_start(self._incident)
        self._numbers = len(placed)
        for one in placed:
            place = self._world.machine(one.name, one.hall, Role.NODE)
            await self._new(one.name, one.hall, one.machine, place, {}, self._incident.fleet.warm_at_start)
        self._registry.begin([_entry(one) for one in self.there.values()])

    async def _new(
        self, name: str, hall: str, kind: str, place: Machine, at: Mapping[str, Address], warm: bool = False
    ) -> Standing:
        rng = self._world.random(f"machine {name}")
        spec = self._drawn.machine(kind, rng)
        return await self._start(name, hall, kind, spec, rough_weight(spec, rng), place, at, warm=warm)

    async def _start(
        self,
        name: str,
        hall: str,
        kind: str,
        spec: NodeSpec,
        weight: float,
        place: Machine,
        at: Mapping[str, Address],
        starts: int = 1,
        warm: bool = False,
    ) -> Standing:
        """`at`: where each balancer finds it; empty: wherever there is room."""
        party = GridNode(
            name,
            spec,
            self._world.random(f"node {name} start {starts}"),
            self._log,
            self._world.clock,
            lambda: self._world.wall() // 1_000,
            hall,
            warm,
            idle_us=micro(self._incident.fleet.idle_s),
        )
        await place.run(party.start(at or {b.name: (place.ip, 0) for b in self._balancers}))
        addresses = {
            b.name: self._world.way(b.name, b.hall, place, party.addresses[b.name]) for b in self._balancers
        }
        one = Standing(name, hall, kind, spec, weight, place, party, addresses, starts)
        self.there[name] = one
        if self._parted(hall):
            self._state(one, "cut")
        return one

    def _state(self, one: Standing, state: str) -> None:
        self._log.write(NodeState(self._world.clock(), one.name, one.party.started_ms, state))

    def _see(self, event: WireEvent) -> None:
        """A node that was pushed over is gone; its machine and its address stay empty."""
        if isinstance(event, NodeFell) and (one := self.there.get(event.node)):
            asyncio.get_running_loop().call_soon(self._fell, one)

    def _fell(self, one: Standing) -> None:
        if one.life is not Life.GONE:
            one.place.end()
            self._gone(one)

    def _gone(self, one: Standing, silent: bool = False) -> None:
        one.life = Life.GONE
        del self.there[one.name]
        self._registry.remove(one.name, silent)

    def end(self) -> None:
        """The rehearsal is over."""
        for one in self.there.values():
            one.place.call(one.party.stop)

    @property
    def up(self) -> list[Standing]:
        return [one for one in self.there.values() if one.life is Life.UP]

    # Ends and starts

    def drain(self, one: Standing) -> None:
        if one.life is Life.UP:
            one.life = Life.DRAINING
            one.place.call(one.party.drain)
            self._registry.drain(one.name)

    def stop(self, one: Standing, silent: bool = False) -> None:
        """Its process ends, whatever it still has; `silent`: its machine vanishes from the network first."""
        if one.life is Life.GONE:
            return
        if silent:
            one.place.vanish()
        one.place.call(one.party.stop)
        one.place.end()
        self._gone(one, silent)

    async def succeed(self, one: Standing, in_place: bool) -> None:
        """A cold successor with a name of its own starts, on the same machine or on another."""
        self._numbers += 1
        name = f"node-{self._numbers:02}"
        if in_place:
            one.place.restart()
            successor = await self._new(name, one.hall, one.machine, one.place, one.party.addresses)
        else:
            place = self._world.machine(name, one.hall, Role.NODE)
            successor = await self._new(name, one.hall, one.machine, place, {})
        self._registry.up(_entry(successor))

    async def back(self, one: Standing) -> None:
        """A dead node starts again, cold, under its name and at its addresses."""
        one.place.restart()
        again = await self._start(
            one.name,
            one.hall,
            one.machine,
            one.spec,
            one.weight,
            one.place,
            one.party.addresses,
            one.starts + 1,
        )
        self._registry.up(_entry(again))

    # What holds for a time.  Each gives what ends it, which finds nothing to end at a node that is gone.

    def pause(self, one: Standing) -> Callable[[], None]:
        one.pauses += 1
        if one.pauses == 1:
            one.place.call(one.party.pause)

        def end() -> None:
            one.pauses -= 1
            if one.life is not Life.GONE and not one.pauses:
                one.place.call(one.party.resume)

        return end

    def slow(self, one: Standing, factor: float) -> Callable[[], None]:
        """Those that overlap multiply."""

        def tell() -> None:
            if one.life is not Life.GONE:
                one.place.call(one.party.slow, 1 / prod(one.slowed))

        def end() -> None:
            one.slowed.remove(factor)
            tell()

        one.slowed.append(factor)
        tell()
        return end

    def ail(self, one: Standing, ailment: Ailment) -> Callable[[], None]:
        """Of those that overlap, the greatest share of each kind holds."""

        def tell() -> None:
            if one.life is not Life.GONE:
                own = Ailment(one.spec.error_share, one.spec.spoilt_share, one.spec.spoilt_kinds)
                worst = max([own, *one.ails], key=lambda ails: ails.spoilt)
                one.place.call(
                    one.party.ail, max(ails.errors for ails in [own, *one.ails]), worst.spoilt, worst.kinds
                )

        def end() -> None:
            one.ails.remove(ailment)
            tell()

        one.ails.append(ailment)
        tell()
        return end

    # Cuts

    def _parted(self, hall: str) -> bool:
        """Is a node of this hall cut off from some balancer?"""
        return any(parted(one.hall, hall, self._cuts) for one in self._balancers)

    def cut(self, hall: str) -> None:
        self._cuts_are([*self._cuts, hall], "cut")

    def heal(self, hall: str) -> None:
        left = list(self._cuts)
        left.remove(hall)
        self._cuts_are(left, "healed")

    def _cuts_are(self, cuts: list[str], state: str) -> None:
        before = {one.name: self._parted(one.hall) for one in self.there.values()}
        self._cuts = cuts
        for one in self.there.values():
            if self._parted(one.hall) is not before[one.name]:
                self._state(one, state)


def _entry(one: Standing) -> Entry:
    return Entry(
        one.name, one.addresses, one.hall, one.machine, weight=one.weight, started_ms=one.party.started_ms
    )
