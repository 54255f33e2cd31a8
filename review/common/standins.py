"""What the cases share: the record, the balancer as a process, stand-ins for discovery and nodes, and calls.

All of it is the standard library on loopback addresses.  A case is a coroutine that returns True if the rule
held and False if it was broken; `main` maps that to the exit status that the script passes on.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BROKEN = 10  # run.sh makes 1 of it
LIMIT_S = 110.0  # a case that has not ended by then could not run
SERVERS: list[asyncio.Server] = []  # held, so that they go on listening
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; the text says why."""


class Record:
    """A case's `record.txt`, begun by its run.sh.

    One line for each thing sent, answered or run, with the seconds since the start.
    """

    def __init__(self, path: Path) -> None:
        self._file, self._began = path.open("a"), time.monotonic()

    def say(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings(deadline_us: int = 2_500_000, **limits: object) -> dict[str, object]:
    """Settings of a small deployment, as the site zilina-grid has them."""
    return {
        "me": 0,
        "instances": 1,
        "az": 0,
        "dcs": ["hall-a", "hall-b", "hall-c"],
        "machine_types": ["new-2c", "old-2c"],
        "discovery": "pushed",
        "classes": [
            {
                "name": "grid-read",
                "effect": "idempotent",
                "promise_us": 500_000,
                "deadline_us": deadline_us,
                "value": 2.0,
                "late_worth": 0.5,
            },
            {
                "name": "order",
                "effect": "at_most_once",
                "promise_us": 600_000,
                "deadline_us": 2_000_000,
                "value": 10.0,
                "late_worth": 0.5,
            },
        ],
        "tenants": [
            {"name": "energia-sever", "share": 0.8, "quota_per_s": 311.0},
            {"name": "cesty-vychod", "share": 0.2, "quota_per_s": 78.0},
        ],
        "domain": {"warm_keys": True},
        "report": {"source": "inline", "fields": ["fail_rate", "q"]},
        "weight_source": "rough",
        "limits": {
            "cancelling": True,
            "second_copies": True,
            "probes": True,
            "max_attempts": 5,
            "max_retry_after_us": 1_200_000,
            "max_open": 20_000,
            "conn_idle_us": 10_000_000,
            "dial_timeout_us": 250_000,
            **limits,
        },
        "invariants": {
            "cold_from": 0.12,
            "cold_us": 23_000_000,
            "fall_multiple": 3.0,
            "fall_us": 1_000_000,
            "drain_grace_us": 1_000_000,
        },
    }


def instance(name: str, port: int, lifecycle: str = "up", zone: str = "hall-a") -> dict[str, object]:
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": zone,
        "machineType": "new-2c",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Balancer:
    """One real balancer, started by the deploy file's `run` from the root, as a process of its own."""

    def __init__(self, record: Record, discovery_port: int, known: list[dict[str, object]], **more: object):
        self.record = record
        self.port, self.admin_port = free_port(), free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{discovery_port}",
                    "admin_addr": f"{HOST}:{self.admin_port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": {"generation": 1, "reset": True, "instances": known},
                    "settings": settings(),
                    **more,
                }
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Returns once `/healthz` has answered 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / "log.txt").open("wb")
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"the balancer ended with {self.process.returncode}")
            if await self.healthy() is True:
                self.record.say("balancer: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the balancer was not ready within 30 s")

    async def healthy(self) -> bool | None:
        """What the front hears at GET /healthz on a new connection: None if nobody answers."""
        try:
            status, _ = await call(self.port, "GET", "/healthz", {}, limit_s=1.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        return status == 200

    async def operate(self, path: str) -> int:
        """An operator's PUT at the second address."""
        status, _ = await call(self.admin_port, "PUT", path, {}, limit_s=2.0)
        return status

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record.say(f"platform: {number.name} to the balancer")
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line of a message and its headers, with lower-case names."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes = b"", limit_s: float = 5.0
) -> tuple[int, bytes]:
    """One request on a new connection."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(request(method, path, {**headers, "Connection": "close"}, body))
            first, answered = await read_head(reader)
            return int(first.split()[1]), await read_body(reader, answered)
        finally:
            writer.transport.abort()


class Node(asyncio.Protocol):
    """A connection to a grid node: one request at a time, begun once its last byte has come.

    `work` returns the seconds that a request takes and the whole answer; what a case adds overrides
    `answered`, which is called when an answer has been written.
    """

    def __init__(self, name: str, record: Record, work: Callable[[str, dict[str, str]], tuple[float, bytes]]):
        self.name, self.record, self.work = name, record, work
        self.input, self.is_busy = b"", False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.input += data
        self._begin()

    def _begin(self) -> None:
        head, end, rest = self.input.partition(b"\r\n\r\n")
        if self.is_busy or not end:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        size = int(headers.get("content-length", "0"))
        if headers.get("transfer-encoding", "").lower() == "chunked":
            if not rest.endswith(b"0\r\n\r\n"):  # one request at a time: its last chunk ends what has come
                return
            size = len(rest)
        if len(rest) < size:
            return
        self.input, self.is_busy = rest[size:], True
        method, path, _ = first.split()
        request_id = headers.get("x-correlation-id", "")
        self.record.say(f"{self.name}: runs {method} {path} id={request_id}")
        seconds, answer = self.work(path, headers)
        asyncio.get_running_loop().call_later(seconds, self._answer, request_id, answer)

    def _answer(self, request_id: str, answer: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(answer)
        self.record.say(f"{self.name}: answered id={request_id}, {len(answer)} bytes")
        self.is_busy = False
        self.answered(request_id, answer)
        self._begin()

    def answered(self, request_id: str, answer: bytes) -> None:
        """The answer has been written."""


async def listen(node: Callable[[], asyncio.Protocol]) -> int:
    """Listen with this protocol; returns the port."""
    server = await asyncio.get_running_loop().create_server(node, HOST, 0)
    SERVERS.append(server)
    return int(server.sockets[0].getsockname()[1])


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Backend-Load: eps=0,queue=0\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


class Discovery:
    """The agent of discovery: the whole list at once, a line for each change, a blank line every 2 s."""

    def __init__(self, instances: list[dict[str, object]]) -> None:
        self.generation, self.instances = 2, instances
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def _line(self) -> bytes:
        whole = {"generation": self.generation, "reset": True, "instances": self.instances}
        return json.dumps(whole).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self._line()
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(2.0)
                line = b"\n"
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the balancer has gone, or the case is over
        finally:
            writer.transport.abort()


def main(case: Callable[[Record], Awaitable[bool]], path: Path) -> None:
    """Run a case and exit: 0 if the rule held, BROKEN if not, 2 if the case could not run.

    The interpreter itself exits with 1 where a script cannot be read, hence another number.
    """
    record = Record(path)
    record.say(f"trouble: {'on' if TROUBLE else 'off'}")

    async def limited() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    try:
        held = asyncio.run(limited())
    except Exception as e:  # whatever it is: it says nothing of the rule
        record.say(f"result: could not run: {e!r}")
        traceback.print_exc()
        sys.exit(2)
    record.say(f"result: the rule {'held' if held else 'was broken'}")
    print(f"the rule {'held' if held else 'was broken'}")
    sys.exit(0 if held else BROKEN)
