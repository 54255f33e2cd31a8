"""Discovery's own descriptor: a whole balancer whose table idle clients fill while discovery is down."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path

from scenario import SETTINGS, run
from watching import HEAD, Discovery, entry, line, update

from roadlb.net.watch_timing import RESERVE_S, TOLD_S

ROOT = Path(__file__).parents[2]
SOCKETS = 128  # the process's limit, and the kernel's
IDLE = 300  # clients, all at once: far more than that
LIST = update(5, entry("s"), entry("t", port=9002), reset=True)


def limited() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


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


def test_idle_clients_that_fill_the_table_while_discovery_is_down_do_not_keep_it_out(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        discovery, port = Discovery(), free_port()
        await discovery.start()
        config = tmp_path / "config.json"
        settings = {**SETTINGS, "limits": {"max_attempts": 5, "sockets": SOCKETS}}
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": str(discovery.address),
                    "seed": "5",
                    "known": LIST,
                    "settings": settings,
                    "limits": {"sockets": SOCKETS},
                }
            )
        )
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
        try:
            (await discovery.call()).send(HEAD, line(update(5)))
            while b"event=listening" not in await process.stderr.readline():
                pass
            log = asyncio.ensure_future(process.stderr.read())
            # Stopped, it finds all of them in its accept queue in one turn, and its watch reset as well.
            os.kill(process.pid, signal.SIGSTOP)
            discovery.server.close()
            for writer in discovery.writers:
                writer.transport.abort()
            clients = await idle_clients(port, IDLE)
            back = Discovery()
            await back.start(discovery.address.port)
            os.kill(process.pid, signal.SIGCONT)
            at = loop.time()
            call = await back.call()
            assert call.target.endswith("after=5")
            took_s = loop.time() - at
            assert took_s < TOLD_S - RESERVE_S
            call.send(HEAD, line(update(6, entry("s", "draining"))))
            for client in clients:
                client.close()
        finally:
            process.terminate()
            await process.wait()
        text = (await log).decode()
        assert "generation=6" in text, text[-2000:]
        assert text.count('event="watch broken"') == 1, "the first dial had its descriptor"
        back.close()

    run(asyncio.wait_for(main(), 60))
