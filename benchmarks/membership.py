"""Membership in simulated fleets: how soon all know, what it costs each, whom it accuses wrongly.

    python benchmarks/membership.py                        all of it: some 20 minutes of one core
    python benchmarks/membership.py know cost --sizes 12,200 --seeds 3
    python benchmarks/membership.py real                   idle processes, with peers beside without

Times are the simulated clock's and depend on nothing but the seed; CPU is that of decider, admission and
simulator together, signing left out, which `cost` measures by itself.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from roadlb.lab.members import Fleet
from roadlb.membership import members as decider
from roadlb.membership import self_doubt
from roadlb.membership.admission import Admission
from roadlb.membership.events import Joined, Left, Member, Start, Suspected
from roadlb.membership.members import Members
from roadlb.net.datagram import Codec

LOSSY: dict[str, Any] = {"loss": 0.3, "double": 0.05, "reorder": 0.02}
SETTLE_S, LONG_S = 10.0, 120.0


def quantile(values: list[float], part: float) -> float:
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


def fleet_of(size: int, seed: int, **links: Any) -> Fleet:
    fleet = Fleet(size, seed, acquainted=True, **links)
    fleet.run(SETTLE_S)
    fleet.news.clear()
    return fleet


def named(fleet: Fleet, kind: type, name: str) -> list[int]:
    """When each first heard it of this one."""
    first: dict[str, int] = {}
    for at, whom, news in fleet.news:
        if isinstance(news, kind) and news.member.name == name and whom != name:
            first.setdefault(whom, at)
    return list(first.values())


def until_told(fleet: Fleet, kind: type, name: str, others: int) -> None:
    fleet.run(LONG_S, lambda: len(named(fleet, kind, name)) >= others)


def know(sizes: list[int], seeds: int) -> None:
    """Deaths and joins, one after the other: from the moment until each of the others knows."""
    print("seconds until one other knows, over all others: p50, p99, the last; until the newcomer knows all")
    for links_name, links in (("clean", {}), ("30% lost", LOSSY)):
        for size in sizes:
            deaths: list[float] = []
            joins: list[float] = []
            learned: list[float] = []
            rounds = 5 if size <= 200 else 2
            for seed in range(seeds):
                fleet = fleet_of(size, seed, **links)
                for turn in range(rounds):
                    name = f"m{size - 1 - turn}"
                    died = fleet.now
                    fleet.kill(name)
                    until_told(fleet, Left, name, size - 1)
                    deaths += [(at - died) / 1e6 for at in named(fleet, Left, name)]
                    fleet.run(SETTLE_S)
                    fleet.news.clear()
                    joined = fleet.now
                    fleet.start(name)
                    until_told(fleet, Joined, name, size - 1)
                    joins += [(at - joined) / 1e6 for at in named(fleet, Joined, name)]
                    fleet.run(LONG_S, lambda f=fleet, n=name, s=size: len(f.there(n)) >= s)
                    learned.append((fleet.now - joined) / 1e6)
                    fleet.run(SETTLE_S)
                    fleet.news.clear()
            print(
                f"  {links_name:9} {size:5} members, {seeds * rounds:3} each: "
                + "; ".join(
                    f"{what} {quantile(values, 0.5):5.2f} {quantile(values, 0.99):5.2f} {max(values):5.2f}"
                    for what, values in (("death", deaths), ("join", joins))
                )
                + f"; newcomer {max(learned):5.2f}",
                flush=True,
            )


def cost(sizes: list[int], seeds: int) -> None:
    """Bytes and datagrams a second that each member sends, CPU, and wrong accusations."""
    print(
        "for each member and second: bytes and datagrams sent, CPU us; suspicions of the living for each "
        "member and minute; burials of the living"
    )
    for links_name, links in (("clean", {}), ("30% lost", LOSSY)):
        for size in sizes:
            for seed in range(min(seeds, 2)):
                fleet = fleet_of(size, seed, **links)
                seconds = 60.0 if size <= 200 else 30.0
                sent = sum(p.sent for p in fleet.running.values())
                data = sum(p.sent_bytes for p in fleet.running.values())
                most = {name: p.sent_bytes for name, p in fleet.running.items()}
                began = time.process_time()
                fleet.run(seconds)
                cpu = time.process_time() - began
                sent = sum(p.sent for p in fleet.running.values()) - sent
                data = sum(p.sent_bytes for p in fleet.running.values()) - data
                top = max(p.sent_bytes - most[name] for name, p in fleet.running.items())
                doubts = sum(isinstance(n, Suspected) and n.by == whom for _, whom, n in fleet.news)
                buried = len({n.member.name for _, _, n in fleet.news if isinstance(n, Left)})
                print(
                    f"  {links_name:9} {size:5} members, seed {seed}: {data / size / seconds:7.0f} B "
                    f"(most {top / seconds:6.0f}), {sent / size / seconds:5.1f} datagrams, "
                    f"{cpu / size / seconds * 1e6:6.0f} us; {doubts / size / seconds * 60:5.2f} "
                    f"suspicions; {buried} buried",
                    flush=True,
                )
    codec, payload = Codec(b"k" * 32, "grid"), b"x" * 60
    began, rounds = time.process_time(), 20_000
    for number in range(rounds):
        codec.read(codec.write("lb-100", 1 << 20, number, [(1, payload)], "10.0.0.1:7946"), "10.0.0.1:7946")
    print(f"  signing and reading one datagram: {(time.process_time() - began) / rounds * 1e6:.1f} us")
    for size in (12, 200, 1_000, 4_096):
        print(f"  memory of a view of {size:5}: {memory(size) / 1e6:.2f} MB")


def memory(size: int) -> int:
    """Bytes that one decider and its admission hold, of a fleet of this size."""
    tracemalloc.start()
    members = Members(Member("m0", "10.0.0.0", 7946, "hall-a", 1 << 40), [], Random(1))
    members.handle(0, Start())
    admission = Admission()
    for i in range(1, size):
        members.view.put(0, Member(f"m{i}", f"10.0.{i >> 8}.{i & 255}", 7946, "hall-a", i << 40))
        admission.trust(f"m{i}", i << 24)
        admission.judge(0, f"m{i}", i << 40, 1)
        admission.judge(0, f"m{i}", i << 40, 900)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def pauses(sizes: list[int], seeds: int) -> None:
    """A tenth sleeps again and again, or is starved, with and without doubt about oneself."""
    print(
        "60 s, in which a tenth sleeps 1 to 8 s at a time, or is starved (runs 20 to 200 ms, then stands "
        "for 0.6 to 2 s): the running accused by the stopped, by the running; the running buried"
    )

    def without() -> Iterator[None]:
        late, most = decider.LATE_US, self_doubt.HEALTH_MOST
        decider.LATE_US, self_doubt.HEALTH_MOST = 1 << 60, 0
        yield
        decider.LATE_US, self_doubt.HEALTH_MOST = late, most

    modes: list[tuple[str, dict[str, Any]]] = [("asleep", {}), ("starved", {}), ("asleep, 30% lost", LOSSY)]
    for size, (mode, links), doubt in [
        (size, mode, doubt) for size in sizes if size <= 200 for mode in modes for doubt in (True, False)
    ]:
        by_stopped = by_running = buried = 0
        for seed in range(seeds):
            changed = None if doubt else without()
            if changed:
                next(changed)
            fleet = fleet_of(size, seed, **links)
            stopped = {f"m{size - 1 - i}" for i in range(max(1, size // 10))}
            for name in stopped:
                stop_and_go(fleet, name, Random(f"{seed}{name}"), mode == "starved")
            fleet.run(60)
            accused = [
                (whom, n.member.name)
                for _, whom, n in fleet.news
                if isinstance(n, Suspected) and n.by == whom and n.member.name not in stopped
            ]
            by_stopped += sum(whom in stopped for whom, _ in accused)
            by_running += sum(whom not in stopped for whom, _ in accused)
            buried += len({n.member.name for _, _, n in fleet.news if isinstance(n, Left)} - stopped)
            if changed:
                next(changed, None)
        print(
            f"  {size:5} members, {seeds} seeds, {mode:16}, "
            f"{'with' if doubt else 'without'} self-doubt: "
            f"{by_stopped:4} {by_running:4}; {buried} buried",
            flush=True,
        )


def sick(sizes: list[int], seeds: int) -> None:
    """One whose own link loses most, both ways, with and without points of ill health."""
    print("60 s for each seed: doubts that it has of others")
    for size, lost, most in [
        (size, lost, most) for size in sizes if size <= 50 for lost in (0.6, 0.8) for most in (2, 0)
    ]:
        before, self_doubt.HEALTH_MOST = self_doubt.HEALTH_MOST, most
        accused = 0
        for seed in range(seeds):
            fleet = fleet_of(size, seed)
            chance = fleet.random.random
            fleet.blocked = lambda a, b, lost=lost, chance=chance: "m7" in (a, b) and chance() < lost
            fleet.run(60)
            accused += sum(isinstance(n, Suspected) and n.by == whom == "m7" for _, whom, n in fleet.news)
        self_doubt.HEALTH_MOST = before
        print(
            f"  {size:5} members, {lost:.0%} lost, {most} points at most: {accused} in {seeds} seeds",
            flush=True,
        )


def stop_and_go(fleet: Fleet, name: str, random: Random, starved: bool) -> None:
    """From now on, in turn."""
    stands, runs = ((0.6, 2.0), (0.02, 0.2)) if starved else ((1.0, 8.0), (0.5, 4.0))

    def stop() -> None:
        fleet.pause(name)
        fleet.later(random.uniform(*stands), go)

    def go() -> None:
        fleet.go_on(name)
        fleet.later(random.uniform(*runs), stop)

    fleet.later(random.uniform(0, 3), stop)


def splits(sizes: list[int], seeds: int) -> None:
    """Splits, until each side holds its own alone, and their end, until all hold all."""
    print("seconds until each side knows, and from the end until all are one again: median, worst seed")
    shapes: list[tuple[str, Callable[[int], int]]] = [
        ("50/50", lambda size: size // 2),
        ("90/10", lambda size: max(1, size // 10)),
        ("single", lambda size: 1),
    ]
    for size in sizes:
        for shape, part in shapes:
            known, healed, failed = [], [], 0
            for seed in range(seeds if size <= 200 else 1):
                fleet = fleet_of(size, seed)
                side = set(list(fleet.running)[-part(size) :])
                other = set(fleet.running) - side
                fleet.blocked = lambda a, b, side=side: (a in side) != (b in side)
                began = fleet.now
                failed += not fleet.run(
                    LONG_S, lambda f=fleet, s=side, o=other: f.agree(s) and f.agree(o), 500_000
                )
                known.append((fleet.now - began) / 1e6)
                fleet.run(20)
                fleet.blocked = None
                began = fleet.now
                failed += not fleet.run(LONG_S, fleet.agree, 500_000)
                healed.append((fleet.now - began) / 1e6)
            print(
                f"  {size:5} members, {shape:6}: {statistics.median(known):5.1f} {max(known):5.1f}; "
                f"{statistics.median(healed):5.1f} {max(healed):5.1f}; not within {LONG_S:.0f} s: {failed}",
                flush=True,
            )


def storms(sizes: list[int], seeds: int) -> None:
    """Seven of ten killed at once; all starting in one second, with three seeds known."""
    print("seconds until all agree: median, worst of the seeds")
    for size in [size for size in sizes if size <= 200]:
        for what, links in (("clean", {}), ("30% lost", LOSSY)):
            killed, started = [], []
            for seed in range(seeds):
                fleet = fleet_of(size, seed, **links)
                for i in range(size * 7 // 10):
                    fleet.kill(f"m{i}")
                began = fleet.now
                fleet.run(LONG_S, fleet.agree)
                killed.append((fleet.now - began) / 1e6)
                fleet = Fleet(size, seed, **links)
                fleet.run(LONG_S, lambda f=fleet, n=size: len(f.running) == n and f.agree())
                started.append(fleet.now / 1e6)
            print(
                f"  {size:5} members, {what:9}: seven of ten killed {statistics.median(killed):5.1f} "
                f"{max(killed):5.1f}; all started in one second {statistics.median(started):5.1f} "
                f"{max(started):5.1f}",
                flush=True,
            )


def real(sizes: list[int], seeds: int) -> None:
    """CPU and memory of idle processes on loopback, with peers and without, side by side."""
    example = json.loads((Path(__file__).parents[1] / "examples" / "peers.json").read_text())
    seconds, count = 30.0, 8
    with TemporaryDirectory() as folder, ExitStack() as ends:
        groups: dict[str, list[subprocess.Popen[bytes]]] = {"with peers": [], "without": []}
        seeds_at = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        for name, group in groups.items():
            for i in range(count):
                raw = {
                    **example,
                    "name": f"lb-{i}",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "admin_addr": "127.0.0.1:0",
                    "peers": {**example["peers"], "listen": seeds_at[i], "seeds": seeds_at[:3]},
                }
                if name == "without":
                    del raw["peers"]
                config = Path(folder) / f"{name} {i}.json"
                config.write_text(json.dumps(raw))
                group.append(
                    ends.enter_context(
                        subprocess.Popen(
                            [sys.executable, "-m", "roadlb"],
                            stderr=subprocess.DEVNULL,
                            env={**os.environ, "PROXY_CONFIG": str(config)},
                        )
                    )
                )
                ends.callback(group[-1].kill)
        time.sleep(10)
        before = {name: [used(one.pid) for one in group] for name, group in groups.items()}
        time.sleep(seconds)
        for name, group in groups.items():
            now = [used(one.pid) for one in group]
            cpu = [(b[0] - a[0]) / seconds * 1e6 for a, b in zip(before[name], now, strict=True)]
            print(
                f"  {count} processes {name:10}: {statistics.mean(cpu):6.0f} us of CPU a second each, "
                f"{statistics.mean(b[1] for b in now):5.1f} MB resident",
                flush=True,
            )


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
        found.bind(("127.0.0.1", 0))
        port: int = found.getsockname()[1]
        return port


def used(pid: int) -> tuple[float, float]:
    """Seconds of CPU and resident MB of a process so far; /proc, hundredths of a second."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK"), int(words[21]) * 4096 / 1e6


PARTS: dict[str, Callable[[list[int], int], None]] = {
    "know": know,
    "cost": cost,
    "pauses": pauses,
    "splits": splits,
    "storms": storms,
    "sick": sick,
    "real": real,
}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], help=", ".join(PARTS))
    parser.add_argument("--sizes", default="12,50,200,1000")
    parser.add_argument("--seeds", type=int, default=5)
    told = parser.parse_args()
    for part in told.parts or PARTS:
        PARTS[part]([int(size) for size in told.sizes.split(",")], told.seeds)


if __name__ == "__main__":
    main()
