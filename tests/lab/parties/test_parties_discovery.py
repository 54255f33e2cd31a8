"""Discovery in virtual time: how late it is, what counts as told, watches, outages and moves."""

import asyncio
import json
from random import Random

import pytest
from hosts import DELAY_S, HERE, virtual

from roadlb.lab.parties.discovery import Agent, DiscoveryFigures, Entry, Registry
from roadlb.lab.wire import Told, WireLog

FIGURES = DiscoveryFigures(
    (1_000_000, 1_000_000), (8_000_000, 8_000_000), (2_000_000, 2_000_000), 500_000, (100_000, 100_000)
)
AT = (HERE, 8500)


def entry(name, **more):
    return Entry(name, {"n0": ("10.1.0.1", 80), "n1": ("10.1.1.1", 80)}, "hall-a", "new-2c", **more)


class Watch(asyncio.Protocol):
    """A balancer's watch: `lines` with the time of each; empty ones are None."""

    def __init__(self, loop):
        self.loop, self.rest, self.lines, self.closed_at = loop, b"", [], None

    def connection_made(self, transport):
        self.transport = transport

    def ask(self, target):
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def data_received(self, data):
        self.rest += data
        if b"HTTP/1.1" in self.rest:
            self.head, _, self.rest = self.rest.partition(b"\r\n\r\n")
        if b"chunked" not in self.head:
            return
        while b"\r\n" in self.rest:
            size, _, rest = self.rest.partition(b"\r\n")
            if len(rest) < int(size, 16) + 2:
                return
            line, self.rest = rest[: int(size, 16)], rest[int(size, 16) + 2 :]
            assert line.endswith(b"\n")
            told = json.loads(line) if line.strip() else None
            if told:
                states = {i["instanceId"]: i["lifecycle"] for i in told["instances"]}
                told = told["generation"], told["reset"], states
            self.lines.append((round(self.loop.time(), 4), told))

    def connection_lost(self, error):
        self.closed_at = self.loop.time()


async def start(loop, log=None):
    registry = Registry(FIGURES, Random(1))
    registry.begin([entry("a"), entry("b")])
    agent = Agent("n0", FIGURES, WireLog() if log is None else log, loop.clock)
    registry.attach(agent)
    await agent.start(AT)
    return registry, agent


async def watch(loop, after=0, at=AT):
    link = (await loop.create_connection(lambda: Watch(loop), *at))[1]
    link.ask(f"/v1/servers?watch=1&after={after}")
    await asyncio.sleep(2 * DELAY_S)
    return link


@virtual
async def test_changes_come_late_by_the_figures_as_deltas_and_empty_lines_between(loop):
    log = WireLog()
    registry, _ = await start(loop, log)
    link = await watch(loop)
    assert [line for _, line in link.lines] == [(1, True, {"a": "up", "b": "up"})]
    registry.drain("a")  # noticed 1 s later, published on the beat, sent 0.1 s after it
    registry.up(entry("c", started_ms=5))  # 2 s
    await asyncio.sleep(2)
    registry.remove("a")
    await asyncio.sleep(4)
    told = [(at, line) for at, line in link.lines if line]
    assert told[1:] == [
        (1.601, (2, False, {"a": "draining"})),
        (2.601, (3, False, {"c": "up"})),
        (3.601, (4, False, {"a": "removed"})),
    ]
    assert [at for at, line in link.lines if line is None] == [5.601]
    assert [(e.at, e.node, e.lifecycle, e.generation) for e in log if isinstance(e, Told)] == [
        (3_000, "a", "up", 1),
        (3_000, "b", "up", 1),
        (1_600_000, "a", "draining", 2),
        (2_600_000, "c", "up", 3),
        (3_600_000, "a", "removed", 4),
    ]


@virtual
async def test_a_silent_end_is_noticed_late_and_nothing_overtakes(loop):
    registry, _ = await start(loop)
    link = await watch(loop)
    registry.remove("a", silent=True)  # 8 s
    registry.up(entry("a", started_ms=7))  # would be known in 2 s, but comes behind
    await asyncio.sleep(7)
    assert len([line for _, line in link.lines if line]) == 1
    await asyncio.sleep(3)
    assert [line for _, line in link.lines if line][1:] == [(2, False, {"a": "up"})]


