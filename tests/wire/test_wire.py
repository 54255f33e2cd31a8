"""The adapter: golden frames both ways, and plain messages on what is malformed."""

from __future__ import annotations

import io
import os
import struct
import subprocess
import sys

import pytest
from samples import SETUP

from roadlb import benchlink
from roadlb.config import read_settings
from roadlb.policy.interface import (
    Arrival,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Log,
    Member,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Send,
    ServerState,
    SetTimer,
    Status,
    StreamStarted,
    Subscribe,
    TimerFired,
)

A, B = bytes.fromhex("0a124a07431f"), bytes.fromhex("0a9011f26c1f")
GOLDEN_EVENTS: list[tuple[str, Event]] = [
    (
        "000300c4913a5ddc54060000 0000 640ad2557c3bf091 80a90300 e02e0000 0100",
        Arrival(0x000654DC5D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000, 12000),
    ),
    ("0103004d00000000000000", TimerFired(77)),
    ("090500192b6f0e3b990900", ClientGone(0x0009993B0E6F2B19)),
    (
        "0803 00c4913a5ddc540600 0000 0a124a07431f 0100 44480000 01 00",
        Outcome(0x000654DC5D3A91C4, 0, A, Status.OK, 18500, True),
    ),
    (
        "0803 00c4913a5ddc540600 0100 0a124a07431f 0300 44480000 00 02 00004040 0000003f",
        Outcome(0x000654DC5D3A91C4, 1, A, Status.FULL, 18500, False, (3.0, 0.5)),
    ),
    ("04 0300 0a124a07431f 0100 64000000 01 0000803f", Probed(A, Status.OK, 100, (1.0,))),
    ("05 0300 4d00000000000000 0100 0a124a07431f 64000000", StreamStarted(77, 1, A, 100)),
]
GOLDEN_ACTIONS = [
    (Send(0x000654DC5D3A91C4, A, 80000), "0b0300c4913a5ddc5406000a124a07431f80380100000000"),
    (SetTimer(8912250, 77), "0403007afd8700000000004d000000000000000000000000"),
    (Refuse(77, 1000), "0903004d00000000000000e8030000000000000000000000"),
    (Fail(77), "0303004d00000000000000" + "00" * 13),
    (Cancel(77, 2), "0203004d000000000000000200" + "00" * 11),
    (Subscribe(), "06030001" + "00" * 20),
    (Probe(A), "0a03000a124a07431f" + "00" * 15),
]


@pytest.mark.parametrize(("record", "event"), GOLDEN_EVENTS)
def test_golden_events(record: str, event: Event) -> None:
    raw = bytes.fromhex(record).ljust(benchlink.EVENT_SIZE, b"\0")
    host = benchlink.Host()
    node, got = host.event(raw[0], memoryview(raw), 1, memoryview(b""))
    assert got == event and node in (3, 5)


def test_golden_list() -> None:
    entry = struct.Struct("<HHBB6sfQ").pack
    entries = entry(4, 1, 2, 1, A, 1.5, 0) + entry(0, 0, 0, 2, B, 1.0, 99)
    raw = bytes.fromhex("0203000329000000000000000000000002000000").ljust(48, b"\0")
    _, got = benchlink.Host().event(2, memoryview(raw), 1, memoryview(entries))
    assert got == ListUpdate(
        ListKind.DELTA,
        [Member(A, ServerState.READY, 4, 1, 2, 1.5, 0), Member(B, ServerState.DRAINING, 0, 0, 0, 1.0, 99)],
    )


@pytest.mark.parametrize(("action", "record"), GOLDEN_ACTIONS)
def test_golden_actions(action: object, record: str) -> None:
    assert benchlink.encode(3, action, lambda *a: b"").hex() == record  # type: ignore[arg-type]


def test_golden_log() -> None:
    seen: list[tuple[int, int, str]] = []
    benchlink.encode(3, Log("two"), lambda *a: seen.append(a) or b"x")  # type: ignore[func-returns-value]
    assert seen == [(7, 3, "two")]


def test_settings() -> None:
    s = read_settings(SETUP)
    assert [c.effect for c in s.classes] == [Effect.SAFE, Effect.KEYED]
    assert s.classes[1].group is Group.CELL and s.classes[1].window_us == 10_000_000
    assert s.report_fields == ("queue", "util") and s.tenants[0].quota_per_s == 12.5
    assert s.discovery_on_request and s.worth_by_work and s.instances == 3 and s.zone == 1


