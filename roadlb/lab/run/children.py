"""Further processes of a rig beside its balancers, by name: started, stopped, continued, killed, restarted.

Each is ended by its own id when the rig ends, however that comes about; a stopped one is continued first.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

LAST_S = 5.0  # from SIGTERM until a process that has not ended is killed


class Child:
    """Made by `Rig.spawn`.  Each call is noted in the rig's log, with the machine's clock."""

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        variables: Mapping[str, str],
        folder: Path,
        note: Callable[[str], int],
    ) -> None:
        self.name, self.argv, self._variables = name, list(argv), dict(variables)
        self._folder, self._note = folder, note
        self.starts = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, further: Mapping[str, str] | None = None) -> None:
        """Its output goes to `log`, a new one with each start.  `further`: variables, for this start.
        RuntimeError if it runs."""
        if self.runs:
            raise RuntimeError(f"{self.name} runs; end it first")
        self.starts += 1
        with self.log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.argv,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self._variables, **(further or {})},
            )
        self._note(f"{self.name}: started, process {self._process.pid}")

    @property
    def log(self) -> Path:
        return self._folder / f"{self.name}-{self.starts}.log"

    def said(self) -> str:
        """All that it has written since its last start."""
        return self.log.read_text(errors="replace")

    @property
    def runs(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def stands(self) -> bool:
        """Has it been stopped, and not gone on?"""
        return self.runs and os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WNOHANG | os.WNOWAIT) is not None

    @property
    def pid(self) -> int:
        assert self._process
        return self._process.pid

    def signal(self, number: int) -> None:
        """One that has ended gets none."""
        if self._process and self._process.returncode is None:
            self._note(f"{self.name}: {signal.Signals(number).name}")
            self._process.send_signal(number)

    def another(self) -> Child:
        """A further process of this name, not started yet, whose output is told apart."""
        other = Child(self.name, self.argv, self._variables, self._folder, self._note)
        other.starts = self.starts
        return other

    def stop(self) -> None:
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        self.signal(signal.SIGTERM)

    async def ended(self) -> int:
        """Its exit code, once it has ended."""
        assert self._process
        code = await self._process.wait()
        self._note(f"{self.name}: ended with {code}")
        return code

    async def restart(self, argv: Sequence[str] | None = None) -> None:
        """Killed, if it runs, and started again; with another command if one is given."""
        if self.runs:
            self.kill()
            await self.ended()
        if argv is not None:
            self.argv = list(argv)
        await self.start()

    async def close(self) -> None:
        if not self.runs:
            return
        assert self._process
        self.go_on()
        self.terminate()
        try:
            async with asyncio.timeout(LAST_S):
                await self._process.wait()
        except TimeoutError:
            self.kill()
            await self._process.wait()
