"""A deployment with all three parts on: `python -m roadlb` that judges sites, follows versions and shares.

    store <--link-- control-0 (hall-b), control-1 (hall-a) <--link each-- two balancers in each of three halls
    balancers <--datagrams, a relay before each--> balancers
    balancers --link--> three nodes in each hall

A hall that is lost takes along all of its own: its nodes' links drop what comes, its balancers and its
control service are killed.  The store stands in none of them.  A hall's balancers can be parted from the
others' datagrams.  What each module is told of its shares is written down by its own process.
"""

from __future__ import annotations

import asyncio
import re
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

from ...clock import monotonic_us
from .. import mutants
from ..agreement import deployment
from ..agreement.deployment import BALANCERS, CUSTOMERS, Deployment
from ..agreement.ends import ends
from ..agreement.parties import Beat
from ..agreement.watch import HOST
from ..run.children import Child
from ..run.link import Link
from ..sharing.record import SHORT, VARIABLE
from ..sharing.records import Records
from ..sharing.relays import Relays
from .parties import Asker, Nodes

HALLS = ("hall-a", "hall-b", "hall-c")
NODES = 9  # three in each hall
PARTS_OF = {"control-0": "hall-b", "control-1": "hall-a"}  # the first one leads at first
SHORT_BY = 0.4  # of its own means each balancer is short all the time, so that quotas count
# From one request of a client to the next, seconds: in the third hall they ask for less than its balancers'
# parts of the quotas, elsewhere for more, so that unused parts move there.
LEAVES_S = 0.25
PERIOD_S = {"hall-a": 0.02, "hall-b": 0.04, "hall-c": LEAVES_S}
SITE = re.compile(rb"^at=(?P<at>[0-9.]+) .*\"site (?P<site>\d+): \w+ to (?P<after>\w+): ", re.MULTILINE)


