"""Upgrades: two real processes on one inherited socket under load, and what they leave each other."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from pathlib import Path

import pytest
from samples import RAW, server_entry
from scenario import run

from roadlb.config import ConfigError, read_config
from roadlb.counters import Counters as Counts
from roadlb.lab.run.ports import reserved
from roadlb.lifecycle import handover
from roadlb.lifecycle.handover import Handover, Held, Neighbours
from roadlb.lifecycle.succession import Succession
from roadlb.net.sockets import inherited_socket

ROOT = Path(__file__).parents[2]
LIMIT_S = 30.0


class Party:
    """A node and a discovery agent that tells of it; `ran` counts the ids of what the node ran."""

    def __init__(self) -> None:
        self.ran: Counter[bytes] = Counter()
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> None:
        node, discovery = [
            await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (self.node, self.discovery)
        ]
        self.servers = [node, discovery]
        self.agent = f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"
        self.list = {
            "generation": 7,
            "reset": True,
            "instances": [server_entry(node.sockets[0].getsockname()[1])],
        }

    async def node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.ran[next(line for line in head.split(b"\r\n") if b"-Id:" in line)] += 1
                await self.before_answer(head)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def before_answer(self, head: bytes) -> None:
        """Wait for so long before the node answers the request with this head."""
        await asyncio.sleep(0.01)

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + json.dumps(self.list).encode() + b"\n")
        while not writer.is_closing():
            await asyncio.sleep(0.2)
            writer.write(b"\n")


async def door(port: int, call: str) -> bytes:
    """An empty answer stands for nobody there yet."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return b""
    writer.write(call.encode() + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return answer


def test_two_upgrades_in_a_row_under_load_cost_no_request_and_run_each_order_once(tmp_path: Path) -> None:
    met: Counter[str] = Counter()

    async def client(port: int, name: int, over: asyncio.Event) -> None:
        link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        number = 0
        while not over.is_set():
            number += 1
            new = link is None
            reader, writer = link = link or await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /order/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %d-%d\r\n"
                b"X-Account: acme\r\nContent-Length: 2\r\n\r\nok" % (name, number)
            )
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
            except (asyncio.IncompleteReadError, ConnectionError):
                met["reset" if new else "crossed"] += 1
                link = None
                continue
            met[head[9:12].decode()] += 1
            if b"Connection: close" in head:
                writer.close()
                link = None
            await asyncio.sleep(0.005 * (name % 7))

    async def main() -> None:
        party, over = Party(), asyncio.Event()
        await party.listen()
        with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
            port, started, held = listener.getsockname()[1], [], list[socket.socket]()

            async def start() -> tuple[asyncio.subprocess.Process, int]:
                held.append(reserved())
                admin, config = held[-1].getsockname()[1], tmp_path / "config.json"
                config.write_text(json.dumps({**RAW, "discovery": party.agent}))
                env = {
                    **os.environ,
                    "PYTHONPATH": str(ROOT),
                    "PROXY_CONFIG": str(config),
                    "PROXY_SOCKET_FD": str(listener.fileno()),
                    "TMPDIR": str(tmp_path),
                    "PROXY_ADMIN_ADDR": f"127.0.0.1:{admin}",
                }
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "roadlb",
                    env=env,
                    pass_fds=[listener.fileno()],
                    cwd=ROOT,
                    stderr=(tmp_path / f"{len(started)}.log").open("wb"),
                )
                started.append(process)
                while b" 200 " not in await door(admin, "GET /control/ready"):
                    await asyncio.sleep(0.02)
                return process, admin

            old, _ = await start()
            clients = [asyncio.create_task(client(port, i, over)) for i in range(20)]
            for _ in range(2):
                await asyncio.sleep(0.3)
                new, _ = await start()
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                old = new
            await asyncio.sleep(0.3)
            over.set()
            await asyncio.gather(*clients)
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
        assert set(met) <= {"200", "crossed"} and met["200"] > 100 and met["crossed"] <= 2, met
        assert max(party.ran.values()) == 1
        assert not list(tmp_path.glob("*.lock"))
        assert b"Traceback" not in b"".join(f.read_bytes() for f in tmp_path.glob("*.log"))
        for socket_or_server in (*party.servers, *held):
            socket_or_server.close()

    run(asyncio.wait_for(main(), LIMIT_S))


