"""What a run may take of the machine, checked before it begins; what cannot be is refused with a reason."""

from __future__ import annotations

import os
import resource
from collections.abc import Sequence
from dataclasses import dataclass

from ...agreement.issuer import MOST_FOLLOWERS
from ...membership.view import MEMBERS_MOST

PROCESSES_MOST = 300  # "a few hundred", the rig itself and the stand-ins among them
MEMORY_PART = 0.5  # of the machine's memory
SERVERS_MOST = 10_000
MIB = 1 << 20
# At the least twice of what was measured, so that a check that passes stays true while the run grows.
REAL_BYTES = 128 * MIB  # `python -m roadlb` or the control service, with 2,400 servers
HOLLOW_PROCESS_BYTES = 128 * MIB
HOLLOW_BYTES = 4 * MIB  # each hollow balancer, and ...
HOLLOW_SERVER_BYTES = 2_000  # ... each server that it knows
DESCRIPTORS_EACH = 4  # of a hollow balancer, in its own process and at the control service
DESCRIPTORS_BESIDE = 200


class Impossible(ValueError):
    """A size that cannot be run here; the text names the limit and the remedy."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Of one deployment: hollow balancers in so many processes, real ones, servers that each knows."""

    hollow: int
    hollow_processes: int
    real_processes: int
    servers: int

    @property
    def processes(self) -> int:
        return self.hollow_processes + self.real_processes + 1

    @property
    def memory_bytes(self) -> int:
        each = HOLLOW_BYTES + self.servers * HOLLOW_SERVER_BYTES
        return (
            self.hollow_processes * HOLLOW_PROCESS_BYTES
            + self.hollow * each
            + self.real_processes * REAL_BYTES
        )

    @property
    def descriptors(self) -> int:
        return DESCRIPTORS_EACH * self.hollow + DESCRIPTORS_BESIDE


@dataclass(frozen=True, slots=True)
class Machine:
    memory_bytes: int
    free_bytes: int
    descriptors: int  # that one process may open


def machine() -> Machine:
    page = os.sysconf("SC_PAGE_SIZE")
    return Machine(
        os.sysconf("SC_PHYS_PAGES") * page,
        os.sysconf("SC_AVPHYS_PAGES") * page,
        resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )


def check(demands: Sequence[Demand], at_once: int, here: Machine) -> None:
    """Impossible, with the reason, unless any `at_once` of these can stand beside each other."""
    for demand in demands:
        _possible(demand)
    largest = sorted((demand.memory_bytes for demand in demands), reverse=True)[:at_once]
    memory, allowed = sum(largest), min(int(here.memory_bytes * MEMORY_PART), here.free_bytes)
    if memory > allowed:
        raise Impossible(
            f"memory: {memory / MIB:,.0f} MiB would be needed, and {allowed / MIB:,.0f} MiB may be used "
            "(half of the machine's, and what is free): ask for fewer balancers or servers"
        )
    processes = sum(sorted((demand.processes for demand in demands), reverse=True)[:at_once])
    if processes > PROCESSES_MOST:
        raise Impossible(
            f"processes: {processes} would be needed, at most {PROCESSES_MOST} may run: put more hollow "
            "balancers into each"
        )
    descriptors = max((demand.descriptors for demand in demands), default=0)
    if descriptors > here.descriptors:
        raise Impossible(
            f"descriptors: {descriptors} would be needed in one process, {here.descriptors} are allowed: "
            "raise `ulimit -n` or ask for fewer balancers"
        )


def _possible(demand: Demand) -> None:
    if demand.hollow < 0 or demand.real_processes < 0 or demand.hollow + demand.real_processes < 1:
        raise Impossible(f"balancers: {demand.hollow} hollow ones make no sense; at least 1 is needed")
    most = min(MOST_FOLLOWERS, MEMBERS_MOST)
    if demand.hollow > most:
        raise Impossible(
            f"balancers: {demand.hollow}; a control service and a membership have {most} at most"
        )
    if not 1 <= demand.servers <= SERVERS_MOST:
        raise Impossible(f"servers: {demand.servers} must lie between 1 and {SERVERS_MOST}")
    if demand.hollow and not 1 <= demand.hollow_processes <= demand.hollow:
        raise Impossible(
            f"processes: {demand.hollow} hollow balancers cannot be in {demand.hollow_processes} processes"
        )
