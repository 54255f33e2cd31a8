"""Restarts with control down after a crash anywhere: what was acknowledged as drained gets no work."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random

import pytest
from crashing_disk import CrashingDisk
from fleets import node
from test_following import FILE, TIMING, contents, until

from roadlb.agreement.events import InForce, Lease, Prepare, Version, VersionId
from roadlb.clock import monotonic_us, unix_us
from roadlb.config import read_agreement
from roadlb.counters import Counters
from roadlb.fleet.model import Endpoint, Lifecycle, Locality, NodeId
from roadlb.following.following import Following
from roadlb.xds.client.connection import Stream, StreamEnded

NODES, VERSIONS, EPOCH = 24, 14, 3


async def nobody(at: str) -> Stream:
    raise StreamEnded("no control service is there")


class Life:
    """One life of a balancer without a control service, on this disk."""

    def __init__(self, disk: CrashingDisk) -> None:
        self.open: dict[str, int] = {}
        self.counters = Counters()
        agreement = read_agreement({"control": ["127.0.0.1:1"], "contradiction_s": 3}, FILE)
        self.following = Following(
            agreement,
            "n1",
            7,
            monotonic_us,
            unix_us,
            self.counters,
            self.lead,
            lambda heard: None,
            lambda at_us: None,
            nobody,
            disk,
        )
        self.following.load()
        self.following.start()

    def lead(self, raw: object, old: bool) -> None:
        assert isinstance(raw, dict)
        if raw["reset"]:
            self.open = {}
        for entry in raw["instances"]:
            self.open.pop(entry["instanceId"], None)
            # As the name table does with what is remembered.
            if entry["lifecycle"] == "up" and not self.following.drained(
                entry["instanceId"], entry["startedAtMs"]
            ):
                self.open[entry["instanceId"]] = entry["startedAtMs"]

    async def take(self, version: Version, in_force: bool) -> bool:
        """Prepared, and perhaps in force; whether it was acknowledged before the disk was gone."""
        hears, follower = self.following._hears, self.following.follower
        hears(Prepare(EPOCH, version))
        assert follower.told is not None and follower.told.id == version.id, "the guard has refused it"
        await until(lambda: follower.acked == version.id or self.counters["store.failed"] > 0, "kept")
        if follower.acked != version.id:
            return False
        if in_force:
            hears(InForce(EPOCH, version.id))
            asked = max(follower.asks)
            hears(Lease(EPOCH, version.id, follower.life, asked, TIMING.lease_us))
        return True


def step(fleet: list[Endpoint], random: Random, number: int) -> list[Endpoint]:
    """The shrink goes on: drains, nodes that leave, restarts of those that were drained."""
    fleet = list(fleet)
    for _ in range(random.randint(1, 2)):
        i = random.randrange(len(fleet))
        one = fleet[i]
        if one.lifecycle is Lifecycle.UP and sum(e.lifecycle is Lifecycle.UP for e in fleet) > NODES * 0.75:
            fleet[i] = replace(one, lifecycle=Lifecycle.DRAINING)
        elif one.lifecycle is Lifecycle.DRAINING:
            newer = NodeId(one.node.name, 1_000 + number)
            fleet[i] = replace(one, node=newer, lifecycle=Lifecycle.UP)
    return fleet


@pytest.mark.parametrize("block", range(4))
def test_no_node_drained_in_an_acknowledged_version_is_open_after_a_crash(block: int) -> None:
    async def one(seed: int) -> int:
        random = Random(seed)
        disk = CrashingDisk(steps=random.randint(8, 70))
        life = Life(disk)
        fleet = [node(f"n{i}", 1_000, locality=Locality(zone="ab"[i % 2])) for i in range(NODES)]
        closed: set[tuple[str, int]] = set()
        for number in range(1, VERSIONS):
            fleet = step(fleet, random, number)
            version = Version(VersionId(EPOCH, number), contents(*fleet))
            if not await life.take(version, in_force=random.random() < 0.7):
                break
            closed |= {(e.node.name, e.node.started_ms) for e in fleet if e.lifecycle is not Lifecycle.UP}
        disk.left = 0
        await life.following.stop()
        images = list(disk.after_crash())
        for image in random.sample(images, min(3, len(images))):
            again = Life(CrashingDisk(image))
            assert not closed & set(again.open.items()), seed
            assert again.open or not closed, "what was acknowledged is not there"
            assert not again.counters["store.spoilt"]
            await again.following.stop()
        return len(closed)

    async def all_of_them() -> None:
        drained = [await one(seed) for seed in range(block * 25, block * 25 + 25)]
        assert sum(map(bool, drained)) > 15, "most crashes come after a drain"

    logging.disable(logging.CRITICAL)
    try:
        asyncio.run(all_of_them())
    finally:
        logging.disable(logging.NOTSET)
