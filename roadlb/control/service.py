"""The control service: discovery in, decisions out to proxies over gRPC, a page for operators.

Theory of operation.  All runs in one event loop.  Discovery's line becomes a picture; `Order` sees it first,
so that a drain goes out at once in what was published last, then `Plan`.  What `Order` releases is put into
each form's snapshot (`xds/publisher`) and pushed into every stream that may be told (`xds/grpc/session`).
"""

from __future__ import annotations

import asyncio
import logging
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from ..clock import Clock, monotonic_us, unix_us
from ..config import Address
from ..fleet.model import NodeId, Picture
from ..log import Limit, fields
from ..net.fleet_watch import FleetWatch
from ..net.status_page import Page, StatusPage
from ..xds.codec.discovery import read_delta_request
from ..xds.codec.endpoint import can_be_written
from ..xds.delta import DeltaStream
from ..xds.grpc import loads
from ..xds.grpc.client_status import client_status
from ..xds.grpc.encoding import Encoder
from ..xds.grpc.health import SERVING, WAITING, health
from ..xds.grpc.session import Session
from ..xds.grpc.transport import ADS, HEALTH, LRS, STATUS, Context, listen, next_message, server
from ..xds.messages import ErrorDetail
from ..xds.publisher import Publisher
from ..xds.resources import ENDPOINTS
from ..xds.sotw import SotwStream
from . import events, order, subscribers
from .forms import Form, form_of, pool_name
from .plan import Plan, up_in
from .settings import Settings, address
from .status import endpoint_status, subscriber_status

logger = logging.getLogger(__name__)

STOP_S = 0.5  # for what is being written when the service ends
TICK_US = 250_000  # a look of the plan at 1,000 endpoints takes 25 ms


@dataclass(slots=True)
class Client:
    """A subscriber as this service keeps it; `form`: what kind of proxy it is."""

    session: Session
    form: Form
    admitted: bool = False
    refusals: int = 0


