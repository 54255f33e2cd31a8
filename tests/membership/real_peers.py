"""Several balancers that are peers, each a process, with a relay for datagrams before each of them.

Loss, doubling and reordering come from a seed.  What balancers believe is asked at their doors.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from random import Random
from typing import Any

from samples import RAW

from roadlb.lab.run.datagrams import Datagrams
from roadlb.lab.run.ports import reserved
from roadlb.lab.run.real_world import environment
from roadlb.lab.sharing.relays import Relays

GENEROUS_S = 240.0  # starved, one who is deaf doubts itself first, and accuses later
LOOK_S = 0.15


class OnePeer:
    def __init__(self, name: str) -> None:
        self.name, self.process = name, None
        self.process: asyncio.subprocess.Process | None
        self.held = reserved()
        self.door: int = self.held.getsockname()[1]
        self.link: Datagrams
        self.stopped = False

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None and not self.stopped


class RealPeers:
    """`async with RealPeers(8, seed, folder) as rig`: all have found all when it begins."""

    def __init__(self, size: int, seed: int, folder: Path, halls: int = 3) -> None:
        self.seed, self.folder, self.halls = seed, folder, halls
        self.all = {f"lb-{i}": OnePeer(f"lb-{i}") for i in range(size)}
        self.told: dict[str, dict[str, Any]] = {}  # what each said at the last look
        self.late_s = 0.0  # the longest for which this loop, and with it all relays, stood still
        self.blocked: Callable[[str, str], bool] = lambda sender, to: False
        self._relays = Relays(lambda sender, to: not self.blocked(sender, to))
        self.change: Callable[[str, dict[str, Any]], None] = lambda name, raw: None  # a configuration

    async def __aenter__(self) -> RealPeers:
        try:
            for number, one in enumerate(self.all.values()):
                await self._relays.before(one.name, Random(self.seed * 1_000 + number))
                one.link = self._relays.links[one.name]
            for one in self.all.values():
                await self.start(one.name)
            await self.until("all know all", self.agree)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for one in self.all.values():
            if one.process is not None and one.process.returncode is None:
                one.process.kill()
                await one.process.wait()
            one.held.close()
        self._relays.end()

    async def start(self, name: str) -> None:
        one = self.all[name]
        raw = deepcopy(RAW)
        raw["settings"]["az"] = int(name[3:]) % self.halls
        raw |= {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "admin_addr": f"127.0.0.1:{one.door}",
            "peers": self._relays.peers(name, "rig", 4),
        }
        self.change(name, raw)
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps(raw))
        with (self.folder / f"{name}.log").open("ab") as log:
            one.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadlb",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(config),
            )
        one.stopped = False

    # Faults

    def signal(self, name: str, number: int) -> None:
        one = self.all[name]
        assert one.process is not None
        one.process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            one.stopped = number == signal.SIGSTOP

    async def kill(self, *names: str) -> None:
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            process = self.all[name].process
            assert process is not None
            await process.wait()

    # What they believe

    @property
    def running(self) -> list[str]:
        return [one.name for one in self.all.values() if one.runs]

    async def look(self) -> None:
        names = self.running
        said = await asyncio.gather(*(self._ask(self.all[name].door) for name in names))
        self.told = {name: told for name, told in zip(names, said, strict=True) if told is not None}

    async def _ask(self, door: int) -> dict[str, Any] | None:
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", door)
                writer.write(b"GET /control/peers HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return None
        said: dict[str, Any] = json.loads(answer.partition(b"\r\n\r\n")[2])
        return said

    async def until(self, what: str, holds: Callable[[], bool]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + GENEROUS_S
        while True:
            await self.look()
            if len(self.told) == len(self.running) and holds():
                return
            if loop.time() > end:
                raise TimeoutError(f"{what}; believed: { {name: self.there(name) for name in self.told} }")
            began = loop.time()
            await asyncio.sleep(LOOK_S)
            self.late_s = max(self.late_s, loop.time() - began - LOOK_S)

    @property
    def at_ease(self) -> bool:
        """Has nothing stood still for so long that a verdict on who doubts whom would be the machine's?"""
        return self.late_s < 1 and not any(self.count(name, "doubted") for name in self.told)

    def there(self, at: str) -> set[str]:
        return {
            member["name"] for member in self.told[at]["members"] if member["state"] in ("alive", "suspect")
        }

    def member(self, at: str, name: str) -> dict[str, Any]:
        return next((member for member in self.told[at]["members"] if member["name"] == name), {})

    def agree(self, among: set[str] | None = None) -> bool:
        names = set(self.running) if among is None else among
        return all(self.there(name) == names for name in names)

    def count(self, at: str, what: str) -> int:
        return int(self.told[at]["counts"].get(what, 0))
