"""The one place where configuration is read, checked and given defaults; every message names its key.

The decision module's settings come in two forms with the same names and units: as path=value lines on the
simulator's wire, and as nested JSON in a real balancer's configuration.  Both become one flat table of
texts, read by one reader.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from .policy.interface import Effect, Group, RequestClass, Settings, Tenant
from .sites.refusal import RANKS, PlanLine

T = TypeVar("T")

EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
# Of the time after which an instance drops an idle connection, we keep one for this part, and for one sweep
# of the pool more: a request that crosses the closing is a reset, and an order among those is lost.
IDLE_PART = 0.7
# 37 were counted in a process with a full admin listener and no watch.  A watch and the one that takes its
# place, a caller too many, a look at a lock, the hand-over's file, the datagrams and some just being closed
# come to it.
SPARE_SOCKETS = 48
GROUPED = "costs", "domain", "invariants", "limits", "report"  # keys of the settings that hold objects
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


NUMBER_MOST = 1 << 53  # above, not each integer has a number of its own


class ConfigError(Exception):
    """Configuration that cannot be used; the text names the key and is for a person."""


def encodable(text: str) -> str:
    """The text, or ValueError if it has no bytes: half of a surrogate pair."""
    text.encode()
    return text


class Pairs:
    """A table of path=value; a path asked for and absent gives its default, or an error."""

    def __init__(self, values: Mapping[str, str], source: str) -> None:
        self.values, self.source = values, source

    @classmethod
    def from_text(cls, text: str) -> Pairs:
        """The lines of a setup text."""
        values = {}
        for line in text.splitlines():
            path, sep, value = line.partition("=")
            if not sep and line.strip():
                raise ConfigError(f"setup: not a path=value line: {line[:60]!r}")
            values[path] = value
        return cls(values, "setup")

    @classmethod
    def from_json(cls, settings: object) -> Pairs:
        """Nested JSON, under the paths that the same settings have in a setup text."""
        values: dict[str, str] = {}

        def flatten(path: str, value: object) -> None:
            if isinstance(value, dict):
                for key, inner in value.items():
                    flatten(f"{path}.{key}" if path else str(key), inner)
            elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
                values[path + ".count"] = str(len(value))
                for i, inner in enumerate(value):
                    flatten(f"{path}.{i}", inner)
            elif isinstance(value, list):
                values[path] = ",".join(str(v) for v in value)
            elif isinstance(value, bool):
                values[path] = "true" if value else "false"
            elif value is not None:
                values[path] = str(value)

        if not isinstance(settings, dict):
            raise ConfigError("settings: must be an object")
        for key in GROUPED:
            if settings.get(key) is not None and not isinstance(settings[key], dict):
                raise ConfigError(f"settings: {key}: must be an object")
        flatten("", settings)
        return cls(values, "settings")

    def read(self, path: str, read: Callable[[str], T], default: str | None = None) -> T:
        value = self.values.get(path, default)
        if value is None:
            raise ConfigError(f"{self.source}: {path} is missing")
        try:
            return read(value)
        except (ValueError, KeyError, OverflowError):
            raise ConfigError(f"{self.source}: {path}: cannot read {value!r}") from None

    def integer(self, path: str, default: str | None = None, least: int | None = None) -> int:
        return int(self.number(path, default, least))

    def number(self, path: str, default: str | None = None, least: float | None = None) -> float:
        """A number in JSON's sense, of at least `least`, which arithmetic keeps apart from its neighbours."""
        value = self.read(path, float, default)
        if not abs(value) <= NUMBER_MOST:
            raise ConfigError(f"{self.source}: {path}: cannot read {self.values.get(path, default)!r}")
        if least is not None and value < least:
            raise ConfigError(f"{self.source}: {path}: {value:g} must be at least {least:g}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.read(path, {"true": True, "false": False}.__getitem__, default)

    def word(self, path: str, default: str | None = None) -> str:
        return self.read(path, encodable, default)

    def count(self, name: str, default: str | None = None) -> int:
        """How many objects the list of this name has; what is no list of objects is an error."""
        if default is not None and (
            self.values.get(name)
            or f"{name}.count" not in self.values
            and any(path.startswith(f"{name}.") for path in self.values)
        ):
            raise ConfigError(f"{self.source}: {name}: must be a list of objects")
        return self.integer(f"{name}.count", default, least=0)

    def distinct(self, name: str, names: Sequence[str]) -> None:
        """Of two objects with one name the first would never be asked for."""
        for i, told in enumerate(names):
            if told and told in names[:i]:
                raise ConfigError(f"{self.source}: {name}.{i}.name: {told!r} is there twice")

    def words(self, path: str) -> tuple[str, ...]:
        return tuple(w for w in self.word(path, "").split(",") if w)


PLAN_WORDS: dict[str, dict[str, bool]] = {
    "share": {"over": True, "within": False},
    "try": {"repeat": True, "first": False},
    "key": {"warm": True, "cold": False},
}


def read_plan(p: Pairs, classes: Sequence[str], tenants: Sequence[str]) -> tuple[PlanLine, ...]:
    """`refusal.plan`: what is refused first, line by line; each word is checked and none is passed over."""
    count = p.integer("refusal.plan.count", "0")
    if count >= RANKS:
        raise ConfigError(f"{p.source}: refusal.plan: has {count} lines; leave at most {RANKS - 1}")
    if p.word("refusal.plan", ""):
        raise ConfigError(f"{p.source}: refusal.plan: {p.word('refusal.plan')!r} is no list of objects")
    for path in p.values:
        if path.startswith("refusal.") and path != "refusal.plan" and not path.startswith("refusal.plan."):
            raise ConfigError(f"{p.source}: {path}: is not known; there is refusal.plan")
    lines = []
    for i in range(count):
        at = f"refusal.plan.{i}."
        told = {path.removeprefix(at): value for path, value in p.values.items() if path.startswith(at)}
        words: dict[str, bool | None] = {}
        numbers: dict[str, int | None] = {"class": None, "customer": None}
        for key, value in told.items():
            if key in PLAN_WORDS:
                if value not in PLAN_WORDS[key]:
                    known = " or ".join(PLAN_WORDS[key])
                    raise ConfigError(f"{p.source}: {at}{key}: {value!r} is not {known}")
                words[key] = PLAN_WORDS[key][value]
            elif key in numbers:
                names = classes if key == "class" else tenants
                if value not in names:
                    known = ", ".join(names) or "none"
                    raise ConfigError(f"{p.source}: {at}{key}: there is no {value!r}; there are {known}")
                numbers[key] = list(names).index(value)
            else:
                known = ", ".join([*numbers, *PLAN_WORDS])
                raise ConfigError(f"{p.source}: {at}{key}: is not known; there are {known}")
        lines.append(
            PlanLine(
                numbers["class"], numbers["customer"], words.get("share"), words.get("try"), words.get("key")
            )
        )
    return tuple(lines)


def read_settings(source: str | Pairs) -> Settings:
    """The decision module's settings; what is not known here is skipped."""
    p = source if isinstance(source, Pairs) else Pairs.from_text(source)
    classes = []
    for i in range(p.count("classes")):
        at = f"classes.{i}."
        classes.append(
            RequestClass(
                name=p.word(at + "name", ""),
                aim_us=p.integer(at + "promise_us", least=1),
                deadline_us=p.integer(at + "deadline_us", least=1),
                worth=p.number(at + "value", least=0),
                late_worth=p.number(at + "late_worth", "0"),
                effect=p.read(at + "effect", EFFECTS.__getitem__),
                group=p.read(at + "group", GROUPS.__getitem__, "all"),
                window_us=p.integer(at + "window_us", "0"),
                stream=p.flag(at + "stream", "false"),
            )
        )
    tenants = [
        Tenant(p.word(f"tenants.{i}.name", ""), p.number(f"tenants.{i}.quota_per_s", least=0))
        for i in range(p.count("tenants", "0"))
    ]
    retry_after = p.flag("limits.retry_after", "true")
    p.distinct("classes", [c.name for c in classes])
    p.distinct("tenants", [t.name for t in tenants])
    settings = Settings(
        classes=classes,
        tenants=tenants,
        instance=p.integer("me", least=0),
        instances=p.integer("instances"),
        zone=p.integer("az", "0"),
        over_share_worth=p.number("over_share_worth", "1"),
        worth_by_work=p.word("counted_by", "request") == "work",
        warm_keys=p.flag("domain.warm_keys", "false"),
        discovery_on_request=p.word("discovery") == "on_request",
        weight_source=p.word("weight_source", "off"),
        report_source=p.word("report.source", "off"),
        report_fields=tuple(FIELDS.get(f, f) for f in p.words("report.fields")),
        cross_zone_cost=p.number("costs.cross_zone", "0", least=0),
        probe_cost=p.number("costs.probe", "0", least=0),
        cancelling=p.flag("limits.cancelling", "false"),
        second_copies=p.flag("limits.second_copies", "false"),
        max_attempts=p.integer("limits.max_attempts"),
        # Clients that are not to be told when to come back are told nothing, rather than to come at once.
        max_retry_after_us=p.integer("limits.max_retry_after_us", "0") if retry_after else 0,
        probes=p.flag("limits.probes", "false"),
        peers=p.flag("limits.peers", "false"),
        ask_within_us=p.integer("invariants.ask_within_us", "10000000"),
        cold_from=p.number("invariants.cold_from"),
        cold_us=p.integer("invariants.cold_us"),
        fall_multiple=p.number("invariants.fall_multiple"),
        fall_us=p.integer("invariants.fall_us"),
        handshake_cost=p.number("costs.handshake", "0", least=0),
        refusals=read_plan(p, [c.name for c in classes], [t.name for t in tenants]),
        keep_us=int(p.integer("limits.conn_idle_us", "0") * IDLE_PART),
    )
    try:
        settings.check()
    except ValueError as e:
        raise ConfigError(f"{p.source}: {e}") from None
    return settings


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def read_address(key: str, text: object) -> Address:
    """`host:port`, an IPv6 host in brackets."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return Address(host.removeprefix("[").removesuffix("]"), int(port))


@dataclass(frozen=True, slots=True)
class Agreement:
    """How this balancer follows versions from control services; see docs/operating/following.md.

    `settings` are the module's, as the file says them by path.  Times are in seconds, None: what follows from
    the others.  `guard`: thresholds by name, for `fleet.guard.Thresholds`; `floors` by key, for the follower.
    """

    control: tuple[Address, ...]  # in order of preference
    store: str | None  # a directory; None: nothing outlives the process
    contradiction_s: float
    lease_s: float | None
    renew_s: float | None
    margin_s: float
    cluster: str
    guard: Mapping[str, float]
    floors: Mapping[str, str]
    settings: Mapping[str, str]


def read_agreement(raw: object, settings: Mapping[str, str]) -> Agreement:
    """The key `agreement`; what is not known in it is an error, as a misspelt bound would not be kept."""
    if not isinstance(raw, dict):
        raise ConfigError("agreement: must be an object")
    known = (
        "control",
        "store",
        "contradiction_s",
        "lease_s",
        "renew_s",
        "margin_s",
        "cluster",
        "guard",
        "floors",
    )
    for key in raw:
        if key not in known:
            raise ConfigError(f"agreement.{key}: is not known; there are {', '.join(known)}")
    control = raw.get("control")
    if not isinstance(control, list) or not control:
        raise ConfigError("agreement.control: must be a list of host:port, the most preferred first")

    def seconds(path: str, value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 86_400:
            raise ConfigError(f"agreement.{path}: {value!r} must lie between 0 and 86400 seconds")
        return float(value)

    if raw.get("contradiction_s") is None:
        raise ConfigError(
            "agreement.contradiction_s: is missing; the longest that two balancers may act on "
            "rules that contradict each other, in seconds"
        )
    told = {
        key: seconds(key, raw[key])
        for key in ("contradiction_s", "lease_s", "renew_s", "margin_s")
        if raw.get(key) is not None
    }
    tables: dict[str, dict[str, object]] = {}
    for key in ("guard", "floors"):
        tables[key] = raw.get(key) or {}
        if not isinstance(tables[key], dict):
            raise ConfigError(f"agreement.{key}: must be an object")
    for name, value in tables["guard"].items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ConfigError(f"agreement.guard.{name}: {value!r} must be a number")
    store, cluster = raw.get("store"), raw.get("cluster", "grid")
    if store is not None and (not isinstance(store, str) or not store):
        raise ConfigError(f"agreement.store: {store!r} must be the path of a directory")
    if not isinstance(cluster, str) or not cluster:
        raise ConfigError(f"agreement.cluster: {cluster!r} must be a name")
    return Agreement(
        tuple(read_address(f"agreement.control.{i}", at) for i, at in enumerate(control)),
        store,
        told["contradiction_s"],
        told.get("lease_s"),
        told.get("renew_s"),
        told.get("margin_s", 0.5),
        cluster,
        {name: float(str(value)) for name, value in tables["guard"].items()},
        {name: str(value) for name, value in tables["floors"].items()},
        settings,
    )


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """How this balancer talks to others; without the key `peers` it does not."""

    listen: Address  # UDP
    key: bytes  # shared by all
    cluster: str  # its name; another one's datagrams are dropped
    seeds: tuple[Address, ...]  # whom to ask first
    advertise: Address | None = None  # where others send to, if not to `listen`; port 0: listen's
    share: bool = False  # decide by what is shared, and not only show it
    repeats_per_s: float = 0.0  # that all together may make; 0: no bound
    dials_per_s: float = 0.0  # requests of all together to a hall that is lost or returns


KEY_LEAST = 16  # bytes
PEERS_KEYS = (
    "listen",
    "advertise",
    "key",
    "key_file",
    "cluster",
    "seeds",
    "share",
    "repeats_per_s",
    "dials_per_s",
)


def read_peers(raw: object) -> PeersConfig | None:
    """The key `peers`; None where it is missing.  Hosts are numbers, so that no name need be looked up."""
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise ConfigError("peers: must be an object")
    for key in raw:
        if key not in PEERS_KEYS:
            raise ConfigError(f"peers.{key}: is not known; there are {', '.join(PEERS_KEYS)}")

    def number(key: str, value: object) -> Address:
        from ipaddress import ip_address

        at = read_address(f"peers.{key}", value)
        try:
            return Address(str(ip_address(at.host)), at.port)  # one spelling: datagrams are signed for it
        except ValueError:
            raise ConfigError(f"peers.{key}: {at.host!r} is no numeric address") from None

    if "listen" not in raw:
        raise ConfigError("peers.listen: is missing")
    listen = number("listen", raw["listen"])
    advertise = number("advertise", raw["advertise"]) if "advertise" in raw else None
    if advertise is None and listen.host in ("0.0.0.0", "::"):
        raise ConfigError(
            f"peers.listen: {listen.host} is no address that others can send to; set peers.advertise"
        )
    seeds, share, cluster = raw.get("seeds", []), raw.get("share", False), raw.get("cluster", "roadlb")
    if not isinstance(seeds, list):
        raise ConfigError("peers.seeds: must be a list of host:port")
    if not isinstance(share, bool):
        raise ConfigError(f"peers.share: {share!r} is not true or false")
    if not isinstance(cluster, str) or not cluster:
        raise ConfigError(f"peers.cluster: {cluster!r} is no name")
    rates = [raw.get(key, 0) for key in ("repeats_per_s", "dials_per_s")]
    for key, rate in zip(("repeats_per_s", "dials_per_s"), rates, strict=True):
        if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 <= rate < float("inf"):
            raise ConfigError(f"peers.{key}: {rate!r} must be a number of at least 0")
        if rate and not share:
            raise ConfigError(f"peers.{key}: needs peers.share")
    return PeersConfig(
        listen,
        _read_key(raw),
        cluster,
        tuple(number(f"seeds.{i}", seed) for i, seed in enumerate(seeds)),
        advertise,
        share,
        *rates,
    )


def _read_key(raw: Mapping[str, object]) -> bytes:
    """`peers.key`, or what the file that `peers.key_file` names holds, without white space at its ends."""
    if ("key" in raw) == ("key_file" in raw):
        raise ConfigError("peers.key: give either it or peers.key_file")
    at = "peers.key"
    if "key" in raw:
        key = str(raw["key"]).encode()
    else:
        at = "peers.key_file"
        try:
            key = Path(str(raw["key_file"])).read_bytes().strip()
        except OSError as e:
            raise ConfigError(f"{at}: cannot read {raw['key_file']}: {e.strerror}") from None
    if len(key) < KEY_LEAST:
        raise ConfigError(f"{at}: holds {len(key)} bytes; at least {KEY_LEAST} are needed")
    return key


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

    def told(key: str) -> str:
        told_by = [env.get("PROXY_" + key.upper()), raw.get(key)]
        value = told_by[1] or told_by[0] if again and key == "discovery" else told_by[0] or told_by[1]
        if not value:
            raise ConfigError(f"{key}: is missing, and PROXY_{key.upper()} is not set")
        try:
            return encodable(str(value))
        except ValueError:
            raise ConfigError(f"{key}: cannot read {value!r}") from None

    seed, limits, known = raw.get("seed", "0"), raw.get("limits", {}), raw.get("known", {})
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    for key, value in (("limits", limits), ("known", known)):
        if not isinstance(value, dict):
            raise ConfigError(f"{key}: must be an object")
    sockets = limits.get("sockets", 1024)
    if isinstance(sockets, bool) or not isinstance(sockets, int | float) or not 64 <= sockets < 1e9:
        raise ConfigError(f"limits.sockets: {sockets!r} must be a number of at least 64")
    amounts = {}
    for key, most in (("cores", 1.0), ("memory_mb", 0.0)):  # without a word, the one core it can use
        amounts[key] = limits.get(key, most)
        if (
            isinstance(amounts[key], bool)
            or not isinstance(amounts[key], int | float)
            or (not 0 <= amounts[key] < float("inf"))
            or key == "cores"
            and not amounts[key]
        ):
            raise ConfigError(f"limits.{key}: {amounts[key]!r} must be a positive number")
    if "settings" not in raw:
        raise ConfigError("settings: is missing")
    pairs = Pairs.from_json(raw["settings"])
    limits_of = {}
    for key, default in (("conn_idle_us", "10000000"), ("dial_timeout_us", "250000"), ("max_open", "20000")):
        limits_of[key] = pairs.integer("limits." + key, default)
        if limits_of[key] <= 0:
            raise ConfigError(f"settings: limits.{key}: must be positive")
    # Halves: an exchange holds a client's connection and one or two to instances, but clients that have no
    # request open, or never send one, hold connections as well.
    client_sockets = (int(sockets) - SPARE_SOCKETS) // 2
    limits_of["max_open"] = min(limits_of["max_open"], client_sockets)
    settings = read_settings(pairs)
    for i, c in enumerate(settings.classes):
        if not c.name:
            raise ConfigError(f"settings: classes.{i}.name is missing; no path would lead to this class")
    admin = env.get("PROXY_ADMIN_ADDR") or raw.get("admin_addr")
    fd = env.get("PROXY_SOCKET_FD")
    if fd and not (fd.isascii() and fd.isdigit()):
        raise ConfigError(f"PROXY_SOCKET_FD: {fd!r} is not the number of a descriptor")
    return Config(
        name=told("name"),
        listen=read_address("listen", told("listen")),
        **amounts,
        discovery=read_address("discovery", told("discovery")),
        seed=seed,
        sockets=int(sockets),
        known=known,
        settings=settings,
        zones=pairs.words("dcs"),
        kinds=pairs.words("machine_types"),
        admin=read_address("admin_addr", admin) if admin else None,
        socket_fd=int(fd) if fd else None,
        shared_dir=(env.get("TMPDIR") or None) if fd else None,
        peers=read_peers(raw.get("peers")),
        agreement=read_agreement(raw["agreement"], pairs.values) if "agreement" in raw else None,
        client_sockets=client_sockets,
        instance_sockets=int(sockets) - SPARE_SOCKETS - client_sockets,
        **limits_of,
    )


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
