"""From what is decided to what is published: a snapshot for each form, encoded once for all its streams."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..control.events import Decisions
from ..control.forms import Assignment, Expression, Form, Placed, express
from ..control.routes import Rule, limits, rules
from ..control.settings import ClassSettings, Settings, address
from ..fleet.model import Cluster, Endpoint, Lifecycle, Locality, LocalityGroup, NodeId
from ..fleet.traffic import ClusterSettings, Limits, Listener, Retry, Route, RouteTable, VirtualHost
from .codec.assignment import AssignmentWriter
from .codec.cluster import write_cluster
from .codec.protos import WireCluster
from .codec.routes import write_listener, write_routes
from .resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, Resource, Snapshot

WHOLE = 1.0  # scale: the plan's weights are whole numbers already
METRICS = ("named_metrics.eps", "named_metrics.queue")  # what nodes tell and load reports shall have


@dataclass(slots=True)
class _Written:
    """One cluster's endpoints as last written; endpoints that did not change stay the same objects."""

    writer: AssignmentWriter
    endpoints: dict[tuple[NodeId, Locality, int], tuple[Placed, Endpoint]]
    said: Assignment | None = None
    resource: Resource | None = None


class FormPublisher:
    """Successive snapshots of one form."""

    def __init__(self, form: Form, settings: Settings) -> None:
        self.form, self._settings = form, settings
        self.snapshot: Snapshot | None = None
        self._rules = rules(settings.module())
        self._written: dict[str, _Written] = {}

    def publish(self, decisions: Decisions) -> Snapshot:
        """The next snapshot: shares what did not change with the one before; is that one if nothing did."""
        found = list(self._resources(express(self.form, decisions), decisions))
        before, new = self.snapshot, Snapshot.of(decisions.generation, found, self.snapshot)
        if (
            before is None
            or new.generation > before.generation
            or any(new.collections[type_url] is not held for type_url, held in before.collections.items())
        ):
            self.snapshot = new
        assert self.snapshot is not None
        return self.snapshot

    def _resources(self, expression: Expression, decisions: Decisions) -> Iterator[Resource]:
        generation = decisions.generation
        weight = sum(d.endpoint.weight for told in decisions.clusters.values() for d in told if d.open)
        for said in expression.assignments:
            settings = self._cluster(said, weight)
            yield Resource.make(CLUSTER, said.cluster, write_cluster(settings), generation)
            yield self._endpoints(said, generation)
        told = {said.cluster for said in expression.assignments}
        self._written = {name: kept for name, kept in self._written.items() if name in told}
        for split in expression.splits:
            for listener in self._settings.listeners:
                table = self._table(listener.name, split.parts_ppm)
                yield Resource.make(ROUTE, table.name, write_routes(table), generation)
                place = address(listener.address) if listener.address else None
                if self.form is Form.ENVOY and place is None:
                    continue  # it has its own listeners, and asks for routes alone
                at = place if self.form is not Form.GRPC else None
                body = write_listener(Listener(listener.name, at, routes=table.name))
                yield Resource.make(LISTENER, listener.name, body, generation)

    def _cluster(self, said: Assignment, weight: float) -> ClusterSettings:
        bounds = limits({said.cluster: weight or 1.0}, 1.0)
        most = 1 << (bounds.max_requests - 1).bit_length()  # so that a deploy seldom changes it
        return ClusterSettings(
            said.cluster,
            connect_timeout_us=round(self._settings.connect_timeout_s * 1e6),
            limits=(
                Limits(
                    requests=most,
                    pending=most,
                    retries=max(bounds.max_retries, most // 5),
                    retry_percent=bounds.retry_percent,
                ),
            ),
            panic_percent=bounds.panic_percent,
            locality_weights=said.localities,
            reports=True,
            origin=WireCluster(lrs_report_endpoint_metrics=METRICS).SerializeToString(),
        )

    def _endpoints(self, said: Assignment, generation: int) -> Resource:
        written = self._written.setdefault(said.cluster, _Written(AssignmentWriter(), {}))
        if written.resource is not None and written.said == said:
            return written.resource
        before, written.endpoints = written.endpoints, {}
        groups = []
        for place in said.places:
            groups.append(LocalityGroup(place.locality, place.priority, weight=place.weight))
            for placed in place.endpoints:
                key = placed.node, place.locality, place.priority
                held = before.get(key)
                if held is None or held[0] != placed:
                    held = (
                        placed,
                        Endpoint(
                            placed.node,
                            placed.host,
                            placed.port,
                            place.locality,
                            Lifecycle.UP,
                            placed.health,
                            float(placed.weight),
                            place.priority,
                        ),
                    )
                written.endpoints[key] = held
        endpoints = tuple(endpoint for _, endpoint in written.endpoints.values())
        body = written.writer.write(Cluster(said.cluster, endpoints, tuple(groups)), WHOLE)
        written.said, written.resource = said, Resource.make(ENDPOINTS, said.cluster, body, generation)
        return written.resource

    def _table(self, name: str, parts: tuple[tuple[str, int], ...]) -> RouteTable:
        routes = tuple(
            route(c, rule, parts) for c, rule in zip(self._settings.classes, self._rules, strict=True)
        )
        return RouteTable(name, (VirtualHost(name, ("*",), routes),))


def route(matches: ClassSettings, rule: Rule, parts: tuple[tuple[str, int], ...]) -> Route:
    """One class's route; a class with one attempt has no retries at all, as clients refuse a count of 0."""
    retry = None
    if rule.retry.tries:
        retry = Retry(
            rule.retry.retry_on + rule.retry.grpc_codes,
            rule.retry.tries,
            rule.retry.try_timeout_us or None,
            rule.retry.back_off_us,
            (rule.retry.header,),
            rule.retry.elsewhere,
        )
    return Route(
        rule.name,
        prefix=matches.prefix,
        method=matches.method,
        clusters=parts,
        timeout_us=rule.timeout_us,
        retry=retry,
        hedge=rule.hedge,
    )


class Publisher:
    """Snapshots of the newest decisions, for the forms that anybody speaks."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._forms: dict[Form, FormPublisher] = {}
        self._made: dict[Form, Decisions] = {}
        self.decisions: Decisions | None = None

    def take(self, decisions: Decisions) -> None:
        """These are the newest; they are encoded when somebody asks for them."""
        self.decisions = decisions

    def snapshot(self, form: Form) -> Snapshot | None:
        """The newest decisions in a form; None before there are any."""
        if self.decisions is None:
            return None
        if form not in self._forms:
            self._forms[form] = FormPublisher(form, self._settings)
        publisher = self._forms[form]
        if publisher.snapshot is None or self._made.get(form) is not self.decisions:
            self._made[form] = self.decisions
            return publisher.publish(self.decisions)
        return publisher.snapshot
