"""What can happen in an incident: a type for each `[[step]]`, found by its word in `do`.

Each step begins at `at_s` and runs for `for_s` or over `over_s`; steps may overlap freely.  A step that is
aimed at some nodes or balancers takes those that match all of its words, and of these a share or a count.
"""

from __future__ import annotations

from typing import ClassVar, Literal, get_args

from msgspec import field

from .values import Count, Factor, Seconds, Section, SomeSeconds, SomeShare, Word

# The words of `model.spec.Spoil` and of `parties.rude.KINDS`.
Spoil = Literal[
    "noise",
    "head unreadable",
    "head endless",
    "length long",
    "length twice",
    "length negative",
    "chunks broken",
    "huge",
    "cut",
    "copy behind",
    "noise behind",
    "report unreadable",
    "interim first",
]
Rudeness = Literal[
    "noise",
    "endless head",
    "length wrong",
    "length negative",
    "length huge",
    "body 60 MB",
    "no such class",
    "no such tenant",
    "deadline no number",
    "no id",
    "stolen id",
    "half a request",
    "silent",
    "silent hundreds",
    "hundreds at once",
    "two lengths",
    "again",
]
SPOILS: tuple[Spoil, ...] = get_args(Spoil)
RUDE: tuple[Rudeness, ...] = get_args(Rudeness)


class Step(Section, frozen=True, kw_only=True):
    """Something that happens at a time."""

    do: ClassVar[str]
    at_s: Seconds
    label: str = ""  # for the report; empty: told from the step itself


class Lasting(Step, frozen=True, kw_only=True):
    """Something that holds for a time, or else to the end of the run."""

    for_s: SomeSeconds | None = None


class AtNodes(Step, frozen=True, kw_only=True):
    """Which nodes: those up at that time that match all the words given, and of them a share or a count."""

    share: SomeShare | None = None  # of those that match; rounded down, one at least
    count: Count | None = None
    hall: Word | None = None
    machine: Word | None = None
    nodes: tuple[Word, ...] = ()  # by name, as `roadlb lab show` prints them


class LastingAtNodes(AtNodes, frozen=True, kw_only=True):
    """Something that holds at some nodes for a time, or else to the end of the run."""

    for_s: SomeSeconds | None = None


class AtBalancers(Step, frozen=True, kw_only=True):
    """Which balancers, in the same way."""

    share: SomeShare | None = None
    count: Count | None = None
    hall: Word | None = None
    balancers: tuple[Word, ...] = ()


class Deploy(AtNodes, frozen=True, kw_only=True):
    """Nodes are drained and replaced by cold successors, a batch at a time.

    A node drains for `drain_s` and stops; its successor starts at that moment.
    """

    do: ClassVar[str] = "deploy"
    share: SomeShare | None = 0.81
    batch: SomeShare = 0.19  # share of the whole fleet that is replaced at a time
    over_s: SomeSeconds = 25.0  # from the first drain to the last start
    drain_s: Seconds = 4.0
    address: Literal["new", "same"] = "new"  # of the successors; their ids are always new


class Shrink(Step, frozen=True, kw_only=True):
    """The fleet is made smaller, node after node."""

    do: ClassVar[str] = "shrink"
    to: SomeShare = 0.5  # share of the nodes that stay
    over_s: SomeSeconds = 15.0
    drain_s: Seconds = 4.0


class BalancerCrash(AtBalancers, frozen=True, kw_only=True):
    """Balancers are killed and come back with nothing but a list of nodes."""

    do: ClassVar[str] = "balancer_crash"
    share: SomeShare | None = 0.42
    back_after_s: SomeSeconds = 4.0
    back: bool = True  # false: they stay away
    list_age_s: Seconds = 0.0  # the list is the one held so long before the crash


class BalancerRestart(AtBalancers, frozen=True, kw_only=True):
    """A planned restart: SIGTERM, and SIGKILL to what is still there; then the process starts again."""

    do: ClassVar[str] = "balancer_restart"
    every_s: Seconds = 5.0  # from one balancer to the next
    kill_after_s: SomeSeconds = 3.7  # the longest deadline and 0.7 s, or 3.7 s
    down_s: Seconds = 0.3  # from its end to the next start


