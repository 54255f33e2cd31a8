"""Seats round the stand-in over gRPC: one leads, another follows, and writes of an old leader are refused."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager

import pytest

from roadlb.control.leading import (
    Action,
    Event,
    Lead,
    Leading,
    Overtaken,
    State,
    StepDown,
    Tick,
    Vacant,
    era_of,
)
from roadlb.etcd.client import Etcd
from roadlb.etcd.model import Decided, Pair, Put, Txn
from roadlb.issuing.keys import Keys
from roadlb.issuing.seat import Seat
from roadlb.lab.run.link import Link
from roadlb.lab.standin_etcd import events
from roadlb.lab.standin_etcd.server import Fault, StandIn

PATIENCE_S = 60.0  # generous: only a defect takes so long
KEYS = Keys("/t")


async def until(what: Callable[[], bool], label: str) -> None:
    end = time.monotonic() + PATIENCE_S
    while not what():
        assert time.monotonic() < end, f"in vain: {label}"
        await asyncio.sleep(0.01)


class One:
    """A service: its seat, what it was told, and the keys as it sees them."""

    def __init__(self, store: str, name: str, ttl_s: int = 3, call_s: float = 0.3) -> None:
        self.client, self.keys = Etcd([store], call_s), dict[str, Pair]()
        self.told: list[Action] = []
        self.seat = Seat(self.client, KEYS, lambda: name, Leading(ttl_s), self.told.append, self.see)
        self.task = asyncio.create_task(self.seat.run())

    def see(self, found: Mapping[str, Pair | None], whole: bool) -> None:
        if whole:
            self.keys.clear()
        for name, pair in found.items():
            if pair is None:
                self.keys.pop(name, None)
            else:
                self.keys[name] = pair

    @property
    def epochs(self) -> list[int]:
        return [action.epoch for action in self.told if isinstance(action, Lead)]

    async def end(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.client.close()


@asynccontextmanager
async def two() -> AsyncIterator[tuple[StandIn, One, One]]:
    """Two services, of which the first leads."""
    async with StandIn() as store:
        a = One(store.address, "a")
        await until(lambda: a.seat.leads() is not None, "one leads")
        b = One(store.address, "b")
        try:
            await until(lambda: b.seat.decider.state is State.WAITING, "the other waits")
            yield store, a, b
        finally:
            await asyncio.gather(a.end(), b.end())


async def hand_over() -> None:
    async with two() as (store, a, b):
        epoch = a.seat.leads()
        assert epoch and b.seat.decider.holder == epoch
        await a.seat.write(epoch, Put(KEYS["force"], b"1"))
        await until(lambda: "force" in b.keys and b.keys["force"].value == b"1", "the other sees it")
        await a.end()  # it retires: nobody waits for its lease
        assert isinstance(a.told[-1], StepDown)
        await until(lambda: b.seat.leads() is not None, "the other leads")
        assert b.epochs[0] > epoch and b.keys["seat"].value == b"b"
        assert not (await a.seat.write(epoch, Put(KEYS["force"], b"old"))).held
        assert store.store._pair(KEYS["force"], store.store.revision).value == b"1"  # type: ignore[union-attr]


def test_one_that_retires_hands_over_and_writes_no_more() -> None:
    asyncio.run(asyncio.wait_for(hand_over(), 4 * PATIENCE_S))


class Counting(StandIn):
    runs = 0

    def tell(self, event: events.Event) -> None:
        super().tell(event)
        self.runs += isinstance(event, events.Asked) and isinstance(event.request, Txn)


async def stalled() -> None:
    async with Counting() as store:
        host, port = store.address.split(":")
        link = Link("b to store", host, (host, int(port)), lambda text: 0)
        a = Etcd([store.address])
        lease = (await a.grant(600)).lease
        await a.put(KEYS["seat"], b"a", lease)
        # Its next look at the seat is 300 s away: it must not be what helps.
        b = One("{}:{}".format(*link.address), "b", ttl_s=600, call_s=PATIENCE_S)
        try:
            await until(lambda: b.seat.decider.state is State.WAITING and "seat" in b.keys, "it waits")
            fallen, runs = link.when(b"/t/era", lambda: link.silent("back")), store.runs
            b.seat.tell(Vacant())  # an old word: it runs for a seat that another has
            await fallen
            await until(lambda: store.runs > runs, "the store has answered")
            await a.revoke(lease)
            link.heal()  # the answer and the watch's news, at once
            await until(lambda: b.seat.leads() is not None, "it leads")
        finally:
            await asyncio.gather(b.end(), a.close())
            link.end()


def test_a_seat_that_ends_while_the_answer_to_a_run_for_it_is_stalled_is_taken() -> None:
    asyncio.run(asyncio.wait_for(stalled(), 4 * PATIENCE_S))


async def silent() -> None:
    async with two() as (store, a, b):
        store.fault = Fault.DEAF
        await until(lambda: isinstance(a.told[-1], StepDown), "it steps down without the store")
        assert a.seat.leads() is None and b.seat.leads() is None and a.seat.error
        store.fault = Fault.NONE
        await until(lambda: a.seat.leads() is not None or b.seat.leads() is not None, "one leads again")
        assert max(a.epochs + b.epochs) > a.epochs[0]


def test_without_the_store_nobody_leads_and_one_does_when_it_is_back() -> None:
    asyncio.run(asyncio.wait_for(silent(), 4 * PATIENCE_S))


async def told_and_ended() -> None:
    async with two() as (_, a, _):
        a.seat.tell(Tick())  # it wakes, and is ended, in one turn of the loop
        a.task.cancel()
        done, _ = await asyncio.wait({a.task}, timeout=10)
        assert done, "a cancellation beside a wake-up is swallowed"


def test_one_that_is_ended_as_it_wakes_ends() -> None:
    asyncio.run(asyncio.wait_for(told_and_ended(), 4 * PATIENCE_S))


class OpenQuestions:
    """A store whose answers the test gives, in any order."""

    def __init__(self) -> None:
        self.open: list[asyncio.Future[Decided]] = []

    async def txn(self, *_: object) -> Decided:
        self.open.append(asyncio.get_running_loop().create_future())
        return await self.open[-1]


class RecordingDecider(Leading):
    """Counts how often it hears that another epoch is known."""

    overtaken_count = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        self.overtaken_count += isinstance(event, Overtaken)
        return super().handle(now, event)


async def back_with_questions_open(late_revisions: list[int]) -> None:
    """The store goes back from 30 to 5 while further answers to questions from before are on their way."""
    store, decider = OpenQuestions(), RecordingDecider(3)
    seat = Seat(
        store,  # type: ignore[arg-type]
        KEYS,
        lambda: "a",
        decider,
        lambda action: None,
        lambda found, whole: None,
    )

    async def write(*revisions: int) -> None:
        """Several at once, answered in this order."""
        writes = [asyncio.create_task(seat.write(1, Put(KEYS["force"], b"1"))) for _ in revisions]
        await asyncio.sleep(0)
        for question, revision in zip(store.open, revisions, strict=True):
            question.set_result(Decided(revision, True))
            await asyncio.sleep(0)
        store.open.clear()
        await asyncio.gather(*writes)

    await write(30)
    await write(5, *late_revisions)
    await write(7)
    assert (seat.went_back, decider.overtaken_count, seat.revision) == (1, 1, 7)
    await write(6)
    assert (seat.went_back, decider.overtaken_count, seat.revision) == (2, 2, 6)


@pytest.mark.parametrize("late_revisions", [[], [6], [31], [5, 30, 6]], ids=str)
def test_a_store_that_goes_back_with_questions_open_is_counted_once(late_revisions: list[int]) -> None:
    # Guards against an epoch that is given up anew for each answer to a question from before.
    asyncio.run(asyncio.wait_for(back_with_questions_open(late_revisions), PATIENCE_S))


async def backup() -> None:
    async with two() as (store, a, _):
        epoch = a.seat.leads()
        assert epoch
        kept = store.store.backup()
        for i in range(20):
            await a.seat.write(epoch, Put(KEYS["force"], b"%d" % i))
        store.restore(kept)
        await until(lambda: len(a.epochs) > 1, "it leads in an era of its own")
        assert a.seat.went_back == 1 and era_of(a.epochs[1]) == 1 and era_of(epoch) == 0


def test_a_leader_whose_store_goes_back_leads_on_above_all_it_ever_said() -> None:
    asyncio.run(asyncio.wait_for(backup(), 4 * PATIENCE_S))
