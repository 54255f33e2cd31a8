"""What the program does of its own load: the pulse of the loop, what it tells the module, what it refuses."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from roadlb.clock import monotonic_us
from roadlb.counters import Counters
from roadlb.engine import Engine
from roadlb.exchange import Answer, AttemptOutcome, Exchange, Message, Refusal, Result, Served
from roadlb.overload.meter import Limits
from roadlb.overload.loop_monitor import BEAT_INTERVAL_US
from roadlb.own_load import MIN_KERNEL_QUERY_DELAY_US, OwnLoad
from roadlb.policy.interface import Action, Event, ListKind, Member, RequestClass, Settings, Shortage
from roadlb.policy.logic import Balancer
from roadlb.wheel import Wheel

NODE = b"s1"


class Heard:
    """Stands in for the module, and keeps what it is told."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return []


class Executor:
    """Answers each attempt after `takes_us` of a clock that the test moves."""

    def __init__(self) -> None:
        self.started: list[Any] = []

    def start(self, attempt: Any) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: Any, unsent: bool = False) -> None:
        raise AssertionError("nothing is called off here")

    def probe(self, server: bytes) -> None:
        raise AssertionError("nothing is probed here")


class Transport:
    """Its last bytes came so many milliseconds ago, by the kernel's word."""

    def __init__(self, ago_ms: int | None) -> None:
        self.ago_ms = ago_ms

    def get_extra_info(self, name: str) -> Transport:
        assert name == "socket"
        return self

    def getsockopt(self, level: int, option: int, length: int) -> bytes:
        if self.ago_ms is None:
            raise OSError("not told")
        assert level == socket.IPPROTO_TCP
        return bytes(length - 4) + struct.pack("=I", self.ago_ms)


@pytest.mark.parametrize(
    ("late_us", "ago_ms", "came_before_us"),
    [
        (MIN_KERNEL_QUERY_DELAY_US // 4, 300, 0),  # so little is not worth asking
        (300_000, 120, 121_000),  # the kernel tells when they came
        (300_000, 900, 310_000),  # and cannot be before the last beat
        (300_000, None, 310_000),  # where it does not, they came at the beginning of the pause
    ],
)
def test_what_is_read_after_a_pause_has_used_up_its_time(
    late_us: int, ago_ms: int | None, came_before_us: int
) -> None:
    async def main() -> None:
        now = 1_000_000_000
        heard = Heard()
        engine = Engine(heard, Counters(), lambda: now, Wheel(lambda: now))
        load = OwnLoad(lambda: now, engine, Limits(1.0), 500_000, lambda: 1, lambda on: None, lambda: 0)
        now += 10_000 + late_us  # the beat is due after 10 ms
        assert now - load.earliest_arrival_us(Transport(ago_ms)) == came_before_us  # type: ignore[arg-type]
        load.stop()

    asyncio.run(main())


def test_the_module_is_told_of_a_shortage_and_of_its_end() -> None:
    async def main() -> None:
        now, cpu = 1_000_000_000, 0
        heard, tight = Heard(), list[bool]()
        engine = Engine(heard, Counters(), lambda: now, Wheel(lambda: now))
        load = OwnLoad(
            lambda: now, engine, Limits(0.5, sockets=100), 80_000, lambda: 90, tight.append, lambda: cpu
        )
        for late in (0, 0, *[60_000] * 30, *[0] * 300):  # a beat every 10 ms, thirty of them late
            now += BEAT_INTERVAL_US + late
            cpu += 1_000
            load._beat()
        shares = [e.share for e in heard.events if isinstance(e, Shortage)]
        assert shares[0] == 0.0 and max(shares) > 0.2 and shares[-1] == 0.0
        assert tight == [True] and load.figures()["overload.descriptor_share"] == 0.9
        load.stop()

    asyncio.run(main())


def test_a_request_whose_time_a_pause_has_used_up_is_refused_at_once_and_sent_nowhere() -> None:
    # Sent, it would take a node's time from one that can still be answered.
    async def main() -> None:
        now = monotonic_us()
        settings = Settings(classes=[RequestClass("grid-read", 500_000, 2_500_000)])
        engine = Engine(Balancer(settings, 1), Counters(), lambda: now, Wheel(lambda: now))
        engine.executor = executor = Executor()
        engine.shortage(0.0)  # the first reading is always told
        engine.list_update(ListKind.FULL, [Member(NODE)])
        answers: list[Answer] = []

        def ask(came_us: int) -> None:
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
                    came_us,
                )
            )

        for _ in range(3):
            ask(now)
            now += 50_000
            engine.attempt_ended(executor.started[-1], Result(AttemptOutcome.SERVED, (), Served(b"")))
        ask(now - 390_000)
        assert isinstance(answers[-1], Refusal) and len(executor.started) == 3
        ask(now - 200_000)
        assert len(executor.started) == 4

    asyncio.run(main())
