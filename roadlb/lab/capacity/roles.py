"""The rows of docs/CAPACITY.md, a table for each role, computed from the lines of one run.

A row has a figure at each fleet size, where it comes from, what carries and bounds it, and the limit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ...agreement.lease import timing_for
from .estimates import Basis, Estimate, Model, assumed, over
from .settings import CONTRADICTION_S
from .runs import FOLLOWERS, LISTED, PEERS, PEERS_LISTED, SERVERS, WATCH

SIZES = (3, 380, 600)
LIST = 2_400  # servers, of the operators' plan
CHANGES_S = 1_800 / 86_400  # of settings, a second
CPU_MS_S, MEMORY_MB, BYTES_S, IN_FORCE_MS = 11.0, 256.0, 21_000.0, 4_000.0  # the operators' limits
UDP_BYTES = 28  # of IP and UDP, round each datagram
SMALL = 10.0  # followers in the runs that grow in servers
PEERS_SMALL = 8.0  # balancers, likewise
LOADS_S = 1_100 / 3_600  # models and adapters, over the whole fleet
ADAPTERS, MODELS = 3_500, 72


@dataclass(frozen=True, slots=True)
class Row:
    """`limit` 0: the operators state none."""

    what: str
    unit: str
    values: tuple[Estimate, ...]
    bound: str
    limit: float = 0.0


@dataclass(frozen=True, slots=True)
class Table:
    name: str
    rows: tuple[Row, ...]


def tables(model: Model) -> tuple[Table, ...]:
    roles = Roles(model)
    return (
        Table("balancer", roles.balancer()),
        Table("leader", roles.leader()),
        Table("in force", roles.in_force()),
        Table("store", roles.store()),
        Table("peers", roles.peers()),
        Table("watch", roles.watch()),
        Table("upgrade", roles.upgrade()),
        Table("affinity", roles.affinity()),
        Table("models", roles.models()),
    )


class Roles:
    """`at` functions take the number of balancers; the list is the whole of 2,400 servers."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.renewal_factor = model.calibrated("following idle * CPU ms")
        self.change_factor = model.calibrated("following settings * CPU ms")
        self.peers_factor = model.calibrated("peers idle * CPU ms")

    # Of one balancer

    def renewals_ms(self, balancers: float) -> Estimate:
        return self._alike("idle hollow CPU ms/s each", balancers, self.renewal_factor)

    def change_ms(self, balancers: float) -> Estimate:
        return self._alike("settings hollow CPU ms each", balancers, self.change_factor)

    def _alike(self, figure: str, balancers: float, factor: float) -> Estimate:
        """Of one balancer, with ten and the whole list; taken for alike in every fleet, as the slope says."""
        found = self.model.at(LISTED, figure, LIST, "servers")
        note = f"{found.note} servers, times {factor:.2f}"
        found = found.times(factor).noted(note)
        if balancers <= SMALL:
            return found
        slope = self.model.note(FOLLOWERS, figure, "balancers")
        return replace(found, basis=Basis.EXTRAPOLATED, note=f"{note}; alike in every fleet: {slope}")

    def shared_ms(self, balancers: float) -> Estimate:
        few = self.model.at(PEERS_LISTED, "CPU ms/s each", LIST, "servers")
        more = self.model.more(PEERS, "CPU ms/s each", PEERS_SMALL, balancers)
        found = few + more if balancers > PEERS_SMALL else few
        return found.times(self.peers_factor).noted(f"{found.note}, times {self.peers_factor:.2f}")

    def control_ms(self, balancers: float) -> Estimate:
        return self.renewals_ms(balancers) + self.change_ms(balancers).times(CHANGES_S)

    def both_ms(self, balancers: float) -> Estimate:
        return self.control_ms(balancers) + self.shared_ms(balancers)

    def renewal_bytes(self, balancers: float) -> Estimate:
        return self._each("idle in B/s each", balancers) + self._each("idle out B/s each", balancers)

    def change_bytes(self, balancers: float) -> Estimate:
        return self._each("drain in B each", balancers) + self._each("drain out B each", balancers)

    def shared_bytes(self, balancers: float) -> Estimate:
        """Out; as much comes in."""
        size = max(balancers, PEERS_SMALL + 2)
        items = self.model.at(PEERS, "out B/s each", size)
        return items + self.model.at(PEERS, "out datagrams/s each", size).times(UDP_BYTES)

    def both_bytes(self, balancers: float) -> Estimate:
        follows = self.renewal_bytes(balancers) + self.change_bytes(balancers).times(CHANGES_S)
        return follows + self.shared_bytes(balancers).times(2)

    def memory_mb(self, balancers: float) -> Estimate:
        """The process with its list, what following adds, and what peers do."""
        alone = self.model.at(WATCH, "peak MB", LIST, "servers")
        single = self.model.results.single
        follows = (
            single("calibration", "following real memory MB"),
            single("calibration", "following bare memory MB"),
        )
        more = self.model.more(LISTED, "hollow memory MB", 600, LIST, "servers").times(1 / SMALL)
        peers = single("calibration", "peers real memory MB"), single("calibration", "peers bare memory MB")
        added = Estimate(
            sum(follows[0]) / len(follows[0]) - sum(follows[1]) / len(follows[1]),
            0.0,
            Basis.MEASURED,
            "calibration at 600 servers",
        )
        known = Estimate(
            sum(peers[0]) / len(peers[0]) - sum(peers[1]) / len(peers[1]), 0.0, Basis.MEASURED, "calibration"
        )
        view = assumed(balancers * 0.0016, "1.6 kB a member, `benchmarks/membership.py`")
        return alone + added + more + known + view

    def _each(self, figure: str, balancers: float) -> Estimate:
        return self.model.at(FOLLOWERS, figure, max(balancers, SMALL))

    def balancer(self) -> tuple[Row, ...]:
        renews = "`agreement/lease.py`: a lease of some 3.5 s, asked for anew three times in it"
        shares = "`shared_state/told.py`: a pulse each 250 ms looks at every server"
        return (
            _row("renewals", "ms of CPU a second", self.renewals_ms, renews),
            _row("a change of settings", "ms of CPU", self.change_ms, "`xds/client`, `fleet/guard.py`: once"),
            _row("following, 1,800 changes a day", "ms of CPU a second", self.control_ms, renews, CPU_MS_S),
            _row("shared state", "ms of CPU a second", self.shared_ms, shares, CPU_MS_S),
            _row("both", "ms of CPU a second", self.both_ms, "off by default, each by itself", CPU_MS_S),
            _row("renewals, both ways", "B/s", self.renewal_bytes, "one `Ask` and one `Lease` at a time"),
            _row(
                "a drain or change, both ways",
                "B",
                self.change_bytes,
                "`xds/codec/versions.py`: the changed bucket of at most 64 servers",
            ),
            _row("all, both ways", "B/s", self.both_bytes, "fans of 3 and 8, not of all", BYTES_S),
            _row("memory", "MB", self.memory_mb, "`net/discovery.py`: one list; tables capped", MEMORY_MB),
            _row(
                "of it for a server that is followed",
                "B",
                lambda n: self._slope(LISTED, "hollow memory MB", "servers", SMALL),
                "versions prepared and in force, their parts",
            ),
            _row(
                "of it for a server in the module",
                "B",
                lambda n: self._slope(SERVERS, "servers memory MB", "servers"),
                "`policy/state.py`: one record",
            ),
            _row(
                "descriptors without clients",
                "",
                lambda n: (
                    self.model.at(WATCH, "descriptors", LIST, "servers")
                    + assumed(2, "one stream, one UDP socket")
                ),
                "`limits.sockets`",
            ),
        )

    # The control service

    def leader_ms(self, balancers: float) -> Estimate:
        return self._leader("idle control CPU ms/s", balancers)

    def leader_change_ms(self, balancers: float) -> Estimate:
        return self._leader("settings control CPU ms", balancers)

    def _leader(self, figure: str, balancers: float) -> Estimate:
        few = self.model.at(LISTED, figure, LIST, "servers")
        return few + self.model.more(FOLLOWERS, figure, SMALL, max(balancers, SMALL))

    def _slope(self, slope: str, figure: str, by: str, parts: float = 1.0) -> Estimate:
        """Bytes of memory that come with one more."""
        return self.model.more(slope, figure, 0, 1, by).times(1e6 / parts)

    def leader(self) -> tuple[Row, ...]:
        def all_ms(balancers: float) -> Estimate:
            return self.leader_ms(balancers) + self.leader_change_ms(balancers).times(CHANGES_S)

        def memory(balancers: float) -> Estimate:
            few = self.model.at(LISTED, "control memory MB", LIST, "servers")
            return few + self.model.more(FOLLOWERS, "control memory MB", SMALL, max(balancers, SMALL))

        def asks(balancers: float) -> Estimate:
            every_us = timing_for(CONTRADICTION_S).renew_us
            return assumed(balancers * 1e6 / every_us, f"one in {every_us / 1e6:.2f} s, as configured")

        def told(balancers: float) -> Estimate:
            return self.change_bytes(balancers).times(balancers)

        def renewed(balancers: float) -> Estimate:
            return self.renewal_bytes(balancers).times(balancers)

        return (
            _row("renewals", "ms of CPU a second", self.leader_ms, "`issuing/office.py`: one leader"),
            _row("a change of settings", "ms of CPU", self.leader_change_ms, "written once for all"),
            _row(
                "all, 1,800 changes a day", "ms of CPU a second", all_ms, "one core of one machine", 1_000.0
            ),
            _row("renewals", "a second", asks, "`agreement/lease.py`: renew_s"),
            _row("renewals, both ways", "B/s", renewed, "one `Ask` of each at a time"),
            _row("a change, to all and back", "B", told, "256 responses unsent, then the stream ends"),
            _row("memory", "MB", memory, "`MOST_FOLLOWERS` 4,096, `UNSENT_MOST` 256"),
            _row(
                "of it for a balancer that follows",
                "B",
                lambda n: self._slope(FOLLOWERS, "control memory MB", "balancers"),
                "its stream and its entry in the roll",
            ),
            _row(
                "of it for a server",
                "B",
                lambda n: self._slope(LISTED, "control memory MB", "servers"),
                "versions prepared and in force, the plan for proxies",
            ),
            _row(
                "descriptors",
                "",
                lambda n: self.model.at(FOLLOWERS, "control descriptors", n),
                "one stream of each",
            ),
        )

    def in_force(self) -> tuple[Row, ...]:
        """On the rig all balancers share two cores; where each has its own, only the leader's part grows."""

        def rig(balancers: float) -> Estimate:
            return self.model.at(FOLLOWERS, "settings slowest ms", max(balancers, SMALL))

        def few(_: float) -> Estimate:
            return self.model.at(LISTED, "settings slowest ms", LIST, "servers")

        def apart(balancers: float) -> Estimate:
            return self.leader_change_ms(balancers) + self.change_ms(balancers)

        cut_off = assumed(4_000, "`contradiction_s = 4`; proofs in docs/design/agreement.md")
        return (
            _row(
                "slowest balancer, all on two cores, 240 servers",
                "ms",
                rig,
                "the rig's two cores",
                IN_FORCE_MS,
            ),
            _row("slowest of ten on two cores, 2,400 servers", "ms", few, "the rig's two cores", IN_FORCE_MS),
            _row(
                "CPU alone, the leader's and then one balancer's",
                "ms",
                apart,
                "prepared, written, acknowledged, in force: no way, queue or disk is in it",
                IN_FORCE_MS,
            ),
            _row(
                "where some balancer is cut off or stopped",
                "ms",
                lambda n: cut_off,
                "its lease runs out first: `agreement/lease.py`",
                IN_FORCE_MS,
            ),
        )

    def store(self) -> tuple[Row, ...]:
        def change(balancers: float) -> Estimate:
            few = self.model.at(LISTED, "settings to store B", LIST, "servers")
            if balancers <= SMALL:
                return few
            return few + self.model.more(FOLLOWERS, "settings to store B", SMALL, balancers)

        return (
            _row("written for a change", "B", change, "`issuing/ledger.py`: the whole version, each time"),
            _row(
                "1,800 changes a day",
                "MB a day",
                lambda n: change(n).times(1_800 / 1e6),
                "`HISTORY_MOST` 64 lines are kept; etcd's own log and compaction come on top",
            ),
            _row(
                "one value, at the most all of a change",
                "B",
                change,
                "`issuing/books.py`: BYTES_MOST, under etcd's 1.5 MiB",
                1_400_000.0,
            ),
            _row(
                "the leader's seat and roll",
                "B/s",
                lambda n: self.model.at(LISTED, "idle to store B/s", LIST, "servers"),
                "one lease of 5 s, whatever the fleet",
            ),
        )

    # Balancers among each other

    def peers(self) -> tuple[Row, ...]:
        def of(figure: str) -> Callable[[float], Estimate]:
            return lambda n: self.model.at(PEERS, figure, max(n, PEERS_SMALL + 2))

        def few(balancers: float) -> Estimate:
            found = of("CPU ms/s each")(balancers)
            note = f"{found.note}, times {self.peers_factor:.2f}"
            return found.times(self.peers_factor).noted(note)

        return (
            _row("membership", "B/s out", of("membership B/s each"), "`membership/`: a fan of 3, 3 relays"),
            _row(
                "counts", "B/s out", of("counts B/s each"), "`counts.py`: 64 counts, a fan of 8, once in 1 s"
            ),
            _row(
                "judgements",
                "B/s out",
                of("judgements B/s each"),
                "`judgements.py`: 36 signs; all, if urgent",
            ),
            _row("datagrams", "a second out", of("out datagrams/s each"), "4,000 a second at the most"),
            _row("all, with IP and UDP", "B/s out", self.shared_bytes, "as much comes in", BYTES_S / 2),
            _row("processor, 60 servers", "ms of CPU a second", few, "", CPU_MS_S),
            _row(
                "processor, 2,400 servers",
                "ms of CPU a second",
                self.shared_ms,
                "`engine.view()` four times a second",
                CPU_MS_S,
            ),
        )

    # Discovery

    def watch(self) -> tuple[Row, ...]:
        def of(figure: str) -> Callable[[float], Estimate]:
            return lambda n: self.model.at(WATCH, figure, LIST, "servers")

        return (
            _row("a line of one server", "B", of("line B"), "`net/watch.py`: LINE_MOST 4 MiB"),
            _row("a line of one server", "ms of CPU", of("line CPU ms"), "the module's groups are made anew"),
            _row("the whole list", "B", of("list B"), "`net/watch.py`: LINE_MOST 4 MiB", 4_194_304.0),
            _row("the whole list", "ms of CPU", of("list CPU ms"), "once, and after a break"),
            _row("memory with the list", "MB", of("peak MB"), "one list, one table", MEMORY_MB),
            _row("idle, without clients", "ms of CPU a second", of("idle CPU ms/s"), "`own_load.py`'s pulse"),
        )

    def upgrade(self) -> tuple[Row, ...]:
        def two(balancers: float) -> Estimate:
            return self.memory_mb(balancers).times(2)

        def handed(_: float) -> Estimate:
            return self.model.at(WATCH, "list B", LIST, "servers")

        return (
            _row("two processes beside each other", "MB", two, "`lifecycle/succession.py`", MEMORY_MB),
            _row("the list handed over", "B", handed, "`handover.py`: SIZE_MOST 8 MiB", 8_388_608.0),
            _row(
                "drains remembered",
                "entries",
                lambda n: assumed(77 + 8, "a day's restarts and failures, one each"),
                "`store/state.py`: DRAINS_MOST",
                20_000.0,
            ),
        )

    # The module

    def affinity(self) -> tuple[Row, ...]:
        def of(figure: str) -> Callable[[float], Estimate]:
            return lambda n: self.model.at(SERVERS, figure, LIST, "servers")

        def rate(balancers: float) -> float:
            return 3_100 / max(balancers, 3)

        def decided(balancers: float) -> Estimate:
            return of("known key CPU us")(balancers).times(rate(balancers) / 1e3)

        return (
            _row("records of servers", "MB", of("servers memory MB"), "one record a server"),
            _row(
                "a key's server set",
                "B",
                lambda n: self.model.each_key("keys memory MB").times(1e6),
                "`routing/key_sets.py`: ORDER 8 to 64 servers",
            ),
            _row("server sets of 3,500 keys", "MB", of("keys memory MB"), "`key_sets.py`: MAX_SETS 4,096"),
            _row(
                "keys",
                "entries",
                lambda n: assumed(ADAPTERS + MODELS, "all used at one balancer"),
                "MAX_SETS, the longest unused goes",
                4_096.0,
            ),
            _row("a decision on a new key", "us of CPU", of("new key CPU us"), "`routing/key_order.py`"),
            _row("a decision on a known key", "us of CPU", of("known key CPU us"), "2 to 64 servers"),
            _row("decisions of 3,100 requests a second", "ms of CPU a second", decided, "spread evenly"),
            _row("a view of all servers", "us of CPU", of("view CPU us"), "of each pulse of shared state"),
        )

    def models(self) -> tuple[Row, ...]:
        """What it would cost today if each load were told as a change of the list, the only way there is."""

        def listed_ms(balancers: float) -> Estimate:
            return self.change_ms(balancers).times(LOADS_S)

        def listed_bytes(balancers: float) -> Estimate:
            return self.change_bytes(balancers).times(LOADS_S)

        def stored(balancers: float) -> Estimate:
            few = self.model.at(LISTED, "drain to store B", LIST, "servers")
            if balancers > SMALL:
                few += self.model.more(FOLLOWERS, "drain to store B", SMALL, balancers)
            return few.times(LOADS_S * 86_400 / 1e9)

        return (
            _row("1,100 loads an hour as changes: a balancer", "ms of CPU a second", listed_ms, "", CPU_MS_S),
            _row("the same", "B/s", listed_bytes, "", BYTES_S),
            _row("the same: written to the store", "GB a day", stored, "a whole version for each"),
        )


def _row(what: str, unit: str, of: Callable[[float], Estimate], bound: str, limit: float = 0.0) -> Row:
    return Row(what, unit, over(SIZES, of), bound, limit)
