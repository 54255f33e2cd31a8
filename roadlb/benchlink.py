"""Adapter between the simulator's wire and the library: frames, codes, hosting of instances.

Run as `python -m roadlb.benchlink`: batches on standard input, replies on standard output.
Nothing is decided here.
"""

from __future__ import annotations

import gc
import struct
import sys
from collections.abc import Callable
from typing import BinaryIO

from .config import ConfigError, read_settings
from .policy.interface import (
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Event,
    Fail,
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
from .policy.logic import Balancer


class WireError(Exception):
    """Input that is not what the wire's page describes; the text is for a person."""


HEADER = struct.Struct("<IQI")
REPLY = struct.Struct("<II")
EVENT_SIZE, ENTRY_SIZE = 48, 24
ATTACH = struct.Struct("<HQII")
VIEW = struct.Struct("<HBQII")
INCOMING = struct.Struct("<HQBHQIIH")
COMPLETED = struct.Struct("<HQH6sHIBB4f")
PROBED = struct.Struct("<H6sHIB4f")
HEAD = struct.Struct("<HQH6sI")
INBOX = struct.Struct("<HHII")
PAIR = struct.Struct("<HQ")
NODE = struct.Struct("<H")
ENTRY = struct.Struct("<HHBB6sfQ")

SEND = struct.Struct("<BHQ6sI3x").pack
REFUSE = struct.Struct("<BHQI9x").pack
FAIL = struct.Struct("<BHQ13x").pack
CANCEL = struct.Struct("<BHQH11x").pack
TIMER = struct.Struct("<BHQQ5x").pack
SUBSCRIBE = struct.Struct("<BHB20x").pack
PROBE = struct.Struct("<BH6s15x").pack
TEXT = struct.Struct("<BHII13x").pack

STATUS = {int(s): s for s in Status if s is not Status.SPOILT}  # the wire has no such outcome
STATE = {int(s): s for s in ServerState}
KIND = {int(k): k for k in ListKind}


# Frames


def tail_slice(tail: memoryview, offset: int, length: int, what: str) -> memoryview:
    if offset + length > len(tail):
        raise WireError(f"{what} points past the end of the frame")
    return tail[offset : offset + length]


def read_members(tail: memoryview, offset: int, count: int) -> list[Member]:
    members = []
    for cell, kind, zone, phase, server, weight, born in ENTRY.iter_unpack(
        tail_slice(tail, offset, count * ENTRY_SIZE, "a view's member list")
    ):
        if phase not in STATE:
            raise WireError(f"unknown phase {phase} in a directory entry")
        members.append(Member(server, STATE[phase], cell, kind, zone, weight, born))
    return members


def status_of(code: int) -> Status:
    if code not in STATUS:
        raise WireError(f"unknown disposition {code}")
    return STATUS[code]


class Host:
    """The instances of one process, each a Balancer of its own."""

    def __init__(self) -> None:
        self.nodes: dict[int, Balancer] = {}
        self.classes: dict[int, int] = {}

    def event(self, code: int, frame: memoryview, at: int, tail: memoryview) -> tuple[int, Event]:
        """Decode the record at `at` (just past its code)."""
        if code == 0:
            node, ticket, lane, project, key, left, work, flags = INCOMING.unpack_from(frame, at)
            if lane >= self.classes.get(node, lane + 1):
                raise WireError(f"request {ticket} is of unknown class {lane}")
            return node, Arrival(ticket, lane, project, key, left, work if flags & 1 else 0, bool(flags & 2))
        if code == 8:
            node, ticket, seq, server, result, delay, settled, n, *load = COMPLETED.unpack_from(frame, at)
            return node, Outcome(ticket, seq, server, status_of(result), delay, settled != 0, tuple(load[:n]))
        if code == 1:
            node, token = PAIR.unpack_from(frame, at)
            return node, TimerFired(token)
        if code == 9:
            node, ticket = PAIR.unpack_from(frame, at)
            return node, ClientGone(ticket)
        if code == 2:
            node, kind, _epoch, offset, count = VIEW.unpack_from(frame, at)
            if kind not in KIND:
                raise WireError(f"unknown kind of view {kind}")
            return node, ListUpdate(KIND[kind], read_members(tail, offset, count))
        if code == 4:
            node, server, disposition, delay, n, *load = PROBED.unpack_from(frame, at)
            return node, Probed(server, status_of(disposition), delay, tuple(load[:n]))
        if code == 5:
            node, ticket, seq, server, delay = HEAD.unpack_from(frame, at)
            return node, StreamStarted(ticket, seq, server, delay)
        if code == 7:
            node, sender, offset, count = INBOX.unpack_from(frame, at)
            return node, PeerMessage(sender, bytes(tail_slice(tail, offset, count, "a message")))
        raise WireError(f"unknown event code {code}")

    def answer(self, body: memoryview, now: int, count: int) -> bytes:
        """Play one batch and return the reply frame."""
        end = count * EVENT_SIZE
        if end > len(body):
            raise WireError(f"a batch of {count} records is longer than its frame")
        tail = body[end:]
        records: list[bytes] = []
        texts = bytearray()

        def text_record(code: int, node: int, text: str) -> bytes:
            data = text.encode()
            texts.extend(data)
            return TEXT(code, node, len(texts) - len(data), len(data))

        for at in range(0, end, EVENT_SIZE):
            code = body[at]
            if code == 3:
                node, seed, offset, length = ATTACH.unpack_from(body, at + 1)
                try:
                    text = bytes(tail_slice(tail, offset, length, "a setup")).decode()
                except UnicodeDecodeError:
                    raise WireError("a setup is not UTF-8 text") from None
                settings = read_settings(text)
                self.nodes[node] = Balancer(settings, seed)
                self.classes[node] = len(settings.classes)
                continue
            if code == 6:
                self.nodes.pop(NODE.unpack_from(body, at + 1)[0], None)
                continue
            node, event = self.event(code, body, at + 1, tail)
            balancer = self.nodes.get(node)
            if balancer is None:
                raise WireError(f"event {code} for unknown instance {node}")
            try:
                for action in balancer.handle(now, event):
                    # On the link an attempt has begun with its record: nothing is left to withdraw.
                    if not (isinstance(action, Cancel) and action.unsent):
                        records.append(encode(node, action, text_record))
            except Exception as e:  # whatever goes wrong in the module is reported as its fault
                place = e.__traceback__
                while place and place.tb_next:
                    place = place.tb_next
                line = place.tb_lineno if place else 0
                records.append(text_record(0, node, f"{type(e).__name__}: {e} (line {line})"))
        payload = b"".join(records)
        return REPLY.pack(len(records), REPLY.size + len(payload) + len(texts)) + payload + bytes(texts)


def encode(node: int, action: Action, text_record: Callable[[int, int, str], bytes]) -> bytes:
    if isinstance(action, Send):
        return SEND(11, node, action.request, action.server, action.timeout_us)
    if isinstance(action, SetTimer):
        return TIMER(4, node, action.at_us, action.token)
    if isinstance(action, Cancel):
        return CANCEL(2, node, action.request, action.attempt)
    if isinstance(action, Refuse):
        return REFUSE(9, node, action.request, action.retry_after_us)
    if isinstance(action, Fail):
        return FAIL(3, node, action.request)
    if isinstance(action, Subscribe):
        return SUBSCRIBE(6, node, 1)
    if isinstance(action, Probe):
        return PROBE(10, node, action.server)
    assert isinstance(action, Log)
    return text_record(7, node, action.text)


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while header := read_exactly(source, HEADER.size):
        if len(header) < HEADER.size:
            raise WireError("the input ends within a frame's header")
        size, now, count = HEADER.unpack(header)
        if size < HEADER.size:
            raise WireError(f"a frame of {size} bytes is shorter than its header")
        body = read_exactly(source, size - HEADER.size)
        if len(body) < size - HEADER.size:
            raise WireError("the input ends within a frame")
        sink.write(host.answer(memoryview(body), now, count))
        sink.flush()


def main() -> int:
    gc.freeze()
    gc.disable()  # the module keeps no reference cycles; its tables are bounded
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ConfigError) as e:
        print(f"benchlink: {e}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
