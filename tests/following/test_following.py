"""A balancer that follows: refused versions, control services that vanish, restarts from the store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from fleets import node
from standin_control import Control

from roadlb.agreement.events import Contents, Standing, Version, VersionId
from roadlb.agreement.lease import timing_for
from roadlb.clock import monotonic_us, unix_us
from roadlb.config import Agreement, read_agreement
from roadlb.counters import Counters
from roadlb.engine import Engine
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId
from roadlb.following.following import Following
from roadlb.policy.interface import Settings, SharedStateUpdate
from roadlb.store.disk import Directory
from roadlb.wheel import TimerWheel
from roadlb.xds.client import choice
from roadlb.xds.grpc.dial import dial

FILE = {
    "me": "0",
    "instances": "2",
    "classes.count": "1",
    "classes.0.name": "grid-read",
    "classes.0.promise_us": "500000",
    "classes.0.deadline_us": "2500000",
    "classes.0.value": "2",
    "classes.0.effect": "idempotent",
    "tenants.count": "1",
    "tenants.0.name": "acme",
    "tenants.0.quota_per_s": "100",
    "discovery": "pushed",
    "limits.max_attempts": "2",
    "invariants.cold_from": "0.2",
    "invariants.cold_us": "1000000",
    "invariants.fall_multiple": "3",
    "invariants.fall_us": "1000000",
}
SHARED = {path: text for path, text in FILE.items() if path not in ("me", "discovery")}
BOUND_S = 3.0
TIMING = timing_for(BOUND_S)


def fleet(*names: str, drained: tuple[str, ...] = (), **fields: object) -> list[Endpoint]:
    """Nodes `a1`, `b2` ...: the first letter is the hall."""
    return [
        node(
            name,
            1_000,
            locality=Locality(zone=name[0]),
            **fields,
            lifecycle=Lifecycle.DRAINING if name in drained else Lifecycle.UP,
        )
        for name in names
    ]


def contents(*endpoints: Endpoint, **settings: str) -> Contents:
    return Contents(SHARED | settings, {"grid": Cluster("grid", endpoints)})


GOOD = fleet("a1", "a2", "b1", "b2")


class Balancer:
    """What a follower applies, in place of engine and name table."""

    def __init__(
        self, services: list[str], store: Path | None = None, name: str = "n1", **told: object
    ) -> None:
        raw = {"control": services, "contradiction_s": BOUND_S, **told}
        agreement: Agreement = read_agreement(raw, FILE)
        disk = Directory(store) if store is not None else None
        self.list: dict[str, str] = {}
        self.states: list[dict[str, str]] = []
        self.heard: list[SharedStateUpdate] = []
        self.rules: list[Settings] = []
        self.lease_expires_us, self.wall_jump_us = 0, 0
        self.counters = Counters()
        self.following = Following(
            agreement,
            name,
            7,
            monotonic_us,
            lambda: unix_us() + self.wall_jump_us,
            self.counters,
            self.lead,
            self.heard.append,
            self.lapse,
            dial,
            disk,
            disk,
            self.rules.append,
        )

    def lead(self, raw: Mapping[str, Any], old: bool) -> None:
        if raw["reset"]:
            self.list = {}
        for entry in raw["instances"]:
            self.list[entry["instanceId"]] = entry["lifecycle"]
            if entry["lifecycle"] == "removed":
                del self.list[entry["instanceId"]]
        self.states.append(dict(self.list))

    def lapse(self, at_us: int) -> None:
        self.lease_expires_us = at_us

    @property
    def open(self) -> set[str]:
        return {name for name, state in self.list.items() if state == "up"}

    @property
    def standing(self) -> Standing:
        return self.following.view().standing


async def until(true: Callable[[], bool], what: str, s: float = 120.0) -> None:
    async with asyncio.timeout(s):
        while not true():
            await asyncio.sleep(0.01)
    assert true(), what


@asynccontextmanager
async def running(balancer: Balancer) -> AsyncIterator[Balancer]:
    balancer.following.load()
    balancer.following.start()
    try:
        yield balancer
    finally:
        await balancer.following.stop()


@asynccontextmanager
async def control(epoch: int = 1) -> AsyncIterator[Control]:
    made = Control(TIMING)
    await made.start()
    made.lead(epoch)

    async def pulses() -> None:
        while True:
            await asyncio.sleep(0.05)
            made.pulse()

    task = asyncio.create_task(pulses())
    try:
        yield made
    finally:
        task.cancel()
        await made.stop()


def played(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(240):
            await test()

    asyncio.run(limited())


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(choice, "PAUSE_US", 5_000)
    monkeypatch.setattr(choice, "PAUSE_MOST_US", 50_000)


def test_a_version_comes_into_force_and_its_list_into_use() -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            ctl.propose(contents(*GOOD))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            assert it.open == {"a1", "a2", "b1", "b2"} and it.lease_expires_us > monotonic_us()
            ctl.propose(contents(*fleet("a1", "a2", "b1", "b2", drained=("a1",))))
            await until(lambda: it.open == {"a2", "b1", "b2"}, "the drain")
            await until(lambda: it.following.drained("a1", 1_000), "the drain is remembered")
            assert not ctl.nacks

    played(test)


def test_a_refused_version_changes_nothing_and_the_next_good_one_is_taken() -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            ctl.propose(contents(*GOOD))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            seen = len(it.states)
            ctl.propose(contents(*GOOD[:2]))
            await until(lambda: bool(ctl.nacks), "the refusal")
            assert ctl.nacks[0][1].startswith("hall_emptied: ") and "accept this version" in ctl.nacks[0][1]
            assert len(it.states) == seen and it.counters["guard.hall_emptied"] == 1
            ctl.propose(contents(*GOOD, *fleet("c1")))
            await until(lambda: "c1" in it.open, "the next good one")
            ctl.propose(contents(*fleet("a1", "a2", "c1")), meant="hall b is moved")
            await until(lambda: it.open == {"a1", "a2", "c1"}, "the same, meant")

    played(test)


@pytest.mark.parametrize(
    "wrong, said",
    [
        ({"weight_source": "live"}, "settings_fixed: weight_source: 'live'"),
        ({"tenants.0.quota_per_s": "-1"}, "settings"),
        (
            {"limits.max_attempts": "0"},
            "settings_bad: limits.max_attempts: '0' must be a number from 1 to 100",
        ),
        ({"limits.no_such": "1"}, "limits.no_such"),
    ],
)
def test_settings_that_cannot_be_followed_are_refused_by_their_key(wrong: dict[str, str], said: str) -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            ctl.propose(contents(*GOOD))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            ctl.tell("n1", Version(VersionId(1, 2), contents(*GOOD, **wrong), "meant"), 1)
            await until(lambda: bool(ctl.nacks), "the refusal")
            assert said in ctl.nacks[0][1]

    played(test)


def test_quotas_are_followed_and_fall_to_their_floor_when_nothing_is_heard() -> None:
    async def test() -> None:
        async with control() as ctl:
            it = Balancer([ctl.at])
            async with running(it):
                await until(lambda: bool(ctl.sessions), "a stream")
                ctl.propose(contents(*GOOD, **{"tenants.0.quota_per_s": "50"}))
                await until(lambda: it.standing is Standing.GRANTED, "a lease")
                assert it.heard[-1].process_count == 2 and it.heard[-1].quota_factors == {0: 0.5}
                ctl.mute = True
                await until(lambda: it.heard[-1].quota_factors == {0: 0.0}, "the lease's end")
                assert it.standing is Standing.LAPSED and it.open == {"a1", "a2", "b1", "b2"}
                await until(lambda: it.counters["follow.silent"] > 0, "a silent stream opened again")
                ctl.mute = False
                await until(lambda: it.heard[-1].quota_factors == {0: 0.5}, "a lease again")

    played(test)


def test_a_stopped_process_looks_at_the_clock_before_it_acts() -> None:
    """The engine asks at its next event, before any timer has run."""

    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            ctl.propose(contents(*GOOD, **{"tenants.0.quota_per_s": "50"}))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            follower, real = it.following.follower, it.following._clock
            it.following._clock = lambda: real() + 10 * TIMING.lease_us  # as after SIGSTOP
            assert follower.until == it.lease_expires_us
            it.following.lapsed()
            assert it.heard[-1].quota_factors == {0: 0.0} and it.lease_expires_us > 1 << 60
            it.following._clock = real

    played(test)


class CuttingRelay:
    """Passes bytes of the control service on, and resets each connection after a number of them."""

    def __init__(self, to: int, cuts: list[int]) -> None:
        self.to, self.cuts, self.cut, self.port = to, cuts, 0, 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, client: asyncio.StreamReader, back: asyncio.StreamWriter) -> None:
        left = self.cuts.pop(0) if self.cuts else 1 << 40
        reader, writer = await asyncio.open_connection("127.0.0.1", self.to)

        async def up() -> None:
            while data := await client.read(65_536):
                writer.write(data)

        task = asyncio.create_task(up())
        try:
            while left > 0 and (data := await reader.read(min(left, 65_536))):
                left -= len(data)
                back.write(data)
                await back.drain()
            self.cut += left == 0
        except OSError:
            pass
        finally:
            task.cancel()
            writer.close()
            back.transport.abort()

    async def another(self) -> None:
        """The next connection."""
        before = len(self.cuts)
        await until(lambda: len(self.cuts) < before, "another cut")

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()


def test_half_a_stream_lost_at_any_byte_is_half_a_version_nowhere() -> None:
    """Cut after ever more bytes, while versions go on: no more is open than one of those told allows."""

    async def test() -> None:
        logging.disable(logging.WARNING)
        async with control() as ctl:
            relay = CuttingRelay(ctl.port, [n * 29 for n in range(1, 150)])
            await relay.start()
            it = Balancer([f"127.0.0.1:{relay.port}"])
            wide = [node(f"{'ab'[i % 2]}{i}", 1_000, locality=Locality(zone="ab"[i % 2])) for i in range(40)]
            told: list[set[str]] = []
            async with running(it):
                serial = 0
                while relay.cuts:
                    drained = wide[serial % 40].node.name
                    serial += 1
                    now = [
                        replace(
                            e,
                            node=NodeId(e.node.name, 1_000 + serial),
                            lifecycle=Lifecycle.DRAINING if e.node.name == drained else Lifecycle.UP,
                        )
                        for e in wide
                    ]
                    told.append({e.node.name for e in now if e.lifecycle is Lifecycle.UP})
                    ctl.propose(contents(*now))
                    await relay.another()
                last = [replace(e, node=NodeId(e.node.name, 9_000)) for e in wide]
                told.append({e.node.name for e in last})
                ctl.propose(contents(*last))
                await until(lambda: it.standing is Standing.GRANTED and it.open == told[-1], "the last")
            await relay.stop()
            assert relay.cut > 100 and it.counters["follow.malformed"] == 0
            for state in it.states:
                assert any({n for n, s in state.items() if s == "up"} <= told_one for told_one in told)
                assert len(state) == 40

    try:
        played(test)
    finally:
        logging.disable(logging.NOTSET)


def test_a_restart_with_control_down_knows_list_drains_and_epoch(tmp_path: Path) -> None:
    async def test() -> None:
        async with control(epoch=5) as ctl:
            async with running(Balancer([ctl.at], tmp_path)) as it:
                await until(lambda: bool(ctl.sessions), "a stream")
                ctl.propose(contents(*GOOD))
                await until(lambda: it.standing is Standing.GRANTED, "a lease")
                ctl.propose(contents(*fleet("a1", "a2", "b1", "b2", drained=("a1",))))
                await until(lambda: it.following.drained("a1", 1_000), "the drain in force")
                ctl.propose(contents(*fleet("a2", "b1", "b2")))
                await until(lambda: "a1" not in it.list, "a1 is left out")
                await until(lambda: it.standing is Standing.GRANTED, "in force")
        down = Balancer(["127.0.0.1:1"], tmp_path)
        async with running(down):
            assert down.open == {"a2", "b1", "b2"} and down.standing is Standing.LAPSED
            assert down.following.drained("a1", 1_000) and not down.following.drained("a1", 1_001)
            assert down.heard[-1].quota_factors == {0: 0.0}, "a lease was remembered"
        # An older leader comes back: nothing of it is acted on.
        async with control(epoch=4) as old, running(Balancer([old.at], tmp_path)) as it:
            await until(lambda: bool(old.sessions), "a stream")
            old.tell("n1", Version(VersionId(4, 9), contents(*GOOD)), 4)
            await until(lambda: bool(old.nacks), "fenced")
            assert old.nacks[0][1] == "fenced by epoch 5" and it.open == {"a2", "b1", "b2"}

    played(test)


def test_a_wall_clock_that_jumps_changes_no_lease() -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            ctl.propose(contents(*GOOD))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            for jump_us in (365 * 86_400_000_000, -365 * 86_400_000_000):
                it.wall_jump_us, asked = jump_us, len(ctl.asks)
                await until(lambda: len(ctl.asks) > asked + 5, "renewals")  # noqa: B023
            assert it.counters["follow.lapsed"] == 0 and it.standing is Standing.GRANTED
            ctl.mute = True
            await until(lambda: it.standing is Standing.LAPSED, "the lease's end, by the other clock")

    played(test)


@pytest.mark.parametrize("days", [0, 7, -7], ids=["fresh", "old", "of the future"])
def test_a_store_of_last_week_serves_and_is_no_measure_of_capacity(tmp_path: Path, days: int) -> None:
    """Its drains count, its grants do not; how much has gone since says nothing of one step."""

    async def test() -> None:
        async with control() as ctl:
            async with running(Balancer([ctl.at], tmp_path)) as it:
                await until(lambda: bool(ctl.sessions), "a stream")
                ctl.propose(contents(*fleet("a1", "a2", "b1", "b2", "b3", drained=("b3",))))
                await until(lambda: it.following.drained("b3", 1_000), "in force")
            again = Balancer([ctl.at], tmp_path)
            again.wall_jump_us = days * 86_400_000_000
            again.following.load()
            again.following.start()
            try:
                assert again.open == {"a1", "a2", "b1", "b2"} and again.standing is Standing.LAPSED
                assert again.following.drained("b3", 1_000)
                ctl.propose(contents(*fleet("a1", "a2")))  # hall b has gone meanwhile
                if days == 0:
                    await until(lambda: bool(ctl.nacks), "the refusal")
                    assert ctl.nacks[0][1].startswith("hall_emptied: ")
                else:
                    await until(lambda: again.open == {"a1", "a2"}, "the list of today")
                    assert not ctl.nacks
            finally:
                await again.following.stop()

    played(test)


def test_a_second_process_of_a_balancer_leaves_the_store_to_the_first(tmp_path: Path) -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at], tmp_path)) as first:
            await until(lambda: "n1" in ctl.sessions, "a stream")
            ctl.propose(contents(*GOOD))
            await until(lambda: first.standing is Standing.GRANTED, "a lease")
            async with running(Balancer([ctl.at], tmp_path)) as second:
                assert second.open == {"a1", "a2", "b1", "b2"}, "it reads what the first has kept"
                await until(lambda: second.standing is Standing.GRANTED, "a lease of its own")
                assert {name.partition("+")[0] for name in ctl.sessions} == {"n1"} and len(ctl.sessions) == 2
                puts = second.counters["store.put"] + second.counters["store.snapshot"]
                assert puts == 0, "two processes wrote to one store"
                await first.following.stop()
                await until(lambda: second.counters["store.put"] > 0, "the store taken over")

    played(test)


def test_the_next_control_service_is_asked_where_one_is_gone() -> None:
    async def test() -> None:
        async with control() as ctl, running(Balancer(["127.0.0.1:1", ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "the second one")
            ctl.propose(contents(*GOOD))
            await until(lambda: it.standing is Standing.GRANTED, "a lease")
            assert it.following.control == ctl.at

    played(test)


def test_numbers_that_begin_anew_under_a_later_leader_are_no_step_back() -> None:
    """Its store was lost: the order of versions is the epoch's first."""

    async def test() -> None:
        async with control() as ctl, running(Balancer([ctl.at])) as it:
            await until(lambda: bool(ctl.sessions), "a stream")
            for drained in ("a1", "b1"):
                ctl.propose(contents(*fleet("a1", "a2", "b1", "b2", drained=(drained,))), meant="a test")
                await until(lambda: it.standing is Standing.GRANTED, "a lease")
            await until(lambda: it.open == {"a1", "a2", "b2"}, "both in force")
            anew = contents(*fleet("a1", "a2", "b1", "b2", drained=("a1", "b1")))
            ctl.tell("n1", Version(VersionId(2, 1), anew), 2)
            await until(lambda: it.open == {"a2", "b2"}, "the later leader's first version")
            assert not ctl.nacks

    played(test)


class Record:
    """A decider that notes what it is told."""

    def __init__(self) -> None:
        self.events: list[object] = []

    def handle(self, now: int, event: object) -> list[Any]:
        self.events.append(event)
        return []


def test_what_was_granted_ends_before_the_first_event_after_a_stop() -> None:
    """A stopped process wakes with events in hand; its timers run after them."""

    async def test() -> None:
        now, record = [1_000], Record()
        engine = Engine(record, Counters(), lambda: now[0], TimerWheel(lambda: now[0]))
        engine.lease_expires_us, engine.on_lease_expired = (
            5_000,
            lambda: engine.update_shared_state(SharedStateUpdate(quota_shares={0: 0.0})),
        )
        engine.set_shed_share(0.0)
        now[0] = 9_000
        engine.set_shed_share(0.5)
        engine.set_shed_share(0.0)
        assert [type(event).__name__ for event in record.events] == [
            "ProcessOverload",
            "SharedStateUpdate",
            "ProcessOverload",
            "ProcessOverload",
        ]

    played(test)
