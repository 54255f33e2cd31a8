"""Several real processes with faults between any two of them, for tests that read like a scenario.

    async with Rig(incident, seed=1) as rig:
        give_back = rig.lose("hall-b")
        await rig.until("hall-b lost", lambda: rig.all_say("hall-b", "lost"))
        ...

Balancers are `python -m roadlb`, each a process; nodes, clients, discovery and relays run in the rig's own
loop.  A test waits for what must come to pass, with a generous end, and then judges by what nodes and clients
recorded, on the one monotonic clock that all processes of a machine share.  How long the rig itself was held
up is known (`late_s`, `held_up_us`, `after`), and counts against nobody.

What a test may set up beside an incident's own parties:

    Rig(incident, seed, further, variables)       further(balancer's name) -> keys merged into its settings,
                                                  asked at each start; variables: environment of all of them
    rig.reserve() -> (ip, port)                   for a child that is to listen; its own until the rig ends
    rig.file(name, mapping) -> Path               JSON in the rig's folder
    child = await rig.spawn(name, argv, env)      any process beside the balancers: children.Child
        child.stop() go_on() kill() terminate(); await child.ended(), restart(argv); child.said(), runs, pid
    link = rig.link(a, b, target)                 TCP from a to b, who listens at target: link.Link
        link.address                              what a is told
        link.drop("there" | "back" | "both")      packets are lost; dials never come up
        link.silent(way)                          dials come up and bytes are taken, nothing comes out
        link.slow(ms), reset(), refuse(), heal()
        at = link.when(needle, then, way, after)  a fault in mid-message: `then` after these bytes, before
                                                  the next one; `await at` gives the clock
    link = await rig.datagrams(a, b, target)      UDP the same way: datagrams.Datagrams
        link.fail(lost, doubled, reordered, delay_ms, jitter_ms), drop(way), heal(), when(fits, then, way)
    rig.note(text) -> clock                       all of these write to `rig.log`; `rig.notes(since)` reads

Links and children end with the rig, children by their ids, also when a test fails.
"""

from __future__ import annotations

import asyncio
import gc
import json
import re
import signal
import socket
import time
from collections import Counter
from bisect import bisect_left
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, TypeVar

from ...clock import monotonic_us
from ..incident import Incident
from ..parties.discovery import Address
from ..wire import ClientSent, Lagged, NodeGave, NodeGot, NodeStarted, Note, WireEvent, WireLog
from .children import Child
from .datagrams import Datagrams
from .drawn import draw
from .link import Link
from .ports import reserved
from .real_world import More, RealWorld, write
from .relay import Pair, Relay, Ways
from .sim_world import generators
from .stage import Stage
from .world import Role

CHANGE = re.compile(
    rb"^at=(?P<at>[0-9.]+) .*\"site (?P<site>\d+): (?P<before>\w+) to (?P<after>\w+): "
    rb"(?P<cause>[^\"]*)",
    re.MULTILINE,
)
E = TypeVar("E", bound=WireEvent)

GENEROUS_S = 150.0  # for what must come to pass; no verdict depends on how soon it does
LOOK_S = 0.1


@dataclass(slots=True, frozen=True)
class SiteChange:
    """What a balancer has logged: to it, a site's state is another one."""

    at: int
    balancer: str
    site: str
    before: str
    after: str
    cause: str


