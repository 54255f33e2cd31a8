"""Nine processes and the links between them: a store, two control services, six balancers that follow.

    store <--link-- control-0, control-1 <--link each-- balancer-0 .. balancer-5

Every link is a relay in this process, which drops, silences and resets when it is told to.  Ports are those
that the kernel gave; a process that is started again listens where it did.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

from ...clock import monotonic_us
from ...control.settings import AgreementSettings
from ...etcd.model import StoreError
from ...issuing.archive import Archive, ArchiveError, Seen
from ...issuing.history import Order
from ..run.children import Child
from ..run.link import Link
from .ends import GENEROUS_S, DidNotCome, ends
from .parties import Platform
from .watch import HOST, Ears

CONTROLS, BALANCERS, NODES, CUSTOMERS = 2, 6, 6, 2
QUOTA = 50
LOOK_S = 0.05


def settings(gives: int | None) -> dict[str, Any]:
    """Of a balancer: one customer has its quota, the other has none; None: both, as each balancer's file."""
    return {
        "me": 0,
        "instances": 1,
        "az": 0,
        "dcs": ["hall-a", "hall-b", "hall-c"],
        "machine_types": ["toy"],
        "discovery": "pushed",
        "classes": [
            {
                "name": "read",
                "effect": "idempotent",
                "promise_us": 500_000,
                "deadline_us": 2_500_000,
                "value": 1.0,
                "late_worth": 0.5,
            }
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
        },
        "invariants": {"cold_from": 0.12, "cold_us": 23_000_000, "fall_multiple": 3.0, "fall_us": 1_000_000},
        "over_share_worth": 0.2,
        "tenants": [
            {"name": f"customer-{i}", "share": 0.5, "quota_per_s": QUOTA if gives in (i, None) else 0}
            for i in range(CUSTOMERS)
        ],
    }