class Service:
    """Wires the deciders; it is the streams' `SessionOwner`."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock = monotonic_us,
        wall: Clock = unix_us,
        random: Random | None = None,
    ) -> None:
        self.office: Any = None
        if settings.agreement is not None:  # all of it is loaded for who asks for it
            from ..issuing.office import Office

            self.office = Office(settings.agreement, clock, wall, self._status_at)
        self.settings, self._clock, self._wall = settings, clock, wall
        self.plan = Plan(settings.ramp.limits(), gap_us=round(settings.plan_gap_s * 1e6))
        self.order = order.Order()
        self.subscribers = subscribers.Subscribers(
            random or Random(),
            ENDPOINTS,
            stale_us=round(settings.stale_s * 1e6),
            admit_per_s=settings.admit_per_s,
            most=settings.subscribers_most,
        )
        self.publisher, self.encoder = Publisher(settings), Encoder()
        at = address(settings.discovery)
        self.discovery = FleetWatch(Address(at.host, at.port), settings.cluster, self.told)
        self.clients: dict[str, Client] = {}
        self.counts: Counter[str] = Counter()
        self.started_us = clock()
        self._numbers = 0
        self._places: dict[tuple[str, int], NodeId] = {}
        self._pools = [settings.cluster]  # the names of all clusters on the wire
        self._again = asyncio.Event()  # a newcomer's turn may be sooner than the next tick
        self._tasks: set[asyncio.Task[None]] = set()
        self._warnings = Limit(clock, 20)
        self.port = 0
        self.page: StatusPage | None = None
        self._server: Any = None

    # Discovery and the deciders

    def told(self, picture: Picture) -> None:
        """A picture of discovery: what it closes goes out before anything is planned anew."""
        now, picture = self._clock(), self._reachable(picture)
        self._do_order(self.order.handle(now, order.Pictured(picture.generation, up_in(picture))))
        if self.office is not None:
            self.office.pictured(picture)
        # A plan of 1,000 endpoints takes 30 ms: what was just pushed is written first.
        asyncio.get_running_loop().call_soon(self._plan_for, events.Fleet(picture, self._wall() // 1000))

    def _reachable(self, picture: Picture) -> Picture:
        """Without nodes that no proxy could dial: one bad address must not hold up the others' drains."""
        clusters = dict(picture.clusters)
        for name, cluster in picture.clusters.items():
            bad = [e for e in cluster.endpoints if not can_be_written(e.host, e.port)]
            if bad:
                self.counts["bad addresses"] += len(bad)
                self._warn("bad address", node=bad[0].node.name, host=bad[0].host, port=bad[0].port)
                kept = tuple(e for e in cluster.endpoints if can_be_written(e.host, e.port))
                clusters[name] = replace(cluster, endpoints=kept)
        return replace(picture, clusters=clusters)

    def _plan_for(self, fleet: events.Fleet) -> None:
        self._do_plan(self.plan.handle(self._clock(), fleet))

    def tick(self) -> None:
        """Time has passed, TICK_US or more."""
        now = self._clock()
        self._do_subscribers(self.subscribers.handle(now, subscribers.Tick()))
        self.plan.handle(now, self.subscribers.carriers())
        self._do_plan(self.plan.handle(now, events.Tick()))
        self._do_order(self.order.handle(now, order.Tick()))

    def let_in(self) -> None:
        """Those newcomers whose turn has come, which may be well before the next tick."""
        self._do_subscribers(self.subscribers.handle(self._clock(), subscribers.Turn()))

    def _do_plan(self, actions: list[events.Publish]) -> None:
        for action in actions:
            self._do_order(self.order.handle(self._clock(), order.Proposed(action.decisions)))

    def _do_order(self, actions: list[order.Action]) -> None:
        for action in actions:
            match action:
                case order.Release(decisions):
                    self._release(decisions)
                case order.Speak(name):
                    self._push(name)
                case order.Silence(name, generation):
                    self.counts["silenced"] += 1
                    self._warn(
                        "subscriber is ahead of us",
                        subscriber=name,
                        generation=generation,
                        ours=self.order.generation,
                    )
                case order.Withheld(generation, serial, reason):
                    self.counts["withheld"] += 1
                    self._warn("withheld", generation=generation, serial=serial, reason=reason)
                case order.CatchUp(reason):
                    self.counts["calls"] += 1
                    logger.info("ask discovery", extra=fields(reason=reason))
                    self._spawn(self._catch_up())

    def _release(self, decisions: events.Decisions) -> None:
        self.publisher.take(decisions)
        self._places = {
            (d.endpoint.host, d.endpoint.port): d.node for told in decisions.clusters.values() for d in told
        }
        self._pools = sorted(
            {
                self.settings.cluster,
                *decisions.clusters,
                *(
                    pool_name(name, pool)
                    for name, told in decisions.clusters.items()
                    for d in told
                    for pool in (d.pool, d.left_pool)
                ),
            }
        )
        self.counts["published"] += 1
        if decisions.urgent:
            self._do_subscribers(self.subscribers.handle(self._clock(), subscribers.Hurry()))
        for name in list(self.clients):
            self._push(name)

    async def _catch_up(self) -> None:
        generation = await self.discovery.call()
        self._do_order(self.order.handle(self._clock(), order.Listed(generation)))

    def _push(self, name: str) -> None:
        client = self.clients.get(name)
        if client is not None and client.admitted and self.order.may_tell(name):
            try:
                snapshot = self.publisher.snapshot(client.form)
            except ValueError as e:  # CodecError is one; the other forms must be told all the same
                self.counts["not published"] += 1
                if self._warnings.allows():
                    logger.error("not published", extra=fields(form=client.form.value, error=e))
                return
            if snapshot is not None:
                client.session.push(snapshot)

    def _do_subscribers(self, actions: list[subscribers.Action]) -> None:
        for action in actions:
            match action:
                case subscribers.Admit(name):
                    if name in self.clients:
                        self.clients[name].admitted = True
                        self._push(name)
                case subscribers.TurnAway(name, reason):
                    self.clients[name].session.end(reason)
                case subscribers.Refuses(name, type_url, reason, times):
                    self._warn("refused", subscriber=name, type=type_url, reason=reason, times=times)
                case subscribers.Lags(name, type_url, versions, us):
                    self._warn("lags", subscriber=name, type=type_url, versions=versions, seconds=us / 1e6)
                case subscribers.CaughtUp(name, type_url):
                    logger.info("caught up", extra=fields(subscriber=name, type=type_url))
                case subscribers.Forgot(name):
                    logger.info("forgotten", extra=fields(subscriber=name))

    # The streams' owner

    def subscriber_identified(self, session: Session) -> str:
        node = session.machine.node
        assert node is not None
        metadata = {key: value for key, value in node.metadata.items() if isinstance(value, str)}
        try:
            form = form_of(node.user_agent_name, metadata, node.client_features)
        except ValueError as e:
            return str(e)
        # Two streams at once of one id may be two proxies with one id: each gets its own account.
        session.name = node.id if node.id not in self.clients else f"{node.id}#{session.number}"
        self.clients[session.name] = Client(session, form)
        now, shown = self._clock(), session.floor or None
        logger.info(
            "subscriber",
            extra=fields(
                name=session.name,
                form=form.value,
                agent=node.user_agent_name,
                peer=session.peer,
                shows=shown or 0,
            ),
        )
        self._do_subscribers(
            self.subscribers.handle(now, subscribers.Came(session.name, session.number, shown))
        )
        self._do_order(self.order.handle(now, order.Connected(session.name, session.number, shown)))
        self._again.set()
        return ""

    def newer_generation_seen(self, session: Session) -> None:
        if session.name in self.clients:
            self._do_order(self.order.handle(self._clock(), order.Acknowledged(session.name, session.floor)))

    def response_sent(self, session: Session, type_url: str, number: int, generation: int) -> None:
        self._do_subscribers(
            self.subscribers.handle(
                self._clock(), subscribers.Sent(session.name, type_url, number, generation)
            )
        )

    def response_accepted(self, session: Session, type_url: str, number: int) -> None:
        self._do_subscribers(
            self.subscribers.handle(self._clock(), subscribers.Acked(session.name, type_url, number))
        )

    def response_rejected(self, session: Session, type_url: str, number: int, error: ErrorDetail) -> None:
        if session.name in self.clients:
            self.clients[session.name].refusals += 1
        self._do_subscribers(
            self.subscribers.handle(
                self._clock(), subscribers.Nacked(session.name, type_url, number, error.message)
            )
        )

    def session_closed(self, session: Session) -> None:
        now = self._clock()
        if self.clients.pop(session.name, None) is not None:
            logger.info("subscriber left", extra=fields(name=session.name))
        self._do_subscribers(self.subscribers.handle(now, subscribers.Left(session.name, session.number)))
        self._do_order(self.order.handle(now, order.Disconnected(session.name, session.number)))

    # gRPC

    def _ads(self, variant: type[SotwStream] | type[DeltaStream]) -> Callable[[Context], Awaitable[None]]:
        async def serve(context: Context) -> None:
            self._numbers += 1
            session = Session(self._numbers, variant(), self, self.encoder, self._clock, context.peer())
            if self.office is None or variant is SotwStream:
                await session.serve(context)
            elif (first := await next_message(context)) is not None:
                if self.office.serves(read_delta_request(first)):
                    await self.office.serve(context, first)
                else:
                    await session.serve(context, first)

        return serve

    async def _reports(self, context: Context) -> None:
        """A stream of load reports: the first message says who reports, the others what."""
        subscriber, features, asked = "", tuple[str, ...](), b""
        while (data := await next_message(context)) is not None:
            wire = loads.read_stats(data)
            if not subscriber:
                subscriber, features = wire.node.id or context.peer(), tuple(wire.node.client_features)
            # Pools come and go, and some clients report only on those that they were asked about.
            asking = loads.ask(self._pools, round(self.settings.load_report_s * 1e6), features)
            if asking != asked:
                asked = asking
                await context.write(asking)
            for report in loads.reports(subscriber, wire, self._node_at, self._fleet_name):
                if report is None:
                    self.counts["reports of nobody"] += 1
                    continue
                self.counts["reports"] += 1
                self._do_plan(self.plan.handle(self._clock(), report))

    def _fleet_name(self, name: str) -> str:
        """The fleet's cluster of a pool's name."""
        ours = self.settings.cluster
        return ours if name.startswith(pool_name(ours, "*").removesuffix("*")) else name

    async def _client_status(self, context: Context) -> None:
        while (data := await next_message(context)) is not None:
            await context.write(client_status(data, self._sessions()))

    def _sessions(self) -> list[Session]:
        return [client.session for client in self.clients.values()]

    def _node_at(self, host: str, port: int) -> NodeId | None:
        return self._places.get((host, port))

    # For operators

    @property
    def serving(self) -> bool:
        """Has anything been published?"""
        return self.publisher.decisions is not None

    def _status_at(self) -> str:
        """Where operators' commands find the page; empty if there is none."""
        return f"{address(self.settings.status).host}:{self.page.port}" if self.page is not None else ""

    def _health_page(self) -> Page:
        return Page(200, "serving") if self.serving else Page(503, "discovery has told no list yet")

    def _status_page(self) -> Page:
        return Page(200, self.status())

    def status(self) -> dict[str, object]:
        """All that operators look at, as JSON's own types; times in seconds."""
        now, told = self._clock(), self.publisher.decisions
        return {
            "generation": self.order.generation,
            "serial": told.serial if told else 0,
            "up_s": (now - self.started_us) / 1e6,
            "discovery": self._discovery_status(),
            "counts": {**self.counts, "encoded": self.encoder.encoded, "shared": self.encoder.shared},
            "endpoints": [
                endpoint_status(name, decision)
                for name, decisions in (told.clusters if told else {}).items()
                for decision in decisions
            ],
            "subscribers": [
                subscriber_status(now, s, s.name in self.order.silent, self._stream_status(s.name))
                for s in self.subscribers.known.values()
            ],
        }

    def _discovery_status(self) -> dict[str, object]:
        watch = self.discovery
        now_s = asyncio.get_running_loop().time()
        return {
            "at": str(watch.at),
            "error": watch.error,
            "generation": watch.picture.generation if watch.picture else -1,
            "heard_s_ago": now_s - watch.heard_at if watch.heard_at else None,
            **watch.counts,
        }

    def _stream_status(self, name: str) -> dict[str, object]:
        client = self.clients.get(name)
        session = client.session if client else None
        return {
            "form": client.form.value if client else None,
            "incremental": session.incremental if session else None,
            "peer": session.peer if session else None,
            "refusals": client.refusals if client else 0,
            "responses": session.responses if session else 0,
            "bytes": session.bytes_sent if session else 0,
            "holds": session.holding if session else {},
        }

    # Its life

    async def start(self) -> None:
        """Serve; `port` is then where."""
        at = address(self.settings.listen)
        self._server = server(
            {
                (ADS, "StreamAggregatedResources"): self._ads(SotwStream),
                (ADS, "DeltaAggregatedResources"): self._ads(DeltaStream),
                (LRS, "StreamLoadStats"): self._reports,
                (STATUS, "StreamClientStatus"): self._client_status,
            },
            {
                (STATUS, "FetchClientStatus"): lambda data: client_status(data, self._sessions()),
                (HEALTH, "Check"): lambda _: health(SERVING if self.serving else WAITING),
            },
        )
        self.port = listen(self._server, at.host, at.port)
        await self._server.start()
        self._spawn(self.discovery.run())
        self._spawn(self._ticks())
        if self.settings.status:
            pages = {"/status": self._status_page, "/healthz": self._health_page}
            if self.office is not None:
                pages["/agreement"] = lambda: Page(200, self.office.status())
            self.page = StatusPage(pages)
            where = address(self.settings.status)
            await self.page.start(where.host, where.port)
        if self.office is not None:
            await self.office.start()
        logger.info(
            "ready",
            extra=fields(
                listen=f"{at.host}:{self.port}",
                status=self.page.port if self.page else "none",
                discovery=self.discovery.at,
            ),
        )
        if not _loopback(at.host):
            logger.warning("listens beyond loopback without TLS", extra=fields(listen=self.settings.listen))

    async def _ticks(self) -> None:
        tick_at = 0
        while True:
            if (now := self._clock()) >= tick_at:
                tick_at = now + TICK_US
                self.tick()
            else:
                self.let_in()
            turn = self.subscribers.next_at
            until = tick_at if turn is None else min(tick_at, turn)
            self._again.clear()
            try:
                async with asyncio.timeout(max(0, until - self._clock()) / 1e6):
                    await self._again.wait()
            except TimeoutError:
                continue

    async def stop(self, grace_s: float = 0.0) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.office is not None:
            await self.office.stop()
        if self.page is not None:
            await self.page.stop()
        if self._server is not None:
            await self._server.stop(grace_s)

    def _spawn(self, what: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("fault", exc_info=error)

    def _warn(self, event: str, **values: object) -> None:
        """Bounded, so that one bad proxy does not fill the log."""
        if self._warnings.allows():
            logger.warning(event, extra=fields(**values))


def _loopback(host: str) -> bool:
    return host in ("localhost", "::1") or host.startswith("127.")


async def serve(settings: Settings) -> None:
    """Run a service until a signal to end; OSError if it cannot listen."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    service = Service(settings)
    try:
        await service.start()
        await ended.wait()
    finally:
        await service.stop(STOP_S)
