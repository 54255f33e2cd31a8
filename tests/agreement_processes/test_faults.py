"""Faults end whatever moment they are ended at."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from roadlb.lab.agreement.faults import Faults


def test_a_fault_that_is_under_way_when_all_ends_is_ended_too(monkeypatch: Any) -> None:
    # The store was left away for ever, and the play waited for an answer of it.
    async def main() -> list[str]:
        told, under_way, goes_on = list[str](), asyncio.Event(), asyncio.Event()

        async def order_store(words: str) -> None:
            told.append(words)
            if words != "fault none":
                under_way.set()
                await goes_on.wait()

        faults = Faults(SimpleNamespace(order_store=order_store), 1, (0.0, 0.0))  # type: ignore[arg-type]
        monkeypatch.setattr(faults, "_one", faults._store)
        monkeypatch.setattr(faults, "_spared", lambda: False)
        running = asyncio.create_task(faults.run())
        await under_way.wait()
        healing = asyncio.create_task(faults.heal(running))
        await asyncio.sleep(0)
        goes_on.set()
        await asyncio.wait_for(healing, 60)
        return told

    told = asyncio.run(main())
    assert told[-1] == "fault none" and len(told) == 2
