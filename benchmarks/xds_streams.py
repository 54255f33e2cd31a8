"""xDS stream machines: CPU, bytes and memory of one change, state of the world beside incremental.

    python benchmarks/xds_streams.py [--subscribers 10,100,1000] [--endpoints 1000] [--per-cluster 1000,10,1]

No network and no protobuf: responses are built, framed (`xds/framing.py`) and answered in one process.  Each
subscriber wants all clusters, and the endpoints of each by name.  The change is one endpoint's weight, so
that one assignment is new, or one cluster's settings, after which its endpoints are due again.  `CPU` is the
process's time from publishing to the last answer, framing left out, the median of some changes; `bytes` are
those of the frames; `memory` is what a stream holds when all is answered (tracemalloc), `most` the same while
its first responses wait for an answer.
"""

from __future__ import annotations

import argparse
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from gc import collect
from itertools import product
from pathlib import Path
from statistics import median
from time import process_time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from roadlb.xds.delta import DeltaStream  # noqa: E402
from roadlb.xds.framing import frame  # noqa: E402
from roadlb.xds.messages import (  # noqa: E402
    Asked,
    DeltaRequest,
    DiscoveryRequest,
    Event,
    Node,
    Published,
    Ready,
    Request,
    Respond,
    Response,
)
from roadlb.xds.resources import CLUSTER, ENDPOINTS, Resource, Snapshot  # noqa: E402
from roadlb.xds.sotw import SotwStream  # noqa: E402
from roadlb.xds.stream import Stream  # noqa: E402

CLUSTER_BYTES, ENDPOINT_BYTES = 200, 60  # of Envoy's messages for our nodes, about
CHANGES = 7


@dataclass
class Proxy:
    """A subscriber that answers everything, and its stream."""

    stream: Stream
    sotw: bool
    names: tuple[str, ...]
    version: str = ""
    responses: int = 0

    def tell(self, event: Event, answer: bool = True, taken: Callable[[Response], object] = id) -> None:
        events = [event]
        while events:
            for action in self.stream.handle(0, events.pop(0)):
                if isinstance(action, Respond):
                    taken(action.response)
                    self.responses += 1
                    events.append(Ready())
                    if answer:
                        events.append(Asked(self.answer(action.response)))

    def answer(self, response: Response) -> Request:
        names = self.names if response.type_url == ENDPOINTS else ()
        if self.sotw:
            return DiscoveryRequest(response.type_url, names, response_nonce=response.nonce)
        return DeltaRequest(response.type_url, response_nonce=response.nonce)

    def open(self, answer: bool) -> None:
        kind = DiscoveryRequest if self.sotw else DeltaRequest
        self.tell(Asked(kind(CLUSTER, node=Node("proxy"))), answer)
        self.tell(Asked(kind(ENDPOINTS, self.names)), answer)


def fleet(endpoints: int, per_cluster: int) -> Snapshot:
    names = [f"cluster-{n:05d}" for n in range(endpoints // per_cluster)]
    return Snapshot.of(
        1,
        [
            *(Resource.make(CLUSTER, name, name.encode().ljust(CLUSTER_BYTES), 1) for name in names),
            *(
                Resource.make(ENDPOINTS, name, name.encode().ljust(per_cluster * ENDPOINT_BYTES), 1)
                for name in names
            ),
        ],
    )


def measure(
    sotw: bool, subscribers: int, endpoints: int, per_cluster: int, type_url: str
) -> dict[str, float]:
    snapshot = fleet(endpoints, per_cluster)
    names = [resource.name for resource in snapshot.collections[CLUSTER].resources]
    kind = SotwStream if sotw else DeltaStream
    few = min(subscribers, 50)  # tracemalloc is slow, and streams do not know of each other

    def start(count: int, answer: bool) -> list[Proxy]:
        started = [
            Proxy(kind(snapshot), sotw, tuple(name[:1] + name[1:] for name in names)) for _ in range(count)
        ]
        for proxy in started:
            proxy.open(answer)
        return started

    memory = []
    for answer in (True, False):
        collect()
        tracemalloc.start()
        kept = start(few, answer)
        for proxy in kept:
            proxy.names = ()  # the subscriber's own copy is not the stream's
        collect()
        memory.append(tracemalloc.get_traced_memory()[0] / few)
        tracemalloc.stop()
        del kept
    proxies = start(subscribers, True)
    times, bytes_each = [], 0
    for change in range(2, 2 + CHANGES):
        name = names[change * 7 % len(names)]
        size = per_cluster * ENDPOINT_BYTES if type_url == ENDPOINTS else CLUSTER_BYTES
        body = f"{name} {change}".encode().ljust(size)
        began = process_time()
        snapshot = snapshot.next(change, [Resource.make(type_url, name, body, change)])
        published = process_time() - began
        sent: list[Response] = []
        began = process_time()
        for proxy in proxies:
            proxy.tell(Published(snapshot), taken=sent.append)
        times.append(process_time() - began + published)
        assert len(sent) == subscribers * (1 if type_url == ENDPOINTS else 2)
        bytes_each = sum(len(frame(response)) for response in sent[: len(sent) // subscribers])
    return {
        "cpu_ms": median(times) * 1e3,
        "us_each": median(times) * 1e6 / subscribers,
        "bytes": bytes_each,
        "memory": memory[0],
        "most": memory[1],
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--subscribers", default="10,100,1000")
    parser.add_argument("--endpoints", type=int, default=1000)
    parser.add_argument("--per-cluster", default="1000,10,1")
    args = parser.parse_args()
    print(
        "| clusters | change | subscribers | variant | CPU, ms | us each "
        "| bytes each | memory, KB | most, KB |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for per_cluster in map(int, args.per_cluster.split(",")):
        for subscribers in map(int, args.subscribers.split(",")):
            for change, sotw in product((ENDPOINTS, CLUSTER), (True, False)):
                found = measure(sotw, subscribers, args.endpoints, per_cluster, change)
                print(
                    f"| {args.endpoints // per_cluster} "
                    f"| {'endpoint' if change == ENDPOINTS else 'cluster'} | {subscribers} "
                    f"| {'state of the world' if sotw else 'incremental'} "
                    f"| {found['cpu_ms']:.1f} "
                    f"| {found['us_each']:.0f} | {found['bytes']} | {found['memory'] / 1024:.1f} "
                    f"| {found['most'] / 1024:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
