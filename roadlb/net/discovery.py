"""Discovery: the known list at the start, then a watch, which is opened again whenever it breaks."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from ..clock import Clock
from ..config import Address, ConfigError, read_address
from ..counters import Counters
from ..engine import Engine
from ..log import fields
from ..policy.interface import ListKind, Member, ServerId, ServerState
from .server_connections import ServerConnections
from .watch import DiscoveryWatch, WatchState
from .watch_call import ListPosition, WatchBroken

logger = logging.getLogger(__name__)

STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.GONE}


class MalformedList(Exception):
    """A list that is not what the protocol describes; the text is for a person."""


class OtherHistory(Exception):
    """A change of an older list than ours: discovery counts anew, and has to be asked for all that it has."""


def server_id(name: str) -> ServerId:
    """The module's id of an instance: made from its `instanceId`, hence alike at every balancer."""
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class ServerListUpdate:
    """One list message: the members, and where the ones that are not gone listen."""

    generation: int
    kind: ListKind
    members: list[Member]
    names: dict[ServerId, tuple[str, Address]]
    entries: dict[str, object]  # as they came, by instanceId; None: removed


class ServerDiscovery:
    """Discovery's list of instances, told to the engine and to the side that dials them."""

    def __init__(
        self,
        discovery: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        engine: Engine,
        instances: ServerConnections,
        counters: Counters,
        clock: Clock,
        wall: Clock,
        seed: int = 0,
    ) -> None:
        """`wall` tells Unix time in microseconds, in which discovery tells instances' starts; `seed` is this
        balancer's own, for the moments at which it asks again."""
        self._discovery, self._engine, self._instances = discovery, engine, instances
        self._counters = counters
        self._watch = DiscoveryWatch(self, seed)
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        # Read once: the same start must always give the same clock time, or it would look like a restart.
        self._unix_to_clock = clock() - wall()
        self._generation = 0
        self._ask_for_all = False  # by the next one
        self._malformed = 0  # messages in a row
        self.filled = False  # an instance has been listed
        self.told = asyncio.Event()  # discovery has told a list since the start
        self.on_list: Callable[[], None] = lambda: None
        self._entries: dict[str, object] = {}
        self.led = False  # the list is another's to tell: what discovery says is passed over
        self.drained: Callable[[str, int], bool] = lambda name, started_ms: False  # told once so

    def parse(self, raw: object) -> ServerListUpdate:
        """Check a whole line, as text or as JSON read already, before any of it is believed."""
        try:
            return self._parse(json.loads(raw) if isinstance(raw, bytes) else raw)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as e:
            raise MalformedList(f"{type(e).__name__}: {e}") from None

    def _parse(self, raw: object) -> ServerListUpdate:
        if not isinstance(raw, dict) or not isinstance(raw["instances"], list):
            raise ValueError("not an object with a list of instances")
        if not isinstance(raw["reset"], bool):
            raise ValueError("reset: must be true or false")
        members, names, entries = [], {}, dict[str, object]()
        for entry in raw["instances"]:
            name, state = entry["instanceId"], STATES[entry["lifecycle"]]
            if not isinstance(name, str) or not name:
                raise ValueError("instanceId: must be a name")
            id = server_id(name)
            entries[name] = None if state is ServerState.GONE else entry
            if state is ServerState.GONE:
                members.append(Member(id, state))
                continue
            started, weight = int(entry.get("startedAtMs", 0)), float(entry.get("weight", 1.0))
            if not math.isfinite(weight):
                raise ValueError("weight: must be a number")
            born = (started * 1000 + self._unix_to_clock or 1) if started > 0 else 0
            if state is ServerState.READY and self.drained(name, started):
                state = ServerState.DRAINING
            members.append(
                Member(
                    id,
                    state,
                    int(entry.get("cell") or 0),
                    self._kinds.get(entry.get("machineType"), 0),
                    self._zones.get(entry.get("zone"), 0),
                    weight,
                    born,
                )
            )
            names[id] = name, read_address("hostPort", entry["hostPort"])
        return ServerListUpdate(
            int(raw["generation"]), ListKind.FULL if raw["reset"] else ListKind.DELTA, members, names, entries
        )

    def start_from(self, known: Mapping[str, object]) -> None:
        """Begin with the list as it was last held, which may be old."""
        try:
            line = self.parse(known) if known else ServerListUpdate(0, ListKind.FULL, [], {}, {})
        except MalformedList as e:
            logger.error("known list malformed", extra=fields(key="known", error=e))
            line = ServerListUpdate(0, ListKind.FULL, [], {}, {})
        line.kind = ListKind.CACHED
        self._take(line)

    def lead(self, raw: Mapping[str, object], old: bool = False) -> None:
        """Take a list in discovery's form from elsewhere; from now on it is not discovery's to tell.

        `old`: as it was last held.
        """
        line = self.parse(raw)
        if old and line.kind is ListKind.FULL:
            line.kind = ListKind.CACHED
        if not self.led:
            self.led = True
            self._watch.stop()
            logger.info("list led")
        self._take(line)
        self.told.set()
        self.on_list()

    def _take(self, line: ServerListUpdate) -> None:
        self._generation = line.generation
        gone = [m.server for m in line.members if m.state is ServerState.GONE]
        if line.kind is not ListKind.DELTA:
            self._entries.clear()
        for name, entry in line.entries.items():
            if entry is None:
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
        draining = [m.server for m in line.members if m.state is ServerState.DRAINING]
        whole = line.kind is not ListKind.DELTA
        born_us = {m.server: m.born_us for m in line.members if m.state is not ServerState.GONE}
        self._instances.list_update(line.names, gone, whole, draining, born_us)
        self._engine.list_update(line.kind, line.members)
        self._instances.withdraw()  # now that what is sent instead goes elsewhere
        self.filled = self.filled or bool(line.names)
        self._counters.add("list.taken")
        logger.info(
            "list",
            extra=fields(
                kind=line.kind.name.lower(),
                generation=line.generation,
                **{s.name.lower(): sum(m.state is s for m in line.members) for s in ServerState},
            ),
        )

    def names(self) -> dict[ServerId, str]:
        """What the instances of the list held are called."""
        return {server_id(name): name for name in self._entries}

    @property
    def held(self) -> tuple[str, dict[str, object]]:
        """Which discovery told the list held, and that list in discovery's form."""
        return str(self._discovery), {
            "generation": self._generation,
            "reset": True,
            "instances": list(self._entries.values()),
        }

    # The watch

    def move(self, discovery: Address) -> None:
        """Watch at another address from now on; the list held stays valid until that one tells more."""
        if discovery != self._discovery:
            # Another place may count its generations differently: ask it for all that it has.
            self._discovery, self._generation = discovery, 0
            logger.info("watch moved", extra=fields(discovery=discovery))
            self._watch.move()

    @property
    def watch_state(self) -> WatchState:
        return self._watch.state

    async def run(self) -> None:
        """Watch until the list is led; whatever goes wrong, the list held stays valid."""
        await self._watch.run()

    def where(self) -> tuple[Address, int]:
        """Whom to ask, and for what came after which generation."""
        return self._discovery, 0 if self._ask_for_all else self._generation

    def message(self, value: object, position: ListPosition) -> bool:
        """One message of discovery's, None for a blank line; was it news?"""
        news = value is not None and self._told_by_discovery(value, position)
        self._counters.add("list.line")
        return news

    def _told_by_discovery(self, value: object, position: ListPosition) -> bool:
        line = self.parse(value)
        if line.kind is ListKind.DELTA and line.generation < position.generation:
            raise OtherHistory(f"changes up to {line.generation}, after {position.generation} was asked for")
        news = line.generation != self._generation or not self.told.is_set()
        position.generation = line.generation
        self._ask_for_all = False
        self._malformed = 0
        self._take(line)
        self.told.set()
        self.on_list()
        return news

    def overdue(self) -> None:
        """A call of the watch has no answer yet; another is opened beside it."""
        self._counters.add("list.overdue")

    def broken(self, error: Exception | None) -> None:
        """A call of the watch has ended."""
        self._counters.add("list.broken")
        if isinstance(error, OtherHistory):
            self._counters.add("list.stale")
            self._ask_for_all = True
        elif isinstance(error, MalformedList | WatchBroken):
            self._counters.add("list.malformed")
            if isinstance(error, MalformedList):
                # The same changes would come again; twice in a row, the whole list is asked for instead,
                # and then the changes once more.
                self._malformed += 1
                self._ask_for_all = self._malformed % 2 == 0
        elif error is not None and not isinstance(error, TimeoutError | OSError):
            logger.error("watch failed", exc_info=error)
