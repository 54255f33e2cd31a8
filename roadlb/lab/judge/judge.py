"""Reads wire events one by one, keeps what may still matter, and asks each rule about what it concerns."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from typing import Any

from ..wire import (
    BalancerState,
    ClientGot,
    ClientLost,
    ClientSent,
    ClientWished,
    Lagged,
    NodeFell,
    NodeGave,
    NodeGot,
    NodeRan,
    NodeStarted,
    NodeState,
    Note,
    RudeLeft,
    Told,
    WireEvent,
)
from .answers import Broken, check_answer, check_loss, check_second, check_silence, seconds
from .book import SOUND, Attempt, Balancer, Node, Request
from .effects import check_attempt, check_refusal, check_second_copy
from .lists import Lists
from .rules import Rules
from .tally import Tally
from .verdict import Rule, Verdict, Violation
from .worth import WorthBook

SETTLE_US = 100_000  # after an end it is judged: what led to it may be written a little later
SILENCE_US = 1_000_000  # after its last moment, for a request of which no end was written
KEEP_US = 20_000_000  # and is held for so long, as an attempt may still come to a node that stood still
MOST_LAGS = 64
MOST_OF_A_RULE = 200  # violations told in full, of each rule; the rest is counted
PROBES = ("/healthz", "/load")
TIMED = (Rule.DRAIN, Rule.SENT_AFTER_END)  # depend on when a node saw something: a lag may be behind it


class Judge:
    """`see(event)` for each event in the log's order; `verdict()` at any time."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self._now = 0
        self._requests: dict[str, Request] = {}
        self._latest: dict[tuple[int, int], str] = {}  # (wish, attempt): its last id
        self._owners: dict[str, str] = {}  # body made by a node: for which request
        self._strangers: dict[str, NodeGot] = {}  # came to a node, and no client had sent it
        self._balancers: dict[str, Balancer] = {}
        self._nodes: dict[tuple[str, int], Node] = {}
        self._lists = Lists(rules)
        self._worth = WorthBook(rules)
        self._tally = Tally()
        self._due: list[tuple[int, int, Callable[[], None]]] = []  # (time, number, what is to be done)
        self._number = 0
        self._violations: list[Violation] = []
        self._counts: Counter[Rule] = Counter()
        self._lags: deque[Lagged] = deque(maxlen=MOST_LAGS)
        self._seen: dict[type[Any], Callable[[Any], None]] = {
            ClientWished: self._wished,
            ClientSent: self._sent,
            ClientGot: self._got,
            ClientLost: self._lost,
            NodeStarted: self._started,
            NodeGot: self._came,
            NodeRan: self._ran,
            NodeGave: self._gave,
            NodeFell: self._fell,
            NodeState: self._state,
            Told: self._told,
            BalancerState: self._balancer,
            RudeLeft: self._rude,
            Lagged: self._lag,
            Note: lambda event: None,
        }

    @property
    def held(self) -> int:
        """Requests and wishes that are kept: bounded by the rate, not by the length of the run."""
        return len(self._requests) + len(self._worth.open) + len(self._strangers)

    def see(self, event: WireEvent) -> None:
        """Take one event.  Events may be a little out of order, as `NodeGot` tells of a first byte."""
        self._advance(event.at)
        self._seen[type(event)](event)

    def verdict(self, at: int | None = None) -> Verdict:
        """What holds so far; `at` is the end of the rehearsal, where nothing more was to come until then."""
        if at is not None:
            self._advance(at)
        open_now = sum(not request.settled for request in self._requests.values())
        return Verdict(
            tuple(sorted(self._violations, key=lambda v: v.at)),
            dict(self._counts),
            self._worth.worth(),
            self._tally.figures(self._worth, open_now),
        )

    # Time.

    def _advance(self, at: int) -> None:
        self._now = max(self._now, at)
        while self._due and self._due[0][0] <= self._now:
            heappop(self._due)[2]()

    def _at(self, at: int, do: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._due, (at, self._number, do))

    # Clients.

    def _wished(self, event: ClientWished | ClientSent) -> None:
        number, rule = event.wish, self._worth.class_rule(event.class_name)
        due_at = event.at if isinstance(event, ClientWished) else event.due_at
        over_at = due_at + rule.deadline_us + self.rules.slack_us + SETTLE_US
        if number not in self._worth.open and over_at > self._now:
            self._worth.wished(event)
            self._at(over_at, lambda: self._worth.close(number))

    def _sent(self, event: ClientSent) -> None:
        self._wished(event)
        limit = event.at + event.left_us + self.rules.slack_us
        request = self._requests.get(event.request)
        if request is None:
            self._tally.tries += 1
            repeatable = self._worth.class_rule(event.class_name).repeatable
            request = self._requests[event.request] = Request(event, repeatable, limit)
        else:  # sent once more, as the balancer had closed the connection before it read the request
            request.sent, request.limit_at, request.loss = event, limit, None
        request.events.append(event)
        balancer = self._balancers.get(event.balancer)
        if balancer and event.at > balancer.out_at + self.rules.drained_us + self.rules.limit_slack_us:
            self._add(
                Violation(
                    Rule.HELD,
                    event.at,
                    event.balancer,
                    (
                        f"{event.balancer} was told that it is out of service "
                        f"{seconds(event.at - balancer.out_at)} ago, and a client's connection to "
                        f"it was still open"
                    ),
                    (*balancer.events, event),
                )
            )
        self._latest[event.wish, event.attempt] = event.request
        self._at(limit + SILENCE_US, lambda: self._settle(request, limit))

    def _got(self, event: ClientGot) -> None:
        request = self._requests.get(event.request)
        if request is None:
            return
        request.events.append(event)
        if request.answer is not None:
            self._broken(request, check_second(request.answer, event), event.at)
            return
        request.answer = event
        self._broken(request, check_refusal(request, event), event.at)
        self._at(event.at + SETTLE_US, lambda: self._settle(request, request.limit_at))

    def _lost(self, event: ClientLost) -> None:
        request = self._requests.get(event.request)
        if request is None or not event.taken:
            return
        request.events.append(event)
        if request.answer is not None:
            if event.how == "extra":
                self._broken(request, check_second(request.answer, event), event.at)
            return
        request.loss = event
        limit = request.limit_at
        self._at(max(event.at, limit) + SETTLE_US, lambda: self._settle(request, limit))

    def _settle(self, request: Request, limit: int) -> None:
        """Judge a try that is over, once; `limit` tells whether it was sent again since this was planned."""
        if request.settled or (limit != request.limit_at and request.answer is None):
            return
        request.settled = True
        sent, rules = request.sent, self.rules
        balancer = self._balancers.setdefault(sent.balancer, Balancer())
        end = request.limit_at if request.ended_at is None else request.ended_at
        excused = balancer.excuses(sent.at, end, rules.term_grace_us) or self._lagged(sent.at, end)
        broken: Broken = iter(())
        if request.answer is not None:
            found = list(check_answer(request, request.answer, rules, self._owners))
            broken = iter([one for one in found if not (excused and one[0] is Rule.LOST)])
        elif not excused and request.loss is not None:
            resent = self._latest.get((sent.wish, sent.attempt)) != request.name
            broken = check_loss(request, request.loss, rules, resent)
        elif not excused:
            broken = check_silence(request, rules)
        lost = self._broken(request, broken, end)
        wish = self._worth.open.get(sent.wish)
        served = request.answer is not None and request.answer.status == 200 and not lost
        if served and request.answer is not None:
            self._worth.served(wish, request.answer)
        self._worth.settled(wish, request, served, excused)
        self._tally.settled(request, served, lost)
        self._at(self._now + KEEP_US, lambda: self._forget(request))

    def _forget(self, request: Request) -> None:
        self._requests.pop(request.name, None)
        if self._latest.get((request.sent.wish, request.sent.attempt)) == request.name:
            del self._latest[request.sent.wish, request.sent.attempt]
        for attempt in request.attempts:
            if attempt.gave is not None and self._owners.get(attempt.gave.body) == request.name:
                del self._owners[attempt.gave.body]

    def _forget_stranger(self, name: str) -> None:
        self._strangers.pop(name, None)

    # Nodes.

    def _node(self, name: str, started_ms: int) -> Node:
        return self._nodes.setdefault((name, started_ms), Node())

    def _started(self, event: NodeStarted) -> None:
        node = self._node(event.node, event.started_ms)
        node.cold_at, node.hall = event.at if event.cold_share < 1 else None, event.hall
        node.events.append(event)

    def _came(self, got: NodeGot) -> None:
        node = self._node(got.node, got.started_ms)
        self._press(node, got)
        if got.target.split("?")[0] in PROBES or not got.request:
            self._worth.costs.probes += 1
            return
        self._tally.attempts += 1
        self._check_drain(node, got)
        request = self._requests.get(got.request)
        blind = node.blind_at(got.first_at)
        if request is None:
            if not blind:  # else it may have been forgotten while the node stood still
                self._strangers[got.request] = got
                self._at(self._now + KEEP_US, lambda: self._forget_stranger(got.request))
            return
        request.events.append(got)
        sender = self._balancers.setdefault(got.balancer, Balancer())
        blind = blind or sender.blind_at(got.first_at, self.rules.limit_slack_us + self.rules.dial_us)
        self._broken(request, check_attempt(request, got, self.rules, blind), got.first_at)
        request.attempts.append(Attempt(got))
        from_hall = self.rules.halls.get(got.balancer, "")
        self._worth.attempted(
            self._worth.open.get(request.sent.wish),
            got,
            bool(from_hall and node.hall and from_hall != node.hall),
        )

    def _ran(self, event: NodeRan) -> None:
        self._tally.ran(event)
        request = self._requests.get(event.request)
        if request is None:
            if (got := self._strangers.pop(event.request, None)) is not None:
                self._add(
                    Violation(
                        Rule.SMUGGLED,
                        event.at,
                        event.request,
                        (
                            f"{event.node} ran {got.method} {got.target} ({event.request}), which "
                            f"{got.balancer} "
                            "passed on and no client had sent"
                        ),
                        (got, event),
                    )
                )
            return
        request.events.append(event)
        attempt = request.attempt_at(event.node, event.started_ms, given=False)
        if attempt is not None:
            attempt.ran = True
        self._worth.began(self._worth.open.get(request.sent.wish))

    def _gave(self, event: NodeGave) -> None:
        request = self._requests.get(event.request)
        if request is None:
            return
        request.events.append(event)
        attempt = request.attempt_at(event.node, event.started_ms, given=True)
        if attempt is not None:
            attempt.gave = event
            self._broken(request, check_second_copy(request, attempt, event.at, self.rules), event.at)
        if event.status == 200 and event.kind in SOUND:
            self._owners[event.body] = event.request

    def _state(self, event: NodeState) -> None:
        node = self._node(event.node, event.started_ms)
        node.see(event)
        node.events.append(event)

    # Rules 3 and 4.

    def _told(self, event: Told) -> None:
        self._lists.see(event)

    def _check_drain(self, node: Node, got: NodeGot) -> None:
        balancer = self._balancers.setdefault(got.balancer, Balancer())
        shut_at = self._lists.shut_at(got.balancer, got.node, balancer)
        allowed = self.rules.drain_grace_us + self.rules.limit_slack_us
        if (
            shut_at is None
            or got.first_at <= shut_at + allowed
            or node.blind_at(got.first_at)
            or (balancer.blind_at(got.first_at, self.rules.limit_slack_us))
        ):
            return
        stale = self._lists.stale(got.balancer, got.node)
        reopened = (
            f"; a stale entry (generation {stale.generation}) had come since"
            if (stale is not None and stale.at >= shut_at)
            else ""
        )
        after = seconds(got.first_at - shut_at)
        self._add(
            Violation(
                Rule.DRAIN,
                got.first_at,
                got.node,
                (
                    f"{got.balancer} sent {got.request} to {got.node} {after} after it was told "
                    f"that the node drains "
                    f"or is gone{reopened}"
                ),
                (*self._lists.events(got.balancer, got.node), *node.events, got),
            )
        )

    def _press(self, node: Node, got: NodeGot) -> None:
        node.pressure.append((got.at, got.balancer, got.work_us))
        while node.pressure[0][0] < got.at - self.rules.fall_us:
            node.pressure.popleft()

    def _fell(self, event: NodeFell) -> None:
        self._tally.fallen.append(event.node)
        node = self._node(event.node, event.started_ms)
        node.events.append(event)
        cold = node.cold_at is not None and event.at - node.cold_at < self.rules.cold_us
        work, told = Counter[str](), Counter[str]()
        for at, name, work_us in node.pressure:
            if at >= event.at - self.rules.fall_us:
                work[name] += work_us
                if self._lists.informed(
                    name, event.node, event.started_ms, at, self._balancers.setdefault(name, Balancer())
                ):
                    told[name] += work_us
        if not cold or not work or told.total() < self.rules.fall_share * work.total():
            return
        by = ", ".join(f"{name} {us / 1000:.0f} ms" for name, us in work.most_common())
        entries = (one for name in told for one in self._lists.events(name, event.node))
        self._add(
            Violation(
                Rule.PUSHED_OVER,
                event.at,
                event.node,
                (
                    f"{event.node} fell {seconds(event.at - (node.cold_at or 0))} after its start: sent "
                    f"{event.sent_us / 1000:.0f} ms of work with room for "
                    f"{event.room_us / 1000:.0f} ms ({by}); "
                    f"{told.total() / work.total():.0%} came from balancers that had been told of its start"
                ),
                in_order((*node.events, *entries)),
            )
        )

    # Balancers.

    def _balancer(self, event: BalancerState) -> None:
        balancer = self._balancers.setdefault(event.balancer, Balancer())
        if not balancer.see(event):
            self._add(
                Violation(
                    Rule.CRASH,
                    event.at,
                    event.balancer,
                    f"{event.balancer} ended, and nobody had told it to",
                    tuple(balancer.events),
                )
            )
            balancer.hold(event.at)  # said once: what it had taken is lost with it
        if event.state == "started":
            self._lists.restarted(event.balancer, event.at)

    def _rude(self, event: RudeLeft) -> None:
        if not event.owed or event.how not in ("late", "served"):
            return
        balancer = self._balancers.setdefault(event.balancer, Balancer())
        if balancer.excuses(event.since, event.at, self.rules.term_grace_us) or (
            self._lagged(event.since, event.at)
        ):
            return
        what = "was served" if event.how == "served" else "had neither an error nor a close"
        self._add(
            Violation(
                Rule.UNPAID,
                event.at,
                event.balancer,
                (
                    f"one of {event.client} ({event.kind}) {what} {seconds(event.at - event.since)} "
                    f"after it had "
                    f"connected to {event.balancer}"
                ),
                (event,),
            )
        )

    def _lag(self, event: Lagged) -> None:
        self._lags.append(event)
        self._tally.lagged_us += event.at - event.since

    # Violations.

    def _broken(self, request: Request, broken: Broken, at: int) -> bool:
        """Note what a rule found about a request; True if it found anything."""
        found = list(broken)
        for rule, text in found:
            sent = request.sent
            balancer = self._balancers.get(sent.balancer)
            states = tuple(balancer.events)[-4:] if balancer else ()
            whole = f"{sent.class_name} {request.name} of {sent.client}, taken by {sent.balancer}, {text}"
            self._add(Violation(rule, at, request.name, whole, in_order((*states, *request.events))))
        return bool(found)

    def _add(self, violation: Violation) -> None:
        if violation.rule in TIMED:
            self._at(self._now + SETTLE_US, lambda: self._add_unless_lagged(violation))
        else:
            self._keep(violation)

    def _add_unless_lagged(self, violation: Violation) -> None:
        if not self._lagged(violation.at, violation.at):
            self._keep(violation)

    def _lagged(self, since: int, until: int) -> bool:
        """Whether the rehearsal was held up in that time, or just before: what came was then seen late."""
        slack = self.rules.limit_slack_us
        return any(lag.since <= until and since <= lag.at + slack for lag in self._lags)

    def _keep(self, violation: Violation) -> None:
        self._counts[violation.rule] += 1
        if self._counts[violation.rule] <= MOST_OF_A_RULE:
            self._violations.append(violation)


def in_order(events: Iterable[WireEvent]) -> tuple[WireEvent, ...]:
    return tuple(sorted(events, key=lambda event: event.at))
