"""Faithful subscribers of both variants, as small as the protocol lets them be; and the resources they read.

Bodies are text: a listener names its route, a route its clusters, endpoints their generation.  A body with
`poison` is refused, and with it the whole response: the strictest client that there is.
"""

from __future__ import annotations

from roadlb.xds.messages import (
    DeltaRequest,
    DeltaResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    ErrorDetail,
    Node,
    Request,
    Response,
)
from roadlb.xds.resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, TYPES, Resource

NODE = Node("proxy-1")
REFUSED = ErrorDetail(3, "poison")


def named(resource: Resource) -> set[str]:
    """The names after `=` in a body."""
    return set(resource.body.decode().partition("=")[2].partition(";")[0].split(",")) - {""}


class Subscriber:
    """Wants all clusters and listeners, the endpoints of its clusters and the routes of its listeners."""

    def __init__(self, explicit: bool) -> None:
        self.explicit = explicit  # subscribes to `*`, not to nothing
        self.view: dict[str, dict[str, Resource]] = {type_url: {} for type_url in TYPES}
        self.wanted: dict[str, set[str]] = {type_url: set() for type_url in TYPES}
        self.nonces: dict[str, str] = {}
        self.out: list[Request] = []

    def connect(self) -> None:
        """A new stream: nonces are gone, the view stays."""
        self.nonces, self.out = {}, []
        self.opening()
        self.out[0] = self.with_node(self.out[0])

    def receive(self, response: Response) -> None:
        type_url = response.type_url
        refused = any(b"poison" in resource.body for resource in response.resources)
        if not refused:
            self.apply(response)
        self.nonces[type_url] = response.nonce
        self.answer(response, refused)
        if type_url == CLUSTER:
            self.want(ENDPOINTS, set(self.view[CLUSTER]))
        if type_url == LISTENER:
            self.want(ROUTE, set().union(*map(named, self.view[LISTENER].values())))

    def want(self, type_url: str, names: set[str]) -> None:
        if names != self.wanted[type_url]:
            old, self.wanted[type_url] = self.wanted[type_url], names
            for name in set(self.view[type_url]) - names:
                del self.view[type_url][name]
            self.out.append(self.resubscribe(type_url, names - old, old - names))

    def broken(self) -> str:
        """What traffic would hit: a route of a listener that leads to a cluster without endpoints."""
        for listener in self.view[LISTENER].values():
            for route in named(listener) & set(self.view[ROUTE]):
                for cluster in named(self.view[ROUTE][route]):
                    if cluster not in self.view[CLUSTER] or cluster not in self.view[ENDPOINTS]:
                        return f"{listener.name} -> {route} -> {cluster}"
        return ""


class SotwSubscriber(Subscriber):
    """State of the world."""

    def __init__(self, explicit: bool) -> None:
        super().__init__(explicit)
        self.versions = dict.fromkeys(TYPES, "")

    def request(self, type_url: str, error: ErrorDetail | None = None) -> DiscoveryRequest:
        whole = type_url in (CLUSTER, LISTENER)
        names = (("*",) if self.explicit else ()) if whole else tuple(sorted(self.wanted[type_url]))
        return DiscoveryRequest(
            type_url, names, self.versions[type_url], self.nonces.get(type_url, ""), error
        )

    def with_node(self, request: Request) -> Request:
        return DiscoveryRequest(request.type_url, request.resource_names, request.version_info, node=NODE)

    def opening(self) -> None:
        self.out += [self.request(type_url) for type_url in TYPES]

    def resubscribe(self, type_url: str, more: set[str], less: set[str]) -> Request:
        return self.request(type_url)

    def apply(self, response: DiscoveryResponse) -> None:
        got = {resource.name: resource for resource in response.resources}
        kept = {} if response.type_url in (CLUSTER, LISTENER) else self.view[response.type_url]
        self.view[response.type_url] = kept | got
        self.versions[response.type_url] = response.version_info

    def answer(self, response: DiscoveryResponse, refused: bool) -> None:
        self.out.append(self.request(response.type_url, REFUSED if refused else None))


class DeltaSubscriber(Subscriber):
    """Incremental."""

    def with_node(self, request: Request) -> Request:
        return DeltaRequest(
            request.type_url,
            request.resource_names_subscribe,
            initial_resource_versions=request.initial_resource_versions,
            node=NODE,
        )

    def opening(self) -> None:
        for type_url in TYPES:
            whole = type_url in (CLUSTER, LISTENER)
            names = (("*",) if self.explicit else ()) if whole else tuple(sorted(self.wanted[type_url]))
            have = {name: resource.version for name, resource in self.view[type_url].items()}
            self.out.append(DeltaRequest(type_url, names, initial_resource_versions=have))

    def resubscribe(self, type_url: str, more: set[str], less: set[str]) -> Request:
        return DeltaRequest(type_url, tuple(sorted(more)), tuple(sorted(less)))

    def apply(self, response: DeltaResponse) -> None:
        for resource in response.resources:
            self.view[response.type_url][resource.name] = resource
        for name in response.removed_resources:
            self.view[response.type_url].pop(name, None)

    def answer(self, response: DeltaResponse, refused: bool) -> None:
        self.out.append(
            DeltaRequest(
                response.type_url, response_nonce=response.nonce, error_detail=REFUSED if refused else None
            )
        )
