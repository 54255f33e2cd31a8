"""What the cases 6 to 10 share: balancers as the deploy file starts them, and small stand-ins.

The stand-ins follow the protocol page: a discovery agent, grid nodes, clients.  All addresses are loopback
ones, all ports are free ones of the kernel's choice.  Nothing but the standard library is needed.
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
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # 1 is the interpreter's own, for a script that fails; see run.sh
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be played; the text says why."""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        port: int = listening.getsockname()[1]
        return port


class Record:
    """`record.txt`: what was sent, answered and run, with the seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a")  # begun by run.sh
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


# Grid nodes


@dataclass(slots=True)
class Run:
    """One request as a grid node got it: when its first and its last byte had come."""

    first_s: float
    last_s: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Answering = Callable[["Node", Run, asyncio.StreamWriter], Awaitable[bool]]


async def at_once(node: Node, run: Run, writer: asyncio.StreamWriter) -> bool:
    """Answer with the name of the node and the id of the request; True: the connection lives on."""
    body = f"{node.name} {run.headers.get('x-correlation-id', '')}".encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), node.report(), body))
    await writer.drain()
    return True


@dataclass
class Node:
    """A grid node."""

    name: str
    record: Record
    answering: Answering = at_once
    runs: list[Run] = field(default_factory=list)
    port: int = 0
    zone: str = "hall-a"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def report(self) -> bytes:
        return b"X-Backend-Load: eps=0,queue=0\r\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, EOFError):
            while (run := await self._read(reader)) is not None:
                if run.target == "/healthz" or run.target == "/load":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%b\r\n" % self.report())
                    continue
                self.runs.append(run)
                self.record.write(
                    f"node {self.name}: {run.method} {run.target} id={run.headers.get('x-correlation-id')} "
                    f"left={run.headers.get('x-time-left')} first byte at {run.first_s:.3f}"
                )
                if not await self.answering(self, run, writer):
                    break
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Run | None:
        first = await reader.read(1)
        if not first:
            return None
        first_s = self.record.now()
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif length := int(headers.get("content-length", "0")):
            body = await reader.readexactly(length)
        return Run(first_s, self.record.now(), method, target, headers, body)


# Discovery


@dataclass
class Agent:
    """Discovery's agent: tells what it has been sent, at once, and each change to the watches that are open.

    `refuses` answers every call with 503 while it is set, as a discovery that has no room for another call.
    `slow_s`: it begins to answer a call so long after that came, as one that has many calls in its queue.
    """

    name: str
    record: Record
    generation: int = 0
    entries: dict[str, dict[str, object]] = field(default_factory=dict)
    port: int = 0
    refuses: bool = False
    slow_s: float = 0.0
    calls: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, object]:
        listed = [e for e in self.entries.values() if e["lifecycle"] != "removed"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def tell(self, generation: int, *changed: dict[str, object]) -> None:
        """Take a change, and write it to all open watches."""
        self.generation = generation
        for entry in changed:
            self.entries[str(entry["instanceId"])] = entry
        what = ", ".join(f"{e['instanceId']} {e['lifecycle']}" for e in changed)
        self.record.write(
            f"agent {self.name}: generation {generation} tells: {what}; watches {len(self._watches)}"
        )
        line = {"generation": generation, "reset": False, "instances": list(changed)}
        for writer in list(self._watches):
            self._line(writer, json.dumps(line).encode())

    async def leave(self, after_s: float) -> None:
        """Accept no new connection; close the open ones after so long."""
        self._server.close()
        await asyncio.sleep(after_s)
        for writer in list(self._watches):
            writer.close()
        self.record.write(f"agent {self.name}: gone")

    @staticmethod
    def _line(writer: asyncio.StreamWriter, line: bytes) -> None:
        line += b"\n"
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, EOFError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            target = head.split(" ")[1]
            self.calls.append((self.record.now(), "refused" if self.refuses else "answered"))
            self.record.write(f"agent {self.name}: GET {target}: {self.calls[-1][1]}")
            if self.slow_s:
                await asyncio.sleep(self.slow_s)
                if reader.at_eof():
                    self.record.write(f"agent {self.name}: the call was given up before it was answered")
            if self.refuses:
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                await writer.drain()
            elif "watch=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._line(writer, json.dumps(self.whole()).encode())
                self._watches.add(writer)
                try:
                    while True:
                        with suppress(TimeoutError):
                            async with asyncio.timeout(2.0):
                                if not await reader.read(1000):
                                    break
                        self._line(writer, b"")
                finally:
                    self._watches.discard(writer)
        writer.close()


def entry(node: Node, lifecycle: str = "up", started_ms: int = 0) -> dict[str, object]:
    """A line of discovery's list."""
    return {
        "instanceId": node.name,
        "hostPort": f"127.0.0.1:{node.port}",
        "zone": node.zone,
        "machineType": "new-2c",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


# Balancers


def deploy_command(name: str) -> str:
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]
    return command


