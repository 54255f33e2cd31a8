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

EJECT_US, EJECT_MOST_US = 1_000_000, 16_000_000
EJECT_SHARE = 0.34  # of the fleet may be ejected; more is not a matter of single servers
EJECT_FAILING = 0.35  # of its outcomes of late
SUSPECT_US, DOUBT = 3_000_000, 0.1  # after a failure, requests that cannot be repeated keep away ...
FULL_MOST_US = 500_000  # ... and all of them for a while where work is turned away or no dial comes up
FAILURE, SPOILT = 0.2, 0.05  # weight of an outcome: answers are spoilt now and then at all alike


@dataclass(slots=True, eq=False)
class Standing:
    """One server's."""

    since: int = field(default=0, init=False)  # when the first of the attempts out was sent
    heard: int = field(default=0, init=False)  # when the last answer came, of whatever kind
    failing: float = field(default=0.0, init=False)  # share of late outcomes that failed
    suspect_until: int = field(default=0, init=False)
    eject_until: int = field(default=0, init=False)  # 0: not ejected
    eject_for: int = field(default=0, init=False)
    full_until: int = field(default=0, init=False)
    fulls: int = field(default=0, init=False)  # times in a row that it turned work away
    heeded: int = field(default=0, init=False)  # what others said of it was heeded up to here
    listed: bool = field(default=True, init=False)  # what left the list is judged no more

    def suspect(self, now: int) -> bool:
        """Has it failed lately, and not done well since?"""
        return self.suspect_until > now and self.failing > DOUBT

    def silent(self, now: int, out: int, patience_us: int) -> bool:
        """With so many attempts out, has it owed an answer for longer, and given no other meanwhile?"""
        return out > 0 and now - max(self.heard, self.since) > patience_us

    def barred(self, now: int, out: int, patience_us: int, safe: bool, unsafe: bool, bold: bool) -> bool:
        """Is it out of bounds for a request that may run any number of times, or once at the most?  A bold
        one has nowhere else to go."""
        if self.full_until > now:
            return True
        if self.eject_until:
            # After the back-off one request at a time may try it again, if it can be repeated.
            return now < self.eject_until or out > 0 or not safe
        return not bold and (self.silent(now, out, patience_us) or unsafe and self.suspect(now))

    def eligible(self, now: int, out: int, patience_us: int) -> bool:
        """May a request that can be repeated go there?"""
        again = (
            now >= self.eject_until and not out
            if self.eject_until
            else not self.silent(now, out, patience_us)
        )
        return self.full_until <= now and again


class Standings:
    """What one balancer learns of all its servers."""

    __slots__ = ("_chance", "ejected")

    def __init__(self, chance: Callable[[], float]) -> None:
        """`chance()`: 0..1, each balancer's own, so that all do not come back at once."""
        self._chance, self.ejected = chance, 0

    def gone(self, s: Standing) -> None:
        """It is listed no more: what is still out there may end after this."""
        self.ejected -= s.eject_until > 0
        s.eject_until, s.listed = 0, False

    def fresh(self, s: Standing) -> None:
        """A fresh process under an old name: nothing said of the old one counts."""
        self.ejected -= s.eject_until > 0
        s.failing, s.suspect_until, s.eject_until, s.eject_for, s.full_until = 0.0, 0, 0, 0, 0

    def good(self, s: Standing) -> None:
        """It has answered well."""
        s.failing, s.fulls = s.failing * 0.8, 0
        if s.eject_until:
            s.eject_until, self.ejected = 0, self.ejected - 1
        elif s.eject_for > EJECT_US:
            s.eject_for -= s.eject_for // 8

    def turned(self, now: int, s: Standing, usual_us: float) -> None:
        """It had no room, or no dial came up; `usual_us`: what an answer takes."""
        wait = min(FULL_MOST_US, usual_us * 2 ** min(s.fulls, 9))
        s.full_until, s.fulls = now + int(wait * (0.5 + self._chance())), s.fulls + 1

    def failed(self, now: int, s: Standing, spoilt: bool, servers: int) -> None:
        """No answer, or none that could be used; so many servers are up."""
        s.failing += (1 - s.failing) * (SPOILT if spoilt else FAILURE)
        if not spoilt:
            s.suspect_until = now + SUSPECT_US
        if s.listed and (s.eject_until or s.failing > EJECT_FAILING):
            if not s.eject_until and self._enough(servers):
                return
            self.ejected += not s.eject_until
            s.eject_for = min(EJECT_MOST_US, max(EJECT_US, s.eject_for * 2))
            s.eject_until = now + int(s.eject_for * (0.75 + self._chance() / 2))

    def avoid(self, s: Standing, until: int, servers: int) -> None:
        """Others say that it is bad until then.  An own good answer ends it, till they say it of later."""
        if until <= max(s.heeded, s.eject_until) or not s.eject_until and self._enough(servers):
            return
        self.ejected += not s.eject_until
        s.eject_until = s.heeded = until

    def _enough(self, servers: int) -> bool:
        return self.ejected + 1 > EJECT_SHARE * servers
