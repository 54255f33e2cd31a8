"""Six balancer processes in three zones: one deployment on which many scenarios run one after another."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

import uvloop

from roadlb.lab.incident import read
from roadlb.lab.run.rig import Rig, SiteChange

ZONES = "hall-a", "hall-b", "hall-c"
DEPLOYMENT = """
title = "three zones"
[fleet]
nodes = 12
[balancers]
per_hall = 2
[traffic]
rate = 300
fresh_keys = 0.3
[traffic.clients]
retries = 1
once_share = 0.1
[prices]
cross_hall = 0
[discovery]
silent_notice_s = [4, 6]
add_s = [0.2, 0.5]
[front]
notice_s = [0.5, 1.5]
[[step]]
do = "deploy"
at_s = 0
hall = "hall-a"
share = 1.0
over_s = 5
drain_s = 1
"""
UNEVEN_DEPLOYMENT = DEPLOYMENT.replace(
    "nodes = 12",
    "".join(
        f"""
[[fleet.group]]
hall = "{zone}"
machine = "new-2c"
count = {count}
"""
        for zone, count in zip(ZONES, (6, 3, 1), strict=True)
    ),
)
UNEVEN_DEPLOYMENT += """
[[refusal]]
class = "grid-read"
"""
COMMAND_EFFECT_US = 1_000_000  # after a command is answered no new request is sent against it later than this
Scenario = Callable[[Rig], Coroutine[Any, Any, None]]


def returns_without_steps(changes: Sequence[SiteChange]) -> list[SiteChange]:
    """Changes of a site that was lost for over a second straight to whole, without the steps of a return.

    Half a second is added for the delay between a decision and its log line on a busy machine."""
    since: dict[tuple[str, str], int] = {}
    skipped = []
    for change in changes:
        outage_us = change.at - since.get((change.balancer, change.site), change.at)
        if change.before == "lost" and change.after == "whole" and outage_us > 1_500_000:
            skipped.append(change)
        since[change.balancer, change.site] = change.at
    return skipped


def balancers_outside(rig: Rig, zone: str) -> list[str]:
    """Names of the balancers in other zones."""
    return [balancer.name for balancer in rig.stage.balancers.all if balancer.hall != zone]


def loss_reports(rig: Rig, since: int, *sites: str) -> list[SiteChange]:
    """Changes to lost of any of these sites that a balancer has logged since then.

    A change is left out if the rig, which runs all servers, was held up for a tenth of the 2 s before it: the
    sites were silent then, as lost ones are."""
    return [
        change
        for change in rig.changes(since)
        if change.after == "lost"
        and change.site in sites
        and rig.held_up_us(change.at - 2_000_000, change.at) < 200_000
    ]


class SharedDeployment:
    """Runs scenarios on one deployment; each waits until all sites are whole, and a failure starts a new one.

    A site that is lost within 10 s of its return has relapsed, and its next trial comes only after 2 s, then
    4, then 8: so consecutive scenarios lose different zones."""

    def __init__(
        self, deployment: str = DEPLOYMENT, seed: int = 1, variables: Mapping[str, str] | None = None
    ) -> None:
        self._incident, self._seed, self._variables = read(deployment, "rig.toml"), seed, variables
        self._runner: asyncio.Runner | None = None
        self._rig: Rig

    def run_scenario(self, scenario: Scenario) -> None:
        try:
            if self._runner is None:
                self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
                self._rig = Rig(self._incident, self._seed, variables=self._variables)
                self._runner.run(self._rig.__aenter__())
            self._runner.run(self._run_scenario(scenario))
        except BaseException:
            self.stop()
            raise

    async def _run_scenario(self, scenario: Scenario) -> None:
        rig, since = self._rig, self._rig.now
        await rig.dealt()
        await rig.until(
            "all whole, with load",
            lambda: (
                len(rig.sites) == len(rig.stage.balancers.all)
                and all(rig.all_say(zone, "whole") and len(rig.got(since, zone)) > 5 for zone in ZONES)
            ),
        )
        await scenario(rig)
        assert not rig.repeated_orders(since)
        assert not rig.world.faults

    def stop(self) -> None:
        """Ends the deployment with all its processes."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        try:
            runner.run(self._rig.__aexit__())
        finally:
            runner.close()
