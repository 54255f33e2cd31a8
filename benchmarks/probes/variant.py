"""roadlb as it is, but for one thing: `python benchmarks/probes/variant.py NAME`, with its environment.

    as-is      nothing changed
    uvloop     its loop is uvloop's
    asyncio    its loop is asyncio's
    no-log     no record is even made
    no-gc      the cyclic collector never runs
    no-guards  no timer of a second or more is set (only for a loop of asyncio's)
    retries    it may retry every read, and sheds nothing for work that was turned away
    profile    under cProfile, whose figures go to the file that PROFILE names; with RETRIES, like `retries`

Only the loop, the standard library's switches and roadlb's own constants are touched.
"""

from __future__ import annotations

import asyncio
import cProfile
import gc
import importlib
import logging
import os
import runpy
import sys
from collections.abc import Callable
from contextvars import Context

import uvloop


class Unguarded(asyncio.SelectorEventLoop):
    """Sets no timer that would be cancelled in the usual course of a request."""

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        if delay >= 1.0 and getattr(callback, "__name__", "") == "_give_up":
            return NEVER
        return super().call_later(delay, callback, *args, context=context)


NEVER = asyncio.TimerHandle(0.0, lambda: None, (), asyncio.new_event_loop())
LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    "uvloop": uvloop.new_event_loop,
    "asyncio": asyncio.new_event_loop,
    "no-guards": Unguarded,
}


def allow_retries() -> None:
    from roadlb.policy import logic

    logic.RETRY_RATIO, logic.PRESS, logic.FULL_MOST_US = 1.0, 0.0, 0


def main() -> None:
    name = sys.argv[1]
    sys.argv = ["roadlb"]
    sys.path.insert(0, os.getcwd())
    if name == "uvloop":
        for module in ("connections", "frontend"):  # sets what only asyncio's transports have
            part = importlib.import_module(f"roadlb.net.{module}")
            if hasattr(part, "read_little"):
                setattr(part, "read_little", lambda transport: None)  # noqa: B010
    if name in LOOPS:

        class Policy(asyncio.DefaultEventLoopPolicy):
            def new_event_loop(self) -> asyncio.AbstractEventLoop:
                return LOOPS[name]()

        asyncio.set_event_loop_policy(Policy())
    elif name == "no-log":
        logging.disable(logging.CRITICAL)
    elif name == "no-gc":
        gc.set_threshold = lambda *_: None
        gc.disable()
    elif name == "retries":
        allow_retries()
    elif name == "profile":
        if "RETRIES" in os.environ:
            allow_retries()
        profile = cProfile.Profile()
        try:
            profile.runcall(runpy.run_module, "roadlb", run_name="__main__")
        finally:
            profile.dump_stats(os.environ["PROFILE"])
        return
    elif name != "as-is":
        raise SystemExit(f"{name}: no such variant")
    runpy.run_module("roadlb", run_name="__main__")


if __name__ == "__main__":
    main()
