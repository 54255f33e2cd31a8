"""What contradicts what, key by key of settings and list: read by checks, agreement and documents alike.

Two balancers contradict each other in a key where one does what the newest rule of the other no longer
allows.  So each key has a line that says, for a value that goes up and for one that goes down, whether the
change is free (both may differ for ever), narrows (safe everywhere, so it holds at once) or grants (allowed
only with a lease, once nobody rests on what was before).  And for each key that grants its floor: what holds
when nothing is heard.

A floor is one and the same for ever and in every version, so that nothing given to others later can
contradict it.  KEEP has none: nodes known stay in use, as a balancer without nodes serves nobody.  What that
leaves is said in docs/design/agreement.md.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What a change of a key is."""

    FREE = "free"
    NARROW = "narrows"
    GRANT = "grants"


KEEP = "(as it was)"  # a floor that is no floor: the last good version's value stays


@dataclass(slots=True, frozen=True)
class Line:
    """One key.  `of` names the field that it becomes: `Settings.x`, `RequestClass.x`, `Endpoint.x` and so on.

    `values` from the narrowest to the widest, where they are words (`a|b`: alike); `absent`: what a missing
    path means.
    `up` and `down` both GRANT: a choice, where any other value contradicts, and only the floor does not.
    """

    key: str
    of: str
    up: Kind
    down: Kind
    reason: str
    floor: str = KEEP
    values: tuple[str, ...] = ()
    absent: str | None = None

    @property
    def free(self) -> bool:
        return self.up is Kind.FREE

    @property
    def choice(self) -> bool:
        return self.up is Kind.GRANT and self.down is Kind.GRANT

    def width(self, text: str) -> float:
        """How much a value allows: a larger one allows more.  ValueError for one that is none of this key."""
        if self.values:
            for width, alike in enumerate(self.values):
                if text in alike.split("|"):
                    return float(width)
            raise ValueError(f"{self.key}: {text!r} is none of {', '.join(self.values)}")
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if math.isnan(value):
            raise ValueError(f"{self.key}: {text!r} is not a number")
        return value if self.up is Kind.GRANT else -value


def _free(key: str, of: str, reason: str) -> Line:
    return Line(key, of, Kind.FREE, Kind.FREE, reason)


def _more(
    key: str, of: str, reason: str, floor: str = KEEP, values: tuple[str, ...] = (), absent: str | None = None
) -> Line:
    """More of it allows more."""
    return Line(key, of, Kind.GRANT, Kind.NARROW, reason, floor, values, absent)


def _less(key: str, of: str, reason: str, floor: str = KEEP, absent: str | None = None) -> Line:
    """Less of it allows more."""
    return Line(key, of, Kind.NARROW, Kind.GRANT, reason, floor, (), absent)


OWN = "each balancer's own: it is not agreed on"
BELIEF = "what this balancer believes or measures; it shows in its own choices only"
PROMISE = "how long one request may take and what its answer is worth: no other balancer meets that request"
ORDER = "who goes first in a shortage of this balancer's own; a client refused here may be served there"
PRICE = "a price in this balancer's own choice between nodes"

