"""The server list of one balancer and the lookups that each request needs.  No I/O.

lookup       changes with
`by_id`      the list: all servers that it names, draining ones included
the others   `rebuild`: after the list, once a second while a server is in slow start, and when a zone has
             returned and its servers are in slow start
"""

from __future__ import annotations

from ..routing.slow_start_budget import SlowStartBudget
from ..routing.key_order import RendezvousOrder
from ..routing.health import HealthTracker
from ..sites.state_machine import Sites
from ..sites.warm_up import WarmUp
from .interface import Group, ListKind, ListUpdate, Member, ServerId, ServerState, ServerView, Settings
from .state import Server

OTHER_ZONE_FACTOR = 4.0  # a server of another zone ranks as one with a quarter of its capacity in this zone


class ServerList:
    """All listed servers, the ready ones among them, and their total capacity."""

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

    def __init__(self, health: HealthTracker, warmth: WarmUp) -> None:
        self.health = health
        self.warmth = warmth
        self.fleet = Server(b"")  # a pseudo-server that stands for all of them: total load and capacity
        self.by_id: dict[ServerId, Server] = {}
        self.ready: list[Server] = []  # in the order of their ids
        self.groups: dict[tuple[int, int], list[Server]] = {}  # ready servers by (CELL or ZONE, number)
        self.key_order = RendezvousOrder()  # its positions are those of `ready`
        self.version = 0  # incremented when `ready` changes
        self.capacity = 1.0  # of all ready servers by now, lower bound
        self.slow_start_part = 0.0  # the part of it that servers in slow start have

    def apply(self, now: int, update: ListUpdate, settings: Settings, aim_us: int) -> bool:
        """Apply a whole list, or changes to it; servers that a whole list does not name are removed.

        Returns whether a ready server was removed or began to drain.  The caller has to `rebuild`.
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
            self.health.remove_server(server)
            del self.by_id[server.id]
        for member in present:
            any_left |= self._update_server(now, member, settings, aim_us)
        return any_left

    def _update_server(self, now: int, member: Member, settings: Settings, aim_us: int) -> bool:
        """Apply the entry of one server; returns whether it was ready and is no longer."""
        s = self.by_id.get(member.server)
        if s is None:
            s = self.by_id[member.server] = Server(
                member.server, started_us=member.born_us, zone=member.zone, mean_updated_us=now
            )
            # It starts at half the mean load of the fleet, for the capacity that it has by now.
            s.mean_in_flight = (
                self.fleet.load(now, aim_us) * member.weight * s.capacity_share_at(self.warmth, now) / 2
            )
        elif member.born_us != s.started_us:
            # It has restarted: the health of the former process does not count.
            self.health.reset(s)
            s.started_us, s.idle_since_us = member.born_us, []
        was_ready = s.is_ready
        s.is_ready, s.cell, s.zone = member.state is ServerState.READY, member.cell, member.zone
        if member.weight > 0 and settings.weight_source != "off":
            # A live weight varies with load; its maximum is closest to the server's size.
            s.weight = max(member.weight, s.weight) if settings.weight_source == "live" else member.weight
        return was_ready and not s.is_ready

    def rebuild(self, now: int, settings: Settings) -> None:
        """Rebuild the lookups: ready servers, their capacities and groups, and the order for keys."""
        self.version += 1
        self.ready = sorted((s for s in self.by_id.values() if s.is_ready), key=lambda s: s.id)
        self.groups = {}
        for s in self.ready:
            share = s.capacity_share_at(self.warmth, now)
            if share < s.share:
                s.budget = SlowStartBudget()  # it has restarted, or may have
            s.share = share
            s.unit_load = 1 / (s.weight * s.share)
            self.groups.setdefault((Group.CELL, s.cell), []).append(s)
            self.groups.setdefault((Group.ZONE, s.zone), []).append(s)
        self.capacity = sum(s.weight * s.share for s in self.ready) or 1.0
        self.slow_start_part = sum(s.weight * s.share for s in self.ready if s.share < 1) / self.capacity
        self.fleet.unit_load = 1 / self.capacity
        other_zone_factor = OTHER_ZONE_FACTOR if settings.cross_zone_cost > 0 else 1.0
        self.key_order = RendezvousOrder(
            (s.hash, s.unit_load * (1.0 if s.zone == settings.zone else other_zone_factor))
            for s in self.ready
        )

    def warm_capacity(self, sites: Sites) -> float:
        """The capacity of warm servers that take requests: not ejected, nor in an impaired zone."""
        return sum(
            s.weight for s in self.ready if s.share >= 1 and not s.ejected_until and not sites.limited(s.zone)
        )

    def servers_for_key(self, key: int, count: int) -> list[Server]:
        """The first `count` servers of a key's weighted rendezvous order."""
        return [self.ready[i] for i in self.key_order.first_positions(key, count)]

    def start_times(self) -> dict[int, dict[bytes, int]]:
        """The clock times at which ready servers started, by zone and server id."""
        zones: dict[int, dict[bytes, int]] = {}
        for s in self.ready:
            zones.setdefault(s.zone, {})[s.id] = s.started_us
        return zones

    def add_in_flight(self, now: int, aim_us: int, s: Server, change: int) -> None:
        """Add to the number of own attempts in flight at a server and in the fleet."""
        s.load(now, aim_us)
        s.in_flight += change
        self.fleet.load(now, aim_us)
        self.fleet.in_flight += change

    def views(self, now: int, aim_us: int) -> list[ServerView]:
        """The views of all listed servers, in the order of their ids."""
        servers = sorted(self.by_id.values(), key=lambda s: s.id)
        return [s.view(now, s.capacity_share_at(self.warmth, now), aim_us) for s in servers]
