"""World (b): real time and loopback sockets; each balancer is `python -m roadlb` in a process of its own.

Processes rather than Apps in the lab's own loop, since only they can be killed, stopped and restarted as the
platform does, use a core of their own, and run on uvloop as in production.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, ParamSpec, TypeVar

from ...clock import monotonic_us, unix_us
from ..parties.clients import Clients
from ..parties.discovery import Address
from ..wire import Lagged, WireLog
from .drawn import Drawn
from .ports import reserved
from .relay import Relay, Way
from .world import Role, parted

T = TypeVar("T")
P = ParamSpec("P")

WATCH_S, LATE_S = 0.005, 0.020  # how often the loop's own delay is looked at, and what is held up
LAST_S = 5.0  # that a process may take to end when the rehearsal is over
CALL_S = 5.0  # for an answer at a balancer's door
FIRST_NET = 64  # machines have 127.64.0.1 and up, in 64 nets by process id


def environment(config: Path) -> dict[str, str]:
    """Of a balancer that finds its configuration there, and nothing else that was set for another."""
    return {
        **{name: value for name, value in os.environ.items() if not name.startswith("PROXY_")},
        "PROXY_CONFIG": str(config),
    }


def merged(base: Mapping[str, Any], further: Mapping[str, Any]) -> dict[str, Any]:
    """Further keys take the place of those that are there; mappings are merged in turn."""
    found = dict(base)
    for key, value in further.items():
        both = isinstance(value, Mapping) and isinstance(found.get(key), Mapping)
        found[key] = merged(found[key], value) if both else value
    return found


def write(file: Path, configuration: Mapping[str, Any]) -> None:
    """In one step: a balancer may be reading it."""
    new = file.with_name(file.name + ".new")
    new.write_text(json.dumps(configuration, indent=1) + "\n", encoding="utf-8")
    new.replace(file)


@dataclass(slots=True, frozen=True)
class More:
    """What processes have beside an incident's: by a balancer's name, keys merged into its configuration;
    variables of the environment of all."""

    configuration: Callable[[str], Mapping[str, Any]]
    variables: Mapping[str, str]


class RealMachine:
    """An address of the loopback net; its parties run in the lab's loop, as all do."""

    def __init__(self, ip: str, hall: str, look_again: Callable[[], None]) -> None:
        self.ip, self.hall, self._look_again = ip, hall, look_again
        self.relays: dict[str, Relay] = {}  # by balancer, where it is a node's
        self._vanished = False

    def call(self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        return function(*args, **kwargs)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> Awaitable[T]:
        return asyncio.get_running_loop().create_task(coroutine)

    def end(self) -> None:
        if not self._vanished:
            for relay in self.relays.values():
                relay.close()

    def vanish(self) -> None:
        self._be_vanished(True)

    def restart(self) -> None:
        """What was open is reset; relays open again when there is something to listen behind them."""
        for relay in self.relays.values():
            relay.close()
        self._be_vanished(False)

    def _be_vanished(self, vanished: bool) -> None:
        self._vanished = vanished
        for relay in self.relays.values():
            relay.vanished = vanished
        self._look_again()


class Door:
    """A balancer's second address, kept for it, and the calls of its operators there."""

    def __init__(self, name: str, ip: str, faults: list[str]) -> None:
        self._name, self._faults = name, faults
        self._reserved = reserved(ip)
        self._at: Address = self._reserved.getsockname()
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self._at[0]}:{self._at[1]}"

    def tell(self, call: str) -> None:
        task = asyncio.get_running_loop().create_task(self._put(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _put(self, call: str) -> None:
        status, text = await self.call("PUT", f"/control/{call}")
        if status // 100 != 2:
            self._faults.append(f"{self._name}: {call}: {status} {text[:60]!r}")

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """(status, text) of what the balancer answers; status 0: nobody does within CALL_S, and why."""
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(*self._at)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self._name}\r\n\r\n".encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError) as e:
            return 0, str(e)
        head, _, body = answer.partition(b"\r\n\r\n")
        words = head.split()
        return (int(words[1]) if len(words) > 1 else 0), body.decode()

    def close(self) -> None:
        self._reserved.close()


class RealProcess:
    def __init__(
        self,
        name: str,
        ip: str,
        folder: Path,
        counters: dict[str, dict[str, int]],
        faults: list[str],
        more: More,
    ) -> None:
        self.name, self._folder, self._counters, self._faults = name, folder, counters, faults
        self._more = more
        self.takes_clients = False  # it has been started, and not told to end
        self.ends: Callable[[], None] = lambda: None  # called when it no longer does
        self._reserved = reserved(ip)
        self.address: Address = self._reserved.getsockname()
        self.door = Door(name, ip, faults)
        self._config, self._starts = folder / f"{name}.json", 0
        self._read_logs: set[Path] = set()
        self._process: asyncio.subprocess.Process | None = None
        self._starting: asyncio.Task[None] | None = None

    def start(self, configuration: Mapping[str, Any]) -> None:
        self.configure(configuration)
        self._starts += 1
        self.takes_clients = True
        self._starting = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        with self._log().open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadlb",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**environment(self._config), **self._more.variables},
            )

    def _log(self) -> Path:
        return self._folder / f"{self.name}-{self._starts}.log"

    def configure(self, configuration: Mapping[str, Any]) -> None:
        write(
            self._config,
            merged({**configuration, "admin_addr": self.door.address}, self._more.configuration(self.name)),
        )

    def tell(self, call: str) -> None:
        self.door.tell(call)

    def _no_more(self) -> None:
        self.takes_clients = False
        self.ends()

    def signal(self, number: int) -> None:
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._no_more()
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    async def ended(self) -> None:
        assert self._starting is not None
        await self._starting
        assert self._process is not None
        process, start = self._process, self._starts
        code = await process.wait()
        if start == self._starts:
            self._no_more()
        self._read(self._log())
        if code not in (0, -signal.SIGKILL):
            self._faults.append(f"{self.name}: ended with {code}")

    def _read(self, log: Path) -> None:
        """What the program has said: its errors, and its counters where it ended in order; once."""
        if log in self._read_logs:
            return
        self._read_logs.add(log)
        for line in log.read_text(errors="replace").splitlines():
            if " level=error " in line or not line.startswith("at="):
                self._faults.append(f"{self.name}: {line}")
            elif " event=counters " in line:
                total = self._counters.setdefault(self.name, {})
                for word in line.split(" event=counters ")[1].split():
                    key, _, value = word.partition("=")
                    if value.isdigit():
                        total[key] = total.get(key, 0) + int(value)

    async def close(self) -> None:
        """The rehearsal is over."""
        if self._process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(LAST_S):
                    await self._process.wait()
            except TimeoutError:
                self.kill()
                await self._process.wait()
            self._read(self._log())
        self._reserved.close()
        self.door.close()


