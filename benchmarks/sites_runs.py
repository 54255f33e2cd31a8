"""One run of `sites.py` in a process of its own: a job as JSON from stdin, its figures as JSON to stdout.

The program and the lab are those of PYTHONPATH; the bound and the order of refusals, where that tree has
none, are this tree's, so that an older tree is held to the same measure.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from apart import Job, answer, ask_all

import roadlb.lab
import roadlb.lab.judge

HERE = Path(__file__).resolve().parent.parent / "roadlb" / "lab"
roadlb.lab.__path__.append(str(HERE))
roadlb.lab.judge.__path__.append(str(HERE / "judge"))

from roadlb.lab.bound import Bound, Capacity, demand, first  # noqa: E402
from roadlb.lab.incident import Incident, rules_of  # noqa: E402
from roadlb.lab.judge.order import order_of_refusals, ranks_by  # noqa: E402
from roadlb.lab.run import rehearse  # noqa: E402
from roadlb.lab.run.drawn import draw  # noqa: E402
from roadlb.lab.run.settings import plan_of  # noqa: E402
from roadlb.lab.run.sim_world import generators  # noqa: E402
from roadlb.lab.wire import ClientGot, ClientSent, ClientWished, WireLog  # noqa: E402
from roadlb.sites.events import State  # noqa: E402
from roadlb.sites.state_machine import Sites  # noqa: E402

SECOND = 1_000_000
PREFIX_S = 5  # the strict bound is looked at every so many seconds


def run(job: Job, incident: Incident) -> dict[str, Any]:
    seed, began = job["seed"], time.process_time()
    with changes_seen() as changes:
        rehearsal = rehearse(incident, seed)
    took_s, verdict = time.process_time() - began, rehearsal.verdict
    worth, told, origin = verdict.worth, verdict.figures, rehearsal.origin_us
    zero = origin // SECOND
    return {
        "seed": seed,
        "took_s": round(took_s, 1),
        "origin": origin % SECOND / SECOND,
        "whole": worth.whole,
        "worst": worth.worst_window,
        "classes": dict(worth.by_class),
        "service": worth.service,
        "seconds": {second - zero: both for second, both in worth.by_second.items()},
        "by_class": by_class(rehearsal.log, incident, zero),
        "wishes": told.wishes,
        "tries": told.tries,
        "refused": told.refused,
        "fell": list(told.fallen),
        "ran_twice": told.ran_twice,
        "broken": {rule.value: count for rule, count in verdict.counts.items()},
        "errors": len(rehearsal.figures["program_errors"]) + len(rehearsal.figures["faults"]),
        "hits": told.hit_share,
        "order": order(rehearsal.log, incident),
        "changes": [((at - origin) / SECOND, *rest) for at, *rest in changes],
        **bounds(rehearsal.log, incident, seed, origin, worth.by_second),
    }


def bounds(
    log: WireLog, incident: Incident, seed: int, origin: int, by_second: dict[int, tuple[float, float]]
) -> dict[str, Any]:
    """Worth that could have been carried by second; `borne`: the demand that is, as a multiple of what was
    asked; `strict`: the most that was served of the strict bound, over any time from the start."""
    drawn = draw(incident, generators(seed))
    capacity = Capacity(log, drawn.kinds)
    bound = Bound(incident, drawn, log, capacity, demand(incident, drawn, generators(seed), log, origin))
    zero, last = origin // SECOND, max(by_second)
    strict = 0.0
    for end in range(zero + PREFIX_S, last + 1, PREFIX_S):
        served = sum(both[1] for second, both in by_second.items() if second < end)
        strict = max(strict, served / bound.at_best(zero * SECOND, end * SECOND))
    return {
        "bound": {second - zero: value for second, value in bound.by_second(zero, last).items()},
        "bound_orders": {
            second - zero: value for second, value in bound.by_second(zero, last, first("order")).items()
        },
        "borne": {
            second - zero: bound.borne(second * SECOND, (second + 1) * SECOND)
            for second in range(zero, last + 1)
        },
        "strict": strict,
    }


def by_class(log: WireLog, incident: Incident, zero: int) -> dict[str, dict[int, list[float]]]:
    """By class and second in which they were due: wishes, and those served, a late one as its share."""
    rules = {row.name: row for row in rules_of(incident).classes}
    due: dict[int, tuple[int, str]] = {}
    wish_of: dict[str, int] = {}
    found: dict[str, dict[int, list[float]]] = {name: defaultdict(lambda: [0.0, 0.0]) for name in rules}
    for event in log:
        if isinstance(event, ClientWished):
            due[event.wish] = event.at, event.class_name
            found[event.class_name][event.at // SECOND - zero][0] += 1
        elif isinstance(event, ClientSent):
            wish_of[event.request] = event.wish
        elif (
            isinstance(event, ClientGot)
            and event.status == 200
            and ((wish := due.pop(wish_of.get(event.request, -1), None)) is not None)
        ):
            rule, took = rules[wish[1]], event.at - wish[0]
            share = 1.0 if took <= rule.aim_us else rule.late_share if took <= rule.deadline_us else 0.0
            found[wish[1]][wish[0] // SECOND - zero][1] += share
    return {name: dict(sorted(seconds.items())) for name, seconds in found.items()}


def order(log: WireLog, incident: Incident) -> dict[str, Any]:
    """Refusals that kept the order.  `told`: where the wire does not tell whether a customer is beyond its
    share, either counts; `within`: it is taken as within."""
    traffic, counted = incident.traffic, {}
    for name, over, window_us in (
        ("told 0.5 s", None, 500_000),
        ("within 0.5 s", False, 500_000),
        ("within 0.1 s", False, 100_000),
    ):
        ranks = ranks_by(
            plan_of(incident),
            {row.name: row.worth for row in traffic.classes},
            [row.name for row in traffic.tenants],
            traffic.over_share_worth,
            over,
        )
        kept = order_of_refusals(log, ranks, window_us)
        counted[name] = {
            "refusals": kept.refusals,
            "kept": kept.kept,
            "pairs": {" for ".join(pair): count for pair, count in kept.pairs.items()},
        }
    return counted


@contextmanager
def changes_seen() -> Iterator[list[tuple[int, int, int, str, str]]]:
    """Every change in a balancer's view of a site: when, balancer (a number), site, its new state, and why;
    `forgotten`: on its return the site leaves the list, and is whole without a step when it is back there."""
    seen: list[tuple[int, int, int, str, str]] = []
    numbers: dict[int, int] = {}
    kept: list[Sites] = []  # so that no number is given twice
    become, listed = Sites._set_state, Sites._update_list

    def number_of(one: Sites) -> int:
        if id(one) not in numbers:
            kept.append(one)
            numbers[id(one)] = len(numbers)
        return numbers[id(one)]

    def heard(self: Sites, now: int, site: Any, state: State, cause: str) -> None:
        seen.append((now, number_of(self), site.number, state.value, cause))
        become(self, now, site, state, cause)

    def list_heard(self: Sites, now: int, event: Any) -> None:
        returning = [number for number, site in self.sites.items() if site.state is State.RETURNING]
        listed(self, now, event)
        seen.extend(
            (now, number_of(self), number, "forgotten", "it left the list on its return")
            for number in returning
            if number not in self.sites
        )

    Sites._set_state, Sites._update_list = heard, list_heard  # type: ignore[method-assign]
    try:
        yield seen
    finally:
        Sites._set_state, Sites._update_list = become, listed  # type: ignore[method-assign]


def tree_of(path: str | Path) -> Path:
    """The root of a tree of roadlb's sources; ValueError where there is none."""
    root = Path(path).resolve()
    if not (root / "roadlb" / "lab").is_dir():
        raise ValueError(f"{root}: there is no roadlb/lab in it; give the root of a checkout")
    return root


def play(jobs: Sequence[Job], tree: Path, processes: int = 2) -> list[dict[str, Any]]:
    """Each job in a process of its own, with the sources of `tree`; results in the jobs' order."""
    return ask_all([__file__], jobs, tree, processes)


if __name__ == "__main__":
    answer(run)
