"""The store after a crash at any step, with any byte spoilt, and with files that are not its own."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
from crashing_disk import Crashed, CrashingDisk

from roadlb.counters import Counters
from roadlb.store import store as store_module
from roadlb.store.disk import Directory
from roadlb.store.records import pack
from roadlb.store.state import DRAINS_MOST, REFUSED_MOST, Change, Drain, Refusal, State, Version, after
from roadlb.store.store import Store

CHANGES = (
    Change(1, Version("1.a", 1, 1, {"settings": b"S", "nodes/0": b"N0", "nodes/1": b"N1"})),
    Change(2, drains={"node-1": Drain(1_000, 2)}),
    Change(3, Version("2.b", 1, 2, {"settings": b"S", "nodes/0": b"N0 changed"}), epoch=2),
    Change(4, refusal=Refusal("3.c", ("hall_emptied",), "hall 'a' had 3 nodes", 4)),
    Change(
        5,
        Version("1.a", 2, 3, {"settings": b"S", "nodes/0": b"N0", "nodes/1": b"N1"}),
        drains={"node-2": Drain(0, 5)},
        lifted=("node-1",),
    ),
)


def opened(disk: CrashingDisk, name: str = "n1") -> tuple[Store, Counters]:
    counters = Counters()
    store = Store(disk, name, counters)
    store.open()
    return store, counters


def states() -> list[State]:
    found = [State()]
    for change in CHANGES:
        found.append(after(found[-1], change))
    return found


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Some ten thousand stores are opened, most of them spoilt; their log lines would cost half the time."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture(params=[False, True], ids=["log", "snapshots"])
def small_log(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Once with all changes in one log, once with a new generation for each."""
    if request.param:
        monkeypatch.setattr(store_module, "LOG_LEAST", 0)
        monkeypatch.setattr(store_module, "LOG_PER_SNAPSHOT", 0)


@pytest.mark.usefixtures("small_log")
def test_a_crash_at_any_step_leaves_the_state_before_or_the_one_after() -> None:
    expected, seen = states(), 0
    whole = CrashingDisk()
    store, _ = opened(whole)
    for change in CHANGES:
        store.put(change)
    for steps in range(whole.taken + 1):
        disk, kept = CrashingDisk(steps=steps), 0
        store, _ = opened(disk)
        for change in CHANGES:
            try:
                store.put(change)
            except Crashed:
                break
            kept += 1
        for content in disk.after_crash():
            again, counters = opened(CrashingDisk(content))
            assert again.state in expected[kept : kept + 2], (steps, kept)
            assert not counters["store.spoilt"], "a crash was taken for a spoilt disk"
            seen += 1
    assert seen > 500


@pytest.mark.usefixtures("small_log")
def test_a_crash_while_recovering_from_a_crash_loses_nothing_more() -> None:
    disk = CrashingDisk()
    store, _ = opened(disk)
    for change in CHANGES[:-1]:
        store.put(change)
    disk.left = 1  # the last change: written, not synced
    with pytest.raises(Crashed):
        store.put(CHANGES[-1])
    for content in list(disk.after_crash())[::17]:
        first, _ = opened(CrashingDisk(content))
        for steps in range(8):
            recovering = CrashingDisk(content, steps)
            opened(recovering)
            for after_second in recovering.after_crash():
                assert opened(CrashingDisk(after_second))[0].state == first.state


@pytest.mark.usefixtures("small_log")
def test_any_spoilt_byte_is_noticed_and_costs_no_drain_of_another_record() -> None:
    disk = CrashingDisk()
    store, _ = opened(disk)
    for change in CHANGES:
        store.put(change)
    content, last = disk.content(), states()[-1]
    versions = {state.version.id if state.version else "" for state in states()}
    for name, data in content.items():
        for at in range(len(data)):
            spoilt = {**content, name: data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]}
            found, counters = opened(CrashingDisk(spoilt))
            if found.state != last:
                assert counters["store.spoilt"] + counters["store.torn"], (name, at)
            assert (found.state.version.id if found.state.version else "") in versions
            assert found.state.epoch <= last.epoch
            if name.startswith("snap."):
                assert found.state == last, "the snapshot before and its log make a spoilt one good"
            if at < data.rfind(b"\xa7RLs"):
                assert "node-2" in found.state.drains, "the last record is whole"
            found.put(Change(9, drains={"node-9": Drain(0, 9)}))  # and it goes on