SETTINGS = (
    _free("classes.count", "Settings.classes", "classes are told apart by their names"),
    _free("classes.*.name", "RequestClass.name", "what tells a class from another"),
    _free("classes.*.promise_us", "RequestClass.aim_us", PROMISE),
    _free("classes.*.deadline_us", "RequestClass.deadline_us", PROMISE),
    _free("classes.*.value", "RequestClass.worth", PROMISE),
    _free("classes.*.late_worth", "RequestClass.late_worth", PROMISE),
    _more(
        "classes.*.effect",
        "RequestClass.effect",
        "a repeat of what must not run twice cannot be taken back",
        "at_most_once",
        ("at_most_once", "deduplicated", "idempotent"),
    ),
    _more(
        "classes.*.group",
        "RequestClass.group",
        "a repeat outside the group that discards it runs twice",
        "cell",
        ("cell", "zone", "all"),
        "all",
    ),
    _more(
        "classes.*.window_us",
        "RequestClass.window_us",
        "a repeat after the time in which it is discarded runs twice",
        "0",
        absent="0",
    ),
    _free("classes.*.stream", "RequestClass.stream", "how an answer comes, which the node shows by itself"),
    _free("tenants", "Settings.tenants", "what the list is called where it is empty"),
    _free("tenants.count", "Settings.tenants", "customers are told apart by their names"),
    _free("tenants.*.name", "Tenant.name", "what tells a customer from another"),
    _free("tenants.*.share", "", "what a customer was told, for a person; `quota_per_s` is what counts"),
    _more(
        "tenants.*.quota_per_s",
        "Tenant.quota_per_s",
        "quotas are parts of one whole: one grows by what others have given up; at the floor all customers "
        "are beyond their shares, and so alike",
        "0",
    ),
    Line(
        "routes.*",
        "",
        Kind.GRANT,
        Kind.GRANT,
        "a class sent to two pools at once is counted whole by "
        "neither; at the floor it takes the pool that all know",
        "",
        absent="",
    ),
    _free("me", "Settings.instance", OWN),
    _less(
        "instances",
        "Settings.instances",
        "quotas are divided by it, whose own floor is 0; as a measure of the whole it must not jump",
    ),
    _free("az", "Settings.zone", OWN),
    _free("over_share_worth", "Settings.over_share_worth", ORDER),
    _free("counted_by", "Settings.worth_by_work", ORDER),
    _free("refusal.plan", "Settings.refusals", ORDER),
    _free("domain.warm_keys", "Settings.warm_keys", BELIEF),
    _free("discovery", "Settings.discovery_on_request", OWN),
    _free("weight_source", "Settings.weight_source", BELIEF),
    _free("report.source", "Settings.report_source", BELIEF),
    _free("report.fields", "Settings.report_fields", BELIEF),
    _free("costs.cross_zone", "Settings.cross_zone_cost", PRICE),
    _free("costs.probe", "Settings.probe_cost", PRICE),
    _free("costs.handshake", "Settings.handshake_cost", PRICE),
    _free("limits.cancelling", "Settings.cancelling", "calls off only what this balancer has sent itself"),
    _more(
        "limits.second_copies",
        "Settings.second_copies",
        "a copy is a repeat before the first has failed",
        "false",
        ("false", "true"),
        "false",
    ),
    _more(
        "limits.max_attempts",
        "Settings.max_attempts",
        "repeats add up over all balancers, on nodes that are late already",
        "1",
    ),
    _free("limits.retry_after", "", "a word to its own clients"),
    _free("limits.max_retry_after_us", "Settings.max_retry_after_us", "a word to its own clients"),
    _free("limits.probes", "Settings.probes", BELIEF),
    _free("limits.peers", "Settings.peers", OWN),
    _free("invariants.ask_within_us", "Settings.ask_within_us", OWN),
    _more(
        "invariants.cold_from",
        "Settings.cold_from",
        "all balancers together fill a cold node: the share of each rests on that of the others",
        "0.1",
    ),
    _less(
        "invariants.cold_us",
        "Settings.cold_us",
        "as cold_from: a node thought warm too early falls",
        "60000000",
    ),
    _more(
        "invariants.fall_multiple",
        "Settings.fall_multiple",
        "how far a node may be pushed by all together",
        "1",
    ),
    # A cold node that has proved nothing is tried with one request in each such time: in less than a second
    # that is more than its part of what it can carry (routing/slow_start_budget.py).
    _more("invariants.fall_us", "Settings.fall_us", "and for how long", "1000000"),
    _free("limits.conn_idle_us", "Settings.keep_us", OWN),
    _free("limits.dial_timeout_us", "", OWN),
    _free("limits.max_open", "", OWN),
    _free("dcs", "", "names of zones, for a person"),
    _free("machine_types", "", "names of kinds, for a person"),
)

