"""What a rig sets up beside an incident's parties: links with faults, datagrams, children, more settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
import uvloop

from roadlb.lab.incident import read
from roadlb.lab.run.datagrams import Datagrams
from roadlb.lab.run.link import Link
from roadlb.lab.run.rig import Rig

QUIET_S = 0.2  # for what must not come


class Echo(asyncio.Protocol):
    got = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        Echo.got += data
        self.transport.write(data)


async def comes(reader: asyncio.StreamReader, size: int) -> bytes:
    return await asyncio.wait_for(reader.readexactly(size), 20)


async def nothing(reader: asyncio.StreamReader) -> bool:
    try:
        await asyncio.wait_for(reader.read(1), QUIET_S)
    except TimeoutError:
        return True
    return False


@asynccontextmanager
async def linked() -> AsyncIterator[tuple[Link, list[str]]]:
    Echo.got, notes = b"", list[str]()

    def note(text: str) -> int:
        notes.append(text)
        return len(notes)

    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    link = Link("a to b", "127.0.0.1", server.sockets[0].getsockname(), note)
    yield link, notes
    link.end()
    server.close()
    await asyncio.sleep(0.01)


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test())


@pytest.mark.parametrize("way, heard", [("there", b""), ("back", b"two"), ("both", b"")])
def test_a_link_dropped_one_way_passes_the_other_and_healed_loses_nothing(way: str, heard: bytes) -> None:
    async def test() -> None:
        async with linked() as (link, _):
            reader, writer = await asyncio.open_connection(*link.address)
            writer.write(b"one")
            assert await comes(reader, 3) == b"one"
            link.drop(way)
            writer.write(b"two")
            assert await nothing(reader) and Echo.got == b"one" + heard
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.open_connection(*link.address), QUIET_S)
            link.silent(way)
            other, _ = await asyncio.wait_for(asyncio.open_connection(*link.address), 20)
            assert await nothing(other)
            link.heal()
            assert await comes(reader, 3) == b"two"

    run(test)


def test_a_link_that_resets_or_refuses_says_so_at_once_and_one_that_is_slow_is_late() -> None:
    async def test() -> None:
        async with linked() as (link, notes):
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection(*link.address)
            link.slow(100)
            began = loop.time()
            writer.write(b"one")
            assert await comes(reader, 3) == b"one" and loop.time() - began >= 0.199  # its clock has ms
            link.reset()
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            link.refuse()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*link.address)
            link.heal()
            reader, writer = await asyncio.open_connection(*link.address)
            writer.write(b"two")
            assert await comes(reader, 3) == b"two"
            assert notes == ["a to b: 100 ms", "a to b: reset", "a to b: refuses", "a to b: healed"]

    run(test)


def test_a_fault_falls_in_mid_message_wherever_the_bytes_are_cut() -> None:
    async def test() -> None:
        for cut in range(1, 12):
            async with linked() as (link, notes):
                at = link.when(b"order", lambda link=link: link.drop("both"), after=2)
                reader, writer = await asyncio.open_connection(*link.address)
                whole = b"an order: two"
                writer.write(whole[:cut])
                await asyncio.sleep(0.005)
                writer.write(whole[cut:])
                assert await asyncio.wait_for(at, 20) == 1 == len([n for n in notes if "has passed" in n])
                await asyncio.sleep(0.02)
                assert Echo.got == b"an order: ", cut
                link.heal()
                assert await comes(reader, len(whole)) == whole

    run(test)


def test_datagrams_are_lost_doubled_reordered_and_cut_by_a_seed() -> None:
    class Party(asyncio.DatagramProtocol):
        def __init__(self, answers: bool) -> None:
            self.got, self.answers = list[int](), answers

        def connection_made(self, transport: Any) -> None:
            self.transport = transport

        def datagram_received(self, data: bytes, sender: Any) -> None:
            self.got.append(int(data))
            if self.answers:
                self.transport.sendto(data, sender)

    async def sent(
        seed: int, tell: Callable[[Datagrams], Any]
    ) -> tuple[list[int], list[int], dict[str, int]]:
        loop = asyncio.get_running_loop()
        b, target = await loop.create_datagram_endpoint(lambda: Party(True), local_addr=("127.0.0.1", 0))
        link = Datagrams("a to b", b.get_extra_info("sockname"), Random(seed), lambda text: 0)
        await link.start("127.0.0.1")
        a, source = await loop.create_datagram_endpoint(lambda: Party(False), remote_addr=link.address)
        tell(link)
        for number in range(200):
            a.sendto(b"%d" % number)
            await asyncio.sleep(0)
        counts, quiet = dict(link.counts), 0
        while quiet < 5:  # until nothing more comes
            await asyncio.sleep(0.1)
            quiet = quiet + 1 if counts == link.counts else 0
            counts = dict(link.counts)
        link.end()
        a.close()
        b.close()
        return target.got, source.got, counts

    async def test() -> None:
        plain, answers, _ = await sent(1, lambda link: link.heal())
        assert plain == answers == list(range(200))
        worse, _, counts = await sent(1, lambda link: link.fail(lost=0.2, doubled=0.2, reordered=0.2))
        again, _, _ = await sent(1, lambda link: link.fail(lost=0.2, doubled=0.2, reordered=0.2))
        assert sorted(set(worse)) == sorted(set(again)), "the seed decides which are lost"
        assert 20 < 200 - len(set(worse)) < 60 and len(worse) > len(set(worse)) and worse != sorted(worse)
        assert counts["came"] == counts["lost"] + counts["went"] - counts["doubled"]
        heard, answers, _ = await sent(1, lambda link: link.drop("back"))
        assert heard == list(range(200)) and not answers
        heard, _, _ = await sent(
            1, lambda link: link.when(lambda data: data == b"7", lambda: link.drop("there"))
        )
        assert heard == list(range(7)), "the one that it waited for is cut off as well"

    run(test)


ONE = """
title = "one balancer"
[network]
halls = ["hall-a"]
[fleet]
nodes = 3
[balancers]
per_hall = 1
[traffic]
rate = 20
"""
CHILD = """
import sys, time
print("here", sys.argv[1], flush=True)
while True: time.sleep(0.01); print("on", flush=True)
"""


def test_children_are_stopped_killed_restarted_and_ended_with_the_rig_though_the_test_fails() -> None:
    async def test() -> None:
        further = {"limits": {"cores": 3}, "settings": {"report": {"fields": ["q"]}}}
        variables = {"ROADLB_RIG_TEST": "1"}
        pids = []
        with pytest.raises(KeyError):
            async with Rig(read(ONE, "one.toml"), 1, lambda name: further, variables) as rig:
                told = json.loads((rig.folder / "balancer-1.json").read_text())
                assert told["limits"]["cores"] == 3 and told["limits"]["sockets"]
                assert told["settings"]["report"] == {"source": "inline", "fields": ["q"]}
                child = await rig.spawn("party", [sys.executable, "-c", CHILD, "first"], variables)
                await rig.until("it speaks", lambda: "here first" in child.said())
                child.stop()
                await asyncio.sleep(QUIET_S)
                size = len(child.said())
                await asyncio.sleep(QUIET_S)
                assert len(child.said()) == size
                child.go_on()
                await rig.until("it goes on", lambda: len(child.said()) > size)
                pids.append(child.pid)
                await child.restart([sys.executable, "-c", CHILD, "second"])
                await rig.until("it speaks", lambda: "here second" in child.said())
                child.stop()
                pids.append(child.pid)
                texts = [note.text for note in rig.notes() if "SIG" in note.text or "ended" in note.text]
                assert texts[:4] == [
                    "party: SIGSTOP",
                    "party: SIGCONT",
                    "party: SIGKILL",
                    f"party: ended with {-signal.SIGKILL}",
                ]
                with pytest.raises(ValueError, match="there is one already"):
                    await rig.spawn("party", ["true"])
                raise KeyError
        for pid in pids:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)

    run(test)
