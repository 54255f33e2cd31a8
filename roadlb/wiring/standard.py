"""The parts that every balancer has: servers, clients, operators, and what runs beside them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING

from ..admin.door import Door
from ..admin.sites import site_calls
from ..lifecycle.lifecycle import Event
from ..lifecycle.parts import Part
from ..net.frontend import Frontend
from ..net.sockets import serve
from ..overload.meter import Limits
from ..own_load import OwnLoad

if TYPE_CHECKING:
    from ..app import App

HEARD_S = 1.5  # for discovery's first word, before the known list alone is served from


class ServerSide(Part):
    """What reaches the instances, and the timers of all."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def stop(self) -> None:
        await self._app.server_connections.close()
        self._app.wheel.close()


class KnownServerList(Part):
    """The list of instances to begin with."""

    def __init__(self, app: App, known: Mapping[str, object]) -> None:
        self._app, self._known = app, known

    async def start(self) -> None:
        self._app.discovery.start_from(self._known)


class BackgroundTask(Part):
    """What runs beside all else, until it is told to end."""

    def __init__(self, run: Callable[[], Coroutine[None, None, None]]) -> None:
        self._run = run

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task


class ClientSide(BackgroundTask):
    """The clients' side, and what tells it how much this program can take."""

    def __init__(self, app: App) -> None:
        super().__init__(lambda: app.frontend.run_sweeps())
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
            app.read_memory,
        )
        app.frontend = Frontend(
            config,
            app.engine,
            app.counters,
            lambda: app.discovery.filled and app.lifecycle.healthy,
            app.clock,
            app.wheel,
            app.own_load.earliest_arrival_us,
            app.memory_budget,
            app.succession,
        )
        app.frontend.set_deadlines(app.settings)  # a store's version holds by now
        await super().start()

    async def stop(self) -> None:
        await super().stop()
        self._app.own_load.stop()


class AdminListener(Part):
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


class ClientListener(Part):
    """The address that clients come to; the lifecycle ends it."""

    def __init__(self, app: App) -> None:
        self._app = app

    async def start(self) -> None:
        app, config = self._app, self._app.config
        if config.socket_fd is not None:
            # The predecessor serves till we can: with the list as it is now, not as it was.
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARD_S):
                    await app.discovery.told.wait()
        if app.succession:
            await app.succession.seen()
            if app.succession.draining():
                app.tell(Event.OUT_OF_SERVICE)
        app.listener = await serve(
            app.frontend,
            config.listen,
            config.socket_fd,
            app.bind,
            app.frontend.free_descriptor,
            app.frontend.room,
            app.frontend.make_room,
        )
