"""Compiles the hot modules with mypyc, if ROADLB_COMPILED=1; else roadlb is installed as it stands.

What is compiled is the very source that the tests read: mypyc takes the annotations at their word and leaves
the meaning as it is.  `docs/design/data-path.md` has what it gains.
"""

import os

from setuptools import setup

HOT = (
    "clock",
    "wheel",
    "body_stream",
    "exchange",
    "engine",
    "routing/slow_start_budget",
    "routing/key_order",
    "routing/key_sets",
    "routing/shares",
    "routing/health",
    "sites/events",
    "sites/state_machine",
    "sites/refusal",
    "sites/warm_up",
    "sites/in_flight_load",
    "policy/interface",
    "policy/state",
    "policy/server_list",
    "policy/slow_start",
    "policy/change",
    "policy/logic",
    "policy/memory_admission",
    "policy/connection_admission",
    "net/headers",
    "net/read_buffer",
    "net/request_ids",
    "net/turn_queue",
    "net/http",
    "net/server_request",
    "net/client_connection",
    "net/frontend",
    "net/server_connection",
    "net/unasked_bytes",
    "net/pool",
    "net/server_connections",
    "overload/loop_monitor",
    "overload/memory_budget",
    "own_load",
)


def compiled() -> list:
    if os.environ.get("ROADLB_COMPILED") != "1":
        return []
    from mypyc.build import mypycify

    # Level 1: level 3 takes half as long again to compile, and gains nothing that can be told.
    return mypycify(
        [f"roadlb/{module}.py" for module in HOT],
        opt_level="1",
        target_dir=os.environ.get("ROADLB_TEMP", "build"),
    )


setup(ext_modules=compiled())
