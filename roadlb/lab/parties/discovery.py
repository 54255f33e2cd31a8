"""Discovery: `Registry`, which learns of the fleet late, and `Agent`, which tells one balancer of it.

    the fleet --(notice)--> pending --(period)--> published --(spread)--> each agent --(its watch)--> balancer

Nothing overtakes: what is published of an instance keeps the order in which it happened, and an agent is
sent one generation after the other.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random
from urllib.parse import parse_qs, urlsplit

from ..wire import Told, WireLog
from .http import Garbled, Message, RequestReader, write_answer
from .links import stream

Address = tuple[str, int]

EMPTY_LINE_S = 2.0
HISTORY = 200  # generations that an agent can tell the changes of
MOVE_S = 1.5  # after which a left address closes its open connections
UP, DRAINING, REMOVED = "up", "draining", "removed"


@dataclass(slots=True, frozen=True)
class Entry:
    """One instance as discovery lists it; `at` is its address for each balancer."""

    name: str
    at: Mapping[str, Address]
    zone: str
    kind: str
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0
    lifecycle: str = UP

    def listed(self, balancer: str) -> dict[str, object]:
        host, port = self.at[balancer]
        return {
            "instanceId": self.name,
            "hostPort": f"{host}:{port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


@dataclass(slots=True, frozen=True)
class DiscoveryFigures:
    """How late it is, in microseconds; pairs are the lowest and highest of a draw."""

    notice_us: tuple[int, int] = (710_000, 4_300_000)  # a drain or an end that is announced
    silent_us: tuple[int, int] = (5_300_000, 14_000_000)  # a machine that is gone without a word
    add_us: tuple[int, int] = (950_000, 2_100_000)  # a new one, or one that has started again
    period_us: int = 500_000  # between two lists
    spread_us: tuple[int, int] = (0, 430_000)  # from a list to each agent
    told_us: int = 6_000_000  # from a list until it counts as told
    told_after_move_us: int = 4_000_000  # and from a reload on


class Registry:
    """The truth about the fleet, as it becomes known.  Used within a running loop."""

    def __init__(self, figures: DiscoveryFigures, rng: Random) -> None:
        self.figures, self._rng = figures, rng
        self.generation = 0
        self.entries: dict[str, Entry] = {}  # as published
        self._truth: dict[str, Entry] = {}
        self._pending: dict[str, Entry] = {}
        self._due: dict[str, float] = {}  # when the last change of an instance is noticed
        self._agents: list[Agent] = []
        self._publishing: asyncio.TimerHandle | None = None
        self._down = False

    def begin(self, entries: list[Entry]) -> None:
        """The fleet as everybody knows it when the rehearsal begins: generation 1, without delay."""
        self.generation = 1
        self.entries = {entry.name: entry for entry in entries}
        self._truth = dict(self.entries)

    def attach(self, agent: Agent) -> None:
        self._agents.append(agent)
        agent.take(self.generation, tuple(self.entries.values()))

    # What happens to the fleet

    def up(self, entry: Entry) -> None:
        """A new instance, or one that has started again."""
        self._happen(replace(entry, lifecycle=UP), self.figures.add_us)

    def drain(self, name: str) -> None:
        self._happen(replace(self._truth[name], lifecycle=DRAINING), self.figures.notice_us)

    def remove(self, name: str, silent: bool = False) -> None:
        """It has ended; `silent`: without a word, so that it is noticed late."""
        figures = self.figures
        self._happen(
            replace(self._truth[name], lifecycle=REMOVED), figures.silent_us if silent else figures.notice_us
        )

    def _happen(self, entry: Entry, late_us: tuple[int, int]) -> None:
        loop = asyncio.get_running_loop()
        self._truth[entry.name] = entry
        # A loop may run two timers of one time in any order.
        at = max(loop.time() + self._rng.randint(*late_us) / 1e6, self._due.get(entry.name, 0.0) + 1e-6)
        self._due[entry.name] = at
        loop.call_at(at, self._noticed, entry)

    # What becomes of it

    def outage(self, down: bool) -> None:
        """While discovery is down it publishes nothing, and its agents say nothing."""
        self._down = down
        for agent in self._agents:
            agent.silence(down)
        if not down and self._pending:
            self._schedule()

    def _noticed(self, entry: Entry) -> None:
        self._pending[entry.name] = entry
        self._schedule()

    def _schedule(self) -> None:
        """Lists go out on the beat of the period."""
        if self._publishing:
            return
        loop, period = asyncio.get_running_loop(), self.figures.period_us / 1e6
        beat = (loop.time() // period + 1) * period
        self._publishing = loop.call_at(beat, self._publish)

    def _publish(self) -> None:
        self._publishing = None
        if self._down or not self._pending:
            return
        self.generation += 1
        changes, self._pending = tuple(self._pending.values()), {}
        for entry in changes:
            if entry.lifecycle == REMOVED:
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        loop = asyncio.get_running_loop()
        for agent in self._agents:
            spread = self._rng.randint(*self.figures.spread_us) / 1e6
            agent.due = max(agent.due + 1e-6, loop.time() + spread)
            loop.call_at(agent.due, agent.take, self.generation, changes)


class _Watcher(asyncio.Protocol):
    """A connection of the balancer to its agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.reader = RequestReader()
        self.after = -1  # the generation told over this watch; -1: it is none
        self.transport: asyncio.Transport
        self._beat: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)
        self.agent.links[self] = None

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                self.agent.asked(self, message)
        except Garbled:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.agent.links.pop(self, None)
        if self._beat:
            self._beat.cancel()

    def line(self, text: str = "") -> None:
        """One chunk of the watch, and an empty one whenever nothing has been said for a while."""
        data = text.encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        if self._beat:
            self._beat.cancel()
        self._beat = asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._on_beat)

    def _on_beat(self) -> None:
        if self.agent.silent:
            self._beat = asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._on_beat)
        else:
            self.line()


