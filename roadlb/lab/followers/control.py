"""A control service of the simulated world: the agreement's issuer and its lines, without a store.

It proposes what the registry publishes, beside settings that do not change, and is there or away as a whole.
Messages take WAY_US each way and are never lost while it is there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ...agreement.events import (
    Book,
    Contents,
    From,
    FromFollower,
    IssuerAction,
    Keep,
    KeepRoll,
    Kept,
    Leading,
    Prepare,
    Propose,
    Pulse,
    RollKept,
    To,
)
from ...agreement.issuer import Issuer
from ...agreement.lease import Timing
from ...agreement.table import line_of
from ...fleet.model import Cluster
from ...fleet.platform import read_instance
from ...issuing.books import Books
from ...issuing.follower_exchange import (
    Action,
    Deliver,
    EndStream,
    FollowerExchange,
    FollowerSays,
    RequestReceived,
    SendResponse,
)
from ...xds.client.connection import StreamEnded
from ...xds.codec.discovery import read_delta_request, write_delta_response
from ..parties.discovery import Registry

WAY_US = 2_000
TURN_S = 0.05  # between looks at the registry, and pulses
CLUSTER = "grid"


class Stream:
    """One follower's call; `xds.client.connection.Stream` to it."""

    def __init__(self, control: Control) -> None:
        self._control, self.exchange = control, FollowerExchange()
        self._in: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.over = False

    async def read(self) -> bytes:
        data = None if self.over else await self._in.get()
        if data is None:
            raise StreamEnded("the control service is away")
        return data

    async def write(self, data: bytes) -> None:
        if self.over:
            raise StreamEnded("the control service is away")
        self._control.later(self._control.hear, self, data)

    async def close(self) -> None:
        self.over = True

    def put(self, data: bytes | None) -> None:
        self._in.put_nowait(data)


class Control:
    """`call` runs a function in the service's own name; `run` is its life, `away` its fault."""

    def __init__(
        self,
        registry: Registry,
        settings: Mapping[str, str],
        timing: Timing,
        floors: Mapping[str, str],
        clock: Callable[[], int],
        call: Callable[..., object],
    ) -> None:
        self._registry, self._clock, self._call = registry, clock, call
        # The platform's settings have some that this program does not read: they are in no version.
        self._settings = {path: text for path, text in settings.items() if line_of(path) is not None}
        self.issuer, self._books = Issuer(timing, floors), Books()
        self._streams: dict[str, Stream] = {}
        self._open: list[Stream] = []
        self.away, self._generation = False, -1

    async def run(self) -> None:
        self._do(self.issuer.handle(self._clock(), Leading(1, 1 << 60, Book())))
        self.issuer.ready_at = 0  # nobody led before: there are no leases to wait for
        while True:
            if not self.away:
                if self._registry.entries and self._registry.generation != self._generation:
                    self._generation = self._registry.generation
                    self._do(self.issuer.handle(self._clock(), Propose(self._contents(), "rehearsed")))
                self._do(self.issuer.handle(self._clock(), Pulse()))
            await asyncio.sleep(TURN_S)

    def go(self) -> None:
        """Away: all streams end, and none is taken."""
        self.away = True
        for stream in self._open:
            stream.over = True
            stream.put(None)
        self._open, self._streams = [], {}

    async def dial(self, at: str) -> Stream:
        if self.away:
            raise StreamEnded("no control service is there")
        stream = Stream(self)
        self._open.append(stream)
        return stream

    def later(self, function: Callable[..., None], *args: object) -> None:
        """In the service's own name, so that the fate of who sent it changes nothing."""
        self._call(asyncio.get_running_loop().call_later, WAY_US / 1e6, function, *args)

    def hear(self, stream: Stream, data: bytes) -> None:
        if not stream.over:
            self._carry(stream, stream.exchange.handle(RequestReceived(read_delta_request(data))))

    def _contents(self) -> Contents:
        entries = [entry.listed(next(iter(entry.at))) for entry in self._registry.entries.values()]
        cluster = Cluster(CLUSTER, tuple(read_instance(entry) for entry in entries))
        return self._books.canonical(Contents(self._settings, {CLUSTER: cluster}))

    def _carry(self, stream: Stream, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendResponse(response):
                    self.later(stream.put, write_delta_response(response))
                case FollowerSays(message):
                    self._streams[stream.exchange.name] = stream
                    self._said(stream.exchange.name, message)
                case EndStream():
                    stream.over = True
                    stream.put(None)

    def _said(self, follower: str, message: FromFollower) -> None:
        self._do(self.issuer.handle(self._clock(), From(follower, message)))

    def _do(self, actions: list[IssuerAction]) -> None:
        for action in actions:
            if isinstance(action, Keep) and action.book.force is not None:
                self._do(self.issuer.handle(self._clock(), Kept(action.book.force.id)))
            elif isinstance(action, KeepRoll):
                self._do(self.issuer.handle(self._clock(), RollKept(action.number)))
            elif isinstance(action, To) and (stream := self._streams.get(action.follower)) is not None:
                message = action.message
                offer = self._books.offer(message) if isinstance(message, Prepare) else message
                self._carry(stream, stream.exchange.handle(Deliver(offer)))
