"""A bad client sends the id of an order whose long answer is still on its way: the order runs again."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from rig import BROKEN, HELD, TROUBLE, Agent, Balancer, CouldNotRun, Node, Rig, Run, entry, play, read_head

PIECES, PIECE_BYTES, BETWEEN_S = 90, 16_384, 0.1  # 1.4 MiB in 9 s: 160 KiB a second
REPEAT_S = 7.0  # after the order was sent, its answer being under way
ORDERS = 3


async def long_answer(node: Node, run: Run, writer: asyncio.StreamWriter) -> bool:
    """An answer of a told length, written slowly; its first bytes come at once."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * PIECE_BYTES))
    for _ in range(PIECES):
        writer.write(b"x" * PIECE_BYTES)
        await writer.drain()
        await asyncio.sleep(BETWEEN_S)
    return True


async def order(rig: Rig, port: int, who: str, number: int, id: str) -> tuple[int, bool]:
    """Send an order on a connection of its own; its status, and whether the answer came whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    rig.record.write(f"{who}: POST /order/k{number} id={id}")
    writer.write(
        f"POST /order/k{number} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n"
        f"X-Account: energia-sever\r\nX-Time-Left: 2.000\r\nContent-Length: 5\r\n\r\norder".encode()
    )
    status, whole = 0, False
    with suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(20.0):
            status, headers = await read_head(reader)
            rig.record.write(f"{who}: id={id}: {status}, {headers.get('content-length')} bytes promised")
            await reader.readexactly(int(headers.get("content-length", "0")))
            whole = True
    writer.close()
    rig.record.write(f"{who}: id={id}: {status or 'closed'}, {'whole' if whole else 'not whole'}")
    return status, whole


async def case(rig: Rig) -> int:
    record = rig.record
    nodes = await rig.nodes([f"s-{c}" for c in "abcdef"])
    agent = Agent("agent", record)
    await agent.start()
    agent.generation = 41
    for node in nodes:
        node.answering = long_answer
        agent.entries[node.name] = entry(node)
    balancer = Balancer(rig, "n1", agent.port, agent.whole())
    await balancer.start()
    await balancer.ready()
    await asyncio.sleep(0.5)
    names = [f"usual-{number}-{os.urandom(4).hex()}" for number in range(ORDERS)]
    usual = [
        asyncio.create_task(order(rig, balancer.port, "usual client", number, id))
        for number, id in enumerate(names)
    ]
    await asyncio.sleep(REPEAT_S)
    still_open = [not task.done() for task in usual]
    repeated: list[tuple[int, bool]] = []
    if TROUBLE:
        repeated = await asyncio.gather(
            *(order(rig, balancer.port, "bad client", number, id) for number, id in enumerate(names))
        )
    answers = await asyncio.gather(*usual)
    if not any(is_open and status == 200 for is_open, (status, _) in zip(still_open, answers, strict=True)):
        raise CouldNotRun("no order's answer was under way when the bad client came")
    ran = {
        id: sum(run.headers["x-correlation-id"] == id for node in nodes for run in node.runs) for id in names
    }
    twice = [id for id, is_open in zip(names, still_open, strict=True) if is_open and ran[id] > 1]
    record.say(
        f"orders whose answers were under way after {REPEAT_S:g} s: {sum(still_open)}; "
        f"answers to the bad client: {[status for status, _ in repeated]}; ran twice: {len(twice)}"
    )
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
