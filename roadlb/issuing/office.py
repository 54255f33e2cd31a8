"""Issuing on one of several control services: wires seat, issuer, the store's book, followers, orders.

Theory of operation.  All runs in one event loop.  The seat says whether we lead; the issuer then goes by the
book that is read under that epoch, and what it decides is written, guarded, before anybody is told that it is
in force.  Proposals are discovery's pictures with the settings of the newest version, a changed file, and
operators' orders; each passes the guard first.

A service that does not lead answers a follower's `Ask` with the newest version that the store holds, under
the epoch of whoever leads, and no lease: so what narrows comes to those that cannot reach the leader.  After
HOLD_S it ends the stream, so that the follower looks for the leader again.  So does one whose seat has lapsed
because the store does not answer, and which nobody is known to have followed: it goes on under its epoch with
what narrows, as the only one from whom a drain can come.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from ..agreement.events import (
    NOTHING,
    Ack,
    Ask,
    Book,
    Contents,
    Deposed,
    Exclude,
    Fenced,
    From,
    FromFollower,
    Include,
    InForce,
    IssuerAction,
    IssuerEvent,
    Keep,
    KeepRoll,
    Kept,
    Prepare,
    Propose,
    Pulse,
    Reported,
    StillLeading,
    To,
    Unkept,
    Version,
    VersionId,
    Word,
)
from ..agreement.events import Leading as NowLeading
from ..agreement.issuer import MOST_FOLLOWERS, Issuer
from ..agreement.roll import NAME_MOST
from ..clock import Clock
from ..control import leading
from ..control.settings import AgreementSettings
from ..etcd.client import Etcd
from ..etcd.model import Delete, Get, Pair, Put, StoreError
from ..fleet.guard import Guard, Offer, Refuse, Thresholds, Took
from ..fleet.model import Picture
from ..log import Limit, fields
from ..xds.codec.protos import CodecError
from ..xds.codec.versions import FEATURE
from ..xds.grpc.transport import Context
from ..xds.messages import DeltaRequest
from .books import Books
from .follower_stream import FollowerStream
from .history import ANSWERS, ORDERS, Order, OrderError, line_key, read_order
from .keys import Keys, pair_of
from .ledger import Ledger, newest
from .roll import ROLL
from .seat import Seat
from .settings_file import SettingsFile, bad_settings

logger = logging.getLogger(__name__)

HOLD_S = 1.0  # a stream at a service that does not lead
PULSES = 10  # in a lease
TOLD = (
    Word.PREPARED,
    Word.IN_FORCE,
    Word.REFUSED,
    Word.WITHDRAWN,
    Word.SUPERSEDED,
    Word.DECLINED,
    Word.LEADING,
    Word.DEPOSED,
)  # what becomes a line of history


class Office:
    """The agreement's part of one control service; `status_at`: where its page is, for commands."""

    def __init__(
        self,
        settings: AgreementSettings,
        clock: Clock,
        wall: Clock,
        status_at: Callable[[], str] = lambda: "",
    ) -> None:
        self.settings, self._clock, self._wall, self._status_at = settings, clock, wall, status_at
        self.timing, self.keys, self.books = settings.timing(), Keys(settings.prefix), Books()
        self.name = settings.name or socket.gethostname()
        self.issuer = Issuer(self.timing, settings.floors)
        self.store = Etcd(settings.store, settings.store_call_s)
        margin = round(settings.margin_s * 1e6)
        self.seat = Seat(
            self.store,
            self.keys,
            self._who,
            leading.Leading(settings.seat_s, margin),
            self._seat_said,
            self._seen,
            clock,
        )
        self.guard = Guard(Thresholds(), lambda *_: False, bad_settings)
        self.ledger = Ledger(
            self.keys, self.books, self.name, clock, wall, self._kept, lambda told: self._tell(told)
        )
        self.holder: dict[str, str] = {}  # who has the seat, as it said of itself
        self.streams: dict[str, FollowerStream] = {}  # the newest of each follower
        self._told_at: dict[str, tuple[VersionId, int]] = {}  # what each has acknowledged, since when
        self._picture: Picture | None = None
        self._texts: Mapping[str, str] | None = None  # the settings to propose with the next picture
        self._declined: Contents | None = None  # what the guard has refused last
        self._made: dict[VersionId, Version] = {}  # of those that we prepared, for their lines
        self._refused = NOTHING  # the last version that somebody refused
        self._file = SettingsFile(settings.settings)
        self._orders: dict[str, Pair] = {}  # as the store has them
        self._obeyed = set[str]()  # those of them that are done
        self._tasks: set[asyncio.Task[None]] = set()
        self._warnings = Limit(clock, 20)

    # Its life

    async def start(self) -> None:
        self._texts = self._file.read()
        for what in (
            self.seat.run(),
            self.ledger.run(self.seat),
            self._pulses(),
            self._file.watch(self._file_changed),
        ):
            self._spawn(what)

    async def stop(self) -> None:
        """The lease is given back, if the store answers."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.store.close()

    def _who(self) -> str:
        return json.dumps({"name": self.name, "status": self._status_at()})

    async def _pulses(self) -> None:
        while True:
            self._tell(Pulse())
            await asyncio.sleep(self.timing.lease_us / 1e6 / PULSES)

    # The seat

    def _seat_said(self, action: leading.Action) -> None:
        match action:
            case leading.Lead(epoch):
                self._spawn(self._begin(epoch))
            case leading.Extend(epoch, until_us):
                self._tell(StillLeading(epoch, until_us))
            case leading.StepDown(epoch, reason, known):
                logger.warning("no longer leads", extra=fields(epoch=epoch, reason=reason))
                if known:
                    self._tell(Deposed())
                # Else the store does not answer.  Nothing is granted any more, but drains still go out, until
                # another is seen on the seat.

    async def _begin(self, epoch: int) -> None:
        """Lead by the book, once it is read under this epoch."""
        while self.seat.leads() == epoch:
            try:
                read = await self.seat.write(
                    epoch, *(Get(self.keys[key]) for key in ("force", "prepared", ROLL))
                )
            except StoreError as e:
                self._warn("book not read", error=e)
                await asyncio.sleep(self.settings.store_call_s / 4)
                continue
            if not read.held or self.seat.leads() != epoch:
                return
            force, prepared = (self.ledger.version(pair_of(told)) for told in read.answers[:2])
            self.ledger.kept_force = force.id if force is not None else NOTHING
            # A store that went back has less than was seen to be in force.
            force = newest(force, self.ledger.book.force)
            self._lead(epoch, Book(force, prepared), self.ledger.roll(pair_of(read.answers[2])))
            return

    def _lead(self, epoch: int, book: Book, roll: frozenset[str]) -> None:
        until = self.seat.decider.sure_until
        held = newest(book.prepared, book.force)
        self._made, self._declined = {}, None
        if book.force is not None:
            self.guard.handle(self._clock(), Took(Picture(0, book.force.contents.clusters)))
        if held is not None:
            self._texts = held.contents.settings
        logger.info(
            "leads", extra=fields(epoch=epoch, force=book.force.id if book.force else "none", roll=len(roll))
        )
        self._tell(NowLeading(epoch, until, book, roll))
        if book.force is not None and book.force.id != self.ledger.kept_force:
            self._do([Keep(epoch, Book(book.force, book.prepared))])
        if self._picture is not None:
            self._put_forward(self._picture)
        self._obey_all()

    # The store

    def _seen(self, found: Mapping[str, Pair | None], whole: bool) -> None:
        self.ledger.seen(found, whole)
        if whole:
            self._orders.clear()
        for name, pair in found.items():
            if name.startswith(ORDERS):
                if pair is None:
                    self._orders.pop(name, None)
                    self._obeyed.discard(name)
                else:
                    self._orders[name] = pair
        if whole or "seat" in found:
            seat = found.get("seat")
            if (
                seat is not None
                and self.seat.leads() != self.issuer.epoch
                and seat.created != leading.created_of(self.issuer.epoch)
            ):
                self._tell(Deposed())
            try:
                self.holder = json.loads(seat.value) if seat is not None else {}
            except ValueError:
                self.holder = {}
        self._obey_all()

    def _kept(self, told: Kept | Unkept, book: Book) -> None:
        if isinstance(told, Kept) and book.force is not None:
            self.guard.handle(self._clock(), Took(Picture(self._generation, book.force.contents.clusters)))
        self._tell(told)

    # The issuer

    def _tell(self, event: IssuerEvent) -> None:
        self._do(self.issuer.handle(self._clock(), event))

    def _do(self, actions: list[IssuerAction]) -> None:
        for action in actions:
            match action:
                case To(follower, message):
                    if (stream := self.streams.get(follower)) is not None:
                        stream.send(self.books.offer(message) if isinstance(message, Prepare) else message)
                case Keep(_, book):
                    if book.prepared is not None:
                        self._made[book.prepared.id] = book.prepared
                        self._made = dict(list(self._made.items())[-8:])
                    self.ledger.keep(action)
                case KeepRoll():
                    self.ledger.enrol(action)
                case Reported():
                    self._report(action)

    def _report(self, told: Reported) -> None:
        if told.word is Word.UNKNOWN and self._picture is not None:
            # Prepared while the store did not answer, by a leader that is gone: ours must take its place.
            asyncio.get_running_loop().call_soon(self._put_forward, self._picture)
        grave = told.word in (Word.REFUSED, Word.APART, Word.ALONE, Word.DEPOSED, Word.UNKNOWN, Word.FULL)
        logger.log(
            logging.WARNING if grave else logging.INFO,
            told.word.value,
            extra=fields(version=told.id, follower=told.about or "-", text=told.text),
        )
        if told.word in TOLD and not (told.word is Word.DECLINED and told.id != NOTHING):
            version = self._made.get(told.id)
            if told.word is Word.REFUSED:
                if told.id == self._refused:
                    return  # by others too: one line is enough
                self._refused = told.id
            shown = version is not None and told.word in (Word.PREPARED, Word.REFUSED)
            text = f"{told.about}: {told.text}" if told.about else told.text
            self.ledger.add(
                self.issuer.epoch,
                told.word.value,
                told.id,
                text,
                record=self.books.write(version) if version and shown else b"",
            )

    # Proposals

    @property
    def _generation(self) -> int:
        return self._picture.generation if self._picture is not None else 0

    def pictured(self, picture: Picture) -> None:
        """Discovery has told a list."""
        self._picture = picture
        if self.issuer.leading:
            self._put_forward(picture)

    def _put_forward(self, picture: Picture) -> None:
        self._propose(Contents(self._texts or {}, picture.clusters), picture.generation)

    def _propose(self, contents: Contents, generation: int, meant: str = "", by: str = "") -> str:
        """Why it was not taken; empty if it was."""
        try:
            contents = self.books.canonical(contents)
        except CodecError as e:
            self._warn("cannot be said", error=e)
            return str(e)
        held = newest(self.issuer.prepared, self.issuer.force)
        unknown = held is None or self.issuer.unknown > held.id  # a follower has one that we do not know
        if not meant and (
            contents == self._declined
            or (
                held is not None and held.contents == contents and not unknown and self.issuer.pending is None
            )
        ):
            return "nothing changes"
        now = self._clock()
        (verdict,) = self.guard.handle(
            now, Offer("proposed", Picture(generation, contents.clusters), contents.settings, bool(meant))
        )
        if isinstance(verdict, Refuse):
            self._declined = contents
            number = self.ledger.add(
                self.issuer.epoch,
                Word.DECLINED.value,
                NOTHING,
                verdict.text,
                by,
                self.books.write(Version(NOTHING, contents)),
            )
            logger.warning(
                "not proposed", extra=fields(line=number, checks=",".join(verdict.checks), text=verdict.text)
            )
            return f"{verdict.text} (line {number})"
        self._declined = None
        actions = self.issuer.handle(now, Propose(contents, meant))
        self._do(actions)
        reason = next(
            (told.text for told in actions if isinstance(told, Reported) and told.word is Word.DECLINED), ""
        )
        if reason:
            self._declined = contents
        return reason

    # Settings

    def _file_changed(self, texts: Mapping[str, str]) -> None:
        if self.issuer.leading:
            self._take_settings(texts, "", "file")
        else:
            self._texts = texts  # for a store that holds no version yet

    def _take_settings(self, texts: Mapping[str, str], meant: str, by: str) -> str:
        before, self._texts = self._texts, texts
        held = newest(self.issuer.prepared, self.issuer.force)
        clusters = (
            self._picture.clusters
            if self._picture is not None
            else held.contents.clusters
            if held is not None
            else None
        )
        if clusters is None:
            return "discovery has told no list yet"
        reason = self._propose(Contents(texts, clusters), self._generation, meant, by)
        if reason:
            self._texts = before
        return reason

    # Operators' orders

    def _obey_all(self) -> None:
        if self.seat.leads() is not None and self.issuer.leading:
            for name, pair in self._orders.items():
                if name not in self._obeyed:
                    self._obeyed.add(name)
                    self._ordered(name, pair)

    def _ordered(self, name: str, pair: Pair) -> None:
        try:
            said = self._obey(read_order(pair.value))
        except OrderError as e:
            said = str(e)
        logger.info("order", extra=fields(order=name, answer=said or "done"))
        answer = Put(self.keys[ANSWERS + name.removeprefix(ORDERS)], said.encode(), pair.lease)
        self._spawn(self._answer(self.issuer.epoch, name, answer))

    async def _answer(self, epoch: int, name: str, answer: Put) -> None:
        try:
            await self.seat.write(epoch, answer, Delete(self.keys[name]))
        except StoreError as e:
            self._warn("answer not written", order=name, error=e)

    def _obey(self, order: Order) -> str:
        """Empty if it was carried out, else why not."""
        match order.do:
            case "exclude":
                self._tell(Exclude(order.follower))
                return ""
            case "include":
                self._tell(Include(order.follower))
                return ""
            case "propose":
                assert order.settings is not None
                return self._take_settings(order.settings, order.why, "operator")
        line = self.ledger.lines.get(line_key(order.line))
        if line is None or not line.record:
            raise OrderError(f"line {order.line} holds no version: `roadlb versions history` shows which do")
        try:
            contents = self.books.read(line.record).contents
        except CodecError as e:
            raise OrderError(str(e)) from None
        reason = self._propose(contents, self._generation, order.why or "accepted", "operator")
        if not reason:
            self._texts = contents.settings
        return reason

    # Followers

    @staticmethod
    def serves(request: DeltaRequest) -> bool:
        """Is this the first request of a follower, not of a proxy?"""
        return request.node is not None and FEATURE in request.node.client_features

    async def serve(self, context: Context, first: bytes) -> None:
        """A follower's stream."""
        stream = FollowerStream(context.peer(), self._follower_says)
        try:
            await stream.serve(context, first)
        finally:
            if self.streams.get(stream.name) is stream:
                del self.streams[stream.name]

    def _follower_says(self, stream: FollowerStream, message: FromFollower) -> None:
        if len(stream.name.encode(errors="surrogatepass")) > NAME_MOST:
            stream.end(f"node.id has more than {NAME_MOST} bytes, too many for the roll: shorten it")
            return
        if (before := self.streams.get(stream.name)) is not stream:
            self.streams[stream.name] = stream
            if before is not None:
                before.end("another stream of this follower has begun")
        told = message.told if isinstance(message, Ask) else message.id if isinstance(message, Ack) else None
        if told is not None and self._told_at.get(stream.name, (NOTHING, 0))[0] != told:
            self._told_at[stream.name] = told, self._clock()
            while len(self._told_at) > MOST_FOLLOWERS:
                del self._told_at[next(iter(self._told_at))]
        if isinstance(message, Ask | Fenced) and message.epoch > (self.seat.leads() or 0):
            self.seat.tell(leading.Overtaken(message.epoch))
        if self.issuer.leading:
            self._tell(From(stream.name, message))
        elif isinstance(message, Ask):
            self._stand_by(stream, message)
        if isinstance(message, Ask) and self.seat.leads() is None:
            asyncio.get_running_loop().call_later(HOLD_S, self._let_go, stream)

    def _stand_by(self, stream: FollowerStream, ask: Ask) -> None:
        """No lease here; what the store holds, and soon the end of the stream."""
        version, epoch = newest(self.ledger.book.prepared, self.ledger.book.force), self.seat.decider.holder
        if version is not None and epoch >= ask.epoch:
            if version.id > ask.told:
                stream.send(self.books.offer(Prepare(epoch, version)))
            elif self.ledger.book.force is not None:
                stream.send(InForce(epoch, self.ledger.book.force.id))

    def _let_go(self, stream: FollowerStream) -> None:
        if self.seat.leads() is None:
            stream.end(f"does not lead: {self.holder.get('name') or 'nobody'} does")

    # For operators

    def status(self) -> dict[str, object]:
        """As JSON's own types; times in seconds."""
        now, view, decider = self._clock(), self.issuer.view(self._clock()), self.seat.decider
        return {
            "name": self.name,
            "state": decider.state.value,
            "for_s": (now - decider.since) / 1e6,
            "leads": view.leads,
            "epoch": view.epoch,
            "holder": self.holder,
            "store": {
                "endpoint": self.store.endpoint,
                "error": self.seat.error,
                "heard_s_ago": (now - self.seat.heard_at) / 1e6 if self.seat.heard_at else None,
                "revision": self.seat.revision,
                "went_back": self.seat.went_back,
            },
            "issuer": self.issuer.state.value,
            "force": str(view.force),
            "prepared": str(view.prepared),
            "waits_s": view.waits_us / 1e6,
            "contradiction_s": self.settings.contradiction_s,
            "lease_s": self.timing.lease_us / 1e6,
            "followers": [
                {
                    "name": p.follower,
                    "acknowledged": str(p.acknowledged),
                    "force": str(p.force),
                    "lease_left_s": p.left_us / 1e6,
                    "silent_s": p.silent_us / 1e6,
                    "apart": p.apart,
                    "since_s": (now - self._told_at.get(p.follower, (NOTHING, now))[1]) / 1e6,
                    "excluded": p.excluded,
                    "refused": p.refused,
                    "heard": p.heard,
                    "connected": p.follower in self.streams,
                }
                for p in view.peers
            ],
        }

    def _warn(self, event: str, **values: object) -> None:
        if self._warnings.allows():
            logger.warning(event, extra=fields(**values))

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("fault", exc_info=error)
