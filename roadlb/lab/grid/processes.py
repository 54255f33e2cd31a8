"""The balancers of a grid that is played live: processes with their limits, or started by a person."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from typing import Any

import roadlb

from ..parties.discovery import Address
from ..run.drawn import Drawn
from ..run.real_world import Door, RealWorld, environment, write
from ..run.world import Process
from ..wire import WireLog

LOOK_S = 0.02  # between two looks whether a process has ended
MIB = 1 << 20
NEVER_S = 3600.0  # a balancer that a person starts is not known to end: it is asked after so seldom


class Started:
    """`python -m roadlb` with the limits that its configuration names; its log is in a file."""

    def __init__(self, name: str, address: Address, folder: Path) -> None:
        self.name, self.address = name, address
        self.log_file, self._config_file = folder / f"{name}.log", folder / f"{name}.json"
        self._process: subprocess.Popen[bytes] | None = None
        self._faults: list[str] = []
        self._door = Door(name, address[0], self._faults)

    def start(self, configuration: Mapping[str, Any]) -> None:
        self.configure(configuration)
        own = environment(self._config_file)
        path = os.pathsep.join(filter(None, [str(Path(roadlb.__file__).parents[1]), own.get("PYTHONPATH")]))
        with self.log_file.open("ab") as log:
            # A session of its own: a terminal's Ctrl-C is this program's to pass on.
            self._process = subprocess.Popen(
                [sys.executable, "-m", "roadlb"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**own, "PYTHONPATH": path},
                start_new_session=True,
            )
        limit(self._process.pid, configuration["limits"])

    def configure(self, configuration: Mapping[str, Any]) -> None:
        write(self._config_file, {**configuration, "admin_addr": self._door.address})

    def tell(self, call: str) -> None:
        self._door.tell(call)

    def signal(self, number: int) -> None:
        if self._process and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    async def ended(self) -> None:
        assert self._process is not None
        while self._process.poll() is None:
            await asyncio.sleep(LOOK_S)


def limit(pid: int, limits: Mapping[str, Any]) -> None:
    """Descriptors and memory of a process, where the system can limit those of another (Linux).

    Of a core more than one is of no use to it; less is the machine's to enforce, and is not done here.
    """
    if hasattr(resource, "prlimit"):
        for kind, most in (
            (resource.RLIMIT_NOFILE, int(limits["sockets"])),
            (resource.RLIMIT_DATA, int(limits["memory_mb"]) * MIB),
        ):
            try:
                resource.prlimit(pid, kind, (most, most))
            except (ProcessLookupError, PermissionError, ValueError):
                return  # it has ended already, or may not have so much


class ByHand:
    """A balancer that a person starts: its configuration goes to a file, and what befalls it is said."""

    def __init__(self, name: str, address: Address, file: Path, say: Callable[[str], None]) -> None:
        self.name, self.address, self.file, self._say = name, address, file, say
        self._starts = 0

    def start(self, configuration: Mapping[str, Any]) -> None:
        self.configure(configuration)
        self._starts += 1
        if self._starts > 1:
            self._say(f"{self.name}: start it again now, with the new {self.file}")

    def configure(self, configuration: Mapping[str, Any]) -> None:
        write(self.file, configuration)

    def signal(self, number: int) -> None:
        self._say(f"{self.name}: send it {signal.Signals(number).name} now")

    def tell(self, call: str) -> None:
        self._say(f"{self.name}: call PUT /control/{call} at its admin_addr now, if it has one")

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    async def ended(self) -> None:
        while True:
            await asyncio.sleep(NEVER_S)


class LiveWorld(RealWorld):
    """`make` gives the process of a balancer by its name and address, which the real world keeps for it."""

    def __init__(
        self,
        drawn: Drawn,
        log: WireLog,
        folder: Path,
        random: Callable[[str], Random],
        make: Callable[[str, Address], Process],
    ) -> None:
        super().__init__(drawn, log, folder, random)
        self._make = make
        self.processes: dict[str, Process] = {}

    def process(self, name: str, hall: str) -> Process:  # type: ignore[override]
        self.processes[name] = self._make(name, super().process(name, hall).address)
        return self.processes[name]
