"""Everything that one real balancer is told: the file and the environment, checked."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..policy.interface import Settings
from .address import Address, read_address
from .agreement import Agreement, read_agreement
from .errors import ConfigError
from .limits import read_cores, read_memory_mb, read_positive, read_sockets, split_sockets
from .pairs import Pairs, encodable
from .peers import PeersConfig, read_peers
from .settings import read_settings


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that one real balancer is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float  # CPU time that the process may use, in cores
    memory_mb: float  # resident memory that it may use; 0: no limit
    sockets: int  # descriptors that it may hold
    known: Mapping[str, object]  # the list of instances as last held, in discovery's form
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    conn_idle_us: int
    dial_timeout_us: int
    max_open: int  # exchanges at once; more are turned away before the module
    client_sockets: int  # connections of clients at once
    instance_sockets: int  # and to instances
    admin: Address | None = None  # where operators call; None: nowhere
    socket_fd: int | None = None  # a listening socket that is inherited; None: `listen` is bound
    shared_dir: str | None = None  # kept from one process to its successor; None: there is none
    agreement: Agreement | None = None  # None: discovery's list alone, and the settings of the file
    peers: PeersConfig | None = None  # other balancers; None: this one works alone

    @property
    def hall(self) -> str:
        """The name of the hall that this balancer stands in; its number where it has no name."""
        number = self.settings.zone
        return self.zones[number] if number < len(self.zones) else str(number)

    @property
    def longest_s(self) -> float:
        """The longest time that a client waits for one answer."""
        return max(c.deadline_us for c in self.settings.classes) / 1e6


def read_config(raw: object, env: Mapping[str, str], again: bool = False) -> Config:
    """Check a parsed configuration; the variables PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and
    PROXY_ADMIN_ADDR go before the file.

    Read `again`, the file's `discovery` goes first: the variable tells what held at the start and cannot
    change, so a new address in the file would never be seen.
    """
    if not isinstance(raw, dict):
        raise ConfigError("configuration: must be an object")
    seed = _read_seed(raw.get("seed", "0"))
    limits, known = _read_object(raw, "limits"), _read_object(raw, "known")
    sockets, cores, memory_mb = read_sockets(limits), read_cores(limits), read_memory_mb(limits)
    name = _read_text(raw, env, "name")
    listen = read_address("listen", _read_text(raw, env, "listen"))
    discovery = read_address("discovery", _read_text(raw, env, "discovery", file_first=again))
    if "settings" not in raw:
        raise ConfigError("settings: is missing")
    pairs = Pairs.from_json(raw["settings"])
    conn_idle_us = read_positive(pairs, "conn_idle_us", "10000000")
    dial_timeout_us = read_positive(pairs, "dial_timeout_us", "250000")
    max_open = read_positive(pairs, "max_open", "20000")
    client_sockets, instance_sockets = split_sockets(sockets)
    settings = _read_named_settings(pairs)
    admin = env.get("PROXY_ADMIN_ADDR") or raw.get("admin_addr")
    socket_fd = _read_socket_fd(env)
    return Config(
        name=name,
        listen=listen,
        discovery=discovery,
        seed=seed,
        cores=cores,
        memory_mb=memory_mb,
        sockets=sockets,
        known=known,
        settings=settings,
        zones=pairs.words("dcs"),
        kinds=pairs.words("machine_types"),
        conn_idle_us=conn_idle_us,
        dial_timeout_us=dial_timeout_us,
        max_open=min(max_open, client_sockets),
        client_sockets=client_sockets,
        instance_sockets=instance_sockets,
        admin=read_address("admin_addr", admin) if admin else None,
        socket_fd=socket_fd,
        shared_dir=None if socket_fd is None else env.get("TMPDIR") or None,
        peers=read_peers(raw.get("peers")),
        agreement=read_agreement(raw["agreement"], pairs.values) if "agreement" in raw else None,
    )


def _read_seed(value: object) -> int:
    """A hexadecimal text, or a number."""
    try:
        if isinstance(value, str):
            return int(value, 16)
        if isinstance(value, int | float):
            return int(value)
    except (ValueError, OverflowError):
        pass
    raise ConfigError(f"seed: {value!r} is not a hexadecimal number")


def _read_object(raw: Mapping[str, object], key: str) -> Mapping[str, object]:
    value = raw.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: must be an object")
    return value


def _read_text(raw: Mapping[str, object], env: Mapping[str, str], key: str, file_first: bool = False) -> str:
    """A key that the environment can give too."""
    from_env, from_file = env.get("PROXY_" + key.upper()), raw.get(key)
    value = from_file or from_env if file_first else from_env or from_file
    if not value:
        raise ConfigError(f"{key}: is missing, and PROXY_{key.upper()} is not set")
    try:
        return encodable(str(value))
    except ValueError:
        raise ConfigError(f"{key}: cannot read {value!r}") from None


def _read_named_settings(pairs: Pairs) -> Settings:
    """The settings, each of whose classes must have a name, as a request's path begins with it."""
    settings = read_settings(pairs)
    for i, c in enumerate(settings.classes):
        if not c.name:
            raise ConfigError(f"settings: classes.{i}.name is missing; no path would lead to this class")
    return settings


def _read_socket_fd(env: Mapping[str, str]) -> int | None:
    fd = env.get("PROXY_SOCKET_FD")
    if not fd:
        return None
    if not (fd.isascii() and fd.isdigit()):
        raise ConfigError(f"PROXY_SOCKET_FD: {fd!r} is not the number of a descriptor")
    return int(fd)


def load(env: Mapping[str, str], again: bool = False) -> Config:
    """Read the file that PROXY_CONFIG names; `again` while the program runs."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: is not set; it names the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as e:
        raise ConfigError(f"PROXY_CONFIG: cannot read {path}: {e.strerror}") from None
    except (ValueError, RecursionError) as e:
        raise ConfigError(f"PROXY_CONFIG: {path} is not JSON: {e}") from None
    return read_config(raw, env, again)
