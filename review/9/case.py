"""A new configuration moves discovery to an agent that has no room for calls in the first seconds."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from rig import BROKEN, HELD, TROUBLE, Agent, Balancer, CouldNotRun, Node, Rig, entry, play, settings

TOLD_S = 4.0  # after SIGHUP whatever discovery has to tell counts as told
GRACE_S = 1.0 + 0.05  # `invariants.drain_grace_us`, and 50 ms that every limit is longer by on sockets
CROWDED_S = 3.5  # from SIGHUP: in this time the new agent refuses each call
CLOSE_S = 1.5  # from SIGHUP until the old agent closes its open connections
BALANCERS = 3


async def case(rig: Rig) -> int:
    record = rig.record
    nodes = await rig.nodes([f"s-{c}" for c in "abcdef"])
    leaving = nodes[0]
    balancers: list[tuple[Balancer, Agent, Agent]] = []
    for number in range(BALANCERS):
        old, new = Agent(f"old-{number}", record), Agent(f"new-{number}", record)
        for agent in (old, new):
            await agent.start()
            agent.generation = 41
            agent.entries = {n.name: entry(n) for n in nodes}
        told = settings(BALANCERS, me=number)
        balancer = Balancer(rig, f"n{number}", old.port, known=old.whole(), told=told)
        await balancer.start()
        balancers.append((balancer, old, new))
    for balancer, _, _ in balancers:
        await balancer.ready()
    over = False
    load = [rig.spawn(rig.load(balancer.port, 8, lambda: over)) for balancer, _, _ in balancers]
    await asyncio.sleep(2.0)
    if not leaving.runs:
        raise CouldNotRun("the node that is to drain got no work before")
    moved_s = record.now()
    for balancer, old, new in balancers:
        new.refuses = TROUBLE
        balancer.config["discovery"] = f"127.0.0.1:{new.port}"
        balancer.write_config()
        balancer.signal(signal.SIGHUP)
        rig.spawn(old.leave(CLOSE_S))
        # The drain is known to the new agent from the first moment on.
        new.tell(42, entry(leaving, "draining"))
    await asyncio.sleep(CROWDED_S)
    for _, _, new in balancers:
        new.refuses = False
    record.write("the new agents answer each call from now on")
    await asyncio.sleep(8.0 - CROWDED_S)
    over = True
    await asyncio.gather(*load)
    broken = late_at(leaving, moved_s)
    for balancer, _, new in balancers:
        calls = ", ".join(f"{at - moved_s:.2f} {what}" for at, what in new.calls)
        record.say(f"{balancer.name} called the new agent, in seconds after SIGHUP: {calls}")
    record.say(
        f"requests that began at {leaving.name} later than {TOLD_S + GRACE_S} s after SIGHUP: {len(broken)}"
        + (f", the last {broken[-1] - moved_s:.3f} s after it" if broken else "")
    )
    return BROKEN if broken else HELD


def late_at(node: Node, moved_s: float) -> list[float]:
    return [run.first_s for run in node.runs if run.first_s > moved_s + TOLD_S + GRACE_S]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
