"""The four rules over random legal event streams, played against a small fleet with faults."""

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
class Sent:
    server: bytes
    at: int
    ends: int
    status: Status
    done: bool = False
    ran: bool = True


@dataclass
class Open:
    spec: RequestClass
    until: int
    sent: list[Sent] = field(default_factory=list)
    answers: int = 0


class Script:
    """Plays legal events to one balancer and checks every action against the rules."""

    def __init__(self, cfg: Settings, seed: int, rough: float) -> None:
        self.cfg, self.seed, self.rng, self.rough = cfg, seed, random.Random(seed), rough
        self.b, self.now = Balancer(cfg, seed), 1_000_000
        self.ever = {
            id: Member(id, cell=id[3] // 3, zone=id[3] % 2)
            for id in (bytes([1, 2, 3, i, 0, 80]) for i in range(9))
        }
        self.members = dict(self.ever)
        self.requests: dict[int, Open] = {}
        self.timers: list[tuple[int, int]] = []
        self.next_id = 1
        self.trace: list[tuple[int, Event, list[Action]]] = []
        self.play(ListUpdate(ListKind.CACHED, list(self.members.values())))

    def play(self, event: Event) -> None:
        actions = self.b.handle(self.now, event)
        self.trace.append((self.now, event, actions))
        for action in actions:
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.at_us >= self.now - 5_000
            self.timers.append((max(action.at_us, self.now + 1), action.token))
        elif isinstance(action, Send):
            self.check_send(self.requests[action.request], action)
        elif isinstance(action, Refuse):
            r = self.requests[action.request]
            ran = [s for s in r.sent if s.ran]
            assert (
                not ran
                or r.spec.effect is Effect.SAFE
                or (r.spec.effect is Effect.KEYED and r.spec.group is Group.ALL)
            ), "refused what may have run"
            assert 0 <= action.retry_after_us <= self.cfg.max_retry_after_us
            self.answer(r)
        elif isinstance(action, Fail):
            self.answer(self.requests[action.request])
        elif isinstance(action, Cancel) and action.unsent:
            pass  # here an attempt begins at once
        elif isinstance(action, Cancel):
            assert self.cfg.cancelling
            s = self.requests[action.request].sent[action.attempt]
            s.ends, s.status = min(s.ends, self.now + 1), Status.CANCELLED
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe) and self.cfg.discovery_on_request

    def answer(self, r: Open) -> None:
        assert r.answers == 0, "answered twice"
        assert self.now <= r.until + SLACK_US, "answered late"
        r.answers = 1

    def check_send(self, r: Open, a: Send) -> None:
        assert r.answers == 0, "sent after the answer"
        member = self.members.get(a.server)
        assert member and member.state is ServerState.READY, "sent to a server that drains or is gone"
        assert len(r.sent) < self.cfg.max_attempts
        assert self.cfg.second_copies or all(s.done for s in r.sent), "two attempts at once"
        ran = [s for s in r.sent if s.ran]
        if ran and r.spec.effect is Effect.UNSAFE:
            raise AssertionError("an unsafe request was sent again")
        if ran and r.spec.effect is Effect.KEYED:
            assert self.now - ran[0].at <= r.spec.window_us, "outside the window"
            known = self.ever[ran[0].server]
            if r.spec.group is Group.CELL:
                assert known.cell == member.cell, "outside the cell"
            if r.spec.group is Group.ZONE:
                assert known.zone == member.zone, "outside the zone"
        luck = self.rng.random()
        takes = int(self.rng.expovariate(1 / 30_000)) + 1_000
        status = Status.OK
        if luck < self.rough:
            status = self.rng.choice([Status.ERROR, Status.FULL, Status.CONNECT_FAILED, Status.RESET])
            takes = 500
        elif luck < self.rough * 1.3:
            takes = 10_000_000
        limit = min(r.until, self.now + a.timeout_us if a.timeout_us else r.until)
        if self.now + takes >= limit:
            status, takes = Status.TIMEOUT, max(0, limit - self.now)
        r.sent.append(Sent(a.server, self.now, self.now + takes, status))

    def step(self, dt: int) -> None:
        end = self.now + dt
        while True:
            due = [
                (s.ends, 0, rid, n)
                for rid, r in self.requests.items()
                for n, s in enumerate(r.sent)
                if not s.done
            ]
            due += [(at, 1, token, 0) for at, token in self.timers]
            if not due or min(due)[0] > end:
                break
            at, what, number, n = min(due)
            self.now = max(self.now, at)
            if what:
                self.timers.remove((at, number))
                self.play(TimerFired(number))
                continue
            r = self.requests[number]
            s = r.sent[n]
            s.done, s.ran = True, s.status not in NEVER_RAN
            if s.status is Status.OK and not r.answers:
                assert self.now <= r.until
                r.answers = 1
            self.play(Outcome(number, n, s.server, s.status, self.now - s.at, bool(r.answers)))
        self.now = end
        for rid, r in self.requests.items():
            assert r.answers or self.now <= r.until + SLACK_US, f"request {rid} was lost"

    def arrive(self, class_index: int, key: int) -> None:
        spec = self.cfg.classes[class_index]
        left = int(spec.deadline_us * self.rng.choice([0.1, 0.5, 1.0]))
        self.requests[self.next_id] = Open(spec, self.now + left)
        tenant = self.rng.randrange(max(1, len(self.cfg.tenants)))
        self.next_id += 1
        work = self.rng.choice([0, 5_000, 50_000])
        self.play(Arrival(self.next_id - 1, class_index, tenant, key, left, work))

    def change_list(self) -> None:
        server = self.rng.choice(list(self.members))
        old = self.members[server]
        state = self.rng.choice([ServerState.READY, ServerState.DRAINING, ServerState.GONE])
        born = self.now if state is ServerState.READY and self.rng.random() < 0.5 else old.born_us
        new = Member(server, state, old.cell, old.kind, old.zone, 1.0, born)
        self.members[server] = new
        if self.rng.random() < 0.3:
            full = [m for m in self.members.values() if m.state is not ServerState.GONE]
            self.play(ListUpdate(ListKind.FULL, full))
        else:
            self.play(ListUpdate(ListKind.DELTA, [new]))


def a_settings(draw: st.DrawFn) -> Settings:
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
def scripts(draw: st.DrawFn) -> Script:
    return Script(a_settings(draw), draw(st.integers(0, 2**32)), draw(st.sampled_from([0.0, 0.2, 0.8])))


def drive(script: Script, steps: int) -> None:
    for _ in range(steps):
        luck = script.rng.random()
        if luck < 0.75:
            script.arrive(script.rng.randrange(3), script.rng.choice([0, 1, 1, 2, script.rng.randrange(50)]))
        elif luck < 0.85:
            script.change_list()
        elif luck < 0.9 and script.requests:
            rid = script.rng.choice(list(script.requests))
            r = script.requests[rid]
            if not r.answers:
                r.answers = 1
                script.play(ClientGone(rid))
        if script.cfg.discovery_on_request and script.rng.random() < 0.05:
            script.play(ListUpdate(ListKind.FAILED, []))
        script.step(script.rng.choice([0, 1_000, 5_000, 20_000]))
    script.step(2_000_000)


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(scripts(), st.integers(20, 120))
def test_rules_hold_on_any_legal_stream(script: Script, steps: int) -> None:
    drive(script, steps)
    assert all(r.answers == 1 for r in script.requests.values())
    # Nothing is kept of requests that are over, and the same events give the same actions again.
    assert not script.b.requests
    again = Balancer(script.cfg, script.seed)
    for now, event, actions in script.trace:
        assert again.handle(now, event) == actions
