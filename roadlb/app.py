"""Wires the parts of one real balancer together, and ends it on a signal."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from .admin.report import report
from .clock import Clock, monotonic_us, unix_us
from .config import Config, ConfigError
from .counters import Counters
from .engine import DEFAULT_RETRY_AFTER_US, Engine
from .lifecycle.handover import Handover, Held
from .lifecycle.lifecycle import (
    LINGER_US,
    CloseIdle,
    CloseUnfinished,
    CloseAfterAnswers,
    Event,
    GiveUp,
    Leave,
    Lifecycle,
    RefuseNew,
    StopListening,
    Wake,
)
from .lifecycle.parts import Part, Parts
from .lifecycle.succession import Succession
from .log import fields
from .net.server_connections import ServerConnections
from .net.discovery import ServerDiscovery
from .net.sockets import Bind, listening_socket
from .overload.memory_budget import MemoryBudget
from .overload.readings import cpu_used_us, memory_bytes
from .policy.interface import Settings
from .policy.logic import Balancer
from .wheel import TimerWheel
from .wiring.optional import (
    AgreedConfiguration,
    PeerMembership,
    ProcessCount,
    ProcessHandover,
    SharedState,
)
from .wiring.standard import (
    AdminListener,
    BackgroundTask,
    ClientListener,
    ClientSide,
    KnownServerList,
    ServerSide,
)

if TYPE_CHECKING:
    from .admin.door import Door
    from .following.following import Following
    from .net.frontend import Frontend
    from .net.peers import Peers
    from .net.sharing import Sharing
    from .net.sockets import Listener
    from .own_load import OwnLoad

logger = logging.getLogger(__name__)

GC_THRESHOLD = 5_000, 10, 10
PART_LEAST = 4  # beside another process, at least this part of each limit
BYTES_PER_MB = 1_000_000  # of `limits.memory_mb`, whose unit the pages do not say: the smaller one
OWN_SOCKETS = 20  # log, listeners, loop and its wake-ups, discovery: counted in a running process
LONGEST_US = 3_000_000  # of deadlines, as far as the platform waits for them after SIGTERM


class App:
    """One balancer: `await start()`, then `await stop()`.  Signals are the caller's, see `run`.

    It takes time from `clock` (monotonic) and `wall` (Unix) alone, its own CPU time from `cpu_us`, all in
    microseconds, and dials through the running loop alone, so that it runs on a simulated one as well.
    `bind` makes the sockets that listen; without it the running loop does that too.
    """

    # Made as their parts start.
    own_load: OwnLoad
    frontend: Frontend
    door: Door
    listener: Listener

    def __init__(
        self,
        config: Config,
        clock: Clock = monotonic_us,
        wall: Clock = unix_us,
        cpu_us: Clock = cpu_used_us,
        bind: Bind | None = None,
    ) -> None:
        self.config, self.counters, self.clock, self.wall = config, Counters(), clock, wall
        self.settings = config.settings  # those that hold now
        self.cpu_us, self.bind = cpu_us, bind
        self.succession: Succession | None = None
        self.following: Following | None = None
        self.peers: Peers | None = None
        self.sharing: Sharing | None = None
        self.twins, self.memory_beside = 1, 0
        self._most_clients = config.client_sockets

    async def start(self) -> None:
        config, counters, clock = self.config, self.counters, self.clock
        self.wheel = TimerWheel(clock)
        self.memory_budget = MemoryBudget(int(config.memory_mb * BYTES_PER_MB), memory_bytes())
        self.engine = Engine(
            Balancer(config.settings, config.seed),
            counters,
            clock,
            self.wheel,
            config.max_open,
            [c.name for c in config.settings.classes],
            min(DEFAULT_RETRY_AFTER_US, config.settings.max_retry_after_us),
            self.memory_budget,
        )
        self.server_connections = ServerConnections(
            config, self.engine, counters, clock, self.wheel, self.memory_budget
        )
        self.engine.executor = self.server_connections
        self.discovery = ServerDiscovery(
            config.discovery,
            config.zones,
            config.kinds,
            self.engine,
            self.server_connections,
            counters,
            clock,
            self.wall,
            config.seed,
        )
        self.lifecycle = Lifecycle(min(LONGEST_US, int(config.longest_s * 1e6)), config.socket_fd is not None)
        self._leave = asyncio.Event()
        self._leave_by = Leave(0, 0)
        self._accepted: asyncio.Task[None] | None = None  # what waited when the listener was closed
        self._refusing = False
        self.parts = Parts(self._parts())
        await self.parts.start()
        self.memory_budget.set_process_bytes(memory_bytes())
        self.parts.serving()
        self._life(Event.STARTED)
        logger.info("listening", extra=fields(name=config.name, address=config.listen))

    def _parts(self) -> list[Part]:
        """In the order in which they start; what is not configured is neither in it nor loaded."""
        config, merging = self.config, None
        parts: list[Part] = [ServerSide(self)]
        if config.agreement and config.peers and config.peers.share:
            from .net.merging import Merging

            merging = Merging(self.clock, self.engine.update_shared_state)
            parts.append(ProcessCount(merging.beside))
        followed = (
            [
                AgreedConfiguration(
                    self, config.agreement, merging.versions if merging else self.engine.update_shared_state
                )
            ]
            if config.agreement
            else []
        )
        known = config.known
        if config.shared_dir and (succession := self._succession(config.shared_dir)):
            self.succession = succession
            known = succession.inherited(str(config.discovery), known)
            parts.append(ProcessHandover(self, succession))
        parts += [
            KnownServerList(self, known),
            *followed,
            BackgroundTask(self.discovery.run),
            ClientSide(self),
            AdminListener(self),
            ClientListener(self),
        ]
        if config.peers:
            parts.append(PeerMembership(self, config.peers))
            if config.peers.share:
                parts.append(SharedState(self, merging))
        return parts

    def _succession(self, directory: str) -> Succession | None:
        """None where the directory cannot be used: to serve uncounted is better than not to."""
        try:
            return Succession(Path(directory), self.counters, self._held, self._handover, self._beside)
        except OSError as e:
            self.counters.add("handover.impossible")
            logger.error("no hand-over", extra=fields(key="TMPDIR", directory=directory, error=e))
            return None

    def changed(self, settings: Settings) -> None:
        """These hold from now on; requests that are open keep their deadlines."""
        self.settings = settings
        self.engine.change_settings(settings)
        longest = max(c.deadline_us for c in settings.classes)
        self.lifecycle.longest_us = max(self.lifecycle.longest_us, min(LONGEST_US, longest))
        if hasattr(self, "frontend"):
            self.frontend.set_deadlines(settings)

    # The lifecycle

    def tell(self, event: Event) -> tuple[int, str]:
        """Out of service, or in service again: in effect when it returns."""
        self._life(event)
        return 200, self.lifecycle.state.value

    def _life(self, event: Event, late_us: int = 0) -> None:
        """Carry out what the lifecycle makes of an event."""
        before = self.lifecycle.state
        for action in self.lifecycle.handle(self.clock(), event, late_us):
            if isinstance(action, CloseAfterAnswers):
                self.frontend.draining = action.on
            elif isinstance(action, CloseIdle):
                self.frontend.close_idle(action.part)
            elif isinstance(action, CloseUnfinished):
                self.frontend.close_unfinished()
            elif isinstance(action, GiveUp):
                self.engine.give_up_all(action.came_after_us)
            elif isinstance(action, RefuseNew):
                self._refusing = action.on
                self._limit(self._most_clients)
            elif isinstance(action, StopListening):
                self.listener.close()
                self._accepted = asyncio.create_task(self.listener.wait_accepted())
            elif isinstance(action, Leave):
                self._leave_by = action
                self._leave.set()
            elif isinstance(action, Wake):
                self.wheel.call_at(action.at_us, self._life, Event.WAKE)
        if self.lifecycle.state is not before:
            self.parts.changed(self.lifecycle.state)
            logger.info("lifecycle", extra=fields(state=self.lifecycle.state.value, event=event.value))

    # Beside another process of this balancer

    def _held(self) -> Held:
        return Held(len(self.frontend.connections), len(self.server_connections.pool.open), memory_bytes())

    def _handover(self) -> Handover:
        discovery, known = self.discovery.held
        return Handover(discovery, known, self.lifecycle.is_out_of_service)

    def _limit(self, clients: int) -> None:
        """So many connections of clients there may be, and as many requests, unless each is refused now."""
        self._most_clients = clients
        self.frontend.set_max_connections(clients)
        self.engine.set_max_open(0 if self._refusing else min(self.config.max_open, clients))

    def _beside(self, others: list[Held]) -> None:
        """What others hold is not ours to hold: the limits are the sum's."""
        config = self.config
        clients = max(
            config.client_sockets // PART_LEAST, config.client_sockets - sum(o.clients for o in others)
        )
        self._limit(clients)
        self.server_connections.pool.limit(
            max(
                config.instance_sockets // PART_LEAST,
                config.instance_sockets - sum(o.instances for o in others),
            )
        )
        self.memory_beside = sum(o.memory for o in others)
        if self.twins != 1 + len(others):
            self.twins = 1 + len(others)
            self.engine.set_process_count(self.twins)
            self.memory_budget.set_process_count(self.twins)
            self.parts.beside(self.twins)
            logger.info("processes", extra=fields(count=self.twins))

    def read_memory(self) -> int:
        """The resident memory of this process and of those beside it, in bytes."""
        resident_bytes = memory_bytes()
        self.memory_budget.observe(resident_bytes)
        return resident_bytes + self.memory_beside

    def gauges(self) -> dict[str, int]:
        """What holds now, under the names that operators see."""
        servers = self.engine.view().servers
        return {
            "current": self.engine.requests_in_flight,
            "cluster_size": len(servers),
            "cluster_unhealthy": sum(s.ejected or not s.eligible for s in servers),
            **self.parts.gauges(),
        }

    def report(self) -> str:
        """The figures as operators fetch them."""
        return report(self.counters.all(), [c.name for c in self.config.settings.classes], self.gauges())

    def descriptors(self) -> int:
        """Sockets held: connections of clients and to instances, operators' calls, and the program's own."""
        connections = len(self.frontend.connections) + len(self.server_connections.pool.open)
        return connections + len(self.door.open) + OWN_SOCKETS

    def figures(self) -> dict[str, float]:
        """The last reading of the program's own load, and what its connections hold."""
        return {
            **self.own_load.figures(),
            "memory.held_bytes": self.memory_budget.held_bytes,
            "memory.allowed_bytes": self.memory_budget.allowed_bytes,
            "server.connections": len(self.server_connections.pool.open),
            **self.frontend.figures(),
        }

    def tighten(self, on: bool) -> None:
        logger.info("resources short" if on else "resources free", extra=fields(**self.figures()))
        self.frontend.is_short_of_resources = on
        self.server_connections.pool.is_short_of_resources = on

    def print_counters(self, reason: str) -> None:
        """One log line with all counts and the last reading of the program's own load."""
        self.counters.print(reason, **self.figures(), **self.gauges())

    @property
    def port(self) -> int:
        """The port listened on, where the configuration leaves the choice to the kernel."""
        return self.listener.port

    def reconfigure(self, read: Callable[[], Config]) -> None:
        """Read the configuration again; of what it says, a running balancer follows `discovery`.

        A faulty one is logged, and what held before goes on holding.
        """
        try:
            config = read()
        except ConfigError as e:
            self.counters.add("config.faulty")
            logger.error("configuration kept", extra=fields(error=e))
            return
        self.counters.add("config.read")
        logger.info("configuration read", extra=fields(discovery=config.discovery))
        self.discovery.move(config.discovery)

    async def stop(self, linger_s: float = LINGER_US / 1e6) -> None:
        """Leave as the lifecycle has it, after accepting for a while if the listener is our own; then end."""
        self.lifecycle.linger_us = int(linger_s * 1e6)
        self._life(Event.LEAVE, self.own_load.late_us())
        await self._leave.wait()
        if self._accepted:
            await self._accepted
        await self.frontend.wait_until_closed(self._leave_by.by_us, self._leave_by.written_by_us)
        await self.parts.stop()

    async def abandon(self) -> None:
        """End a start that has not come to listen."""
        self.lifecycle.handle(self.clock(), Event.LEAVE)
        await self.parts.stop()