class Agent:
    """Speaks the platform's protocol to one balancer, on that balancer's own machine; writes `Told`."""

    def __init__(
        self, balancer: str, figures: DiscoveryFigures, log: WireLog, clock: Callable[[], int]
    ) -> None:
        self.balancer, self.figures, self._log, self._clock = balancer, figures, log, clock
        self.silent = False
        self.absent = False  # the balancer does not run
        self.due = 0.0  # when the registry's last list arrives
        self.links: dict[_Watcher, None] = {}  # in order: a set's would vary
        self.address: Address = ("", 0)
        self._servers: list[asyncio.Server] = []
        self._generation = 0
        self._list: dict[str, Entry] = {}
        self._history: deque[tuple[int, tuple[Entry, ...]]] = deque(maxlen=HISTORY)
        self._told: dict[str, Entry] = {}  # written to the balancer
        self._counted: dict[str, Entry] = {}  # what counts as told: that, or overdue
        self._told_generation = 0
        self._asked: list[tuple[_Watcher, Message]] = []  # while silent
        self._unsaid: list[tuple[int, tuple[Entry, ...]]] = []  # would count as told, but for the silence
        # What the balancer's list was from which time on: a process may come back with an old one.
        self._past: deque[tuple[int, int, tuple[Entry, ...]]] = deque(maxlen=HISTORY)

    # Its life

    async def start(self, listen: Address) -> None:
        """Listen (port 0: the kernel's choice); `address` is where."""
        server = await asyncio.get_running_loop().create_server(lambda: _Watcher(self), *listen)
        self._servers.append(server)
        self.address = (listen[0], server.sockets[0].getsockname()[1])

    async def move(self, listen: Address, closes_s: float = MOVE_S) -> None:
        """Answer elsewhere from now on.

        The old address takes no more connections and ends the open ones after `closes_s`; the caller has the
        balancer read its configuration again, with the new `address`.
        """
        old, left = self._servers, list(self.links)
        self._servers = []
        await self.start(listen)
        loop = asyncio.get_running_loop()
        for server in old:
            server.close()
        for link in left:
            loop.call_later(closes_s, link.transport.close)
        loop.call_later(
            self.figures.told_after_move_us / 1e6,
            self._counts_as_told,
            self._generation,
            tuple(self._list.values()),
        )

    def stop(self) -> None:
        for server in self._servers:
            server.close()
        for link in list(self.links):
            link.transport.abort()

    def silence(self, silent: bool) -> None:
        """Say nothing, to whoever asks or watches, or go on."""
        self.silent = silent
        if silent:
            return
        unsaid, self._unsaid = self._unsaid, []
        for generation, changes in unsaid:
            asyncio.get_running_loop().call_later(
                self.figures.told_us / 1e6, self._counts_as_told, generation, changes
            )
        asked, self._asked = self._asked, []
        for link, message in asked:
            if link in self.links:
                self._answer(link, message)
        self._tell_watchers()

    # What it has been sent, and what it has told

    def take(self, generation: int, changes: tuple[Entry, ...]) -> None:
        """The registry has sent it the changes that make this generation."""
        self._generation = generation
        self._history.append((generation, changes))
        for entry in changes:
            if entry.lifecycle == REMOVED:
                self._list.pop(entry.name, None)
            else:
                self._list[entry.name] = entry
        self._tell_watchers()
        asyncio.get_running_loop().call_later(
            self.figures.told_us / 1e6, self._counts_as_told, generation, changes
        )

    def preload(self) -> dict[str, object]:
        """The list as it is now, for the `known` of a first start; it counts as told at once."""
        self._mark(self._generation, tuple(self._list.values()), whole=True)
        return self.known()

    def restarted(self, held_at: int | None = None) -> dict[str, object]:
        """The `known` of the balancer's next process, which is told that, and of the rest nothing yet.

        It is what the balancer held last, or at the time `held_at`.
        """
        self.absent = False
        if held_at is not None and self._past:
            _, self._told_generation, entries = next(
                (past for past in reversed(self._past) if past[0] <= held_at), self._past[0]
            )
            self._told = {entry.name: entry for entry in entries}
        self._counted.clear()
        for entry in self._told.values():
            self._count(self._told_generation, entry)
        gone = tuple(
            replace(entry, lifecycle=REMOVED) for name, entry in self._told.items() if name not in self._list
        )
        asyncio.get_running_loop().call_later(
            self.figures.told_us / 1e6, self._counts_as_told, self._generation, (*self._list.values(), *gone)
        )
        return self.known()

    def known(self) -> dict[str, object]:
        """What the balancer was last told by this agent."""
        return self._line(self._told_generation, self._told.values(), reset=True)

    def _line(self, generation: int, entries: Iterable[Entry], reset: bool) -> dict[str, object]:
        return {
            "generation": generation,
            "reset": reset,
            "instances": [entry.listed(self.balancer) for entry in entries],
        }

    def _mark(self, generation: int, entries: tuple[Entry, ...], whole: bool) -> None:
        """These were written to the balancer."""
        if whole:
            listed = {entry.name for entry in entries}
            entries += tuple(
                replace(entry, lifecycle=REMOVED)
                for name, entry in self._counted.items()
                if name not in listed
            )
            self._told.clear()
        for entry in entries:
            if entry.lifecycle == REMOVED:
                self._told.pop(entry.name, None)
            else:
                self._told[entry.name] = entry
            self._count(generation, entry)
        self._told_generation = generation
        self._past.append((self._clock(), generation, tuple(self._told.values())))

    def _count(self, generation: int, entry: Entry) -> None:
        """It counts as told from now on, if it did not already."""
        before = self._counted.get(entry.name)
        if entry.lifecycle == REMOVED:
            if self._counted.pop(entry.name, None) is None:
                return
        else:
            self._counted[entry.name] = entry
        if before is None or (entry.lifecycle, entry.started_ms) != (before.lifecycle, before.started_ms):
            self._log.write(
                Told(self._clock(), self.balancer, entry.name, entry.started_ms, entry.lifecycle, generation)
            )

    def _counts_as_told(self, generation: int, changes: tuple[Entry, ...]) -> None:
        """Time is up: these count as told, arrived or not, unless something newer is known of them.

        What an agent could not say because discovery was silent waits for the end of that, and as long again.
        """
        if self.silent:
            self._unsaid.append((generation, changes))
            return
        for entry in changes:
            if not self.absent and self._list.get(entry.name, replace(entry, lifecycle=REMOVED)) == entry:
                self._count(generation, entry)

    # The protocol

    def asked(self, link: _Watcher, message: Message) -> None:
        if self.silent:
            self._asked.append((link, message))
        else:
            self._answer(link, message)

    def _answer(self, link: _Watcher, message: Message) -> None:
        url = urlsplit(message.target)
        query = parse_qs(url.query)
        if message.method != "GET" or url.path != "/v1/servers":
            link.transport.write(write_answer(404))
        elif query.get("watch") == ["1"]:
            after = query.get("after", ["0"])[0]
            link.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            link.after = int(after) if after.isascii() and after.isdigit() else 0
            self._tell(link, first=True)
        else:
            whole = tuple(self._list.values())
            body = json.dumps(self._line(self._generation, whole, reset=True)).encode()
            link.transport.write(write_answer(200, [("Content-Type", "application/json")], body))
            self._mark(self._generation, whole, whole=True)

    def _tell_watchers(self) -> None:
        if not self.silent:
            for link in [link for link in self.links if link.after >= 0]:
                self._tell(link)

    def _tell(self, link: _Watcher, first: bool = False) -> None:
        """The changes since what this watch was told, or all where they are not known any more."""
        if link.transport.is_closing():
            return
        since = [(generation, changes) for generation, changes in self._history if generation > link.after]
        reachable = self._history and self._history[0][0] <= link.after <= self._generation
        if first and not reachable:
            whole = tuple(self._list.values())
            link.line(json.dumps(self._line(self._generation, whole, reset=True)))
            self._mark(self._generation, whole, whole=True)
        else:
            for generation, changes in since:
                link.line(json.dumps(self._line(generation, changes, reset=False)))
                self._mark(generation, changes, whole=False)
            if first and not since:
                link.line(json.dumps(self._line(self._generation, (), reset=False)))
        link.after = self._generation
