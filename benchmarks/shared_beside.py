"""Sharing on beside off, in the lab's simulated world: the whole program, paired by seed.

    python benchmarks/shared_beside.py play --of 40x60 --case loss --seeds 3 --out loss.json
    python benchmarks/shared_beside.py play --of 200x200 --case loss --seeds 1 --duration-s 16
    python benchmarks/shared_beside.py play --of 9x18 --ways off,deafened --deaf-s 11 --seeds 10
    python benchmarks/shared_beside.py show loss.json       the pairs again, from what was kept

Cases: `loss` (a hall lost whole and back cold), `release` (half of the nodes replaced), `errors` (one node
answers errors at once), `short` (a quarter more than the fleet bears).  Ways: `off`, `share`, `deaf`, where
everybody shares and nobody hears anybody, and `deafened`, where all sharing works until `--deaf-s` and every
datagram is dropped from then on.  Each run in a process of its own.
"""

from __future__ import annotations

import json
import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from statistics import fmean, pstdev
from typing import TYPE_CHECKING, Any

import click
from apart import Job, answer, ask_all
from sites_figures import interval, keep, tell

if TYPE_CHECKING:
    from roadlb.lab.incident import Incident

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000
RATE, NODES, CONNECTIONS = 390.0, 11, 300  # the lab's own deployment, which sizes are multiples of
RAMP_S = 6.0  # demand rises from a twentieth so slowly: what begins cold is not judged by it
BAD = 7  # number of the node that answers errors
SPARE = 0.02  # a balancer whose shortage is less has room
WAYS = ("off", "share", "deaf", "deafened")
CASES = {
    "loss": (1.0, 'do = "lose_hall"\nhall = "hall-b"\nat_s = {at}\nback_after_s = {out}\nlist_age_s = 10\n'),
    "release": (0.8, 'do = "deploy"\nshare = 0.5\nat_s = {at}\nover_s = {out}\n'),
    "errors": (0.8, 'do = "errors"\nat_s = {at}\nfor_s = {out}\nanswers = 1.0\nnodes = ["{bad}"]\n'),
    "short": (1.25, 'do = "slow"\nat_s = {at}\nfor_s = {out}\nfactor = 1.01\nshare = 1.0\n'),
}


def described(
    size: str, case: str, way: str, at_s: float, out_s: float, duration_s: float, each: float | None = None
) -> str:
    """The incident as a file has it; `each`: first tries a second for each node, at a factor of 1."""
    balancers, nodes = map(int, size.split("x"))
    step = CASES[case][1]
    rate = rate_of(size, case, each)
    of_hall = balancers // 3
    bad = bad_node(nodes)
    return (
        f'title = "Sharing beside none"\nduration_s = {duration_s}\n'
        f"[balancers]\nper_hall = {of_hall}\nin_hall = {{ hall-a = {balancers - 2 * of_hall} }}\n"
        f'peers = "{"share" if way == "deafened" else way}"\n[fleet]\nnodes = {nodes}\n'
        f"[traffic]\nrate = {rate}\nrates = [[0, {rate / 20}], [{RAMP_S}, {rate}]]\n"
        f"quota_per_s = {rate}\n[[step]]\n" + step.format(at=at_s, out=out_s, bad=bad)
    )


def rate_of(size: str, case: str, each: float | None) -> int:
    """First tries a second."""
    return round((each or RATE / NODES) * int(size.partition("x")[2]) * CASES[case][0])


def bad_node(nodes: int) -> str:
    return f"node-{BAD:0{max(2, len(str(nodes)))}}"


# One run, in a process of its own