class RealWorld:
    """`folder` takes configurations and logs of the processes."""

    def __init__(
        self,
        drawn: Drawn,
        log: WireLog,
        folder: Path,
        random: Callable[[str], Random],
        more: More | None = None,
    ) -> None:
        self._more = more or More(lambda name: {}, {})
        self._drawn, self._log, self._folder = drawn, log, folder
        self.random, self.clock, self.wall = random, monotonic_us, unix_us
        self.faults: list[str] = []
        self.counters: dict[str, dict[str, int]] = {}
        self.clients: Sequence[Clients] = ()
        self._machines = 0
        self._halls: dict[str, str] = {}  # of balancers
        self._processes: list[RealProcess] = []
        self._relays: list[Relay] = []
        self._client_relays: dict[tuple[str, str], Relay] = {}  # by the clients' hall and the balancer
        self._cut: list[str] = []
        self._delays = random("real delays")
        self._watch = asyncio.get_running_loop().create_task(self._watch_loop())
        self._cpu_at, self._cpu = time.monotonic(), time.process_time()

    async def _watch_loop(self) -> None:
        """Tells of each time that this loop was held up: what happened then was seen late."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + WATCH_S
            since = self.clock()
            await asyncio.sleep(WATCH_S)
            if loop.time() - due > LATE_S:
                self._log.write(Lagged(self.clock(), since))

    # Machines

    def ip(self) -> str:
        """Of a machine that nobody else has."""
        self._machines += 1
        return f"127.{FIRST_NET + os.getpid() % 64}.{self._machines >> 8}.{self._machines & 255}"

    def machine(self, name: str, hall: str, role: Role) -> RealMachine:
        return RealMachine(self.ip(), hall, self._silence)

    def process(self, name: str, hall: str) -> RealProcess:
        process = RealProcess(name, self.ip(), self._folder, self.counters, self.faults, self._more)
        process.ends = lambda: self._refuse_clients(name)
        self._halls[name] = hall
        self._processes.append(process)
        return process

    def way(self, balancer: str, balancer_hall: str, machine: RealMachine, address: Address) -> Address:
        """Through a relay, which stays where it is for as long as the machine's address does."""
        relay = machine.relays.get(balancer)
        if relay is None or relay.target != address:
            way = Way(balancer_hall, machine.hall, balancer)
            relay = machine.relays[balancer] = Relay(way, machine.ip, address, self._delay(way))
            relay.silent = parted(way.balancer_hall, way.node_hall, self._cut)
            self._relays.append(relay)
        relay.open()
        return relay.address

    def client_way(self, client_hall: str, balancer: str, address: Address) -> Address:
        """Through a relay where they stand in different halls, which a cut makes silent."""
        hall = self._halls[balancer]
        if hall == client_hall:
            return address
        relay = self._client_relays.get((client_hall, balancer))
        if relay is None:
            way = Way(hall, client_hall, balancer)
            relay = self._client_relays[client_hall, balancer] = Relay(
                way, self.ip(), address, self._delay(way)
            )
            relay.open()
            relay.silence(parted(hall, client_hall, self._cut))
        takes = next(process.takes_clients for process in self._processes if process.name == balancer)
        if takes and not relay.is_open:
            relay.open()
        elif not takes:
            relay.refuse()
        return relay.address

    def _refuse_clients(self, balancer: str) -> None:
        """Nobody listens there any more."""
        for (_, name), relay in self._client_relays.items():
            if name == balancer:
                relay.refuse()

    def _delay(self, way: Way) -> Callable[[], float]:
        delays, jitter, rng = self._drawn.delays_us, self._drawn.jitter, self._delays
        pair = (way.balancer_hall, way.node_hall)
        us = delays.get(pair, delays.get(pair[::-1], 0))
        return lambda: us * (1 + jitter * rng.random()) / 1e6

    # The network

    def cut(self, hall: str) -> list[str]:
        self._cut.append(hall)
        self._silence()
        crossing = [
            name
            for (_, name), relay in self._client_relays.items()
            if relay.pairs and (relay.way.node_hall == hall) != (relay.way.balancer_hall == hall)
        ]
        return list(dict.fromkeys(crossing))

    def heal(self, hall: str) -> None:
        self._cut.remove(hall)
        self._silence()

    def _silence(self) -> None:
        for relay in self._relays:
            way = relay.way
            relay.silence(relay.vanished or parted(way.balancer_hall, way.node_hall, self._cut))
        for relay in self._client_relays.values():
            relay.silence(parted(relay.way.balancer_hall, relay.way.node_hall, self._cut))

    def relays(self, balancer_hall: str | None = None, node_hall: str | None = None) -> list[Relay]:
        """What stands between balancers of one hall and nodes of another; none: of any."""
        return [
            relay
            for relay in self._relays
            if balancer_hall in (None, relay.way.balancer_hall) and node_hall in (None, relay.way.node_hall)
        ]

    def door(self, name: str) -> Door:
        """Where operators of this balancer call."""
        return next(process.door for process in self._processes if process.name == name)

    def reset(self, share: float, between: Role, hall: str | None) -> list[str]:
        rng = self._delays
        if between is Role.CLIENTS:
            names = [name for name, own in self._halls.items() if hall in (None, own)]
            return [name for clients in self.clients for name in clients.reset(share, names, rng)]
        pairs = [pair for relay in self.relays(balancer_hall=hall) for pair in relay.pairs]
        for pair in rng.sample(pairs, round(share * len(pairs))):
            pair.reset()
        return []

    # What it has to tell

    async def end(self) -> None:
        self._watch.cancel()
        self._cpu = (time.process_time() - self._cpu) / (time.monotonic() - self._cpu_at)
        await asyncio.gather(*(process.close() for process in self._processes))
        for relay in [*self._relays, *self._client_relays.values()]:
            relay.silence(False)
            relay.close()

    def figures(self) -> dict[str, Any]:
        """`lab_cpu`: how much of a core the parties themselves took."""
        return {"counters": self.counters, "faults": list(self.faults), "lab_cpu": round(self._cpu, 3)}
