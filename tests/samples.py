"""Configuration that tests share: a setup text (SETUP), a balancer's file, parsed (RAW), a listed server."""

from __future__ import annotations

from typing import Any

from scenario import SETTINGS

RAW: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "settings": SETTINGS,
}


def server_entry(port: int) -> dict[str, object]:
    """What discovery tells of a server on this port of the loopback address."""
    return {
        "instanceId": "s1",
        "hostPort": f"127.0.0.1:{port}",
        "zone": "hall-a",
        "machineType": "new-2c",
        "cell": 0,
        "lifecycle": "up",
        "weight": 1.0,
        "startedAtMs": 0,
    }


SETUP = """az=1
classes.count=2
classes.0.deadline_us=2500000
classes.0.effect=idempotent
classes.0.promise_us=1000000
classes.0.value=1.0
classes.1.deadline_us=2000000
classes.1.effect=deduplicated
classes.1.group=cell
classes.1.late_worth=0.25
classes.1.promise_us=1000000
classes.1.value=2.0
classes.1.window_us=10000000
classes.1.novelty=7
counted_by=work
discovery=on_request
domain.warm_keys=true
instances=3
invariants.cold_from=0.12
invariants.cold_us=24000000
invariants.fall_multiple=2.5
invariants.fall_us=1500000
limits.cancelling=true
limits.max_attempts=3
limits.second_copies=true
me=2
report.fields=q,busy
report.source=inline
something.new=yes
tenants.count=1
tenants.0.name=a
tenants.0.quota_per_s=12.5
weight_source=rough
"""
