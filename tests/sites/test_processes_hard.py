"""Hard cases of a site's loss before six real processes: what is half alive, not lost, and much at once."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import pairwise

import pytest
from six import HALLS, TOLD_US, UNEVEN, Six, foreign, lost, without_steps

from roadlb.lab import mutants
from roadlb.lab.incident import Incident
from roadlb.lab.judge.order import Ranks, order_of_refusals, ranks_by
from roadlb.lab.run.rig import GENEROUS_S, Rig
from roadlb.lab.run.settings import plan_of
from roadlb.lab.wire import ClientGot, ClientLost, NodeFell, NodeGave, NodeGot, NodeStarted
from roadlb.sites.state_machine import TRIAL_INTERVAL_US

ON_THE_WAY_US = 100_000  # what had left before a word was heard


@pytest.fixture(scope="module")
def uneven(six: Six) -> Iterator[Six]:
    """Sixty, thirty and ten percent of the capacity; the last site is one node."""
    six.end()  # one at a time on the machine
    all_of_them = Six(UNEVEN)
    yield all_of_them
    all_of_them.end()


def ranks(incident: Incident) -> Ranks:
    """Of requests by the plan, as far as the wire tells."""
    traffic = incident.traffic
    return ranks_by(
        plan_of(incident),
        {row.name: row.worth for row in traffic.classes},
        [row.name for row in traffic.tenants],
        traffic.over_share_worth,
    )


async def passes(rig: Rig, requests: int = 300, hall: str = "hall-a") -> None:
    """So many requests come to this hall, however long that takes."""
    since = rig.now
    await rig.until("a while passes", lambda: len(rig.got(since, hall)) >= requests)


def test_a_site_that_answers_cheap_requests_alone_gets_few_orders(six: Six) -> None:
    async def test(rig: Rig) -> None:
        names = foreign(rig, "hall-a")

        def share(since: int) -> float:
            orders = [event for event in rig.got(since, method="POST") if event.balancer in names]
            halls = {event.request for event in rig.got(since, "hall-a")}
            return sum(event.request in halls for event in orders) / max(1, len(orders))

        began = rig.now
        await passes(rig, 200, "hall-b")
        usual = share(began)
        heal = rig.no_answers("hall-a", b"POST ")
        # Few go there from the first second on, as those that fail make nodes suspect; a balancer judges
        # the hall by three of its own.
        known = await rig.until(
            "orders keep away from it",
            lambda: all(rig.sites.get(name, {}).get("hall-a", {}).get("orders_away") for name in names),
        )
        await passes(rig, 800, "hall-b")
        reads = [event for event in rig.got(known, "hall-a", "GET") if event.balancer in names]
        assert share(known) < usual / 3 and reads
        for name in names:
            came = [
                event.at
                for event in rig.got(known + ON_THE_WAY_US, "hall-a", "POST")
                if event.balancer == name
            ]
            assert all(b - a > TRIAL_INTERVAL_US - ON_THE_WAY_US for a, b in pairwise(came)), (
                "one at a time, in turn"
            )
        heal()

    six.play(test)


def test_balancers_of_a_site_without_nodes_serve_their_clients_from_elsewhere(six: Six) -> None:
    async def test(rig: Rig) -> None:
        fleet, began = rig.stage.fleet, rig.now
        inside = [one.name for one in rig.stage.balancers.all if one.hall == "hall-b"]
        nodes = [one for one in fleet.there.values() if one.hall == "hall-b"]
        for node in nodes:
            fleet.stop(node, silent=True)
        known = await rig.until(
            "its own balancers know",
            lambda: all(rig.say(name, "hall-b", "lost", "absent") for name in inside),
        )

        def served() -> set[str]:
            """Balancers of it whose clients, orders among what they asked, are answered from other halls."""
            orders = {event.request for event in rig.got(known, method="POST")}
            return {
                event.balancer
                for event in rig.events(ClientGot, known)
                if event.request in orders and event.status == 200
            }

        await rig.until("they serve orders", lambda: set(inside) <= served())
        assert not lost(rig, began, "hall-a", "hall-c")
        for node in nodes:
            await fleet.back(node)
        back = rig.now
        await rig.until(
            "whole, with load", lambda: rig.all_say("hall-b", "whole") and len(rig.got(back, "hall-b")) > 20
        )

    six.play(test)


def test_all_halls_in_trouble_at_once_and_none_is_lost_on_relative_evidence(six: Six) -> None:
    async def test(rig: Rig) -> None:
        began = rig.now
        ends = [rig.pause_nodes(hall) for hall in HALLS]

        def failed() -> int:
            return len(rig.events(ClientLost, began)) + sum(
                event.status != 200 for event in rig.events(ClientGot, began)
            )

        await rig.until("hundreds have failed", lambda: failed() > 400)
        assert not lost(rig, began, *HALLS)
        for end in ends:
            end()
        back = rig.now
        await rig.until(
            "all of them serve again", lambda: all(len(rig.got(back, hall, "POST")) > 5 for hall in HALLS)
        )

    six.play(test)


def test_balancers_learn_of_a_loss_seconds_apart_each_by_itself(six: Six) -> None:
    async def test(rig: Rig) -> None:
        names, opens, told = foreign(rig, "hall-c"), [], {}
        for name in names:
            told[name] = rig.now
            opens.append(rig.shut("hall-c", [name]))
            await asyncio.sleep(1.0)
        await rig.until("all of them know", lambda: all(rig.say(name, "hall-c", "lost") for name in names))
        assert not lost(rig, told[names[0]], "hall-a", "hall-b")
        for change in rig.changes(told[names[0]]):
            if change.after == "lost" and change.site == "hall-c":
                assert change.at >= told[change.balancer], change
        before_last = [
            event
            for event in rig.got(told[names[0]], "hall-c")
            if event.balancer == names[-1] and event.at < told[names[-1]]
        ]
        assert before_last, "who has not lost it goes on"
        for reopen in opens:
            reopen()

    six.play(test)


def test_orders_under_way_as_a_site_is_lost_fail_and_are_not_repeated(six: Six) -> None:
    async def test(rig: Rig) -> None:
        def under_way() -> set[str]:
            recent = rig.now - 2_000_000
            kinds: list[type[NodeGave | ClientGot | ClientLost]] = [NodeGave, ClientGot, ClientLost]
            over = {event.request for kind in kinds for event in rig.events(kind, recent)}
            return {event.request for event in rig.got(recent, "hall-a", "POST")} - over

        fleet = rig.stage.fleet
        for one in fleet.there.values():
            if one.hall == "hall-a":
                fleet.slow(one, 20.0)  # so that they are many, however quick the machine is
        async with asyncio.timeout(GENEROUS_S):
            while len(orders := under_way()) < 3:
                await asyncio.sleep(0.005)
        lost_at = rig.now
        give_back = rig.lose("hall-a")

        def ends() -> dict[str, object]:
            found = [*rig.events(ClientGot, lost_at), *rig.events(ClientLost, lost_at)]
            return {
                event.request: getattr(event, "status", "no answer")
                for event in found
                if event.request in orders
            }

        await rig.until("their clients know how it ended", lambda: len(ends()) == len(orders))
        assert orders and 200 not in ends().values()
        came = [event.request for event in rig.got(lost_at - 10_000_000) if event.request in orders]
        assert sorted(came) == sorted(orders), "each came to one node, once"
        await give_back()

    six.play(test)


def test_a_site_lost_in_the_middle_of_a_rolling_deploy_in_another(six: Six) -> None:
    async def test(rig: Rig) -> None:
        began = rig.now
        deploy = asyncio.create_task(rig.stage.step(0))
        await rig.until("the deploy has begun", lambda: bool(rig.events(NodeStarted, began)))
        give_back = rig.lose("hall-b")
        await rig.until("hall-b lost to all", lambda: rig.all_say("hall-b", "lost", "absent"))
        await deploy
        await give_back()
        await rig.until("whole", lambda: len(rig.sites) == 6 and rig.all_say("hall-b", "whole"))
        assert not lost(rig, began, "hall-a", "hall-c"), "to drain is not to be lost"
        assert not rig.events(NodeFell, began)

    six.play(test)


def test_a_site_with_sixty_percent_of_the_capacity_is_lost_and_fells_nobody(uneven: Six) -> None:
    async def test(rig: Rig) -> None:
        began = rig.now
        give_back = rig.lose("hall-a")
        known = await rig.until("hall-a lost to all", lambda: rig.all_say("hall-a", "lost", "absent"))
        await passes(rig, 300, "hall-b")
        await passes(rig, 60, "hall-c")
        assert not lost(rig, began, "hall-b", "hall-c"), "what is overloaded is not lost"
        # Reads that ask whether a lost site is back would else be refused, and are no breach.
        here = [
            event for event in rig.log if not (isinstance(event, NodeGot) and rig.hall_of(event) == "hall-a")
        ]
        kept = order_of_refusals(here, ranks(rig.incident), since=known + TOLD_US)
        assert kept.refusals and kept.share > 0.8, "orders go last, whatever the moment"
        await give_back()
        await rig.until("whole", lambda: len(rig.sites) == 6 and rig.all_say("hall-a", "whole"))
        assert not rig.events(NodeFell, began)

    uneven.play(test)


def test_a_site_of_a_single_node_is_not_judged_as_a_site(uneven: Six) -> None:
    async def test(rig: Rig) -> None:
        began = rig.now
        give_back = rig.lose("hall-c")
        await passes(rig, 400)
        assert not lost(rig, began, *HALLS)
        await give_back()
        back = rig.now
        await rig.until("it has load", lambda: len(rig.got(back, "hall-c")) > 5)

    uneven.play(test)


def test_a_program_that_returns_a_site_at_once_is_found_out(uneven: Six) -> None:
    # That nobody skips the steps of the return is a claim that can fail: a planted defect in each process.
    async def test(rig: Rig) -> None:
        since = rig.now
        reopen = rig.shut("hall-b")
        await rig.until("hall-b lost to some", lambda: any(c.after == "lost" for c in rig.changes(since)))
        await asyncio.sleep(2)
        reopen()
        await rig.until("it is whole without a step", lambda: bool(without_steps(rig.changes(since))))

    uneven.end()  # one at a time on the machine
    planted = Six(variables=mutants.variables("return at once"))
    try:
        planted.play(test)
    finally:
        planted.end()
