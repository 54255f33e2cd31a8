"""The simulated network: hosts in halls, the links between them, faults, and taps."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextvars import Context, copy_context
from dataclasses import replace
from typing import Any

from .dial import Dial, Verdict
from .errors import SimError, refuse
from .host import Host
from .loop import SimLoop
from .names import Names, is_literal, is_loopback
from .route import Link, Route
from .server import SimServer
from .sockets import SimSocket, StandIns
from .taps import Tap, Taps
from .tcp import Connection, End
from .transport import SimTransport

LOOPBACK_US = 15  # one way, within one host
SEND_BUFFER = 64 * 1024
RECEIVE_BUFFER = 128 * 1024  # Linux's first receive buffer

# Asked when a dial has arrived: source, target, port.  None: no opinion.
Rule = Callable[[Host, Host, int], Verdict | None]

LINK_SETTINGS = (
    "delay_us",
    "jitter_us",
    "bytes_per_s",
    "segment_bytes",
    "split",
    "lose",
    "repeat",
    "cut_short",
)
_TLS_OPTIONS = ("ssl", "server_hostname", "ssl_handshake_timeout", "ssl_shutdown_timeout")


class Network:
    """One for each loop, which it tells of itself.

    `link`: what every link is unless `link()` says otherwise (a copy for each direction).
    `abort_resets`: `transport.abort()` resets the connection; asyncio's and uvloop's own end it in order,
    unless bytes lie unread.
    """

    def __init__(
        self,
        loop: SimLoop,
        *,
        link: Link | None = None,
        deferred_writes: bool = False,
        abort_resets: bool = True,
        send_buffer: int = SEND_BUFFER,
        receive_buffer: int = RECEIVE_BUFFER,
    ) -> None:
        if loop.network is not None:
            raise SimError("this loop has a network already: use loop.network")
        loop.network = self
        self.loop, self.abort_resets = loop, abort_resets
        self.rng = loop.random("network")
        self.names, self.taps, self.stand_ins = Names(), Taps(), StandIns()
        self.hosts: dict[str, Host] = {}
        self._link = link or Link()
        self._host_settings: dict[str, Any] = {
            "deferred_writes": deferred_writes,
            "send_buffer": send_buffer,
            "receive_buffer": receive_buffer,
        }
        self._links: dict[tuple[str, str], Link] = {}
        self._routes: dict[tuple[Host, Host], Route] = {}
        self._by_ip: dict[str, Host] = {}
        self._connections: dict[int, Connection] = {}
        self._opened = 0
        self._rules: list[Rule] = []

    # Hosts and links

    def host(self, name: str, hall: str = "a", ip: str | None = None, **settings: Any) -> Host:
        """A new host; `ip` unless told: the next one of 10.0.0.0/16.  `settings`: see `Host`."""
        number = len(self.hosts) + 1
        ip = ip or f"10.0.{number >> 8}.{number & 255}"
        if name in self.hosts or ip in self._by_ip or not is_literal(ip):
            raise ValueError(f"host {name!r} at {ip!r}: both must be new, and the second an IP address")
        host = Host(self, name, ip, hall, **(self._host_settings | settings))
        self.hosts[name] = self._by_ip[ip] = host
        self.names.set(name, ip)
        return host

    def one_way(self, hall: str, to_hall: str) -> Link:
        """The link from one hall to another (or within one), to be read or changed."""
        if (hall, to_hall) not in self._links:
            self._links[hall, to_hall] = replace(self._link)
        return self._links[hall, to_hall]

    def link(self, hall: str, other: str, **changes: Any) -> None:
        """Change both directions: any of LINK_SETTINGS, see `Link`."""
        for link in (self.one_way(hall, other), self.one_way(other, hall)):
            for name, value in changes.items():
                if name not in LINK_SETTINGS:
                    raise ValueError(f"a link has no {name!r}: it has {', '.join(LINK_SETTINGS)}")
                setattr(link, name, value)

    def route(self, source: Host, target: Host) -> Route:
        route = self._routes.get((source, target))
        if route is None:
            link = Link(LOOPBACK_US) if source is target else self.one_way(source.hall, target.hall)
            route = self._routes[source, target] = Route(self.loop, source, target, link)
        return route

    def machine(self, source: Host, ip: str) -> Host | None:
        """Whom an IP leads to from a host; None: to nobody, and nothing answers."""
        return source if is_loopback(ip) or ip in ("0.0.0.0", "::") else self._by_ip.get(ip)

    # Faults

    def cut(self, hall: str, other: str, *, both: bool = True) -> None:
        """Silence from one hall to another and, with `both`, back.  What TCP holds comes after `heal`."""
        for link in [self.one_way(hall, other), *([self.one_way(other, hall)] if both else [])]:
            link.cut = True
        self.look_again()

    def heal(self, hall: str | None = None, other: str | None = None) -> None:
        """End a cut in both directions; with no halls named: all cuts."""
        for (one, two), link in self._links.items():
            if hall is None or {one, two} == {hall, other}:
                link.cut = False
        self.look_again()

    def look_again(self) -> None:
        for route in tuple(self._routes.values()):
            route.look_again()

    def connections(self) -> list[Connection]:
        """All that are not over, oldest first."""
        return list(self._connections.values())

    def reset_share(self, share: float, among: Iterable[Connection] | None = None) -> int:
        """Reset a share of these connections (of all), drawn by the seed; how many."""
        chosen = list(self._connections.values() if among is None else among)
        count = round(share * len(chosen))
        for connection in self.rng.sample(chosen, count):
            connection.reset()
        return count

    def rule(self, rule: Rule) -> Callable[[], None]:
        """Have dials decided on by a rule; the first that has an opinion counts.  Returns what ends it."""
        self._rules.append(rule)
        return lambda: self._rules.remove(rule)

    def verdict(self, source: Host, target: Host, port: int) -> Verdict:
        for rule in self._rules:
            if (verdict := rule(source, target, port)) is not None:
                return verdict
        return target.dials_answered

    # What is seen

    def tap(self, tap: Tap) -> Callable[[], None]:
        """Call `tap(Seen)` for each thing that arrives; returns what ends that."""
        return self.taps.add(tap)

    def digest(self) -> str:
        """Of all that arrived so far: the same for the same seed."""
        return self.taps.digest()

    def end(self) -> None:
        """The rehearsal is over: all hosts die, so that nothing of them runs while the loop shuts down."""
        for host in self.hosts.values():
            host.kill()

    def close(self) -> None:
        """With the loop."""
        self.stand_ins.close()

    # For the loop

    def connect(self, client: End, server: End) -> Connection:
        self._opened += 1
        return Connection(self._opened, client, server, self._connections)

    def transport(
        self,
        end: End,
        protocol: asyncio.BaseProtocol,
        context: Context,
        *,
        server: SimServer | None = None,
        waiter: asyncio.Future[None] | None = None,
    ) -> SimTransport:
        return SimTransport(
            self.loop,
            end,
            protocol,
            context,
            server=server,
            waiter=waiter,
            deferred=end.host.deferred_writes,
            abort_resets=self.abort_resets,
        )

    def socket(self, like: Any = None) -> SimSocket:
        """A new socket of the host that calls; as `socket_factory` it is given what `getaddrinfo` told."""
        family = like[0] if like else socket.AF_INET
        return SimSocket(self, self.loop.current_host(), family=family)

    async def create_server(
        self,
        machine: Host,
        factory: Callable[[], asyncio.BaseProtocol],
        host: Any,
        port: Any,
        *,
        family: int = 0,
        flags: int = 0,
        sock: Any = None,
        backlog: int = 100,
        reuse_address: bool | None = None,
        reuse_port: bool | None = None,
        start_serving: bool = True,
        **options: Any,
    ) -> SimServer:
        """See `asyncio`; `sock`: a `SimSocket`, whose own backlog is then the kernel's."""
        _plain("create_server", sock, options)
        if reuse_port:
            refuse("reuse_port", "listen once, or give each listener a host of its own")
        if sock is not None:
            if sock.listener is None:
                sock.listen(backlog)
            listeners = [sock.listener]
        else:
            listeners = []
            try:
                for ip in self._ips_to_bind(host, family):
                    listeners.append(machine.listen(ip, int(port or 0), backlog))
            except OSError:
                for listener in listeners:
                    listener.close()
                raise
        server = SimServer(self, listeners, factory, copy_context(), backlog)
        if start_serving:
            server.serve()
            await asyncio.sleep(0)  # as asyncio: the loop has begun to accept
        return server

    def _ips_to_bind(self, host: Any, family: int) -> list[str]:
        hosts = [host] if host is None or isinstance(host, str) else list(host)
        ips: dict[str, None] = {}
        for name in hosts:
            if name in (None, ""):
                ips["0.0.0.0"] = None
            else:
                for info in self.names.look_up(name, 0, family, socket.SOCK_STREAM):
                    ips[info[4][0]] = None
        return list(ips)

    async def create_connection(
        self,
        machine: Host,
        factory: Callable[[], asyncio.BaseProtocol],
        host: Any,
        port: Any,
        *,
        family: int = 0,
        proto: int = 0,
        flags: int = 0,
        sock: Any = None,
        local_addr: Any = None,
        happy_eyeballs_delay: float | None = None,
        interleave: int | None = None,
        **options: Any,
    ) -> tuple[SimTransport, asyncio.BaseProtocol]:
        """See `asyncio`; addresses are tried one after another."""
        _plain("create_connection", sock, options)
        if sock is not None:
            end = sock.end
            if end is None:
                raise ValueError(f"{sock!r} is not connected: await loop.sock_connect(sock, address) first")
        else:
            end = await self._dial_any(machine, host, port, family, local_addr)
        protocol = factory()
        waiter = self.loop.create_future()
        transport = self.transport(end, protocol, copy_context(), waiter=waiter)
        try:
            await waiter
        except BaseException:
            transport.close()
            raise
        return transport, protocol

    async def _dial_any(self, machine: Host, host: Any, port: Any, family: int, local_addr: Any) -> End:
        errors: list[OSError] = []
        for info in self.names.look_up(host, port, family, socket.SOCK_STREAM):
            try:
                return await self.dial(machine, info[4][0], info[4][1], local_addr)
            except OSError as error:
                errors.append(error)
        if len(errors) == 1 or len({str(error) for error in errors}) == 1:
            raise errors[0]
        raise OSError("Multiple exceptions: " + ", ".join(str(error) for error in errors))

    async def dial(self, machine: Host, ip: str, port: int, local_addr: Any = None) -> End:
        """Connect a socket of a host; OSError as `connect()` has it."""
        machine.take_descriptor()
        dial = None
        try:
            own_port = machine.take_port()
            try:
                if local_addr is not None:
                    machine.bindable(str(local_addr[0]), int(local_addr[1]))
                dial = Dial(self, machine, ip if is_loopback(ip) else machine.ip, own_port, ip, port)
                end = await dial.answer
            except BaseException:
                machine.give_back_port(own_port)
                raise
        except BaseException:
            if dial is not None:
                dial.give_up()
            machine.give_back_descriptor()
            raise
        life = machine.life

        def closed() -> None:
            machine.give_back_port(own_port)
            if machine.life is life:
                machine.give_back_descriptor()

        end.on_close = closed
        return end


def _plain(what: str, sock: Any, options: dict[str, Any]) -> None:
    """Refuse real sockets and TLS; unknown options are a TypeError as in asyncio."""
    if sock is not None and not isinstance(sock, SimSocket):
        refuse(f"{what} with a real socket", "give host and port, or a socket made by network.socket()")
    for name, value in options.items():
        if name not in _TLS_OPTIONS:
            raise TypeError(f"{what}() got an unexpected keyword argument {name!r}")
        if value:
            refuse(f"{what} with {name}", "leave TLS out of what is rehearsed")
