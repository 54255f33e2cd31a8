"""What a follower remembers comes back as it was, and a step of it costs what has changed."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fleets import node
from test_following import contents

from roadlb.agreement.events import Contents, Memory, Version, VersionId
from roadlb.agreement.rules import meet
from roadlb.fleet.model import Lifecycle
from roadlb.following.memory import HEAD, MemoryWriter, read_memory
from roadlb.store.forms import write_change
from roadlb.store.state import Change, State, after
from roadlb.xds.codec.protos import CodecError

FLEET = [node(f"n{i}", 1_000) for i in range(400)]
FORCE = Version(VersionId(2, 7), contents(*FLEET))
NEXT = Version(
    VersionId(2, 8),
    contents(
        *(replace(e, weight=2.0) for e in FLEET[:2]),
        replace(FLEET[2], lifecycle=Lifecycle.DRAINING),
        *FLEET[3:],
        **{"tenants.0.quota_per_s": "120"},
    ),
    "meant so",
)
MEMORIES = [
    Memory(4),
    Memory(2, FORCE.id, FORCE, FORCE.contents),
    Memory(3, FORCE.id, NEXT, meet(FORCE.contents, NEXT.contents), (NEXT.id,)),
]


def same(a: Memory, b: Memory) -> bool:
    def bare(memory: Memory) -> object:
        def list_of(told: Contents | None) -> object:
            return (
                None
                if told is None
                else (
                    sorted(told.settings.items()),
                    {n: sorted(map(repr, c.endpoints)) for n, c in told.clusters.items()},
                )
            )

        told = memory.told
        return (
            memory.epoch,
            memory.force,
            memory.passed,
            told and (told.id, told.meant),
            list_of(told and told.contents),
            list_of(memory.bound),
        )

    return repr(bare(a)) == repr(bare(b))


@pytest.mark.parametrize("memory", MEMORIES)
def test_a_memory_comes_back_with_its_bound(memory: Memory) -> None:
    kept = MemoryWriter().write(memory, "1.1")
    found = read_memory(after(State(), Change(1, kept, epoch=memory.epoch)))
    assert same(found, memory)


def test_a_preparation_writes_what_it_narrows_and_grants_not_the_fleet() -> None:
    writer = MemoryWriter()
    held = writer.write(MEMORIES[1], "1.1")
    whole = len(write_change(Change(1, held), None))
    step = len(write_change(Change(2, writer.write(MEMORIES[2], "1.2")), held))
    assert step < whole / 2


def test_a_memory_that_cannot_be_read_says_so() -> None:
    kept = MemoryWriter().write(MEMORIES[1], "1.1")
    for name, body in ((HEAD, b"{"), (HEAD, b"{}"), ("t:p:grid/frame", b"\xff"), ("t:x:y", b"")):
        spoilt = replace(kept, resources={**kept.resources, name: body})
        with pytest.raises(CodecError):
            read_memory(after(State(), Change(1, spoilt)))
