"""One real `python -m roadlb` of a run, and the calls of its operators' address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from typing import Any, Self

from ..run.ports import reserved
from .processes import Process, Processes
from .settings import HOST, configuration
from .waits import until

CALL_S = 5.0


class RealBalancer:
    """`async with`: it serves when that begins.  Its ports are the kernel's, held until it has bound them."""

    def __init__(self, processes: Processes, number: int, balancers: int, further: Mapping[str, Any]) -> None:
        """`further`: of its configuration, beside what all have."""
        self.name = f"balancer-{number:04}"
        self._processes, self._held = processes, list[socket.socket]()
        self.admin_port = self._port()
        self._configuration = {
            **configuration(self.name, number, balancers),
            "listen": f"{HOST}:{self._port()}",
            "admin_addr": f"{HOST}:{self.admin_port}",
            **further,
        }
        self.process: Process

    def _port(self) -> int:
        self._held.append(held := reserved(HOST))
        port: int = held.getsockname()[1]
        return port

    async def __aenter__(self) -> Self:
        try:
            file = self._processes.write(f"{self.name}.json", self._configuration)
            variables = {"PROXY_CONFIG": str(file), "PROXY_NAME": self.name}
            self.process = await self._processes.start(
                f"real-{self.name}", ["-m", "roadlb"], variables, False
            )

            async def listens() -> bool:
                return "event=listening" in self.process.said()

            await until(f"{self.name} listens", listens)
        finally:
            for held in self._held:
                held.close()
        return self

    async def __aexit__(self, *_: object) -> None:
        if hasattr(self, "process"):
            await self.process.close()

    async def call(self, path: str) -> str:
        """The body of the answer to a GET."""
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(HOST, self.admin_port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
            answer = await reader.read()
            writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n")[0]:
            raise RuntimeError(f"{self.name}: {path} was answered {head[:60]!r}")
        return body.decode()

    async def gauge(self, name: str) -> int:
        """One of the figures that operators fetch."""
        for line in (await self.call("/control/counters")).splitlines():
            key, _, value = line.partition(":")
            if key == f"edge_proxy.{name}":
                return int(value.partition("|")[0])
        raise KeyError(f"{self.name} has no figure {name}")