def played(job: Job, incident: Incident) -> dict[str, Any]:
    import sites_runs

    from roadlb.lab.run import rehearse

    began = time.process_time()
    seen, heard = Seen(), Heard(job["deaf_s"] if job["way"] == "deafened" else None)
    rehearsal = rehearse(incident, job["seed"])
    verdict, log, origin = rehearsal.verdict, rehearsal.log, rehearsal.origin_us
    zero, at, until = origin // SECOND, job["at_s"], job["at_s"] + job["out_s"]
    seconds = {second - zero: both for second, both in verdict.worth.by_second.items()}
    bounds = sites_runs.bounds(log, incident, job["seed"], origin, verdict.worth.by_second)
    found = {
        "whole": verdict.worth.whole,
        "worst 10 s": verdict.worth.worst_window,
        "orders": verdict.worth.by_class.get("order", 1.0),
        "reads": verdict.worth.by_class.get("grid-read", 1.0),
        "of bound": of(seconds, bounds["bound"], at + 4, until),
        "of bound after": of(seconds, bounds["bound"], until, min(until + 8, incident.duration_s - 1)),
        "refused": verdict.figures.refused / verdict.figures.tries,
        **since_deaf(seconds, bounds["bound"], incident, job["deaf_s"]),
        **heard.figures(),
        **log_figures(log, incident, job["seed"], origin, at, until),
        **seen.figures(zero, at, until),
        **messages(rehearsal.figures["counters"], incident.duration_s),
    }
    return {
        **job,
        "figures": found,
        "seconds": seconds,
        "bound": bounds["bound"],
        "broken": {rule.value: count for rule, count in verdict.counts.items()},
        "fell": len(verdict.figures.fallen),
        "took_s": round(time.process_time() - began, 1),
        "errors": rehearsal.figures["program_errors"][:5] + rehearsal.figures["faults"][:5],
    }


def of(seconds: dict[int, tuple[float, float]], bound: dict[int, float], since: float, until: float) -> float:
    """Worth served of what could have been carried, over whole seconds."""
    within = [s for s in range(round(since), round(until)) if s in seconds]
    return sum(seconds[s][1] for s in within) / max(1e-9, sum(bound[s] for s in within))


def since_deaf(
    seconds: dict[int, tuple[float, float]], bound: dict[int, float], incident: Any, deaf_s: float
) -> dict[str, float]:
    """From the moment on in which a fleet that is `deafened` hears no more, to the run's end."""
    within = [s for s in seconds if deaf_s <= s < incident.duration_s - 1]
    asked, served = (sum(seconds[s][i] for s in within) for i in (0, 1))
    return {
        "worth since deaf": served / max(1e-9, asked),
        "of bound since deaf": of(seconds, bound, deaf_s, incident.duration_s - 1),
    }


class Heard:
    """Datagrams that balancers were handed, and dropped at their doors from `deaf_s` after the first
    arrivals on."""

    def __init__(self, deaf_s: float | None) -> None:
        from roadlb.lab.run.stage import Stage
        from roadlb.net.peers import Peers

        self.heard, self.dropped, self.deaf_at = 0, 0, 1 << 62
        arrive, received = Stage.arrive, Peers.datagram_received

        def begun(stage: Any) -> None:
            if deaf_s is not None:
                self.deaf_at = stage.world.clock() + round(deaf_s * SECOND)
            arrive(stage)

        def counted_received(peers: Any, data: bytes, sender: Any) -> None:
            if peers.clock() >= self.deaf_at:
                self.dropped += 1
                return
            self.heard += 1
            received(peers, data, sender)

        Stage.arrive = begun  # type: ignore[method-assign]
        Peers.datagram_received = counted_received  # type: ignore[method-assign]

    def figures(self) -> dict[str, float]:
        return {"datagrams heard": float(self.heard), "datagrams dropped": float(self.dropped)}


