"""A process of hollow balancers that know each other and share state: real datagrams, deciders and modules.

    python -m roadlb.lab.capacity.hollow_peers '{"first": 0, "count": 50, "seeds": [...], ...}'

Each has its socket, its `Peers`, its `Sharing` and an `Engine` with the module and its list of servers; no
client asks and no server answers, but outcomes of requests are told at the rate that one balancer would have.
The first line says at which ports they are; asked by a line, it tells their sums.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from random import Random
from typing import Any

from ...clock import monotonic_us, unix_us
from ...config import Config, read_config
from ...counters import Counters
from ...engine import Engine
from ...net.discovery import server_id
from ...net.peers import Peers
from ...net.sharing import Sharing
from ...policy.interface import ListKind, Member, ServerId, Status
from ...policy.logic import Balancer
from ...wheel import TimerWheel
from .processes import answer_lines
from .settings import HOST, PEERS_KEY, configuration, server_name

OUTCOMES_S = 0.1  # between two moments at which outcomes are told
ERRORS = 0.002  # the part of requests that end with an error


class HollowPeer:
    """One balancer among others, without clients."""

    def __init__(self, number: int, told: dict[str, Any], seeds: list[str]) -> None:
        config: Config = read_config(
            {
                **configuration(f"balancer-{number:04}", number, told["balancers"]),
                "peers": {
                    "listen": f"{HOST}:0",
                    "cluster": "capacity",
                    "key": PEERS_KEY,
                    "seeds": seeds,
                    "share": True,
                },
            },
            {},
        )
        assert config.peers
        self.counters, self._random = Counters(), Random(number)
        self.engine = Engine(
            Balancer(config.settings, number), self.counters, monotonic_us, TimerWheel(monotonic_us)
        )
        self._servers = [server_id(server_name(i)) for i in range(told["servers"])]
        self._per_turn = told["requests_per_s"] * OUTCOMES_S
        self.peers = Peers(
            config.name, config.hall, config.peers, self.counters, monotonic_us, unix_us, number
        )
        names = dict[ServerId, str]()
        self.sharing = Sharing(
            config,
            self.peers,
            self.engine,
            self.counters,
            monotonic_us,
            lambda instances, heard: self.engine.update_shared_state(heard),
            lambda: names,
        )

    async def start(self) -> None:
        self.engine.list_update(
            ListKind.FULL, [Member(server, zone=i % 3) for i, server in enumerate(self._servers)]
        )
        await self.peers.start()
        self.sharing.start()

    def outcomes(self) -> None:
        """What this turn's requests came to."""
        told = self.engine.on_outcome
        count = int(self._per_turn) + (self._random.random() < self._per_turn % 1)
        for _ in range(count if told else 0):
            assert told
            status = Status.ERROR if self._random.random() < ERRORS else Status.OK
            told(self._random.choice(self._servers), status)


async def main(told: dict[str, Any]) -> None:
    logging.disable(logging.CRITICAL)
    seeds, balancers = list[str](told["seeds"]), list[HollowPeer]()
    for number in range(told["first"], told["first"] + told["count"]):
        balancers.append(balancer := HollowPeer(number, told, seeds[: told["seeds_most"]]))
        await balancer.start()
        if len(seeds) < told["seeds_most"]:
            seeds.append(f"{HOST}:{balancer.peers.port}")
    print(json.dumps({"seeds": seeds}), flush=True)

    async def requests() -> None:
        while True:
            await asyncio.sleep(OUTCOMES_S)
            for balancer in balancers:
                balancer.outcomes()

    def answer(asked: dict[str, Any]) -> dict[str, Any]:
        sums = Counters()
        for balancer in balancers:
            for name, count in balancer.counters.all().items():
                sums.add(name, count)
        live = [balancer.peers.live() for balancer in balancers]
        return {"counters": sums.all(), "least_live": min(live), "most_live": max(live)}

    asking = asyncio.create_task(requests())
    await answer_lines(answer)
    asking.cancel()
    for balancer in balancers:
        balancer.sharing.stop()
        balancer.peers.stop(farewell=False)


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
