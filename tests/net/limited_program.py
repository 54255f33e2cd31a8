"""Runs the balancer as a process with a low descriptor limit, collects its log, and opens idle clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from scenario import SETTINGS
from watching import HEAD, Discovery, line, update

ROOT = Path(__file__).parents[2]
MAX_DESCRIPTORS = 128  # RLIMIT_NOFILE of the balancer's process, and the limit in its configuration
IDLE_CLIENT_COUNT = 300  # connected at once; far more than MAX_DESCRIPTORS
INITIAL_GENERATION = 5  # generation of the first server list that discovery sends


# The shell lowers its own limits, soft and hard, and becomes the program.
WITH_FEW_DESCRIPTORS = ("/bin/sh", "-c", f'ulimit -n {MAX_DESCRIPTORS} && exec "$0" "$@"')


def start_with_few_descriptors(*command: str, **environment: str) -> subprocess.Popen[bytes]:
    """Starts a process with at most MAX_DESCRIPTORS descriptors, and a pipe on its standard error.

    Nothing may run between fork and exec, as code of a `preexec_fn` or of libraries' fork handlers would: the
    tests' process may have gRPC's threads, which begin anew in the child and find no descriptors there.
    Without a `preexec_fn` `subprocess` uses vfork, which calls no handlers; uvloop forks.
    """
    return subprocess.Popen(
        [*WITH_FEW_DESCRIPTORS, *command],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, **environment},
    )


async def read_pipe(pipe: IO[bytes]) -> tuple[asyncio.StreamReader, asyncio.ReadTransport]:
    """Reads a pipe by the event loop; closing the transport closes the pipe."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    transport, _ = await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), pipe)
    return reader, transport


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
    process = start_with_few_descriptors(
        sys.executable, "-m", "roadlb", PYTHONPATH=str(ROOT), PROXY_CONFIG=str(config)
    )
    assert process.stderr
    stderr, stderr_transport = await read_pipe(process.stderr)
    program = BalancerProcess(process.pid, port)
    try:
        (await discovery.call()).send(HEAD, line(update(INITIAL_GENERATION)))
        while b"event=listening" not in (log_line := await stderr.readline()):
            assert log_line, "the process ended before it listened"
        port_holder.close()
        log = asyncio.ensure_future(stderr.read())
        yield program
        process.send_signal(signal.SIGCONT)
        process.terminate()
        program.log = (await log).decode().splitlines()
    finally:
        port_holder.close()
        process.send_signal(signal.SIGCONT)  # does nothing if it has ended
        process.terminate()
        await asyncio.to_thread(process.wait)
        stderr_transport.close()


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
