"""Runs within a balancer's process: writes down each share that its module was told, with the clock.

`roadlb.lab.mutants.at_start` begins it where the environment says so.  One line of JSON for each event that
can change a share, written at once, so that a process that is killed has told all:

    at, done   before and after the module was told, microseconds
    until      when the first lease ends; from then on the second figure of each pair holds
    shares     by budget (a customer's number, a cold server's id, repeats, or a hall's number for what is
               sent to it while it is away): [until then, from then on]
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from ...clock import monotonic_us
from ...policy.interface import Action, Event, ListUpdate, ProcessOverload, SharedStateUpdate
from ...policy.logic import Balancer

VARIABLE, SHORT = "ROADLB_SHARES", "ROADLB_SHORT"
FAR = 1 << 61  # of the clock: when every lease is over


def shares(module: Balancer, now: int, told: SharedStateUpdate, halls: int) -> dict[str, tuple[float, float]]:
    """What the module may use of each budget, as it reckons itself: at once, and when leases are over; of
    rates, as it was told last."""
    held, found = module.shares, {}

    def of_rate(share: float | None) -> tuple[float, float]:
        if share is None:
            return (1 / held.process_count,) * 2
        least = min(share, told.fallback_share)
        return (least if 0 < told.lease_end_us <= now else share), least

    for number in range(len(module.settings.tenants)):
        found[f"customer {number}"] = 1 / held.quota_divisor(now, number), 1 / held.quota_divisor(FAR, number)
    for server in module.servers.by_id.values():
        if server.capacity_share_at(module.warmth, now) < 1:
            found[f"{server.id.hex()} {server.started_us}"] = (
                1 / held.slow_start_divisor(now, server.id),
                1 / held.slow_start_divisor(FAR, server.id),
            )
    if told.retries_per_s:
        found["repeats"] = of_rate(told.retry_share)
    if told.dials_per_s:
        found |= {f"dials {hall}": of_rate(told.dial_shares.get(hall)) for hall in range(halls)}
    return found


def begin(folder: str) -> None:
    """From now on, to a file of this process in the folder."""
    config = Path(os.environ["PROXY_CONFIG"])
    name, halls = config.stem, len(json.loads(config.read_text())["settings"]["dcs"])
    file = os.open(Path(folder) / f"{name}.{monotonic_us()}.shares", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    short = float(os.environ.get(SHORT, "0"))
    handle = Balancer.handle
    last: SharedStateUpdate | None = None

    def watched(module: Balancer, now: int, event: Event) -> list[Action]:
        nonlocal last
        if isinstance(event, ProcessOverload):
            event = ProcessOverload(max(event.share, short))
        if not isinstance(event, SharedStateUpdate | ListUpdate):
            return handle(module, now, event)
        pressed = handle(module, now, ProcessOverload(short)) if short else []
        at = monotonic_us()
        actions = [*pressed, *handle(module, now, event)]
        done = monotonic_us()
        if isinstance(event, SharedStateUpdate):
            last = event
        if last is None:
            return actions  # it serves nobody until it has heard of what its earlier life gave
        os.write(
            file,
            (
                json.dumps(
                    {
                        "at": at,
                        "done": done,
                        "until": last.lease_end_us,
                        "shares": shares(module, done, last, halls),
                    }
                )
                + "\n"
            ).encode(),
        )
        return actions

    setattr(Balancer, "handle", watched)  # noqa: B010
