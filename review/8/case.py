"""A grid node pauses once, soon after the first bytes of a long answer whose length is not told."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from rig import BROKEN, HELD, TROUBLE, Agent, Balancer, Client, CouldNotRun, Node, Rig, Run, entry, play

FIRST_BYTES, PIECE_BYTES, PIECES = 8_192, 16_384, 12  # 8 KiB, then 192 KiB: over 64 KiB
PAUSE_S = 0.8 if TROUBLE else 0.0  # once, behind the first bytes
BETWEEN_S = 0.1  # between the other pieces: 160 KiB a second
LEFT_S = 2.0  # the class's deadline
ORDERS = 10


@dataclass
class Grid:
    """What the nodes gave of each order's answer: all of it, or until they were cut off."""

    cut: dict[str, int] = field(default_factory=dict)
    whole: dict[str, int] = field(default_factory=dict)

    async def answer(self, node: Node, run: Run, writer: asyncio.StreamWriter) -> bool:
        id, sent = run.headers["x-correlation-id"], 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n" % node.report())
        try:
            for number in range(PIECES + 1):
                piece = os.urandom(PIECE_BYTES if number else FIRST_BYTES)
                writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(BETWEEN_S if number else PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            self.cut[id] = sent
            node.record.write(f"node {node.name}: id={id}: cut off after {sent} bytes, it had more to give")
            return False
        self.whole[id] = sent
        node.record.write(f"node {node.name}: id={id}: answered with {sent} bytes")
        return True


async def case(rig: Rig) -> int:
    record, grid = rig.record, Grid()
    nodes = await rig.nodes([f"s-{c}" for c in "abcdef"])
    agent = Agent("agent", record)
    await agent.start()
    agent.generation = 41
    for node in nodes:
        node.answering = grid.answer
        agent.entries[node.name] = entry(node)
    balancer = Balancer(rig, "n1", agent.port, known=agent.whole())
    await balancer.start()
    await balancer.ready()
    await asyncio.sleep(0.5)
    served = failed = 0
    for number in range(ORDERS):
        client = Client(rig, balancer.port, f"c{number}")
        client.patience_s = 5.0  # of a long answer only the first bytes are timed
        status, body = 503, b""
        for _ in range(8):  # a refused order is sent anew, as it has had no effect
            status, body = await client.ask("POST", f"/order/k{number}", LEFT_S, b"o" * 20)
            if status != 503:
                break
            await asyncio.sleep(0.2)
        if status == 200 and len(body) == FIRST_BYTES + PIECES * PIECE_BYTES:
            served += 1
        elif status != 503:
            failed += 1
        client.close()
    await asyncio.sleep(1.0)  # for the nodes to see that they were cut off
    ran = len(grid.cut) + len(grid.whole)
    if ran < 2:
        raise CouldNotRun("too few orders ran")
    record.say(
        f"{ran} orders ran, each with an answer of {FIRST_BYTES + PIECES * PIECE_BYTES} bytes that began at "
        f"once; whole at the client: {served}, failed there: {failed}; "
        f"cut off at the node while it still gave: {len(grid.cut)}"
    )
    return BROKEN if grid.cut and failed else HELD


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
