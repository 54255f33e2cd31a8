"""Processes of a benchmark: started, pinned to cores, measured from outside, and ended."""

from __future__ import annotations

import ctypes
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from pathlib import Path

HERE = Path(__file__).resolve().parent
_LIBC = ctypes.CDLL(None, use_errno=True)


def end_on_signal() -> None:
    """Have SIGTERM unwind the program as Ctrl-C does, so that no child outlives it."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by a signal"))


class Process:
    """A child process on the cores it is given."""

    def __init__(
        self,
        command: Sequence[str],
        cores: set[int],
        cwd: Path | None = None,
        env: Mapping[str, str] | None = None,
        log: Path | None = None,
    ) -> None:
        err = open(log, "wb") if log else None
        self.child = subprocess.Popen(
            command,
            cwd=cwd,
            env={**os.environ, **(env or {})},
            text=True,
            stdout=subprocess.PIPE,
            stderr=err,
            stdin=subprocess.DEVNULL,
        )
        if err:
            err.close()
        self.log, self.pid = log, self.child.pid
        os.sched_setaffinity(self.pid, cores)
        clock = ctypes.c_int()
        if error := _LIBC.clock_getcpuclockid(self.pid, ctypes.byref(clock)):
            raise OSError(error, os.strerror(error))
        self._clock = clock.value

    def first_line(self) -> str:
        assert self.child.stdout
        if line := self.child.stdout.readline().strip():
            return line
        raise SystemExit(f"{self.child.args!r} ended with {self.child.wait()} and said nothing")

    def cpu_us(self) -> float:
        """Time on a core of all its threads, user and system: the sum that /proc/PID/stat gives in 10 ms."""
        return time.clock_gettime_ns(self._clock) / 1000

    def peak_mb(self) -> float:
        """The most that was resident at once (VmHWM)."""
        found = re.search(r"VmHWM:\s*(\d+) kB", Path(f"/proc/{self.pid}/status").read_text())
        assert found
        return int(found[1]) / 1024

    def stop(self) -> None:
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
            try:
                self.child.wait(5)
            except subprocess.TimeoutExpired:
                self.child.kill()
                self.child.wait()
        if self.child.stdout:
            self.child.stdout.close()


class Parties(Process):
    """The grid nodes and their discovery service."""

    def __init__(self, nodes: int, delay_ms: float, cores: set[int]) -> None:
        super().__init__(
            [sys.executable, str(HERE / "parties.py"), "--nodes", str(nodes), "--delay-ms", str(delay_ms)],
            cores,
        )
        ports = json.loads(self.first_line())
        self.nodes: list[int] = ports["nodes"]
        self.discovery: int = ports["discovery"]

    def asked(self) -> int:
        """How many requests all nodes have had."""
        with urllib.request.urlopen(f"http://127.0.0.1:{self.nodes[0]}/counts", timeout=2) as answer:
            return int(json.load(answer)["requests"])


class Relay(Process):
    name = "relay"

    def __init__(self, nodes: Sequence[int], cores: set[int], program: Path = HERE / "relay.py") -> None:
        super().__init__([sys.executable, str(program), *(f"127.0.0.1:{p}" for p in nodes)], cores)
        self.port = int(self.first_line())


class Roadlb(Process):
    """`python -m roadlb` of some tree, with the settings of its examples/config.json.

    `installed`: the package that the interpreter has, as the platform runs it, and not the tree's sources.
    """

    name = "roadlb"

    def __init__(
        self,
        python: str,
        root: Path,
        nodes: Sequence[int],
        discovery: int,
        cores: set[int],
        command: Sequence[str] = ("-m", "roadlb"),
        installed: bool = False,
    ) -> None:
        self.dir = tempfile.TemporaryDirectory(prefix="roadlb-bench-")
        self.port = free_port()
        config = json.loads((root / "examples" / "config.json").read_text())
        config |= {
            "name": "bench",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "known": {
                "generation": 1,
                "reset": True,
                "instances": [
                    {
                        "instanceId": f"node-{i}",
                        "hostPort": f"127.0.0.1:{port}",
                        "zone": "hall-a",
                        "machineType": "toy",
                        "cell": 0,
                        "lifecycle": "up",
                        "weight": 1.0,
                        "startedAtMs": 0,
                    }
                    for i, port in enumerate(nodes)
                ],
            },
        }
        path = Path(self.dir.name) / "config.json"
        path.write_text(json.dumps(config))
        super().__init__(
            [python, *(["-P"] if installed else []), *command],
            cores,
            cwd=root,
            log=Path(self.dir.name) / "log",
            env={"PROXY_CONFIG": str(path), "PYTHONPATH": "" if installed else str(root)},
        )
        self._await_listening()

    def _await_listening(self) -> None:
        until = time.monotonic() + 10
        while time.monotonic() < until and self.child.poll() is None:
            try:
                urllib.request.urlopen(f"http://127.0.0.1:{self.port}/healthz", timeout=1).close()
                return
            except urllib.error.HTTPError:
                return  # 503: it knows no instance
            except OSError:
                time.sleep(0.02)
        assert self.log
        raise SystemExit(f"roadlb did not come up; its log ends with:\n{self.log.read_text()[-2000:]}")

    def stop(self) -> None:
        super().stop()
        self.dir.cleanup()


def free_port() -> int:
    """A port that was free a moment ago, as roadlb is told its port."""
    with socket.create_server(("127.0.0.1", 0)) as s:
        port: int = s.getsockname()[1]
        return port