def settings(instances: int = 3, **changed: object) -> dict[str, object]:
    """The settings of a small deployment, with the figures of zilina-grid."""
    return {
        "me": 0,
        "instances": instances,
        "az": 0,
        "dcs": ["hall-a", "hall-b", "hall-c"],
        "machine_types": ["new-2c", "old-2c"],
        "discovery": "pushed",
        "classes": [
            {
                "name": "grid-read",
                "effect": "idempotent",
                "promise_us": 500000,
                "deadline_us": 2500000,
                "value": 2.0,
                "late_worth": 0.5,
            },
            {
                "name": "order",
                "effect": "at_most_once",
                "promise_us": 600000,
                "deadline_us": 2000000,
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
        "over_share_worth": 0.2,
        "limits": {
            "cancelling": True,
            "second_copies": True,
            "probes": True,
            "retry_after": True,
            "max_attempts": 5,
            "max_retry_after_us": 1200000,
            "max_open": 20000,
            "conn_idle_us": 10000000,
            "dial_timeout_us": 250000,
        },
        "invariants": {
            "drain_grace_us": 1000000,
            "cold_from": 0.12,
            "cold_us": 23000000,
            "fall_multiple": 3.0,
            "fall_us": 1000000,
        },
        **changed,
    }


AS_DESCRIPTOR_4 = "import os, sys; os.dup2(int(sys.argv[1]), 4); os.execv(sys.argv[2], sys.argv[2:])"


class Balancer:
    """One process of `run`, and what it is told."""

    def __init__(
        self,
        rig: Rig,
        name: str,
        discovery: int,
        known: dict[str, object] | None = None,
        told: dict[str, object] | None = None,
        listen: socket.socket | None = None,
        shared: Path | None = None,
    ) -> None:
        """`listen`: the clients' listening socket, held by the platform, as on days with upgrades; `shared`:
        the $TMPDIR that its processes have in common then."""
        self.rig, self.name, self._listen = rig, name, listen
        self.port = listen.getsockname()[1] if listen else free_port()
        self.admin_port = free_port()
        self.path = rig.folder / f"{name}-{self.admin_port}.json"
        self.config: dict[str, object] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "admin_addr": f"127.0.0.1:{self.admin_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"generation": 0, "reset": True, "instances": []},
            "settings": told or settings(),
        }
        self.tmp = shared or rig.folder / f"tmp-{name}"
        self.tmp.mkdir(exist_ok=True)

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    async def start(self) -> None:
        self.write_config()
        told = {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": str(self.config["listen"]),
            "PROXY_DISCOVERY": str(self.config["discovery"]),
            "PROXY_ADMIN_ADDR": str(self.config["admin_addr"]),
            "PROXY_CONFIG": str(self.path),
            "TMPDIR": str(self.tmp),
        }
        command = ["/bin/sh", "-c", deploy_command("run")]
        fds: tuple[int, ...] = ()
        if self._listen is not None:
            told["PROXY_SOCKET_FD"] = "4"
            fds = (self._listen.fileno(),)
            command = [sys.executable, "-c", AS_DESCRIPTOR_4, str(fds[0]), *command]
        with (self.rig.folder / f"{self.name}.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), **told},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=fds,
            )
        self.rig.processes.append(self.process)

    async def ready(self, within_s: float = 30.0) -> None:
        """Until it says yes to the operators and, where it listens itself, to the front."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CouldNotRun(f"balancer {self.name} ended with {self.process.returncode}")
            with suppress(OSError, EOFError, ValueError, TimeoutError):
                if (await call(self.admin_port, "GET", "/control/ready"))[0] == 200 and (
                    self._listen is not None or (await call(self.port, "GET", "/healthz"))[0] == 200
                ):
                    self.rig.record.write(f"balancer {self.name}: ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"balancer {self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        self.rig.record.write(f"balancer {self.name}: {number.name}")
        self.process.send_signal(number)


async def call(
    port: int, method: str, target: str, headers: str = "", timeout_s: float = 2.0
) -> tuple[int, bytes]:
    """One call on a connection of its own; the answer's status and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode())
            status, answer_headers = await read_head(reader)
            return status, await reader.readexactly(int(answer_headers.get("content-length", "0")))
        finally:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return int(head[0].split(" ")[1]), headers


# Clients


class Client:
    """A client with one connection that it keeps; sends one request at a time."""

    def __init__(self, rig: Rig, port: int, name: str) -> None:
        self.rig, self.port, self.name = rig, port, name
        self._writer: asyncio.StreamWriter | None = None
        self._numbers = 0
        self.patience_s = 0.5  # beyond its time, for the last byte

    async def ask(
        self, method: str, target: str, left_s: float = 2.0, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send one request and read its answer: status and body."""
        status, answer, _ = await self.ask_id(method, target, left_s, body)
        return status, answer

    async def ask_id(
        self, method: str, target: str, left_s: float = 2.0, body: bytes = b""
    ) -> tuple[int, bytes, str]:
        """Send one request and read its answer; once more on a new connection if it crossed the end.

        Status, body and the request's id.  Status 0 stands for no whole answer within the time.
        """
        self._numbers += 1
        id = f"{self.name}-{self._numbers:05d}-{os.urandom(3).hex()}"
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n"
            f"X-Account: energia-sever\r\nX-Time-Left: {left_s:.3f}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        for again in (True, False):
            fresh = self._writer is None
            try:
                async with asyncio.timeout(left_s + self.patience_s):
                    if self._writer is None:
                        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
                    self._writer.write(data)
                    status, headers = await read_head(self._reader)
                    answer = await self._body(headers)
                    if headers.get("connection", "").lower() == "close":
                        self.close()
                    self.rig.record.write(f"client {self.name}: {method} {target} id={id}: {status}")
                    return status, answer, id
            except (OSError, EOFError) as e:
                self.close()
                if fresh or not again or isinstance(e, asyncio.IncompleteReadError) and e.partial:
                    break
            except TimeoutError:
                self.close()
                break
        self.rig.record.write(f"client {self.name}: {method} {target} id={id}: no answer")
        return 0, b"", id

    async def _body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await self._reader.readexactly(int(headers.get("content-length", "0")))
        body = bytearray()
        while size := int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readuntil(b"\r\n")
        return bytes(body)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Rig:
    """One play: a temporary folder, the record, and the processes that have to end with it."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        async def run() -> None:
            await work

        task = asyncio.create_task(run())
        self._tasks.append(task)
        return task

    async def nodes(self, names: list[str]) -> list[Node]:
        made = [Node(name, self.record) for name in names]
        for node in made:
            await node.start()
        return made

    async def load(self, port: int, clients: int, until: Callable[[], bool], pause_s: float = 0.03) -> None:
        """Reads and orders of so many clients at once, until told so."""

        async def one(number: int) -> None:
            client = Client(self, port, f"{port}-{number}")
            turn = number
            while not until():
                turn += 1
                if turn % 4 == 0:
                    await client.ask("POST", f"/order/k{turn * 7 % 97}", 2.0, b"o" * 20)
                else:
                    await client.ask("GET", f"/grid-read/k{turn * 7 % 97}", 2.0)
                await asyncio.sleep(pause_s)
            client.close()

        await asyncio.gather(*(one(n) for n in range(clients)))

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


def play(case: Callable[[Rig], Awaitable[int]], folder: Path, most_s: float = 100.0) -> int:
    """Play a case; its exit code, with the record in `folder`."""
    record = Record(folder / "record.txt")
    if not (ROOT / ".venv" / "bin" / "python").exists():
        record.say("could not run: no build; sh deploy/build.sh makes it")
        return COULD_NOT_RUN
    temporary = Path(tempfile.mkdtemp(prefix="roadlb-review-"))

    async def whole() -> int:
        rig, task = Rig(temporary, record), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(most_s):
                return await case(rig)
        finally:
            await rig.end()

    # A connection that a peer left open is not closed by its stand-in before the loop ends.
    sys.unraisablehook = lambda _: None
    try:
        code = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as e:
        record.say(f"could not run: {type(e).__name__}: {e}")
        code = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {temporary}", file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN", COULD_NOT_RUN: "no verdict"}[code])
    return code
