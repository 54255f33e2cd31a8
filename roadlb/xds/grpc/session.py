"""One aggregated stream over gRPC: the stream machine, what it is asked, and what it sends.

A session holds at most one response that waits for the transport: the machine gives the next one only after
`Ready`, and then in the newest state.  So a proxy that reads slowly, or not at all, costs one response.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ...clock import Clock
from ...log import fields
from ..codec.discovery import read_delta_request, read_request
from ..codec.protos import CodecError
from ..delta import DeltaStream
from ..messages import (
    Acked,
    Action,
    Asked,
    Closed,
    End,
    ErrorDetail,
    Event,
    Hold,
    Nacked,
    Published,
    Ready,
    Request,
    Respond,
    Response,
    Tick,
)
from ..resources import Snapshot
from ..sotw import SotwStream
from ..stream import version_of
from .encoding import Encoder
from .transport import Context, next_message, refuse

logger = logging.getLogger(__name__)

REASON_CHARS = 1_000  # of a refusal that are kept


class SessionOwner(Protocol):
    """Keeps the sessions: is told of each, and pushes snapshots into them.

    `number` is that of a response, counted on its stream.
    """

    def subscriber_identified(self, session: Session) -> str:
        """The first request has come; why the stream cannot be served, or an empty string."""

    def newer_generation_seen(self, session: Session) -> None:
        """The subscriber has shown a newer generation than before (`session.floor`)."""

    def response_sent(self, session: Session, type_url: str, number: int, generation: int) -> None: ...

    def response_accepted(self, session: Session, type_url: str, number: int) -> None: ...

    def response_rejected(self, session: Session, type_url: str, number: int, error: ErrorDetail) -> None: ...

    def session_closed(self, session: Session) -> None:
        """The stream of an identified subscriber has ended."""


class Session:
    """One stream.  `name`: the subscriber's, as its owner has it."""

    def __init__(
        self,
        number: int,
        machine: SotwStream | DeltaStream,
        owner: SessionOwner,
        encoder: Encoder,
        clock: Clock,
        peer: str = "",
    ) -> None:
        self.number, self.machine, self.peer, self.name = number, machine, peer, ""
        self.floor = 0
        self.bytes_sent = self.responses = 0
        self.versions: dict[str, tuple[str, str, str]] = {}  # type: sent, accepted, why refused
        self.holding: dict[str, str] = {}  # type ("": all): why nothing is sent
        self._owner, self._encoder, self._clock = owner, encoder, clock
        self._numbers: dict[str, int] = {}  # type: of the response in flight
        self._count, self._known = 0, False
        self._out: Response | None = None
        self._wake = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._ending = ""

    @property
    def incremental(self) -> bool:
        return isinstance(self.machine, DeltaStream)

    # Events

    def receive(self, data: bytes) -> None:
        """A request has come."""
        request: Request
        try:
            request = read_delta_request(data) if self.incremental else read_request(data)
        except CodecError as e:
            self.end(str(e))
            return
        self._handle(Asked(request))
        if self.machine.node is not None and not self._known and not self._ending:
            self._known, self.floor = True, self.machine.floor
            if reason := self._owner.subscriber_identified(self):
                self.end(reason)
        elif self.machine.floor > self.floor:
            self.floor = self.machine.floor
            self._owner.newer_generation_seen(self)

    def push(self, snapshot: Snapshot) -> None:
        """This is the newest."""
        if snapshot is not self.machine.snapshot:
            self._handle(Published(snapshot))
            if self.machine.quiet:  # nothing in it is new to this subscriber
                self._count += 1
                for type_url in self.versions:
                    self._owner.response_sent(self, type_url, self._count, snapshot.generation)
                    self._owner.response_accepted(self, type_url, self._count)

    def end(self, reason: str) -> None:
        """Close the stream; the subscriber is told why."""
        self._ending = self._ending or reason

    def _handle(self, event: Event) -> None:
        actions = self.machine.handle(self._clock(), event)
        for action in actions:
            self._do(action)
        self._set_timer()

    def _do(self, action: Action) -> None:
        match action:
            case Respond(response):
                type_url = response.type_url
                self._count += 1
                self._numbers[type_url] = self._count
                _, accepted, why = self.versions.get(type_url, ("", "", ""))
                self.versions[type_url] = version_of(response), accepted, why
                self.holding.clear()
                self._out = response
                self._wake.set()
                snapshot = self.machine.snapshot
                self._owner.response_sent(self, type_url, self._count, snapshot.generation if snapshot else 0)
            case Acked(type_url, _, version):
                sent = self.versions.get(type_url, ("", "", ""))[0]
                self.versions[type_url] = sent, version, ""
                self._owner.response_accepted(self, type_url, self._numbers[type_url])
            case Nacked(type_url, _, version, accepted, detail):
                self.versions[type_url] = version, accepted, detail.message[:REASON_CHARS]
                self._owner.response_rejected(self, type_url, self._numbers[type_url], detail)
            case Hold(why, type_url):
                self.holding[type_url] = why
            case End(reason):
                self.end(reason)

    def _set_timer(self) -> None:
        """One timer for the machine's next tick."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.machine.wake_at is not None:
            wait = max(0, self.machine.wake_at - self._clock()) / 1e6
            self._timer = asyncio.get_running_loop().call_later(wait, self._handle, Tick())

    # The transport

    async def serve(self, context: Context, first: bytes | None = None) -> None:
        """The stream's life, from the first request to its end; `first`: that request, if it was read."""
        writer = asyncio.create_task(self._write(context))
        try:
            while not self._ending:
                data, first = first if first is not None else await next_message(context), None
                if data is None:
                    break
                self.receive(data)
        finally:
            writer.cancel()
            self._handle(Closed())
            if self._known:
                self._owner.session_closed(self)
        if self._ending:
            logger.warning(
                "stream ended", extra=fields(subscriber=self.name, peer=self.peer, reason=self._ending)
            )
            await refuse(context, self._ending)

    async def _write(self, context: Context) -> None:
        """Sends what the machine gives, one after the other, as fast as the subscriber takes it."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            response, self._out = self._out, None
            assert response is not None
            data = self._encoder.encode(response)
            await context.write(data)
            self.responses += 1
            self.bytes_sent += len(data)
            self._handle(Ready())
