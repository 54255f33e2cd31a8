"""During an upgrade a bad client sends the id of another client's open request, and is served."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from rig import (
    BROKEN,
    HELD,
    TROUBLE,
    Agent,
    Balancer,
    CouldNotRun,
    Node,
    Rig,
    Run,
    at_once,
    entry,
    play,
    read_head,
)

OPEN_S = 1.6  # for so long the usual client's order is open: its class gives it 2 s
FIRST_SENT_S = 0.1  # from the new process's yes to SIGTERM at the old one
ROUNDS = 3


async def slow_orders(node: Node, run: Run, writer: asyncio.StreamWriter) -> bool:
    if run.method == "POST":
        await asyncio.sleep(OPEN_S)
    return await at_once(node, run, writer)


@dataclass
class Connection:
    """A client's connection; it stays with the process that has accepted it."""

    rig: Rig
    who: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, method: str, target: str, id: str) -> int:
        """One request; status 0: a close with no answer, or none within 3 s."""
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        self.rig.record.write(f"{self.who}: {method} {target} id={id}")
        status, body = 0, b""
        with suppress(OSError, EOFError, TimeoutError):
            self.writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n"
                f"X-Account: energia-sever\r\nX-Time-Left: 2.000\r\n{length}\r\n".encode()
            )
            async with asyncio.timeout(3.0):
                status, headers = await read_head(self.reader)
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        self.rig.record.write(f"{self.who}: id={id}: {status or 'closed'} {body[:60]!r}")
        return status


async def connect(rig: Rig, port: int, who: str) -> Connection:
    return Connection(rig, who, *await asyncio.open_connection("127.0.0.1", port))


async def case(rig: Rig) -> int:
    record = rig.record
    nodes = await rig.nodes([f"s-{c}" for c in "abcdef"])
    agent = Agent("agent", record)
    await agent.start()
    agent.generation = 41
    for node in nodes:
        node.answering = slow_orders
        agent.entries[node.name] = entry(node)
    listen = socket.create_server(("127.0.0.1", 0), backlog=512)
    shared = rig.folder / "shared"
    old = Balancer(rig, "n1", agent.port, agent.whole(), listen=listen, shared=shared)
    await old.start()
    await old.ready()
    await asyncio.sleep(0.5)
    served, opened = 0, 0
    for number in range(ROUNDS):
        id = f"usual-{number}-{old.process.pid}"
        # The usual client keeps a connection that the process accepted which is about to be the old one.
        usual = await connect(rig, old.port, "usual client")
        if await usual.ask("GET", "/grid-read/first", f"first-{id}") != 200:
            raise CouldNotRun("the usual client's first read was not served")
        new = None
        if TROUBLE:
            new = Balancer(rig, "n1", agent.port, agent.whole(), listen=listen, shared=shared)
            await new.start()
            await new.ready(within_s=6.0)
        order = asyncio.create_task(usual.ask("POST", f"/order/k{number}", id))
        await asyncio.sleep(FIRST_SENT_S)
        if new is not None:
            old.signal(signal.SIGTERM)  # from now on only the new one accepts connections
            await asyncio.sleep(0.1)
        if not order.done():
            opened += 1
            bad = await connect(rig, old.port, "bad client")
            served += await bad.ask("GET", f"/grid-read/k{number}", id) == 200
            bad.writer.close()
        await order
        usual.writer.close()
        if new is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(3.7):
                    await old.process.wait()
            if old.process.returncode is None:
                old.signal(signal.SIGKILL)
                await old.process.wait()
            old = new
    listen.close()
    if not opened:
        raise CouldNotRun("the usual client's order was over before the bad client came")
    twice = sum(
        len([r for n in nodes for r in n.runs if r.headers["x-correlation-id"] == i]) > 1 for i in ids(nodes)
    )
    record.say(
        f"ids of open orders sent by a bad client: {opened}; served with 200 in place of an error: {served}; "
        f"ids of which two requests ran at grid nodes: {twice}"
    )
    return BROKEN if served else HELD


def ids(nodes: list[Node]) -> set[str]:
    return {run.headers["x-correlation-id"] for node in nodes for run in node.runs}


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
