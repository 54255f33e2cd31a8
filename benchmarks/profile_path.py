"""Where the CPU of one request goes in roadlb: samples of the live process by group, and calls by function.

    python benchmarks/profile_path.py sample --kind served        needs py-spy (0.4.3)
    python benchmarks/profile_path.py calls --kind served

`sample` looks at the process from outside, native frames included, and puts each sample into the group of
the frame nearest to its leaf that a rule names.  `calls` runs it under cProfile, which makes each call dearer
and so tells nothing of time, but counts calls exactly.  Here every read is retried for the kind `retried`.
"""

from __future__ import annotations

import argparse
import os
import pstats
import re
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import uvloop
from data_path import KINDS, cores, default_cores
from load import Kind, Load
from subjects import HERE, Parties, Roadlb, end_on_signal

HERTZ, CONNECTIONS = 250, 48
# The first rule that a frame matches gives its group; a frame that none names takes its caller's.
RULES = [
    (group, re.compile("|".join(patterns)))
    for group, patterns in {
        "collector": (r"^gc_collect",),
        "logging": (r"/logging/", r"roadlb/log\.py"),
        "decision module": (r"roadlb/policy/",),
        "writing": (
            r"^(send|write|writev) \(libc",
            r"Transport\.write(lines)? ",
            r"http_writer",
            r"Response\.(prepare|_start|_prepare\w*|_write_headers|write_eof|_send) ",
            r"ClientRequest\.(send|write_bytes|_write) ",
            r"\b_?write\w* \(roadlb/net/",
        ),
        "engine": (r"roadlb/(engine|exchange|counters)\.py",),
        "client side: parsing": (
            r"(RequestHandler|_Connection)\.data_received ",
            r"HttpRequestParser",
            r"ClientConnection\.(data_received|on_\w+|_process_input) ",
        ),
        "client side: the rest": (r"roadlb/net/(frontend|client_connection)", r"aiohttp/web_"),
        "instance side: reading the answer": (
            r"(ResponseHandler|ServerConnection)\.(data_received|feed_data|on_\w+) ",
            r"HttpResponseParser",
            r"ServerConnection\.(_head\w*|_end\w*|_over|_judge) ",
            r"ClientResponse\.(start|read) ",
        ),
        "instance side: the rest": (
            r"roadlb/net/(server_connection|server_request|pool)",
            r"aiohttp/(client|connector)",
        ),
        "discovery": (r"roadlb/net/discovery",),
        "tasks, futures, timers": (
            r"roadlb/wheel",
            r"asyncio/(tasks|futures|base_futures|timeouts|locks)\.py",
            r"_asynciomodule",
            r"\.(call_soon|_call_soon|call_later|call_at|create_task|create_future) ",
            r"(Timer)?Handle\.(__\w+__|cancel) ",
            r"timer_handle",
            r"heap",
            r"Context\.run",
        ),
        "event loop and its system calls": (
            r"asyncio/",
            r"selectors\.py",
            r"uvloop",
            r"libuv",
            r"^(recv|read|epoll_\w+) \(libc",
        ),
    }.items()
]


def group_of(stack: list[str]) -> str:
    for frame in reversed(stack):
        for group, rule in RULES:
            if rule.search(frame):
                return group
    return "unnamed"


