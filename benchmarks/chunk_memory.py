"""Peak memory of a balancer while many clients send requests in small pieces and do not finish them.

    python benchmarks/chunk_memory.py [--clients 300 1000] [--chunk-bytes 1 2 6 64]
        [--head-fields 600 2000] [--python PATH]

The program that PATH has installed runs as a process of its own, with no server listening.  Each client
sends 60,000 bytes of a chunked body, less than is buffered before a body is streamed; with `--head-fields` it
sends a head of so many tiny fields instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
BODY_BYTES = 60_000
MEMORY_MB, SOCKETS = 192, 4_096  # of the configuration: the deployment's memory, and room for all clients
READY_S, IDLE_S, BUSY_MOST_S = 20.0, 0.5, 60.0
IDLE_TICKS = 1  # what the heartbeat of an idle process may use in IDLE_S
HEAD = (
    "POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: {account}\r\nX-Correlation-Id: {id}\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)


def configuration(port: int) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    raw |= {
        "listen": f"127.0.0.1:{port}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    }
    return raw


def memory_mb(pid: int, field: str) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.findall(field + r":\s+(\d+) kB", status)[0]) / 1024


def cpu_ticks(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def wait_until_idle(pid: int) -> None:
    """Wait until the process has used no CPU time for a while: it has read all that was sent."""
    async with asyncio.timeout(BUSY_MOST_S):
        while True:
            used = cpu_ticks(pid)
            await asyncio.sleep(IDLE_S)
            if cpu_ticks(pid) - used <= IDLE_TICKS:
                return


def unfinished_head(fields: int) -> bytes:
    return b"GET / HTTP/1.1\r\n" + b"".join(b"x%03x:y\r\n" % number for number in range(fields))


def unfinished_body(id: int, account: str, chunk_bytes: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"z" * chunk_bytes)
    return HEAD.format(id=id, account=account).encode() + chunk * (BODY_BYTES // chunk_bytes)


async def send(port: int, request: bytes) -> asyncio.StreamWriter:
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    return writer


async def measure(python: str, clients: int, chunk_bytes: int, head_fields: int = 0) -> tuple[float, float]:
    """Plays bodies in chunks or, if `head_fields` are given, heads.

    Returns the resident memory before the clients came, and its peak, in MB."""
    with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
        port = int(free_port_socket.getsockname()[1])
    with tempfile.TemporaryDirectory() as folder:
        config, raw = Path(folder) / "config.json", configuration(port)
        account = raw["settings"]["tenants"][0]["name"]
        config.write_text(json.dumps(raw))
        process = await asyncio.create_subprocess_exec(
            python,
            "-P",
            "-m",
            "roadlb",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(config), "TMPDIR": folder},
        )
        assert process.stderr
        try:
            async with asyncio.timeout(READY_S):
                while b"event=listening" not in await process.stderr.readline():
                    pass
            log = asyncio.ensure_future(process.stderr.read())
            before_mb = memory_mb(process.pid, "VmRSS")
            writers = []
            for id in range(clients):
                body = unfinished_body(id, account, chunk_bytes)
                writers.append(await send(port, unfinished_head(head_fields) if head_fields else body))
            await wait_until_idle(process.pid)
            peak_mb = memory_mb(process.pid, "VmHWM")
        finally:
            process.kill()
            await process.wait()
        for writer in writers:
            writer.transport.abort()
        await log
    return before_mb, peak_mb


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--clients", type=int, nargs="+", default=[300, 1_000])
    parser.add_argument("--chunk-bytes", type=int, nargs="+", default=[1, 2, 6, 64])
    parser.add_argument("--head-fields", type=int, nargs="+", default=[])
    parser.add_argument("--python", default=sys.executable)
    options = parser.parse_args()
    plays = [(1, fields) for fields in options.head_fields] or [(size, 0) for size in options.chunk_bytes]
    print(f"clients  {'fields a head' if options.head_fields else 'bytes a chunk'}  before, MB  peak, MB")
    for clients in options.clients:
        for chunk_bytes, fields in plays:
            before_mb, peak_mb = asyncio.run(measure(options.python, clients, chunk_bytes, fields))
            print(f"{clients:7}  {fields or chunk_bytes:13}  {before_mb:10.1f}  {peak_mb:8.1f}", flush=True)


if __name__ == "__main__":
    main()
