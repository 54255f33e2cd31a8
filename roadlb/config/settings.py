"""The decision module's settings, read from their flat table."""

from __future__ import annotations

from ..policy.interface import Effect, Group, RequestClass, Settings, Tenant
from .errors import ConfigError
from .pairs import Pairs
from .refusal_plan import read_plan


EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
# Of the time after which an instance drops an idle connection, we keep one for this part, and for one sweep
# of the pool more: a request that crosses the closing is a reset, and an order among those is lost.
IDLE_PART = 0.7
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


def read_settings(source: str | Pairs) -> Settings:
    """The decision module's settings; what is not known here is skipped."""
    p = source if isinstance(source, Pairs) else Pairs.from_text(source)
    classes = [_read_class(p, f"classes.{i}.") for i in range(p.count("classes"))]
    tenants = [_read_tenant(p, f"tenants.{i}.") for i in range(p.count("tenants", "0"))]
    retry_after = p.flag("limits.retry_after", "true")
    p.distinct("classes", [c.name for c in classes])
    p.distinct("tenants", [t.name for t in tenants])
    settings = _assemble(p, classes, tenants, retry_after)
    try:
        settings.check()
    except ValueError as e:
        raise ConfigError(f"{p.source}: {e}") from None
    return settings


def _read_class(p: Pairs, at: str) -> RequestClass:
    return RequestClass(
        name=p.word(at + "name", ""),
        aim_us=p.integer(at + "promise_us", least=1),
        deadline_us=p.integer(at + "deadline_us", least=1),
        worth=p.number(at + "value", least=0),
        late_worth=p.number(at + "late_worth", "0"),
        effect=p.read(at + "effect", EFFECTS.__getitem__),
        group=p.read(at + "group", GROUPS.__getitem__, "all"),
        window_us=p.integer(at + "window_us", "0"),
        stream=p.flag(at + "stream", "false"),
    )


def _read_tenant(p: Pairs, at: str) -> Tenant:
    return Tenant(p.word(at + "name", ""), p.number(at + "quota_per_s", least=0))


def _assemble(p: Pairs, classes: list[RequestClass], tenants: list[Tenant], retry_after: bool) -> Settings:
    """Read what stands beside classes and tenants, one key a line."""
    return Settings(
        classes=classes,
        tenants=tenants,
        instance=p.integer("me", least=0),
        instances=p.integer("instances"),
        zone=p.integer("az", "0"),
        over_share_worth=p.number("over_share_worth", "1"),
        worth_by_work=p.word("counted_by", "request") == "work",
        warm_keys=p.flag("domain.warm_keys", "false"),
        discovery_on_request=p.word("discovery") == "on_request",
        weight_source=p.word("weight_source", "off"),
        report_source=p.word("report.source", "off"),
        report_fields=tuple(FIELDS.get(f, f) for f in p.words("report.fields")),
        cross_zone_cost=p.number("costs.cross_zone", "0", least=0),
        probe_cost=p.number("costs.probe", "0", least=0),
        cancelling=p.flag("limits.cancelling", "false"),
        second_copies=p.flag("limits.second_copies", "false"),
        max_attempts=p.integer("limits.max_attempts"),
        # Clients that are not to be told when to come back are told nothing, rather than to come at once.
        max_retry_after_us=p.integer("limits.max_retry_after_us", "0") if retry_after else 0,
        probes=p.flag("limits.probes", "false"),
        peers=p.flag("limits.peers", "false"),
        ask_within_us=p.integer("invariants.ask_within_us", "10000000"),
        cold_from=p.number("invariants.cold_from"),
        cold_us=p.integer("invariants.cold_us"),
        fall_multiple=p.number("invariants.fall_multiple"),
        fall_us=p.integer("invariants.fall_us"),
        handshake_cost=p.number("costs.handshake", "0", least=0),
        refusals=read_plan(p, [c.name for c in classes], [t.name for t in tenants]),
        keep_us=int(p.integer("limits.conn_idle_us", "0") * IDLE_PART),
    )
