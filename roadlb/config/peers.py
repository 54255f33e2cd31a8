"""The key `peers`: how a balancer talks to others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from .address import Address, read_address
from .errors import ConfigError


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
    listen, advertise = _read_own_addresses(raw)
    seeds, share, cluster = raw.get("seeds", []), raw.get("share", False), raw.get("cluster", "roadlb")
    if not isinstance(seeds, list):
        raise ConfigError("peers.seeds: must be a list of host:port")
    if not isinstance(share, bool):
        raise ConfigError(f"peers.share: {share!r} is not true or false")
    if not isinstance(cluster, str) or not cluster:
        raise ConfigError(f"peers.cluster: {cluster!r} is no name")
    repeats_per_s = _read_rate(raw, "repeats_per_s", share)
    dials_per_s = _read_rate(raw, "dials_per_s", share)
    return PeersConfig(
        listen,
        _read_key(raw),
        cluster,
        tuple(_read_numeric(f"seeds.{i}", seed) for i, seed in enumerate(seeds)),
        advertise,
        share,
        repeats_per_s,
        dials_per_s,
    )


def _read_own_addresses(raw: Mapping[str, object]) -> tuple[Address, Address | None]:
    """`listen` and `advertise`; one of them must be an address that others can send to."""
    if "listen" not in raw:
        raise ConfigError("peers.listen: is missing")
    listen = _read_numeric("listen", raw["listen"])
    advertise = _read_numeric("advertise", raw["advertise"]) if "advertise" in raw else None
    if advertise is None and listen.host in ("0.0.0.0", "::"):
        raise ConfigError(
            f"peers.listen: {listen.host} is no address that others can send to; set peers.advertise"
        )
    return listen, advertise


def _read_numeric(key: str, value: object) -> Address:
    from ipaddress import ip_address

    at = read_address(f"peers.{key}", value)
    try:
        return Address(str(ip_address(at.host)), at.port)  # one spelling: datagrams are signed for it
    except ValueError:
        raise ConfigError(f"peers.{key}: {at.host!r} is no numeric address") from None


def _read_rate(raw: Mapping[str, object], key: str, share: bool) -> float:
    rate = raw.get(key, 0)
    if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 <= rate < float("inf"):
        raise ConfigError(f"peers.{key}: {rate!r} must be a number of at least 0")
    if rate and not share:
        raise ConfigError(f"peers.{key}: needs peers.share")
    return rate


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
