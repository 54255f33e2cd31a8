"""The server list as one balancer holds it, and what is looked up in it for each request.  No I/O.

lookup       changes with
`servers`    the list: all that are named, those that drain among them
the others   `rebuild`: after the list, once a second while any is cold, and when a zone has come back cold
"""

from __future__ import annotations

from ..routing.cold import ColdBudget
from ..routing.key_order import KeyOrder
from ..routing.standing import Standings
from ..sites.life import Sites
from ..sites.warmth import Warmth
from .interface import Group, ListKind, ListUpdate, Member, ServerId, ServerState, ServerView, Settings
from .state import Server

OTHER_ZONE_FACTOR = 4.0  # a server in another zone comes after so many as good ones in our own


class ServerList:
    """All servers, those that are ready, and their capacity in all."""

    __slots__ = (
        "by_id",
        "capacity",
        "fleet",
        "groups",
        "health",
        "key_order",
        "ready",
        "slow_start_part",
        "version",
        "warmth",
    )

    def __init__(self, health: Standings, warmth: Warmth) -> None:
        self.health = health
        self.warmth = warmth
        self.fleet = Server(b"")  # stands for all of them
        self.by_id: dict[ServerId, Server] = {}
        self.ready: list[Server] = []  # listed as ready, by id
        self.groups: dict[tuple[int, int], list[Server]] = {}  # of them, by (cell or zone, its number)
        self.key_order = KeyOrder()  # of the same positions as `ready`
        self.version = 0  # of `ready`
        self.capacity = 1.0  # what those that are ready can do by now, at the least
        self.slow_start_part = 0.0  # of it, the share of those that are cold

    def apply(self, now: int, update: ListUpdate, settings: Settings, aim_us: int) -> bool:
        """Take over a whole list, or the changes to one; what a whole list does not name is gone.

        Has any that was ready left, or does it drain?  `rebuild` has to follow.
        """
        any_left = False
        present = [member for member in update.members if member.state is not ServerState.GONE]
        listed = {member.server for member in present}
        gone_ids = (
            (member.server for member in update.members) if update.kind is ListKind.DELTA else self.by_id
        )
        for server in [self.by_id[i] for i in gone_ids if i in self.by_id and i not in listed]:
            any_left |= server.is_ready
            server.is_ready = False
            self.health.gone(server)
            del self.by_id[server.id]
        for member in present:
            any_left |= self._update_server(now, member, settings, aim_us)
        return any_left

    def _update_server(self, now: int, member: Member, settings: Settings, aim_us: int) -> bool:
        """One server, as it is listed.  Was it ready, and is so no more?"""
        s = self.by_id.get(member.server)
        if s is None:
            s = self.by_id[member.server] = Server(
                member.server, started_us=member.born_us, zone=member.zone, mean_updated_us=now
            )
            # Not heard from: at half the others' mean, for what it can do by now.
            s.mean_in_flight = (
                self.fleet.load(now, aim_us) * member.weight * s.capacity_share_at(self.warmth, now) / 2
            )
        elif member.born_us != s.started_us:
            # A fresh process under an old name: nothing said of the old one counts.
            self.health.fresh(s)
            s.started_us, s.idle_since_us = member.born_us, []
        was_ready = s.is_ready
        s.is_ready, s.cell, s.zone = member.state is ServerState.READY, member.cell, member.zone
        if member.weight > 0 and settings.weight_source != "off":
            # A live weight falls and rises with load; the most it has been comes nearest to a size.
            s.weight = max(member.weight, s.weight) if settings.weight_source == "live" else member.weight
        return was_ready and not s.is_ready

    def rebuild(self, now: int, settings: Settings) -> None:
        """Set up what is looked up for each request: who is ready, at what capacity, in which group."""
        self.version += 1
        self.ready = sorted((s for s in self.by_id.values() if s.is_ready), key=lambda s: s.id)
        self.groups = {}
        for s in self.ready:
            share = s.capacity_share_at(self.warmth, now)
            if share < s.share:
                s.budget = ColdBudget()  # a fresh process, or it may be
            s.share = share
            s.unit_load = 1 / (s.weight * s.share)
            self.groups.setdefault((Group.CELL, s.cell), []).append(s)
            self.groups.setdefault((Group.ZONE, s.zone), []).append(s)
        self.capacity = sum(s.weight * s.share for s in self.ready) or 1.0
        self.slow_start_part = sum(s.weight * s.share for s in self.ready if s.share < 1) / self.capacity
        self.fleet.unit_load = 1 / self.capacity
        other_zone_factor = OTHER_ZONE_FACTOR if settings.cross_zone_cost > 0 else 1.0
        self.key_order = KeyOrder(
            (s.hash, s.unit_load * (1.0 if s.zone == settings.zone else other_zone_factor))
            for s in self.ready
        )

    def warm_capacity(self, sites: Sites) -> float:
        """The capacity of warm servers that take requests: neither ejected nor in a zone that is away."""
        return sum(
            s.weight for s in self.ready if s.share >= 1 and not s.eject_until and not sites.away(s.zone)
        )

    def servers_for_key(self, key: int, count: int) -> list[Server]:
        """The first few servers of a key's weighted rendezvous order."""
        return [self.ready[i] for i in self.key_order.first(key, count)]

    def start_times(self) -> dict[int, dict[bytes, int]]:
        """Of each zone, those that are ready, with the clock time of their start."""
        zones: dict[int, dict[bytes, int]] = {}
        for s in self.ready:
            zones.setdefault(s.zone, {})[s.id] = s.started_us
        return zones

    def add_in_flight(self, now: int, aim_us: int, s: Server, change: int) -> None:
        """So many more of our own attempts are in flight there."""
        s.load(now, aim_us)
        s.in_flight += change
        self.fleet.load(now, aim_us)
        self.fleet.in_flight += change

    def views(self, now: int, aim_us: int) -> list[ServerView]:
        """What is believed of each, in the order of their ids."""
        servers = sorted(self.by_id.values(), key=lambda s: s.id)
        return [s.view(now, s.capacity_share_at(self.warmth, now), aim_us) for s in servers]
