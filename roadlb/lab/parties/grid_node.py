"""A grid node on the wire: an HTTP server round a `NodeModel`, which writes down what crossed.

It listens at one address for each balancer, so that it knows who sends without trusting any header, and so
that the network can treat each pair of machines apart.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from ..model.events import (
    Action,
    Ail,
    Answer,
    Began,
    Connected,
    Disconnected,
    Drain,
    Event,
    Fell,
    Load,
    Pause,
    Probe,
    ProbeAnswer,
    Request,
    Resume,
    Slow,
    Stop,
    Tick,
    WakeAt,
    Withdrawn,
)
from ..model.node import NodeModel
from ..model.spec import NodeSpec, Spoil
from ..wire import NodeFell, NodeGave, NodeGot, NodeRan, NodeStarted, NodeState, WireLog
from .bodies import answer_body, asked
from .http import (
    CORRELATION_ID,
    LOAD,
    TIME_LEFT,
    UNPROCESSED,
    Garbled,
    Message,
    RequestReader,
    digest,
    write_answer,
)
from .links import reset, stream
from .spoilt import SpoiltAnswer, spoilt_answer

Address = tuple[str, int]

FORM: Final = re.compile(r"[0-9a-f]{16}")  # of a correlation id
WORK: Final = re.compile(r"[?&]w=(\d{1,12})(?:&|$)")
NO_LIMIT_US = 60_000_000  # where X-Time-Left says nothing
SWEEP_S = 0.25  # how often idle connections are looked at
PIECE_S = 0.005  # between two pieces of an endless answer: 3 MB a second
BACKLOG = 512


class _Link(asyncio.Protocol):
    """One connection of a balancer."""

    def __init__(self, node: GridNode, balancer: str) -> None:
        self.node, self.balancer = node, balancer
        self.number = 0
        self.reader = RequestReader()
        self.first_at = -1  # the first byte of what is being read
        self.busy: tuple[str, str] | None = None  # id and digest of the request that the model has
        self.line: deque[tuple[int, Message]] = deque()
        self.idle_since = 0
        self.fresh = True  # it has brought no request yet
        self.useless = False  # after a spoilt answer
        self.last = False  # its caller wants no more after this answer
        self.writable = True
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = stream(transport)
        self.node.connected(self)

    def data_received(self, data: bytes) -> None:
        if self.useless:
            return
        now = self.node.clock()
        if self.first_at < 0:
            self.first_at = now
        try:
            messages, readable = self.reader.feed(data), True
        except Garbled:
            messages, readable = self.reader.rescue(), False
        for message in messages:
            self.node.came(self, message, self.first_at)
        if messages:
            self.first_at = now if self.reader.begun else -1
        if not readable:
            self.useless = True
            self.node.when_awake(lambda: reset(self.transport))

    def eof_received(self) -> bool:
        self.node.withdrawn(self)
        self.node.when_awake(self.transport.close)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.node.disconnected(self)

    def pause_writing(self) -> None:
        self.writable = False

    def resume_writing(self) -> None:
        self.writable = True


class GridNode:
    """One process of a grid node, from `start` to `stop` or its fall; a restart is another of the same name.

    `clock` gives integer microseconds, `wall_ms` Unix time in milliseconds.  A `warm` one has long been
    running, and discovery tells its start as 0.
    """

    def __init__(
        self,
        name: str,
        spec: NodeSpec,
        rng: Random,
        log: WireLog,
        clock: Callable[[], int],
        wall_ms: Callable[[], int],
        hall: str = "",
        warm: bool = False,
        body_bytes: int = 600,
        idle_us: int = 10_000_000,
    ) -> None:
        self.name, self.spec, self.hall, self.warm = name, spec, hall, warm
        self.clock, self._wall_ms, self._log, self._rng = clock, wall_ms, log, rng
        self._body_bytes, self._idle_us = body_bytes, idle_us
        self.started_ms = 0
        self.addresses: dict[str, Address] = {}  # where each balancer finds it
        self.probes = self.malformed = self.unknown = 0  # what it was asked, beside requests
        self._servers: list[asyncio.Server] = []
        self._links: dict[int, _Link] = {}
        self._numbers = self._serial = 0
        self._later: list[Callable[[], None]] = []  # what a paused process does on waking up
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._sweeper: asyncio.TimerHandle | None = None
        self.model: NodeModel

    # Its life

    async def start(self, listen: Mapping[str, Address]) -> None:
        """Listen at an address for each balancer (port 0: the kernel's choice), and be there."""
        self._loop = asyncio.get_running_loop()
        self.started_ms = 0 if self.warm else self._wall_ms()
        self.model = NodeModel(self.spec, self._rng, self.clock(), self.warm)
        for balancer, (host, port) in listen.items():
            server = await self._loop.create_server(
                lambda balancer=balancer: _Link(self, balancer),  # type: ignore[misc]
                host,
                port,
                backlog=BACKLOG,
            )
            self._servers.append(server)
            self.addresses[balancer] = (host, server.sockets[0].getsockname()[1])
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self.clock()
        capacity = self.spec.capacity
        self._log.write(
            NodeStarted(
                now,
                self.name,
                self.started_ms,
                self.spec.kind,
                self.hall,
                capacity,
                round(self.model.capacity(now) / capacity, 6),
            )
        )

    @property
    def alive(self) -> bool:
        return self.model.alive

    def drain(self) -> None:
        """Finish what it has; `model.idle` tells when that is done."""
        self._tell(Drain())
        self._state("draining")

    def pause(self) -> None:
        """The process is stopped; its kernel goes on taking in connections and bytes."""
        self._tell(Pause())
        self._state("paused")

    def resume(self) -> None:
        later, self._later = self._later, []
        self._state("resumed")
        self._tell(Resume())
        if self.model.alive:
            for action in later:
                action()

    def slow(self, factor: float) -> None:
        self._tell(Slow(factor))
        self._state("slowed")

    def ail(self, error_share: float = 0.0, spoilt_share: float = 0.0, kinds: tuple[Spoil, ...] = ()) -> None:
        """From now on answers go wrong at these rates."""
        self._tell(Ail(error_share, spoilt_share, kinds))

    def stop(self) -> None:
        """The process dies: its connections are reset, and dials are refused."""
        if self.model.alive:
            self._tell(Stop())
            self._state("stopped")
        self._end()

    def _end(self) -> None:
        for timer in (self._timer, self._sweeper):
            if timer:
                timer.cancel()
        for server in self._servers:
            server.close()
        for link in list(self._links.values()):
            reset(link.transport)
        self._links.clear()
        self._later.clear()

    def _state(self, state: str) -> None:
        self._log.write(NodeState(self.clock(), self.name, self.started_ms, state))

    def when_awake(self, action: Callable[[], None]) -> None:
        if self.model.paused:
            self._later.append(action)
        else:
            action()

    # What its connections bring

    def connected(self, link: _Link) -> None:
        if not self.model.alive:
            reset(link.transport)
            return
        self._numbers += 1
        link.number, link.idle_since = self._numbers, self.clock()
        self._links[link.number] = link
        self._tell(Connected(link.number))

    def disconnected(self, link: _Link) -> None:
        if self._links.pop(link.number, None) and self.model.alive:
            self._tell(Disconnected(link.number))

    def withdrawn(self, link: _Link) -> None:
        link.line.clear()
        if link.busy and self.model.alive:
            link.busy = None
            self._tell(Withdrawn(link.number))

    def came(self, link: _Link, message: Message, first_at: int) -> None:
        """A message is whole; those behind one that is not answered yet wait for their turn.

        A probe is written down too, with no id and its own work; what is neither probe nor request is not.
        """
        id, work = message.headers.get(CORRELATION_ID.lower(), ""), WORK.search(message.target)
        probe = _is_probe(message)
        if probe or FORM.fullmatch(id):
            work_us = self.spec.probe_work_us if probe else int(work[1]) if work else 0
            self._log.write(
                NodeGot(
                    self.clock(),
                    first_at,
                    self.name,
                    self.started_ms,
                    link.balancer,
                    "" if probe else id,
                    message.method,
                    message.target,
                    work_us,
                    link.fresh,
                )
            )
            link.fresh = False
        if link.busy or link.line:
            link.line.append((self.clock(), message))
        else:
            self._take(link, message, 0)

    def _take(self, link: _Link, message: Message, waited_us: int) -> None:
        if link.useless:
            return
        headers, target, link.last = message.headers, message.target, not message.keep_alive
        id = headers.get(CORRELATION_ID.lower())
        if _is_probe(message):
            self.probes += 1
            link.busy = (target, "")
            self._tell(Probe(link.number))
        elif id is None:
            self.unknown += 1
            self._refuse(link, 404)
        elif not FORM.fullmatch(id) or not (work := WORK.search(target)):
            self.malformed += 1
            self._refuse(link, 400)
        else:
            link.busy = (id, asked(message.method, target, message.body))
            path = target.partition("?")[0].split("/")
            self._tell(
                Request(
                    link.number,
                    id,
                    int(work[1]),
                    path[-1] if len(path) > 2 else "",
                    _time_left(headers.get(TIME_LEFT.lower())) - waited_us,
                )
            )

    def _refuse(self, link: _Link, status: int) -> None:
        """It is no request for this machine."""

        def answer() -> None:
            link.transport.write(write_answer(status))
            if link.last:
                link.transport.close()

        self.when_awake(answer)

    def _sweep(self) -> None:
        """Close what has been idle for too long; a paused process closes nothing."""
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        if self.model.paused:
            return
        before = self.clock() - self._idle_us + int(SWEEP_S * 1e6)
        for link in list(self._links.values()):
            if not link.busy and not link.useless and link.first_at < 0 and link.idle_since < before:
                link.transport.close()

    # What the model makes of it

    def _tell(self, event: Event) -> None:
        for action in self.model.handle(self.clock(), event):
            self._act(action)

    def _act(self, action: Action) -> None:
        now = self.clock()
        match action:
            case Began():
                self._log.write(NodeRan(now, self.name, self.started_ms, action.request, action.hit))
            case Answer():
                self._answer(now, action)
            case ProbeAnswer():
                self._probed(action)
            case WakeAt():
                self._wake_at(now, action.at)
            case Fell():
                self._log.write(NodeFell(now, self.name, self.started_ms, action.sent_us, action.room_us))
                self._end()

    def _wake_at(self, now: int, at: int) -> None:
        """An earlier timer may stay: the model is told the time, finds nothing due, and says when again."""
        if self._timer and now < self._timer_at <= at:
            return
        if self._timer:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0, at - now) / 1e6, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._tell(Tick())
        if self._timer is None and (at := self.model.wake_at) is not None:
            self._wake_at(self.clock(), at)

    def _answer(self, now: int, action: Answer) -> None:
        link = self._links.get(action.connection)
        if link is None or link.busy is None:
            return
        id, asked_for = link.busy
        headers = [(LOAD, _report(action.load))] if action.load else []
        body = b""
        if action.kind == "unprocessed":
            headers.append((UNPROCESSED, "1"))
        elif action.status == 200:
            self._serial += 1
            body = answer_body(id, asked_for, self.name, self.started_ms, self._serial, self._body_bytes)
        usable = action.spoil is None or action.spoil.usable
        self._log.write(
            NodeGave(
                now,
                self.name,
                self.started_ms,
                id,
                action.status,
                action.kind,
                digest(body) if usable else "",
            )
        )
        if action.spoil:
            self._spoil(link, spoilt_answer(action.spoil, headers, body, self._rng))
        else:
            link.transport.write(write_answer(action.status, headers, body))
        link.useless = not usable
        self._answered(link, now)
        if action.closes:
            link.transport.close()

    def _probed(self, action: ProbeAnswer) -> None:
        link = self._links.get(action.connection)
        if link is None or link.busy is None:
            return
        report = _report(action.load) if action.load else ""
        link.transport.write(
            write_answer(
                action.status,
                [(LOAD, report)] if report else [],
                report.encode() if link.busy[0] == "/load" else b"",
            )
        )
        self._answered(link, self.clock())

    def _answered(self, link: _Link, now: int) -> None:
        link.busy, link.idle_since = None, now
        if link.last:
            link.transport.close()
        elif link.line:
            came_at, message = link.line.popleft()
            self._loop.call_soon(self._take, link, message, now - came_at)

    def _spoil(self, link: _Link, answer: SpoiltAnswer) -> None:
        link.transport.write(answer.data)
        if answer.cuts:
            link.transport.close()
        elif answer.piece:
            self._keep_coming(link, answer.piece)

    def _keep_coming(self, link: _Link, piece: bytes) -> None:
        if link.number not in self._links or not self.model.alive:
            return
        if link.writable and not self.model.paused:
            link.transport.write(piece)
        self._loop.call_later(PIECE_S, self._keep_coming, link, piece)


def _is_probe(message: Message) -> bool:
    return message.method == "GET" and message.target in ("/healthz", "/load")


def _time_left(text: str | None) -> int:
    """Microseconds; what cannot be read sets no limit."""
    try:
        left = float(text or "nan")
    except ValueError:
        return NO_LIMIT_US
    return int(left * 1e6) if 0 <= left * 1e6 < NO_LIMIT_US else NO_LIMIT_US


def _report(load: Load) -> str:
    return f"eps={load.eps:g},queue={load.queue:g}"
