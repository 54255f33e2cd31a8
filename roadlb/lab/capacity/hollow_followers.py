"""A process of hollow balancers that follow versions: `following.Following` as balancers run it, no clients.

    python -m roadlb.lab.capacity.hollow_followers '{"first": 0, "count": 50, "control": PORT, ...}'

Each has a gRPC connection of its own and no disk.  Asked by a line, it tells how many hold a lease, of each
change, told apart by its mark, when the last of them kept to it, and when each dialled.  A mark is the value
of `limits.max_retry_after_us` for a change of settings, the number of servers that drain for one of the list.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections import deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from ...agreement.events import Standing
from ...clock import monotonic_us, unix_us
from ...config import Pairs, read_agreement
from ...counters import Counters
from ...following.following import Following
from ...policy.interface import Settings
from ...xds.grpc.dial import Call, dial
from .processes import answer_lines


DIALS_MOST = 10_000  # remembered, the newest
NEVER = 1 << 62  # of the monotonic clock


@dataclass(frozen=True, slots=True)
class Answer:
    """What one process says; times are of the machine's monotonic clock, in microseconds."""

    granted: int  # of them hold a lease
    least_servers: int  # that one of them knows
    least_epoch: int  # of the leaders that they know
    most_epoch: int
    last: dict[str, int]  # by mark
    count: dict[str, int]
    dials: list[int]  # since the time that was asked for


class Marks:
    """When the last balancer of this process kept to each change, how many do, and when any dialled."""

    def __init__(self) -> None:
        self.last: dict[str, int] = {}
        self.count: dict[str, int] = {}
        self.dials: deque[int] = deque(maxlen=DIALS_MOST)

    def kept(self, mark: str) -> None:
        self.last[mark] = monotonic_us()
        self.count[mark] = self.count.get(mark, 0) + 1


class HollowFollower:
    """One balancer's following side."""

    def __init__(self, name: str, seed: int, told: Mapping[str, Any], marks: Marks) -> None:
        agreement = read_agreement(
            {"control": told["control"], "contradiction_s": told["contradiction_s"]},
            Pairs.from_json(told["settings"]).values,
        )
        self._marks, self._draining, self._retry_us = marks, set[str](), -1
        self.servers = set[str]()  # by name, of the list that it keeps to
        self.following = Following(
            agreement,
            name,
            seed,
            monotonic_us,
            unix_us,
            Counters(),
            self._lead,
            lambda heard: None,
            lambda at: None,
            self._dial,
            None,
            None,
            self._rule,
        )

    def start(self) -> None:
        self.following.load()
        self.following.start()

    @property
    def granted(self) -> bool:
        return self.following.view().standing is Standing.GRANTED

    async def _dial(self, at: str) -> Call:
        self._marks.dials.append(monotonic_us())
        return await dial(at)

    def _lead(self, raw: Mapping[str, Any], old: bool) -> None:
        before = len(self._draining)
        if raw["reset"]:
            self._draining, self.servers = set(), set()
        for entry in raw["instances"]:
            self.servers.add(entry["instanceId"])
            if entry["lifecycle"] == "draining":
                self._draining.add(entry["instanceId"])
        if len(self._draining) > before:
            self._marks.kept(f"drained {len(self._draining)}")

    def _rule(self, settings: Settings) -> None:
        if settings.max_retry_after_us != self._retry_us:
            self._retry_us = settings.max_retry_after_us
            self._marks.kept(f"settings {self._retry_us}")


async def main(told: dict[str, Any]) -> None:
    logging.disable(logging.CRITICAL)
    marks = Marks()
    balancers = [
        HollowFollower(f"balancer-{number:04}", number, told, marks)
        for number in range(told["first"], told["first"] + told["count"])
    ]
    for balancer in balancers:
        balancer.start()

    def answer(asked: dict[str, Any]) -> dict[str, Any]:
        epochs = [balancer.following.view().epoch for balancer in balancers]
        answer = Answer(
            sum(balancer.granted for balancer in balancers),
            min(len(balancer.servers) for balancer in balancers),
            min(epochs),
            max(epochs),
            marks.last,
            marks.count,
            [at for at in marks.dials if at >= asked["dials_since"]],
        )
        return asdict(answer)

    await answer_lines(answer)
    for balancer in balancers:
        await balancer.following.stop()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
