"""The state-of-the-world variant of an aggregated stream, from the server's side.

What the protocol says, and why the table is as it is:

- Each request has all names wanted of its type.  It is also the answer to a response, by its nonce.
- A request with any nonce but the last response's was written before that response was read.  It subscribes
  to nothing: the answer to the last response will have its names.  So too a request without a nonce once
  something was sent.  But a name that it lacks, the subscriber has dropped at that moment; wanted again in
  that answer, it would be waited for in vain.  So it is told again.
- The first request of a type on a stream has no nonce, as nonces do not outlive their stream.
- `*`, or no names in all requests of a type so far, is everything; that second form exists for clusters and
  listeners only.  After a request with names, no names is nothing.
- A response of clusters or listeners has all that there are: what it lacks is gone.  Of endpoints and
  routes it has what is new or changed: what it lacks stays as it was, and a name that is not there is not
  spoken of.  So what was taken away and must still stay for a while goes on being sent; and a client whose
  endpoints must go needs an empty assignment, not one that vanishes.
- The version is the type's.  Who wants everything and shows, in its first request, the present version,
  needs no response; who shows one that we had is known to have just that.  A first request with names gets
  everything: nobody knows whether it had these names before.
"""

from __future__ import annotations

from .conversation import Phase, Said, Step
from .messages import WILDCARD, DiscoveryRequest, DiscoveryResponse, Request, Response
from .resources import CLUSTER, LISTENER, Resource, Snapshot, digest_with, generation_of, stamp
from .stream import Stream, part, too_much
from .subscription import Subscription

WHOLE = frozenset({CLUSTER, LISTENER})  # types of which a response has all there are
PART_BYTES_MOST = 1 << 20  # of bodies in a response of the other types; the rest goes next

TABLE = {
    (Phase.NEW, Said.NOTHING): (Step.SUBSCRIBE, Step.SHOW),
    (Phase.NEW, Said.STALE): (Step.END,),
    (Phase.NEW, Said.REFUSES_NOTHING): (Step.END,),
    (Phase.SILENT, Said.NOTHING): (Step.SUBSCRIBE,),
    (Phase.SILENT, Said.STALE): (),
    (Phase.SILENT, Said.REFUSES_NOTHING): (Step.SUBSCRIBE,),
    (Phase.WAITING, Said.ACK): (Step.ACCEPT, Step.SUBSCRIBE),
    (Phase.WAITING, Said.NACK): (Step.REFUSE, Step.SUBSCRIBE),
    (Phase.WAITING, Said.STALE): (Step.DOUBT,),
    (Phase.WAITING, Said.NOTHING): (Step.DOUBT,),
    (Phase.WAITING, Said.REFUSES_NOTHING): (),
    (Phase.ANSWERED, Said.REPEAT): (Step.SUBSCRIBE,),
    (Phase.ANSWERED, Said.STALE): (Step.DOUBT,),
    (Phase.ANSWERED, Said.NOTHING): (Step.DOUBT,),
    (Phase.ANSWERED, Said.REFUSES_NOTHING): (),
}


class SotwStream(Stream):
    """One subscriber of the state of the world."""

    table = TABLE
    takes = DiscoveryRequest

    def tells_gone(self, type_url: str) -> bool:
        """By leaving it out, where a response has all there are."""
        return type_url in WHOLE

    def take(self, step: Step, subscription: Subscription, request: Request) -> str:
        assert isinstance(request, DiscoveryRequest)
        if step is Step.SUBSCRIBE:
            return self._subscribe(subscription, request)
        if step is Step.SHOW:
            self._show(subscription, request)
        elif dropped := subscription.names.difference(request.resource_names):
            subscription.repeat(dropped)
            subscription.asked = True
        return ""

    @staticmethod
    def _subscribe(subscription: Subscription, request: DiscoveryRequest) -> str:
        names = set(request.resource_names)
        if reason := too_much(names, len(names), subscription.type_url):
            return reason
        subscription.named = subscription.named or bool(names)
        wildcard = WILDCARD in names or (subscription.type_url in WHOLE and not subscription.named)
        names.discard(WILDCARD)
        entered = wildcard and not subscription.wildcard
        if subscription.wildcard and not wildcard:
            subscription.add(names)  # first, so that what was sent of them stays known
            subscription.leave_wildcard()
        subscription.drop(subscription.names - names)
        if entered:
            subscription.enter_wildcard()
        if subscription.add(names - subscription.names) or entered:
            subscription.asked = True
            subscription.greet = subscription.greet or subscription.type_url in WHOLE
        return ""

    def _show(self, subscription: Subscription, request: DiscoveryRequest) -> None:
        self.shows([request.version_info])
        subscription.accepted = subscription.shown = request.version_info
        if self.snapshot is not None:
            self._believe(subscription, self.snapshot)

    def follow(self, subscription: Subscription, snapshot: Snapshot) -> None:
        super().follow(subscription, snapshot)
        self._believe(subscription, snapshot)

    @staticmethod
    def _believe(subscription: Subscription, snapshot: Snapshot) -> None:
        """What the first request shows counts, if it is about everything and something that we had."""
        if subscription.shown and subscription.wildcard and subscription.type_url in WHOLE:
            shown = snapshot.find(subscription.type_url, subscription.shown)
            if shown is not None:
                subscription.has_all_of(shown)

    def respond(self, subscription: Subscription, nonce: str, breaks: bool) -> tuple[Response, list[str]]:
        newest, owed = subscription.newest, subscription.owed()
        if subscription.type_url not in WHOLE:
            told = part(subscription, owed.make, PART_BYTES_MOST)
            resources = tuple(newest.by_name[name] for name in told)
            return self._response(subscription, newest.version, nonce, resources), told
        kept = () if breaks else self._kept(subscription, owed.gone)
        told = sorted(
            (subscription.differs.keys() | subscription.again).difference(() if breaks else owed.gone)
        )
        version = newest.version
        if kept:
            version = stamp(generation_of(version), digest_with(newest, kept))
        return self._response(subscription, version, nonce, self._whole(subscription) + kept), told

    def beat(self, subscription: Subscription, nonce: str) -> Response | None:
        """With bodies: a client takes a response without them for an empty one, if it has all there are.

        Nothing, as long as something of such a type is owed or refused: it would be sent as well.
        """
        if subscription.type_url in WHOLE:
            if subscription.differs:
                return None
            resources = self._whole(subscription)
        else:
            resources = tuple(
                resource
                for resource in self._whole(subscription)
                if resource.ttl_us is not None and resource.name not in subscription.differs
            )
        if not resources:
            return None
        return self._response(subscription, subscription.newest.version, nonce, resources)

    def _response(
        self, subscription: Subscription, version: str, nonce: str, resources: tuple[Resource, ...]
    ) -> DiscoveryResponse:
        return DiscoveryResponse(subscription.type_url, version, nonce, self.with_ttl(resources))

    @staticmethod
    def _whole(subscription: Subscription) -> tuple[Resource, ...]:
        """All that is wanted and there; the collection's own tuple for who wants everything."""
        if subscription.wildcard:
            return subscription.newest.resources
        by_name = subscription.newest.by_name
        return tuple(by_name[name] for name in sorted(subscription.names) if name in by_name)

    @staticmethod
    def _kept(subscription: Subscription, gone: list[str]) -> tuple[Resource, ...]:
        """What is gone and must stay for a while; what was refused is not known well enough to be kept."""
        sent = (subscription.differs[name] for name in gone)
        return tuple(resource for resource in sent if resource is not None and resource.body)
