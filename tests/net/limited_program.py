"""The real program under few descriptors: a process of its own, its log, and clients that only connect."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from scenario import SETTINGS
from watching import HEAD, Discovery, line, update

ROOT = Path(__file__).parents[2]
SOCKETS = 128  # the process's limit, and the kernel's
IDLE = 300  # clients, all at once: far more than that
GENERATION = 5  # of the list that discovery begins with


def limited() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


@dataclass(slots=True)
class Program:
    """The balancer's process; `log` has what it wrote once it has ended."""

    pid: int
    port: int
    log: list[str] = field(default_factory=list)

    def stop(self) -> None:
        os.kill(self.pid, signal.SIGSTOP)

    def go_on(self) -> None:
        os.kill(self.pid, signal.SIGCONT)


@asynccontextmanager
async def limited_program(
    folder: Path, discovery: Discovery, known: dict[str, object], max_attempts: int, told: int = SOCKETS
) -> AsyncIterator[Program]:
    """A balancer that listens; `told`: how many descriptors its configuration says that it may hold."""
    # Bound, and never listening, it keeps the port from others' connections till the process listens there.
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    port = int(holder.getsockname()[1])
    config = folder / "config.json"
    raw = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": str(discovery.address),
        "seed": "5",
        "known": known,
        "settings": {**SETTINGS, "limits": {"max_attempts": max_attempts, "sockets": told}},
        "limits": {"sockets": told},
    }
    config.write_text(json.dumps(raw))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadlb",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limited,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PROXY_CONFIG": str(config)},
    )
    assert process.stderr
    program = Program(process.pid, port)
    try:
        (await discovery.call()).send(HEAD, line(update(GENERATION)))
        while b"event=listening" not in (logged := await process.stderr.readline()):
            assert logged, "the process ended before it listened"
        holder.close()
        log = asyncio.ensure_future(process.stderr.read())
        yield program
    finally:
        with suppress(ProcessLookupError):  # it ended by itself, which failed the test
            process.send_signal(signal.SIGCONT)
            process.terminate()
        await process.wait()
    program.log = (await log).decode().splitlines()


async def idle_clients(port: int, count: int) -> list[socket.socket]:
    """Connections on which nothing is ever sent."""
    made = []
    loop = asyncio.get_running_loop()
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        made.append(client)
    with suppress(ConnectionError):
        await asyncio.gather(
            *(loop.sock_connect(client, ("127.0.0.1", port)) for client in made), return_exceptions=True
        )
    return made
