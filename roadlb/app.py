"""Wires the parts of one real balancer together, and ends it on a signal."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import signal
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from .admin.door import Door
from .admin.report import report
from .admin.sites import site_calls
from .clock import Clock, monotonic_us, unix_us
from .config import Agreement, Config, ConfigError, PeersConfig
from .counters import Counters
from .engine import Engine
from .lifecycle.handover import Handover, Held
from .lifecycle.lifecycle import (
    LINGER_US,
    CloseIdle,
    CloseUnfinished,
    Ending,
    Event,
    GiveUp,
    Leave,
    Lifecycle,
    RefuseNew,
    State,
    StopListening,
    Wake,
)
from .lifecycle.parts import Calls, Part, Parts
from .lifecycle.succession import Succession
from .log import fields
from .net.http import HOLD, HOLD_TIGHT
from .net.instances import Instances
from .net.name_table import NameTable
from .net.service_client import ServiceClient
from .net.sockets import Bind, Listener, listening, serve
from .overload.meter import Limits
from .overload.readings import cpu_used_us, memory_bytes
from .own_load import OwnLoad
from .policy.interface import Heard, Settings
from .policy.logic import Balancer
from .wheel import Wheel

if TYPE_CHECKING:
    from .following.following import Following
    from .net.merging import Merging
    from .net.peers import Peers
    from .net.sharing import Sharing

logger = logging.getLogger(__name__)

GC_THRESHOLD = 5_000, 10, 10
HEARD_S = 1.5  # for discovery's first word, before the known list alone is served from
PART_LEAST = 4  # beside another process, at least this part of each limit
OWN_SOCKETS = 10  # log, listeners, loop and its wake-ups, discovery
LONGEST_US = 3_000_000  # of deadlines, as far as the platform waits for them after SIGTERM


class App:
    """One balancer: `await start()`, then `await stop()`.  Signals are the caller's, see `run`.

    It takes time from `clock` (monotonic) and `wall` (Unix) alone, its own CPU time from `cpu_us`, all in
    microseconds, and dials through the running loop alone, so that it runs on a simulated one as well.
    `bind` makes the sockets that listen; without it the running loop does that too.
    """

    # Made as their parts start.
    own_load: OwnLoad
    service_client: ServiceClient
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
        self.wheel = Wheel(clock)
        self.engine = Engine(
            Balancer(config.settings, config.seed),
            counters,
            clock,
            self.wheel,
            config.max_open,
            [c.name for c in config.settings.classes],
        )
        self.instances = Instances(config, self.engine, counters, clock, self.wheel)
        self.engine.executor = self.instances
        self.name_table = NameTable(
            config.discovery,
            config.zones,
            config.kinds,
            self.engine,
            self.instances,
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
        self.parts.serving()
        self._life(Event.STARTED)
        logger.info("listening", extra=fields(name=config.name, address=config.listen))

    def _parts(self) -> list[Part]:
        """In the order in which they start; what is not configured is neither in it nor loaded."""
        config, merging = self.config, None
        parts: list[Part] = [Outward(self)]
        if config.agreement and config.peers and config.peers.share:
            from .net.merging import Merging

            merging = Merging(self.clock, self.engine.heard)
            parts.append(Beside(merging.beside))
        followed = (
            [Followed(self, config.agreement, merging.versions if merging else self.engine.heard)]
            if config.agreement
            else []
        )
        known = config.known
        if config.shared_dir:
            self.succession = Succession(
                Path(config.shared_dir), self.counters, self._held, self._handover, self._beside
            )
            known = self.succession.inherited(str(config.discovery), known)
            parts.append(Succeeding(self, self.succession))
        parts += [
            Known(self, known),
            *followed,
            Running(self.name_table.run),
            Clients(self),
            Operators(self),
            Listening(self),
        ]
        if config.peers:
            parts.append(Among(self, config.peers))
            if config.peers.share:
                parts.append(Shared(self, merging))
        return parts

    def changed(self, settings: Settings) -> None:
        """These hold from now on; requests that are open keep their deadlines."""
        self.settings = settings
        self.engine.changed(settings)
        longest = max(c.deadline_us for c in settings.classes)
        self.lifecycle.longest_us = max(self.lifecycle.longest_us, min(LONGEST_US, longest))
        if hasattr(self, "service_client"):
            self.service_client.deadlines(settings)

    # The lifecycle

    def tell(self, event: Event) -> tuple[int, str]:
        """Out of service, or in service again: in effect when it returns."""
        self._life(event)
        return 200, self.lifecycle.state.value

    def _life(self, event: Event) -> None:
        """Carry out what the lifecycle makes of an event."""
        before = self.lifecycle.state
        for action in self.lifecycle.handle(self.clock(), event):
            if isinstance(action, Ending):
                self.service_client.draining = action.on
            elif isinstance(action, CloseIdle):
                self.service_client.close_idle(action.part)
            elif isinstance(action, CloseUnfinished):
                self.service_client.close_unfinished()
            elif isinstance(action, GiveUp):
                self.engine.finish(action.came_after_us)
            elif isinstance(action, RefuseNew):
                self._refusing = action.on
                self._limit(self._most_clients)
            elif isinstance(action, StopListening):
                self._accepted = asyncio.create_task(self.listener.take(self.listener.close()))
            elif isinstance(action, Leave):
                self._leave_by = action
                self._leave.set()
            elif isinstance(action, Wake):
                self.wheel.at(action.at_us, self._life, Event.WAKE)
        if self.lifecycle.state is not before:
            self.parts.changed(self.lifecycle.state)
            logger.info("lifecycle", extra=fields(state=self.lifecycle.state.value, event=event.value))

    # Beside another process of this balancer

    def _held(self) -> Held:
        return Held(len(self.service_client.connections), len(self.instances.pool.open), memory_bytes())

    def _handover(self) -> Handover:
        discovery, known = self.name_table.held
        return Handover(discovery, known, self.lifecycle.state is State.DRAINING)

    def _limit(self, clients: int) -> None:
        """So many connections of clients there may be, and as many requests, unless each is refused now."""
        self._most_clients = clients
        self.service_client.limit(clients)
        self.engine.limit(0 if self._refusing else min(self.config.max_open, clients))

    def _beside(self, others: list[Held]) -> None:
        """What others hold is not ours to hold: the limits are the sum's."""
        config = self.config
        clients = max(
            config.client_sockets // PART_LEAST, config.client_sockets - sum(o.clients for o in others)
        )
        self._limit(clients)
        self.instances.pool.limit(
            max(
                config.instance_sockets // PART_LEAST,
                config.instance_sockets - sum(o.instances for o in others),
            )
        )
        self.memory_beside = sum(o.memory for o in others)
        if self.twins != 1 + len(others):
            self.twins = 1 + len(others)
            self.engine.twins(self.twins)
            self.parts.beside(self.twins)
            logger.info("processes", extra=fields(count=self.twins))

    def gauges(self) -> dict[str, int]:
        """What holds now, under the names that operators see."""
        servers = self.engine.view().servers
        return {
            "current": self.engine.current,
            "cluster_size": len(servers),
            "cluster_unhealthy": sum(s.ejected or not s.eligible for s in servers),
            **self.parts.gauges(),
        }

    def report(self) -> str:
        """The figures as operators fetch them."""
        return report(self.counters.all(), [c.name for c in self.config.settings.classes], self.gauges())

    def descriptors(self) -> int:
        """Sockets held: connections of clients and to instances, and the few of the program itself."""
        return len(self.service_client.connections) + len(self.instances.pool.open) + OWN_SOCKETS

    def tighten(self, on: bool) -> None:
        self.service_client.tight = on
        self.instances.pool.hold = HOLD_TIGHT if on else HOLD

    def print_counters(self, reason: str) -> None:
        """One log line with all counts and the last reading of the program's own load."""
        self.counters.print(reason, **self.own_load.figures(), **self.gauges())

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
        self.name_table.move(config.discovery)

    async def stop(self, linger_s: float = LINGER_US / 1e6) -> None:
        """Leave as the lifecycle has it, after accepting for a while if the listener is our own; then end."""
        self.lifecycle.linger_us = int(linger_s * 1e6)
        self._life(Event.LEAVE)
        await self._leave.wait()
        if self._accepted:
            await self._accepted
        await self.service_client.all_gone(self._leave_by.by_us, self._leave_by.written_by_us)
        await self.parts.stop()

    async def abandon(self) -> None:
        """End a start that has not come to listen."""
        self.lifecycle.handle(self.clock(), Event.LEAVE)
        await self.parts.stop()


