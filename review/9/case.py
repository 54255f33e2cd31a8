"""Discovery is slow: it answers each call, 3 s late.  A grid node drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from rig import BROKEN, HELD, TROUBLE, Agent, Balancer, CouldNotRun, Rig, entry, play

TOLD_S = 6.0  # after discovery had it and could be reached, a change counts as told
GRACE_S = 1.0 + 0.05  # `invariants.drain_grace_us`, and 50 ms that every limit is longer by on sockets
SLOW_S = 3.0 if TROUBLE else 0.0  # from a call until discovery begins to answer it
AFTER_S = 25.0


async def case(rig: Rig) -> int:
    record = rig.record
    nodes = await rig.nodes([f"s-{c}" for c in "abcdef"])
    leaving = nodes[0]
    agent = Agent("agent", record)
    await agent.start()
    agent.generation, agent.entries = 41, {n.name: entry(n) for n in nodes}
    agent.slow_s = SLOW_S
    balancer = Balancer(rig, "n1", agent.port, known=agent.whole())
    await balancer.start()
    await balancer.ready()
    over = False
    load = rig.spawn(rig.load(balancer.port, 12, lambda: over))
    await asyncio.sleep(2.0)
    if not leaving.runs:
        raise CouldNotRun("the node that is to drain got no work before")
    had_s = record.now()
    agent.tell(42, entry(leaving, "draining"))
    await asyncio.sleep(AFTER_S)
    over = True
    await load
    late = [run for run in leaving.runs if run.first_s > had_s + TOLD_S + GRACE_S]
    record.say(f"calls of discovery: {len(agent.calls)}, each answered after {SLOW_S:g} s if still open then")
    record.say(
        f"discovery had it at {had_s:.3f} s that {leaving.name} drains; requests that began there later than "
        f"{TOLD_S + GRACE_S:g} s after that: {len(late)}"
        + (f", the last {late[-1].first_s - had_s:.1f} s after it" if late else "")
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
