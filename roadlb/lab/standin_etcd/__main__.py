"""The stand-in as a process: `python -m roadlb.lab.standin_etcd [PORT]`; orders come as lines on its input.

It says `at HOST:PORT` when it serves, and `done WORDS` when an order is carried out:

    fault none|deaf|silent|away      until the next
    backup NAME                      keep all as it stands
    restore NAME                     go back to that
    compact                          forget all but the newest revision

The end of its input ends it, so that it does not outlive who started it.
"""

from __future__ import annotations

import asyncio
import sys

from ...etcd.model import Compact
from . import events
from .server import Fault, StandIn
from .store import Store


def obey(store: StandIn, backups: dict[str, Store], words: list[str]) -> None:
    """ValueError for an order that is none."""
    match words:
        case ["fault", fault]:
            store.fault = Fault(fault)
        case ["backup", name]:
            backups[name] = store.store.backup()
        case ["restore", name] if name in backups:
            store.restore(backups[name])
        case ["compact"]:
            store.tell(events.Asked(0, Compact(store.store.revision)))
        case _:
            raise ValueError(f"{' '.join(words)!r} is no order here, or names a backup that is not there")


async def main(port: int) -> None:
    loop, backups = asyncio.get_running_loop(), dict[str, Store]()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with StandIn(port=port) as store:
        print("at", store.address, flush=True)
        while line := (await reader.readline()).decode():
            try:
                obey(store, backups, line.split())
            except ValueError as e:
                print("error", e, flush=True)
            else:
                print("done", line.strip(), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
