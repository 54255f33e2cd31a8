"""The clients of a rehearsal: those of each hall, floods of them, and the rude ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..incident import Incident
from ..incident.steps import Flood
from ..incident.steps import Rude as RudeStep
from ..model.shapes import Part
from ..model.traffic import Traffic
from ..parties.clients import Clients
from ..parties.front import Front
from ..parties.rude import Rude
from ..wire import WireLog
from .drawn import Drawn, shape_of
from .world import Machine, Role, World

# A client leaves only when even a late answer could not come any more: 8 ms by the rules, 50 ms of sockets.
LOOK_S = 0.01


class Crowd:
    def __init__(self, incident: Incident, drawn: Drawn, world: World, log: WireLog, front: Front) -> None:
        self._incident, self._drawn, self._world, self._log = incident, drawn, world, log
        self._front = front
        self.places: dict[str, Machine] = {
            hall: world.machine(f"clients of {hall}", hall, Role.CLIENTS) for hall in incident.network.halls
        }
        self.clients: dict[str, Clients] = {}
        self.rude: dict[str, Rude] = {}

    def begin(self) -> None:
        """Arrivals begin now."""
        incident, drawn, halls = self._incident, self._drawn, self._incident.network.halls
        now = self._world.clock()
        base = shape_of(incident.traffic, now)
        hears_us = round((incident.rules.answer_slack_ms + incident.rules.slack_ms) * 1_000)
        for number, hall in enumerate(halls):
            name = f"clients of {hall}"
            traffic = Traffic(
                base,
                drawn.classes,
                drawn.tenants,
                drawn.keys,
                drawn.habits,
                self._world.random(f"wishes of {hall}"),
                now,
                number,
                len(halls),
            )
            traffic.shape = Part(base, drawn.hall_shares[hall] * traffic.usage)
            clients = self.clients[hall] = Clients(
                name,
                hall,
                traffic,
                self._front,
                self._log,
                self._world.clock,
                self._world.random(name),
                hears_us=hears_us,
            )
            self.places[hall].call(clients.start)

    async def end(self, longest_s: float) -> None:
        """No more arrivals; waits until what is open has been played out."""
        loop = asyncio.get_running_loop()
        until = loop.time() + longest_s
        for clients in self.clients.values():
            clients.stop()
        while loop.time() < until and any(clients.open_wishes for clients in self.clients.values()):
            await asyncio.sleep(LOOK_S)

    def close(self) -> None:
        for clients in self.clients.values():
            clients.close()

    # What befalls

    def flood(self, step: Flood) -> Callable[[], None]:
        ends = [
            clients.traffic.flood(step.times, step.of_class, step.tenant)
            for hall, clients in self.clients.items()
            if step.hall in (None, hall)
        ]

        def end() -> None:
            for one in ends:
                one()

        return end

    async def be_rude(self, step: RudeStep, for_s: float) -> None:
        until = asyncio.get_running_loop().time() + for_s
        await asyncio.gather(
            *(
                self.places[hall].run(self._rude(hall).play(step.kinds, step.every_s, until))
                for hall in self._incident.network.halls
            )
        )

    def _rude(self, hall: str) -> Rude:
        if hall not in self.rude:
            names = [row.name for row in self._incident.traffic.classes]
            self.rude[hall] = Rude(
                hall,
                self._front,
                self._world.random(f"rude clients of {hall}"),
                names,
                self._incident.traffic.tenants[0].name,
                self.clients[hall].open_ids,
                self._log,
                self._world.clock,
            )
        return self.rude[hall]

    def figures(self) -> dict[str, Any]:
        return {
            "clients": {
                clients.name: dict(sorted(clients.tallies.items())) for clients in self.clients.values()
            },
            "rude": {
                hall: {kind: dict(sorted(tally.items())) for kind, tally in rude.tallies.items()}
                for hall, rude in self.rude.items()
            },
        }
