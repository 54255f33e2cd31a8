"""What following costs in bytes: one drain at growing fleets, one renewal; and what the codec takes.

    python benchmarks/following.py [--nodes 12,200,1000,10000]

Bytes are those of the messages, without gRPC's and HTTP/2's own.  `whole` is the list as one resource, as
proxies get it.
"""

from __future__ import annotations

import argparse
import time
from dataclasses import replace

from roadlb.agreement.events import (
    Ask,
    Contents,
    Heard,
    Lease,
    Memory,
    Prepare,
    Pulse,
    Restarted,
    Tell,
    Version,
    VersionId,
)
from roadlb.agreement.follower import Follower
from roadlb.agreement.lease import Timing
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId
from roadlb.xds.client.events import Came, Opened, Send
from roadlb.xds.client.link import Hears, Link, Say
from roadlb.xds.codec.assignment import write_assignment
from roadlb.xds.codec.discovery import read_delta_response, write_delta_request, write_delta_response
from roadlb.xds.codec.versions import (
    LEASES,
    PARTS,
    PREPARED,
    STRUCT,
    PartsReader,
    VersionWriter,
    ask_name,
    write_lease,
    write_prepared,
)
from roadlb.xds.messages import DeltaRequest, DeltaResponse
from roadlb.xds.resources import Resource

SETTINGS = {
    f"classes.{i}.{key}": "100000"
    for i in range(6)
    for key in ("name", "promise_us", "deadline_us", "value", "late_worth", "window_us")
}
ID = VersionId(5 << 40 | 1_234, 8)


def contents(endpoints: list[Endpoint]) -> Contents:
    return Contents(SETTINGS, {"grid": Cluster("grid", tuple(endpoints))})


def response(*resources: Resource) -> int:
    first = resources[0]
    return len(write_delta_response(DeltaResponse(first.type_url, first.version, "12", resources)))


def drain(nodes: int) -> None:
    endpoints = [
        Endpoint(
            NodeId(f"node-{i}", 1_790_000_000_000 + i),
            f"10.{i // 250}.0.{i % 250}",
            9000,
            Locality(zone=f"hall-{i % 3}"),
            weight=1.0 + 0.5 * (i % 3),
            machine="m1",
            cell=i % 40,
        )
        for i in range(nodes)
    ]
    writer, reader, times = VersionWriter(), PartsReader(), []
    before: dict[tuple[str, str], bytes] = {}
    for step in (None, nodes // 2):
        if step is not None:
            endpoints[step] = replace(endpoints[step], lifecycle=Lifecycle.DRAINING)
        told = contents(endpoints)
        began = time.perf_counter()
        parts = writer.write(told)
        written = time.perf_counter()
        reader.contents(parts)
        times += [(written - began) * 1e3, (time.perf_counter() - written) * 1e3]
        changed = [Resource.make(*key, body, 8) for key, body in parts.items() if before.get(key) != body]
        before = parts
    prepared = Resource.make(STRUCT, PREPARED, write_prepared(Prepare(5, Version(ID, told)), parts), 8)
    size = response(*(one for one in changed if one.type_url == PARTS)) + response(prepared)
    whole = len(write_assignment(told.clusters["grid"]))
    print(
        f"{nodes:>6} nodes  {len(parts):>4} resources  a drain {size:>6} B ({response(prepared)} B of it "
        f"`prepared`)  whole {whole:>8} B  write {times[0]:6.1f} ms, a drain {times[2]:5.2f} ms  "
        f"read {times[1]:6.1f} ms, a drain {times[3]:5.2f} ms"
    )


def renewal() -> None:
    ask = Ask(1 << 45, 123_456, ID.epoch, ID, ID)
    name = ask_name(ask)
    lease = Lease(ID.epoch, ID, ask.life, ask.number, 4_000_000)
    asked = len(write_delta_request(DeltaRequest(LEASES, (name,), (name,))))
    answered = response(Resource.make(LEASES, name, write_lease(lease), 8, 4_000_000))
    ack = len(write_delta_request(DeltaRequest(LEASES, response_nonce="123456")))
    print(f"a renewal: asked {asked} B, answered {answered} B, accepted {ack} B: {asked + answered + ack} B")


def renewal_cpu(count: int = 2_000) -> None:
    """Decider, machine and codec of one follower, without gRPC: CPU of an `Ask` and its `Lease`."""
    link, follower, now = Link("n1"), Follower(Timing()), 0
    told = Version(ID, contents([]))
    link.handle(0, Opened())
    follower.handle(0, Restarted(7, Memory(ID.epoch, ID, told, told.contents)))
    began = time.process_time()
    for i in range(count):
        now += 1_000_000
        [ask] = [
            a.message
            for a in follower.handle(now, Pulse())
            if isinstance(a, Tell) and isinstance(a.message, Ask)
        ]
        lease = Lease(ID.epoch, ID, ask.life, ask.number, 4_000_000)
        out = link.handle(now, Say(ask))
        answer = Resource.make(LEASES, ask_name(ask), write_lease(lease), 8, 4_000_000)
        data = write_delta_response(DeltaResponse(LEASES, "", str(i + 1), (answer,)))
        for action in (*out, *link.handle(now, Came(read_delta_response(data)))):
            if isinstance(action, Send):
                write_delta_request(action.request)
            elif isinstance(action, Hears):
                follower.handle(now, Heard(lease))
        assert follower.granted(now)
    spent = (time.process_time() - began) / count * 1e6
    print(f"a renewal: {spent:.0f} us of CPU, the answer's writing included, gRPC not")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--nodes", default="12,200,1000,10000")
    for nodes in parser.parse_args().nodes.split(","):
        drain(int(nodes))
    renewal()
    renewal_cpu()


if __name__ == "__main__":
    main()