class Rig:
    """One deployment in real time, from `async with` to its end; nobody is left behind, whatever happens."""

    def __init__(
        self,
        incident: Incident,
        seed: int,
        further: Callable[[str], Mapping[str, Any]] = lambda name: {},
        variables: Mapping[str, str] | None = None,
    ) -> None:
        self.incident, self.seed, self.log = incident, seed, WireLog()
        self._more = More(further, variables or {})
        self._kinds: dict[type[Any], list[Any]] = {}  # what is logged, by its kind
        self._halls: dict[str, str] = {}  # of nodes
        self._read: dict[Path, int] = {}  # bytes of balancers' logs
        self._changes: list[SiteChange] = []
        self._collects = False
        self._stopped: set[str] = set()  # balancers, by SIGSTOP
        self.log.listen(self._see)
        self.children: dict[str, Child] = {}
        self.links: dict[str, Link | Datagrams] = {}
        self._reserved: list[socket.socket] = []
        self._folder: TemporaryDirectory[str] | None = None
        self.world: RealWorld
        self.stage: Stage
        self.sites: dict[str, dict[str, dict[str, Any]]] = {}  # by balancer and site, as last asked

    async def __aenter__(self) -> Rig:
        self._folder = TemporaryDirectory(prefix="roadlb-rig-")
        # Nodes run in this loop: a collection among a long log's events holds all of them up at once.
        self._collects = gc.isenabled()
        gc.disable()
        random = generators(self.seed)
        drawn = draw(self.incident, random)
        self.world = RealWorld(drawn, self.log, self.folder, random, self._more)
        self.stage = Stage(self.incident, drawn, self.world, self.log)
        try:
            await self.stage.build()
            await self.until(
                "all balancers ready", lambda: len(self.stage.front.taken_in) >= len(self.stage.balancers.all)
            )
            self.stage.arrive()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._folder
        try:
            await asyncio.gather(self.stage.end(), *(child.close() for child in self.children.values()))
        finally:
            for link in self.links.values():
                link.end()
            for held in self._reserved:
                held.close()
            self._folder.cleanup()
            if self._collects:
                gc.enable()

    # What is set up beside the incident's own

    @property
    def folder(self) -> Path:
        """Of configurations and logs; gone with the rig."""
        assert self._folder
        return Path(self._folder.name)

    def file(self, name: str, content: Mapping[str, Any]) -> Path:
        """JSON, written in one step: a process may be reading it."""
        file = self.folder / name
        write(file, content)
        return file

    def reserve(self) -> Address:
        """For one that is to listen on TCP with SO_REUSEADDR, or to bind for datagrams."""
        held = reserved(self.world.ip())
        self._reserved.append(held)
        address: Address = held.getsockname()
        return address

    async def spawn(self, name: str, argv: Sequence[str], env: Mapping[str, str] | None = None) -> Child:
        """Start a process; ValueError if there is one of this name."""
        self._new(name, self.children)
        child = self.children[name] = Child(name, argv, env or {}, self.folder, self.note)
        await child.start()
        return child

    def link(self, a: str, b: str, target: Address) -> Link:
        """From a, who dials `address` of what this gives, to b, who listens at the target, now or later."""
        name = f"{a} to {b}"
        self._new(name, self.links)
        link = self.links[name] = Link(name, self.world.ip(), target, self.note)
        return link

    async def datagrams(self, a: str, b: str, target: Address) -> Datagrams:
        """From a, who sends to `address` of what this gives, to b, who is bound to the target."""
        name = f"{a} to {b}, datagrams"
        self._new(name, self.links)
        link = Datagrams(name, target, self.world.random(name), self.note)
        await link.start(self.world.ip())
        self.links[name] = link
        return link

    def _new(self, name: str, there: Mapping[str, object]) -> None:
        if name in there:
            raise ValueError(f"{name}: there is one already")

    def note(self, text: str) -> int:
        """In the log, with the clock that it gives."""
        at = self.now
        self.log.write(Note(at, text))
        return at

    def notes(self, since: int = 0) -> list[Note]:
        return self.events(Note, since)

    def events(self, kind: type[E], since: int = 0) -> list[E]:
        """Those of one kind since then, found without a look at the rest."""
        found: list[E] = self._kinds.get(kind, [])
        return found[bisect_left(found, since, key=lambda event: event.at) :]

    # What is waited for

    async def until(self, what: str, holds: Callable[[], bool], within_s: float = GENEROUS_S) -> int:
        """Wait until it holds, looking at sites each time; the clock then.  TimeoutError, naming it, if
        never."""
        loop, began = asyncio.get_running_loop(), self.now
        end = loop.time() + within_s
        while True:
            await self._look()
            if holds():
                return self.note(f"after {(self.now - began) / 1e6:.1f} s: {what}")
            if loop.time() > end:
                raise TimeoutError(f"{what}: not within {within_s:g} s; sites: {self.states()}")
            await asyncio.sleep(LOOK_S)

    async def dealt(self) -> None:
        """The front deals to all that run, and to all of them alike: clients, who keep their connections past
        the return of a balancer, have lost them."""
        await self.until(
            "the front deals to all that run",
            lambda: {one.name for one in self.stage.balancers.running} <= set(self.stage.front.taken_in),
        )
        self.world.reset(1.0, Role.CLIENTS, None)

    @property
    def now(self) -> int:
        """The machine's monotonic clock, in microseconds."""
        return self.world.clock()

    @property
    def late_s(self) -> float:
        """For so long the rig itself was held up, in all."""
        return sum(event.at - event.since for event in self.events(Lagged)) / 1e6

    def held_up_us(self, since: int, until: int) -> int:
        """For so long between these the rig stood still, and with it nodes, clients and relays."""
        return sum(
            max(0, min(event.at, until) - max(event.since, since))
            for event in self.events(Lagged, since)
            if event.since < until
        )

    def after(self, at: int, us: int) -> int:
        """So long after that clock, the rig's own hold-ups not counted: until they end, what comes is seen
        late."""
        end = at + us
        for event in self.events(Lagged, at):
            if event.since < end:
                end += event.at - max(event.since, at)
        return end

    async def _look(self) -> None:
        """Of one that is stopped nothing is known, and nobody waits for it."""
        running = [one.name for one in self.stage.balancers.running if one.name not in self._stopped]
        answers = await asyncio.gather(*(self.ask(name, "GET", "/control/sites") for name in running))
        self.sites = {name: sites for name, sites in self.sites.items() if name in running}
        for name, (status, text) in zip(running, answers, strict=True):
            if status == 200:
                self.sites[name] = {site["site"]: site for site in json.loads(text)["sites"]}
            else:
                self.sites.pop(name, None)

    async def ask(self, balancer: str, method: str, path: str) -> tuple[int, str]:
        """(status, text) of a call at a balancer's door; status 0: nobody answers."""
        return await self.world.door(balancer).call(method, path)

    # What balancers say

    def states(self) -> dict[str, dict[str, str]]:
        return {
            name: {site: told["state"] for site, told in sites.items()} for name, sites in self.sites.items()
        }

    def say(self, balancer: str, site: str, *states: str) -> bool:
        """Does this balancer hold the site to be in one of these states?  `absent`: it knows none of its
        servers."""
        return balancer in self.sites and self.sites[balancer].get(site, {}).get("state", "absent") in states

    def all_say(self, site: str, *states: str, but_in: str | None = None) -> bool:
        """Do all that run, but those in one hall?"""
        asked = [one.name for one in self.stage.balancers.running if one.hall != but_in]
        return bool(asked) and all(self.say(name, site, *states) for name in asked)

    def changes(self, since: int = 0) -> list[SiteChange]:
        """All that balancers have logged of sites' states since then, by the clock."""
        for file in self.folder.glob("*.log"):
            self._changes += self._said(file)
        self._changes.sort(key=lambda change: change.at)
        return self._changes[bisect_left(self._changes, since, key=lambda change: change.at) :]

    def _said(self, file: Path) -> list[SiteChange]:
        """What is new in a log, up to its last whole line."""
        with file.open("rb") as log:
            log.seek(self._read.get(file, 0))
            new = log.read()
        new = new[: new.rfind(b"\n") + 1]
        self._read[file] = self._read.get(file, 0) + len(new)
        behind, halls = time.time() - monotonic_us() / 1e6, self.incident.network.halls
        return [
            SiteChange(
                round((float(line["at"]) - behind) * 1e6),
                file.name.rpartition("-")[0],
                halls[int(line["site"])],
                line["before"].decode(),
                line["after"].decode(),
                line["cause"].decode(errors="replace"),
            )
            for line in CHANGE.finditer(new)
        ]

    # What nodes recorded

    def got(self, since: int, hall: str | None = None, method: str | None = None) -> list[NodeGot]:
        """Requests that came whole to nodes (of one hall) since then."""
        return [
            event
            for event in self.events(NodeGot, since)
            if hall in (None, self._halls.get(event.node)) and method in (None, event.method)
        ]

    def hall_of(self, event: NodeGot) -> str:
        """Of the node that it came to."""
        return self._halls[event.node]

    def _see(self, event: WireEvent) -> None:
        self._kinds.setdefault(type(event), []).append(event)
        if isinstance(event, NodeStarted):
            self._halls[event.node] = event.hall

    def repeated_orders(self, since: int = 0) -> list[str]:
        """Requests, sent since then, of classes that must not run twice, of which more than one attempt came
        whole to a node, those not counted that a node said it had not run."""
        once = {row.name for row in self.incident.traffic.classes if not row.repeatable}
        orders = {event.request for event in self.events(ClientSent, since) if event.class_name in once}
        counts = Counter(event.request for event in self.events(NodeGot, since) if event.request in orders)
        counts.subtract(
            event.request
            for event in self.events(NodeGave, since)
            if event.request in counts and event.kind == "unprocessed"
        )
        return [request for request, count in counts.items() if count > 1]

    # Faults

    def lose(self, hall: str) -> Callable[[], Awaitable[None]]:
        """All of it, at one moment; gives what brings it back."""
        return self.stage.lose(hall)

    def pause_nodes(self, hall: str) -> Callable[[], None]:
        """Its nodes stand still, connections stay open; gives what lets them go on."""
        ends = [self.stage.fleet.pause(one) for one in self.stage.fleet.there.values() if one.hall == hall]

        def go_on() -> None:
            for end in ends:
                end()

        return go_on

    def cut(self, hall: str) -> Callable[[], None]:
        """Silent both ways between this hall and the others; gives what heals it."""
        self.world.cut(hall)
        return lambda: self.world.heal(hall)

    def _to(self, node_hall: str, balancers: Collection[str] | None) -> list[Relay]:
        """What stands between its nodes and balancers of other halls: these, or all."""
        return [
            relay
            for relay in self.world.relays(node_hall=node_hall)
            if relay.way.balancer_hall != node_hall and (balancers is None or relay.way.balancer in balancers)
        ]

    def mute(self, node_hall: str, balancers: Collection[str] | None = None) -> Callable[[], None]:
        """One way: its nodes hear all balancers of other halls, or these, which do not hear them; gives what
        heals it."""
        relays = self._to(node_hall, balancers)
        for relay in relays:
            relay.mute(True)

        def heal() -> None:
            for relay in relays:
                relay.mute(False)

        return heal

    def shut(self, node_hall: str, balancers: Collection[str] | None = None) -> Callable[[], None]:
        """Its nodes' machines reset connections of balancers of other halls, or of these, and refuse their
        dials; gives what opens them."""
        relays = [relay for relay in self._to(node_hall, balancers) if relay.is_open]
        for relay in relays:
            relay.close()

        def reopen() -> None:
            for relay in relays:
                relay.open()

        return reopen

    def no_answers(self, node_hall: str, needle: bytes) -> Callable[[], None]:
        """On connections from balancers of other halls, nothing comes back any more from when the needle has
        been sent whole on one; gives what heals those to come."""

        def watch(way: Ways, data: bytes, pair: Pair) -> None:
            if way is Ways.THERE and needle in data:
                pair.holds = Ways.BACK

        relays = self._to(node_hall, None)
        for relay in relays:
            relay.watch = watch

        def heal() -> None:
            for relay in relays:
                relay.watch = None

        return heal

    def stop(self, balancer: str) -> Callable[[], None]:
        """SIGSTOP; gives SIGCONT."""
        one = next(one for one in self.stage.balancers.all if one.name == balancer)
        one.process.signal(signal.SIGSTOP)
        self._stopped.add(balancer)

        def go_on() -> None:
            one.process.signal(signal.SIGCONT)
            self._stopped.discard(balancer)

        return go_on
