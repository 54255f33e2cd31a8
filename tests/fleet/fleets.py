"""Generated fleets, for property tests: any data that the model can hold and the wire can say."""

from __future__ import annotations

from types import MappingProxyType

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from roadlb.fleet.model import (
    Cluster,
    Drop,
    Endpoint,
    Health,
    Lifecycle,
    Locality,
    LocalityGroup,
    NodeId,
    Picture,
    Place,
    by_group,
    group_key,
)

# The same examples every time; 40 of two pictures take 1 s.
SAME = settings(derandomize=True, deadline=None, max_examples=40, suppress_health_check=list(HealthCheck))
# A few characters that matter: hypothesis' whole Unicode costs 2 s to set up.
LETTERS = st.sampled_from('az09-/: "\\\né中😀')
TEXTS = st.text(LETTERS, max_size=4)
NAMES = st.text(LETTERS, min_size=1, max_size=4)
HOSTS = st.sampled_from(("10.0.0.1", "10.0.0.2", "10.1.0.18", "::1", "grid-7.internal"))
PORTS = st.integers(1, 65535)
WEIGHTS = st.one_of(st.sampled_from((0.0, 0.25, 1.0, 1 / 3, 2.0, 128.0)), st.floats(0, 1e6, allow_nan=False))
PLAIN = st.recursive(
    st.one_of(st.none(), st.booleans(), st.floats(allow_nan=False), TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=2).map(tuple),
        st.dictionaries(TEXTS, inner, max_size=2).map(MappingProxyType),
    ),
    max_leaves=4,
)
SPACES = st.dictionaries(TEXTS, PLAIN, max_size=2).map(MappingProxyType)
METADATA = st.dictionaries(st.sampled_from(("envoy.lb", "roadlb.platform", "x")), SPACES, max_size=2).map(
    MappingProxyType
)
ZONES = st.builds(
    Locality,
    st.sampled_from(("", "zilina")),
    st.sampled_from(("", "a", "b")),
    st.sampled_from(("", "rack 1")),
)
NODES = st.builds(NodeId, NAMES, st.sampled_from((0, 1, 1_790_000_000_000, 2**60)))
ENDPOINTS = st.builds(
    Endpoint,
    NODES,
    HOSTS,
    PORTS,
    ZONES,
    st.sampled_from(Lifecycle),
    st.sampled_from(Health),
    WEIGHTS,
    st.integers(0, 2),
    st.sampled_from(("", "m1", "m2")),
    st.integers(0, 2**60),
    st.sampled_from(("", "h")),
    st.lists(st.builds(Place, HOSTS, PORTS), max_size=2).map(tuple),
    METADATA,
)
DROPS = st.builds(Drop, NAMES, st.integers(0, 1_000_000))


@st.composite
def clusters(draw: st.DrawFn, name: str = "grid", most: int = 6) -> Cluster:
    """Endpoints stand by group, as on the wire; some are told twice."""
    endpoints = draw(st.lists(ENDPOINTS, max_size=most))
    if endpoints and draw(st.booleans()):
        endpoints.append(draw(st.sampled_from(endpoints)))
    loose = Cluster(name, tuple(endpoints))
    groups = []
    for locality, priority, part in by_group(loose):
        weight = draw(st.one_of(st.none(), st.integers(1, 1000)))
        groups.append(LocalityGroup(locality, priority, part, weight))
    if draw(st.booleans()):
        groups.append(LocalityGroup(Locality("far", "z"), weight=draw(st.sampled_from((None, 9)))))
    groups = draw(st.permutations(groups))
    ordered = [e for group in groups for e in endpoints if group_key(e) == group_key(group)]
    return Cluster(name, tuple(ordered), tuple(groups), tuple(draw(st.lists(DROPS, max_size=2))))


@st.composite
def pictures(draw: st.DrawFn) -> Picture:
    names = draw(st.lists(st.sampled_from(("grid", "maps", "radar")), unique=True))
    return Picture(draw(st.integers(1, 9)), MappingProxyType({n: draw(clusters(n, 3)) for n in names}))


def node(name: str, start: int = 0, **fields: object) -> Endpoint:
    """An endpoint with an address made from its name."""
    at: dict[str, object] = {"host": f"10.0.0.{sum(name.encode()) % 250}", "port": 80}
    return Endpoint(NodeId(name, start), **(at | fields))  # type: ignore[arg-type]


def picture(generation: int, *endpoints: Endpoint, name: str = "grid") -> Picture:
    return Picture(generation, MappingProxyType({name: Cluster(name, endpoints)}))
