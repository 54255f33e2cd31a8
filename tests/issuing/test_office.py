"""Control services with one leader, over the stand-in store: versions, refusals, orders, a takeover."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from issuing_parties import PATIENCE_S, Balancer, Control, picture, until

from roadlb.agreement.events import Standing
from roadlb.fleet.model import Lifecycle
from roadlb.issuing.history import ORDERS, Order, write_order
from roadlb.lab.standin_etcd.server import Fault, StandIn

UP, DRAINING = Lifecycle.UP, Lifecycle.DRAINING


@asynccontextmanager
async def hall(balancers: int = 2) -> AsyncIterator[tuple[StandIn, Control, Control, list[Balancer]]]:
    """Two control services, of which the first leads, and balancers that know both; a first list in force."""
    async with StandIn() as store:
        a = await Control(store, "a").start()
        await until(lambda: a.leads, "one leads")
        b = await Control(store, "b").start()
        timing = a.office.timing
        ones = [Balancer(f"balancer-{i}", timing, a.port, b.port) for i in range(balancers)]
        for control in (a, b):
            control.office.pictured(picture(1))
        try:
            await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "all have a lease")
            yield store, a, b, ones
        finally:
            await asyncio.gather(*(one.end() for one in ones))
            await asyncio.gather(a.stop(), b.stop())


def words(control: Control) -> list[tuple[str, str]]:
    return [
        (line.word, line.version.rpartition(".")[2])
        for _, line in sorted(control.office.ledger.lines.items())
        if line.word not in ("leading", "deposed")
    ]


async def order(store: StandIn, control: Control, order: Order) -> str:
    """As the command gives it: the answer."""
    client = control.office.store
    lease = (await client.grant(60)).lease
    keys, name = control.office.keys, f"{len(store.store.leases)}-{store.store.revision}"
    await client.put(keys[ORDERS + name], write_order(order), lease)
    answers: list[str] = []

    async def answered() -> None:
        while not answers:
            found = await client.get(keys["answers/" + name])
            answers.extend(pair.value.decode() for pair in found.pairs)
            await asyncio.sleep(0.02)

    await asyncio.wait_for(answered(), PATIENCE_S)
    return answers[0]


async def drains() -> None:
    async with hall() as (_, a, b, ones):
        a.office.pictured(picture(2, 3))
        await until(lambda: all(one.lifecycles()["n3"] is DRAINING for one in ones), "the drain is kept to")
        await until(lambda: a.office.issuer.prepared is None, "it is in force")
        force = a.office.issuer.force
        assert force is not None
        await until(lambda: all(one.decider.force == force.id for one in ones), "for both")
        await until(
            lambda: words(b) == [("prepared", "1"), ("in force", "1"), ("prepared", "2"), ("in force", "2")],
            "the other service sees the same history",
        )
        assert b.office.ledger.book.force == force


def test_a_drain_is_kept_to_by_all_and_then_in_force_and_the_store_has_it() -> None:
    asyncio.run(asyncio.wait_for(drains(), 4 * PATIENCE_S))


async def refusals() -> None:
    async with hall() as (store, a, _, ones):
        ones[1].refuses = lambda prepare: "reopened: n3" if prepare.version.id.number == 2 else ""
        a.office.pictured(picture(2, nodes=7))
        await until(lambda: any(word == "refused" for word, _ in words(a)), "one refuses, and it is written")
        await until(
            lambda: all(len(one.lifecycles()) == 6 and one.standing is Standing.GRANTED for one in ones),
            "what was in force holds again",
        )
        a.office.pictured(picture(3, nodes=8))
        await until(lambda: all(len(one.lifecycles()) == 8 for one in ones), "the next one is taken by both")
        a.office.pictured(picture(4, gone=(1, 3, 5, 7)))  # a hall is emptied: the guard
        await until(lambda: words(a)[-1] == ("declined", ""), "it is declined before anybody is told")
        (line,) = [line for line in a.office.ledger.lines.values() if line.word == "declined"]
        assert "hall_emptied" in line.text and all(len(one.lifecycles()) == 8 for one in ones)
        a.office.pictured(picture(5, gone=(1, 3, 5, 7)))  # told again: one line is enough
        assert "no version" in await order(store, a, Order("accept", line=1_000))
        assert await order(store, a, Order("accept", "hall b is gone", line=line.number)) == ""
        await until(lambda: all(len(one.lifecycles()) == 3 for one in ones), "accepted, it is taken by both")
        assert a.office.issuer.force.meant or a.office.issuer.prepared.meant  # type: ignore[union-attr]
        assert len([line for line in a.office.ledger.lines.values() if line.word == "declined"]) == 1


def test_a_refused_version_stops_nothing_else_and_an_accepted_one_is_taken() -> None:
    asyncio.run(asyncio.wait_for(refusals(), 4 * PATIENCE_S))


async def takeover() -> None:
    async with hall() as (store, a, b, ones):
        before = a.office.issuer.force
        assert before is not None
        await a.stop()
        await until(lambda: b.leads, "the other leads")
        assert b.office.issuer.epoch > before.id.epoch
        b.office.pictured(picture(2, 4))
        await until(lambda: all(one.lifecycles()["n4"] is DRAINING for one in ones), "its drain is kept to")
        await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "with leases of its own")
        # The versions' numbers go on, and nothing that the former one had in force is lost on the way.
        assert b.office.issuer.force.id.number > before.id.number  # type: ignore[union-attr]
        assert all(one.decider.epoch == b.office.issuer.epoch for one in ones)
        assert await order(store, b, Order("propose", "later", {"nonsense": "1"})) != ""
        assert await order(store, b, Order("exclude", "it is being mended", follower="balancer-1")) == ""
        await until(lambda: ones[1].standing is Standing.LAPSED, "one that is excluded gets no lease")
        assert ones[0].standing is Standing.GRANTED
        assert await order(store, b, Order("include", follower="balancer-1")) == ""
        await until(lambda: ones[1].standing is Standing.GRANTED, "and has one when it counts again")


def test_another_service_goes_on_with_the_same_versions() -> None:
    asyncio.run(asyncio.wait_for(takeover(), 4 * PATIENCE_S))


async def no_store() -> None:
    async with hall() as (store, a, b, ones):
        store.fault = Fault.DEAF
        for control in (a, b):
            control.office.pictured(picture(2, 3))
        await until(lambda: all(one.lifecycles()["n3"] is DRAINING for one in ones), "the drain goes out")
        await until(lambda: all(one.standing is Standing.LAPSED for one in ones), "nobody has a lease")
        assert not any(one.lifecycles()["n3"] is UP for one in ones)
        await until(lambda: a.office.seat.leads() is None, "its seat has lapsed")
        for control in (a, b):
            control.office.pictured(picture(3, 3, 4))
        await until(lambda: all(one.lifecycles()["n4"] is DRAINING for one in ones), "a drain goes out still")
        store.fault = Fault.NONE
        await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "leases again")
        assert all(one.lifecycles()[name] is DRAINING for one in ones for name in ("n3", "n4"))
        assert [a.leads, b.leads].count(True) == 1


async def stray() -> None:
    async with hall() as (store, a, b, ones):
        store.fault = Fault.DEAF
        a.office.pictured(picture(2, nodes=7))  # told by one that will lead no more, and never kept
        await until(lambda: all(str(one.decider.told.id).endswith(".2") for one in ones), "told")  # type: ignore
        await a.stop()
        store.fault = Fault.NONE
        await until(lambda: b.leads, "the other leads")
        await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "leases again")
        assert all(len(one.lifecycles()) == 6 for one in ones)


def test_a_version_that_only_balancers_remember_is_replaced_by_itself() -> None:
    asyncio.run(asyncio.wait_for(stray(), 4 * PATIENCE_S))


def test_without_the_store_drains_go_out_and_grants_lapse() -> None:
    asyncio.run(asyncio.wait_for(no_store(), 4 * PATIENCE_S))


async def backup() -> None:
    async with hall() as (store, a, b, ones):
        kept = store.store.backup()
        for i in range(2, 5):
            a.office.pictured(picture(i, nodes=6 + i))
            await until(
                lambda: (
                    a.office.issuer.prepared is None and all(len(one.lifecycles()) == 6 + i for one in ones)  # noqa: B023
                ),
                "in force",
            )
        newest = a.office.issuer.force
        assert newest is not None
        store.restore(kept)
        await until(
            lambda: any(c.leads and c.office.issuer.epoch > newest.id.epoch for c in (a, b)),
            "one leads in an epoch that nobody has seen",
        )
        await until(lambda: all(one.standing is Standing.GRANTED for one in ones), "all have a lease again")
        assert all(len(one.lifecycles()) == 10 for one in ones)
        await until(
            lambda: any((force := c.office.ledger.book.force) and force.id >= newest.id for c in (a, b)),
            "the store has again what was in force",
        )


def test_a_store_back_from_a_backup_takes_no_version_back() -> None:
    asyncio.run(asyncio.wait_for(backup(), 4 * PATIENCE_S))
