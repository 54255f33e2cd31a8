"""A client nobody here wrote: gRPC's own, by itself and beside two stand-in proxies.

Calls are counted on the nodes.  The one limit in time is the rule's own: no call later than 1 s after
discovery has told a drain; what this process itself stood still is added to it.
"""

from __future__ import annotations

import asyncio
import time
from math import sqrt
from random import Random

from grid_parties import Node, Platform, grpc_client, nodes, platform, service, until
from standin_proxies import StandIn, connected

from roadlb.control.events import MILLION, LoadReport, PlanEvent, Publish
from roadlb.control.service import Service

RULE_S = 1.0
DEVIATIONS = 5  # of a share by chance: one run in 2 million goes beyond


class Stall:
    """How long the loop stood still at the longest, in seconds."""

    def __init__(self) -> None:
        self.longest, self._task = 0.0, asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest = max(self.longest, time.monotonic() - before - 0.02)


def acknowledged(control: Service, generation: int, *names: str) -> bool:
    known = control.subscribers.known
    return all(name in known and known[name].generation >= generation for name in names)


async def drain(told: Platform, control: Service, node: Node, *names: str) -> float:
    """Tell a drain, wait until all these proxies have acknowledged it; when it was told."""
    at = time.monotonic()
    told.tell(**{node.name: {"lifecycle": "draining"}})
    await until(lambda: acknowledged(control, told.generation, *names), f"{names} know of {node.name}")
    return at


async def share(of: Node, others: list[Node], calls: int) -> float:
    """The share of `of` in so many calls from now on."""
    all_nodes = [of, *others]
    before = [len(n.calls) for n in all_nodes]
    await until(lambda: sum(len(n.calls) for n in all_nodes) >= sum(before) + calls, "calls go on")
    new = [len(n.calls) - b for n, b in zip(all_nodes, before, strict=True)]
    return new[0] / sum(new)


def near(found: float, planned: float, calls: int) -> bool:
    return abs(found - planned) < DEVIATIONS * sqrt(planned * (1 - planned) / calls)


async def alone() -> None:
    async with (
        nodes(3) as (a, b, c),
        platform(**{n.name: n.entry() for n in (a, b, c)}) as told,
        service(told) as control,
        grpc_client(control.port) as said,
    ):
        reports = heard(control)
        await until(lambda: all(n.calls for n in (a, b, c)), "calls at all nodes")
        at, stall = await drain(told, control, a, "grpc-1"), Stall()
        told.tell(**{b.name: {"weight": 9.0}})
        await until(lambda: acknowledged(control, told.generation, "grpc-1"), "weights 9 and 1")
        await asyncio.sleep(RULE_S)  # for calls that were picked before, and those that are late
        found = await share(b, [c], 400)
        assert near(found, 0.9, 400), f"{found:.3f} of the calls to the node of weight 9 of 10"
        assert not [t - at for t in a.calls if t > at + RULE_S + stall.longest]
        assert said == ["ready"], "each call got its answer"
        await until(lambda: len({r.node for r in reports if r.requests}) == 3, "load reports name the nodes")
        assert not control.counts["reports of nobody"]
        assert {(r.eps, r.queue) for r in reports if r.finished > r.errors} == {(12.0, 3.0)}
        assert {(r.eps, r.queue) for r in reports if not r.finished} <= {(None, None)}
        told.tell(**{c.name: {"lifecycle": "removed"}})
        await until(lambda: acknowledged(control, told.generation, "grpc-1"), "one node is left")
        await cold(told, control, b, c)
        assert said == ["ready"]


