"""A machine of the simulated world: what runs on it, its sockets, and the faults that befall it."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from typing import TYPE_CHECKING, Any, ParamSpec, TypeVar

from .cpu import PERIOD_US, Cost, Cpu
from .datagrams import DatagramSocket
from .dial import Dial, Listener, Verdict
from .errors import HostDown
from .life import LIFE, Life
from .names import is_loopback
from .tcp import End

if TYPE_CHECKING:
    from .network import Network

T = TypeVar("T")
P = ParamSpec("P")

EPHEMERAL = range(32_768, 61_000)  # Linux's ports for who asks for none
ANY = ("0.0.0.0", "::")


class Host:
    """Made by `Network.host`.  Settings that may be changed at any time:

    `descriptors`: sockets that may be open at once (0: no limit); more fail with EMFILE.
    `dials_answered`: what becomes of dials to it (`accept`, `refuse`, `ignore`).
    `when_full`: the same where a backlog is full, for listeners made from now on (`ignore`: dials hang, and
    come again).
    `send_buffer`, `receive_buffer`: of connections made from now on, in bytes.
    `deferred_writes`: transports made from now on write at the turn's end, as uvloop's.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        ip: str,
        hall: str,
        *,
        deferred_writes: bool,
        send_buffer: int,
        receive_buffer: int,
    ) -> None:
        self.network, self.loop = network, network.loop
        self.name, self.ip, self.hall = name, ip, hall
        self.deferred_writes = deferred_writes
        self.send_buffer, self.receive_buffer = send_buffer, receive_buffer
        self.descriptors = self.descriptors_open = 0
        self.dials_answered: Verdict = "accept"
        self.when_full: Verdict = "ignore"
        self.gone = False  # no segment gets to it or from it
        self.rng = self.loop.random(f"host {name}")
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.datagram_sockets: dict[tuple[str, int], DatagramSocket] = {}
        self.dials: dict[Dial, None] = {}  # under way
        self._cpu: Cpu | None = None
        self._next_port = EPHEMERAL.start
        self._ports: set[int] = set()  # in use, by connections that it dialled
        self.life = Life(self.loop, self)

    def __repr__(self) -> str:
        return f"<Host {self.name} {self.ip} in {self.hall}, {'dead' if self.life.dead else 'up'}>"

    # Its program

    def run(self, coroutine: Coroutine[Any, Any, T], *, name: str | None = None) -> asyncio.Future[T]:
        """Run a coroutine in a task of this host.

        The future has its result; HostDown if the host dies first.  Cancelling it cancels the task.
        """
        if self.life.dead:
            coroutine.close()
            raise HostDown(f"{self.name} is dead: call restart() first")
        task = self.loop.create_task(coroutine, name=name, context=self._context())
        return self.life.watch(task)

    def call(self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Call a function now, in the name of this host."""
        if self.life.dead:
            raise HostDown(f"{self.name} is dead: call restart() first")
        return self._context().run(function, *args, **kwargs)

    def _context(self) -> Context:
        context = copy_context()
        context.run(LIFE.set, self.life)
        return context

    def raise_signal(self, number: int) -> None:
        """As `kill -NUMBER`: its handler is queued; with none, SIGTERM and its like end the program."""
        sent = signal.Signals(number)
        if sent == signal.SIGSTOP:
            self.pause()
        elif sent == signal.SIGCONT:
            self.resume()
        elif handler := self.life.signals.get(sent):
            self.loop.call_soon(handler[0], *handler[1], context=self._context())
        elif sent not in (signal.SIGCHLD, signal.SIGURG, signal.SIGWINCH):
            self.kill()

    # Faults

    def kill(self, *, fin: bool = False) -> None:
        """Its program is no more: no callback or task of it ever runs again, and dials are refused.

        Connections are reset; with `fin` they end as Linux ends those of a killed process, which is in order
        where nothing lies unread.
        """
        if self.life.dead:
            return
        self._end_life()
        for end in self.ends():
            end.linger_zero = end.linger_zero or not fin
            end.close()
        self.descriptors_open = 0

    def _end_life(self) -> None:
        self.life.end()
        self.loop.bury(self.life)
        for listener in tuple(self.listeners.values()):
            listener.close()
        for socket in tuple(self.datagram_sockets.values()):
            socket.close()
        for dial in tuple(self.dials):
            dial.give_up()

    def restart(self) -> None:
        """A new life, in which nothing runs yet; one that is still on is killed first."""
        self.kill()
        self.life = Life(self.loop, self, self._cpu)

    def pause(self) -> None:
        """As SIGSTOP: none of its callbacks run; the kernel accepts and buffers all the same."""
        self.life.stop("pause")

    def resume(self) -> None:
        """The end of `pause`: timers fire late now, in the order in which they were due."""
        self.life.resume("pause")

    def stall(self, us: int) -> None:
        """Stopped by its own machine for so long, as for a collection of garbage or a noisy neighbour."""
        life, reason = self.life, object()
        life.stop(reason)
        self.loop.kernel_at(self.loop.now_us + us, lambda: life.resume(reason))

    def vanish(self, *, crash: bool = False) -> None:
        """Silence both ways: dials never come up, and nobody is told.  With `crash` its program ends too."""
        self.gone = True
        self.network.look_again()
        if crash and not self.life.dead:
            self._end_life()
            for end in self.ends():
                end.vanish()
            self.descriptors_open = 0
            self._ports.clear()

    def return_(self, *, reset: bool = True) -> None:
        """Back on the network, and old connections are reset.

        Without `reset` they live on where the program does; after a crash a peer is reset when it next sends.
        """
        if not self.gone:
            return
        self.gone = False
        self.network.look_again()
        if reset:
            for end in self.ends():
                end.fail(ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))
                end.out.reset()

    def cpu(self, cost: Cost, cores: float = 1.0, period_us: int = PERIOD_US) -> None:
        """From now on each callback takes `cost` microseconds, of a share of `cores` (see `Cpu`)."""
        self._cpu = Cpu(cost, cores, period_us, self.rng)
        self.life.set_cpu(self._cpu)

    def cpu_used_us(self) -> int:
        """CPU time that its callbacks have taken so far."""
        return self._cpu.used_us if self._cpu is not None else 0

    def no_cpu(self) -> None:
        """Callbacks take no time again."""
        self._cpu = None
        self.life.set_cpu(None)

    # Its kernel

    def ends(self) -> list[End]:
        """Its ends of all connections that are not over, oldest first."""
        return [
            end
            for connection in self.network.connections()
            for end in (connection.client, connection.server)
            if end.host is self
        ]

    def take_descriptor(self) -> None:
        if self.descriptors and self.descriptors_open >= self.descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        self.descriptors_open += 1

    def give_back_descriptor(self) -> None:
        self.descriptors_open = max(0, self.descriptors_open - 1)

    def port(self) -> int:
        """A free one, counting up: what the kernel chooses for who asks for none."""
        for _ in EPHEMERAL:
            port, self._next_port = self._next_port, self._next_port + 1
            if self._next_port >= EPHEMERAL.stop:
                self._next_port = EPHEMERAL.start
            if port not in self._ports and not any(port == taken for _, taken in self.listeners):
                return port
        raise OSError(errno.EADDRNOTAVAIL, "Cannot assign requested address: no port is left")

    def take_port(self) -> int:
        port = self.port()
        self._ports.add(port)
        return port

    def give_back_port(self, port: int) -> None:
        self._ports.discard(port)

    def bindable(self, ip: str, port: int) -> tuple[str, int]:
        """An address that its sockets may have, else OSError; any port for 0."""
        ip = ip or ANY[0]
        if ip not in (*ANY, self.ip) and not is_loopback(ip):
            raise OSError(
                errno.EADDRNOTAVAIL,
                f"error while attempting to bind on address ({ip!r}, {port}): "
                f"cannot assign requested address, as {self.name} has {self.ip}",
            )
        return ip, port or self.port()

    def listen(self, ip: str, port: int, backlog: int) -> Listener:
        ip, port = self.bindable(ip, port)
        if any(taken == port and (at == ip or at in ANY or ip in ANY) for at, taken in self.listeners):
            raise OSError(
                errno.EADDRINUSE,
                f"error while attempting to bind on address ({ip!r}, {port}): address already in use",
            )
        self.take_descriptor()
        listener = self.listeners[ip, port] = Listener(self, ip, port, backlog, self.when_full)
        return listener

    def listener(self, ip: str, port: int) -> Listener | None:
        for at in (ip, *ANY):
            if found := self.listeners.get((at, port)):
                return found
        return None