# The parts that every balancer has


class Outward(Part):
    """What reaches the instances, and the timers of all."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def stop(self) -> None:
        await self._app.instances.close()
        self._app.wheel.close()


class Known(Part):
    """The list of instances to begin with."""

    def __init__(self, app: App, known: Mapping[str, object]) -> None:
        self._app, self._known = app, known

    async def start(self) -> None:
        self._app.name_table.start_from(self._known)


class Running(Part):
    """What runs beside all else, until it is told to end."""

    def __init__(self, run: Callable[[], Coroutine[None, None, None]]) -> None:
        self._run = run

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task


class Clients(Running):
    """The clients' side, and what tells it how much this program can take."""

    def __init__(self, app: App) -> None:
        super().__init__(lambda: app.service_client.sweep_for_ever())
        self._app = app

    async def start(self) -> None:
        app, config = self._app, self._app.config
        app.own_load = OwnLoad(
            app.clock,
            app.engine,
            Limits(config.cores, config.memory_mb, config.sockets),
            min(c.aim_us for c in config.settings.classes),
            app.descriptors,
            app.tighten,
            app.cpu_us,
            lambda: memory_bytes() + app.memory_beside,
        )
        app.service_client = ServiceClient(
            config,
            app.engine,
            app.counters,
            lambda: app.name_table.filled and app.lifecycle.healthy,
            app.clock,
            app.wheel,
            app.own_load.came_us,
        )
        app.service_client.deadlines(app.settings)  # a store's version holds by now
        await super().start()

    async def stop(self) -> None:
        await super().stop()
        self._app.own_load.stop()


