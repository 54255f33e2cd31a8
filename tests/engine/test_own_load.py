"""OwnLoad: the age of bytes read after a pause, notifications of overload, refusals of expired requests."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from roadlb.clock import monotonic_us
from roadlb.counters import Counters
from roadlb.engine import Engine
from roadlb.exchange import Answer, AttemptOutcome, Exchange, Message, Refusal, Result, Response
from roadlb.overload.meter import Limits
from roadlb.overload.loop_monitor import BEAT_INTERVAL_US
from roadlb.own_load import MIN_KERNEL_QUERY_DELAY_US, OwnLoad
from roadlb.policy.interface import Action, Event, ListKind, Member, ProcessOverload, RequestClass, Settings
from roadlb.policy.logic import Balancer
from roadlb.wheel import TimerWheel

SERVER_ID = b"s1"


class RecordingPolicy:
    """Stands in for the policy and records the events it receives."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return []


class RecordingExecutor:
    """Records the attempts that are started; the tests end them."""

    def __init__(self) -> None:
        self.started: list[Any] = []

    def start(self, attempt: Any) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: Any, unsent: bool = False) -> None:
        raise AssertionError("no attempt is cancelled in these tests")

    def probe(self, server: bytes) -> None:
        raise AssertionError("no server is probed in these tests")


class FakeTransport:
    """A transport whose socket reports when its last bytes came; None: it reports nothing."""

    def __init__(self, received_ms_ago: int | None) -> None:
        self.received_ms_ago = received_ms_ago

    def get_extra_info(self, name: str) -> FakeTransport:
        assert name == "socket"
        return self

    def getsockopt(self, level: int, option: int, length: int) -> bytes:
        if self.received_ms_ago is None:
            raise OSError("no TCP_INFO")
        assert level == socket.IPPROTO_TCP
        return bytes(length - 4) + struct.pack("=I", self.received_ms_ago)


@pytest.mark.parametrize(
    ("late_us", "received_ms_ago", "age_us"),
    [
        (MIN_KERNEL_QUERY_DELAY_US // 4, 300, 0),  # too little delay to ask the kernel
        (300_000, 120, 121_000),  # the kernel reports when they came, rounded up by 1 ms
        (300_000, 900, 310_000),  # but not before the last beat of the loop
        (300_000, None, 310_000),  # without a report they count from the start of the pause
    ],
)
def test_the_age_of_bytes_read_after_a_pause_includes_the_pause(
    late_us: int, received_ms_ago: int | None, age_us: int
) -> None:
    async def main() -> None:
        now = 1_000_000_000
        policy = RecordingPolicy()
        engine = Engine(policy, Counters(), lambda: now, TimerWheel(lambda: now))
        own_load = OwnLoad(lambda: now, engine, Limits(1.0), 500_000, lambda: 1, lambda on: None, lambda: 0)
        now += 10_000 + late_us  # the first beat is due after 10 ms
        assert now - own_load.earliest_arrival_us(FakeTransport(received_ms_ago)) == age_us  # type: ignore[arg-type]
        own_load.stop()

    asyncio.run(main())


def test_the_policy_is_notified_when_an_overload_begins_and_when_it_ends() -> None:
    async def main() -> None:
        now, cpu = 1_000_000_000, 0
        policy, tighten_calls = RecordingPolicy(), list[bool]()
        engine = Engine(policy, Counters(), lambda: now, TimerWheel(lambda: now))
        own_load = OwnLoad(
            lambda: now,
            engine,
            Limits(0.5, sockets=100),
            80_000,
            lambda: 90,
            tighten_calls.append,
            lambda: cpu,
        )
        for delay_us in (0, 0, *[60_000] * 30, *[0] * 300):  # a beat every 10 ms, thirty of them late
            now += BEAT_INTERVAL_US + delay_us
            cpu += 1_000
            own_load._beat()
        shares = [e.share for e in policy.events if isinstance(e, ProcessOverload)]
        assert shares[0] == 0.0 and max(shares) > 0.2 and shares[-1] == 0.0
        assert tighten_calls == [True] and own_load.figures()["overload.descriptor_share"] == 0.9
        own_load.stop()

    asyncio.run(main())


def test_a_request_whose_time_a_pause_has_used_up_is_refused_and_not_sent() -> None:
    # A server would spend time on it that requests which can still be answered in time need.
    async def main() -> None:
        now = monotonic_us()
        settings = Settings(classes=[RequestClass("grid-read", 500_000, 2_500_000)])
        engine = Engine(Balancer(settings, 1), Counters(), lambda: now, TimerWheel(lambda: now))
        engine.executor = executor = RecordingExecutor()
        engine.set_shed_share(0.0)  # the policy is always notified of the first reading
        engine.list_update(ListKind.FULL, [Member(SERVER_ID)])
        answers: list[Answer] = []

        def open_request(received_us: int) -> None:
            engine.open(
                Exchange(
                    Message(b"GET", b"/grid-read/k"),
                    0,
                    0,
                    1,
                    400_000,
                    0,
                    False,
                    lambda x, answer: answers.append(answer),
                    received_us,
                )
            )

        for _ in range(3):
            open_request(now)
            now += 50_000
            engine.attempt_ended(executor.started[-1], Result(AttemptOutcome.SERVED, (), Response(b"")))
        open_request(now - 390_000)
        assert isinstance(answers[-1], Refusal) and len(executor.started) == 3
        open_request(now - 200_000)
        assert len(executor.started) == 4

    asyncio.run(main())
