"""The incremental variant of an aggregated stream, from the server's side.

What the protocol says, and why the table is as it is:

- A request tells what is wanted from now on and what no more.  These differences count whatever nonce comes
  with them: one that was ignored would be lost.  The nonce only says which response is answered; a response
  that is not in flight cannot be answered.
- A name that is subscribed to is always answered, even if the subscriber should have it: it may have
  dropped it meanwhile.  With the resource; or, if there is none of that name, as a removed one, at once, so
  that the subscriber need not wait for a time-out, and with the resource as soon as there is one.
- `*` is everything; the first request of clusters or listeners that names nothing means it too.  It is left
  by unsubscribing from `*`.  What is wanted by its name stays wanted then; the rest the subscriber forgets
  itself.
- A name given up under the wildcard is told once more, present or removed: the subscriber cannot know
  whether the wildcard covers it.
- Who subscribes to everything gets a first response even if there is nothing.
- The first request of a type may tell which versions the subscriber has from an earlier stream.  Those with
  our digest are not sent again; those that we do not have are told as removed.
"""

from __future__ import annotations

from .conversation import Phase, Said, Step
from .messages import WILDCARD, DeltaRequest, DeltaResponse, Request, Response
from .resources import CLUSTER, LISTENER
from .stream import Stream, part, too_much
from .subscription import Subscription

LEGACY_WILDCARD = frozenset({CLUSTER, LISTENER})
RESPONSE_BYTES_MOST = 1 << 20  # of bodies; a gRPC client takes 4 MiB at the most.  The rest goes next

TABLE = {
    (Phase.NEW, Said.NOTHING): (Step.SUBSCRIBE, Step.SHOW),
    (Phase.NEW, Said.STALE): (Step.END,),
    (Phase.NEW, Said.REFUSES_NOTHING): (Step.END,),
    (Phase.SILENT, Said.NOTHING): (Step.SUBSCRIBE,),
    (Phase.SILENT, Said.STALE): (Step.SUBSCRIBE,),
    (Phase.SILENT, Said.REFUSES_NOTHING): (Step.SUBSCRIBE,),
    (Phase.WAITING, Said.NOTHING): (Step.SUBSCRIBE,),
    (Phase.WAITING, Said.ACK): (Step.ACCEPT, Step.SUBSCRIBE),
    (Phase.WAITING, Said.NACK): (Step.REFUSE, Step.SUBSCRIBE),
    (Phase.WAITING, Said.STALE): (Step.SUBSCRIBE,),
    (Phase.WAITING, Said.REFUSES_NOTHING): (Step.SUBSCRIBE,),
    (Phase.ANSWERED, Said.NOTHING): (Step.SUBSCRIBE,),
    (Phase.ANSWERED, Said.REPEAT): (Step.SUBSCRIBE,),
    (Phase.ANSWERED, Said.STALE): (Step.SUBSCRIBE,),
    (Phase.ANSWERED, Said.REFUSES_NOTHING): (Step.SUBSCRIBE,),
}


class DeltaStream(Stream):
    """One subscriber of differences."""

    table = TABLE
    takes = DeltaRequest

    def tells_gone(self, type_url: str) -> bool:
        """Of every type, as a removed name."""
        return True

    def take(self, step: Step, subscription: Subscription, request: Request) -> str:
        assert isinstance(request, DeltaRequest)
        return (self._subscribe if step is Step.SUBSCRIBE else self._show)(subscription, request)

    def _subscribe(self, subscription: Subscription, request: DeltaRequest) -> str:
        type_url, wanted = request.type_url, set(request.resource_names_subscribe)
        if reason := too_much(wanted, len(wanted | subscription.names | subscription.again), type_url):
            return reason
        legacy = not subscription.named and not wanted and type_url in LEGACY_WILDCARD
        subscription.named = True
        self._unsubscribe(subscription, set(request.resource_names_unsubscribe))
        if WILDCARD in wanted or legacy:
            wanted.discard(WILDCARD)
            if subscription.wildcard:
                subscription.repeat(subscription.newest.by_name)
            subscription.enter_wildcard()
            subscription.greet = subscription.asked = True
        if wanted:
            subscription.add(wanted)
            subscription.repeat(wanted)
            subscription.asked = True
        return ""

    @staticmethod
    def _unsubscribe(subscription: Subscription, names: set[str]) -> None:
        if WILDCARD in names and subscription.wildcard:
            subscription.leave_wildcard()
        left = names & subscription.names
        subscription.drop(left)
        if subscription.wildcard and left:
            subscription.repeat(left)
            subscription.asked = True

    def _show(self, subscription: Subscription, request: DeltaRequest) -> str:
        shown = request.initial_resource_versions
        texts = [*shown, *shown.values()]
        if reason := too_much(texts, len(shown), request.type_url):
            return reason
        self.shows(shown.values())
        for name, version in shown.items():
            if subscription.wants(name):
                subscription.claim(name, version)
        return ""

    def respond(self, subscription: Subscription, nonce: str, breaks: bool) -> tuple[Response, list[str]]:
        newest, owed = subscription.newest, subscription.owed()
        made = part(subscription, owed.make, RESPONSE_BYTES_MOST)
        gone = owed.gone if breaks and len(made) == len(owed.make) else []
        resources = self.with_ttl(tuple(newest.by_name[name] for name in made))
        removed = [*owed.absent, *gone]
        response = DeltaResponse(subscription.type_url, newest.version, nonce, resources, tuple(removed))
        return response, [*made, *removed]

    def beat(self, subscription: Subscription, nonce: str) -> Response | None:
        """Without bodies: the version that the subscriber has already is enough."""
        resources = tuple(
            resource.heartbeat()
            for resource in subscription.newest.resources
            if resource.ttl_us is not None
            and subscription.wants(resource.name)
            and resource.name not in subscription.differs
        )
        if not resources:
            return None
        return DeltaResponse(subscription.type_url, subscription.newest.version, nonce, resources)
