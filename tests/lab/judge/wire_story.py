"""Wire events in a few words, for the judge's tests; times are in milliseconds."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from roadlb.lab.judge import ClassRule, Judge, Rules, TenantRule, Verdict
from roadlb.lab.wire import (
    BalancerState,
    ClientGot,
    ClientLost,
    ClientSent,
    ClientWished,
    NodeFell,
    NodeGave,
    NodeGot,
    NodeRan,
    NodeStarted,
    NodeState,
    RudeLeft,
    Told,
    WireEvent,
)

RULES = Rules(
    classes=(
        ClassRule("grid-read", 500_000, 2_500_000, 2.0, 0.5, True),
        ClassRule("order", 600_000, 2_000_000, 10.0, 0.5, False),
    ),
    tenants=(TenantRule("acme", 1000.0), TenantRule("bolt", 2.0)),
)


class Story:
    """Collects events; `verdict` feeds them to a judge by time."""

    def __init__(self, **rules: Any) -> None:
        self.rules = replace(RULES, **rules)
        self.events: list[WireEvent] = []
        self.balancer, self.node, self.class_name = "b1", "n1", "order"

    def _add(self, event: WireEvent) -> Story:
        self.events.append(event)
        return self

    def wished(self, at: float, wish: int, class_name: str = "order", tenant: str = "acme") -> Story:
        return self._add(ClientWished(us(at), wish, "c1", class_name, tenant))

    def sent(
        self,
        at: float,
        request: str = "r1",
        class_name: str = "",
        left: float = 1000,
        balancer: str = "",
        wish: int | None = None,
        attempt: int = 0,
        tenant: str = "acme",
        due: float | None = None,
    ) -> Story:
        return self._add(
            ClientSent(
                us(at),
                request,
                abs(hash(request)) if wish is None else wish,
                attempt,
                "c1",
                balancer or self.balancer,
                class_name or self.class_name,
                tenant,
                "k",
                us(left),
                us(at if due is None else due),
            )
        )

    def got(self, at: float, request: str = "r1", status: int = 200, body: str | None = None) -> Story:
        return self._add(
            ClientGot(us(at), request, self.balancer, status, f"body of {request}" if body is None else body)
        )

    def lost(self, at: float, how: str, request: str = "r1", taken: bool = True) -> Story:
        return self._add(ClientLost(us(at), request, self.balancer, how, taken))

    def came(
        self,
        at: float,
        request: str = "r1",
        node: str = "",
        started: int = 1,
        work: float = 10,
        balancer: str = "",
        **other: Any,
    ) -> Story:
        method = "POST" if self.class_name == "order" else "GET"
        event = NodeGot(
            us(at),
            us(at),
            node or self.node,
            started,
            balancer or self.balancer,
            request,
            method,
            f"/{self.class_name}/k",
            us(work),
        )
        return self._add(replace(event, **other))

    def ran(self, at: float, request: str = "r1", node: str = "", started: int = 1) -> Story:
        return self._add(NodeRan(us(at), node or self.node, started, request))

    def gave(
        self,
        at: float,
        request: str = "r1",
        node: str = "",
        kind: str = "ok",
        body: str | None = None,
        started: int = 1,
    ) -> Story:
        status = {"unprocessed": 503, "error": 500}.get(kind, 200)
        return self._add(
            NodeGave(
                us(at),
                node or self.node,
                started,
                request,
                status,
                kind,
                f"body of {request}" if body is None else body,
            )
        )

    def attempt(
        self,
        at: float,
        request: str = "r1",
        node: str = "",
        kind: str = "ok",
        took: float = 50,
        started: int = 1,
        **other: Any,
    ) -> Story:
        """It comes, runs unless it is turned away, and is answered."""
        self.came(at, request, node, started, **other)
        if kind != "unprocessed":
            self.ran(at + 1, request, node, started)
        return self.gave(at + took, request, node, kind, started=started)

    def whole(self, at: float, request: str = "r1", **other: Any) -> Story:
        """A request that is served by the book."""
        return self.sent(at, request).attempt(at + 1, request, **other).got(at + 60, request)

    def told(
        self,
        at: float,
        lifecycle: str,
        generation: int = 1,
        started: int = 1,
        balancer: str | None = None,
        node: str = "",
    ) -> Story:
        return self._add(
            Told(
                us(at),
                self.balancer if balancer is None else balancer,
                node or self.node,
                started,
                lifecycle,
                generation,
            )
        )

    def state(self, at: float, state: str, node: str = "") -> Story:
        return self._add(NodeState(us(at), node or self.node, 1, state))

    def started(self, at: float, node: str = "", started: int = 1) -> Story:
        return self._add(NodeStarted(us(at), node or self.node, started, "new-2c", "hall-a", 2.0, 0.12))

    def fell(self, at: float, sent: float = 900, room: float = 250, started: int = 1) -> Story:
        return self._add(NodeFell(us(at), self.node, started, us(sent), us(room)))

    def does(self, at: float, state: str, balancer: str = "") -> Story:
        return self._add(BalancerState(us(at), balancer or self.balancer, state))

    def rude(self, at: float, since: float, how: str = "late", owed: bool = True) -> Story:
        return self._add(RudeLeft(us(at), us(since), "rude", self.balancer, "noise", how, owed))

    def verdict(self, until: float = 60_000) -> Verdict:
        judge = Judge(self.rules)
        for event in sorted(self.events, key=lambda event: event.at):
            judge.see(event)
        return judge.verdict(us(until))


def us(ms: float) -> int:
    return round(ms * 1000)
