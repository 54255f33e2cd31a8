"""The client against the stand-in over gRPC: what is asked arrives whole, and failures have names."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Awaitable

import pytest

from roadlb.etcd.client import Etcd
from roadlb.etcd.model import Compare, Delete, Field, Get, Got, Put, Relation, StoreError, Trouble
from roadlb.lab.standin_etcd.server import Fault, StandIn

PATIENCE_S = 30.0  # generous: only a defect takes so long


async def trouble(call: Awaitable[object]) -> Trouble:
    with pytest.raises(StoreError) as raised:
        await call
    return raised.value.trouble


async def conversation() -> None:
    async with StandIn() as store:
        client = Etcd([store.address], call_s=PATIENCE_S)
        lease = (await client.grant(60)).lease
        assert (await client.keep_alive(lease)).ttl_s == 60
        assert (await client.put(b"k", b"v", lease)).revision == 2
        done = await client.txn(
            [
                Compare(b"k", Field.CREATED, Relation.EQUAL, 2),
                Compare(b"k", Field.VALUE, Relation.EQUAL, b"v"),
                Compare(b"k", Field.LEASE, Relation.EQUAL, lease),
                Compare(b"x", Field.VERSION, Relation.LESS, 1),
            ],
            [Put(b"l", b"w"), Delete(b"nothing"), Get(b"k", b"z")],
            [Get(b"k")],
        )
        assert done.held and done.revision == 3 and isinstance(done.answers[2], Got)
        assert [(p.key, p.lease) for p in done.answers[2].pairs] == [(b"k", lease), (b"l", 0)]
        refused = await client.txn(
            [Compare(b"k", Field.CREATED, Relation.EQUAL, 0)], [Put(b"k", b"")], [Get(b"k")]
        )
        assert not refused.held and refused.answers[0] == await client.get(b"k")
        watch = client.watch(b"k", b"z", start=2)
        assert (await anext(watch)).changes == ()
        told = (await anext(watch)).changes
        assert [(c.pair.key, c.pair.modified) for c in told] == [(b"k", 2), (b"l", 3)]
        await client.revoke(lease)
        assert [(c.pair.key, c.deleted) for c in (await anext(watch)).changes] == [(b"k", True)]
        assert (await client.delete(b"l")).deleted == 1
        await client.compact(5)
        assert (await client.keep_alive(lease)).ttl_s == 0
        assert await trouble(client.revoke(lease)) is Trouble.NO_LEASE
        assert await trouble(client.put(b"k", b"", lease)) is Trouble.NO_LEASE
        assert await trouble(client.get(b"k", revision=2)) is Trouble.COMPACTED
        assert await trouble(client.get(b"k", revision=99)) is Trouble.AHEAD
        late = client.watch(b"k", start=2)
        await anext(late)
        with pytest.raises(StoreError) as raised:
            await anext(late)
        assert (raised.value.trouble, raised.value.compacted) == (Trouble.COMPACTED, 5)
        await client.close()


async def faults() -> None:
    for fault, carried_out in ((Fault.DEAF, 0), (Fault.SILENT, 1), (Fault.AWAY, 0)):
        async with StandIn() as store:
            client = Etcd([store.address], call_s=0.3)
            watch = client.watch(b"k")
            await anext(watch)
            store.fault = fault
            assert await trouble(client.put(b"k", b"")) is Trouble.UNREACHABLE
            assert store.store.revision == 1 + carried_out, fault
            store.fault = Fault.NONE
            async with asyncio.timeout(PATIENCE_S):  # the same endpoint, once it is well
                while True:
                    try:
                        assert (await client.get(b"k")).count >= carried_out  # a deaf one may hear it now
                        break
                    except StoreError as e:
                        assert e.trouble is Trouble.UNREACHABLE
            await client.close()
    async with StandIn() as store, StandIn() as other:
        both = Etcd([store.address, other.address], call_s=0.3)
        store.fault = Fault.DEAF
        assert (await both.get(b"k")).count == 0  # a read goes on to the next endpoint by itself
        assert both.endpoint == other.address
        await both.put(b"k", b"")
        assert other.store.revision == 2
        await both.close()


async def left() -> None:
    async with StandIn() as store:
        client = Etcd([store.address], call_s=0.3)
        watch = client.watch(b"k")
        await anext(watch)
        store.fault = Fault.DEAF
        waits = asyncio.create_task(trouble(anext(watch)))
        assert await trouble(client.put(b"k", b"")) is Trouble.UNREACHABLE  # its channel is left
        assert await waits is Trouble.UNREACHABLE
        store.fault = Fault.NONE
        again = client.watch(b"k")
        await anext(again)
        waiting = asyncio.ensure_future(anext(again))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):  # who is cancelled himself is told that
            await waiting
        await client.close()


def test_what_is_open_on_a_channel_that_another_call_left_ends_as_unreachable() -> None:
    # gRPC tells a cancellation; the control service's watch of the store ended so, and heard no order again.
    asyncio.run(asyncio.wait_for(left(), 4 * PATIENCE_S))


def test_what_is_asked_and_answered_crosses_the_wire_whole() -> None:
    asyncio.run(asyncio.wait_for(conversation(), 4 * PATIENCE_S))


def test_a_store_that_does_not_answer_is_told_from_one_that_refuses() -> None:
    asyncio.run(asyncio.wait_for(faults(), 4 * PATIENCE_S))


async def restored() -> None:
    async with StandIn() as store:
        client = Etcd([store.address], call_s=PATIENCE_S)
        backup = store.store.backup()
        await client.put(b"k", b"")
        watch = client.watch(b"k")
        await anext(watch)
        store.restore(backup)
        assert await trouble(anext(watch)) is Trouble.UNREACHABLE
        again = client.watch(b"k")
        assert (await anext(again)).revision == 1  # who watches sees that it went back
        await client.close()


def test_a_store_that_goes_back_ends_its_watches() -> None:
    asyncio.run(asyncio.wait_for(restored(), 4 * PATIENCE_S))


def test_as_a_process_it_obeys_and_ends_with_its_input() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "roadlb.lab.standin_etcd"],
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdin and process.stdout
        word, address = process.stdout.readline().split()
        assert word == "at" and address.startswith("127.0.0.1:")

        def order(line: str) -> str:
            assert process.stdin and process.stdout
            process.stdin.write(line + "\n")
            process.stdin.flush()
            return process.stdout.readline().strip()

        assert order("backup a") == "done backup a" and order("restore a") == "done restore a"
        assert order("restore b").startswith("error") and order("fault odd").startswith("error")
        assert order("fault away") == "done fault away"
        process.stdin.close()
        assert process.wait(PATIENCE_S) == 0