class Operators(Part):
    """The operators' second address."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def start(self) -> None:
        app = self._app
        app.door = Door(
            {
                ("GET", "/control/ready"): lambda: (
                    (200, "yes") if app.lifecycle.takes_clients else (503, "no")
                ),
                ("GET", "/control/counters"): lambda: (200, app.report()),
                ("PUT", "/control/out-of-service"): lambda: app.tell(Event.OUT_OF_SERVICE),
                ("PUT", "/control/in-service"): lambda: app.tell(Event.IN_SERVICE),
                **app.parts.calls(),
                **site_calls(app.engine, app.config.zones, app.clock),
            },
            app.counters,
        )
        if app.config.admin:
            await app.door.listen(app.config.admin, app.bind)

    async def stop(self) -> None:
        await self._app.door.close()


class Listening(Part):
    """The address that clients come to; the lifecycle ends it."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def start(self) -> None:
        app, config = self._app, self._app.config
        if config.socket_fd is not None:
            # The predecessor serves till we can: with the list as it is now, not as it was.
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARD_S):
                    await app.name_table.told.wait()
        if app.succession:
            await app.succession.seen()
            if app.succession.draining():
                app.tell(Event.OUT_OF_SERVICE)
        app.listener = await serve(app.service_client, config.listen, config.socket_fd, app.bind)


# The parts that are configured


class Succeeding(Part):
    """What a successor takes over, and what others of this balancer hold."""

    def __init__(self, app: App, succession: Succession) -> None:
        self._app, self._succession = app, succession
        self._serving = False  # until then what is written is the predecessor's

    def serving(self) -> None:
        self._serving = True
        self._app.name_table.on_list = self._succession.write_soon
        self._succession.begin()

    def changed(self, state: State) -> None:
        if state is State.LEAVING:
            self._succession.leave()
        elif self._serving:
            self._succession.write_now()

    async def stop(self) -> None:
        self._succession.end()


class Beside(Part):
    """One who only hears how many processes are this balancer."""

    def __init__(self, call: Callable[[int], None]) -> None:
        self._call = call

    def beside(self, count: int) -> None:
        self._call(count)


class Followed(Part):
    """Versions of agreed settings and lists; what it remembers is read as it is made."""

    def __init__(self, app: App, told: Agreement, hear: Callable[[Heard], None]) -> None:
        try:
            from .following.following import Following
            from .xds.grpc.dial import dial
        except ImportError as e:
            raise ConfigError(f"agreement: needs the extra `control`: {e}") from None
        from .store.disk import Directory

        engine, config = app.engine, app.config

        def lapse_at(us: int) -> None:
            engine.lapse_us = us

        try:
            disk = Directory(Path(told.store)) if told.store else None
        except OSError as e:
            raise ConfigError(f"agreement.store: {told.store} cannot be had: {e.strerror}") from None
        self._following = app.following = Following(
            told,
            config.name,
            config.seed,
            app.clock,
            app.wall,
            app.counters,
            app.name_table.lead,
            hear,
            lapse_at,
            dial,
            disk,
            disk,
            app.changed,
        )
        self._following.load()
        engine.lapsed, app.name_table.drained = self._following.lapsed, self._following.drained

    async def start(self) -> None:
        self._following.start()

    def beside(self, count: int) -> None:
        self._following.twins(count)

    def gauges(self) -> Mapping[str, int]:
        return self._following.gauges()

    async def stop(self) -> None:
        await self._following.stop()


class Among(Part):
    """The other balancers."""

    def __init__(self, app: App, told: PeersConfig) -> None:
        from .net.peers import Peers

        self._app, config = app, app.config
        self._peers = app.peers = Peers(
            config.name,
            config.hall,
            told,
            app.counters,
            app.clock,
            app.wall,
            config.seed,
            own_socket=app.bind is not None,
        )

    async def start(self) -> None:
        await self._peers.start()

    def changed(self, state: State) -> None:
        if state is State.LEAVING:
            self._peers.stop(farewell=self._app.twins == 1)  # a successor takes the name up

    def calls(self) -> Calls:
        return {("GET", "/control/peers"): lambda: (200, json.dumps(self._peers.report()))}

    async def stop(self) -> None:
        self._peers.stop()


class Shared(Part):
    """What is decided by the word of the other balancers."""

    def __init__(self, app: App, merging: Merging | None) -> None:
        from .net.sharing import Sharing

        assert app.peers
        self._sharing = app.sharing = Sharing(
            app.config,
            app.peers,
            app.engine,
            app.counters,
            app.clock,
            merging.shares if merging else lambda instances, heard: app.engine.heard(heard),
            app.name_table.names,
        )
        if merging:
            merging.agree = self._sharing.agreed

    async def start(self) -> None:
        self._sharing.start()

    def beside(self, count: int) -> None:
        self._sharing.beside(count)

    def changed(self, state: State) -> None:
        if state is State.LEAVING:
            self._sharing.stop()

    async def stop(self) -> None:
        self._sharing.stop()


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
    app, loop, ended = App(config, bind=listening), asyncio.get_running_loop(), asyncio.Event()
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
