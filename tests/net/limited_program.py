"""Runs the balancer as a process with a low descriptor limit, collects its log, and opens idle clients."""

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
MAX_DESCRIPTORS = 128  # RLIMIT_NOFILE of the balancer's process, and the limit in its configuration
IDLE_CLIENT_COUNT = 300  # connected at once; far more than MAX_DESCRIPTORS
INITIAL_GENERATION = 5  # generation of the first server list that discovery sends


def limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


@dataclass(slots=True)
class BalancerProcess:
    """The balancer's process; `log` holds the lines it logged and is filled in after it has ended."""

    pid: int
    port: int
    log: list[str] = field(default_factory=list)

    def suspend(self) -> None:
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        os.kill(self.pid, signal.SIGCONT)


@asynccontextmanager
async def limited_program(
    folder: Path,
    discovery: Discovery,
    initial_list: dict[str, object],
    max_attempts: int,
    configured_descriptors: int = MAX_DESCRIPTORS,
) -> AsyncIterator[BalancerProcess]:
    """Runs a balancer and yields it once it listens.

    `configured_descriptors` is the descriptor limit in its configuration, which may exceed the real one.
    """
    # A socket that is bound but never listens reserves the port until the process listens there.
    port_holder = socket.socket()
    port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    port_holder.bind(("127.0.0.1", 0))
    port = int(port_holder.getsockname()[1])
    config = folder / "config.json"
    raw = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": str(discovery.address),
        "seed": "5",
        "known": initial_list,
        "settings": {**SETTINGS, "limits": {"max_attempts": max_attempts, "sockets": configured_descriptors}},
        "limits": {"sockets": configured_descriptors},
    }
    config.write_text(json.dumps(raw))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadlb",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
        env={**os.environ, "PYTHONPATH": str(ROOT), "PROXY_CONFIG": str(config)},
    )
    assert process.stderr
    program = BalancerProcess(process.pid, port)
    try:
        (await discovery.call()).send(HEAD, line(update(INITIAL_GENERATION)))
        while b"event=listening" not in (log_line := await process.stderr.readline()):
            assert log_line, "the process ended before it listened"
        port_holder.close()
        log = asyncio.ensure_future(process.stderr.read())
        yield program
    finally:
        with suppress(ProcessLookupError):  # the process has already exited, which has failed the test
            process.send_signal(signal.SIGCONT)
            process.terminate()
        await process.wait()
    program.log = (await log).decode().splitlines()


async def idle_clients(port: int, count: int) -> list[socket.socket]:
    """Opens connections on which nothing is ever sent."""
    clients = []
    loop = asyncio.get_running_loop()
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        clients.append(client)
    with suppress(ConnectionError):
        await asyncio.gather(
            *(loop.sock_connect(client, ("127.0.0.1", port)) for client in clients), return_exceptions=True
        )
    return clients
