"""What the agreement costs end to end: renewals' bytes and CPU of a balancer, and a change's time and bytes.

    PYTHONPATH=. python benchmarks/agreement_cost.py [--followers 12 200] [--nodes 1000] [--changes 20]

One control service over the stand-in store issues to so many followers over real gRPC on loopback; the
followers are `Following` as balancers run it, without a disk, FOLLOWERS_EACH to a process, which share
one HTTP/2 connection; PROCESSES_JOINING begin once those before them have leases.  Figures: bytes of
messages of a follower a second while nothing changes, its share of its process's CPU, the control service's
CPU, and for each of the drains of one node in `--nodes`, each begun when the last follower keeps to the one
before, the time from the proposal to in force at the issuer and to its use by the last follower.  What the
control service warned of meanwhile is told as well.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import subprocess
import sys
import time
from collections import Counter
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

FOLLOWERS_EACH, PROCESSES_JOINING, BOUND_S = 50, 4, 5.0
SETTINGS = json.loads((Path(__file__).parent.parent / "examples" / "config.json").read_text())["settings"]


def picture(nodes: int, drained: int) -> Picture:
    """The first `drained` drain."""
    return Picture(
        drained + 1,
        {
            "grid": Cluster(
                "grid",
                tuple(
                    Endpoint(
                        NodeId(f"node-{i:04}", 1_790_000_000_000),
                        f"10.0.{i // 250}.{i % 250}",
                        9_000,
                        Locality(zone=f"hall-{i % 3}"),
                        Lifecycle.DRAINING if i < drained else Lifecycle.UP,
                    )
                    for i in range(nodes)
                ),
            )
        },
    )


async def followers(port: int, first: int, count: int) -> None:
    """A process of followers: a word on stdin, a line of figures on stdout."""
    used: dict[int, int] = {}  # by how many nodes drain: when the last follower used it

    class One:
        def __init__(self, number: int) -> None:
            told = read_agreement(
                {"control": [f"127.0.0.1:{port}"], "contradiction_s": BOUND_S},
                Pairs.from_json(SETTINGS).values,
            )
            self.it = Following(
                told,
                f"n{first + number}",
                number,
                monotonic_us,
                unix_us,
                Counters(),
                self.lead,
                lambda _: None,
                lambda _: None,
                dial,
                None,
            )
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
            "least": min(len(one.drained) for one in them),
            "granted": sum(one.it.view().standing is Standing.GRANTED for one in them),
            "in": sum(one.it.gauges()["follow.bytes_in"] for one in them),
            "out": sum(one.it.gauges()["follow.bytes_out"] for one in them),
            "cpu": time.process_time(),
            "used": used,
        }
        print(json.dumps(figures), flush=True)
    for one in them:
        await one.it.stop()


class Fleet:
    """The processes of followers."""

    def __init__(self, port: int) -> None:
        self.port, self.processes = port, list[subprocess.Popen[str]]()

    async def join(self, count: int) -> None:
        """So many processes at a time: the next begin once those before them have leases."""
        while (there := len(self.processes) * FOLLOWERS_EACH) < count:
            for first in range(there, min(count, there + PROCESSES_JOINING * FOLLOWERS_EACH), FOLLOWERS_EACH):
                self.processes.append(
                    subprocess.Popen(
                        [
                            sys.executable,
                            __file__,
                            "--follow",
                            str(self.port),
                            str(first),
                            str(min(FOLLOWERS_EACH, count - first)),
                        ],
                        stdin=subprocess.PIPE,
                        stdout=subprocess.PIPE,
                        text=True,
                    )
                )
            there = min(count, len(self.processes) * FOLLOWERS_EACH)
            while (await self.figures())["granted"] < there:
                await asyncio.sleep(0.2)

    async def figures(self) -> dict[str, Any]:
        found = [await asyncio.to_thread(self._ask, process) for process in self.processes]
        used: dict[str, int] = {}
        for one in found:
            for key, at in one["used"].items():
                used[key] = max(at, used.get(key, 0))
        sums = {key: sum(one[key] for one in found) for key in ("granted", "in", "out", "cpu")}
        return sums | {"used": used, "least": min(one["least"] for one in found)}

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


async def measure(count: int, nodes: int, seconds: float, changes: int) -> None:
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
        office.pictured(picture(nodes, 0))
        fleet, joining = Fleet(port), time.monotonic()
        try:
            await fleet.join(count)
            print(f"{count:5} followers joined in {time.monotonic() - joining:.0f} s", flush=True)
            before, own = await fleet.figures(), time.process_time()
            await asyncio.sleep(seconds)
            after, own = await fleet.figures(), (time.process_time() - own) / seconds
            renewals = {key: (after[key] - before[key]) / seconds for key in ("in", "out", "cpu")}
            print(
                f"      renewals: {renewals['out'] / count:.0f} B/s sent and {renewals['in'] / count:.0f} "
                f"B/s read by each, {renewals['cpu'] / count * 1e3:.2f} ms of CPU a second each; the "
                f"control service {own * 1e3:.1f} ms a second; {after['granted']} leases",
                flush=True,
            )
            began, own_before = time.monotonic(), time.process_time()
            in_force, used = list[float](), list[float]()
            for drained in range(1, changes + 1):
                at, force = monotonic_us(), office.issuer.force
                office.pictured(picture(nodes, drained))
                while office.issuer.force is force:
                    await asyncio.sleep(0.002)
                in_force.append((monotonic_us() - at) / 1e3)
                while (now := await fleet.figures())["least"] < drained:
                    await asyncio.sleep(0.2)
                used.append((now["used"][str(drained)] - at) / 1e3)
                print(
                    f"      drain {drained}: in force after {in_force[-1]:.0f} ms, kept to by the last "
                    f"after {used[-1]:.0f} ms; {now['granted']} leases",
                    flush=True,
                )
            took = time.monotonic() - began
            last, own_last = await fleet.figures(), time.process_time() - own_before
            size, cpu = (
                (last[key] - after[key] - renewals[key] * took) / changes / count for key in ("in", "cpu")
            )
            print(
                f"      {changes} drains among {nodes} nodes, one after another: in force after p50 "
                f"{quantile(in_force, 0.5):.0f}, p99 {quantile(in_force, 0.99):.0f} ms; kept to by the "
                f"last after p50 {quantile(used, 0.5):.0f}, p99 {quantile(used, 0.99):.0f} ms; "
                f"{size:.0f} B read by each and {cpu * 1e3:.1f} ms of CPU of each for a change; the "
                f"control service {(own_last - own * took) / changes * 1e3:.0f} ms",
                flush=True,
            )
        finally:
            fleet.end()
            await office.stop()
            await grpc_server.stop(0)


class Warned(logging.Handler):
    """What the control service warned of, and how often."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.counts = Counter[str]()

    def emit(self, record: logging.LogRecord) -> None:
        said = vars(record).get("fields", {})
        self.counts[" ".join((record.getMessage(), str(said.get("reason") or said.get("error") or "")))] += 1


def main() -> None:
    if sys.argv[1:2] == ["--follow"]:
        logging.disable(logging.CRITICAL)
        asyncio.run(followers(*map(int, sys.argv[2:5])))
        return
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--followers", type=int, nargs="+", default=[12, 200])
    parser.add_argument("--nodes", type=int, default=1_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--changes", type=int, default=20)
    told = parser.parse_args()
    logging.getLogger().addHandler(warned := Warned())
    warnings = warned.counts
    for count in told.followers:
        warnings.clear()
        asyncio.run(measure(count, told.nodes, told.seconds, told.changes))
        print(f"      warned of: {', '.join(f'{what} {n}' for what, n in warnings.items()) or 'nothing'}")


if __name__ == "__main__":
    main()
