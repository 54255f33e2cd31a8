"""The roll of followers in the store: whoever had a lease is known to the next leader, heard of or not."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import pytest
from issuing_parties import PATIENCE_S, Balancer, Control, picture, until

from roadlb.agreement.events import Standing
from roadlb.etcd.model import Put, StoreError, Trouble
from roadlb.issuing.roll import ROLL, read_roll, write_roll
from roadlb.lab.standin_etcd.server import StandIn
from roadlb.xds.codec.protos import CodecError

JOIN = 3  # balancers, one after the other: a write of the roll for each


class Crash:
    """Ends a service at its `at`-th write of the roll: before the store has it, or before it knows that."""

    def __init__(self, control: Control, at: int, taken: bool) -> None:
        self.left, self.taken, self.here = at, taken, asyncio.Event()
        self._write, self._key = control.office.seat.write, control.office.keys[ROLL]
        control.office.seat.write = self.write  # type: ignore[method-assign]

    async def write(self, epoch: int, *then: Any) -> Any:
        self.left -= any(isinstance(one, Put) and one.key == self._key for one in then)
        if self.left:
            return await self._write(epoch, *then)
        if self.taken:
            await self._write(epoch, *then)
        self.here.set()
        await asyncio.Event().wait()


async def crash(at: int, taken: bool) -> None:
    async with StandIn() as store, AsyncExitStack() as ends:
        a = await Control(store, "a").start()
        ends.push_async_callback(a.stop)
        await until(lambda: a.leads, "one leads")
        a.office.pictured(picture(1))
        crash, ones = Crash(a, at, taken), list[Balancer]()
        while not crash.here.is_set():
            ones.append(Balancer(f"balancer-{len(ones)}", a.office.timing, a.port))
            ends.push_async_callback(ones[-1].end)
            await until(lambda: crash.here.is_set() or ones[-1].standing is Standing.GRANTED, "a lease")
        await asyncio.gather(*(one.end() for one in ones))  # nobody is heard of again
        had = {one.name for one in ones if any(a.standing is Standing.GRANTED for a in one.applied)}
        assert had == {one.name for one in ones[:-1]}, "no lease before the store holds the name"
        await a.stop()
        b = await Control(store, "b").start()
        ends.push_async_callback(b.stop)
        b.office.pictured(picture(1))
        await until(lambda: b.leads, "the other leads")
        assert {p.follower for p in b.office.issuer.view(0).peers if not p.heard} >= had
        epoch = f"{b.office.issuer.epoch}."

        def said() -> list[str]:
            return [
                line.text
                for line in b.office.ledger.lines.values()
                if line.word == "in force" and line.version.startswith(epoch)
            ]

        await until(lambda: said() != [], "its first version is in force")
        assert all(name in text for name in had for text in said()), (said(), had)


@pytest.mark.parametrize(("at", "taken"), [(1, True), (2, False), (2, True), (JOIN, False)])
def test_whoever_had_a_lease_is_named_by_the_next_leader_wherever_the_first_one_ends(
    at: int, taken: bool
) -> None:
    asyncio.run(asyncio.wait_for(crash(at, taken), 4 * PATIENCE_S))


async def refused_writes() -> None:
    async with StandIn() as store, AsyncExitStack() as ends:
        a = await Control(store, "a").start()
        ends.push_async_callback(a.stop)
        await until(lambda: a.leads, "one leads")
        a.office.pictured(picture(1))
        write, key, failed = a.office.seat.write, a.office.keys[ROLL], [0]

        async def fails(epoch: int, *then: Any) -> Any:
            if any(isinstance(one, Put) and one.key == key for one in then) and failed[0] < 2:
                failed[0] += 1
                raise StoreError(Trouble.UNREACHABLE, "no answer")
            return await write(epoch, *then)

        a.office.seat.write = fails  # type: ignore[method-assign]
        one = Balancer("balancer-0", a.office.timing, a.port)
        ends.push_async_callback(one.end)
        await until(lambda: one.standing is Standing.GRANTED, "it is asked again until the store has it")
        assert failed[0] == 2
        found = await a.office.store.get(key)
        assert read_roll(found.pairs[0].value) == {"balancer-0"}


def test_a_write_of_the_roll_that_fails_is_made_again_and_no_lease_is_given_before() -> None:
    asyncio.run(asyncio.wait_for(refused_writes(), 4 * PATIENCE_S))


def test_a_roll_is_read_as_it_was_written_and_another_release_s_is_told() -> None:
    names = frozenset(f"balancer-{i}-é" + "x" * 230 for i in range(4_096))
    assert read_roll(write_roll(names)) == names and read_roll(write_roll(())) == frozenset()
    for spoilt in (b"", b"x", write_roll(names)[:-1]):
        with pytest.raises(CodecError):
            read_roll(spoilt)
    with pytest.raises(CodecError, match="at most 4096"):
        read_roll(write_roll((*names, "one more")))
