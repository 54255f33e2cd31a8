"""The server list as one balancer holds it, and what is looked up in it for each request.  No I/O.

lookup       changes with
`servers`    the list: all that are named, those that drain among them
the others   `rebuild`: after the list, once a second while any is cold, and when a zone has come back cold
"""

from __future__ import annotations

from ..routing.cold import ColdBudget
from ..routing.key_order import KeyOrder
from ..routing.standing import Standings
from ..sites.state_machine import Sites
from ..sites.warm_up import WarmUp
from .interface import Group, ListKind, ListUpdate, Member, ServerId, ServerState, ServerView, Settings
from .state import Server

FAR = 4.0  # a server in another zone comes after so many as good ones in our own


class ServerList:
    """All servers, those that are ready, and their capacity in all."""

    __slots__ = (
        "cold_part",
        "fleet",
        "groups",
        "keys",
        "ready",
        "servers",
        "standings",
        "version",
        "warmth",
        "weight",
    )

    def __init__(self, standings: Standings, warmth: WarmUp) -> None:
        self.standings = standings
        self.warmth = warmth
        self.fleet = Server(b"")  # stands for all of them
        self.servers: dict[ServerId, Server] = {}
        self.ready: list[Server] = []  # listed as ready, by id
        self.groups: dict[tuple[int, int], list[Server]] = {}  # of them, by (cell or zone, its number)
        self.keys = KeyOrder()  # of the same positions as `ready`
        self.version = 0  # of `ready`
        self.weight = 1.0  # what those that are ready can do by now, at the least
        self.cold_part = 0.0  # of it, the share of those that are cold

    def apply(self, now: int, update: ListUpdate, settings: Settings, aim_us: int) -> bool:
        """Take over a whole list, or the changes to one; what a whole list does not name is gone.

        Has any that was ready left, or does it drain?  `rebuild` has to follow.
        """
        left = False
        present = [m for m in update.members if m.state is not ServerState.GONE]
        listed = {m.server for m in present}
        gone = (m.server for m in update.members) if update.kind is ListKind.DELTA else self.servers
        for server in [self.servers[i] for i in gone if i in self.servers and i not in listed]:
            left |= server.up
            server.up = False
            self.standings.gone(server)
            del self.servers[server.id]
        for m in present:
            left |= self._put(now, m, settings, aim_us)
        return left

    def _put(self, now: int, m: Member, settings: Settings, aim_us: int) -> bool:
        """One server, as it is listed.  Was it ready, and is so no more?"""
        s = self.servers.get(m.server)
        if s is None:
            s = self.servers[m.server] = Server(m.server, born=m.born_us, zone=m.zone, at=now)
            # Not heard from: at half the others' mean, for what it can do by now.
            s.mean = self.fleet.load(now, aim_us) * m.weight * s.part(self.warmth, now) / 2
        elif m.born_us != s.born:
            # A fresh process under an old name: nothing said of the old one counts.
            self.standings.fresh(s)
            s.born, s.rested = m.born_us, []
        was_up = s.up
        s.up, s.cell, s.zone = m.state is ServerState.READY, m.cell, m.zone
        if m.weight > 0 and settings.weight_source != "off":
            # A live weight falls and rises with load; the most it has been comes nearest to a size.
            s.weight = max(m.weight, s.weight) if settings.weight_source == "live" else m.weight
        return was_up and not s.up

    def rebuild(self, now: int, settings: Settings) -> None:
        """Set up what is looked up for each request: who is ready, at what capacity, in which group."""
        self.version += 1
        self.ready = sorted((s for s in self.servers.values() if s.up), key=lambda s: s.id)
        self.groups = {}
        for s in self.ready:
            part = s.part(self.warmth, now)
            if part < s.share:
                s.cold = ColdBudget()  # a fresh process, or it may be
            s.share = part
            s.inverse = 1 / (s.weight * s.share)
            self.groups.setdefault((Group.CELL, s.cell), []).append(s)
            self.groups.setdefault((Group.ZONE, s.zone), []).append(s)
        self.weight = sum(s.weight * s.share for s in self.ready) or 1.0
        self.cold_part = sum(s.weight * s.share for s in self.ready if s.share < 1) / self.weight
        self.fleet.inverse = 1 / self.weight
        far = FAR if settings.cross_zone_cost > 0 else 1.0
        self.keys = KeyOrder(
            (s.hash, s.inverse * (1.0 if s.zone == settings.zone else far)) for s in self.ready
        )

    def warm(self, sites: Sites) -> float:
        """The capacity of warm servers that take requests: neither ejected nor in a zone that is away."""
        return sum(
            s.weight for s in self.ready if s.share >= 1 and not s.eject_until and not sites.limited(s.zone)
        )

    def order(self, key: int, count: int) -> list[Server]:
        """The first few servers of a key's weighted rendezvous order."""
        return [self.ready[i] for i in self.keys.first(key, count)]

    def starts(self) -> dict[int, dict[bytes, int]]:
        """Of each zone, those that are ready, with the clock time of their start."""
        zones: dict[int, dict[bytes, int]] = {}
        for s in self.ready:
            zones.setdefault(s.zone, {})[s.id] = s.born
        return zones

    def count(self, now: int, aim_us: int, s: Server, change: int) -> None:
        """So many more of our own attempts are in flight there."""
        s.load(now, aim_us)
        s.out += change
        self.fleet.load(now, aim_us)
        self.fleet.out += change

    def views(self, now: int, aim_us: int) -> list[ServerView]:
        """What is believed of each, in the order of their ids."""
        servers = sorted(self.servers.values(), key=lambda s: s.id)
        return [s.view(now, s.part(self.warmth, now), aim_us) for s in servers]
