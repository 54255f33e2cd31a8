"""The rehearsal lab itself: many seeds of every shipped incident, its speed, and its two worlds side by side.

    python benchmarks/lab.py sweep --seeds 200 --out sweep.jsonl --for-s 140   as often as needed
    python benchmarks/lab.py fuzz --seeds 500 --out fuzz.jsonl                 incidents made up by seeds
    python benchmarks/lab.py pace                                             a day of the whole program
    python benchmarks/lab.py worlds --only rolling-deploy                     simulated and real time

`sweep` adds a line to its file for each run, and leaves out the runs that the file has for the same code and
incident.  Its exit code is 1 if a rule was broken or the program logged an error.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, defaultdict
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from functools import cache
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import Progress

from roadlb.lab.incident import Incident, Range, Step, load
from roadlb.lab.incident import steps as s
from roadlb.lab.report.tables import table
from roadlb.lab.run import rehearse

ROOT = Path(__file__).parent.parent
INCIDENTS = sorted((ROOT / "examples" / "incidents").glob("*.toml"))
TOLD = 5  # violations of a run that are kept in full
DAY_S = 45.0


@click.group()
def main() -> None:
    """Measure the rehearsal lab."""


# Many seeds


@cache
def sources() -> bytes:
    """Of the program and the lab."""
    return b"".join(source.read_bytes() for source in sorted((ROOT / "roadlb").rglob("*.py")))


def code_of(file: Path) -> str:
    """Changes with the program, the lab and the incident: older results of it do not count."""
    return blake2b(file.read_bytes() + sources(), digest_size=6).hexdigest()


def one_run(file: str, seed: int, code: str) -> dict[str, Any]:
    """`file`: of an incident; none: one that the seed makes up."""
    incident = load(file) if file else made_up(seed)
    rehearsal = rehearse(incident, seed)
    verdict, told, figures = rehearsal.verdict, rehearsal.verdict.figures, rehearsal.figures
    return {
        "incident": incident.name,
        "seed": seed,
        "code": code,
        "took_s": round(figures["took_s"], 2),
        "lasted_s": incident.duration_s,
        "broken": {rule.value: n for rule, n in verdict.counts.items()},
        "violations": [
            f"{(one.at - rehearsal.origin_us) / 1e6:.3f} {one.rule.value}: {one.text}"
            for one in verdict.violations[:TOLD]
        ],
        "errors": [*figures["program_errors"], *figures["faults"]][:TOLD],
        "service": verdict.worth.service,
        "whole": verdict.worth.whole,
        "worst_window": verdict.worth.worst_window,
        "wishes": told.wishes,
        "tries": told.tries,
        "in_time": told.in_time,
        "unanswered": told.unanswered,
        "refused": told.refused,
        "failed": told.failed,
        "ran_twice": told.ran_twice,
        "fell": list(told.fallen),
    }


def made_up(seed: int) -> Incident:
    """A short incident of a few steps of any kinds, that may overlap in any way.

    Its nodes warm up in a quarter of their time, or else little would happen in it but shedding.
    """
    rng = Random(f"incident {seed}")
    seconds = rng.choice((8.0, 12.0, 16.0))
    calm = Incident(name=f"made-up-{seed}", title="Made up", duration_s=seconds)
    machines = tuple(
        msgspec.structs.replace(kind, cold_s=Range(kind.cold_s.low / 4, kind.cold_s.high / 4))
        for kind in calm.fleet.machines
    )
    nodes = rng.randint(4, 12)
    return msgspec.structs.replace(
        calm,
        steps=tuple(made_up_step(rng, seconds) for _ in range(rng.randint(2, 8))),
        fleet=msgspec.structs.replace(
            calm.fleet, nodes=nodes, machines=machines, warm_at_start=rng.random() < 0.8
        ),
        balancers=msgspec.structs.replace(calm.balancers, per_hall=rng.randint(1, 2)),
        traffic=msgspec.structs.replace(calm.traffic, rate=nodes * rng.uniform(8, 40)),
        discovery=msgspec.structs.replace(
            calm.discovery, notice_s=Range(0.2, 2), silent_notice_s=Range(1, 5), add_s=Range(0.1, 1.5)
        ),
        rules=msgspec.structs.replace(
            calm.rules, cold_s=calm.rules.cold_s / 4, second_copies=rng.random() < 0.8
        ),
    )


def made_up_step(rng: Random, seconds: float) -> Step:
    at_s = rng.uniform(0.1, seconds * 0.7)
    left_s = seconds - at_s
    lasts: dict[str, Any] = {"at_s": at_s, "for_s": rng.uniform(0.2, left_s) if rng.random() < 0.9 else None}
    some: dict[str, Any] = {"share": rng.uniform(0.1, 0.7)}
    over_s = rng.uniform(0.5, left_s)
    drain_s = rng.uniform(0, min(4.0, over_s))
    kind = rng.choice(list(s.STEPS.values()))
    if kind is s.Deploy:
        return s.Deploy(
            at_s=at_s,
            share=rng.uniform(0.2, 1),
            batch=rng.uniform(0.1, 0.5),
            over_s=over_s,
            drain_s=drain_s,
            address=rng.choice(("new", "same")),
        )
    if kind is s.Shrink:
        return s.Shrink(at_s=at_s, to=rng.uniform(0.3, 0.9), over_s=over_s, drain_s=drain_s)
    if kind is s.BalancerCrash:
        return s.BalancerCrash(
            at_s=at_s,
            back_after_s=rng.uniform(0.1, 4),
            back=rng.random() < 0.9,
            list_age_s=rng.choice((0.0, rng.uniform(0, 10))),
            **some,
        )
    if kind is s.BalancerRestart:
        return s.BalancerRestart(at_s=at_s, every_s=rng.uniform(0, 4), down_s=rng.uniform(0, 1), **some)
    if kind is s.Pause:
        what = rng.choice(("nodes", "balancers"))
        return s.Pause(what=what, at_s=at_s, for_s=rng.uniform(0.05, min(5.0, left_s)), **some)
    if kind is s.CutHall:
        return s.CutHall(hall=rng.choice(("hall-a", "hall-b", "hall-c")), **lasts)
    if kind is s.DiscoveryMove:
        return s.DiscoveryMove(at_s=at_s, old_closes_s=rng.uniform(0, 3))
    if kind is s.Flood:
        return s.Flood(
            times=rng.uniform(0.3, 6),
            of_class=rng.choice((None, "order", "grid-read")),
            tenant=rng.choice((None, "cesty-vychod")),
            **lasts,
        )
    if kind is s.Reset:
        return s.Reset(at_s=at_s, connections=rng.random() or 1.0, between=rng.choice(("nodes", "clients")))
    if kind is s.Rude:
        return s.Rude(every_s=rng.uniform(0.3, 2), **lasts)
    if kind is s.KillNode:
        return s.KillNode(
            at_s=at_s,
            share=rng.uniform(0.1, 0.4),
            count=None,
            silent=rng.random() < 0.5,
            back_after_s=rng.choice((None, rng.uniform(0, 4))),
        )
    if kind is s.Slow:
        return s.Slow(factor=rng.uniform(0.5, 8), **lasts, **some)
    if kind is s.Errors:
        return s.Errors(answers=rng.uniform(0.05, 1), **lasts, **some)
    if kind is s.Spoilt:
        return s.Spoilt(answers=rng.uniform(0.01, 0.3), **lasts, **some)
    return s.DiscoveryOutage(**lasts)


def done_in(out: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in out.read_text().splitlines()] if out.exists() else []


@main.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True, help="Of the seeds.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("sweep.jsonl"), show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes at once.")
@click.option("--for-s", default=1e9, help="Begin no run after so long.")
@click.option("--only", multiple=True, help="Names of incidents.")
def sweep(seeds: int, first: int, out: Path, jobs: int, for_s: float, only: tuple[str, ...]) -> None:
    """Play every shipped incident with many seeds in the simulated world."""
    files = [file for file in INCIDENTS if not only or file.stem in only]
    codes = {file.stem: code_of(file) for file in files}
    play_all(
        [(file.stem, str(file), seed) for seed in range(first, first + seeds) for file in files],
        codes,
        out,
        jobs,
        for_s,
    )
    results = [line for line in done_in(out) if line["code"] == codes.get(line["incident"])]
    if not report(results):
        raise SystemExit(1)


@main.command()
@click.option("--seeds", default=500, show_default=True)
@click.option("--first", default=1, show_default=True, help="Of the seeds.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("fuzz.jsonl"), show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes at once.")
@click.option("--for-s", default=1e9, help="Begin no run after so long.")
def fuzz(seeds: int, first: int, out: Path, jobs: int, for_s: float) -> None:
    """Play incidents that are made up, each from its seed."""
    wanted = [(f"made-up-{seed}", "", seed) for seed in range(first, first + seeds)]
    code = code_of(Path(__file__))
    play_all(wanted, {name: code for name, _, _ in wanted}, out, jobs, for_s)
    runs = [line for line in done_in(out) if line["code"] == code]
    faulty = [run for run in runs if run["broken"] or run["errors"]]
    for run in faulty:
        print(f"seed {run['seed']}: {run['broken']}", *run["violations"], *run["errors"], sep="\n  ")
    wishes, served = (sum(run[key] for run in runs) for key in ("wishes", "in_time"))
    print(
        f"{len(runs)} made-up incidents, {len(faulty)} faulty; {wishes} wishes, {served} answered in time, "
        f"{sum(len(run['fell']) for run in runs)} nodes fell, "
        f"{sum(run['ran_twice'] for run in runs)} orders ran twice"
    )
    if faulty:
        raise SystemExit(1)


def play_all(
    wanted: list[tuple[str, str, int]], codes: dict[str, str], out: Path, jobs: int, for_s: float
) -> None:
    """(incident, its file, seed) of each run that is wanted; those that `out` has already are left out."""
    done = {
        (line["incident"], line["seed"])
        for line in done_in(out)
        if line["code"] == codes.get(line["incident"])
    }
    todo = [run for run in wanted if (run[0], run[2]) not in done]
    until, running = time.monotonic() + for_s, set[Future[dict[str, Any]]]()
    with (
        Progress(console=Console(stderr=True)) as bar,
        ProcessPoolExecutor(jobs) as pool,
        out.open("a") as lines,
    ):
        task = bar.add_task("rehearsals", total=len(wanted), completed=len(wanted) - len(todo))
        while todo or running:
            while todo and len(running) < jobs and time.monotonic() < until:
                name, file, seed = todo.pop(0)
                running.add(pool.submit(one_run, file, seed, codes[name]))
            if not running:
                break
            ended, running = wait(running, return_when=FIRST_COMPLETED)
            for future in ended:
                lines.write(json.dumps(future.result()) + "\n")
                lines.flush()
                bar.advance(task)


def report(results: list[dict[str, Any]]) -> bool:
    """A line for each incident; whether no rule was broken."""
    by_name: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in results:
        by_name[line["incident"]].append(line)
    broken: Counter[str] = Counter()
    rows = []
    for name, runs in sorted(by_name.items()):
        whole, bad = (
            sorted(run["whole"] for run in runs),
            [run for run in runs if run["broken"] or run["errors"]],
        )
        for run in runs:
            broken.update(run["broken"])
            broken["program's errors"] += len(run["errors"])
        refused = sum(run["refused"] for run in runs) / max(1, sum(run["tries"] for run in runs))
        rows.append(
            (
                name,
                len(runs),
                len(bad),
                f"{whole[0]:.1%}",
                f"{whole[len(whole) // 2]:.1%}",
                f"{whole[-1]:.1%}",
                f"{refused:.2%}",
                sum(len(run["fell"]) for run in runs),
                f"{sum(run['took_s'] for run in runs) / sum(run['lasted_s'] for run in runs):.2f}",
            )
        )
    Console(width=140).print(
        table(
            ("incident", "runs", "faulty", "worst whole", "median", "best", "refused", "fell", "s a second"),
            [tuple(map(str, row)) for row in rows],
        )
    )
    for what, count in broken.items():
        if count:
            print(f"{what}: {count}")
    return not any(broken.values())


# Two worlds


@main.command()
@click.option("--only", multiple=True, help="Names of incidents; all of them without it.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), default=Path("worlds.jsonl"), show_default=True)
def worlds(only: tuple[str, ...], seed: int, out: Path) -> None:
    """The same incidents and seed in simulated and in real time."""
    rows = []
    for file in INCIDENTS:
        if only and file.stem not in only:
            continue
        incident = load(str(file))
        for world in ("sim", "real"):
            rehearsal = rehearse(incident, seed, world)  # type: ignore[arg-type]
            worth, told = rehearsal.verdict.worth, rehearsal.verdict.figures
            order = told.latency_ms.get("order", {})
            rows.append(
                (
                    incident.name,
                    world,
                    f"{worth.whole:.2%}",
                    f"{worth.service:.2%}",
                    f"{told.refused / max(1, told.tries):.2%}",
                    f"{told.failed / max(1, told.tries):.2%}",
                    f"{told.attempts_per_try:.3f}",
                    f"{order.get('p50', 0):.0f}",
                    f"{order.get('p99', 0):.0f}",
                    len(told.fallen),
                    sum(rehearsal.verdict.counts.values()),
                    f"{told.lagged_s:.2f}",
                )
            )
            with out.open("a") as lines:
                lines.write(
                    json.dumps(
                        {
                            "row": rows[-1],
                            "errors": rehearsal.figures["faults"][:TOLD],
                            "violations": [one.text for one in rehearsal.verdict.violations[:TOLD]],
                        }
                    )
                    + "\n"
                )
    Console(width=140).print(
        table(
            (
                "incident",
                "world",
                "whole",
                "service",
                "refused",
                "failed",
                "attempts",
                "order p50 ms",
                "p99",
                "fell",
                "violations",
                "held up s",
            ),
            [tuple(map(str, row)) for row in rows],
        )
    )


# Speed


@main.command()
@click.option("--rate", default=390.0, show_default=True)
@click.option("--profile/--no-profile", default=True)
def pace(rate: float, profile: bool) -> None:
    """A day of the whole program: 3 balancers, 12 nodes; how long it takes, and where the time goes."""
    import cProfile
    import pstats

    calm = load(str(ROOT / "examples" / "incidents" / "calm.toml"))
    day = msgspec.structs.replace(
        calm,
        duration_s=DAY_S,
        fleet=msgspec.structs.replace(calm.fleet, nodes=12),
        traffic=msgspec.structs.replace(calm.traffic, rate=rate, shape="steady"),
    )
    began = time.process_time()
    rehearsal = rehearse(day, 1)
    took, told = time.process_time() - began, rehearsal.verdict.figures
    print(
        f"{DAY_S:g} s at {rate:g}/s took {took:.1f} s of CPU, {took / DAY_S:.2f} of its length; "
        f"{took / told.wishes * 1e3:.2f} ms a wish, {len(rehearsal.log) / told.wishes:.1f} wire events and "
        f"{rehearsal.figures['segments'] / told.wishes:.1f} segments each"
    )
    if not profile:
        return
    profiler = cProfile.Profile()
    profiler.runcall(rehearse, msgspec.structs.replace(day, duration_s=DAY_S / 4), 1)
    parts: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, _) in pstats.Stats(profiler).stats.items():  # type: ignore[attr-defined]
        parts[part_of(file, name)] += own
    for part, own in parts.most_common(16):
        print(f"  {own / parts.total():6.1%}  {part}")


def part_of(file: str, name: str) -> str:
    try:
        path = Path(file).relative_to(ROOT / "roadlb")
    except ValueError:
        return "interpreter" if file == "~" else "libraries"
    if path.parts[0] != "lab":
        return f"the program: {path.parts[0]}"
    return f"the lab: {path.parts[1]}"


if __name__ == "__main__":
    main()
