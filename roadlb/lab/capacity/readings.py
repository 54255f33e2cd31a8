"""What the system tells of another process: CPU time, memory, descriptors, bytes at its TCP sockets."""

from __future__ import annotations

import ctypes
import os
import re
import socket
import struct
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

PIDFD_GETFD = 438  # the system call's number, on x86-64 and arm64 alike
TCP_INFO_BYTES = 256
# struct tcp_info of linux/tcp.h
RECEIVED_AT, SENT_AT = 128, 200
CPU_CLOCK_SCHED = 2  # of a process's CPU clock, see clock_getcpuclockid(3)


@dataclass(frozen=True, slots=True)
class Reading:
    """Of one process; CPU time is that of all its threads, also of those that have ended."""

    cpu_s: float
    peak_bytes: int
    resident_bytes: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class Connection:
    """An established TCP connection of a process and its bytes so far, without TCP's own."""

    own_port: int
    peer_port: int
    sent: int
    received: int


@dataclass(frozen=True, slots=True)
class Traffic:
    sent: int
    received: int
    ended: int  # connections that were there before and not after


def cpu_s(pid: int) -> float:
    """CPU time so far, by the process's own clock in the kernel: nanoseconds, not ticks."""
    return time.clock_gettime(~pid << 3 | CPU_CLOCK_SCHED)


def read(pid: int) -> Reading:
    """ProcessLookupError if there is none."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    except FileNotFoundError:
        raise ProcessLookupError(f"process {pid} has ended") from None
    return Reading(cpu_s(pid), _kib(status, "VmHWM"), _kib(status, "VmRSS"), descriptors)


def connections(pid: int) -> list[Connection]:
    """Those of a process of ours, a child or its child; each socket is looked at through a copy."""
    found, pidfd = [], os.pidfd_open(pid)
    try:
        for number in _sockets(pid):
            copy = _copy(pidfd, number)
            if copy is None:
                continue
            with socket.socket(fileno=copy) as seen:
                if (one := _connection(seen)) is not None:
                    found.append(one)
    finally:
        os.close(pidfd)
    return found


def traffic(
    before: Iterable[Connection], after: Iterable[Connection], own_port: int = 0, peer_port: int = 0
) -> Traffic:
    """Bytes between two looks over connections with this port at our end, or at the other; 0: any.

    What a connection carried that ended in between is not told: `ended` says how many did.
    """
    earlier = {(one.own_port, one.peer_port): one for one in before if _chosen(one, own_port, peer_port)}
    sent = received = 0
    for one in after:
        if _chosen(one, own_port, peer_port):
            known = earlier.pop((one.own_port, one.peer_port), None)
            sent += one.sent - (known.sent if known else 0)
            received += one.received - (known.received if known else 0)
    return Traffic(sent, received, len(earlier))


def _chosen(one: Connection, own_port: int, peer_port: int) -> bool:
    return own_port in (0, one.own_port) and peer_port in (0, one.peer_port)


def _kib(status: str, key: str) -> int:
    found = re.search(rf"^{key}:\s+(\d+) kB$", status, re.M)
    return int(found[1]) * 1024 if found else 0


def _sockets(pid: int) -> list[int]:
    numbers = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            if os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:"):
                numbers.append(int(name))
        except FileNotFoundError:
            continue
    return numbers


def _copy(pidfd: int, number: int) -> int | None:
    """A descriptor of ours for another process's; None if it is closed by now."""
    system = ctypes.CDLL(None, use_errno=True)
    copy = int(system.syscall(PIDFD_GETFD, pidfd, number, 0))
    if copy >= 0:
        return copy
    error = ctypes.get_errno()
    if error in (9, 3):  # EBADF, ESRCH
        return None
    raise OSError(error, f"pidfd_getfd: {os.strerror(error)}: this system does not show children's sockets")


def _connection(seen: socket.socket) -> Connection | None:
    if seen.type != socket.SOCK_STREAM or seen.family not in (socket.AF_INET, socket.AF_INET6):
        return None
    try:
        own_port, peer_port = seen.getsockname()[1], seen.getpeername()[1]
        info = seen.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:  # it listens, or is over
        return None
    [sent], [received] = struct.unpack_from("=Q", info, SENT_AT), struct.unpack_from("=Q", info, RECEIVED_AT)
    return Connection(own_port, peer_port, sent, received)
