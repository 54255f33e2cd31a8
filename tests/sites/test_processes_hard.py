"""A site's loss with six real processes: partial failures, sites not lost, several faults at once."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import pairwise

import pytest
from shared_deployment import (
    COMMAND_EFFECT_US,
    UNEVEN_DEPLOYMENT,
    ZONES,
    SharedDeployment,
    balancers_outside,
    loss_reports,
    returns_without_steps,
)

from roadlb.lab import mutants
from roadlb.lab.incident import Incident
from roadlb.lab.judge.order import Ranks, order_of_refusals, ranks_by
from roadlb.lab.run.rig import GENEROUS_S, Rig
from roadlb.lab.run.settings import plan_of
from roadlb.lab.wire import ClientGot, ClientLost, NodeFell, NodeGave, NodeGot, NodeStarted
from roadlb.sites.state_machine import TRIAL_INTERVAL_US

IN_FLIGHT_US = 100_000  # for messages sent before a change was known


@pytest.fixture(scope="module")
def uneven_deployment(deployment: SharedDeployment) -> Iterator[SharedDeployment]:
    """Zones with 60%, 30% and 10% of the capacity; the last one has a single server."""
    deployment.stop()  # one deployment at a time on the machine
    shared = SharedDeployment(UNEVEN_DEPLOYMENT)
    yield shared
    shared.stop()


def plan_ranks(incident: Incident) -> Ranks:
    """Ranks of requests by the refusal plan, as far as they follow from the messages."""
    traffic = incident.traffic
    return ranks_by(
        plan_of(incident),
        {row.name: row.worth for row in traffic.classes},
        [row.name for row in traffic.tenants],
        traffic.over_share_worth,
    )


async def requests_pass(rig: Rig, requests: int = 300, zone: str = "hall-a") -> None:
    """Waits until this many requests have come to the zone, however long that takes."""
    since = rig.now
    await rig.until("more requests have come", lambda: len(rig.got(since, zone)) >= requests)


def test_a_site_that_answers_only_cheap_requests_gets_few_orders(deployment: SharedDeployment) -> None:
    async def scenario(rig: Rig) -> None:
        names = balancers_outside(rig, "hall-a")

        def share(since: int) -> float:
            orders = [event for event in rig.got(since, method="POST") if event.balancer in names]
            reached = {event.request for event in rig.got(since, "hall-a")}
            return sum(event.request in reached for event in orders) / max(1, len(orders))

        started = rig.now
        await requests_pass(rig, 200, "hall-b")
        usual_share = share(started)
        heal = rig.no_answers("hall-a", b"POST ")
        # Few orders go there from the first second on, as failed ones make servers suspect; a balancer judges
        # the site by three failed orders of its own.
        detected = await rig.until(
            "orders keep away from it",
            lambda: all(rig.sites.get(name, {}).get("hall-a", {}).get("orders_away") for name in names),
        )
        await requests_pass(rig, 800, "hall-b")
        reads = [event for event in rig.got(detected, "hall-a", "GET") if event.balancer in names]
        assert share(detected) < usual_share / 3 and reads
        for name in names:
            received = [
                event.at
                for event in rig.got(detected + IN_FLIGHT_US, "hall-a", "POST")
                if event.balancer == name
            ]
            assert all(b - a > TRIAL_INTERVAL_US - IN_FLIGHT_US for a, b in pairwise(received)), (
                "one order at a time, at the trial interval"
            )
        heal()

    deployment.run_scenario(scenario)


def test_balancers_of_a_zone_without_servers_serve_their_clients_from_other_zones(
    deployment: SharedDeployment,
) -> None:
    async def scenario(rig: Rig) -> None:
        fleet, started = rig.stage.fleet, rig.now
        inside = [balancer.name for balancer in rig.stage.balancers.all if balancer.hall == "hall-b"]
        servers = [server for server in fleet.there.values() if server.hall == "hall-b"]
        for server in servers:
            fleet.stop(server, silent=True)
        detected = await rig.until(
            "its own balancers know",
            lambda: all(rig.say(name, "hall-b", "lost", "absent") for name in inside),
        )

        def balancers_serving() -> set[str]:
            """Balancers of the zone whose clients' orders are answered from other zones."""
            orders = {event.request for event in rig.got(detected, method="POST")}
            return {
                event.balancer
                for event in rig.events(ClientGot, detected)
                if event.request in orders and event.status == 200
            }

        await rig.until("they serve orders", lambda: set(inside) <= balancers_serving())
        assert not loss_reports(rig, started, "hall-a", "hall-c")
        for server in servers:
            await fleet.back(server)
        restored = rig.now
        await rig.until(
            "whole, with load",
            lambda: rig.all_say("hall-b", "whole") and len(rig.got(restored, "hall-b")) > 20,
        )

    deployment.run_scenario(scenario)


