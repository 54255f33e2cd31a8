"""A run as JSON for machines.  `schema` names its form: keys may be added, and none changes its meaning."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from ..judge import Violation, Worth
from .subject import SECOND_US, Subject

SCHEMA = "roadlb.lab.report/1"


def document(subject: Subject) -> dict[str, Any]:
    """Everything but the log itself; times in seconds since the start, shares from 0 to 1."""
    verdict = subject.verdict
    return {
        "schema": SCHEMA,
        "incident": subject.name,
        "title": subject.title,
        "seed": subject.seed,
        "world": subject.world,
        "seconds": subject.seconds,
        "events": len(subject.log),
        "digest": subject.digest,
        "kept": verdict.kept,
        "broken": {rule.value: count for rule, count in verdict.counts.items()},
        "violations": [violation(subject, one) for one in verdict.violations],
        "fallen": [
            {
                "node": fell.node,
                "started_ms": fell.started_ms,
                "at_s": subject.second(fell.at),
                "sent_s": fell.sent_us / SECOND_US,
                "room_s": fell.room_us / SECOND_US,
            }
            for fell in subject.fallen
        ],
        "worth": worth(subject, verdict.worth),
        "figures": plain({**asdict(verdict.figures), "fallen": list(verdict.figures.fallen)}),
        "run": plain(subject.run),
        "steps": [{"at_s": at_s, "text": text} for at_s, text in subject.steps],
    }


def violation(subject: Subject, one: Violation) -> dict[str, Any]:
    return {
        "rule": one.rule.value,
        "at_s": subject.second(one.at),
        "subject": one.subject,
        "text": one.text,
        "events": [
            {"event": type(event).__name__, **asdict(event), "at_s": subject.second(event.at)}
            for event in one.events
        ],
    }


def worth(subject: Subject, told: Worth) -> dict[str, Any]:
    """The worst window and the seconds count from the start, as all else does."""
    start = subject.start_us // SECOND_US
    return {
        "service": told.service,
        "asked": told.asked,
        "served": told.served,
        "whole": told.whole,
        "worst_window": told.worst_window,
        "worst_window_at_s": told.worst_window_at_s - start,
        "by_class": dict(told.by_class),
        "by_tenant": dict(told.by_tenant),
        "prices": dict(told.prices),
        "by_second": [
            {"at_s": second - start, "asked": asked, "served": served}
            for second, (asked, served) in told.by_second.items()
        ],
    }


def plain(value: Any) -> Any:
    """Mappings of any kind as dictionaries, tuples as lists: what JSON has."""
    if isinstance(value, Mapping):
        return {str(key): plain(inner) for key, inner in value.items()}
    return [plain(inner) for inner in value] if isinstance(value, list | tuple) else value


def text(subject: Subject) -> str:
    """The document as text that is the same for the same run."""
    return json.dumps(document(subject), indent=2, sort_keys=True, allow_nan=False) + "\n"
