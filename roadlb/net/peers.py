"""The datagrams between balancers: one UDP socket, what is let in and what goes out, and who rides on it.

What comes: counted, let in by its source's rate before any cost, read (`datagram`), admitted by its sender's
rate, life and number (`roadlb.membership.admission`), then told to `Members`, and last its other items to who
listens for their kind.  What goes: items gather for each address until the running turn of the loop is over,
and leave in as few datagrams as hold them, within a rate of their own.

The socket may be another process's still, of this balancer: then it is tried again until it is free.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, TypeAlias, cast

from ..clock import Clock
from ..config import Address, PeersConfig
from ..counters import Counters
from ..log import Limit, fields
from ..membership.admission import Admission, Bucket, Verdict
from ..membership.events import (
    Changed,
    CutOff,
    Distrust,
    Doubted,
    Event,
    Joined,
    Kind,
    Leave,
    Left,
    Member,
    News,
    Odd,
    Received,
    Send,
    Start,
    State,
    Suspected,
    Tell,
    Tick,
    Trust,
    WakeAt,
    first_incarnation,
)
from ..membership.members import Members
from .datagram import ITEM_HEAD, PAYLOAD_MOST, Codec, Fault, room

logger = logging.getLogger(__name__)

TRY_AGAIN_S = 0.2  # for the address, while another process has it
SOURCE_RATE, SOURCE_BURST = 2_000, 4_000  # datagrams a second of one host, before they are read
SOURCES_MOST = 8_192
OUT_RATE, OUT_BURST = 4_000, 4_000  # datagrams a second that leave, and at once
WAITING_MOST = 4_096  # items that wait for the turn's end
LINES_A_SECOND = 20  # of the log, about members; the rest is counted

OnPayload: TypeAlias = Callable[[str, int, bytes], None]
OnNews: TypeAlias = Callable[[News], None]


class Peers(asyncio.DatagramProtocol):
    """One balancer among others: `await start()`, later `stop()`.

    `clock` is monotonic, `wall` Unix time, both in microseconds; `seed` begins the chance by which others are
    drawn.  `own_socket`: make the socket here, as on a real loop no name need be looked up.
    """

    def __init__(
        self,
        name: str,
        hall: str,
        config: PeersConfig,
        counters: Counters,
        clock: Clock,
        wall: Clock,
        seed: int,
        own_socket: bool = True,
    ) -> None:
        self.config, self.counters, self.clock, self._own_socket = config, counters, clock, own_socket
        self._name, self._hall, self._wall = name, hall, wall
        self._random = Random(f"{seed}/{name}/{wall()}")
        self._codec, self._admission = Codec(config.key, config.cluster), Admission()
        self._number, self._at = 0, ""
        self._room = room(name)
        self._out = Bucket(OUT_RATE, OUT_BURST)
        self._sources: dict[str, Bucket] = {}
        self._waiting: dict[tuple[str, int], list[tuple[int, bytes]]] = {}
        self._waiting_count = 0
        self._bytes_of: dict[int, str] = {kind: f"peers.out_bytes.{kind.name.lower()}" for kind in Kind}
        self._listeners: dict[int, OnPayload] = {}
        self._watchers: list[OnNews] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._trying: asyncio.Task[None] | None = None
        self._lines = Limit(clock, LINES_A_SECOND)
        self._members: Members | None = None
        self.parts: dict[str, Callable[[], object]] = {}  # of the report, by their names there

    # The seam: see roadlb.membership.events

    def watch(self, call: OnNews) -> None:
        self._watchers.append(call)

    def listen(self, kind: int, call: OnPayload) -> None:
        """One listener for each kind; ValueError for a second one."""
        if kind in self._listeners or kind == Kind.MEMBERSHIP:
            raise ValueError(f"kind {kind} has its listener")
        self._listeners[kind] = call

    def send(self, name: str, kind: int, payload: bytes) -> bool:
        entry = self._members.view.entries.get(name) if self._members else None
        if entry is None or len(payload) > PAYLOAD_MOST:
            return False
        self._put(entry.member.host, entry.member.port, kind, payload)
        return True

    def spread(self, kind: int, payload: bytes, most: int | None = None) -> int:
        """To how many it goes."""
        if self._members is None or len(payload) > PAYLOAD_MOST:
            return 0
        view = self._members.view
        drawn = view.some(len(view) if most is None else most, {self._name})
        for member in drawn:
            self._put(member.host, member.port, kind, payload)
        return len(drawn)

    @property
    def me(self) -> Member | None:
        """This process as others know it; None until the socket is there."""
        return self._members.me if self._members else None

    def members(self) -> list[Member]:
        return [entry.member for entry in self._members.view] if self._members else []

    def live(self) -> int:
        """How many balancers are there, this one among them: at least 1."""
        return max(1, len(self._members.view)) if self._members else 1

    # Life

    async def start(self) -> None:
        """Take the address; in the background, where another process has it."""
        try:
            await self._open()
        except OSError as e:
            if e.errno != errno.EADDRINUSE:
                raise
            self.counters.add("peers.address_in_use")
            logger.warning("peers wait for their address", extra=fields(address=self.config.listen))
            self._trying = asyncio.create_task(self._try_again())

    async def _try_again(self) -> None:
        while self._transport is None:
            await asyncio.sleep(TRY_AGAIN_S)
            with suppress(OSError):
                await self._open()

    async def _open(self) -> None:
        at = self.config.listen
        where: dict[str, Any] = {"local_addr": (at.host, at.port)}
        if self._own_socket:
            made = socket.socket(socket.AF_INET6 if ":" in at.host else socket.AF_INET, socket.SOCK_DGRAM)
            try:
                made.setblocking(False)
                made.bind((at.host, at.port))
            except OSError:
                made.close()
                raise
            where = {"sock": made}
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, **where)
        self._transport = transport
        port = transport.get_extra_info("sockname")[1]
        known_as = self.config.advertise or Address(at.host, port)
        me = Member(
            self._name,
            known_as.host,
            known_as.port or port,
            self._hall,
            first_incarnation(self._wall() // 1_000),
        )
        self._admission.trust(me.name, me.life)
        self._at = f"{me.host}:{me.port}"
        self._members = Members(me, [(seed.host, seed.port) for seed in self.config.seeds], self._random)
        self._handle(Start())
        logger.info("peers listen", extra=fields(address=known_as, cluster=self.config.cluster, life=me.life))

    @property
    def port(self) -> int:
        assert self._transport
        port: int = self._transport.get_extra_info("sockname")[1]
        return port

    def stop(self, farewell: bool = True) -> None:
        """End; without a farewell where another process takes this name up.  A second time has no effect."""
        if self._trying:
            self._trying.cancel()
        if self._timer:
            self._timer.cancel()
        if self._transport and self._members and not self._members.left:
            if farewell:
                self._handle(Leave())
                self._flush()
            self._members.left = True
            self._transport.close()

    # What the decider decides

    def _handle(self, event: Event) -> None:
        members = self._members
        if members is None or members.left:
            return
        for action in members.handle(self.clock(), event):
            if isinstance(action, Send):
                self._put(action.host, action.port, Kind.MEMBERSHIP, action.payload)
            elif isinstance(action, Tell):
                self._tell(action.news)
            elif isinstance(action, Trust):
                self._admission.trust(action.name, action.life)
            elif isinstance(action, Distrust):
                self._admission.distrust(action.name)
            elif isinstance(action, Odd):
                self.counters.add(f"peers.{action.what}")
            elif isinstance(action, WakeAt):
                if self._timer:
                    self._timer.cancel()
                self._timer = asyncio.get_running_loop().call_later(
                    max(0, action.at_us - self.clock()) / 1e6, self._tick
                )

    def _tick(self) -> None:
        self._handle(Tick())

    def _tell(self, news: News) -> None:
        word = type(news).__name__.lower()
        self.counters.add(f"peers.{word}")
        if isinstance(news, Changed) and news.restarted:
            self.counters.add("peers.restarted")
            if news.member.name == self._name:
                self._admission.trust(self._name, news.member.life)
        if self._lines.allows():
            logger.info(f"peer {word}", extra=fields(**_said(news)))
        else:
            self.counters.add("peers.lines_left_out")
        for call in self._watchers:
            self._guarded(call, news)

    def _guarded(self, call: Callable[..., None], *told: object) -> None:
        """One part's fault must not cost the others theirs."""
        try:
            call(*told)
        except Exception:
            self.counters.add("fault.peers")
            logger.exception("a part that hears of peers failed")

    # What goes out

    def _put(self, host: str, port: int, kind: int, payload: bytes) -> None:
        if self._waiting_count >= WAITING_MOST:
            self.counters.add("peers.out_dropped")
            return
        if not self._waiting_count:
            asyncio.get_running_loop().call_soon(self._flush)
        self._waiting_count += 1
        self.counters.add(self._bytes_of.get(kind, "peers.out_bytes.other"), ITEM_HEAD + len(payload))
        self._waiting.setdefault((host, port), []).append((kind, payload))

    def _flush(self) -> None:
        waiting, self._waiting, self._waiting_count = self._waiting, {}, 0
        for address, items in waiting.items():
            packed: list[tuple[int, bytes]] = []
            size = 0
            for item in items:
                if packed and size + ITEM_HEAD + len(item[1]) > self._room:
                    self._write(address, packed)
                    packed, size = [], 0
                packed.append(item)
                size += ITEM_HEAD + len(item[1])
            self._write(address, packed)

    def _write(self, address: tuple[str, int], items: list[tuple[int, bytes]]) -> None:
        if self._transport is None or self._members is None or self._transport.is_closing():
            return
        if not self._out.take(self.clock()):
            self.counters.add("peers.out_dropped")
            return
        self._number += 1
        data = self._codec.write(
            self._name, self._members.me.incarnation, self._number, items, f"{address[0]}:{address[1]}"
        )
        self.counters.add("peers.sent")
        self.counters.add("peers.sent_bytes", len(data))
        try:
            self._transport.sendto(data, address)
        except (OSError, ValueError):  # an address that this machine cannot send to
            self.counters.add("peers.unsent")

    # What comes in: asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        self.counters.add("peers.unsent")

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self.counters.add("peers.got")
        now = self.clock()
        if not self._source(addr[0]).take(now):
            self.counters.add("peers.dropped.flooded")
            return
        try:
            datagram = self._codec.read(data, self._at)
        except Fault as fault:
            self.counters.add(f"peers.dropped.{fault.cause}")
            if self._lines.allows():
                logger.warning("datagram dropped", extra=fields(source=addr[0], cause=fault.cause))
            return
        told = datagram.sender, datagram.incarnation, datagram.number
        verdict = self._admission.judge(now, *told)
        if verdict not in (Verdict.PASS, Verdict.ASK):
            self.counters.add(f"peers.dropped.{verdict.value}")
            return
        payload = next((payload for kind, payload in datagram.items if kind == Kind.MEMBERSHIP), b"")
        self._handle(Received(datagram.sender, datagram.incarnation, payload, verdict is Verdict.PASS))
        if verdict is Verdict.ASK:  # it may have proved itself just now, and counts from here
            verdict = self._admission.judge(now, *told)
        if verdict is not Verdict.PASS or datagram.sender == self._name:
            return
        for kind, payload in datagram.items:
            if kind == Kind.MEMBERSHIP:
                continue
            if (call := self._listeners.get(kind)) is None:
                self.counters.add("peers.unheard")
            else:
                self._guarded(call, datagram.sender, datagram.incarnation >> 16, payload)

    def _source(self, host: str) -> Bucket:
        bucket = self._sources.pop(host, None) or Bucket(SOURCE_RATE, SOURCE_BURST)
        self._sources[host] = bucket
        if len(self._sources) > SOURCES_MOST:
            del self._sources[next(iter(self._sources))]
        return bucket

    # For operators

    def report(self) -> dict[str, Any]:
        """Who is there and who doubts whom; `parts` add what they hold."""
        counts = {
            name.removeprefix("peers."): count
            for name, count in self.counters.all().items()
            if name.startswith("peers.")
        }
        said: dict[str, Any] = {"me": None, "live": self.live(), "members": [], "counts": counts}
        members, now = self._members, self.clock()
        if members is not None:
            me = members.me
            said["me"] = {
                "name": me.name,
                "cluster": self.config.cluster,
                "health": members.doubt.health,
                "doubtful": members.doubt.doubtful,
                "cut_off": members.cut_off,
                "late_s": round(members.doubt.late_us / 1e6, 3),
                "life": me.life,
            }
            said["members"] = [
                {
                    "name": entry.member.name,
                    "hall": entry.member.hall,
                    "address": str(Address(entry.member.host, entry.member.port)),
                    "state": State(entry.member.state).name.lower(),
                    "life": entry.member.life,
                    "refutations": entry.member.incarnation & 0xFFFF,
                    "heard_s": round((now - entry.heard_us) / 1e6, 2) if entry.heard_us else None,
                    "for_s": round((now - entry.since_us) / 1e6, 1),
                    "doubted_by": list(entry.suspecters),
                }
                for entry in sorted(members.view, key=lambda entry: entry.member.name)
            ]
        for name, part in self.parts.items():
            said[name] = part()
        return said


def _said(news: News) -> dict[str, object]:
    """Of news, for a log line."""
    if isinstance(news, Doubted):
        return {"late_ms": news.late_us // 1_000}
    if isinstance(news, CutOff):
        return {"off": "yes" if news.off else "no", "silent_ms": news.silent_us // 1_000}
    member = news.member
    told: dict[str, object] = {"peer": member.name, "hall": member.hall, "life": member.life}
    if isinstance(news, Suspected):
        told["by"] = news.by
    elif isinstance(news, Left):
        told["cause"] = news.cause.value
    elif isinstance(news, Changed):
        told["restarted"] = news.restarted
    elif isinstance(news, Joined):
        told["address"] = Address(member.host, member.port)
    return told
