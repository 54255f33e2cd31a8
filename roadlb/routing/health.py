"""The health of servers as one balancer sees it: failing, silent, suspect, full, ejected.  No I/O.

    what happened                     what follows                              reason
    a good answer                     its failures count less; an ejection      it is well, as it answers
                                      ends, and the next one is shorter
    work refused as full, or a        nothing new for a while, twice as long    the server itself says that
    connection that failed            with each in a row                        it has no room
    any failure but a spoilt answer   suspect for SUSPECT_US: no orders         an order that is lost there
                                                                                cannot be repeated
    failure rate over                 ejected, twice as long each time; then    a server that fails fast
    EJECTION_FAILURE_RATE             one repeatable request at a time tries    would draw all traffic
    MAX_EJECTED_SHARE are ejected     no more are                               the fault is not that of
                                                                                single servers
    other balancers report it bad     as ejected, until the time they give or   the same limit holds
                                      a good answer to this balancer

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MIN_EJECTION_US, MAX_EJECTION_US = 1_000_000, 16_000_000
MAX_EJECTED_SHARE = 0.34  # of the fleet; if more fail, the fault is not that of single servers
EJECTION_FAILURE_RATE = 0.35  # of the recent outcomes
SUSPECT_US, SUSPECT_FAILURE_RATE = 3_000_000, 0.1  # after a failure, orders avoid the server ...
MAX_FULL_US = 500_000  # ... and after a refusal as full or a failed connection all requests do, for a while
FAILURE_WEIGHT, SPOILT_WEIGHT = 0.2, 0.05  # of an outcome: now and then any server spoils an answer


@dataclass(slots=True, eq=False)
class ServerHealth:
    """The health of one server."""

    oldest_sent_at: int = field(default=0, init=False)  # when the first of the attempts in flight was sent
    last_answer_at: int = field(default=0, init=False)  # when the last answer came, of whatever kind
    failure_rate: float = field(default=0.0, init=False)  # share of recent outcomes that failed
    suspect_until: int = field(default=0, init=False)
    ejected_until: int = field(default=0, init=False)  # 0: not ejected
    ejection_us: int = field(default=0, init=False)
    full_until: int = field(default=0, init=False)
    full_count: int = field(default=0, init=False)  # refusals as full in a row
    peers_heeded_until: int = field(default=0, init=False)  # latest end in a peers' report that took effect
    is_listed: bool = field(default=True, init=False)  # one that has left the list is no longer ejected

    def is_suspect(self, now: int) -> bool:
        """Return whether it has failed recently, and not done well since."""
        return self.suspect_until > now and self.failure_rate > SUSPECT_FAILURE_RATE

    def is_silent(self, now: int, in_flight: int, patience_us: int) -> bool:
        """Return whether, with this many attempts in flight, no answer has come for longer than the
        patience."""
        return in_flight > 0 and now - max(self.last_answer_at, self.oldest_sent_at) > patience_us

    def is_excluded(
        self, now: int, in_flight: int, patience_us: int, safe: bool, unsafe: bool, allows_suspect: bool
    ) -> bool:
        """Return whether a request may not go there.

        `safe`: the request may run any number of times; `unsafe`: at most once; `allows_suspect`: it has
        nowhere else to go, so a suspect or silent server will do.
        """
        if self.full_until > now:
            return True
        if self.ejected_until:
            # After the ejection time one request at a time may try it again, if it can be repeated.
            return now < self.ejected_until or in_flight > 0 or not safe
        return not allows_suspect and (
            self.is_silent(now, in_flight, patience_us) or unsafe and self.is_suspect(now)
        )

    def is_eligible(self, now: int, in_flight: int, patience_us: int) -> bool:
        """Return whether a request that can be repeated may go there."""
        may_try = (
            now >= self.ejected_until and not in_flight
            if self.ejected_until
            else not self.is_silent(now, in_flight, patience_us)
        )
        return self.full_until <= now and may_try


class HealthTracker:
    """What one balancer learns of the health of all its servers."""

    __slots__ = ("_draw", "ejected_count")

    def __init__(self, draw: Callable[[], float]) -> None:
        """`draw()`: a random number 0..1, each balancer's own, so that not all come back to a server at
        once."""
        self._draw, self.ejected_count = draw, 0

    def remove_server(self, server: ServerHealth) -> None:
        """The server has left the list; attempts that are still in flight there may end after this."""
        self.ejected_count -= server.ejected_until > 0
        server.ejected_until, server.is_listed = 0, False

    def reset(self, server: ServerHealth) -> None:
        """The server is a new process under an old name: nothing known of the former one counts."""
        self.ejected_count -= server.ejected_until > 0
        (
            server.failure_rate,
            server.suspect_until,
            server.ejected_until,
            server.ejection_us,
            server.full_until,
        ) = 0.0, 0, 0, 0, 0

    def record_success(self, server: ServerHealth) -> None:
        """A good answer lowers the failure rate; it ends an ejection, or shortens the next one by 1/8."""
        server.failure_rate, server.full_count = server.failure_rate * 0.8, 0
        if server.ejected_until:
            server.ejected_until, self.ejected_count = 0, self.ejected_count - 1
        elif server.ejection_us > MIN_EJECTION_US:
            server.ejection_us -= server.ejection_us // 8

    def record_full(self, now: int, server: ServerHealth, usual_us: float) -> None:
        """The server had no room, or the connection to it failed; `usual_us`: how long an answer takes."""
        wait = min(MAX_FULL_US, usual_us * 2 ** min(server.full_count, 9))
        server.full_until, server.full_count = now + int(wait * (0.5 + self._draw())), server.full_count + 1

    def record_failed_attempt(self, now: int, server: ServerHealth, spoilt: bool, server_count: int) -> None:
        """No answer came, or none that could be used; `server_count`: of the servers that are ready."""
        server.failure_rate += (1 - server.failure_rate) * (SPOILT_WEIGHT if spoilt else FAILURE_WEIGHT)
        if not spoilt:
            server.suspect_until = now + SUSPECT_US
        if server.is_listed and (server.ejected_until or server.failure_rate > EJECTION_FAILURE_RATE):
            if not server.ejected_until and self._is_limit_reached(server_count):
                return
            self.ejected_count += not server.ejected_until
            server.ejection_us = min(MAX_EJECTION_US, max(MIN_EJECTION_US, server.ejection_us * 2))
            server.ejected_until = now + int(server.ejection_us * (0.75 + self._draw() / 2))

    def apply_peer_report(self, server: ServerHealth, until: int, server_count: int) -> None:
        """Other balancers report the server bad until then.

        A good answer to this balancer ends that, until they report a later time.
        """
        if (
            until <= max(server.peers_heeded_until, server.ejected_until)
            or not server.ejected_until
            and self._is_limit_reached(server_count)
        ):
            return
        self.ejected_count += not server.ejected_until
        server.ejected_until = server.peers_heeded_until = until

    def _is_limit_reached(self, server_count: int) -> bool:
        return self.ejected_count + 1 > MAX_EJECTED_SHARE * server_count