def hall_of(name: str) -> str:
    """Where a process or a node stands: balancers 0, 1 in the first hall, nodes in turn."""
    number = int(name.rpartition("-")[2])
    if name in PARTS_OF:
        return PARTS_OF[name]
    return HALLS[number % 3 if name.startswith("node") else number // 2]


class House(Deployment):
    """From `async with` to its end.  `defects`: of `roadlb.lab.mutants`, by balancer or for `balancer`."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        contradiction_s: float = 6.0,
        margin_s: float = 1.5,
        defects: dict[str, str] | None = None,
    ) -> None:
        super().__init__(folder, contradiction_s, margin_s, defects=defects)
        self.seed = seed
        self.nodes, self.clients, self.beat = Nodes(), list[Asker](), Beat()
        self.parted: set[str] = set()  # halls that hear no other one's datagrams
        self.relays = Relays(lambda a, b: not a or not self.between({hall_of(a), hall_of(b)}))
        self.records = Records(folder)
        self._held: dict[str, socket.socket] = {}  # a balancer's port stays its own

    async def __aenter__(self) -> House:
        for i in range(NODES):
            name = f"node-{i}"
            link = self.links[name] = Link(
                f"balancers to {name}", HOST, (HOST, await self.nodes.start(name)), self.note
            )
            self.discovery.place(i, link.address[1])
        for i in range(BALANCERS):
            name = f"balancer-{i}"
            held = self._held[name] = socket.socket()
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind((HOST, 0))
            await self.relays.before(name, Random(self.seed * 100 + i))
        await super().__aenter__()
        return self

    async def __aexit__(self, *told: object) -> None:
        await asyncio.gather(*(client.end() for client in self.clients))
        await super().__aexit__(*told)
        self.nodes.end()
        self.beat.end()
        self.relays.end()
        for held in self._held.values():
            held.close()

    def settings(self, gives: int | None) -> dict[str, Any]:
        """What a version holds: reads and orders, and the number of balancers beside the quotas."""
        told = deployment.settings(gives)
        read = told["classes"][0]
        order = {**read, "name": "order", "effect": "at_most_once", "value": 4.0}
        return {**told, "instances": BALANCERS, "classes": [read, order]}

    def between(self, halls: set[str]) -> bool:
        """Does a parting stand between these?"""
        return len(halls) > 1 and bool(halls & self.parted)

    async def start_balancer(self, i: int, ports: list[int]) -> None:
        name, told = f"balancer-{i}", self.links_to_controls(i, ports)
        listen: tuple[str, int] = self._held[name].getsockname()
        file = self.write(
            f"{name}.json",
            {
                "name": name,
                "listen": f"{HOST}:{listen[1]}",
                "seed": f"{i + 1:016x}",
                "discovery": f"{HOST}:{self.discovery.address[1]}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 0, "reset": True, "instances": []},
                "settings": {**self.settings(None), "me": i, "az": HALLS.index(hall_of(name))},
                "peers": {**self.relays.peers(name, "house", 2), "share": True},
                "agreement": {
                    "control": [f"{host}:{port}" for host, port in told],
                    "contradiction_s": self.contradiction_s,
                    "margin_s": self.margin_s,
                    "store": str(self.folder / f"{name}.store"),
                },
            },
        )
        variables = {
            **mutants.seam(),
            VARIABLE: str(self.folder),
            SHORT: str(SHORT_BY),
            "PROXY_CONFIG": str(file),
        }
        if defect := self.defects.get(name, self.defects.get("balancer", "")):
            variables[mutants.VARIABLE] = defect
        child = await self.spawn(name, [sys.executable, "-m", "roadlb"], variables)
        await self.until(f"{name} listens", lambda: "event=listening" in child.said())
        self.clients += [
            Asker(name, listen, f"customer-{j}", period_s=PERIOD_S[hall_of(name)]) for j in range(CUSTOMERS)
        ]

    # Faults

    def lose(self, hall: str) -> None:
        """All of it: nodes vanish without a word, processes are killed."""
        self.note(f"{hall}: lost")
        for name, link in self.links.items():
            if name.startswith("node") and hall_of(name) == hall:
                link.drop("both")
        for name in self.of(hall):
            self.children[name].kill()

    @asynccontextmanager
    async def standing_by(self, names: Iterable[str]) -> AsyncIterator[dict[str, Child]]:
        """A further process for each, which has loaded the program and stands still.  Whoever has not taken a
        place at the end is ended."""
        others = {name: self.children[name].another() for name in names}
        try:
            for other in others.values():
                await other.start({"ROADLB_WAITS": "1"})
            await self.until("others stand by", lambda: all(other.stands for other in others.values()))
            yield others
        finally:
            for name, other in others.items():
                if self.children[name] is not other and other.runs:
                    other.terminate()  # as it goes on; who has its place lives on
                    other.go_on()
                    await ends(f"another {name} ends", other.ended())

    async def flicker(self, others: Mapping[str, Child]) -> int:
        """Balancers are killed, and at once who stands by goes on in their places, so that they are back soon
        on any machine.  The clock at the first kill."""
        first = self.now
        for name, other in others.items():
            self.children[name].kill()
            await ends(f"{name} ends", self.children[name].ended())
            self.children[name] = other
            other.go_on()
        return first

    async def give_back(self, hall: str, started_ms: int) -> None:
        """Its nodes are new processes, which discovery tells; its own processes find what they had stored."""
        for name, link in self.links.items():
            if name.startswith("node") and hall_of(name) == hall:
                link.reset()
                link.heal()
                self.discovery.tell(name, lifecycle="up", startedAtMs=started_ms)
        for name in self.of(hall):
            if not self.children[name].runs:
                await self.children[name].start()
        self.note(f"{hall}: given back")

    def of(self, *halls: str) -> list[str]:
        """The processes of these halls."""
        return [name for name in self.children if hall_of(name) in halls]

    def balancers(self, *halls: str) -> list[str]:
        """Those of these halls, or all."""
        return [name for name in self.of(*(halls or HALLS)) if name.startswith("balancer")]

    # What is seen

    def reached(self, node: str, since: int) -> set[str]:
        """Whose requests came to this node since then."""
        return {one.balancer for one in self.nodes.since(since) if one.node == node}

    def repeated_orders(self) -> list[str]:
        """Orders that came whole to nodes more than once; none of ours says that it has not run one."""
        counts = Counter(one.request for one in self.nodes.came if one.order)
        return [request for request, count in counts.items() if count > 1]

    def site(self, balancer: str, hall: str) -> str:
        """What this balancer has logged last of a hall's state since its start; whole, if nothing."""
        number = str(HALLS.index(hall)).encode()
        said = [
            match["after"]
            for match in SITE.finditer(self.children[balancer].log.read_bytes())
            if match["site"] == number
        ]
        return said[-1].decode() if said else "whole"

    def hold(self, balancers: Iterable[str], hall: str, *states: str) -> bool:
        """Do all of these hold the hall to be in one of these states?"""
        return all(self.site(name, hall) in states for name in balancers)

    def unanswered(self, balancers: Iterable[str]) -> dict[str, Counter[str]]:
        """Requests of these balancers' clients that ended with no answer: by balancer, how many of what."""
        names, found = set(balancers), dict[str, Counter[str]]()
        for client in self.clients:
            if client.balancer in names and client.why:
                found.setdefault(client.balancer, Counter()).update(client.why)
        return found

    @property
    def now(self) -> int:
        return monotonic_us()
