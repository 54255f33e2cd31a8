"""Two processes of one balancer: what is told, starts, ends or dies at each step of the hand-over."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from samples import RAW
from scenario import LIMIT_S, run

from roadlb import app as app_module
from roadlb.app import App
from roadlb.config import read_config
from roadlb.counters import Counters
from roadlb.lifecycle import handover
from roadlb.lifecycle.handover import Handover, Held, Neighbours
from roadlb.lifecycle.lifecycle import Event, State
from roadlb.lifecycle.succession import Succession

ROOT = Path(__file__).parents[2]
DISCOVERY = "127.0.0.1:9"  # where nobody answers
KNOWN = {
    "generation": 4,
    "reset": True,
    "instances": [{"instanceId": "s1", "hostPort": DISCOVERY, "lifecycle": "up"}],
}


def predecessor(directory: Path, heard: Callable[[list[Held]], None], draining: bool = False) -> Succession:
    return Succession(
        directory,
        Counters(),
        lambda: Held(1, 2, 3),
        lambda: Handover(DISCOVERY, KNOWN, draining),
        heard,
    )


def successor(directory: Path, listener: socket.socket) -> App:
    config = read_config({**RAW, "discovery": DISCOVERY, "known": KNOWN}, {})
    return App(replace(config, socket_fd=os.dup(listener.fileno()), shared_dir=str(directory)))


def test_a_lock_that_a_look_takes_for_a_dead_ones_is_made_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one, flock, looked = Neighbours(tmp_path), fcntl.flock, list[int]()

    def meanwhile(fd: int, operation: int) -> None:
        if not looked and len(list(tmp_path.glob(handover.LOCKS))) == 2:
            looked.append(fd)
            assert one.others() == []  # between the file's making and its locking
        flock(fd, operation)

    monkeypatch.setattr(handover.fcntl, "flock", meanwhile)
    two = Neighbours(tmp_path)
    assert looked
    assert one.others() == [Held(0, 0, 0)] and two.others() == [Held(0, 0, 0)]
    two.leave()
    assert one.others() == []
    one.leave()


def test_a_process_with_the_same_pid_elsewhere_is_another(tmp_path: Path) -> None:
    one = Neighbours(tmp_path)
    two = Neighbours(tmp_path)
    two.tell(Held(3, 4, 5))
    assert one.others() == [Held(3, 4, 5)]
    for process in (one, two):
        process.leave()


def test_who_takes_over_listens_only_once_each_counts_the_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(app_module, "HEARD_S", 0.01)
    counted, at_listening = [0], list[tuple[int, int]]()
    serve = app_module.serve

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = predecessor(tmp_path, lambda others: counted.__setitem__(0, len(others)))
            old.begin()
            new = successor(tmp_path, listener)

            async def serving(*given: object) -> object:
                at_listening.append((counted[0], new.twins))
                return await serve(*given)  # type: ignore[arg-type]

            monkeypatch.setattr(app_module, "serve", serving)
            await new.start()
            await new.stop()
            old.end()

    run(asyncio.wait_for(main(), LIMIT_S))
    assert at_listening == [(1, 2)]


def test_a_drain_told_to_the_predecessor_while_the_successor_starts_holds_for_both(tmp_path: Path) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = predecessor(tmp_path, lambda others: None)
            old.begin()
            old.write_now()
            new = successor(tmp_path, listener)
            starting = asyncio.create_task(new.start())
            while not hasattr(new, "door"):  # its list is taken over, and it waits for discovery's word
                await asyncio.sleep(0)
            handover.write(tmp_path, Handover(DISCOVERY, KNOWN, True))
            await starting
            assert new.lifecycle.state is State.DRAINING and new.lifecycle.takes_clients
            new.tell(Event.IN_SERVICE)
            assert new.lifecycle.state is State.SERVING
            await new.stop()
            old.end()

    run(asyncio.wait_for(main(), LIMIT_S))


def test_a_changed_state_is_left_to_a_successor_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = successor(tmp_path, listener)
            await old.start()
            for event, draining in ((Event.OUT_OF_SERVICE, True), (Event.IN_SERVICE, False)):
                old.tell(event)
                told = handover.read(tmp_path)
                assert told and told.draining is draining
            await old.stop()

    run(asyncio.wait_for(main(), LIMIT_S))


def test_who_leaves_writes_nothing_more_and_the_counts_follow_the_dead(tmp_path: Path) -> None:
    counted = list[int]()

    async def main() -> None:
        old = predecessor(tmp_path, lambda others: counted.append(len(others)))
        old.begin()
        new = Neighbours(tmp_path)
        old.look()
        os.close(new._lock)  # as the kernel does at its death
        old.look()
        old.write_soon()
        old.leave()
        await asyncio.sleep(0.15)  # WRITE_S, and half as much
        assert handover.read(tmp_path) is None
        old.end()

    run(main())
    assert counted == [0, 1, 0]


# Real processes


async def begin(tmp_path: Path, listen: str, **more: str) -> asyncio.subprocess.Process:
    config = tmp_path / "config.json"
    config.write_text(json.dumps({**RAW, "listen": listen, "discovery": DISCOVERY}))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadlb",
        env={**os.environ, "PYTHONPATH": str(ROOT), "PROXY_CONFIG": str(config), **more},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )


async def logged(process: asyncio.subprocess.Process, text: bytes) -> bytes:
    """What it has logged up to the first line with this text."""
    assert process.stderr
    got = b""
    while text not in got:
        line = await process.stderr.readline()
        assert line, got
        got += line
    return got


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_who_is_told_to_end_while_it_waits_for_its_address_ends_at_once(
    tmp_path: Path, number: signal.Signals
) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as held:
            process = await begin(tmp_path, f"127.0.0.1:{held.getsockname()[1]}")
            await logged(process, b"address in use")
            process.send_signal(number)
            _, log = await process.communicate()
            assert process.returncode == 0 and b"Traceback" not in log, log

    run(asyncio.wait_for(main(), LIMIT_S * 2))


def test_told_to_end_again_and_again_it_ends_once_and_answers_what_it_took(tmp_path: Path) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        process = await begin(tmp_path, f"127.0.0.1:{port}")
        await logged(process, b"listening")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST /order/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 1\r\nX-Account: acme\r\n"
        writer.write(head)
        for number in (signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        await logged(process, b"stopping")
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
            process.send_signal(number)
        writer.write(b"Content-Length: 2\r\n\r\nok")
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 50") and b"Connection: close" in answer
        _, log = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in log, log

    run(asyncio.wait_for(main(), LIMIT_S * 2))