def attach(setup: str = SETUP, node: int = 3) -> tuple[bytes, bytes]:
    return struct.pack("<BHQII", 3, node, 1, 0, len(setup)).ljust(48, b"\0"), setup.encode()


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<IQI", 16 + len(body), now, len(records)) + body


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "roadlb.benchlink"],
        input=data,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": seed},
        timeout=60,
        check=False,
    )


def test_empty_batch_and_end_of_input() -> None:
    done = run(bytes.fromhex("100000005a5c80000000000000000000"))
    assert (done.returncode, done.stdout.hex(), done.stderr) == (0, "0000000008000000", b"")


def conversation() -> bytes:
    record, setup = attach(SETUP.replace("on_request", "pushed"))
    servers = [bytes([10, 0, 0, i, 64, 31]) for i in range(9)]
    entries = b"".join(struct.pack("<HHBB6sfQ", i % 3, 0, 0, 1, s, 1.0, 0) for i, s in enumerate(servers))
    view = struct.pack("<BHBQII", 2, 3, 0, 1, len(setup), len(servers))
    frames = [frame(1000, [record, view], setup + entries)]
    for i in range(60):
        arrival = struct.pack("<BHQBHQIIH", 0, 3, 100 + i, i % 2, 0, i * i % 7, 900_000, 5_000, 1)
        frames.append(frame(2000 + 1000 * i, [arrival]))
    return b"".join(frames)


def test_same_events_same_actions_whatever_the_hash_seed() -> None:
    one, two = run(conversation(), "1"), run(conversation(), "2")
    assert one.returncode == 0 and len(one.stdout) > 60 * 24 and one.stdout == two.stdout


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x10\0", b"ends within a frame's header"),
        (struct.pack("<IQI", 9, 0, 0), b"shorter than its header"),
        (struct.pack("<IQI", 64, 0, 1) + b"\0" * 7, b"ends within a frame"),
        (struct.pack("<IQI", 20, 0, 1) + b"\0" * 4, b"longer than its frame"),
        (frame(0, [b"\x63"]), b"unknown event code 99"),
        (frame(0, [struct.pack("<BHQ", 1, 9, 7)]), b"unknown instance 9"),
        (frame(0, [attach()[0]], b"az=1"), b"past the end"),
        (
            frame(0, [attach(SETUP.replace("me=2\n", ""))[0]], SETUP.replace("me=2\n", "").encode()),
            b"me is missing",
        ),
        (
            frame(0, [attach(SETUP.replace("me=2", "me=x"))[0]], SETUP.replace("me=2", "me=x").encode()),
            b"cannot read 'x'",
        ),
        (
            frame(
                0,
                [attach(SETUP.replace("cold_from=0.12", "cold_from=7.00"))[0]],
                SETUP.replace("cold_from=0.12", "cold_from=7.00").encode(),
            ),
            b"cold_from",
        ),
    ],
)
def test_malformed_input_ends_with_one_plain_message(data: bytes, message: bytes) -> None:
    done = run(data)
    assert done.returncode != 0 and message in done.stderr
    assert done.stderr.count(b"\n") == 1 and done.stderr.startswith(b"benchlink: ")


def test_exception_in_the_module_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("no idea")

    monkeypatch.setattr(benchlink.Balancer, "handle", broken)
    record, setup = attach()
    sink = io.BytesIO()
    timer = struct.pack("<BHQ", 1, 3, 7)
    benchlink.serve(io.BytesIO(frame(0, [record, timer], setup)), sink)
    reply = sink.getvalue()
    assert struct.unpack_from("<IIBH", reply) == (1, len(reply), 0, 3) and b"no idea" in reply


def test_golden_peer_message() -> None:
    raw = bytes.fromhex("07030001000000000004000000").ljust(48, b"\0")
    assert benchlink.Host().event(7, memoryview(raw), 1, memoryview(b"hi 7")) == (3, PeerMessage(1, b"hi 7"))


def test_power_off_forgets_the_instance_and_attach_starts_it_anew() -> None:
    record, setup = attach()
    off, timer = struct.pack("<BH", 6, 3), struct.pack("<BHQ", 1, 3, 7)
    host = benchlink.Host()

    def play(records: list[bytes], tail: bytes = b"") -> bytes:
        return host.answer(memoryview(frame(0, records, tail)[16:]), 0, len(records))

    play([record], setup)
    first = host.nodes[3]
    play([timer, off, record], setup)
    assert host.nodes[3] is not first
    play([off])
    with pytest.raises(benchlink.WireError, match="unknown instance 3"):
        play([timer])