KNOWN = {"generation": 4, "reset": True, "instances": [{"instanceId": "s1"}]}
OLDER = {"generation": 3, "reset": True, "instances": [{"instanceId": "s0"}]}


def succession(directory: Path, counters: Counts) -> Succession:
    return Succession(
        directory, counters, lambda: Held(1, 2, 3), lambda: Handover("d:1", KNOWN, False), lambda others: None
    )


async def made(directory: Path, counters: Counts) -> Succession:
    return succession(directory, counters)


def test_a_successor_takes_a_newer_list_of_the_same_discovery_and_no_other(tmp_path: Path) -> None:
    counters = Counts()
    one = run(made(tmp_path, counters))
    assert one.inherited("d:1", OLDER) == OLDER and not one.draining()  # none is there
    handover.write(tmp_path, Handover("d:1", KNOWN, True))
    assert one.inherited("d:1", OLDER) == KNOWN
    assert not one.draining()  # whoever drained has died
    assert one.inherited("d:2", OLDER) == OLDER
    assert one.inherited("d:1", {**KNOWN, "generation": 5})["generation"] == 5
    assert one.inherited("d:1", {}) == KNOWN
    assert (counters["handover.taken"], counters["handover.old"]) == (2, 2)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda b: b"",
        lambda b: b[:-1],
        lambda b: b"\0" * 4_000,
        lambda b: b.replace(b"handover 1", b"handover 2"),
        lambda b: b.replace(b"s1", b"s2"),
        lambda b: b[:40],
        lambda b: b.replace(b"roadlb", b"other"),
    ],
)
def test_a_spoilt_or_foreign_handover_is_as_good_as_none(tmp_path: Path, spoil: object) -> None:
    handover.write(tmp_path, Handover("d:1", KNOWN, True))
    file, counters = tmp_path / handover.FILE, Counts()
    file.write_bytes(spoil(file.read_bytes()))  # type: ignore[operator]

    async def main() -> None:
        one = succession(tmp_path, counters)
        assert one.inherited("d:1", OLDER) == OLDER and not one.draining()

    run(main())
    assert counters["handover.ignored"] == 1


def test_neighbours_are_those_whose_lock_is_held(tmp_path: Path) -> None:
    mine = Neighbours(tmp_path)
    (tmp_path / "roadlb.1.lock").write_bytes(b"")  # of one that died
    assert mine.others() == [] and not (tmp_path / "roadlb.1.lock").exists()
    child = (
        "import sys, time; from pathlib import Path; from roadlb.lifecycle.handover import *\n"
        "n = Neighbours(Path(sys.argv[1])); n.tell(Held(3, 4, 5)); print(flush=True); sys.stdin.read()"
    )

    async def main() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", child, str(tmp_path), cwd=ROOT, stdin=-1, stdout=-1
        )
        assert process.stdout and await process.stdout.readline()
        assert mine.others() == [Held(3, 4, 5)]
        process.kill()
        await process.wait()
        assert mine.others() == []

    run(main())
    mine.leave()


def test_what_is_inherited_must_listen() -> None:
    with pytest.raises(ConfigError, match="PROXY_SOCKET_FD: 'four'"):
        read_config(RAW, {"PROXY_SOCKET_FD": "four"})
    with socket.socket() as idle, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        for fd in (idle.fileno(), datagrams.fileno()):
            with pytest.raises(ConfigError, match=f"PROXY_SOCKET_FD: descriptor {fd}"):
                inherited_socket(fd)
    with pytest.raises(ConfigError, match="descriptor 9999 is no socket"):
        inherited_socket(9999)
