"""`python -m roadlb`: one real balancer, configured by PROXY_CONFIG."""

import roadlb.without_openssl  # noqa: F401  # before asyncio and uvloop
import asyncio
import os
import sys

import uvloop

from roadlb import app, log
from roadlb.config import ConfigError, load

if __name__ == "__main__":
    log.set_up()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(app.run(load(os.environ), lambda: load(os.environ, again=True)))
    except ConfigError as e:
        sys.exit(f"roadlb: {e}")
