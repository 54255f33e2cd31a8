"""Make before break over one aggregated stream: what may be told now, and what has to wait.

A route names clusters and a cluster has endpoints, so traffic may only be sent to what has arrived:

    make:   clusters, endpoints, listeners, routes
    break:  listeners, routes, clusters, endpoints

- Clusters and endpoints never wait: endpoints carry drains, which must be known within a second, whatever a
  subscriber has not acknowledged.  They go in this order when both are owed.
- Listeners and routes wait until clusters and endpoints are told and answered, and until the subscriber has
  asked for the endpoints of clusters it was just sent: it asks only once it has read them.  (Endpoints of a
  cluster are those of the same name.)
- Who refers goes before what it refers to: a cluster is taken away when listeners and routes are told and
  answered, its endpoints after it.
- On a new stream, types are asked for one after the other.  Until it is BREAK_WAIT_US old, nothing is taken
  away as long as the types that may refer to it were not asked for.
- A refused response counts as answered.  Which resource was at fault is not known, subscribers take the
  others, and one bad cluster must not stop all routes.
- Nothing waits for ever: what is made for MAKE_WAIT_US, what is broken for BREAK_WAIT_US.  A subscriber
  that answers takes one round trip for each step.
"""

from __future__ import annotations

from collections.abc import Mapping

from .resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE
from .subscription import Subscription

MAKES = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)
BREAKS = (LISTENER, ROUTE, CLUSTER, ENDPOINTS)
MAKE_AFTER = {CLUSTER: (), ENDPOINTS: (), LISTENER: (CLUSTER, ENDPOINTS), ROUTE: (CLUSTER, ENDPOINTS)}
BREAK_AFTER = {
    LISTENER: (),
    ROUTE: (LISTENER,),
    CLUSTER: (LISTENER, ROUTE),
    ENDPOINTS: (CLUSTER, LISTENER, ROUTE),
}

MAKE_WAIT_US = 1_000_000  # ten round trips on a slow link; who asks for no endpoints waits so long
BREAK_WAIT_US = 5_000_000  # an old cluster does no harm while its endpoints are kept up
GONE_MOST = 1_000  # names that wait to be broken: a bound for subscribers that never answer


class Order:
    """The order of one stream."""

    __slots__ = ("_subscriptions", "_began", "_awaited", "_since")

    def __init__(self, subscriptions: Mapping[str, Subscription]) -> None:
        self._subscriptions = subscriptions
        self._began: int | None = None
        self._awaited: set[str] = set()  # clusters sent since routes were: to be asked for
        self._since: dict[tuple[str, bool], int] = {}  # since when a type's make (True) or break waits

    def begin(self, now: int) -> None:
        """A request came: the first one begins the stream."""
        if self._began is None:
            self._began = now

    def sent(self, type_url: str, made: list[str], new: set[str]) -> None:
        """A response goes out that makes these names, some of them new to the subscriber."""
        self._since.pop((type_url, True), None)
        if MAKE_AFTER[type_url] and made:
            self._awaited.clear()  # they came, or were waited for long enough
        elif type_url == CLUSTER:
            endpoints = self._subscriptions.get(ENDPOINTS)
            if endpoints is not None:
                # A changed cluster warms again, which ends only with a response that has its endpoints.
                endpoints.repeat(name for name in made if name in endpoints.newest.by_name)
            self._prune()
            self._awaited |= new
        elif type_url == ENDPOINTS:
            clusters = self._subscriptions.get(CLUSTER)
            if clusters is not None and clusters.flight is None:
                self._prune()

    def make_waits(self, type_url: str, now: int) -> int | None:
        """Until when what is new of a type waits at the longest; None: it may go."""
        mine = self._subscriptions[type_url]
        blocked = (mine.greet or bool(mine.owed().make)) and self._blocks_make(type_url)
        return self._waits((type_url, True), blocked, now, MAKE_WAIT_US)

    def break_waits(self, type_url: str, now: int) -> int | None:
        """Until when what is gone of a type waits at the longest; None: it may go."""
        gone = len(self._subscriptions[type_url].owed().gone)
        blocked = 0 < gone <= GONE_MOST and self._blocks_break(type_url, now)
        return self._waits((type_url, False), blocked, now, BREAK_WAIT_US)

    def _waits(self, key: tuple[str, bool], blocked: bool, now: int, longest: int) -> int | None:
        if not blocked:
            self._since.pop(key, None)
            return None
        until = self._since.setdefault(key, now) + longest
        return until if until > now else None

    def _blocks_make(self, type_url: str) -> bool:
        if not MAKE_AFTER[type_url]:
            return False
        endpoints = self._subscriptions.get(ENDPOINTS)
        if any(endpoints is None or not endpoints.wants(name) for name in self._awaited):
            return True
        return any(
            earlier.flight is not None or bool(earlier.owed().make)
            for other in MAKE_AFTER[type_url]
            if (earlier := self._subscriptions.get(other)) is not None
        )

    def _blocks_break(self, type_url: str, now: int) -> bool:
        young = self._began is not None and now < self._began + BREAK_WAIT_US
        for other in BREAK_AFTER[type_url]:
            referring = self._subscriptions.get(other)
            if referring is None:
                if young:
                    return True
            elif referring.flight is not None or referring.owed().make or referring.owed().gone:
                return True
        return False

    def _prune(self) -> None:
        """Leaves out clusters whose endpoints are asked for, and those that are gone or unwanted.

        Only once the response with them is answered: before, an old subscription may be on its way out.
        """
        endpoints, clusters = self._subscriptions.get(ENDPOINTS), self._subscriptions[CLUSTER]
        self._awaited = {
            name
            for name in self._awaited
            if clusters.wants(name)
            and name in clusters.newest.by_name
            and not (endpoints is not None and endpoints.wants(name))
        }
