"""What the codec of endpoints costs: each way for each endpoint, one change, memory, bytes.

    python -m benchmarks.codec [--rounds 5]

All figures of a run are from one process; the ratios between its lines are what to compare between versions.
Foreign messages are such as other control planes make: weights as told, a namespace and an unknown field.
"""

from __future__ import annotations

import argparse
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from types import MappingProxyType

from roadlb.fleet.diff import changes
from roadlb.fleet.model import Cluster, Endpoint, Lifecycle, Locality, NodeId, Picture
from roadlb.fleet.steps import check_step
from roadlb.xds.codec.assignment import AssignmentWriter, read_assignment, write_assignment
from roadlb.xds.codec.protos import ClusterLoadAssignment, held, parsed

SIZES = (10, 100, 1_000, 10_000)


def fleet(size: int) -> Cluster:
    """Nodes as the platform tells them, in three halls."""
    halls = [Locality("zilina", zone) for zone in "abc"]
    return Cluster(
        "grid",
        tuple(
            Endpoint(
                NodeId(f"s-{i:08x}", 1_790_000_000_000 + i),
                f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}",
                8080,
                halls[i * 3 // size],
                weight=1.0,
                machine="m2",
                cell=i % 7,
            )
            for i in range(size)
        ),
    )


def foreign(cluster: Cluster) -> bytes:
    """The same list as others would send it, with an unknown field on each endpoint."""
    message = parsed(ClusterLoadAssignment, write_assignment(cluster))
    for group in message.endpoints:
        group.ClearField("metadata")
        for line in group.lb_endpoints:
            line.ClearField("metadata")
            line.metadata.filter_metadata["envoy.lb"].fields["canary"].bool_value = True
            line.MergeFromString(b"\xf8\x7c\x01")
    return held(message)


def best(work: Callable[[], object], rounds: int) -> float:
    """Seconds of CPU of the best of some rounds."""
    taken = []
    for _ in range(rounds):
        gc.collect()
        start = time.process_time()
        work()
        taken.append(time.process_time() - start)
    return min(taken)


def memory(work: Callable[[], object]) -> int:
    """Bytes that the result of `work` holds."""
    gc.collect()
    tracemalloc.start()
    kept = work()
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return found


def one_change(cluster: Cluster, rounds: int) -> tuple[float, float, float]:
    """Median seconds for one changed endpoint: its new bytes, the difference, the checks of the step."""
    writer = AssignmentWriter()
    writer.write(cluster)
    written, told, checked = [], [], []
    for i in range(max(rounds, 5)):
        at = i * 7919 % len(cluster.endpoints)
        lifecycle = Lifecycle.DRAINING if cluster.endpoints[at].lifecycle is Lifecycle.UP else Lifecycle.UP
        endpoints = list(cluster.endpoints)
        endpoints[at] = replace(endpoints[at], lifecycle=lifecycle)
        new = replace(cluster, endpoints=tuple(endpoints))
        old_picture = Picture(i, MappingProxyType({"grid": cluster}))
        new_picture = Picture(i + 1, MappingProxyType({"grid": new}))
        a = time.process_time()
        writer.write(new)
        b = time.process_time()
        difference = changes(old_picture, new_picture)
        c = time.process_time()
        check_step(old_picture, new_picture, difference)
        d = time.process_time()
        written.append(b - a)
        told.append(c - b)
        checked.append(d - c)
        cluster = new
    return statistics.median(written), statistics.median(told), statistics.median(checked)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    print("us of CPU for each endpoint, bytes of each; foreign: as others make them; one change: us of all\n")
    print(f"{'':>9} |{'own list':^35} |{'foreign':^26} |{'one change':^35}")
    print(
        f"{'endpoints':>9} |{'encode':>8} {'decode':>8} {'bytes':>8} {'memory':>8} |{'decode':>8} "
        f"{'encode':>8} {'memory':>8} |{'encode':>8} {'of all':>8} {'diff':>8} {'checks':>8}"
    )
    for size in SIZES:
        cluster = fleet(size)
        data = write_assignment(cluster)
        others = foreign(cluster)
        theirs = read_assignment(others)
        encode = best(lambda: write_assignment(cluster), rounds)  # noqa: B023
        decode = best(lambda: read_assignment(data), rounds)  # noqa: B023
        decode_theirs = best(lambda: read_assignment(others), rounds)  # noqa: B023
        encode_theirs = best(lambda: write_assignment(theirs), rounds)  # noqa: B023
        held_bytes = memory(lambda: read_assignment(data))  # noqa: B023
        held_theirs = memory(lambda: read_assignment(others))  # noqa: B023
        write, differ, check = one_change(cluster, rounds)
        each = 1e6 / size
        print(
            f"{size:9} |{encode * each:8.1f} {decode * each:8.1f} {len(data) / size:8.0f} "
            f"{held_bytes / size:8.0f} |{decode_theirs * each:8.1f} {encode_theirs * each:8.1f} "
            f"{held_theirs / size:8.0f} |{write * 1e6:8.0f} {write / encode:8.3f} {differ * 1e6:8.0f} "
            f"{check * 1e6:8.0f}"
        )


if __name__ == "__main__":
    main()
