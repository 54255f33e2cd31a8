"""Parts of the control service's status page: JSON's own types, times in seconds."""

from __future__ import annotations

from collections.abc import Mapping

from .events import MILLION, Decision
from .subscribers import Progress, Subscriber


def endpoint_status(cluster: str, decision: Decision) -> dict[str, object]:
    """What was decided for one endpoint of a cluster."""
    return {
        "cluster": cluster,
        "node": decision.node.name,
        "started_ms": decision.node.started_ms,
        "address": f"{decision.endpoint.host}:{decision.endpoint.port}",
        "health": decision.health.name.lower(),
        "weight": decision.weight,
        "pool": decision.pool,
        "part": decision.part_ppm / MILLION,
        "reason": decision.reason,
    }


def subscriber_status(
    now_us: int, subscriber: Subscriber, silent: bool, stream: Mapping[str, object]
) -> dict[str, object]:
    """How far a subscriber has come; `stream`: what there is to tell of its stream."""
    return {
        "name": subscriber.name,
        "state": subscriber.state.value,
        "for_s": (now_us - subscriber.since) / 1e6,
        "acknowledged": subscriber.generation,
        "silent": silent,
        **stream,
        "types": {
            type_url.rpartition(".")[2]: _progress_status(now_us, progress)
            for type_url, progress in subscriber.types.items()
        },
    }


def _progress_status(now_us: int, progress: Progress) -> dict[str, object]:
    waits_us = now_us - progress.open[0][2] if progress.open else 0
    return {
        "sent": progress.sent,
        "accepted": progress.acked,
        "behind": progress.sent - progress.settled,
        "refused": progress.refused,
        "reason": progress.reason,
        "lags": progress.lagging,
        "waits_s": waits_us / 1e6,
    }
