"""The load tool: what it counts, from when, and what it refuses.  Counts, and of times lower bounds only."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Mapping
from contextlib import asynccontextmanager
from typing import Any

import pytest
import uvloop
from click.testing import CliRunner
from msgspec.structs import replace
from one_node import balancer

from roadlb.cli.commands import roadlb
from roadlb.lab.incident.schema import Clients, Incident, RequestClass, Traffic
from roadlb.lab.incident.values import Range
from roadlb.lab.load import LoadResult, NoAnswer, NotLoopback, load, loopback_address, play
from roadlb.lab.load.result import Counts
from roadlb.lab.parties.bodies import answer_body, asked
from roadlb.lab.parties.http import Message, RequestReader, write_answer
from roadlb.lab.run.settings import settings_of

# Nobody gives up before a busy machine has come round to it.
PATIENT = Traffic(
    rate=200.0,
    clients=Clients(retries=Range(0, 0), try_share=Range(1, 1)),
    classes=(
        RequestClass(
            name="grid-read",
            share=0.7,
            work_ms=Range(1, 1),
            aim_s=0.5,
            deadline_s=30.0,
            worth=2.0,
            repeatable=True,
            distribution="fixed",
        ),
        RequestClass(
            name="order",
            share=0.3,
            work_ms=Range(1, 1),
            aim_s=0.6,
            deadline_s=30.0,
            worth=10.0,
            repeatable=False,
            distribution="fixed",
        ),
    ),
)


def quiet(second: float, figures: Mapping[str, float]) -> None:
    pass


class Scripted(asyncio.Protocol):
    """Healthy, and answers the n-th request, over all connections, as `answer` says."""

    def __init__(self, numbers: list[int], answer: Any) -> None:
        self.numbers, self.answer, self.reader = numbers, answer, RequestReader()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            if message.target == "/healthz":
                self.transport.write(write_answer(200))
            else:
                self.numbers[0] += 1
                self.answer(self.numbers[0], self.transport, message)


def right(message: Message) -> bytes:
    there = asked(message.method, message.target, message.body)
    return write_answer(200, [], answer_body(message.headers["x-correlation-id"], there, "g", 0, 1, 300))


@asynccontextmanager
async def scripted(answer: Any):
    numbers = [0]
    server = await asyncio.get_running_loop().create_server(lambda: Scripted(numbers, answer), "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


def loaded(answer: Any, traffic: Traffic = PATIENT, seconds: float = 0.4, **more: Any) -> LoadResult:
    async def run() -> LoadResult:
        async with scripted(answer) as url:
            return await load(url, traffic, seconds, quiet, **more)

    return uvloop.run(run())


def test_the_real_balancer_serves_every_wish_and_each_is_told_by_class_and_stair() -> None:
    said: list[tuple[float, Mapping[str, float]]] = []

    async def run() -> LoadResult:
        raw = {"name": "n1", "settings": settings_of(Incident(name="calm", title="one day"), 0, "hall-a")}
        async with balancer(raw) as here:
            return await load(
                here.url, PATIENT, 1.2, lambda second, figures: said.append((second, figures)), edges=[0.5]
            )

    result = uvloop.run(run())
    counts = result.counts
    assert counts["wished"] > 100 and counts["served"] == counts["wished"] == sum(
        stair.wished for stair in result.stairs
    )
    assert [(stair.from_s, stair.to_s) for stair in result.stairs] == [(0, 0.5), (0.5, 1.2)]
    assert all(stair.wished and stair.cells.keys() == {"grid-read", "order"} for stair in result.stairs)
    assert {name: cell.latency.get_total_count() for name, cell in result.by_class.items()} == {
        name: cell.served for name, cell in result.by_class.items()
    }
    assert [second for second, _ in said] == [1, 1.2]
    assert sum(figures["wished"] for _, figures in said) == counts["wished"]


def test_each_way_in_which_a_try_ends_is_counted_once() -> None:
    def answer(number: int, transport: Any, message: Message) -> None:
        match number % 5:
            case 0:
                transport.write(write_answer(503))
            case 1:
                transport.write(right(message))
            case 2:
                transport.write(write_answer(200, [], b"another's answer"))
            case 3:
                transport.write(write_answer(500))
            case 4:
                transport.write(right(message)[:-5])
                transport.close()

    result = loaded(answer)
    counts = result.counts
    wished = counts["wished"]
    assert wished > 50 and not counts["unreached"]
    assert [counts[how] for how in ("served", "refused", "failed", "lost")] == [
        (wished + 4) // 5,
        wished // 5,
        (wished + 3) // 5 + (wished + 2) // 5,
        (wished + 1) // 5,
    ]
    assert {how for cell in result.by_class.values() for how in cell.losses} == {"cut"}


def test_a_stall_is_charged_for_all_that_it_kept_from_being_sent() -> None:
    """One connection, and the first answer after 0.3 s: what was due in 0.2 s of it took 0.1 s or more."""

    def answer(number: int, transport: Any, message: Message) -> None:
        if number == 1:
            asyncio.get_running_loop().call_later(0.3, transport.write, right(message))
        else:
            transport.write(right(message))

    result = loaded(answer, connections=1)
    long = sum(
        item.count_at_value_iterated_to
        for cell in result.by_class.values()
        for item in cell.latency.get_recorded_iterator()
        if item.value_iterated_to > 100_000
    )
    assert long >= 20  # of some 40 that were due by then; a closed loop has 1


def test_an_ended_balancer_is_told_as_unreached_and_the_load_ends() -> None:
    async def run() -> LoadResult:
        async with scripted(lambda number, transport, message: transport.abort()) as url:
            return await load(url, replace(PATIENT, rate=100.0), 0.2, quiet)

    result = uvloop.run(run())
    assert result.counts["served"] == 0
    assert result.counts["lost"] + result.counts["unreached"] == result.counts["wished"] > 0


def test_nothing_healthy_is_told_with_its_remedy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(play, "READY_WITHIN_S", 0.05)
    server = uvloop.new_event_loop()
    with pytest.raises(NoAnswer, match=r"http://127.0.0.1:1: nothing there said 200 to GET /healthz"):
        server.run_until_complete(load("http://127.0.0.1:1", PATIENT, 1.0, quiet))
    server.close()


@pytest.mark.parametrize(
    "url",
    [
        "http://10.0.0.1:80",
        "http://0.0.0.0:80",
        "http://[2001:db8::1]:80",
        "http://balancer.local:80",
        "https://127.0.0.1:80",
        "http://127.0.0.1",
        "127.0.0.1:80",
        "http://127.0.0.1:80/order",
        "http://127.0.0.1.nip.io:80",
        "http://127.0.0.1@10.0.0.1:80",
        "http://127.0.0.1:99999",
    ],
)
def test_foreign_addresses_are_refused_with_the_remedy(url: str) -> None:
    with pytest.raises(NotLoopback, match=f"^{re.escape(url)}: .*give http://127.0.0.1:PORT"):
        loopback_address(url)
    result = CliRunner().invoke(roadlb, ["lab", "load", url])
    assert result.exit_code == 1 and f"Error: {url}: " in result.stderr


@pytest.mark.parametrize(
    ("url", "address"),
    [
        ("http://127.0.0.1:80", ("127.0.0.1", 80)),
        ("http://127.9.9.9:80/", ("127.9.9.9", 80)),
        ("http://[::1]:80", ("::1", 80)),
        ("http://localhost:80", ("127.0.0.1", 80)),
    ],
)
def test_loopback_addresses_are_taken(url: str, address: tuple[str, int]) -> None:
    assert loopback_address(url) == address


def test_the_tool_tells_how_late_it_was_itself() -> None:
    counts = Counts([(0.0, 1.0), (1.0, 2.0)])
    counts.began_at = 5_000_000
    for due, now in ((5_100_000, 5_100_400), (5_999_000, 6_039_000), (6_000_000, 6_000_900)):
        counts.wished(due, now)
    assert [stair.wished for stair in counts.stairs] == [2, 1]
    assert (counts.late.get_total_count(), round(counts.late.get_max_value(), -3)) == (3, 40_000)
    assert counts.since_last()["late"] == 40.0 and counts.since_last()["late"] == 0.0


def test_the_command_prints_a_line_a_second_a_table_and_json(tmp_path: Any) -> None:
    async def serve(ready: asyncio.Queue[str]) -> None:
        async with scripted(lambda number, transport, message: transport.write(right(message))) as url:
            await ready.put(url)
            await asyncio.Event().wait()

    async def run() -> Any:
        ready: asyncio.Queue[str] = asyncio.Queue()
        serving = asyncio.create_task(serve(ready))
        command = [
            "lab",
            "load",
            await ready.get(),
            "--rates",
            "50,100",
            "--seconds",
            "0.5",
            "--json",
            str(tmp_path / "load.json"),
        ]
        result = await asyncio.to_thread(CliRunner().invoke, roadlb, command)
        serving.cancel()
        return result

    result = asyncio.run(run())
    assert result.exit_code == 0, result.output
    told = json.loads((tmp_path / "load.json").read_text())
    assert told["schema"] == "roadlb.lab.load/1" and len(told["stairs"]) == 2
    lines = result.stdout.splitlines()
    assert lines[0].startswith("   1 of 1 s  wished ") and "late itself" in lines[0]
    assert lines[2].split() == [
        "a",
        "second",
        "class",
        "served",
        "refused",
        "failed",
        "lost",
        "p50",
        "p90",
        "p99",
        "p99.9",
        "max",
    ]
    rows = [line.split() for line in lines[3:9]]
    assert [row[1] for row in rows] == ["grid-read", "order"] * 3 and rows[-1][0] == "all"
    assert sum(int(row[2]) for row in rows[:4]) == told["counts"]["served"] > 20
    assert lines[-1].startswith("the tool itself: late by ")
