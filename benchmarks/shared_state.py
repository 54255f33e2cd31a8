"""State that balancers share: what was searched, what all together could use, and what it buys.

    python benchmarks/shared_state.py model [--states 1000000]     the explicit-state model of a transfer
    python benchmarks/shared_state.py fleet [--members 200] [--first 0] [--seeds 100] [--seconds 20]
                                                       shares in bad weather, summed at each instant
    python benchmarks/shared_state.py idle [--members 200]      what nobody uses where few have all the demand
    python benchmarks/shared_state.py worth [--seeds 5]     forty modules with and without, the same demand

Time is simulated and seeds are fixed: the figures do not depend on the machine.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from roadlb.lab.mutants.budgets import DEFECTS, ForgetsItsGifts  # noqa: E402

from roadlb.lab.model.share_fleet import CALM, ShareFleet, Weather  # noqa: E402
from roadlb.lab.model.shares import ENDLESS, FAST, SLOW, Scope, search  # noqa: E402
from roadlb.lab.model.told_fleet import ORDER, SECOND, Air, ToldFleet  # noqa: E402
from roadlb.policy.interface import ListKind, ListUpdate, Member, ProcessOverload, Tenant  # noqa: E402
from roadlb.shared_state.budgets import Terms  # noqa: E402

EVEN = Terms(instances=2, whole=4, lease_us=2, drift_ppm=0, margin_us=1, renew_us=0, wait_us=0, skip_us=0)
THREE, SIZES = replace(EVEN, instances=3, whole=6), replace(EVEN, whole=12)


def model(states: int) -> None:
    alike: dict[str, Any] = {"rates": (1, 1), "terms": EVEN}
    three: dict[str, Any] = {"rates": (1, 1, 1), "terms": THREE, "restarts": 0}
    scopes = {
        "clocks alike, a message, a restart": Scope(**alike, flying=1),
        "clocks alike, a message, restarts without end": Scope(**alike, flying=1, restarts=ENDLESS),
        "clocks alike, two messages, no restart": Scope(**alike, restarts=0),
        "clocks alike, two messages, a restart": Scope(**alike),
        "clocks alike, two messages, restarts without end": Scope(**alike, restarts=ENDLESS),
        "clocks alike, three messages, no restart": Scope(**alike, flying=3, restarts=0),
        "clocks alike, a message, both ask": Scope(**alike, flying=1, restarts=0, askers=(0, 1)),
        "clocks 5 to 3, a message, restarts without end": Scope(flying=1, restarts=ENDLESS),
        "clocks 5 to 3, two messages, no restart": Scope(restarts=0),
        "clocks 5 to 3, two messages, a restart": Scope(),
        "clocks 3 to 5, two messages, a restart": Scope(rates=(SLOW, FAST)),
        "parts of two sizes, a message": Scope(rates=(1, 1), terms=SIZES, flying=1, restarts=0, sizes=(2, 3)),
        "parts of two sizes, two messages": Scope(rates=(1, 1), terms=SIZES, restarts=0, sizes=(2, 3)),
        "three processes, one asks, two messages": Scope(**three, askers=(2,)),
        "three processes, two ask, a message": Scope(**three, flying=1, askers=(1, 2)),
        "three processes, two ask, two messages": Scope(**three, askers=(1, 2)),
    }
    print(f"{'scope':50}{'states':>10}{'depth':>7}  all seen?  above the whole?")
    for name, scope in scopes.items():
        found = search(replace(scope, states=states))
        print(
            f"{name:50}{found.states:>10}{found.depth:>7}  {'yes' if found.whole else 'no':9}  "
            f"{' > '.join(found.steps) or 'no'}",
            flush=True,
        )
    for defect in DEFECTS:
        found = search(Scope(make=defect, restarts=int(defect is ForgetsItsGifts), states=states))
        print(
            f"{defect.__name__:50}{found.states:>10}{found.depth:>7}  {'':9}  "
            f"{' > '.join(found.steps) or 'no'}",
            flush=True,
        )


def fleet(members: int, first: int, seeds: int, seconds: float, weathers: Sequence[str]) -> None:
    terms = Terms(instances=members)
    for name, weather in (("calm", CALM), ("bad", Weather())):
        if name not in weathers:
            continue
        most, messages, worst = 0.0, 0, -1
        for seed in range(first, first + seeds):
            f = ShareFleet(members, terms, seed, weather)
            f.play(seconds)
            messages += f.messages
            if f.most > most:
                most, worst = f.most, seed
        print(
            f"{members} balancers, {name} weather, seeds {first} to {first + seeds - 1} of {seconds:g} s: "
            f"most of the whole {most:.6f} (seed {worst}), "
            f"{messages / seeds / seconds / members:.1f} messages a second each",
            flush=True,
        )


def idle(members: int) -> None:
    """How much lies idle where one of ten has all the demand."""
    terms = Terms(instances=members)
    for alive in (1.0, 0.3):
        f = ShareFleet(
            members,
            terms,
            1,
            CALM,
            resources=1,
            settled=True,
            needs=lambda i, _: {b"thing000": terms.part * (40 if i % 10 == 0 else 0)},
        )
        f.kill(f.names[int(members * alive) :])
        f.play(20)
        shares = sorted((p.shares[b"thing000"] / terms.part for p in f.processes.values()), reverse=True)
        print(
            f"{members} balancers, {alive:.0%} alive, one of ten has all the demand: "
            f"{f.used(b'thing000'):.1%} of the whole is in hand; a busy one has {shares[0]:.1f} parts"
        )


FEW = [10.0] * 4 + [1.0] * 36  # four of the forty balancers get ten times as much as the others
COLD_FROM, COLD_US, FALL, EACH = 0.2, 20 * SECOND, 3.0, 16
Ways = {"without": (False, None), "with": (True, None), "deaf": (True, Air(loss=1.0))}


def bad_node(seed: int, share: bool, air: Air | None) -> dict[str, float]:
    """One of 60 nodes answers errors at once, from 5 s on."""
    f = ToldFleet(40, 60, seed, share, air)
    f.play(5, 900)
    f.bad[b"node-7"] = f.now, None
    f.play(20, 900)
    bad = [s for s in f.sent if not s.good]
    return {
        "orders lost": sum(s.cls == ORDER for s in bad),
        "reads that failed": len(bad) - sum(s.cls == ORDER for s in bad),
        "bytes/s each": f.bytes / 25 / 40,
    }


def cold_nodes(seed: int, share: bool, air: Air | None, weights: list[float] | None) -> dict[str, float]:
    """Twelve of 72 nodes are new; of what they can do, and of what makes one fall."""
    f = ToldFleet(
        40,
        60,
        seed,
        share,
        air,
        weights=weights,
        cold_from=COLD_FROM,
        cold_us=COLD_US,
        fall_multiple=FALL,
        fall_us=SECOND,
        warm_keys=True,
        second_copies=False,
    )
    f.play(8, 60 * EACH)
    born, new = f.now, [b"new-%d" % n for n in range(12)]
    f.tell(ListUpdate(ListKind.DELTA, [Member(s, born_us=born) for s in new]))
    f.play(8, 66 * EACH)
    could = sum(EACH * (COLD_FROM + (1 - COLD_FROM) * (s + 0.5) / 20) for s in range(8))
    sent: dict[bytes, list[int]] = {s: [] for s in new}
    for s in f.sent:
        if s.server in sent:
            sent[s.server].append(s.at)
    most = 0.0
    for at in sent.values():
        for n, t in enumerate(at):
            can = EACH * (COLD_FROM + (1 - COLD_FROM) * (t - born) / COLD_US)
            most = max(most, sum(x < t + SECOND for x in at[n : n + 200]) / (FALL * can))
    return {
        "use of what they can do, %": 100 * sum(map(len, sent.values())) / 12 / could,
        "most of a fall, %": 100 * most,
    }


def quota(seed: int, share: bool, air: Air | None) -> dict[str, float]:
    """A third goes for want of CPU.  One customer asks 80 a second of its 100, at four of forty balancers;
    another 160 of its 100, everywhere."""
    f = ToldFleet(40, 60, seed, share, air, tenants=[Tenant("within", 100.0), Tenant("over", 100.0)])
    asked = 0
    for _ in range(12):
        for i in range(40):
            f._do(i, ProcessOverload(0.33))
        f.weights = [1.0] * 40
        f.play(0.5, 320, tenant=1)
        f.weights = [1.0] * 4 + [0.0] * 36
        asked += 80
        f.play(0.5, 160, tenant=0)
    return {
        "refused of the one within its quota, %": 100 * f.refused_of.get(0, 0) / asked,
        "refused of all": f.refused,
    }


def worth(seeds: int) -> None:
    for name, play in (
        ("a node answers errors at once", bad_node),
        ("cold nodes, even demand", lambda *way: cold_nodes(*way, None)),
        ("cold nodes, four of forty busy", lambda *way: cold_nodes(*way, FEW)),
        ("a customer within its quota at few balancers", quota),
    ):
        for way, (share, air) in Ways.items():
            rows = [play(seed, share, air) for seed in range(seeds)]
            print(
                f"{name:46}{way:9}"
                + "; ".join(f"{what}: " + ", ".join(f"{row[what]:.4g}" for row in rows) for what in rows[0]),
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("model", "fleet", "idle", "worth"))
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0, help="of the seeds")
    parser.add_argument("--weather", nargs="+", choices=("calm", "bad"), default=("calm", "bad"))
    parser.add_argument("--seconds", type=float, default=20)
    asked = parser.parse_args()
    if asked.what == "model":
        model(asked.states)
    elif asked.what == "fleet":
        fleet(asked.members, asked.first, asked.seeds, asked.seconds, asked.weather)
    elif asked.what == "idle":
        idle(asked.members)
    else:
        worth(asked.seeds)


if __name__ == "__main__":
    main()
