"""Real time on loopback for a stage that is played live: balancers are processes, or started by a person."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from pathlib import Path
from random import Random
from typing import Any, ParamSpec, TypeVar

import roadlb

from ...clock import monotonic_us, unix_us
from ..run.world import Process, Role

T = TypeVar("T")
P = ParamSpec("P")

LOOPBACK = "127.0.0.1"
LOOK_S = 0.02           # between two looks whether a process has ended
MIB = 1 << 20
NEVER_S = 3600.0        # a balancer that a person starts is not known to end: it is asked after so seldom


def free_port() -> int:
    """A port that the kernel names free; a balancer takes its own by number, and waits for it if need be."""
    with socket.create_server((LOOPBACK, 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


class Here:
    """A machine of the grid: a part of this process."""

    ip = LOOPBACK

    def call(self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        return function(*args, **kwargs)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> Awaitable[T]:
        return coroutine

    def end(self) -> None:
        pass

    def vanish(self) -> None:
        pass

    def restart(self) -> None:
        pass


class Started:
    """`python -m roadlb` with the limits that its configuration names; its log is in a file."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.address = name, (LOOPBACK, free_port())
        self.log_file, self._config_file = folder / f"{name}.log", folder / f"{name}.json"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, configuration: Mapping[str, Any]) -> None:
        self.configure(configuration)
        own = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        path = os.pathsep.join(filter(None, [str(Path(roadlb.__file__).parents[1]), own.get("PYTHONPATH")]))
        with self.log_file.open("ab") as log:
            # A session of its own: a terminal's Ctrl-C is this program's to pass on.
            self._process = subprocess.Popen(
                [sys.executable, "-m", "roadlb"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**own, "PYTHONPATH": path, "PROXY_CONFIG": str(self._config_file)},
                start_new_session=True)
        limit(self._process.pid, configuration["limits"])

    def configure(self, configuration: Mapping[str, Any]) -> None:
        self._config_file.write_text(json.dumps(configuration, indent=1) + "\n", encoding="utf-8")

    def signal(self, number: int) -> None:
        if self._process and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    async def ended(self) -> bool:
        assert self._process is not None
        while (code := self._process.poll()) is None:
            await asyncio.sleep(LOOK_S)
        return code == 0


def limit(pid: int, limits: Mapping[str, Any]) -> None:
    """Descriptors and memory of a process, where the system can limit those of another (Linux).

    Of a core more than one is of no use to it; less is the machine's to enforce, and is not done here.
    """
    if hasattr(resource, "prlimit"):
        for kind, most in ((resource.RLIMIT_NOFILE, int(limits["sockets"])),
                           (resource.RLIMIT_DATA, int(limits["memory_mb"]) * MIB)):
            try:
                resource.prlimit(pid, kind, (most, most))
            except (ProcessLookupError, PermissionError, ValueError):
                return                  # it has ended already, or may not have so much


class ByHand:
    """A balancer that a person starts: its configuration goes to a file, and what befalls it is said."""

    def __init__(self, name: str, file: Path, say: Callable[[str], None]) -> None:
        self.name, self.address, self.file, self._say = name, (LOOPBACK, free_port()), file, say
        self._starts = 0

    def start(self, configuration: Mapping[str, Any]) -> None:
        self.configure(configuration)
        self._starts += 1
        if self._starts > 1:
            self._say(f"{self.name}: start it again now, with the new {self.file}")

    def configure(self, configuration: Mapping[str, Any]) -> None:
        self.file.write_text(json.dumps(configuration, indent=1) + "\n", encoding="utf-8")

    def signal(self, number: int) -> None:
        self._say(f"{self.name}: send it {signal.Signals(number).name} now")

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    async def ended(self) -> bool:
        while True:
            await asyncio.sleep(NEVER_S)


class LiveWorld:
    """`make` gives the process of a balancer by its name."""

    name = "real"

    def __init__(self, seed: int, make: Callable[[str], Process]) -> None:
        self._seed, self._make = seed, make
        self.processes: dict[str, Process] = {}

    def clock(self) -> int:
        return monotonic_us()

    def wall(self) -> int:
        return unix_us()

    def random(self, name: str) -> Random:
        return Random(f"{self._seed}/{name}")

    def machine(self, name: str, hall: str, role: Role) -> Here:
        return Here()

    def process(self, name: str, hall: str) -> Process:
        return self.processes.setdefault(name, self._make(name))

    # What only a network that is ours could do: such steps are left out.

    def cut(self, hall: str) -> list[str]:
        raise NotImplementedError(f"{hall} cannot be cut off on real sockets")

    def heal(self, hall: str) -> None:
        raise NotImplementedError(f"{hall} cannot be cut off on real sockets")

    def reset(self, share: float, between: Role, hall: str | None) -> list[str]:
        raise NotImplementedError("connections cannot be reset at will on real sockets")

    def figures(self) -> dict[str, Any]:
        return {}
