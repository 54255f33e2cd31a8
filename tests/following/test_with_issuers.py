"""Followers and issuers as they are in service: two control services, one leader, the stand-in store."""

from __future__ import annotations

from pathlib import Path

import pytest
from issuing_parties import Control, picture
from test_following import Balancer, played, running, until

from roadlb.agreement.events import Standing
from roadlb.lab.standin_etcd.server import StandIn
from roadlb.xds.client import choice


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(choice, "PAUSE_US", 20_000)


def test_a_drain_and_a_takeover_reach_followers_that_prefer_the_wrong_service(tmp_path: Path) -> None:
    async def test() -> None:
        async with StandIn() as store:
            a = await Control(store, "a").start()
            await until(lambda: a.leads, "one leads")
            b = await Control(store, "b").start()
            services = [f"127.0.0.1:{b.port}", f"127.0.0.1:{a.port}"]
            one, two = (
                Balancer(services, tmp_path / name, name=name, contradiction_s=2.0, margin_s=0.3)
                for name in ("n1", "n2")
            )
            async with running(one), running(two):
                for control in (a, b):
                    control.office.pictured(picture(1))
                await until(lambda: one.standing is two.standing is Standing.GRANTED, "leases")
                a.office.pictured(picture(2, 0))
                await until(lambda: "n0" not in one.open | two.open, "the drain at both")
                epoch = one.following.view().epoch
                await a.stop()
                await until(lambda: b.leads, "the other leads")
                await until(
                    lambda: (
                        one.standing is two.standing is Standing.GRANTED
                        and one.following.view().epoch > epoch
                    ),
                    "leases of the new leader",
                )
                b.office.pictured(picture(5, 0, 1))
                await until(lambda: "n1" not in one.open | two.open, "a drain by the new leader")
                assert not one.counters["follow.fault"] + two.counters["follow.fault"]
            await b.stop()

    played(test)