class Seen:
    """What balancers believe and meet, seen in the module itself as it decides."""

    def __init__(self) -> None:
        from roadlb.policy.interface import Status
        from roadlb.policy.logic import Balancer

        self.shortages: dict[int, list[float]] = defaultdict(list)
        self.refused: dict[int, list[tuple[int, int]]] = defaultdict(list)
        self.undialled: dict[int, int] = defaultdict(int)
        refuse, tick, judge = Balancer.refuse, Balancer.on_tick, Balancer.record_outcome
        counts: dict[int, int] = defaultdict(int)
        short: dict[int, float] = {}

        def seen_refuse(balancer: Any, *args: Any) -> None:
            counts[id(balancer)] += 1
            refuse(balancer, *args)

        def seen_tick(balancer: Any) -> None:
            second, me = balancer.now // SECOND, id(balancer)
            short[me] = balancer.measure_shortage()
            self.shortages[second].append(short[me])
            self.refused[second].append((counts.pop(me, 0), 0))
            tick(balancer)

        def seen_judge(balancer: Any, s: Any, r: Any, status: Any, *args: Any, **words: Any) -> None:
            if status is Status.CONNECT_FAILED:
                self.undialled[balancer.now // SECOND] += 1
            judge(balancer, s, r, status, *args, **words)

        Balancer.refuse = seen_refuse  # type: ignore[method-assign]
        Balancer.on_tick = seen_tick  # type: ignore[method-assign]
        Balancer.record_outcome = seen_judge  # type: ignore[method-assign]

    def figures(self, zero: int, at: float, until: float) -> dict[str, float]:
        """`refused beside room`: refusals, of all, in seconds in which half of the balancers had room."""
        within = [s for s in range(zero + round(at), zero + round(until) + 8) if self.shortages.get(s)]
        refused = {s: sum(count for count, _ in self.refused[s]) for s in within}
        room = [s for s in within if sorted(self.shortages[s])[len(self.shortages[s]) // 2] < SPARE]
        return {
            "spread of shortage": fmean(pstdev(self.shortages[s]) for s in within),
            "shortage": fmean(fmean(self.shortages[s]) for s in within),
            "refused beside room": sum(refused[s] for s in room) / max(1, sum(refused.values())),
            "failed dials": float(sum(self.undialled.values())),
            "failed dials, most a second": float(max(self.undialled.values(), default=0)),
        }


def log_figures(
    log: Any, incident: Any, seed: int, origin: int, at: float, until: float
) -> dict[str, float | None]:
    """Orders that a node answered errors to, and what cold nodes did of what they could."""
    import sites_runs

    from roadlb.lab.bound import Capacity
    from roadlb.lab.run.drawn import draw
    from roadlb.lab.wire import NodeGave, NodeGot, NodeRan, NodeStarted

    drawn = draw(incident, sites_runs.generators(seed))
    gain = next(iter(drawn.kinds.values())).cache_gain
    got: dict[tuple[str, str], NodeGot] = {}
    born: dict[tuple[str, int], int] = {}
    work, lost, reads, whose = 0.0, 0, 0, set()
    bad = bad_node(incident.fleet.nodes)
    for event in log:
        if isinstance(event, NodeStarted) and event.cold_share < 1:
            born[event.node, event.started_ms] = event.at
        elif isinstance(event, NodeGot):
            got[event.request, event.node] = event
        elif isinstance(event, NodeRan) and (event.node, event.started_ms) in born:
            if event.at < origin + (until + 8) * SECOND and (asked := got.get((event.request, event.node))):
                work += asked.work_us * (1 - gain if event.hit else 1)
        elif (
            isinstance(event, NodeGave)
            and event.status == 500
            and event.node == bad
            and (asked := got.get((event.request, event.node)))
            and at < (event.at - origin) / SECOND < until
        ):
            if asked.method == "POST":
                lost += 1
                whose.add(asked.balancer)
            else:
                reads += 1
    could = sum(
        life.between(life.since, min(origin + round((until + 8) * SECOND), life.since + life.warm_us))
        for life in Capacity(log, drawn.kinds).lives
        if life.cold_share < 1
    )
    return {
        "orders answered errors": float(lost),
        "reads answered errors": float(reads),
        "balancers that lost one": float(len(whose)),
        "cold nodes' use": work / could if could else None,
    }


def messages(counters: dict[str, dict[str, int]], duration_s: float) -> dict[str, float]:
    """All that leaves, and of it the items of each kind; the rest heads and tags of datagrams."""

    def each(name: str) -> float:
        sent = sum(one.get(name, 0) for one in counters.values())
        return sent / duration_s / max(1, len(counters)) / 1_000

    return {
        "kB/s of messages, each": each("peers.sent_bytes"),
        **{
            f"kB/s of {kind}": each(f"peers.out_bytes.{kind}")
            for kind in ("membership", "shares", "counts", "judgements")
        },
    }


# Commands


@click.group(help=(__doc__ or "").partition("\n")[0])
def main() -> None:
    pass


@main.command()
@click.option("--of", "size", default="40x60", show_default=True, help="Balancers x nodes.")
@click.option("--case", type=click.Choice(list(CASES)), default="loss", show_default=True)
@click.option("--ways", default="off,share,deaf", show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--first", default=1, show_default=True, help="Of the seeds.")
@click.option("--at-s", default=12.0, show_default=True)
@click.option("--out-s", default=11.0, show_default=True)
@click.option("--duration-s", default=32.0, show_default=True)
@click.option("--deaf-s", default=11.0, show_default=True, help="From then on a `deafened` fleet is.")
@click.option("--each", type=float, help="First tries a second for each node; the lab's own if none.")
@click.option("--tree", default=str(ROOT), help="Root of the sources.")
@click.option("--jobs", default=2, show_default=True, help="Processes at once.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep all figures as JSON.")
def play(
    size: str,
    case: str,
    ways: str,
    seeds: int,
    first: int,
    at_s: float,
    out_s: float,
    duration_s: float,
    deaf_s: float,
    each: float | None,
    tree: str,
    jobs: int,
    out: Path | None,
) -> None:
    """The same seeds with each way."""
    wanted = [
        {
            "size": size,
            "case": case,
            "way": way,
            "seed": seed,
            "at_s": at_s,
            "out_s": out_s,
            "deaf_s": deaf_s,
            "connections": round(CONNECTIONS * rate_of(size, case, each) / RATE),
            "incident": described(size, case, way, at_s, out_s, duration_s, each),
        }
        for seed in range(first, first + seeds)
        for way in ways.split(",")
    ]
    runs = ask_all([__file__, "one"], wanted, Path(tree).resolve(), jobs)
    keep(out, runs)
    told(runs)


@main.command(hidden=True)
def one() -> None:
    """A run of `play`, in the process of its own."""
    answer(played)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
def show(files: Sequence[Path]) -> None:
    """What `play --out` kept, several files as one."""
    told([run for file in files for run in json.loads(file.read_text())])


def told(runs: Sequence[dict[str, Any]]) -> None:
    """Means of each way, and the differences from `off`, seed by seed, with 95% intervals."""
    by_way: dict[str, dict[int, dict[str, Any]]] = defaultdict(dict)
    for run in runs:
        by_way[run["way"]][run["seed"]] = run
    ways = [way for way in WAYS if way in by_way]
    seeds = set.intersection(*(set(by_way[way]) for way in ways))  # means over whole pairs only
    rows = []
    for key in runs[0]["figures"]:
        means = [mean(by_way[way][seed]["figures"][key] for seed in seeds) for way in ways]
        row = [key, *(shown(key, value) for value in means)]
        for way in ways[1:] if ways[0] == "off" else ():
            pairs = [
                (by_way["off"][seed]["figures"][key], by_way[way][seed]["figures"][key])
                for seed in sorted(seeds)
            ]
            differences = [b - a for a, b in pairs if a is not None and b is not None]
            row.append(difference(key, differences))
        rows.append(row)
    head = ["figure", *ways, *(f"{way} less off" for way in ways[1:] if ways[0] == "off")]
    tell(head, rows)
    for run in runs:
        wrong = {"broken": run["broken"], "fell": run["fell"], "errors": run["errors"]}
        click.echo(
            f"{run['size']} {run['case']}, seed {run['seed']}, {run['way']}: "
            f"{run['took_s']:.0f} s of CPU, {({k: v for k, v in wrong.items() if v}) or 'no fault'}"
        )


def counted(key: str) -> bool:
    return any(word in key for word in ("answered errors", "dials", "lost one", "kB", "datagrams"))


def mean(values: Iterable[float | None]) -> float | None:
    there = [value for value in values if value is not None]
    return fmean(there) if there else None


def shown(key: str, value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}" if counted(key) else f"{value:.1%}"


def difference(key: str, found: Sequence[float]) -> str:
    if not found:
        return "-"
    unit = 1 if counted(key) else 100
    low, high = interval(found)
    return f"{unit * fmean(found):+.1f} ({unit * low:+.1f} to {unit * high:+.1f})"


if __name__ == "__main__":
    main()
