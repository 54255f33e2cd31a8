"""The parts that are configured: hand-over, agreed versions, other balancers, and the state shared with them.

What a part needs beyond the balancer itself is loaded as the part is made.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from ..config import Agreement, ConfigError, PeersConfig
from ..lifecycle.lifecycle import State
from ..lifecycle.parts import Calls, Part
from ..policy.interface import SharedStateUpdate

if TYPE_CHECKING:
    from ..app import App
    from ..lifecycle.succession import Succession
    from ..net.merging import Merging


class ProcessHandover(Part):
    """What a successor takes over, and what others of this balancer hold."""

    def __init__(self, app: App, succession: Succession) -> None:
        self._app, self._succession = app, succession
        self._serving = False  # until then what is written is the predecessor's

    def serving(self) -> None:
        self._serving = True
        self._app.discovery.on_list = self._succession.write_soon
        self._succession.begin()

    def changed(self, state: State) -> None:
        if state is State.LEAVING:
            self._succession.leave()
        elif self._serving:
            self._succession.write_now()

    async def stop(self) -> None:
        self._succession.end()


class ProcessCount(Part):
    """One who only hears how many processes are this balancer."""

    def __init__(self, call: Callable[[int], None]) -> None:
        self._call = call

    def beside(self, count: int) -> None:
        self._call(count)


class AgreedConfiguration(Part):
    """Versions of agreed settings and lists; what it remembers is read as it is made."""

    def __init__(self, app: App, told: Agreement, hear: Callable[[SharedStateUpdate], None]) -> None:
        try:
            from ..following.following import Following
            from ..xds.grpc.dial import dial
        except ImportError as e:
            raise ConfigError(f"agreement: needs the extra `control`: {e}") from None
        from ..store.disk import Directory

        engine, config = app.engine, app.config

        def lapse_at(us: int) -> None:
            engine.lease_expires_us = us

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
            app.discovery.lead,
            hear,
            lapse_at,
            dial,
            disk,
            disk,
            app.changed,
        )
        self._following.load()
        engine.on_lease_expired, app.discovery.drained = self._following.lapsed, self._following.drained

    async def start(self) -> None:
        self._following.start()

    def beside(self, count: int) -> None:
        self._following.twins(count)

    def gauges(self) -> Mapping[str, int]:
        return self._following.gauges()

    async def stop(self) -> None:
        await self._following.stop()


class PeerMembership(Part):
    """The other balancers."""

    def __init__(self, app: App, told: PeersConfig) -> None:
        from ..net.peers import Peers

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


class SharedState(Part):
    """What is decided by the word of the other balancers."""

    def __init__(self, app: App, merging: Merging | None) -> None:
        from ..net.sharing import Sharing

        assert app.peers
        self._sharing = app.sharing = Sharing(
            app.config,
            app.peers,
            app.engine,
            app.counters,
            app.clock,
            merging.shares if merging else lambda instances, heard: app.engine.update_shared_state(heard),
            app.discovery.names,
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
