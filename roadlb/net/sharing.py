"""Runs one balancer's shared state: own outcomes and the module's view in, updates and messages out.

Every PULSE_US the module is told first and others after it, so that what is given away is not used any more.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from functools import partial

from ..clock import Clock
from ..config import Config
from ..counters import Counters
from ..engine import Engine
from ..log import Limit, fields
from ..membership.events import Kind, News, State
from ..policy.interface import ServerId, SharedStateUpdate, Status
from ..shared_state.budgets import Terms
from ..shared_state.events import Agreed, Beside
from ..shared_state.judgements import Trouble
from ..shared_state.told import PULSE_US, Bounds, Event, Hear, Message, Outcome, Post, Pulse, There, Told
from .peers import Peers

logger = logging.getLogger(__name__)

TROUBLES = {
    Status.OK: Trouble.NONE,
    Status.ERROR: Trouble.ERRORS,
    Status.FULL: Trouble.FULL,
    Status.TIMEOUT: Trouble.SILENT,
    Status.RESET: Trouble.SILENT,
    Status.CONNECT_FAILED: Trouble.SILENT,
}
LINES_A_SECOND = 20  # of the log, about shares; the rest is counted
# What was called off, never started or came back spoilt says nothing of the server.
NOT_OF_THE_SERVER = frozenset(Status) - TROUBLES.keys()


class Sharing:
    """`start()` once peers have been started, `stop()` before they are."""

    def __init__(
        self,
        config: Config,
        peers: Peers,
        engine: Engine,
        counters: Counters,
        clock: Clock,
        hear: Callable[[int, SharedStateUpdate], None],
        names: Callable[[], Mapping[ServerId, str]],
    ) -> None:
        """`hear` takes what the module is to know, and in parts of how many balancers; `names`: what
        operators call the servers."""
        settings, told = config.settings, config.peers
        assert told is not None
        self._peers, self._engine, self._counters, self._clock = peers, engine, counters, clock
        self._hear, self._names, self._zones = hear, names, config.zones
        self._customers = [t.name for t in settings.tenants]
        self.told = Told(
            clock(),
            config.name,
            0,
            config.hall,
            Terms(instances=settings.instances),
            [(t.name, t.quota_per_s) for t in settings.tenants],
            Bounds(told.repeats_per_s, told.dials_per_s, config.zones),
        )
        self._timer: asyncio.TimerHandle | None = None
        self._there = False  # does the decider know who is there?
        self._avoided: set[ServerId] = set()
        self._silent: set[int] = set()  # halls that do not answer others
        self._apart: set[tuple[str, object]] = set()  # shares that are not an even part
        self._heard_any = False
        self._lines = Limit(clock, LINES_A_SECOND)
        peers.watch(self._news)
        for kind in (Kind.SHARES, Kind.COUNTS, Kind.JUDGEMENTS):
            peers.listen(kind, partial(self._payload, kind))
        peers.parts["shared"] = lambda: self.told.figures(clock(), names())
        engine.on_outcome = self._outcome

    def start(self) -> None:
        self._do(Beside(1))  # before any request: what an earlier life gave may still be used
        self._timer = asyncio.get_running_loop().call_later(PULSE_US / 1e6, self._pulse)

    def stop(self) -> None:
        """A second time has no effect."""
        self._engine.on_outcome = None
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def beside(self, count: int) -> None:
        """So many processes are this one balancer now."""
        self._do(Beside(count))

    def agreed(self, agreed: Agreed) -> None:
        """What versions say of the wholes."""
        self._do(agreed)

    def _news(self, news: News) -> None:
        self._there = False

    def _payload(self, kind: Kind, sender: str, life: int, payload: bytes) -> None:
        faults = self.told.faults
        self._counters.add(f"shared.got.{kind.name.lower()}")
        self._do(Message(sender, life, payload))
        if self.told.faults > faults:
            self._counters.add("shared.unread")

    def _outcome(self, server: ServerId, status: Status) -> None:
        if status not in NOT_OF_THE_SERVER:
            self._do(Outcome(server, TROUBLES[status]))

    def _pulse(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(PULSE_US / 1e6, self._pulse)
        me = self._peers.me
        if me is None:
            return  # another process of this balancer has the address yet
        self.told.budgets.life = me.life  # it may have had to take a later one
        if not self._there:
            self._there = True
            self._do(
                There(
                    tuple(
                        m.name
                        for m in self._peers.members()
                        if m.state <= State.SUSPECT and m.name != me.name
                    )
                )
            )
        self._do(Pulse(self._engine.view(), self._engine.request_counts()[0]))

    def _do(self, event: Event) -> None:
        for action in self.told.handle(self._clock(), event):
            if isinstance(action, Hear):
                self._counters.add("shared.heard")
                self._say(action.event)
                self._hear(self.told.terms.instances, action.event)
            elif isinstance(action, Post):
                self._counters.add(f"shared.sent.{action.kind.name.lower()}")
                self._peers.send(action.to, action.kind, action.payload)
            else:
                self._counters.add(
                    f"shared.sent.{action.kind.name.lower()}",
                    self._peers.spread(action.kind, action.payload, action.most),
                )

    def _say(self, heard: SharedStateUpdate) -> None:
        """A line where a server begins or ceases to be avoided, a hall to answer nobody, a share to be other
        than an even part, and others' counts to be heard."""
        avoided = set(heard.avoid_until)
        for server in avoided ^ self._avoided:
            on = server in avoided
            self._counters.add("shared.avoided" if on else "shared.taken_back")
            logger.info(
                "server judged", extra=fields(server=self._name(server), avoided="yes" if on else "no")
            )
        self._avoided = avoided
        for hall in set(heard.unreachable_zones) ^ self._silent:
            on = hall in heard.unreachable_zones
            self._counters.add("shared.hall_silent" if on else "shared.hall_heard")
            logger.info(
                "hall judged",
                extra=fields(hall=self._called("hall", hall), answers_others="no" if on else "yes"),
            )
        self._silent = set(heard.unreachable_zones)
        apart: set[tuple[str, object]] = {("server", server) for server in heard.slow_start_shares}
        apart |= {("customer", number) for number in heard.quota_shares} | {
            ("hall", n) for n in heard.dial_shares
        }
        apart |= {("repeats", 0)} if heard.retry_share is not None else set()
        for what, key in apart ^ self._apart:
            on = (what, key) in apart
            self._counters.add("shared.apart" if on else "shared.even")
            if self._lines.allows():
                logger.info(
                    "share told",
                    extra=fields(of=what, name=self._called(what, key), even="no" if on else "yes"),
                )
        self._apart = apart
        if bool(self.told.counts.reports) is not self._heard_any:
            self._heard_any = not self._heard_any
            logger.info("counts heard", extra=fields(any="yes" if self._heard_any else "no"))

    def _name(self, server: ServerId) -> str:
        return self._names().get(server) or server.hex()

    def _called(self, what: str, key: object) -> str:
        if isinstance(key, bytes):
            return self._name(key)
        assert isinstance(key, int)
        names = {"customer": self._customers, "hall": self._zones}.get(what, ())
        return names[key] if key < len(names) else str(key)