async def under_load(
    options: argparse.Namespace, command: list[str], env: dict[str, str], seconds: float
) -> tuple[float, float]:
    """Play the load against roadlb; py-spy watches if `options.output` says so.  Returns requests, CPU us."""
    core, others = options.cpus[0], set(options.cpus[1:]) or {options.cpus[0]}
    os.sched_setaffinity(0, others)
    os.environ.update(env)
    kind = Kind("retried", again=1.0) if options.kind == "retried" else KINDS[options.kind]
    parties = Parties(6, options.delay_ms, others)
    try:
        nodes = [] if kind.expects == 503 else parties.nodes
        roadlb = Roadlb(options.python, options.root, nodes, parties.discovery, {core}, command)
        try:
            load = Load(roadlb.port, CONNECTIONS)
            await load.connect()
            sent = (await load.play(kind, options.rate, 1.0, 0)).sent
            spy = (
                subprocess.Popen(
                    [
                        str(Path(sys.executable).with_name("py-spy")),
                        "record",
                        "--native",
                        "--pid",
                        str(roadlb.pid),
                        "--duration",
                        str(int(seconds) - 1),
                        "--rate",
                        str(HERTZ),
                        "--format",
                        "raw",
                        "--output",
                        str(options.output),
                    ],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
                if options.how == "sample"
                else None
            )
            before = roadlb.cpu_us()
            result = await load.play(kind, options.rate, seconds, 1)
            cpu = roadlb.cpu_us() - before
            print(f"{options.kind} at {options.rate:g}/s: {dict(result.statuses)}", file=sys.stderr)
            load.close()
            if spy:
                spy.wait()
        finally:
            roadlb.stop()
    finally:
        parties.stop()
    return sent + result.sent, cpu / result.sent


def samples(path: Path) -> Iterator[tuple[list[str], int]]:
    for line in path.read_text().splitlines():
        stack, _, count = line.rpartition(" ")
        yield stack.split(";"), int(count)


def sample(options: argparse.Namespace) -> None:
    command = ["-m", "roadlb"]
    if options.kind == "retried":
        command = [str(HERE / "probes" / "variant.py"), "retries"]
    _, cpu_us = uvloop.run(under_load(options, command, {}, options.seconds))
    groups, leaves = Counter[str](), Counter[str]()
    for stack, count in samples(options.output):
        if not stack[-1].startswith(("epoll_wait", "epoll_pwait")):  # asleep, or about to be
            groups[group_of(stack)] += count
            leaves[f"{group_of(stack)}: {stack[-1]}"] += count
    total = groups.total()
    print(f"{options.kind}: {total} samples, {cpu_us:.0f} us a request while watched")
    for group, count in groups.most_common():
        print(f"  {group:<36}{count / total:>7.1%}")
    for leaf, count in leaves.most_common(options.top):
        print(f"    {count / total:>6.1%}  {leaf}")


def counted(options: argparse.Namespace, seconds: float) -> tuple[float, Counter[tuple[str, int, str]]]:
    """Requests, and calls of each function, over a whole life of the process."""
    command = [str(HERE / "probes" / "variant.py"), "profile"]
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "profile"
        env = {"PROFILE": str(path)} | ({"RETRIES": "1"} if options.kind == "retried" else {})
        sent, _ = uvloop.run(under_load(options, command, env, seconds))
        stats = vars(pstats.Stats(str(path)))["stats"]
    return sent, Counter({function: row[1] for function, row in stats.items()})


def calls(options: argparse.Namespace) -> None:
    """What a long life has more than a short one is the requests': start and end cost both the same."""
    short, few = counted(options, options.seconds / 4)
    long, many = counted(options, options.seconds)
    places, builtin = dict[str, float](), 0.0
    for function, n in many.items():
        file, each = function[0], (n - few[function]) / (long - short)
        if file == "~":
            builtin += each
        else:  # PACKAGE/FILE.py, or the file alone for a module of the standard library
            place = re.sub(r".*/(?:site-packages/|lib/python3\.\d+/|(?=roadlb/))", "", file)
            places[place] = places.get(place, 0.0) + each
    print(
        f"{options.kind}: {sum(places.values()):.0f} calls of Python functions and {builtin:.0f} of "
        "built-in ones for each request"
    )
    for place, each in sorted(places.items(), key=lambda item: -item[1])[: options.top]:
        print(f"  {each:>7.1f}  {place}")


def main() -> None:
    end_on_signal()
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    add = parser.add_argument
    add("how", choices=("sample", "calls"))
    add("--kind", choices=list(KINDS), default="served")
    add("--rate", type=float, default=400.0)
    add("--seconds", type=float, default=15.0)
    add("--top", type=int, default=15, help="single frames, or files, to list (15)")
    add("--python", default=sys.executable, help="interpreter that runs roadlb (this one)")
    add("--root", type=Path, default=HERE.parent, help="tree whose roadlb is measured")
    add("--cpus", type=cores, default=default_cores(), help="core of the subject, then those of the rest")
    add("--delay-ms", type=float, default=2.0)
    add(
        "--output",
        type=Path,
        default=Path(tempfile.gettempdir()) / "roadlb-stacks.txt",
        help="where the stacks go that were sampled",
    )
    options = parser.parse_args()
    options.root = options.root.resolve()
    {"sample": sample, "calls": calls}[options.how](options)


if __name__ == "__main__":
    main()
