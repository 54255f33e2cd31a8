"""What all balancers of a run are configured with, hollow and real ones alike."""

from __future__ import annotations

from typing import Any

HOST = "127.0.0.1"  # nothing here leaves the machine
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f")
CONTRADICTION_S = 4.0  # the operators' bound for a change that is in force everywhere
MEMORY_MB = 256
PEERS_KEY = "of this run only, on loopback"
RETRY_US = 1_200_000
STARTED_MS = 1_790_000_000_000


def server_name(number: int) -> str:
    return f"server-{number:05}"


def entry(number: int, lifecycle: str = "up") -> dict[str, object]:
    """A server as discovery lists it; nobody calls it."""
    return {
        "instanceId": server_name(number),
        "hostPort": f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:8080",
        "zone": ZONES[number % len(ZONES)],
        "machineType": "accelerator",
        "cell": number % 40,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": STARTED_MS,
    }


def settings(balancers: int, number: int = 0, retry_us: int = RETRY_US) -> dict[str, Any]:
    """Of balancer `number` of so many; `retry_us`, of no weight here, tells one version from another."""
    return {
        "me": number,
        "instances": balancers,
        "az": number % len(ZONES),
        "dcs": list(ZONES),
        "machine_types": ["accelerator"],
        "discovery": "pushed",
        "classes": [
            {
                "name": "completion",
                "effect": "idempotent",
                "promise_us": 2_000_000,
                "deadline_us": 10_000_000,
                "value": 2.0,
                "late_worth": 0.5,
            },
            {
                "name": "load",
                "effect": "at_most_once",
                "promise_us": 2_000_000,
                "deadline_us": 10_000_000,
                "value": 10.0,
                "late_worth": 0.5,
            },
        ],
        "tenants": [
            {"name": "first", "share": 0.8, "quota_per_s": 2_480.0},
            {"name": "second", "share": 0.2, "quota_per_s": 620.0},
        ],
        "domain": {"warm_keys": True},
        "report": {"source": "inline", "fields": ["fail_rate", "q"]},
        "weight_source": "rough",
        "limits": {
            "cancelling": True,
            "second_copies": True,
            "probes": True,
            "max_attempts": 3,
            "max_retry_after_us": retry_us,
            "max_open": 20_000,
            "conn_idle_us": 10_000_000,
            "dial_timeout_us": 250_000,
        },
        "invariants": {"cold_from": 0.12, "cold_us": 23_000_000, "fall_multiple": 3.0, "fall_us": 1_000_000},
    }


def configuration(name: str, number: int, balancers: int) -> dict[str, Any]:
    """As a balancer's file has it, without the parts that differ from one measurement to the next."""
    return {
        "name": name,
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:9",  # nobody: those that are told by one say which
        "seed": f"{number:x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings(balancers, number),
    }
