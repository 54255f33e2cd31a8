"""How a server stands with one balancer: failing, silent, suspect, full, ejected.  No I/O.

    what happened                     what follows                              reason
    a good answer                     its failures count less; an ejection      one that answers is well
                                      ends, and the next one is shorter
    turned away, or a dial that       nothing new for a while, twice as long    it says itself that it has
    never came up                     with each in a row                        no room
    any failure but a spoilt answer   suspect for SUSPECT_US: no orders         what they lose stays lost
    failures over EJECT_FAILING       ejected, twice as long each time; then    one that fails fast would
                                      one repeatable request at a time tries    draw all traffic
    EJECT_SHARE are ejected           no more are                               no matter of single servers
    other balancers say so            as ejected, until they or we know better  the same limit holds

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MIN_EJECTION_US, MAX_EJECTION_US = 1_000_000, 16_000_000
MAX_EJECTED_SHARE = 0.34  # of the fleet may be ejected; more is not a matter of single servers
EJECTION_FAILURE_RATE = 0.35  # of its outcomes of late
SUSPECT_US, SUSPECT_FAILURE_RATE = (
    3_000_000,
    0.1,
)  # after a failure, requests that cannot be repeated keep away ...
MAX_FULL_US = 500_000  # ... and all of them for a while where work is turned away or no dial comes up
FAILURE_WEIGHT, SPOILT_WEIGHT = (
    0.2,
    0.05,
)  # weight of an outcome: answers are spoilt now and then at all alike


@dataclass(slots=True, eq=False)
class ServerHealth:
    """One server's."""

    oldest_sent_at: int = field(default=0, init=False)  # when the first of the attempts out was sent
    last_answer_at: int = field(default=0, init=False)  # when the last answer came, of whatever kind
    failure_rate: float = field(default=0.0, init=False)  # share of late outcomes that failed
    suspect_until: int = field(default=0, init=False)
    ejected_until: int = field(default=0, init=False)  # 0: not ejected
    ejection_us: int = field(default=0, init=False)
    full_until: int = field(default=0, init=False)
    full_count: int = field(default=0, init=False)  # times in a row that it turned work away
    peers_heeded_until: int = field(default=0, init=False)  # what others said of it was heeded up to here
    is_listed: bool = field(default=True, init=False)  # what left the list is judged no more

    def is_suspect(self, now: int) -> bool:
        """Has it failed lately, and not done well since?"""
        return self.suspect_until > now and self.failure_rate > SUSPECT_FAILURE_RATE

    def is_silent(self, now: int, in_flight: int, patience_us: int) -> bool:
        """With so many attempts out, has it owed an answer for longer, and given no other meanwhile?"""
        return in_flight > 0 and now - max(self.last_answer_at, self.oldest_sent_at) > patience_us

    def is_excluded(
        self, now: int, in_flight: int, patience_us: int, safe: bool, unsafe: bool, allows_suspect: bool
    ) -> bool:
        """Is it out of bounds for a request that may run any number of times, or once at the most?  A bold
        one has nowhere else to go."""
        if self.full_until > now:
            return True
        if self.ejected_until:
            # After the back-off one request at a time may try it again, if it can be repeated.
            return now < self.ejected_until or in_flight > 0 or not safe
        return not allows_suspect and (
            self.is_silent(now, in_flight, patience_us) or unsafe and self.is_suspect(now)
        )

    def is_eligible(self, now: int, in_flight: int, patience_us: int) -> bool:
        """May a request that can be repeated go there?"""
        may_try = (
            now >= self.ejected_until and not in_flight
            if self.ejected_until
            else not self.is_silent(now, in_flight, patience_us)
        )
        return self.full_until <= now and may_try


class HealthTracker:
    """What one balancer learns of all its servers."""

    __slots__ = ("_draw", "ejected_count")

    def __init__(self, draw: Callable[[], float]) -> None:
        """`chance()`: 0..1, each balancer's own, so that all do not come back at once."""
        self._draw, self.ejected_count = draw, 0

    def remove_server(self, server: ServerHealth) -> None:
        """It is listed no more: what is still out there may end after this."""
        self.ejected_count -= server.ejected_until > 0
        server.ejected_until, server.is_listed = 0, False

    def reset(self, server: ServerHealth) -> None:
        """A fresh process under an old name: nothing said of the old one counts."""
        self.ejected_count -= server.ejected_until > 0
        (
            server.failure_rate,
            server.suspect_until,
            server.ejected_until,
            server.ejection_us,
            server.full_until,
        ) = 0.0, 0, 0, 0, 0

    def record_success(self, server: ServerHealth) -> None:
        """It has answered well."""
        server.failure_rate, server.full_count = server.failure_rate * 0.8, 0
        if server.ejected_until:
            server.ejected_until, self.ejected_count = 0, self.ejected_count - 1
        elif server.ejection_us > MIN_EJECTION_US:
            server.ejection_us -= server.ejection_us // 8

    def record_full(self, now: int, server: ServerHealth, usual_us: float) -> None:
        """It had no room, or no dial came up; `usual_us`: what an answer takes."""
        wait = min(MAX_FULL_US, usual_us * 2 ** min(server.full_count, 9))
        server.full_until, server.full_count = now + int(wait * (0.5 + self._draw())), server.full_count + 1

    def record_failed_attempt(self, now: int, server: ServerHealth, spoilt: bool, server_count: int) -> None:
        """No answer, or none that could be used; so many servers are up."""
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
        """Others say that it is bad until then.  An own good answer ends it, till they say it of later."""
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
