"""Bodies of 32 MB in both directions that are read slowly must not be buffered in memory."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import sys
from pathlib import Path

from samples import RAW
from scenario import run

ROOT = Path(__file__).parents[2]
BODY_BYTES, TRANSFERS_EACH_WAY = 32 << 20, 8  # 16 bodies at once: 512 MB
MAX_GROWTH_MB = 12  # growth of resident memory over that of the idle process; 4.8 MB is usual


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    block = bytes(1 << 18)
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"POST"):
                remaining = int(re.findall(rb"Content-Length: (\d+)", head)[0])
                while remaining:
                    remaining -= len(await reader.readexactly(min(remaining, 1 << 16)))
                    await asyncio.sleep(0.0005)  # slower than the client writes
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            for _ in range(BODY_BYTES >> 18):
                writer.write(block)
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def transfer(port: int, id: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 16)
    is_order = id % 2 == 1
    writer.write(
        b"%b HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: %d\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (b"POST /order/k" if is_order else b"GET /grid-read/k", id, BODY_BYTES if is_order else 0)
    )
    if is_order:
        for _ in range(BODY_BYTES >> 18):
            writer.write(bytes(1 << 18))
            await writer.drain()
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    remaining = 2 if is_order else BODY_BYTES
    while remaining:
        remaining -= len(await reader.readexactly(min(remaining, 1 << 16)))
        await asyncio.sleep(0.0005)  # slower than the server writes
    writer.close()


def memory_mb(process: asyncio.subprocess.Process, status_field: str) -> float:
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.findall(status_field + r":\s+(\d+) kB", status)[0]) / 1024


def test_streaming_512_mb_in_both_directions_grows_memory_by_less_than_12_mb(tmp_path: Path) -> None:
    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        server_entry = {
            "instanceId": "s1",
            "hostPort": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "zone": "hall-a",
            "machineType": "new-2c",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
            port = int(free_port_socket.getsockname()[1])
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                {
                    **RAW,
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:1",
                    "known": {"generation": 1, "reset": True, "instances": [server_entry]},
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "roadlb",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT), "PROXY_CONFIG": str(config)},
        )
        assert process.stderr
        while b"event=listening" not in await process.stderr.readline():
            pass
        before_mb = memory_mb(process, "VmRSS")
        await asyncio.gather(*(transfer(port, id) for id in range(2 * TRANSFERS_EACH_WAY)))
        peak_mb = memory_mb(process, "VmHWM")
        process.kill()
        await process.wait()
        server.close()
        assert peak_mb - before_mb < MAX_GROWTH_MB, f"{before_mb:.0f} MB, then {peak_mb:.0f}"
        print(f"peak {peak_mb:.1f} MB, {before_mb:.1f} before")

    run(asyncio.wait_for(main(), 60))
