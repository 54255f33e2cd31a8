"""One control service at the store: it runs for the seat, and keeps what stands there before its eyes.

Theory of operation.  `Leading` decides; each of its questions is one call of the store, and it is told the
answer, or that there was none.  Beside that runs one watch of the whole prefix: read, then watched from the
revision read.  What breaks it is no matter: it is read anew.

Every answer bears the store's revision, which is never less than one that was seen before the question was
asked, unless the store went back to a backup.  Then the epoch that we lead in may be given out again, and so
it is taken for one that is known already (`Overtaken`).  Several questions may be open when the store goes
back: the first answer tells of it; the revisions of the others are of either history and are not compared.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..clock import Clock, monotonic_us
from ..control import leading
from ..etcd.client import Etcd
from ..etcd.model import Decided, Operation, Pair, StoreError, prefix_end
from ..log import Limit, fields
from .keys import Keys, answer, guarded, question

logger = logging.getLogger(__name__)

AGAIN_S = 0.5  # between two readings of a store that fails


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """What was known of the store at a question: its highest revision, and how often it had gone back."""

    revision: int
    went_back: int


class Seat:
    """`told` gets `Lead`, `Extend` and `StepDown`; `seen` the keys that changed, by their names under the
    prefix, with None for one that is gone; with True, first and after each break, all keys there are."""

    def __init__(
        self,
        store: Etcd,
        keys: Keys,
        who: Callable[[], str],
        decider: leading.Leading,
        told: Callable[[leading.Action], None],
        seen: Callable[[Mapping[str, Pair | None], bool], None],
        clock: Clock = monotonic_us,
    ) -> None:
        self.store, self.keys, self.decider, self.revision = store, keys, decider, 0
        self.error, self.heard_at, self.went_back = "", 0, 0
        self._who, self._told, self._seen, self._clock = who, told, seen, clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._again = asyncio.Event()
        self._warnings = Limit(clock, 20)

    def leads(self) -> int | None:
        """The epoch in which this service may act now."""
        return self.decider.leads(self._clock())

    def tell(self, event: leading.Event) -> None:
        """What the decider is to know, at once."""
        for action in self.decider.handle(self._clock(), event):
            if isinstance(action, leading.Lead | leading.Extend | leading.StepDown):
                self._told(action)
            else:
                self._spawn(self._ask(action))
        self._again.set()

    async def write(self, epoch: int, *then: Operation) -> Decided:
        """A transaction that is carried out only while the seat is that of this epoch; StoreError if it is
        not known whether it was.  If it was not, the decider knows by now."""
        txn = guarded(self.keys, epoch, *then)
        before = self._revision_seen()
        decided = await self.store.txn(txn.compares, txn.then)
        self._record_revision(decided.revision, before)
        if not decided.held:
            self.tell(leading.Fenced(epoch))
        return decided

    async def run(self) -> None:
        """For ever; when it is cancelled, the lease is given back if the store answers."""
        watching = asyncio.create_task(self._watch())
        try:
            while True:
                self.tell(leading.Tick())
                self._again.clear()
                wait = max(0.001, (self.decider.wake_at - self._clock()) / 1e6)
                try:
                    async with asyncio.timeout(wait):
                        await self._again.wait()
                except TimeoutError:
                    continue
        finally:
            watching.cancel()
            self.tell(leading.Retire())
            await asyncio.gather(watching, *self._tasks, return_exceptions=True)

    async def _ask(self, asked: Any) -> None:
        """One question of the decider's."""
        asked_at, epoch = self._clock(), self.decider.holder
        before = self._revision_seen()
        try:
            reply = await self.store.call(question(asked, self.keys, self._who()))
        except StoreError as e:
            self._failed(e)
            if not isinstance(asked, leading.Revoke | leading.Look):  # a lease ends by itself
                self.tell(leading.Failed(str(e)))
            return
        self._record_revision(reply.revision, before)
        if not isinstance(asked, leading.Revoke):
            self.tell(answer(asked, asked_at, reply, epoch))

    async def _watch(self) -> None:
        prefix = self.keys[""]
        while True:
            try:
                before = self._revision_seen()
                read = await self.store.get(prefix, prefix_end(prefix))
                self._record_revision(read.revision, before)
                watched_from = RevisionSeen(0, self.went_back)
                self._see({self._name(pair): pair for pair in read.pairs}, whole=True)
                async for news in self.store.watch(prefix, prefix_end(prefix), read.revision + 1):
                    self._record_revision(news.revision, watched_from)
                    if news.changes:
                        self._see(
                            {
                                self._name(change.pair): None if change.deleted else change.pair
                                for change in news.changes
                            },
                            whole=False,
                        )
            except StoreError as e:
                self._failed(e)
            await asyncio.sleep(AGAIN_S)

    def _name(self, pair: Pair) -> str:
        return pair.key.decode(errors="replace").removeprefix(self.keys[""].decode())

    def _see(self, found: Mapping[str, Pair | None], whole: bool) -> None:
        if (whole or "seat" in found) and found.get("seat") is None:
            self.tell(leading.Vacant())
        self._seen(found, whole)

    def _revision_seen(self) -> RevisionSeen:
        """What is known of the store now, as a question is asked."""
        return RevisionSeen(self.revision, self.went_back)

    def _record_revision(self, revision: int, before: RevisionSeen) -> None:
        """Record the revision of an answer, with what was known when its question was asked."""
        self.error, self.heard_at = "", self._clock()
        if before.went_back != self.went_back:
            return  # the store has gone back since: this answer may be of either history
        if revision >= before.revision:
            self.revision = max(self.revision, revision)
            return
        self.went_back += 1
        self.revision = revision
        logger.error("the store went back", extra=fields(revision=revision, before=before.revision))
        self.tell(leading.Overtaken(self.decider.holder))

    def _failed(self, error: StoreError) -> None:
        self.error = str(error)
        if self._warnings.allows():
            logger.warning("store", extra=fields(error=error))

    def _spawn(self, what: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