class BalancerDrain(AtBalancers, frozen=True, kw_only=True):
    """Balancers are told that they are out of service, and after a while that they are in service again."""

    do: ClassVar[str] = "balancer_drain"
    every_s: Seconds = 5.0  # from one balancer to the next
    for_s: SomeSeconds = 6.0


class Pause(LastingAtNodes, frozen=True, kw_only=True):
    """Processes stand still and connections stay open, as in a long collection or on a stopped machine."""

    do: ClassVar[str] = "pause"
    what: Literal["nodes", "balancers"] = "nodes"
    balancers: tuple[Word, ...] = ()


class Slow(LastingAtNodes, frozen=True, kw_only=True):
    """Nodes take `factor` times as long for all work."""

    do: ClassVar[str] = "slow"
    factor: Factor = 3.0


class CutHall(Lasting, frozen=True, kw_only=True):
    """A hall is cut off from the others, silently; within it all goes on."""

    do: ClassVar[str] = "cut_hall"
    hall: Word


class DiscoveryOutage(Lasting, frozen=True, kw_only=True):
    """Agents fall silent; watches stay open and new ones are not answered."""

    do: ClassVar[str] = "discovery_outage"


class DiscoveryMove(Step, frozen=True, kw_only=True):
    """Discovery moves: a new configuration, SIGHUP, and the old address closes."""

    do: ClassVar[str] = "discovery_move"
    old_closes_s: Seconds = 1.5  # the old address takes no new connection from the start


class Flood(Lasting, frozen=True, kw_only=True):
    """Requests come at `times` the usual rate, of one class, tenant and hall or of all."""

    do: ClassVar[str] = "flood"
    times: Factor = 4.0
    of_class: Word | None = field(default=None, name="class")
    tenant: Word | None = None
    hall: Word | None = None


class Errors(LastingAtNodes, frozen=True, kw_only=True):
    """Nodes answer 500 to a share of what they have run."""

    do: ClassVar[str] = "errors"
    answers: SomeShare = 0.3


class Spoilt(LastingAtNodes, frozen=True, kw_only=True):
    """Nodes spoil a share of the answers that they send; the requests have run."""

    do: ClassVar[str] = "spoilt"
    answers: SomeShare = 0.05
    kinds: tuple[Spoil, ...] = SPOILS


class Reset(Step, frozen=True, kw_only=True):
    """A share of the open connections is reset at one moment."""

    do: ClassVar[str] = "reset"
    connections: SomeShare = 0.5
    between: Literal["nodes", "clients"] = "nodes"  # balancers and nodes, or clients and balancers
    hall: Word | None = None  # of the balancers


class Rude(Lasting, frozen=True, kw_only=True):
    """Clients that keep to no protocol; they count for no worth, and are owed an error or a close."""

    do: ClassVar[str] = "rude"
    kinds: tuple[Rudeness, ...] = RUDE
    every_s: SomeSeconds = 0.5  # in each hall one comes so often, of the kinds in turn


class KillNode(AtNodes, frozen=True, kw_only=True):
    """Nodes die: their processes, with resets, or their machines, without a word."""

    do: ClassVar[str] = "kill_node"
    count: Count | None = 1
    silent: bool = False
    back_after_s: SomeSeconds | None = None  # the same id starts again, cold; none: it stays away


class LoseHall(Step, frozen=True, kw_only=True):
    """A hall is lost whole: its nodes vanish without a word, its balancers are killed, at one moment."""

    do: ClassVar[str] = "lose_hall"
    hall: Word
    back_after_s: SomeSeconds | None = None  # nodes start again, cold, and balancers; none: never
    list_age_s: Seconds = 0.0  # the balancers' list is the one held so long before


STEPS: dict[str, type[Step]] = {
    kind.do: kind
    for kind in (
        Deploy,
        Shrink,
        BalancerCrash,
        BalancerRestart,
        BalancerDrain,
        Pause,
        Slow,
        CutHall,
        DiscoveryOutage,
        DiscoveryMove,
        Flood,
        Errors,
        Spoilt,
        Reset,
        Rude,
        KillNode,
        LoseHall,
    )
}