async def begun(app: App, ended: asyncio.Event) -> bool:
    """Start; False if it was told to end before it listened, which it then never does."""
    start, told = asyncio.create_task(app.start()), asyncio.create_task(ended.wait())
    await asyncio.wait((start, told), return_when=asyncio.FIRST_COMPLETED)
    told.cancel()
    if not start.done() and not hasattr(app, "listener"):
        start.cancel()
        with suppress(asyncio.CancelledError):
            await start
        return hasattr(app, "listener")
    await start
    return True


async def run(config: Config, read_again: Callable[[], Config] | None = None) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP has the configuration read again, SIGUSR1 prints the counters."""
    app, loop, ended = App(config, bind=listening_socket), asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGUSR1, app.print_counters, "signal")
    loop.add_signal_handler(signal.SIGHUP, app.reconfigure, read_again or (lambda: config))
    if not await begun(app, ended):
        logger.info("stopping")
        await app.abandon()
        return
    # What the imports left behind lives for ever; unfrozen, each full collection looked at all of it again
    # and held every request up for 13 to 15 ms.  The second one, over next to nothing, is what later ones are
    # measured by: against the first, garbage in cycles could grow by some MB before it was looked at.
    gc.collect()
    gc.freeze()
    gc.collect()
    gc.set_threshold(*GC_THRESHOLD)
    await ended.wait()
    logger.info("stopping")
    await app.stop()
    app.print_counters("exit")
