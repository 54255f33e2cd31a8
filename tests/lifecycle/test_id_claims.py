"""An id is taken by one process of a balancer alone, also during an upgrade and just after it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from balancer_process import PACKAGE_FOLDER
from samples import RAW
from scenario import run
from test_upgrade import Party

from roadlb.lifecycle.id_claims import BUCKETS, KEPT_US, SLOTS_PER_BUCKET, IdClaims

LIMIT_S = 30.0
ORDER = (
    "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n"
    "Content-Length: 2\r\n\r\nok"
)


class TwoProcesses:
    """The tables of two processes that know each other."""

    def __init__(self, folder: Path) -> None:
        self.now_us = 0
        paths = [folder / "a.ids", folder / "b.ids"]
        self.a, self.b = [IdClaims(path, lambda: self.now_us) for path in paths]
        self.a.follow([paths[1]])
        self.b.follow([paths[0]])


def test_an_id_is_claimed_by_two_processes(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    assert two.a.claim(b"one") and not two.b.claim(b"one")
    assert two.b.claim(b"two") and not two.a.claim(b"two")
    assert two.a.claim(b"three")


def test_the_claims_of_a_process_that_has_ended_are_forgotten_at_once(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    two.a.claim(b"one")
    two.a.close()
    two.b.follow([])
    two.now_us = KEPT_US - 1
    two.b.follow([])
    assert not two.b.claim(b"one")
    two.now_us = KEPT_US
    two.b.follow([])
    assert two.b.claim(b"one")
    assert not list(tmp_path.glob("a.ids"))


OPEN_IDS = [b"%d" % number for number in range(BUCKETS // 4)]
OTHER_IDS = [b"other %d" % number for number in range(3 * BUCKETS * SLOTS_PER_BUCKET)]


@pytest.mark.parametrize("end", ["never ran", "read", "order"])
def test_a_flood_of_other_ids_overwrites_the_claims_of_open_requests(tmp_path: Path, end: str) -> None:
    two = TwoProcesses(tmp_path)
    assert all(two.a.claim(id) for id in OPEN_IDS)
    for id in OTHER_IDS:
        assert two.a.claim(id)
        if end == "never ran":
            two.a.release(id)
        else:
            two.a.retain(id, is_repeatable=end == "read")
    assert not any(two.b.claim(id) for id in OPEN_IDS)


def test_a_flood_of_reads_overwrites_the_claims_of_orders_that_have_ended(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    for id in OPEN_IDS:
        assert two.a.claim(id)
        two.a.retain(id, is_repeatable=False)
    for id in OTHER_IDS:
        assert two.a.claim(id)
        two.a.retain(id, is_repeatable=True)
    assert not any(two.b.claim(id) for id in OPEN_IDS)


def test_the_id_of_a_request_that_never_ran_is_refused_by_the_other_process(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    assert two.a.claim(b"one") and not two.b.claim(b"one")
    two.a.release(b"one")
    assert two.b.claim(b"one") and not two.a.claim(b"one")


def test_an_id_is_claimed_though_its_bucket_has_no_place_to_tell_the_others(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    claimed = [id for id in OTHER_IDS if two.a.claim(id)]
    assert len(claimed) < len(OTHER_IDS)
    assert not any(two.b.claim(id) for id in claimed)


@pytest.mark.parametrize("is_killed", [False, True])
def test_a_new_process_with_the_name_of_one_that_has_gone_is_taken_for_it(
    tmp_path: Path, is_killed: bool
) -> None:
    # Process ids come again; in namespaces of their own all processes may have the same.
    two = TwoProcesses(tmp_path)
    two.a.claim(b"old")
    if not is_killed:
        two.a.close()
    successor = IdClaims(tmp_path / "a.ids", lambda: two.now_us)
    two.b.follow([tmp_path / "a.ids"])
    assert successor.claim(b"new")
    assert not two.b.claim(b"new") and not two.b.claim(b"old")


def test_a_missing_table_of_another_process_stops_this_one(tmp_path: Path) -> None:
    two = TwoProcesses(tmp_path)
    (tmp_path / "short.ids").write_bytes(b"")
    two.a.follow([tmp_path / "none.ids", tmp_path / "short.ids"])
    assert two.a.claim(b"one")


@asynccontextmanager
async def balancers() -> AsyncIterator[list[asyncio.subprocess.Process]]:
    """The processes that a test has started; none outlives it."""
    started: list[asyncio.subprocess.Process] = []
    try:
        yield started
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def start(
    folder: Path, listener: socket.socket, started: list[asyncio.subprocess.Process]
) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadlb",
        env={
            **os.environ,
            "PYTHONPATH": str(PACKAGE_FOLDER),
            "PROXY_CONFIG": str(folder / "config.json"),
            "PROXY_SOCKET_FD": str(listener.fileno()),
            "TMPDIR": str(folder),
        },
        pass_fds=[listener.fileno()],
        cwd=folder,
        stderr=asyncio.subprocess.PIPE,
    )
    started.append(process)
    assert process.stderr
    while b"event=listening" not in await process.stderr.readline():
        pass
    return process


async def send(port: int, id: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(ORDER.format(id=id).encode())
    return reader, writer


async def status(link: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> int:
    head = await link[0].readuntil(b"\r\n\r\n")
    link[1].close()
    return int(head.split()[1])


@pytest.mark.parametrize("client_leaves", [False, True])
def test_an_order_runs_twice_as_its_id_comes_to_the_other_process_of_an_upgrade(
    tmp_path: Path, client_leaves: bool
) -> None:
    async def main() -> None:
        party = Party()
        await party.listen()
        (tmp_path / "config.json").write_text(json.dumps({**RAW, "discovery": party.agent}))
        async with balancers() as started:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                old = await start(tmp_path, listener, started)
                assert await status(await send(port, "before")) == 200
                first = await send(port, "same")
                if client_leaves:
                    await asyncio.sleep(0.1)
                    first[1].close()
                else:
                    assert await status(first) == 200
                new = await start(tmp_path, listener, started)
                old.send_signal(signal.SIGSTOP)  # the new process alone accepts
                assert [await status(await send(port, id)) for id in ("same", "other", "before")] == [
                    409,
                    200,
                    409,
                ]
                old.send_signal(signal.SIGCONT)
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                assert await status(await send(port, "same")) == 409
                new.send_signal(signal.SIGTERM)
                assert await new.wait() == 0
        assert max(party.ran.values()) == 1
        assert not list(tmp_path.glob("*.ids"))
        for server in party.servers:
            server.close()

    run(asyncio.wait_for(main(), LIMIT_S))


class SlowParty(Party):
    """Its node answers no request whose id begins with `same` until `may_answer` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.may_answer = asyncio.Event()
        self.has_request = asyncio.Event()

    async def before_answer(self, head: bytes) -> None:
        if b"-Id: same" in head:
            self.has_request.set()
            await self.may_answer.wait()


