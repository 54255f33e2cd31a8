"""One drain told to N subscribers of M endpoints: time to the last receipt, CPU, bytes, memory.

    python benchmarks/control_service.py [--subscribers 10 100 1000] [--endpoints 1000] [--changes 10]

The service runs in one process, the subscribers in another, each with a connection of its own; both read the
same monotonic clock.  Discovery tells of it in the service's process, at a cost that is part of the figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import TypeVar

import grpc
import grpc.aio
import uvloop

sys.path[:0] = [str(Path(__file__).parents[1]), str(Path(__file__).parents[1] / "tests" / "control_service")]

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
METHODS = {"sotw": "StreamAggregatedResources", "delta": "DeltaAggregatedResources"}
WAIT_S = 60
T = TypeVar("T")


class Subscriber:
    """One stream, which answers all it is sent; `receipts`: when endpoints came, and their bytes."""

    def __init__(self, name: str, variant: str, agent: str) -> None:
        from roadlb.xds.messages import DeltaRequest, DiscoveryRequest, Node
        from roadlb.xds.resources import CLUSTER, ENDPOINTS

        self.node, self.variant = Node(name, user_agent_name=agent), variant
        self.kind = DiscoveryRequest if variant == "sotw" else DeltaRequest
        self.types, self.endpoints = (CLUSTER, ENDPOINTS), ENDPOINTS
        self.receipts: list[tuple[float, int]] = []
        self.names = {CLUSTER: ("*",), ENDPOINTS: ("grid",)}

    async def run(self, port: int) -> None:
        from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryResponse, DiscoveryResponse
        from roadlb.xds.codec.discovery import write_delta_request, write_request

        kind = DiscoveryResponse if self.variant == "sotw" else DeltaDiscoveryResponse
        write = write_request if self.variant == "sotw" else write_delta_request
        options = (("grpc.use_local_subchannel_pool", 1), ("grpc.max_receive_message_length", -1))
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options) as channel:
            call = channel.stream_stream(ADS + METHODS[self.variant])()
            for type_url in self.types:
                await call.write(write(self.kind(type_url, self.names[type_url], node=self.node)))
            while (data := await call.read()) is not grpc.aio.EOF:
                at, response = time.monotonic(), kind.FromString(data)
                if response.type_url == self.endpoints:
                    self.receipts.append((at, len(data)))
                if self.variant == "sotw":
                    answer = self.kind(
                        response.type_url,
                        self.names[response.type_url],
                        response.version_info,
                        response.nonce,
                    )
                else:
                    answer = self.kind(response.type_url, response_nonce=response.nonce)
                await call.write(write(answer))


async def subscribe(port: int, count: int, variant: str, agent: str) -> None:
    """The subscribers' process: a line in asks for what came since the last line, a line out tells it."""
    subscribers = [Subscriber(f"p{i}", variant, agent) for i in range(count)]
    tasks = [asyncio.create_task(s.run(port)) for s in subscribers]
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        end = time.monotonic() + WAIT_S
        while not all(s.receipts for s in subscribers) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        print(json.dumps([s.receipts for s in subscribers]), flush=True)
        for s in subscribers:
            s.receipts = []
    for task in tasks:
        task.cancel()


def rss_mb() -> float:
    return int(re.search(r"VmRSS:\s+(\d+)", Path("/proc/self/status").read_text())[1]) / 1024


async def measure(count: int, endpoints: int, changes: int, variant: str, agent: str) -> dict[str, float]:
    """The service's process."""
    from grid_parties import platform, service, until

    entries = {
        f"node-{i:05d}": {"hostPort": f"10.0.{i // 250}.{i % 250 + 1}:8080", "zone": f"hall-{i % 3}"}
        for i in range(endpoints)
    }
    async with platform(**entries) as told, service(told, plan_gap_s=1.0) as control:
        await until(lambda: control.serving, "published")
        empty = rss_mb()
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            __file__,
            "--child",
            str(control.port),
            str(count),
            variant,
            agent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=1 << 24,
        )

        async def receipts() -> list[list[tuple[float, int]]]:
            child.stdin.write(b"\n")
            return json.loads(await child.stdout.readline())

        began, used = time.monotonic(), time.process_time()
        first = await receipts()
        joined = max(at for got in first for at, _ in got) - began
        known = control.subscribers.known
        await until(lambda: sum(s.generation >= 1 for s in known.values()) == count, "acked")
        join_cpu = time.process_time() - used
        full, times, last, size, cpu = rss_mb(), [], [], [], []
        for i in range(changes):
            await asyncio.sleep(0.3)
            at, used = time.monotonic(), time.process_time()
            told.tell(**{f"node-{i:05d}": {"lifecycle": "draining"}})
            got = await receipts()
            await until(lambda: all(s.generation >= told.generation for s in known.values()), "acked")
            cpu.append(time.process_time() - used)
            took = [one[0][0] - at for one in got]
            times += took
            last.append(max(took))
            size.append(statistics.mean(sum(n for _, n in one) for one in got))
        child.stdin.close()
        await child.wait()
        cuts = statistics.quantiles(times, n=100)
        return {
            "p50 ms": cuts[49] * 1e3,
            "p99 ms": cuts[98] * 1e3,
            "last ms": max(last) * 1e3,
            "CPU ms": statistics.mean(cpu) * 1e3,
            "KB each": statistics.mean(size) / 1e3,
            "join s": joined,
            "join CPU s": join_cpu,
            "KB/subscriber": (full - empty) * 1024 / count,
        }


def run(what: Coroutine[None, None, T]) -> T:
    """On the loop on which the program runs."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(what)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--subscribers", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--endpoints", type=int, nargs="+", default=[1000])
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--agent", default="envoy", help="the form: envoy, grpc or another")
    parser.add_argument("--case", nargs=3, help=argparse.SUPPRESS)
    parser.add_argument("--child", nargs=4, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        port, count, variant, agent = options.child
        run(subscribe(int(port), int(count), variant, agent))
        return
    if options.case:  # a process of its own, so that memory is told from a fresh heap
        endpoints, count, variant = options.case
        found = run(measure(int(count), int(endpoints), options.changes, variant, options.agent))
        print(json.dumps(found))
        return
    cases = [
        (str(endpoints), str(count), variant)
        for endpoints in options.endpoints
        for count in options.subscribers
        for variant in METHODS
    ]
    for i, case in enumerate(cases):
        command = [sys.executable, __file__, "--changes", str(options.changes), "--agent", options.agent]
        done = subprocess.run(
            [*command, "--case", *case], check=True, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        found = json.loads(done.stdout)
        if not i:
            print("endpoints subscribers variant " + " ".join(f"{key:>13}" for key in found))
        print(
            f"{case[0]:>9} {case[1]:>11} {case[2]:7} "
            + " ".join(f"{value:13.1f}" for value in found.values()),
            flush=True,
        )


if __name__ == "__main__":
    os.environ["NO_PROXY"] = "*"
    main()
