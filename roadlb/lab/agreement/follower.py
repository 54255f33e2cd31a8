"""A balancer without a data path, as a process: all of the following side, and requests that show its rules.

    python -m roadlb.lab.agreement.follower SETTINGS.json

It is `following.Following` with its guard, its store on the disk, its stream: what `python -m roadlb` runs.
In place of HTTP it sends one datagram every few milliseconds for each customer whose quota at that moment is
above nothing, and one for each node that is open, to one socket: the kernel's queue there is the order in
which all balancers sent.  Each looks at the clock right before it is sent, as a request does.

`defect` plants one fault, to see that the judge finds it.  On SET_BACK its wall clock, which nothing here
reads but a defect, is set back; from SLOW on its disk takes SLOW_S for a write.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from ...agreement.events import Ack, Contents, FollowerAction, FollowerEvent, Reported, Tell, VersionId, Word
from ...agreement.follower import Follower
from ...clock import monotonic_us, unix_us
from ...config import Address, Agreement, Pairs
from ...counters import Counters
from ...fleet.steps import up
from ...following import following as wired
from ...following.following import Following
from ...log import set_up
from ...store.disk import Directory
from ...xds.grpc.dial import dial
from ..model_check.defects import NoFloor, Unfenced

TICK_S = 0.005
SET_BACK_US, EVERY_US = 4_000_000, 6_000_000  # more than a lease, often enough to be seen in a play
SET_BACK, SLOW = signal.SIGUSR1, signal.SIGUSR2
SLOW_S = 1.5  # longer than a busy judge is late who kills in that time
NODES_EACH = 10  # ticks from one round over the nodes to the next


class Requests:
    """What this balancer may send, sent."""

    def __init__(self, name: str, customers: int, to: tuple[str, int], following: Following) -> None:
        self._name, self._customers, self._following = name, customers, following
        self._ticks = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.connect(to)
        self._socket.setblocking(False)

    def send(self) -> None:
        """For each rule one request, if it is allowed now."""
        follower = self._following.follower
        for customer in range(self._customers):
            data = f"{self._name} customer-{customer}".encode()
            if float(follower.allowed(monotonic_us(), f"tenants.{customer}.quota_per_s") or 0) > 0:
                self._put(data)
        self._ticks += 1
        if self._ticks % NODES_EACH:
            return
        for cluster in follower.used(monotonic_us()).clusters.values():
            for endpoint in cluster.endpoints:
                if up(endpoint):
                    self._put(f"{self._name} {endpoint.node.name}".encode())

    def _put(self, data: bytes) -> None:
        try:
            self._socket.send(data)
        except OSError:
            pass  # the judge is gone, or its queue is full: it counts what came


class Deaf(Follower):
    """What is prepared is acknowledged, and not kept to."""

    __slots__ = ()

    def used(self, now: int) -> Contents:
        return self.told.contents if self.told is not None and self.granted(now) else super().used(now)


class Forgetful(Follower):
    """Acknowledges before its store has the version."""

    __slots__ = ()

    def _taken(self, id: VersionId) -> list[FollowerAction]:
        self.acked = id
        return [Tell(Ack(id)), Reported(Word.ACKNOWLEDGED, id), *super()._taken(id)]


class Wall(Follower):
    """Leases by a wall clock, which is set back now and then."""

    __slots__ = ("inside",)  # of `handle`, which has turned the clock already

    def handle(self, now: int, event: FollowerEvent) -> list[FollowerAction]:
        self.inside = True
        try:
            return super().handle(set_back(now), event)
        finally:
            self.inside = False

    def granted(self, now: int) -> bool:
        return super().granted(now if getattr(self, "inside", False) else set_back(now))


class Disk(Directory):
    """One that may become slow; nothing of a write is there before its time is over."""

    write_s = 0.0

    def write(self, name: str, data: bytes) -> None:
        time.sleep(self.write_s)
        super().write(name, data)

    def append(self, name: str, data: bytes) -> None:
        time.sleep(self.write_s)
        super().append(name, data)

    def slow(self) -> None:
        self.write_s = SLOW_S


DEFECTS = {"floor": NoFloor, "deaf": Deaf, "wall": Wall, "unfenced": Unfenced, "forgetful": Forgetful}
jumps = [0]  # of the wall clock, beside those that come by themselves


def plant(defect: str) -> None:
    """ValueError for a defect that is none."""
    if defect:
        if defect not in DEFECTS:
            raise ValueError(f"{defect!r} is no defect here: {', '.join(DEFECTS)} are")
        vars(wired)["Follower"] = DEFECTS[defect]


def set_back(now: int) -> int:
    """A wall clock that is set back by SET_BACK_US every EVERY_US, and at each signal."""
    return now - (now // EVERY_US + jumps[0]) * SET_BACK_US


def jump() -> None:
    jumps[0] += 1


async def main(told: dict[str, Any]) -> None:
    plant(told.get("defect", ""))
    settings = Pairs.from_json(told["settings"]).values
    agreement = Agreement(
        tuple(Address(host, port) for host, port in told["control"]),
        told["store"],
        told["contradiction_s"],
        None,
        None,
        told["margin_s"],
        "grid",
        {},
        {},
        settings,
    )
    disk, loop = Disk(Path(told["store"])), asyncio.get_running_loop()
    loop.add_signal_handler(SET_BACK, jump)
    loop.add_signal_handler(SLOW, disk.slow)
    following = Following(
        agreement,
        told["name"],
        told["seed"],
        monotonic_us,
        unix_us,
        Counters(),
        lambda list, old: None,
        lambda heard: None,
        lambda at: None,
        dial,
        disk,
        disk,
    )
    following.load()
    following.start()
    customers = sum(path.endswith(".quota_per_s") for path in settings)
    requests = Requests(told["name"], customers, (told["judge"][0], told["judge"][1]), following)
    while True:
        requests.send()
        await asyncio.sleep(TICK_S)


if __name__ == "__main__":
    set_up()
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))))