async def cold(told: Platform, control: Service, warm: Node, successor: Node) -> None:
    """A process that started 5 s ago, where another was: calls come, no more than the plan says."""
    told.tell(successor={**successor.entry(), "startedAtMs": time.time_ns() // 1_000_000 - 5_000})

    def part() -> float:
        return sum(d.part_ppm for d in control.order.out.clusters["grid"]) / MILLION

    await until(lambda: part() > 0, "the plan gives it a part")
    seen = len(successor.calls)
    await until(lambda: len(successor.calls) > seen, "it is called")
    found = await share(successor, [warm], 200)
    most = part()
    assert most < 0.4 and found < most + DEVIATIONS * sqrt(most / 200), f"{found:.3f}, planned {most:.3f}"


def heard(control: Service) -> list[LoadReport]:
    """All load reports that the plan gets from now on."""
    found, handle = [], control.plan.handle

    def listen(now: int, event: PlanEvent) -> list[Publish]:
        if isinstance(event, LoadReport):
            found.append(event)
        return handle(now, event)

    control.plan.handle = listen
    return found


def test_grpcs_client_finds_the_nodes_follows_a_drain_and_weights_and_reports_its_load() -> None:
    asyncio.run(alone())


async def together() -> None:
    """Drains at random moments under traffic of three kinds of proxy, while the watch breaks now and then."""
    rng, late = Random(1), []
    sotw, delta = StandIn("sotw", "sotw"), StandIn("delta", "delta")
    names = ("sotw", "delta", "grpc-1")
    async with (
        nodes(6) as all_nodes,
        platform(**{n.name: n.entry() for n in all_nodes}) as told,
        service(told) as control,
        grpc_client(control.port) as said,
        connected(sotw, control.port, True),
        connected(delta, control.port, True),
    ):
        await until(lambda: acknowledged(control, 1, *names), "all three have the list")
        await until(lambda: min(len(n.calls) for n in all_nodes) > 50, "calls at all nodes")
        stall, drains = Stall(), []
        for node in rng.sample(all_nodes, 5):
            drains.append((node, await drain(told, control, node, *names)))
            if rng.random() < 0.5:
                told.cut()  # discovery's watch breaks meanwhile
            await asyncio.sleep(rng.uniform(0.0, 0.1))
        served = sum(len(n.calls) for n in all_nodes), sotw.calls, delta.calls
        await asyncio.sleep(RULE_S + 0.3)
        for node, at in drains:
            late += [t - at for t in node.calls if t > at + RULE_S + stall.longest]
        assert not late
        assert sum(len(n.calls) for n in all_nodes) > served[0] and sotw.calls > served[1]
        assert delta.calls > served[2]
        assert said == ["ready"] and not sotw.failures and not delta.failures


def test_no_call_of_three_kinds_of_proxy_later_than_1_s_after_a_drain() -> None:
    asyncio.run(together())


async def replaced() -> None:
    """All nodes of the cluster are replaced at once while each proxy has a call open at one of them."""
    sotw, delta = StandIn("sotw", "sotw"), StandIn("delta", "delta")
    names = ("sotw", "delta", "grpc-1")
    async with (
        nodes(4) as (a, b, c, d),
        platform(**{n.name: n.entry() for n in (a, b)}) as told,
        service(told) as control,
        grpc_client(control.port) as said,
        connected(sotw, control.port, True),
        connected(delta, control.port, True),
    ):
        await until(lambda: all({*names} <= {*n.callers} for n in (a, b)), "calls of all at both")
        a.answers.clear()
        b.answers.clear()
        before = len(a.callers), len(b.callers)

        def held() -> list[str]:
            return a.callers[before[0] :] + b.callers[before[1] :]

        await until(lambda: {*names} <= {*held()}, "a call of each is held")
        told.tell(**{n.name: {"lifecycle": "removed"} for n in (a, b)}, **{n.name: n.entry() for n in (c, d)})
        await until(lambda: acknowledged(control, told.generation, *names), "all know of the new nodes")
        await asyncio.sleep(RULE_S)
        assert sorted(held()) == sorted(names) and not c.calls and not d.calls, "no open call was sent again"
        a.answers.set()
        b.answers.set()
        await until(lambda: all({*names} <= {*n.callers} for n in (c, d)), "calls at the new nodes")
        assert sorted(held()) == sorted(names), "nothing new went to the old ones"
        assert said == ["ready"] and not sotw.failures and not delta.failures


def test_calls_open_at_a_cluster_that_is_replaced_get_their_one_answer_and_run_once() -> None:
    asyncio.run(replaced())