def test_no_site_is_lost_when_all_zones_fail_at_once(
    deployment: SharedDeployment,
) -> None:
    async def scenario(rig: Rig) -> None:
        started = rig.now
        resumes = [rig.pause_nodes(zone) for zone in ZONES]

        def failed() -> int:
            return len(rig.events(ClientLost, started)) + sum(
                event.status != 200 for event in rig.events(ClientGot, started)
            )

        await rig.until("hundreds have failed", lambda: failed() > 400)
        assert not loss_reports(rig, started, *ZONES)
        for resume in resumes:
            resume()
        restored = rig.now
        await rig.until(
            "all zones serve again", lambda: all(len(rig.got(restored, zone, "POST")) > 5 for zone in ZONES)
        )

    deployment.run_scenario(scenario)


def test_balancers_detect_a_loss_seconds_apart_each_by_itself(deployment: SharedDeployment) -> None:
    async def scenario(rig: Rig) -> None:
        names, reopens, cut_at = balancers_outside(rig, "hall-c"), [], {}
        for name in names:
            cut_at[name] = rig.now
            reopens.append(rig.shut("hall-c", [name]))
            await asyncio.sleep(1.0)
        await rig.until("all balancers know", lambda: all(rig.say(name, "hall-c", "lost") for name in names))
        assert not loss_reports(rig, cut_at[names[0]], "hall-a", "hall-b")
        for change in rig.changes(cut_at[names[0]]):
            if change.after == "lost" and change.site == "hall-c":
                assert change.at >= cut_at[change.balancer], change
        before_last = [
            event
            for event in rig.got(cut_at[names[0]], "hall-c")
            if event.balancer == names[-1] and event.at < cut_at[names[-1]]
        ]
        assert before_last, "a balancer that has not lost the site must go on sending to it"
        for reopen in reopens:
            reopen()

    deployment.run_scenario(scenario)


def test_orders_in_flight_when_a_site_is_lost_fail_and_are_not_retried(deployment: SharedDeployment) -> None:
    async def scenario(rig: Rig) -> None:
        def orders_in_flight() -> set[str]:
            recent = rig.now - 2_000_000
            kinds: list[type[NodeGave | ClientGot | ClientLost]] = [NodeGave, ClientGot, ClientLost]
            ended = {event.request for kind in kinds for event in rig.events(kind, recent)}
            return {event.request for event in rig.got(recent, "hall-a", "POST")} - ended

        fleet = rig.stage.fleet
        for server in fleet.there.values():
            if server.hall == "hall-a":
                fleet.slow(server, 20.0)  # so that many are in flight, however fast the machine is
        async with asyncio.timeout(GENEROUS_S):
            while len(orders := orders_in_flight()) < 3:
                await asyncio.sleep(0.005)
        lost_at = rig.now
        restore = rig.lose("hall-a")

        def outcomes() -> dict[str, object]:
            events = [*rig.events(ClientGot, lost_at), *rig.events(ClientLost, lost_at)]
            return {
                event.request: getattr(event, "status", "no answer")
                for event in events
                if event.request in orders
            }

        await rig.until("their clients have an outcome", lambda: len(outcomes()) == len(orders))
        assert orders and 200 not in outcomes().values()
        received = [event.request for event in rig.got(lost_at - 10_000_000) if event.request in orders]
        assert sorted(received) == sorted(orders), "each must reach one server, once"
        await restore()

    deployment.run_scenario(scenario)


