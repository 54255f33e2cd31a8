"""Processes that a run has started: each is told apart by a name, answers lines, and is ended by its own id.

None outlives the rig, also where that is killed: the kernel ends each with its parent.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Self

import roadlb

from ..agreement.ends import ends

LAST_S = 5.0  # from SIGTERM until a process that has not ended is killed
LINE_MOST = 16 << 20  # bytes of an answer
# prctl(PR_SET_PDEATHSIG, SIGKILL), unless the parent has gone before that could tell; then the program
# itself, in the same process.
TIED = (
    "import ctypes, os, sys; ctypes.CDLL(None).prctl(1, 9); "
    "os.getppid() == int(sys.argv[1]) or os._exit(1); os.execv(sys.argv[2], sys.argv[2:])"
)


class Ended(RuntimeError):
    """A process has ended that should not; its last words are in the text."""


class Process:
    """Made by `Processes.start`."""

    def __init__(self, name: str, log: Path, process: asyncio.subprocess.Process) -> None:
        self.name, self.log, self._process = name, log, process

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def runs(self) -> bool:
        return self._process.returncode is None

    def said(self) -> str:
        """What it has written to its log."""
        return self.log.read_text(errors="replace")

    async def wait(self) -> None:
        """Until it has ended."""
        await self._process.wait()

    async def line(self) -> str:
        """The next line of its output."""
        assert self._process.stdout
        found = await ends(f"{self.name} answers", self._process.stdout.readline())
        if not found:
            raise Ended(f"{self.name} has ended: {self.said()[-2_000:]}")
        return found.decode().strip()

    async def ask(self, **words: Any) -> dict[str, Any]:
        """One line of JSON there, one back."""
        assert self._process.stdin
        self._process.stdin.write(json.dumps(words).encode() + b"\n")
        await self._process.stdin.drain()
        answer: dict[str, Any] = json.loads(await self.line())
        return answer

    def kill(self) -> None:
        if self.runs:
            self._process.send_signal(signal.SIGKILL)

    async def close(self) -> None:
        """Ended, whatever it does; a second time has no effect."""
        if self._process.stdin:
            self._process.stdin.close()
        if self.runs:
            self._process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(LAST_S):
                    await self._process.wait()
            except TimeoutError:
                self.kill()
        await self._process.wait()


class Processes:
    """All processes of one deployment: `async with`, at whose end none is left."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.all = folder, list[Process]()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        closing = asyncio.gather(*(one.close() for one in self.all), return_exceptions=True)
        try:
            await asyncio.shield(closing)
        finally:  # interrupted while they end: at once
            for one in self.all:
                one.kill()

    async def start(
        self,
        name: str,
        argv: Sequence[str],
        variables: Mapping[str, str] | None = None,
        lines: bool = True,
    ) -> Process:
        """`python argv`, with this program's own roadlb; without `lines` all that it writes is its log."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as words:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-c", TIED, str(os.getpid()), sys.executable),
                *argv,
                stdin=asyncio.subprocess.PIPE if lines else asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if lines else words,
                stderr=words,
                env={**os.environ, "PYTHONPATH": str(Path(roadlb.__file__).parents[1]), **(variables or {})},
                cwd=self.folder,  # which `-m` looks in first
                limit=LINE_MOST,
                start_new_session=True,  # a terminal's Ctrl-C is the rig's, which ends all of them
            )
        self.all.append(one := Process(name, log, process))
        return one

    def write(self, name: str, content: object) -> Path:
        """A file of the deployment, as JSON."""
        file = self.folder / name
        file.write_text(json.dumps(content))
        return file


async def answer_lines(answer: Callable[[dict[str, Any]], dict[str, Any]]) -> None:
    """The other end of `ask`: until the input ends."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(answer(json.loads(line))), flush=True)