READ = "GET /grid-read/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: {id}\r\n\r\n"
REQUESTS = {"order": ORDER, "read": READ}


@dataclass(frozen=True, slots=True)
class Client:
    """A connection that its client keeps: all requests on it come to one process."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, request: str, id: str) -> None:
        self.writer.write(request.format(id=id).encode())

    async def status(self) -> int:
        """The status of the next answer, which is read whole."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        await self.reader.readexactly(int(lengths[0].partition(b":")[2]))
        return int(head.split()[1])

    async def ask(self, request: str, id: str) -> int:
        self.send(request, id)
        return await self.status()


async def keep_connection(port: int, id: str) -> Client:
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    assert await client.ask(READ, id) == 200
    return client


@pytest.mark.parametrize("is_open_at_old", [True, False], ids=["open at the old one", "open at the new one"])
@pytest.mark.parametrize("second", REQUESTS.values(), ids=[f"second {kind}" for kind in REQUESTS])
@pytest.mark.parametrize("first", REQUESTS.values(), ids=[f"first {kind}" for kind in REQUESTS])
def test_a_request_with_the_id_of_one_that_is_open_at_the_other_process_is_served(
    tmp_path: Path, first: str, second: str, is_open_at_old: bool
) -> None:
    # Guards against claims of ids that leave out reads, or end before their requests do.
    async def main() -> None:
        party = SlowParty()
        await party.listen()
        (tmp_path / "config.json").write_text(json.dumps({**RAW, "discovery": party.agent}))
        async with balancers() as started:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                old = await start(tmp_path, listener, started)
                at_old = await keep_connection(port, "before")
                new = await start(tmp_path, listener, started)
                old.send_signal(signal.SIGSTOP)  # the new process alone accepts
                at_new = await keep_connection(port, "then")
                old.send_signal(signal.SIGCONT)
                usual, bad = (at_old, at_new) if is_open_at_old else (at_new, at_old)
                usual.send(first, "same")
                await party.has_request.wait()
                assert await bad.ask(second, "same") == 409
                party.may_answer.set()
                assert await usual.status() == 200
                assert await bad.ask(second, "same") == 409
                assert await bad.ask(second, "another") == 200
                for process in (old, new):
                    process.send_signal(signal.SIGTERM)
                assert [await old.wait(), await new.wait()] == [0, 0]
        assert max(party.ran.values()) == 1
        for server in party.servers:
            server.close()

    run(asyncio.wait_for(main(), LIMIT_S))