class Deployment:
    """From `async with` to its end; nobody is left behind, whatever happens."""

    count = BALANCERS

    def __init__(
        self,
        folder: Path,
        contradiction_s: float = 3.0,
        margin_s: float = 0.4,
        seat_s: int = 4,
        defects: dict[str, str] | None = None,
    ) -> None:
        self.folder, self.contradiction_s = folder, contradiction_s
        self.margin_s, self.seat_s = margin_s, seat_s
        self.ears, self.discovery = Ears(), Platform()
        for i in range(NODES):
            self.discovery.place(i, 9_000 + i)  # nobody calls them
        self.children: dict[str, Child] = {}
        self.links: dict[str, Link] = {}
        self.notes: list[tuple[int, str]] = []
        self.store: asyncio.subprocess.Process
        self.defects = defects or {}  # by a process's name, or of a kind

    def note(self, text: str) -> int:
        at = monotonic_us()
        self.notes.append((at, text))
        return at

    async def __aenter__(self) -> Self:
        try:
            await self.discovery.start()
            at = await self._start_store()
            ports = [await self._start_control(i, at) for i in range(CONTROLS)]
            for i in range(self.count):
                await self.start_balancer(i, ports)
            self.archive = Archive(
                AgreementSettings(store=(f"{HOST}:{at[1]}",), prefix="/judged", store_call_s=1.0)
            )
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            await asyncio.gather(*(child.close() for child in self.children.values()))
            if hasattr(self, "archive"):
                await self.archive.close()
            if hasattr(self, "store") and self.store.returncode is None:
                self.store.kill()
                await self.store.wait()
        finally:
            for link in self.links.values():
                link.end()
            await self.discovery.stop()
            self.ears.close()

    def settings(self, gives: int | None) -> dict[str, Any]:
        """Of a version that gives this customer its quota."""
        return settings(gives)

    # Processes

    async def _start_store(self) -> tuple[str, int]:
        self.store = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "roadlb.lab.standin_etcd",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.store.stdout
        _, where = (await ends("the store serves", self.store.stdout.readline())).decode().split()
        return HOST, int(where.rpartition(":")[2])

    async def order_store(self, words: str) -> None:
        """One line to the stand-in; see its `__main__`."""
        assert self.store.stdin and self.store.stdout
        self.note(f"store: {words}")
        self.store.stdin.write(words.encode() + b"\n")
        await self.store.stdin.drain()
        answer = (await ends(f"the store does {words!r}", self.store.stdout.readline())).decode()
        if not answer.startswith("done"):
            raise RuntimeError(f"the store said {answer!r}")

    async def _start_control(self, i: int, store: tuple[str, int]) -> int:
        name = f"control-{i}"
        link = self.links[f"{name} to store"] = Link(f"{name} to store", HOST, store, self.note)
        file = self.folder / f"{name}.toml"
        first = self.write("first.json", {"settings": self.settings(0)})
        text = (
            f'discovery = "{HOST}:{self.discovery.address[1]}"\nlisten = "{HOST}:PORT"\nstatus = ""\n'
            f'[agreement]\nstore = ["{HOST}:{link.address[1]}"]\nprefix = "/judged"\nname = "{name}"\n'
            f"contradiction_s = {self.contradiction_s}\nmargin_s = {self.margin_s}\n"
            f'seat_s = {self.seat_s}\nstore_call_s = 0.5\nsettings = "{first}"\n'
        )
        file.write_text(text.replace("PORT", "0"))
        child = await self.spawn(
            name,
            [
                sys.executable,
                "-m",
                "roadlb.lab.agreement.control",
                str(file),
                self.defects.get(name, self.defects.get("control", "")),
            ],
        )
        await self.until(f"{name} listens", lambda: "event=ready" in child.said())
        port = int(child.said().partition(f"listen={HOST}:")[2].split()[0])
        file.write_text(text.replace("PORT", str(port)))  # again there, when it is started again
        return port

    async def start_balancer(self, i: int, ports: list[int]) -> None:
        name, told = f"balancer-{i}", self.links_to_controls(i, ports)
        file = self.write(
            f"{name}.json",
            {
                "name": name,
                "seed": i,
                "control": told,
                "store": str(self.folder / f"{name}.store"),
                "contradiction_s": self.contradiction_s,
                "margin_s": self.margin_s,
                "settings": settings(None),
                "judge": list(self.ears.address),
                "defect": self.defects.get(name, self.defects.get("balancer", "")),
            },
        )
        await self.spawn(name, [sys.executable, "-m", "roadlb.lab.agreement.follower", str(file)])

    def links_to_controls(self, i: int, ports: list[int]) -> list[tuple[str, int]]:
        """Where balancer i finds the control services, in its order of preference."""
        told = []
        for j, port in enumerate(ports):
            both = f"balancer-{i} to control-{j}"
            link = self.links[both] = Link(both, HOST, (HOST, port), self.note)
            told.append((HOST, link.address[1]))
        return told[::-1] if i % 2 else told

    async def spawn(self, name: str, argv: list[str], variables: dict[str, str] | None = None) -> Child:
        child = self.children[name] = Child(name, argv, variables or {}, self.folder, self.note)
        await child.start()
        return child

    def write(self, name: str, content: dict[str, Any]) -> Path:
        file = self.folder / name
        file.write_text(json.dumps(content))
        return file

    def stop(self, name: str) -> None:
        """SIGSTOP, where it hurts."""
        self.children[name].stop()

    # What is asked and awaited

    async def until(self, what: str, holds: Callable[[], bool], within_s: float = GENEROUS_S) -> None:
        """DidNotCome, naming it, if never."""
        end = monotonic_us() + within_s * 1e6
        while not holds():
            if monotonic_us() > end:
                raise DidNotCome(what, within_s)
            await asyncio.sleep(LOOK_S)

    def senders(self, what: str, since: int) -> set[str]:
        """Who has sent this since then."""
        found = set()
        for one in reversed(self.ears.sent):
            if one.at < since:
                break
            if one.what == what:
                found.add(one.balancer)
        return found

    def went_on(self) -> list[tuple[int, str]]:
        """When which process, having been stopped, was told to go on."""
        return [(at, text.partition(":")[0]) for at, text in self.notes if text.endswith(": SIGCONT")]

    async def seen(self) -> Seen | None:
        """The store; None if it does not answer."""
        try:
            return await self.archive.read()
        except (StoreError, ArchiveError):
            return None

    async def propose(self, gives: int, wait_s: float = 1.0) -> str:
        """Why it was not proposed; empty if it was."""
        texts = {path: str(text) for path, text in _flat(self.settings(gives))}
        try:
            return await self.archive.order(Order("propose", "turn", texts), wait_s)
        except (StoreError, ArchiveError) as e:
            return str(e) or type(e).__name__


def _flat(told: dict[str, Any]) -> list[tuple[str, str]]:
    from ...config import Pairs

    return list(Pairs.from_json(told).values.items())
