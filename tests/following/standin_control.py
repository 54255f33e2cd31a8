"""A control service for tests: the agreement's issuer behind incremental ADS over gRPC, with hands on it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from roadlb.agreement.events import (
    Ack,
    Ask,
    Book,
    Contents,
    From,
    InForce,
    IssuerAction,
    Keep,
    KeepRoll,
    Kept,
    Leading,
    Lease,
    Prepare,
    Propose,
    Pulse,
    RollKept,
    To,
    Version,
    VersionId,
    Withdrawn,
)
from roadlb.agreement.issuer import Issuer
from roadlb.agreement.lease import Timing
from roadlb.clock import monotonic_us
from roadlb.xds.codec.discovery import read_delta_request, write_delta_response
from roadlb.xds.codec.versions import (
    FORCE,
    LEASES,
    PARTS,
    PREPARED,
    STRUCT,
    WITHDRAWN,
    VersionWriter,
    ask_name,
    read_answer,
    read_ask,
    write_force,
    write_lease,
    write_prepared,
    write_withdrawn,
)
from roadlb.xds.grpc.transport import ADS, Context, listen, next_message, server
from roadlb.xds.messages import DeltaRequest, DeltaResponse
from roadlb.xds.resources import Resource, digest_of


class Session:
    """One follower's stream: what it has, and what is to be sent, one response after the other."""

    def __init__(self, control: Control, context: Context) -> None:
        self.control, self.context, self.name = control, context, ""
        self.has: dict[tuple[str, str], str] = {}
        self.nonces = 0
        self.flights: dict[str, VersionId] = {}
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()  # gRPC takes one write at a time

    def send(self, type_url: str, resources: list[Resource], removed: tuple[str, ...] = ()) -> str:
        self.nonces += 1
        response = DeltaResponse(type_url, "", str(self.nonces), tuple(resources), removed)
        self.queue.put_nowait(write_delta_response(response))
        return str(self.nonces)

    async def write(self) -> None:
        """Until the stream is gone; what is sent then is lost with it."""
        with suppress(Exception):
            while True:
                await self.context.write(await self.queue.get())

    def prepare(self, message: Prepare) -> None:
        parts = self.control.writer.write(message.version.contents)
        generation = message.version.id.number
        for type_url in (PARTS, STRUCT):
            made = [
                Resource.make(*key, body, generation) for key, body in parts.items() if key[0] == type_url
            ]
            new = [
                one
                for one in made
                if digest_of(self.has.get((type_url, one.name), "")) != digest_of(one.version)
            ]
            gone = (
                ()
                if type_url == STRUCT
                else tuple(name for url, name in self.has if url == PARTS and (url, name) not in parts)
            )
            for one in new:
                self.has[type_url, one.name] = one.version
            for name in gone:
                del self.has[PARTS, name]
            if new or gone:
                self.send(type_url, new, gone)
        told = Resource.make(STRUCT, PREPARED, write_prepared(message, parts), generation)
        self.flights[self.send(STRUCT, [told])] = message.version.id

    def hear(self, request: DeltaRequest) -> None:
        if request.node is not None:
            self.name = request.node.id
            self.control.sessions[self.name] = self
        for name, version in request.initial_resource_versions.items():
            self.has.setdefault((request.type_url, name), version)
        flight = self.flights.pop(request.response_nonce, None)
        if request.error_detail is not None:
            self.control.nacks.append((self.name, request.error_detail.message))
        if flight is not None:
            answer = (
                read_answer(flight, request.error_detail) if request.error_detail is not None else Ack(flight)
            )
            if answer is not None:
                self.control.do(self.control.issuer.handle(monotonic_us(), From(self.name, answer)))
        for name in request.resource_names_subscribe if request.type_url == LEASES else ():
            ask = read_ask(name)
            self.control.asks.append((self.name, ask))
            self.control.do(self.control.issuer.handle(monotonic_us(), From(self.name, ask)), ask)


class Control:
    """`await start()`, `lead`, `propose`; `nacks` and `asks` are the records to judge by."""

    def __init__(self, timing: Timing) -> None:
        self.issuer, self.writer = Issuer(timing), VersionWriter()
        self.sessions: dict[str, Session] = {}
        self.nacks: list[tuple[str, str]] = []
        self.asks: list[tuple[str, Ask]] = []
        self.mute = self.closed = False  # says nothing; ends each stream at once
        self.port = 0
        self._server: Any = None

    async def start(self) -> None:
        self._server = server({(ADS, "DeltaAggregatedResources"): self._serve}, {})
        self.port = listen(self._server, "127.0.0.1", 0)
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop(0)

    @property
    def at(self) -> str:
        return f"127.0.0.1:{self.port}"

    def lead(self, epoch: int, book: Book | None = None) -> None:
        self.do(self.issuer.handle(monotonic_us(), Leading(epoch, 1 << 60, book or Book())))
        self.issuer.ready_at = 0  # nobody led before: there are no leases to wait for

    def propose(self, contents: Contents, meant: str = "") -> None:
        self.do(self.issuer.handle(monotonic_us(), Propose(contents, meant)))

    def pulse(self) -> None:
        self.do(self.issuer.handle(monotonic_us(), Pulse()))

    def tell(self, name: str, version: Version, epoch: int) -> None:
        """A version past the issuer: one that it would not make."""
        self.sessions[name].prepare(Prepare(epoch, version))

    async def _serve(self, context: Context) -> None:
        if self.closed:
            return
        session = Session(self, context)
        writing = asyncio.create_task(session.write())
        try:
            while (data := await next_message(context)) is not None:
                if not self.mute:
                    session.hear(read_delta_request(data))
        finally:
            writing.cancel()

    def do(self, actions: list[IssuerAction], ask: Ask | None = None) -> None:
        answered = False
        for action in actions:
            if isinstance(action, Keep) and action.book.force is not None:
                self.do(self.issuer.handle(monotonic_us(), Kept(action.book.force.id)))
            elif isinstance(action, KeepRoll):
                self.do(self.issuer.handle(monotonic_us(), RollKept(action.number)))
            if not isinstance(action, To) or action.follower not in self.sessions:
                continue
            session, message = self.sessions[action.follower], action.message
            match message:
                case Prepare():
                    session.prepare(message)
                case InForce():
                    told = Resource.make(STRUCT, FORCE, write_force(message), message.id.number)
                    session.send(STRUCT, [told])
                case Withdrawn():
                    told = Resource.make(STRUCT, WITHDRAWN, write_withdrawn(message), message.id.number)
                    session.send(STRUCT, [told])
                case Lease() if ask is not None:
                    answered = True
                    lease = Resource.make(
                        LEASES, ask_name(ask), write_lease(message), message.id.number, message.lease_us
                    )
                    session.send(LEASES, [lease])
        if ask is not None and not answered:
            session = next(s for s in self.sessions.values() if self.asks[-1][0] == s.name)
            session.send(LEASES, [], (ask_name(ask),))