def test_a_store_of_another_balancer_is_put_aside() -> None:
    disk = CrashingDisk()
    opened(disk, "n2")[0].put(CHANGES[0])
    store, counters = opened(disk, "n1")
    assert store.state == State() and counters["store.aside"] == 1
    assert any(name.startswith("aside.snap.") for name in disk.names())
    store.put(CHANGES[1])
    assert opened(disk, "n1")[0].state == after(State(), CHANGES[1])


def test_a_store_of_a_newer_schema_is_not_read_and_not_lost() -> None:
    head = {"schema": store_module.SCHEMA + 1, "name": "n1"}
    data = pack({**head, "kind": "state", "unheard of": {}})
    disk = CrashingDisk({"snap.7": data, "log.7": pack(head)})
    store, counters = opened(disk)
    assert store.state == State() and counters["store.aside"] == 1
    assert disk.read("aside.snap.7") == data


def test_a_disk_that_cannot_be_written_costs_no_more_than_its_counts() -> None:
    disk = CrashingDisk(steps=0)
    store, counters = opened(disk)
    with pytest.raises(OSError):
        store.put(CHANGES[0])
    assert counters["store.failed"] == 2 and store.state == State()
    disk.left = 1 << 30  # there is room again
    store.put(CHANGES[1])
    assert opened(disk)[0].state == after(State(), CHANGES[1])


def test_a_change_that_failed_does_not_spoil_those_after_it() -> None:
    disk = CrashingDisk()
    store, _ = opened(disk)
    store.put(CHANGES[0])
    disk.left = 1  # appended, not synced: perhaps there, perhaps not
    with pytest.raises(OSError):
        store.put(CHANGES[2])
    disk.left = 1 << 30
    store.put(CHANGES[4])  # built on what was held before the failure
    again, counters = opened(disk)
    assert again.state == after(after(State(), CHANGES[0]), CHANGES[4]) and not counters["store.spoilt"]


def test_a_drain_holds_until_the_node_has_a_newer_start() -> None:
    state = after(State(), Change(1, drains={"node-1": Drain(1_000, 1)}))
    assert state.drained("node-1", 1_000) and state.drained("node-1", 999)
    assert not state.drained("node-1", 1_001) and not state.drained("node-2", 0)
    older = after(state, Change(2, drains={"node-1": Drain(500, 2)}))
    assert older.drained("node-1", 1_000), "a drain of an older start took the newer one's place"


def test_what_is_kept_is_bounded() -> None:
    state = State()
    for i in range(REFUSED_MOST + 5):
        state = after(state, Change(i, refusal=Refusal(f"{i}.x", (), "x" * 5_000, i)))
    drains = {f"node-{i}": Drain(0, i) for i in range(DRAINS_MOST + 5)}
    state = after(state, Change(1, drains=drains))
    assert len(state.refused) == REFUSED_MOST and state.refused[-1].version == f"{REFUSED_MOST + 4}.x"
    assert max(len(refusal.text) for refusal in state.refused) <= 1_000
    assert len(state.drains) == DRAINS_MOST and f"node-{DRAINS_MOST + 4}" in state.drains
    disk = CrashingDisk()
    store, _ = opened(disk)
    for i in range(2_000):
        store.put(Change(i, drains={"node-1": Drain(i, i)}))
    assert sum(map(len, disk.content().values())) < 4 * store_module.LOG_LEAST
    assert len(disk.names()) <= 4


def test_a_real_directory_keeps_the_same(tmp_path: Path) -> None:
    counters = Counters()
    store = Store(Directory(tmp_path / "store"), "n1", counters)
    store.open()
    for change in CHANGES:
        store.put(change)
    again = Store(Directory(tmp_path / "store"), "n1", counters)
    assert again.open() == states()[-1] and not counters["store.failed"]
