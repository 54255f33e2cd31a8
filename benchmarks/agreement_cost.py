"""What the agreement costs end to end: renewals' bytes and CPU of a balancer, and a change's time and bytes.

    PYTHONPATH=. python benchmarks/agreement_cost.py [--followers 12 200] [--seconds 20] [--changes 20]

One control service over the stand-in store issues to so many followers over real gRPC on loopback; the
followers are `Following` as balancers run it, without a disk, FOLLOWERS_EACH to a process, which share
one HTTP/2 connection.  Figures: bytes of messages of a follower a second while nothing changes, its share of
its process's CPU, the control service's CPU, and for each of the drains of one node in NODES the time from
the proposal to in force at the issuer, and to its use by the last follower.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from roadlb.agreement.events import Standing
from roadlb.clock import monotonic_us, unix_us
from roadlb.config import Pairs, read_agreement
from roadlb.control.settings import AgreementSettings
from roadlb.counters import Counters
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId, Picture
from roadlb.following.following import Following
from roadlb.issuing.office import Office
from roadlb.lab.standin_etcd.server import StandIn
from roadlb.xds.codec.discovery import read_delta_request
from roadlb.xds.grpc.dial import dial
from roadlb.xds.grpc.transport import ADS, Context, listen, next_message, server

NODES, FOLLOWERS_EACH, BOUND_S = 1_000, 50, 5.0
SETTINGS = json.loads((Path(__file__).parent.parent / "examples" / "config.json").read_text())["settings"]


def picture(drained: int) -> Picture:
    """The first `drained` of NODES drain."""
    return Picture(drained + 1, {"grid": Cluster("grid", tuple(
        Endpoint(NodeId(f"node-{i:04}", 1_790_000_000_000), f"10.0.{i // 250}.{i % 250}", 9_000,
                 Locality(zone=f"hall-{i % 3}"), Lifecycle.DRAINING if i < drained else Lifecycle.UP)
        for i in range(NODES)))})


async def followers(port: int, first: int, count: int) -> None:
    """A process of followers: a word on stdin, a line of figures on stdout."""
    used: dict[int, int] = {}                # by how many nodes drain: when the last follower used it

    class One:
        def __init__(self, number: int) -> None:
            told = read_agreement({"control": [f"127.0.0.1:{port}"], "contradiction_s": BOUND_S},
                                  Pairs.from_json(SETTINGS).values)
            self.it = Following(told, f"n{first + number}", number, monotonic_us, unix_us, Counters(),
                                self.lead, lambda _: None, lambda _: None, dial, None)
            self.drained: set[str] = set()

        def lead(self, raw: Any, old: bool) -> None:
            if raw["reset"]:
                self.drained = set()
            self.drained |= {e["instanceId"] for e in raw["instances"] if e["lifecycle"] == "draining"}
            used[len(self.drained)] = max(used.get(len(self.drained), 0), monotonic_us())

    them = [One(number) for number in range(count)]
    for one in them:
        one.it.load()
        one.it.start()
    lines = asyncio.get_running_loop()
    while (await lines.run_in_executor(None, sys.stdin.readline)).strip():
        figures = {
            "granted": sum(one.it.view().standing is Standing.GRANTED for one in them),
            "in": sum(one.it.gauges()["follow.bytes_in"] for one in them),
            "out": sum(one.it.gauges()["follow.bytes_out"] for one in them),
            "cpu": time.process_time(), "used": used}
        print(json.dumps(figures), flush=True)
    for one in them:
        await one.it.stop()


class Fleet:
    """The processes of followers."""

    def __init__(self, port: int, count: int) -> None:
        self.count = count
        self.processes = [subprocess.Popen(
            [sys.executable, __file__, "--follow", str(port), str(first),
             str(min(FOLLOWERS_EACH, count - first))],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            for first in range(0, count, FOLLOWERS_EACH)]

    async def figures(self) -> dict[str, Any]:
        found = [await asyncio.to_thread(self._ask, process) for process in self.processes]
        used: dict[str, int] = {}
        for one in found:
            for key, at in one["used"].items():
                used[key] = max(at, used.get(key, 0))
        sums = {key: sum(one[key] for one in found) for key in ("granted", "in", "out", "cpu")}
        return sums | {"used": used}

    def _ask(self, process: subprocess.Popen[str]) -> Any:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write("figures\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    def end(self) -> None:
        for process in self.processes:
            process.communicate("\n")


def quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def measure(count: int, seconds: float, changes: int) -> None:
    async with StandIn() as store:
        told = AgreementSettings(store=(store.address,), prefix="/b", name="c", contradiction_s=BOUND_S)
        office = Office(told, monotonic_us, unix_us)

        async def ads(context: Context) -> None:
            first = await next_message(context)
            if first is not None and office.serves(read_delta_request(first)):
                await office.serve(context, first)
        grpc_server = server({(ADS, "DeltaAggregatedResources"): ads}, {})
        port = listen(grpc_server, "127.0.0.1", 0)
        await grpc_server.start()
        await office.start()
        while not office.issuer.leading:
            await asyncio.sleep(0.05)
        office.pictured(picture(0))
        fleet = Fleet(port, count)
        try:
            while (await fleet.figures())["granted"] < count:
                await asyncio.sleep(0.5)
            before, own = await fleet.figures(), time.process_time()
            await asyncio.sleep(seconds)
            after, own = await fleet.figures(), time.process_time() - own
            each = count * seconds
            print(f"{count:5} followers: {(after['out'] - before['out']) / each:6.0f} B/s sent and "
                  f"{(after['in'] - before['in']) / each:6.0f} B/s read by each, "
                  f"{(after['cpu'] - before['cpu']) / each * 1e3:6.2f} ms of CPU a second each; the control "
                  f"service {own / seconds * 1e3:7.1f} ms a second", flush=True)
            renewals = (after["in"] - before["in"]) / seconds
            began, in_force, proposed = time.monotonic(), list[float](), dict[int, int]()
            for drained in range(1, changes + 1):
                proposed[drained], force = monotonic_us(), office.issuer.force
                office.pictured(picture(drained))
                while office.issuer.force is force:
                    await asyncio.sleep(0.002)
                in_force.append((monotonic_us() - proposed[drained]) / 1e3)
                await asyncio.sleep(0.1)
            took = time.monotonic() - began
            last = await fleet.figures()
            used = [(last["used"][str(drained)] - at) / 1e3 for drained, at in proposed.items()
                    if str(drained) in last["used"]]
            size = (last["in"] - after["in"] - renewals * took) / changes / count
            print(f"      {changes} drains among {NODES} nodes: in force after p50 "
                  f"{quantile(in_force, 0.5):.0f}, p99 {quantile(in_force, 0.99):.0f} ms; kept to by the "
                  f"last after p50 {quantile(used, 0.5):.0f}, p99 {quantile(used, 0.99):.0f} ms; "
                  f"{size:.0f} B read by each for a change", flush=True)
        finally:
            fleet.end()
            await office.stop()
            await grpc_server.stop(0)


def main() -> None:
    if sys.argv[1:2] == ["--follow"]:
        logging.disable(logging.CRITICAL)
        asyncio.run(followers(*map(int, sys.argv[2:5])))
        return
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--followers", type=int, nargs="+", default=[12, 200])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--changes", type=int, default=20)
    told = parser.parse_args()
    for count in told.followers:
        asyncio.run(measure(count, told.seconds, told.changes))


if __name__ == "__main__":
    main()
