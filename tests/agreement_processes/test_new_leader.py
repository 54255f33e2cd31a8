"""A leader is killed while a balancer is stopped: the one after it names whom it has not heard."""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop

from roadlb.fleet.model import Lifecycle
from roadlb.lab.agreement.deployment import Deployment
from roadlb.lab.agreement.whole import IN_FORCE

SILENT, DRAINED = "balancer-1", "node-0"


class Small(Deployment):
    """Two balancers: one that hears everything, and one that is stopped."""

    count = 2


async def drained(small: Small) -> str:
    """The version in force, once it has the drain."""
    while True:
        seen = await small.seen()
        if (
            seen is not None
            and seen.force is not None
            and any(
                one.node.name == DRAINED and one.lifecycle is Lifecycle.DRAINING
                for cluster in seen.force.contents.clusters.values()
                for one in cluster.endpoints
            )
        ):
            return str(seen.force.id)
        await asyncio.sleep(0.05)


async def line(folder: Path, defect: str = "") -> str:
    """What the second leader says of the first version in force with the drain."""
    async with Small(folder, 3.0, 0.4, 3, {"control": defect}) as small:
        begun, everyone = small.note("begun"), {"balancer-0", SILENT}
        await small.until("both use what is granted", lambda: small.senders("customer-0", begun) == everyone)
        seen = await small.seen()
        assert seen is not None
        first = seen.holder["name"]
        [second] = {"control-0", "control-1"} - {first}
        small.stop(SILENT)
        small.children[first].kill()
        await small.children[first].ended()
        small.discovery.tell(DRAINED, lifecycle="draining")
        version = await asyncio.wait_for(drained(small), 60)

        def said() -> list[str]:
            return [text for id, text, _ in IN_FORCE.findall(small.children[second].said()) if id == version]

        await small.until("its leader says so", lambda: said() != [])
        return said()[0]


def test_a_new_leader_names_the_balancer_that_was_stopped_when_the_former_one_was_killed(
    tmp_path: Path,
) -> None:
    said = uvloop.run(line(tmp_path))
    assert said == f"acknowledged by 1 of 2; its drains do not reach {SILENT}"
