"""A balancer as a follower: what control services tell, through guard and decider into the engine.

The one place where the parts meet: `xds.client` brings messages, `fleet.guard` says whether a version may be
taken, `agreement.follower` what holds, `store` what outlives the process; lists go to the name table and
quotas to the engine.  Writing is a thread's matter, as an fsync on a busy disk takes tens of milliseconds.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Protocol

from ..agreement.events import (
    NOTHING,
    Apply,
    Contents,
    FollowerAction,
    FollowerView,
    FromIssuer,
    Heard,
    Linked,
    Memory,
    Offered,
    Prepare,
    Pulse,
    Remember,
    Remembered,
    Reported,
    Restarted,
    Standing,
    Tell,
    VersionId,
)
from ..agreement.follower import Follower
from ..clock import Clock
from ..config import Agreement, ConfigError
from ..counters import Counters
from ..engine import NO_EXPIRY_US
from ..fleet.guard import Guard, Offer, Pass, Refuse, Took
from ..fleet.model import Cluster, NodeId, Picture
from ..fleet.steps import up
from ..log import fields
from ..policy.interface import Settings, SharedStateUpdate
from ..store.disk import Disk
from ..store.state import Change, Drain, Refusal, State, after
from ..store.store import Store
from ..xds.client.connection import Connection, Dial, ended
from ..xds.codec.protos import CodecError
from .keys import thresholds_of, timing_of
from .lists import Lists
from .memory import MemoryWriter, read_memory
from .settings import Running

logger = logging.getLogger(__name__)

SILENCE_US = 3_000_000  # at the least, before a stream on which nothing comes is opened again
PULSES = 10  # in a lease
FRESH_MS = 3_600_000  # a stored list of this age is no measure of how much capacity may go
RETRY_S = 1.0  # after a write that failed
CHANGES_TOLD = 12  # in one line of the log
REOPENED_MOST = 16  # versions of which it is known what they were meant to reopen


class Lock(Protocol):
    """Who may write; `store.disk.Directory` has it."""

    def claim(self) -> bool: ...

    def release(self) -> None: ...


class Following:
    """`load()` reads the store, `start()` applies what it holds; then it follows until `stop()`.

    `lead` takes a list in discovery's form and whether it is old; `tell` what the module hears, `rule` the
    settings that hold from now on; `lapse_at` is called with the time at which what is granted ends; `wall`
    is Unix time in microseconds.  `lock` says whether the disk is ours to write: while a predecessor of this
    balancer still runs it is not, and this process is a follower by another name that keeps nothing.
    """

    def __init__(
        self,
        told: Agreement,
        name: str,
        seed: int,
        clock: Clock,
        wall: Clock,
        counters: Counters,
        lead: Callable[[Mapping[str, object], bool], None],
        tell: Callable[[SharedStateUpdate], None],
        lapse_at: Callable[[int], None],
        dial: Dial,
        disk: Disk | None,
        lock: Lock | None = None,
        rule: Callable[[Settings], None] = lambda settings: None,
    ) -> None:
        """ConfigError where a bound cannot be kept, or a floor not be held."""
        self.timing = timing_of(told)
        self.counters, self._clock, self._wall = counters, clock, wall
        self._lead, self._tell, self._lapse_at, self._cluster = lead, tell, lapse_at, told.cluster
        self._running, self._lists, self._twins = Running(told.settings), Lists(), 1
        if wrong := self._running.bad_floors(told.floors):
            raise ConfigError(f"agreement.floors: {wrong}")
        self._rule, self._texts = rule, dict[str, str]()  # the latter: what holds by versions
        self.follower = Follower(self.timing, told.floors)
        self._guard = Guard(thresholds_of(told), self.drained, self._running.bad, self._running.fixed)
        self._store = Store(disk, name, counters) if disk is not None else None
        self.lock, self._claimed = lock, disk is not None and (lock is None or lock.claim())
        self._state, self._memory, self._remembered = State(), MemoryWriter(), Memory()
        self._life = int.from_bytes(os.urandom(6), "big") or 1
        alone = self._claimed or disk is None
        self._connection = Connection(
            name if alone else f"{name}+{self._life:x}",
            tuple(map(str, told.control)),
            dial,
            seed,
            max(SILENCE_US, self.timing.lease_us),
            clock,
            counters,
            self._hears,
            lambda: self._decide(Linked()),
        )
        self._reopened: dict[VersionId, tuple[NodeId, ...]] = {}
        self._heard: SharedStateUpdate | None = None
        self._old = True  # nothing was granted since the start
        self._waiting: list[tuple[Change, list[Remember]]] = []
        self._due = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._writer: ThreadPoolExecutor | None = None

    # From start to end

    def load(self) -> None:
        """Read the store: drains that it holds count from now on."""
        if self._store is not None:
            self._state = self._store.open(write=self._claimed)
            try:
                self._remembered = read_memory(self._state)
            except CodecError as e:
                self.counters.add("follow.memory_bad")
                logger.error("memory not readable", extra=fields(error=e))
                self._remembered = Memory(self._state.epoch)
            self._writer = ThreadPoolExecutor(1, "store")

    def start(self) -> None:
        """What the store holds is in effect when it returns."""
        memory = self._remembered
        if memory.told is not None:
            age_ms = self._wall() // 1000 - self._state.saved_ms
            fresh = 0 <= age_ms <= FRESH_MS
            held = memory.told.contents if memory.told.id == memory.force else memory.bound
            self._guard.handle(self._clock(), Took(_picture(memory.force, held or Contents()), fresh))
            logger.info(
                "remembered",
                extra=fields(version=memory.told.id, in_force=memory.force, epoch=memory.epoch, fresh=fresh),
            )
        self._decide(Restarted(self._life, memory))
        self._tasks = [
            asyncio.create_task(self._connection.run()),
            asyncio.create_task(self._pulse()),
            asyncio.create_task(self._write()),
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            await ended(task)
        self._connection.close()
        if self._writer is not None:
            self._writer.shutdown()
            with suppress(OSError):
                while self._waiting and self._store is not None and self._claimed:
                    self._store.put(self._waiting.pop(0)[0])
        if self.lock is not None:
            self.lock.release()

    async def _pulse(self) -> None:
        while True:
            await asyncio.sleep(self.timing.lease_us / PULSES / 1e6)
            self._decide(Pulse())

    # What operators and others see

    def view(self) -> FollowerView:
        return self.follower.view(self._clock())

    def gauges(self) -> dict[str, int]:
        """Under the names that operators see."""
        view = self.view()
        return {
            "follow.standing": list(Standing).index(view.standing),
            "follow.epoch": view.epoch,
            "follow.version": view.told.number,
            "follow.in_force": view.force.number,
            "follow.lease_ms": view.left_us // 1000,
            "follow.drains": len(self._state.drains),
            "follow.bytes_in": self._connection.bytes_in,
            "follow.bytes_out": self._connection.bytes_out,
        }

    @property
    def control(self) -> str:
        """The control service that this balancer is connected to; empty: none."""
        return self._connection.service

    def drained(self, name: str, started_ms: int) -> bool:
        """Whether this start of the node was told drained in a version that was in force."""
        return self._state.drained(name, started_ms)

    def twins(self, count: int) -> None:
        """So many processes are this one balancer."""
        self._twins = count
        self._apply_settings()

    def lapsed(self) -> None:
        """What was granted is over, by the clock: called before anything else is decided."""
        self._decide(Pulse())

    # What is heard and decided

    def _hears(self, message: FromIssuer) -> None:
        if not isinstance(message, Prepare):
            self._decide(Heard(message))
            return
        version, held = message.version, self.follower.told
        refusal = ""
        if held is None or version.id > held.id:
            refusal = self._judge(message)
        actions = self.follower.handle(self._clock(), Offered(message, refusal))
        self._perform(actions)
        told = self.follower.told
        waits = told is not None and told.id == version.id  # for the disk, and is acknowledged then
        if not waits and not any(isinstance(action, Tell) for action in actions):
            self._connection.nothing(version.id)

    def _judge(self, prepare: Prepare) -> str:
        """Why the guard refuses it; empty if it passes."""
        version = prepare.version
        if self._cluster not in version.contents.clusters:
            return f"cluster_missing: there is no cluster {self._cluster!r}, which agreement.cluster names"
        offer = Offer(
            str(version.id),
            _picture(version.id, version.contents),
            version.contents.settings,
            bool(version.meant),
        )
        [verdict] = self._guard.handle(self._clock(), offer)
        if isinstance(verdict, Refuse):
            for check in verdict.checks:
                self.counters.add(f"guard.{check}")
            return verdict.text
        assert isinstance(verdict, Pass)
        if verdict.overruled:
            logger.warning(
                "version meant",
                extra=fields(version=version.id, checks=" ".join(verdict.overruled), word=version.meant),
            )
        self._reopened[version.id] = verdict.reopened
        while len(self._reopened) > REOPENED_MOST:
            del self._reopened[next(iter(self._reopened))]
        return ""

    def _decide(self, event: Restarted | Heard | Linked | Pulse | Remembered) -> None:
        self._perform(self.follower.handle(self._clock(), event))

    def _perform(self, actions: list[FollowerAction]) -> None:
        for action in actions:
            match action:
                case Tell(message):
                    self._connection.say(message)
                case Remember():
                    self._remember(action)
                case Apply():
                    self._apply(action)
                case Reported():
                    self._report(action)
        self._lapse_at(self.follower.until if self.follower.granted(self._clock()) else NO_EXPIRY_US)

    def _report(self, action: Reported) -> None:
        self.counters.add(f"follow.{action.word.value.replace(' ', '_')}")
        logger.info("agreement", extra=fields(word=action.word.value, version=action.id, text=action.text))
        if action.word.value == "refused":
            check = action.text.partition(":")[0]
            now_ms = self._wall() // 1000
            self._keep(Change(now_ms, refusal=Refusal(str(action.id), (check,), action.text, now_ms)))

    # What is applied

    def _apply(self, action: Apply) -> None:
        granted = action.standing is Standing.GRANTED
        if granted:
            self._in_force(action.id, action.contents)
        cluster = action.contents.clusters.get(self._cluster)
        if cluster is not None and action.id != NOTHING:
            # The store's list is told as an old one, and again as a whole once it is known to hold.
            line = self._lists.take(cluster, whole=granted and self._old)
            if line is not None:
                self._lead(line, self._old and not granted)
        if granted:
            self._old = False
        self._apply_settings()

    def _apply_settings(self) -> None:
        """What the module is to hear; nothing before there is a version: the file's settings hold."""
        if self.follower.told is None:
            return
        used = self.follower.used(self._clock()).settings
        if used != self._texts:
            before, self._texts = self._texts, dict(used)
            settings = self._running.rules(used)
            if differ := self._running.differ(before, used):
                self.counters.add("follow.settings")
                logger.info(
                    "settings",
                    extra=fields(
                        changed=" ".join(differ[:CHANGES_TOLD]), more=max(0, len(differ) - CHANGES_TOLD)
                    ),
                )
                self._rule(settings)
        heard = self._running.heard(used, self._twins)
        known = self._heard if self._heard is not None else self._running.heard({}, self._twins)
        if heard != known:
            self._heard = heard
            self._tell(heard)

    def _in_force(self, id: VersionId, contents: Contents) -> None:
        """The guard measures by it from now on; drains in it are remembered, those over forgotten."""
        self._guard.handle(self._clock(), Took(_picture(id, contents)))
        now_ms, told, lifted = self._wall() // 1000, dict[str, Drain](), list[str]()
        meant = {node.name for node in self._reopened.pop(id, ())}
        for cluster in contents.clusters.values():
            _drains(cluster, self._state, meant, now_ms, told, lifted)
        if told or lifted:
            self._keep(Change(now_ms, drains=told, lifted=tuple(lifted)))

    # What is kept

    def _remember(self, remember: Remember) -> None:
        id = f"{self._life:x}.{remember.number}"
        version = self._memory.write(remember.memory, id)
        self._keep(Change(self._wall() // 1000, version, epoch=remember.memory.epoch), remember)

    def _keep(self, change: Change, remember: Remember | None = None) -> None:
        """In effect here at once; on the disk as soon as it can be, and only then is it acknowledged."""
        self._state = after(self._state, change)
        if not self._claimed:
            if remember is not None:
                # Nothing outlives this process, which is a follower that was never there to the next one.
                asyncio.get_running_loop().call_soon(self._decide, Remembered(remember.number))
            return
        self._waiting.append((change, [remember] if remember is not None else []))
        self._due.set()

    async def _write(self) -> None:
        """One change after the other, again after a failure; of versions that wait only the newest."""
        loop = asyncio.get_running_loop()
        if self._store is None:
            return
        while not self._claimed:
            await asyncio.sleep(RETRY_S)
            if self.lock is None or self.lock.claim():
                await loop.run_in_executor(self._writer, self._store.open)
                self._take_over()
        while True:
            await self._due.wait()
            if not self._waiting:
                self._due.clear()
                continue
            self._fold()
            change, remembers = self._waiting[0]
            try:
                await loop.run_in_executor(self._writer, self._store.put, change)
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            del self._waiting[0]
            for remember in remembers:
                self._decide(Remembered(remember.number))

    def _take_over(self) -> None:
        """The predecessor has left the store to us: what it held and what we know."""
        self._claimed = True
        version = self._state.version
        self._keep(Change(self._wall() // 1000, version, drains=self._state.drains, epoch=self._state.epoch))

    def _fold(self) -> None:
        """A version that another has followed need not be written; who waits for it waits for that."""
        versions = [i for i, (change, _) in enumerate(self._waiting) if change.version is not None]
        if len(versions) < 2:
            return
        newest, remembers = versions[-1], list[Remember]()
        for i in versions[:-1]:
            remembers += self._waiting[i][1]
        change, own = self._waiting[newest]
        self._waiting[newest] = change, [*remembers, *own]
        for i in reversed(versions[:-1]):
            del self._waiting[i]


def _picture(id: VersionId, contents: Contents) -> Picture:
    """Its generation has the order of versions: the epoch's first."""
    return Picture(id.epoch << 64 | id.number, contents.clusters)


def _drains(
    cluster: Cluster, state: State, meant: set[str], now_ms: int, told: dict[str, Drain], lifted: list[str]
) -> None:
    """Drains that this list tells and that are not known; those that it ends."""
    for endpoint in cluster.endpoints:
        name, started = endpoint.node.name, endpoint.node.started_ms
        known = state.drains.get(name)
        if not up(endpoint):
            if known is None or known.started_ms < started:
                told[name] = Drain(started, now_ms)
        elif known is not None and (started > known.started_ms or name in meant):
            lifted.append(name)
