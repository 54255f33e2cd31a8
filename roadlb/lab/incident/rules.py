"""What an incident's judge goes by."""

from __future__ import annotations

from ..judge.rules import ClassRule, Prices, Rules, TenantRule
from .schema import Incident
from .targets import balancers_at_start
from .values import micro


def rules_of(incident: Incident) -> Rules:
    """The judge's rules for an incident, in its own units."""
    told, traffic, prices = incident.rules, incident.traffic, incident.prices
    return Rules(
        classes=tuple(
            ClassRule(
                row.name, micro(row.aim_s), micro(row.deadline_s), row.worth, row.late_share, row.repeatable
            )
            for row in traffic.classes
        ),
        tenants=tuple(TenantRule(row.name, row.share * traffic.quota_per_s) for row in traffic.tenants),
        slack_us=micro((told.answer_slack_ms + told.slack_ms) / 1000),
        limit_slack_us=micro(told.slack_ms / 1000),
        silence_is_loss=told.silence_is_loss,
        drain_grace_us=micro(told.drain_grace_s),
        deemed_told_us=micro(told.deemed_told_s),
        reload_told_us=micro(told.reload_told_s),
        term_grace_us=micro(told.term_grace_s),
        fall_us=micro(told.fall_s),
        fall_share=told.fall_share,
        cold_us=micro(told.cold_s),
        max_attempts=told.max_attempts,
        second_copies=told.second_copies,
        over_share_worth=traffic.over_share_worth,
        prices=Prices(prices.handshake, prices.waste, prices.late_fail, prices.cross_hall, prices.probe),
        halls={one.name: one.hall for one in balancers_at_start(incident)},
    )
