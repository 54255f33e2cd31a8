"""The real program before one big warm node of the lab, on loopback in this process, for several tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from roadlb.app import App
from roadlb.clock import monotonic_us, unix_us
from roadlb.config import read_config
from roadlb.lab.model.spec import NodeSpec
from roadlb.lab.parties.discovery import Agent, DiscoveryFigures, Entry, Registry
from roadlb.lab.parties.grid_node import GridNode
from roadlb.lab.wire import WireLog

HERE = ("127.0.0.1", 0)
AT_ONCE = DiscoveryFigures((0, 0), (0, 0), (0, 0), 10_000, (0, 0))


@dataclass
class OneNode:
    url: str
    node: GridNode
    registry: Registry
    log: WireLog


@asynccontextmanager
async def balancer(raw: Mapping[str, Any]) -> AsyncIterator[OneNode]:
    """`raw`: the configuration, but for `listen` and `discovery`."""
    log = WireLog()
    node = GridNode(
        "g1", NodeSpec(cores=32, slots=32), Random(1), log, monotonic_us, lambda: unix_us() // 1000, warm=True
    )
    registry, agent = Registry(AT_ONCE, Random(2)), Agent("n1", AT_ONCE, log, monotonic_us)
    await node.start({"n1": HERE})
    await agent.start(HERE)
    registry.begin([Entry("g1", node.addresses, "hall-a", raw["settings"]["machine_types"][0], weight=32.0)])
    registry.attach(agent)
    app = App(read_config({**raw, "listen": "127.0.0.1:0", "discovery": "{}:{}".format(*agent.address)}, {}))
    await app.start()
    try:
        yield OneNode(f"http://127.0.0.1:{app.port}", node, registry, log)
    finally:
        await app.stop(linger_s=0)
        node.stop()
        agent.stop()