WHERE = "where a node is or what it is called, which changes with its start only; the guard sees to that"
PASSED_ON = "passed on to proxies as it came"

LIST = (
    _free("list.*.name", "Cluster.name", "what tells a cluster from another; one that is gone has no nodes"),
    _free("list.*.endpoints", "Cluster.endpoints", "node by node, below"),
    _free("list.*.groups", "Cluster.groups", "group by group, below"),
    _free("list.*.drops", "Cluster.drops", "category by category, below"),
    _free("list.*.origin", "Cluster.origin", PASSED_ON),
    _free(
        "list.*.*.node",
        "Endpoint.node",
        "name and start tell a node from another; a newer start is a newer process, and is taken at once",
    ),
    _more(
        "list.*.*.lifecycle",
        "Endpoint.lifecycle",
        "a drain holds at once; a node reopened or added gets work once all know of it",
        values=("removed", "draining", "up"),
        absent="removed",
    ),
    _more(
        "list.*.*.health",
        "Endpoint.health",
        "told to drain, or believed dead, holds at once",
        values=("DRAINING", "TIMEOUT|UNHEALTHY", "DEGRADED|UNKNOWN|HEALTHY"),
    ),
    _more("list.*.*.weight", "Endpoint.weight", "a larger share rests on what other balancers send there"),
    _free("list.*.*.host", "Endpoint.host", WHERE),
    _free("list.*.*.port", "Endpoint.port", WHERE),
    _free("list.*.*.locality", "Endpoint.locality", WHERE),
    _free("list.*.*.priority", "Endpoint.priority", "which nodes come first; those behind are open as well"),
    _free("list.*.*.machine", "Endpoint.machine", WHERE),
    _free("list.*.*.cell", "Endpoint.cell", WHERE),
    _free("list.*.*.hostname", "Endpoint.hostname", WHERE),
    _free("list.*.*.additional", "Endpoint.additional", WHERE),
    _free("list.*.*.metadata", "Endpoint.metadata", PASSED_ON),
    _free("list.*.*.part", "Endpoint.part", PASSED_ON),
    _free("list.*.*.origin", "Endpoint.origin", PASSED_ON),
    _free("list.*.group.locality", "LocalityGroup.locality", "what tells a group from another"),
    _free("list.*.group.priority", "LocalityGroup.priority", "what tells a group from another"),
    _free("list.*.group.part", "LocalityGroup.part", "what tells a group from another"),
    _more("list.*.group.weight", "LocalityGroup.weight", "a larger share of the work for a hall"),
    _free("list.*.group.origin", "LocalityGroup.origin", PASSED_ON),
    _free("list.*.drop.category", "Drop.category", "what tells a drop from another"),
    _less(
        "list.*.drop.millionths",
        "Drop.millionths",
        "work turned away everywhere, or only in some places",
        absent="0",
    ),
)

TABLE = {line.key: line for line in (*SETTINGS, *LIST)}
LIFECYCLE, HEALTH = TABLE["list.*.*.lifecycle"], TABLE["list.*.*.health"]

_NUMBERED = re.compile(r"^(classes|tenants)\.\d+\.")


def line_of(path: str) -> Line | None:
    """The line of a setting's path; None: the table does not know it."""
    if path.startswith("refusal.plan"):
        path = "refusal.plan"
    elif path.startswith("routes."):
        path = "routes.*"
    return TABLE.get(_NUMBERED.sub(r"\1.*.", path))


def page() -> str:
    """The lines that are not free, as docs/design/agreement.md has them; a test compares both."""
    rows = ["| key | a larger value | a smaller value | floor | why |", "| --- | --- | --- | --- | --- |"]
    for line in TABLE.values():
        if not line.free:
            up, down = ("any other grants",) * 2 if line.choice else (line.up.value, line.down.value)
            floor = "as it was" if line.floor == KEEP else f"`{line.floor}`" if line.floor else "none named"
            rows.append(f"| `{line.key}` | {up} | {down} | {floor} | {line.reason} |")
    return "\n".join(rows)
