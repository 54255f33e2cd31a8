"""The four rules hold over random legal event streams against a small fleet with faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from roadlb import Balancer
from roadlb.policy.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Log,
    Member,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    ServerState,
    SetTimer,
    Settings,
    Status,
    Subscribe,
    TimerFired,
)

SLACK_US = 20_000


@dataclass
class SentAttempt:
    server: bytes
    sent_at: int
    ends_at: int
    status: Status
    is_done: bool = False
    may_have_run: bool = True


@dataclass
class OpenRequest:
    request_class: RequestClass
    deadline_at: int
    sent: list[SentAttempt] = field(default_factory=list)
    answers: int = 0


class RuleChecker:
    """Feeds legal events to one balancer's policy and checks every action against the rules."""

    def __init__(self, cfg: Settings, seed: int, fault_rate: float) -> None:
        self.settings, self.seed, self.rng, self.fault_rate = cfg, seed, random.Random(seed), fault_rate
        self.balancer, self.now = Balancer(cfg, seed), 1_000_000
        self.known_members = {
            id: Member(id, cell=id[3] // 3, zone=id[3] % 2)
            for id in (bytes([1, 2, 3, i, 0, 80]) for i in range(9))
        }
        self.members = dict(self.known_members)
        self.requests: dict[int, OpenRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.next_id = 1
        self.trace: list[tuple[int, Event, list[Action]]] = []
        self.feed(ListUpdate(ListKind.CACHED, list(self.members.values())))

    def feed(self, event: Event) -> None:
        actions = self.balancer.handle(self.now, event)
        self.trace.append((self.now, event, actions))
        for action in actions:
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.at_us >= self.now - 5_000
            self.timers.append((max(action.at_us, self.now + 1), action.token))
        elif isinstance(action, Send):
            self.check_send(self.requests[action.request], action)
        elif isinstance(action, Refuse):
            r = self.requests[action.request]
            ran = [s for s in r.sent if s.may_have_run]
            assert (
                not ran
                or r.request_class.effect is Effect.SAFE
                or (r.request_class.effect is Effect.KEYED and r.request_class.group is Group.ALL)
            ), "refused what may have run"
            assert 0 <= action.retry_after_us <= self.settings.max_retry_after_us
            self.record_answer(r)
        elif isinstance(action, Fail):
            self.record_answer(self.requests[action.request])
        elif isinstance(action, Cancel) and action.unsent:
            pass  # in this test an attempt is written at once
        elif isinstance(action, Cancel):
            assert self.settings.cancelling
            s = self.requests[action.request].sent[action.attempt]
            s.ends_at, s.status = min(s.ends_at, self.now + 1), Status.CANCELLED
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe) and self.settings.discovery_on_request

    def record_answer(self, r: OpenRequest) -> None:
        assert r.answers == 0, "answered twice"
        assert self.now <= r.deadline_at + SLACK_US, "answered late"
        r.answers = 1

    def check_send(self, r: OpenRequest, a: Send) -> None:
        assert r.answers == 0, "sent after the answer"
        member = self.members.get(a.server)
        assert member and member.state is ServerState.READY, "sent to a server that drains or has left"
        assert len(r.sent) < self.settings.max_attempts
        assert self.settings.second_copies or all(s.is_done for s in r.sent), "two attempts at once"
        ran = [s for s in r.sent if s.may_have_run]
        if ran and r.request_class.effect is Effect.UNSAFE:
            raise AssertionError("an unsafe request was sent again")
        if ran and r.request_class.effect is Effect.KEYED:
            assert self.now - ran[0].sent_at <= r.request_class.window_us, "outside the window"
            known = self.known_members[ran[0].server]
            if r.request_class.group is Group.CELL:
                assert known.cell == member.cell, "outside the cell"
            if r.request_class.group is Group.ZONE:
                assert known.zone == member.zone, "outside the zone"
        roll = self.rng.random()
        latency_us = int(self.rng.expovariate(1 / 30_000)) + 1_000
        status = Status.OK
        if roll < self.fault_rate:
            status = self.rng.choice([Status.ERROR, Status.FULL, Status.CONNECT_FAILED, Status.RESET])
            latency_us = 500
        elif roll < self.fault_rate * 1.3:
            latency_us = 10_000_000
        limit = min(r.deadline_at, self.now + a.timeout_us if a.timeout_us else r.deadline_at)
        if self.now + latency_us >= limit:
            status, latency_us = Status.TIMEOUT, max(0, limit - self.now)
        r.sent.append(SentAttempt(a.server, self.now, self.now + latency_us, status))

    def advance(self, dt: int) -> None:
        end = self.now + dt
        while True:
            pending = [
                (s.ends_at, 0, rid, n)
                for rid, r in self.requests.items()
                for n, s in enumerate(r.sent)
                if not s.is_done
            ]
            pending += [(at, 1, token, 0) for at, token in self.timers]
            if not pending or min(pending)[0] > end:
                break
            at, what, number, n = min(pending)
            self.now = max(self.now, at)
            if what:
                self.timers.remove((at, number))
                self.feed(TimerFired(number))
                continue
            r = self.requests[number]
            s = r.sent[n]
            s.is_done, s.may_have_run = True, s.status not in NEVER_RAN
            if s.status is Status.OK and not r.answers:
                assert self.now <= r.deadline_at
                r.answers = 1
            self.feed(Outcome(number, n, s.server, s.status, self.now - s.sent_at, bool(r.answers)))
        self.now = end
        for rid, r in self.requests.items():
            assert r.answers or self.now <= r.deadline_at + SLACK_US, f"request {rid} was lost"

    def send_request(self, class_index: int, key: int) -> None:
        request_class = self.settings.classes[class_index]
        left = int(request_class.deadline_us * self.rng.choice([0.1, 0.5, 1.0]))
        self.requests[self.next_id] = OpenRequest(request_class, self.now + left)
        tenant = self.rng.randrange(max(1, len(self.settings.tenants)))
        self.next_id += 1
        work = self.rng.choice([0, 5_000, 50_000])
        self.feed(Arrival(self.next_id - 1, class_index, tenant, key, left, work))

    def change_list(self) -> None:
        server = self.rng.choice(list(self.members))
        old = self.members[server]
        state = self.rng.choice([ServerState.READY, ServerState.DRAINING, ServerState.GONE])
        born = self.now if state is ServerState.READY and self.rng.random() < 0.5 else old.born_us
        new = Member(server, state, old.cell, old.kind, old.zone, 1.0, born)
        self.members[server] = new
        if self.rng.random() < 0.3:
            full = [m for m in self.members.values() if m.state is not ServerState.GONE]
            self.feed(ListUpdate(ListKind.FULL, full))
        else:
            self.feed(ListUpdate(ListKind.DELTA, [new]))


def draw_settings(draw: st.DrawFn) -> Settings:
    classes = [
        RequestClass(
            aim_us=draw(st.sampled_from([50_000, 200_000])),
            deadline_us=draw(st.sampled_from([200_000, 900_000])),
            worth=draw(st.sampled_from([1.0, 5.0])),
            late_worth=draw(st.sampled_from([0.0, 0.5])),
            effect=draw(st.sampled_from(list(Effect))),
            group=draw(st.sampled_from(list(Group))),
            window_us=draw(st.sampled_from([50_000, 400_000])),
        )
        for _ in range(3)
    ]
    return Settings(
        classes=classes,
        instances=draw(st.sampled_from([1, 3, 40])),
        cancelling=draw(st.booleans()),
        second_copies=draw(st.booleans()),
        max_attempts=draw(st.integers(1, 6)),
        cold_from=0.2,
        cold_us=draw(st.sampled_from([0, 5_000_000])),
        discovery_on_request=draw(st.booleans()),
        weight_source=draw(st.sampled_from(["off", "nominal", "rough", "live"])),
    )


@st.composite
def rule_checkers(draw: st.DrawFn) -> RuleChecker:
    return RuleChecker(
        draw_settings(draw), draw(st.integers(0, 2**32)), draw(st.sampled_from([0.0, 0.2, 0.8]))
    )


def run_random_events(checker: RuleChecker, steps: int) -> None:
    for _ in range(steps):
        roll = checker.rng.random()
        if roll < 0.75:
            checker.send_request(
                checker.rng.randrange(3), checker.rng.choice([0, 1, 1, 2, checker.rng.randrange(50)])
            )
        elif roll < 0.85:
            checker.change_list()
        elif roll < 0.9 and checker.requests:
            rid = checker.rng.choice(list(checker.requests))
            r = checker.requests[rid]
            if not r.answers:
                r.answers = 1
                checker.feed(ClientGone(rid))
        if checker.settings.discovery_on_request and checker.rng.random() < 0.05:
            checker.feed(ListUpdate(ListKind.FAILED, []))
        checker.advance(checker.rng.choice([0, 1_000, 5_000, 20_000]))
    checker.advance(2_000_000)


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(rule_checkers(), st.integers(20, 120))
def test_the_rules_hold_on_any_legal_event_stream(checker: RuleChecker, steps: int) -> None:
    run_random_events(checker, steps)
    assert all(r.answers == 1 for r in checker.requests.values())
    # No state of finished requests remains, and the same events give the same actions again.
    assert not checker.balancer.requests
    again = Balancer(checker.settings, checker.seed)
    for now, event, actions in checker.trace:
        assert again.handle(now, event) == actions
