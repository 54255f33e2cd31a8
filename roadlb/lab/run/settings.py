"""What a balancer of the rehearsal finds in its configuration, in the platform's words."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

from ...config import Pairs, read_plan
from ...sites.refusal import PlanLine
from ..incident import Incident, micro
from ..incident.targets import balancers_at_start
from ..parties.discovery import Address

MAX_OPEN = 20_000
SEEDS = 4  # balancers that one asks first, of those before it


def settings_of(incident: Incident, me: int, hall: str) -> dict[str, Any]:
    """For balancer number `me`."""
    traffic, rules, prices, told = incident.traffic, incident.rules, incident.prices, incident.balancers
    halls = incident.network.halls
    return {
        "me": me,
        "instances": len(balancers_at_start(incident)),
        "az": halls.index(hall),
        "dcs": list(halls),
        "machine_types": [kind.name for kind in incident.fleet.machines],
        "discovery": "pushed",
        "weight_source": "rough",
        "counted_by": "request",
        "over_share_worth": traffic.over_share_worth,
        "domain": {"warm_keys": True},
        "classes": [
            {
                "name": row.name,
                "promise_us": micro(row.aim_s),
                "deadline_us": micro(row.deadline_s),
                "value": row.worth,
                "late_worth": row.late_share,
                "stream": False,
                "effect": "idempotent" if row.repeatable else "at_most_once",
            }
            for row in traffic.classes
        ],
        "tenants": [
            {"name": row.name, "share": row.share, "quota_per_s": traffic.quota_per_s * row.share}
            for row in traffic.tenants
        ],
        "limits": {
            "cancelling": True,
            "second_copies": rules.second_copies,
            "probes": True,
            "peers": False,
            "retry_after": True,
            "max_attempts": rules.max_attempts,
            "max_retry_after_us": micro(traffic.clients.max_retry_after_s),
            "conn_idle_us": micro(incident.fleet.idle_s),
            "max_open": MAX_OPEN,
            "dial_timeout_us": round(told.dial_timeout_ms * 1_000),
        },
        "report": {"source": "inline", "fields": ["fail_rate", "q"]},
        "costs": {
            "cross_zone": prices.cross_hall / 100,
            "probe": prices.probe / 100,
            "waste": prices.waste / 100,
            "late_fail": prices.late_fail / 100,
            "handshake": prices.handshake / 100,
        },
        "refusal": {"plan": refusal_plan(incident)},
        "invariants": {
            "cold_from": rules.cold_from,
            "cold_us": micro(rules.cold_s),
            "fall_multiple": rules.fall_multiple,
            "fall_us": micro(rules.fall_s),
            "drain_grace_us": micro(rules.drain_grace_s),
        },
    }


def refusal_plan(incident: Incident) -> list[dict[str, str]]:
    """The plan's lines in the platform's words."""
    return [
        {
            key: word
            for key, word in (
                ("class", line.of_class),
                ("customer", line.customer),
                ("share", line.share),
                ("try", line.tries),
                ("key", line.key),
            )
            if word is not None
        }
        for line in incident.refusals
    ]


def plan_of(incident: Incident) -> tuple[PlanLine, ...]:
    """The plan as the program reads it."""
    return read_plan(
        Pairs.from_json({"refusal": {"plan": refusal_plan(incident)}}),
        [row.name for row in incident.traffic.classes],
        [row.name for row in incident.traffic.tenants],
    )


def configuration(
    incident: Incident,
    me: int,
    name: str,
    hall: str,
    rng: Random,
    listen: Address,
    before: Sequence[Address] = (),
) -> dict[str, Any]:
    """All but `discovery` and `known`, which a start fills in; `before`: those of the balancers before it."""
    told = incident.balancers
    return {
        **peers_of(incident, name, listen, before),
        "name": name,
        "listen": text(listen),
        "seed": f"{rng.getrandbits(64):x}",
        "limits": {"cores": told.cores, "memory_mb": told.memory_mb, "sockets": told.sockets},
        "settings": settings_of(incident, me, hall),
    }


def peers_of(incident: Incident, name: str, listen: Address, before: Sequence[Address]) -> dict[str, Any]:
    """Datagrams at the balancer's own address; one that is deaf takes all others for strangers."""
    how = incident.balancers.peers
    if how == "off":
        return {}
    return {
        "peers": {
            "listen": text(listen),
            "key": "the lab's own key",
            "share": True,
            "cluster": "lab" if how == "share" else name,
            "seeds": [text(address) for address in before[:: -(-len(before) // SEEDS) or 1]],
        }
    }


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
