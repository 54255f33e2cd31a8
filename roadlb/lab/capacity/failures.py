"""What failures at the operators' size leave stale, and what their return costs, from the same lines."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import mean

from .estimates import Model, number
from .points import Results
from .roles import LIST, Roles
from .runs import FOLLOWERS, PEERS, WATCH

BALANCERS = 600
ZONES, REGIONS = 6, 2
RACK_SERVERS, RACK_BALANCERS = 40, 10  # assumed: what stands behind one switch
DOWN, RESTARTED = 8, 77  # machines a day
LINES_OF_A_RESTART = 3  # it drains, is gone, is up


@dataclass(frozen=True, slots=True)
class Failure:
    event: str
    stale: str
    bound: str
    messages: str
    over: str


def failures(model: Model) -> tuple[Failure, ...]:
    roles, returning = Roles(model), Returning(model.results)
    line, entry = _at_list(model, "line B"), _at_list(model, "list B") / LIST
    change = roles.change_bytes(BALANCERS).value
    lines = DOWN + RESTARTED * LINES_OF_A_RESTART
    zone, region = BALANCERS // ZONES, BALANCERS // REGIONS
    return (
        Failure(
            f"{DOWN} machines down, {RESTARTED} restarted in a day",
            "one server in the list, until discovery tells",
            "discovery's notice; meanwhile an ejection after its first failures",
            f"{lines} lines of {number(line)} B to each balancer, or {lines} changes of {number(change)} B",
            "the day",
        ),
        Failure(
            f"a rack or a switch: {RACK_SERVERS} servers, {RACK_BALANCERS} balancers (assumed)",
            "the same; the balancers' leases and members",
            "leases: 4 s; deaths known to all: 9.1 s at 200 members (`benchmarks/membership.py`)",
            f"one line of {number(RACK_SERVERS * entry / 1e3)} kB to each; on return "
            f"{returning.told(RACK_BALANCERS)}",
            returning.over,
        ),
        Failure(
            f"a zone: {LIST // ZONES} servers, {zone} balancers, its control machine",
            "the same; if the leader stood there nobody grants",
            f"another leads, and grants after former leases: {returning.granted}, measured at a restart",
            f"one line of {number(LIST / ZONES * entry / 1e3)} kB to each; on return {returning.told(zone)}",
            returning.over,
        ),
        Failure(
            f"two regions apart for an hour: {region} balancers without the store's majority",
            "settings and lists of that side, for the hour; leases; the members of the other side",
            "leases end within 4 s, floors hold from then on; a list is kept as it was, which nothing bounds",
            f"on return {returning.told(region)}; at most {number(LIST * entry / 1e3)} kB of list each",
            returning.over,
        ),
    )


class Returning:
    """What the restart of a control service cost, at the largest fleet that was run."""

    def __init__(self, results: Results) -> None:
        self._results = results
        self.most = max(kept.point.balancers for kept in results.of(FOLLOWERS))

    def mean(self, figure: str) -> float:
        return mean(self._results.single(FOLLOWERS, f"return {figure}"))

    @property
    def granted(self) -> str:
        return f"{self.mean('granted s'):.1f} s"

    @property
    def over(self) -> str:
        most = self.mean("most dials in 100 ms each")
        return (
            f"{self.mean('dials over s'):.1f} s; in the worst 100 ms {most:.0%} as many dials as balancers "
            f"(measured at {self.most})"
        )

    def told(self, balancers: int) -> str:
        each = self.mean("in B each") + self.mean("out B each")
        dials, cpu = self.mean("dials each") * balancers, self.mean("control CPU ms each") * balancers
        return (
            f"{number(dials)} dials, {number(each * balancers / 1e3)} kB and {number(cpu / 1e3)} s of the "
            f"leader's CPU, and {number(self._members_kb)} kB of members for each (extrapolated)"
        )

    @property
    def _members_kb(self) -> float:
        """Sent for each that joins, those that are there included; joined in blocks of up to forty."""
        return Model(self._results).at(PEERS, "join B each", BALANCERS).value / 1e3


def _at_list(model: Model, figure: str) -> float:
    return model.at(WATCH, figure, LIST, "servers").value
