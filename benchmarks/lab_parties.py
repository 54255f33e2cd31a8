"""What the rehearsal's parties cost on one core: model events, wishes, and requests through a GridNode.

    python benchmarks/lab_parties.py

Each figure stands beside a yardstick measured in the same run (a bare loop, or a server that answers the same
bytes without reading them), so that runs on different machines can be compared by the ratio.
"""

import asyncio
import heapq
import time
from random import Random

import uvloop

from roadlb.lab.model.classes import ClassSpec, Habits
from roadlb.lab.model.events import Connected, Disconnected, Request, Tick, WakeAt
from roadlb.lab.model.keys import Keys
from roadlb.lab.model.node import NodeModel
from roadlb.lab.model.shapes import Steady
from roadlb.lab.model.spec import NodeSpec
from roadlb.lab.model.traffic import Traffic
from roadlb.lab.parties.grid_node import GridNode
from roadlb.lab.parties.http import write_answer, write_request
from roadlb.lab.wire import WireLog

REQUESTS, CALLERS = 30_000, 20
CLASSES = [ClassSpec("grid-read", 0.7, 15_000, work_cv=2.0), ClassSpec("order", 0.3, 95_000, "pareto", 2.0)]
SPEC = NodeSpec(
    cores=2,
    slots=2,
    room=40,
    choke=0.1,
    cache_keys=60,
    cache_us=8_000_000,
    cache_gain=0.5,
    work_noise=0.3,
    report_period_us=200_000,
    report_delay_us=50_000,
    report_noise=0.1,
    connection_work_us=1_500,
    table_tax=0.1,
)


def yardstick(count: int = 300_000) -> float:
    """Pushes and pops of a small heap a second: what an event costs at the very least."""
    heap: list[tuple[int, int]] = []
    began = time.perf_counter()
    for n in range(count):
        heapq.heappush(heap, (n * 7919 % 1000, n))
        if len(heap) > 20:
            heapq.heappop(heap)
    return count / (time.perf_counter() - began)


def wishes_per_s() -> tuple[float, list]:
    # 35 a second of 39 ms mean work on two cores of speed 1: a load of 0.68 before the keys' savings.
    traffic = Traffic(Steady(35), CLASSES, [], Keys(1_000, 1.0, Random(1)), Habits(), Random(2))
    began = time.perf_counter()
    wishes = [traffic.next(10**15) for _ in range(REQUESTS)]
    return REQUESTS / (time.perf_counter() - began), wishes


def events_per_s(wishes: list, spec: NodeSpec) -> float:
    node, wake, events = NodeModel(spec, Random(3), 0, warm=True), None, 0
    connections = iter(range(1, 10**9))
    began = time.perf_counter()

    def tell(now, event):
        nonlocal wake, events
        events += 1
        for action in node.handle(now, event):
            if type(action) is WakeAt:
                wake = action.at

    for wish in wishes:
        while wake is not None and wake <= wish.due:
            at, wake = wake, None
            tell(at, Tick())
        number = next(connections)
        tell(wish.due, Connected(number))
        tell(wish.due, Request(number, "0" * 16, wish.work_us, wish.key, 2_000_000))
        if number > 200:
            tell(wish.due, Disconnected(number - 200))
    return events / (time.perf_counter() - began)


class Caller(asyncio.Protocol):
    def __init__(self, left: list[int], done: asyncio.Future, request: bytes) -> None:
        self.left, self.done, self.request = left, done, request

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data):
        if data.endswith(b"\n"):  # bodies end so, and nothing else does
            self.left[0] -= 1
            if self.left[0] > 0:
                self.transport.write(self.request)
            elif not self.done.done():
                self.done.set_result(None)


class Bare(asyncio.Protocol):
    ANSWER = write_answer(200, [("X-Backend-Load", "eps=0,queue=0")], b"a" * 599 + b"\n")

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(self.ANSWER)


async def requests_per_s(bare: bool) -> float:
    loop = asyncio.get_running_loop()
    if bare:
        server = await loop.create_server(Bare, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
    else:
        spec = NodeSpec(cores=64, slots=64, report_period_us=200_000)
        node = GridNode(
            "g",
            spec,
            Random(1),
            WireLog(),
            lambda: time.monotonic_ns() // 1000,
            lambda: time.time_ns() // 10**6,
            warm=True,
            body_bytes=1,
        )
        await node.start({"n0": ("127.0.0.1", 0)})
        address = node.addresses["n0"]
    request = write_request(
        "GET",
        "/grid-read/f01?w=0",
        [("Host", "backend.local"), ("X-Correlation-Id", "0" * 16), ("X-Time-Left", "0.5")],
    )
    left, done = [REQUESTS], loop.create_future()
    began = time.perf_counter()
    for _ in range(CALLERS):
        await loop.create_connection(lambda: Caller(left, done, request), *address)
    await done
    return REQUESTS / (time.perf_counter() - began)


def main() -> None:
    unit = yardstick()
    rate, wishes = wishes_per_s()
    print(f"yardstick (heap push and pop)  {unit:12,.0f} a second")
    print(f"wishes drawn                   {rate:12,.0f} a second   {rate / unit:.3f} of the yardstick")
    for name, spec in (("model events, plain node", NodeSpec()), ("model events, all figures", SPEC)):
        rate = events_per_s(wishes, spec)
        print(f"{name:30} {rate:12,.0f} a second   {rate / unit:.3f} of the yardstick")
    for name, run in (("asyncio", asyncio.run), ("uvloop", uvloop.run)):
        bare, full = run(requests_per_s(True)), run(requests_per_s(False))
        print(
            f"GridNode on {name:18} {full:12,.0f} requests a second, caller included; "
            f"{full / bare:.2f} of a server that reads nothing"
        )


if __name__ == "__main__":
    main()
