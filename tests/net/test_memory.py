"""Memory that bodies cost: long ones that are read slowly, and short ones that come in small chunks."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from samples import RAW, server_entry
from scenario import run

ROOT = Path(__file__).parents[2]
BODY_BYTES, TRANSFERS_EACH_WAY = 32 << 20, 8  # 16 bodies at once: 512 MB
CHUNKED_ORDERS, CHUNKED_BYTES = 40, 60_000  # 2.4 MB; each is shorter than what is streamed
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


def memory_mb(pid: int, status_field: str) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.findall(status_field + r":\s+(\d+) kB", status)[0]) / 1024


@asynccontextmanager
async def balancer(folder: Path, known: list[dict[str, object]]) -> AsyncIterator[tuple[int, int]]:
    """Runs a balancer that knows these servers; yields its process id and port."""
    with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
        port = int(free_port_socket.getsockname()[1])
    config = folder / "config.json"
    config.write_text(
        json.dumps(
            {
                **RAW,
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:1",
                "known": {"generation": 1, "reset": True, "instances": known},
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
    try:
        while b"event=listening" not in await process.stderr.readline():
            pass
        log = asyncio.ensure_future(process.stderr.read())
        yield process.pid, port
    finally:
        process.kill()
        await process.wait()
    await log


def test_streaming_512_mb_in_both_directions_grows_memory_by_less_than_12_mb(tmp_path: Path) -> None:
    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        known = [server_entry(server.sockets[0].getsockname()[1])]
        async with balancer(tmp_path, known) as (pid, port):
            before_mb = memory_mb(pid, "VmRSS")
            await asyncio.gather(*(transfer(port, id) for id in range(2 * TRANSFERS_EACH_WAY)))
            peak_mb = memory_mb(pid, "VmHWM")
        server.close()
        assert peak_mb - before_mb < MAX_GROWTH_MB, f"{before_mb:.0f} MB, then {peak_mb:.0f}"
        print(f"peak {peak_mb:.1f} MB, {before_mb:.1f} before")

    run(asyncio.wait_for(main(), 60))


def cpu_ticks(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def wait_until_idle(pid: int) -> None:
    """Waits until the process has read all that was sent and uses no more CPU time than its heartbeat."""
    while True:
        used = cpu_ticks(pid)
        await asyncio.sleep(0.3)
        if cpu_ticks(pid) - used <= 1:
            return


class ChunkedOrder:
    """An order that is sent in chunks of one size, and ended later."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def begin(cls, port: int, id: int, chunk_bytes: int) -> ChunkedOrder:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /order/k HTTP/1.1\r\nHost: x\r\nX-Account: acme\r\nX-Correlation-Id: %d\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % id
        )
        writer.write(b"%x\r\n%b\r\n" % (chunk_bytes, b"z" * chunk_bytes) * (CHUNKED_BYTES // chunk_bytes))
        return cls(reader, writer)

    async def end(self) -> None:
        """Sends the last chunk and waits for the answer, a refusal, or an error if it came late."""
        self._writer.write(b"0\r\n\r\n")
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.split()[1] in (b"503", b"408"), head
        self._writer.close()


@pytest.mark.parametrize("chunk_bytes", [1, 2, 6])
def test_a_body_in_small_chunks_costs_no_more_memory_than_its_bytes(tmp_path: Path, chunk_bytes: int) -> None:
    # Guards against an object for each chunk, which cost 20 times the bytes of a body.
    async def main() -> None:
        async with balancer(tmp_path, [server_entry(1)]) as (pid, port):
            before_mb = memory_mb(pid, "VmRSS")
            orders = [await ChunkedOrder.begin(port, id, chunk_bytes) for id in range(CHUNKED_ORDERS)]
            await wait_until_idle(pid)
            peak_mb = memory_mb(pid, "VmHWM")
            await asyncio.gather(*(order.end() for order in orders))
        assert peak_mb - before_mb < MAX_GROWTH_MB, f"{before_mb:.0f} MB, then {peak_mb:.0f}"

    run(asyncio.wait_for(main(), 60))