@pytest.mark.parametrize(
    "after, first",
    [
        (2, (3, False, {"c": "up"})),
        (3, (3, False, {})),
        (0, (3, True, {"a": "draining", "b": "up", "c": "up"})),
        (9, (3, True, {"a": "draining", "b": "up", "c": "up"})),
    ],
)
@virtual
async def test_a_watch_begins_with_the_changes_after_a_version_or_with_all(loop, after, first):
    registry, _ = await start(loop)
    registry.drain("a")
    registry.up(entry("c"))
    await asyncio.sleep(4)
    link = await watch(loop, after)
    assert [line for _, line in link.lines] == [first]
    whole = (await loop.create_connection(lambda: Watch(loop), *AT))[1]
    whole.ask("/v1/servers")
    await asyncio.sleep(2 * DELAY_S)
    listed = json.loads(whole.rest)
    assert (listed["generation"], listed["reset"], len(listed["instances"])) == (3, True, 3)
    assert listed["instances"][0] == {
        "instanceId": "a",
        "hostPort": "10.1.0.1:80",
        "zone": "hall-a",
        "machineType": "new-2c",
        "cell": 0,
        "lifecycle": "draining",
        "weight": 1.0,
        "startedAtMs": 0,
    }


@virtual
async def test_what_does_not_arrive_counts_as_told_after_the_limit_but_not_for_a_balancer_that_is_dead(loop):
    log = WireLog()
    registry, agent = await start(loop, log)
    agent.preload()
    assert agent.known()["generation"] == 1
    registry.drain("a")  # sent at 1.6 s, and nobody watches
    await asyncio.sleep(7.5)
    assert len(log) == 2
    await asyncio.sleep(0.2)
    assert [(e.at, e.lifecycle) for e in list(log)[2:]] == [(7_600_000, "draining")]
    assert agent.known()["instances"][0]["lifecycle"] == "up"  # what it really has
    agent.absent = True
    registry.remove("a")
    await asyncio.sleep(20)
    assert len(log) == 3
    agent.absent = False
    await watch(loop, after=1)
    assert [e.lifecycle for e in list(log)[3:]] == ["removed"]


@virtual
async def test_a_process_that_starts_again_has_what_the_last_one_had_and_the_rest_counts_later(loop):
    log = WireLog()
    registry, agent = await start(loop, log)
    agent.preload()
    agent.absent = True
    registry.remove("a")
    await asyncio.sleep(10)
    known = agent.restarted()
    assert [i["instanceId"] for i in known["instances"]] == ["a", "b"] and known["generation"] == 1
    await asyncio.sleep(7)
    told = [(e.at, e.node, e.lifecycle, e.generation) for e in list(log)[2:]]
    assert told == [(10_000_000, "a", "up", 1), (10_000_000, "b", "up", 1), (16_000_000, "a", "removed", 2)]


@virtual
async def test_down_it_is_silent_to_all_and_tells_what_was_missed_when_it_is_back(loop):
    registry, _ = await start(loop)
    link = await watch(loop)
    registry.outage(True)
    registry.drain("a")
    late = await watch(loop)
    await asyncio.sleep(9)
    assert len(link.lines) == 1 and not late.lines
    registry.outage(False)
    await asyncio.sleep(0.7)
    assert link.lines[-1][1] == (2, False, {"a": "draining"})
    assert [line[1][0] for line in late.lines if line[1]] == [1, 2]


@virtual
async def test_moved_it_leaves_the_old_address_and_all_counts_as_told_soon(loop):
    log = WireLog()
    registry, agent = await start(loop, log)
    link = await watch(loop)
    await asyncio.sleep(1)
    await agent.move((HERE, 8501))
    moved = loop.time()
    with pytest.raises(ConnectionRefusedError):
        await watch(loop)
    await asyncio.sleep(3)
    assert link.closed_at - moved == pytest.approx(1.5 + DELAY_S)
    again = await watch(loop, at=agent.address)
    assert again.lines[0][1][1] is True