def test_a_site_is_lost_during_a_rolling_deploy_in_another(deployment: SharedDeployment) -> None:
    async def scenario(rig: Rig) -> None:
        started = rig.now
        deploy = asyncio.create_task(rig.stage.step(0))
        await rig.until("the deploy has begun", lambda: bool(rig.events(NodeStarted, started)))
        restore = rig.lose("hall-b")
        await rig.until("hall-b lost to all", lambda: rig.all_say("hall-b", "lost", "absent"))
        await deploy
        await restore()
        await rig.until("whole", lambda: len(rig.sites) == 6 and rig.all_say("hall-b", "whole"))
        assert not loss_reports(rig, started, "hall-a", "hall-c"), "a draining site must not count as lost"
        assert not rig.events(NodeFell, started)

    deployment.run_scenario(scenario)


def test_the_loss_of_a_site_with_60_percent_of_the_capacity_crashes_no_server(
    uneven_deployment: SharedDeployment,
) -> None:
    async def scenario(rig: Rig) -> None:
        started = rig.now
        restore = rig.lose("hall-a")
        detected = await rig.until("hall-a lost to all", lambda: rig.all_say("hall-a", "lost", "absent"))
        await requests_pass(rig, 300, "hall-b")
        await requests_pass(rig, 60, "hall-c")
        assert not loss_reports(rig, started, "hall-b", "hall-c"), "an overloaded site must not count as lost"
        # Trial reads sent to the lost site would have been refused otherwise; they do not break the order.
        observed = [
            event for event in rig.log if not (isinstance(event, NodeGot) and rig.hall_of(event) == "hall-a")
        ]
        plan_order = order_of_refusals(observed, plan_ranks(rig.incident), since=detected + COMMAND_EFFECT_US)
        assert plan_order.refusals and plan_order.share > 0.8, "orders must be refused last, at any moment"
        await restore()
        await rig.until("whole", lambda: len(rig.sites) == 6 and rig.all_say("hall-a", "whole"))
        assert not rig.events(NodeFell, started)

    uneven_deployment.run_scenario(scenario)


def test_a_site_of_a_single_server_is_never_lost_as_a_site(uneven_deployment: SharedDeployment) -> None:
    async def scenario(rig: Rig) -> None:
        started = rig.now
        restore = rig.lose("hall-c")
        await requests_pass(rig, 400)
        assert not loss_reports(rig, started, *ZONES)
        await restore()
        restored = rig.now
        await rig.until("it has load", lambda: len(rig.got(restored, "hall-c")) > 5)

    uneven_deployment.run_scenario(scenario)


def test_a_mutation_that_returns_a_site_without_steps_is_detected(
    uneven_deployment: SharedDeployment,
) -> None:
    # Shows that the check for skipped steps can fail: each process runs with the mutation.
    async def scenario(rig: Rig) -> None:
        since = rig.now
        reopen = rig.shut("hall-b")
        await rig.until(
            "hall-b lost to some", lambda: any(change.after == "lost" for change in rig.changes(since))
        )
        await asyncio.sleep(2)
        reopen()
        await rig.until(
            "whole without the steps of a return", lambda: bool(returns_without_steps(rig.changes(since)))
        )

    uneven_deployment.stop()  # one deployment at a time on the machine
    mutated = SharedDeployment(variables=mutants.variables("return at once"))
    try:
        mutated.run_scenario(scenario)
    finally:
        mutated.stop()
