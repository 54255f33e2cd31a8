"""Cases of the xDS protocol by name: what arrives, and what is said to it.

A case is a list of steps.  `ask` is a request, written as the arguments that differ from the defaults;
`says` is what the stream answers, in short form: `C1 c0 c1` is the first response, of clusters, with c0 and
c1; `-c0` a removed one; `ack C`, `nack C`, `hold WHY`, `end`.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from roadlb.xds import delta, sotw
from roadlb.xds.conversation import Phase, Said
from roadlb.xds.delta import DeltaStream
from roadlb.xds.messages import (
    Acked,
    Action,
    Asked,
    Closed,
    DeltaRequest,
    DeltaResponse,
    DiscoveryRequest,
    End,
    ErrorDetail,
    Event,
    Hold,
    Nacked,
    Node,
    Published,
    Ready,
    Respond,
    Tick,
)
from roadlb.xds.resources import CLUSTER, ENDPOINTS, LISTENER, ROUTE, Resource, Snapshot
from roadlb.xds.sotw import SotwStream
from roadlb.xds.stream import NAMES_MOST, Stream

SHORT = {"C": CLUSTER, "E": ENDPOINTS, "L": LISTENER, "R": ROUTE}
LONG = {url: letter for letter, url in SHORT.items()}
NODE, NACK = Node("n"), ErrorDetail(3, "no")
TTL_NODE = Node("n", client_features=("xds.config.supports-resource-ttl",))
TTL_US = 9_000_000


def snapshot(
    generation: int, text: str, before: Snapshot | None = None, ttl_us: int | None = None
) -> Snapshot:
    """`Cc0=x Ec0` is a cluster c0 with the body x and endpoints of it with the body c0."""
    parts = [(word[0], *word[1:].partition("=")[::2]) for word in text.split()]
    return Snapshot.of(
        generation,
        [
            Resource.make(SHORT[kind], name, (body or name).encode(), generation, ttl_us)
            for kind, name, body in parts
        ],
        before,
    )


def short(action: Action) -> str:
    match action:
        case Respond(response):
            removed = response.removed_resources if isinstance(response, DeltaResponse) else ()
            names = [r.name + ("" if r.body else "~") for r in response.resources]
            names += [f"-{name}" for name in removed]
            return " ".join([LONG[response.type_url] + response.nonce, *names])
        case Acked(type_url):
            return f"ack {LONG[type_url]}"
        case Nacked(type_url):
            return f"nack {LONG[type_url]}"
        case Hold(why):
            return f"hold {why}"
        case End():
            return "end"
    raise AssertionError(action)


class Talk:
    """One stream, with a transport that is always ready."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.now, self.last = stream, 0, None

    def tell(self, event: Event, ready: bool = True) -> list[str]:
        self.now += 1
        actions, said = self.stream.handle(self.now, event), []
        while ready and any(isinstance(action, Respond) for action in actions):
            said += actions
            actions = self.stream.handle(self.now, Ready())
        return [short(action) for action in (*said, *actions)]

    def ask(self, kind: str, *names: str, nonce: str = "", nack: bool = False, **more: object) -> list[str]:
        """The first request of the stream brings the node."""
        more.setdefault("node", NODE if self.stream.node is None else None)
        error = NACK if nack else None
        if isinstance(self.stream, SotwStream):
            return self.tell(
                Asked(
                    DiscoveryRequest(
                        SHORT.get(kind, kind), names, response_nonce=nonce, error_detail=error, **more
                    )
                )
            )
        more_names = tuple(name for name in names if name[0] != "-")
        gone = tuple(name[1:] for name in names if name[0] == "-")
        return self.tell(
            Asked(
                DeltaRequest(
                    SHORT.get(kind, kind), more_names, gone, response_nonce=nonce, error_detail=error, **more
                )
            )
        )

    def publish(self, generation: int, text: str, **more: int) -> list[str]:
        return self.tell(Published(snapshot(generation, text, self.stream.snapshot, **more)))

    def wait(self, for_us: int) -> list[str]:
        """Ticks whenever the stream wants one."""
        until, said = self.now + for_us, []
        while self.stream.wake_at is not None and self.stream.wake_at <= until:
            self.now = self.stream.wake_at - 1
            said += self.tell(Tick())
        self.now = until
        return said


def talk(kind: type[Stream], text: str | None, generation: int = 1) -> Talk:
    return Talk(kind(None if text is None else snapshot(generation, text)))


# ---- what both variants have in common

BOTH = pytest.mark.parametrize("kind", [SotwStream, DeltaStream])


@BOTH
@pytest.mark.parametrize("table, phases", [(sotw.TABLE, 4), (delta.TABLE, 4)])
def test_the_table_has_each_pair_that_can_come(kind: type[Stream], table: dict, phases: int) -> None:
    possible = {
        (phase, said)
        for phase in Phase
        for said in Said
        if not (said in (Said.ACK, Said.NACK) and phase is not Phase.WAITING)
        and not (said is Said.REPEAT and phase is not Phase.ANSWERED)
    }
    assert set(table) == possible and len({phase for phase, _ in table}) == phases


@BOTH
@pytest.mark.parametrize(
    "request_of",
    [
        lambda t: t.ask("C", node=None),  # nobody asks
        lambda t: t.ask("C", node=Node("")),
        lambda t: t.ask("", node=NODE),  # for nothing
        lambda t: t.ask("C", nonce="7"),  # answers another stream's response
        lambda t: t.ask("C", nack=True),
        lambda t: t.ask("C") and t.ask("E", node=Node("other")),
        lambda t: t.ask("E", *map(str, range(NAMES_MOST + 1))),
        lambda t: t.ask("E", "x" * 1000),
        lambda t: t.tell(
            Asked(
                DeltaRequest(CLUSTER, node=NODE)
                if isinstance(t.stream, SotwStream)
                else DiscoveryRequest(CLUSTER, node=NODE)
            )
        ),
    ],
    ids="no_node no_id no_type foreign_nonce refuses_nothing other_node many_names long_name variant".split(),
)
def test_ends_with_a_reason_what_cannot_be_a_stream(
    kind: type[Stream], request_of: Callable[[Talk], list]
) -> None:
    t = talk(kind, "Cc0")
    assert request_of(t) == ["end"]
    assert t.ask("C") == [] and t.publish(2, "Cc1") == []  # and nothing after it


@BOTH
def test_an_unknown_type_is_silence_for_it_alone(kind: type[Stream]) -> None:
    t = talk(kind, "Cc0")
    assert t.ask("type.googleapis.com/unheard.of") == ["hold unknown type"]
    assert t.ask("C") == ["C1 c0"]


@BOTH
def test_nothing_published_yet_is_silence_not_emptiness(kind: type[Stream]) -> None:
    t = talk(kind, None)
    assert t.ask("C") == ["hold no snapshot"]
    assert t.publish(1, "Cc0") == ["C1 c0"]


@BOTH
def test_one_in_flight_and_then_the_newest_only(kind: type[Stream]) -> None:
    t = talk(kind, "Cc0")
    assert t.ask("C") == ["C1 c0"]
    assert [t.publish(n, f"Cc0={n}") for n in range(2, 9)] == [[]] * 7
    assert t.ask("C", nonce="1") == ["ack C", "C2 c0"]
    assert t.ask("C", nonce="2") == ["ack C"]


@BOTH
def test_a_blocked_transport_gets_the_newest_when_it_is_ready(kind: type[Stream]) -> None:
    t = talk(kind, "Cc0 Ec0")
    first = (DiscoveryRequest if kind is SotwStream else DeltaRequest)(CLUSTER, node=NODE)
    assert t.tell(Asked(first), ready=False) == ["C1 c0"]
    assert t.ask("E", "c0") == [] == t.publish(2, "Cc0 Ec0=new")
    assert t.tell(Ready()) == ["E2 c0"]
    assert t.ask("E", "c0" if kind is SotwStream else "-x", nonce="2") == ["ack E"]


@BOTH
def test_a_refused_version_is_not_sent_again_until_it_is_another(kind: type[Stream]) -> None:
    t = talk(kind, "Ca Cb")
    t.ask("C"), t.ask("C", nonce="1")
    assert t.publish(2, "Ca=bad Cb") != []
    assert t.ask("C", nonce="2", nack=True) == ["nack C"]
    assert t.publish(3, "Ca=bad Cb") == t.publish(4, "Ca=bad Cb Lx") == []
    assert t.publish(5, "Ca=good Cb") == ["C3 a b" if kind is SotwStream else "C3 a"]


@BOTH
def test_a_refusal_tells_the_last_accepted_version(kind: type[Stream]) -> None:
    t = talk(kind, "Ca")
    t.ask("C"), t.ask("C", nonce="1")
    first = t.stream.snapshot.collections[CLUSTER].version
    t.publish(2, "Ca=bad")
    request = {"type_url": CLUSTER, "response_nonce": "2", "error_detail": NACK}
    event = Asked(DiscoveryRequest(**request) if kind is SotwStream else DeltaRequest(**request))
    version = t.stream.snapshot.collections[CLUSTER].version
    assert t.stream.handle(9, event) == [Nacked(CLUSTER, "2", version, first, NACK)]


@BOTH
def test_silent_until_as_new_as_what_the_subscriber_has_seen(kind: type[Stream]) -> None:
    t, seen = talk(kind, "Ca", 5), Resource.make(CLUSTER, "a", b"newer", 9).version
    shown = {"version_info": seen} if kind is SotwStream else {"initial_resource_versions": {"a": seen}}
    assert t.ask("C", **shown) == ["hold behind"]
    assert t.publish(8, "Ca=8") == []  # still behind, told once
    assert t.publish(9, "Ca=9") == ["C1 a"]


@BOTH
def test_an_older_snapshot_is_not_taken(kind: type[Stream]) -> None:
    t = talk(kind, "Ca", 5)
    t.ask("C"), t.ask("C", nonce="1")
    assert t.tell(Published(snapshot(4, "Ca=old"))) == ["hold older"]
    assert t.stream.generation == 5


@BOTH
def test_closed_is_the_end(kind: type[Stream]) -> None:
    t = talk(kind, "Ca")
    t.ask("C"), t.tell(Closed())
    assert t.publish(2, "Cb") == [] and t.stream.wake_at is None


@BOTH
def test_routes_wait_for_the_endpoints_of_new_clusters_and_clusters_go_last(kind: type[Stream]) -> None:
    t, sotw_ = talk(kind, "Ca Ea Ll Rr=a"), kind is SotwStream
    for letter, names in ("C", ()), ("E", "a"), ("L", ()), ("R", "r"):
        t.ask(letter, *names)
    said = [t.ask(k, *names, nonce=n) for k, names, n in (("C", (), "1"), ("E", "a" * sotw_, "2"))]
    assert said == [["ack C"], ["ack E", "L3 l", "R4 r"]]
    t.ask("L", nonce="3"), t.ask("R", *"r" * sotw_, nonce="4")
    assert t.publish(2, "Cb Eb Ll Rr=b")[0] == f"C5 {'b a' if sotw_ else 'b'}"
    assert t.ask("C", nonce="5")[0] == "ack C" and t.stream.quiet is False
    assert t.ask("E", *("ab" if sotw_ else "b"), nonce="2")[0] == "E6 b"
    assert t.ask("E", *("ab" * sotw_), nonce="6")[:2] == ["ack E", "R7 r"]
    assert t.ask("R", *"r" * sotw_, nonce="7")[:2] == ["ack R", "C8 b" if sotw_ else "C8 -a"]
    assert t.ask("C", nonce="8")[:2] == ["ack C"] + [] if sotw_ else ["ack C", "E9 -a"]


@BOTH
def test_a_subscriber_that_answers_nothing_holds_nothing_up_for_ever(kind: type[Stream]) -> None:
    t = talk(kind, "Ca Ea Ll Rr=a")
    assert t.ask("C") == ["C1 a"] and t.ask("L") == ["hold order"]
    assert t.wait(2_000_000) == ["L2 l"]
    assert t.wait(60_000_000) == []


@BOTH
def test_endpoints_of_a_changed_cluster_are_sent_again_for_it_warms_again(kind: type[Stream]) -> None:
    t = talk(kind, "Ca Ea")
    t.ask("C"), t.ask("C", nonce="1"), t.ask("E", "a"), t.ask("E", *"a" * (kind is SotwStream), nonce="2")
    assert t.publish(2, "Ca=new Ea") == ["C3 a", "E4 a"]


@BOTH
def test_asking_in_a_loop_is_answered_at_a_bounded_rate_and_changes_at_once(kind: type[Stream]) -> None:
    t, answers = talk(kind, "Ea Eb"), 0
    t.ask("E", "a")
    for turn in range(2_000):
        nonce = str(answers + 1)
        names = ("ab"[turn % 2],) if kind is SotwStream else ("a",)
        answers += sum(word.startswith("E") for word in t.ask("E", *names, nonce=nonce))
    assert answers < 201
    t.ask("E", "a", nonce=str(answers + 1))
    assert t.publish(2, "Ea=new Eb=new") + t.wait(100_000) != []  # paced, but soon


@BOTH
def test_ttls_are_prolonged_every_third_of_them_for_who_knows_them(kind: type[Stream]) -> None:
    t = talk(kind, None)
    t.publish(1, "Ea Eb", ttl_us=TTL_US)
    t.ask("E", "a", node=TTL_NODE), t.ask("E", *"a" * (kind is SotwStream), nonce="1")
    whole = "a" if kind is SotwStream else "a~"
    assert t.wait(TTL_US // 3 + 1) == [f"E2 {whole}"]
    assert t.wait(TTL_US) == []  # not answered: what it has may run out
    assert t.ask("E", *"a" * (kind is SotwStream), nonce="2") == ["ack E", f"E3 {whole}"]
    plain = talk(kind, None)
    plain.publish(1, "Ea", ttl_us=TTL_US)
    first = (DiscoveryRequest if kind is SotwStream else DeltaRequest)(ENDPOINTS, ("a",), node=NODE)
    response = plain.stream.handle(1, Asked(first))
    assert response[0].response.resources[0].ttl_us is None and plain.stream.wake_at is None


# ---- state of the world: (request, what is said) in turn

SOTW = {
    "legacy_wildcard": [("C", "C1 a b")],
    "explicit_wildcard": [("C *", "C1 a b")],
    "wildcard_of_nothing_is_answered": [("L", "L1")],
    "no_names_is_nothing_for_endpoints": [("E", "")],
    "by_name": [("C b", "C1 b")],
    "clusters_that_do_not_exist_are_left_out": [("C x", "C1")],
    "endpoints_that_do_not_exist_are_not_spoken_of": [("E x", "")],
    "more_names": [("E a", "E1 a"), ("E a b @1", "ack E, E2 b")],
    "more_names_of_clusters_bring_all": [("C a", "C1 a"), ("C a b @1", "ack C, C2 a b")],
    "fewer_names_need_no_response": [("E a b", "E1 a b"), ("E a @1", "ack E"), ("E a @1", "")],
    "given_up_and_wanted_again": [("E a", "E1 a"), ("E @1", "ack E"), ("E a @1", "E2 a")],
    "no_names_after_names_is_nothing": [("C a", "C1 a"), ("C @1", "ack C"), ("C a b @1", "C2 a b")],
    "leaving_the_wildcard_by_a_name": [("C", "C1 a b"), ("C a @1", "ack C"), ("C a b @1", "C2 a b")],
    "a_name_beside_the_wildcard": [("C * a", "C1 a b"), ("C a @1", "ack C"), ("C * @1", "C2 a b")],
    "stale_nonce_counts_for_nothing": [("E a", "E1 a"), ("E a b @0", ""), ("E a b", ""), ("E a @1", "ack E")],
    "stale_names_bring_nothing": [("C a", "C1 a"), ("C a b @0", ""), ("C a @1", "ack C")],
    "dropped_and_wanted_again_in_between": [("E a", "E1 a"), ("E @0", ""), ("E a @1", "ack E, E2 a")],
    "one_that_does_not_exist_wanted_again": [("E a x", "E1 a"), ("E a @0", ""), ("E a x @1", "ack E")],
    "an_answer_twice": [("E a", "E1 a"), ("E a @1", "ack E"), ("E a @1", ""), ("E b @1!", "E2 b")],
    "nonces_are_each_type_s_own": [("C", "C1 a b"), ("E a", "E2 a"), ("E a @1", ""), ("E a @2", "ack E")],
}

DELTA = {
    "legacy_wildcard": [("C", "C1 a b")],
    "explicit_wildcard": [("C *", "C1 a b")],
    "wildcard_of_nothing_is_answered": [("L", "L1")],
    "no_names_is_nothing_for_endpoints": [("E", "")],
    "only_the_first_request_is_the_legacy_wildcard": [("C a", "C1 a"), ("C @1", "ack C")],
    "names_that_do_not_exist_are_removed_ones": [("E x a", "E1 a -x"), ("E @1", "ack E")],
    "subscribed_again_is_sent_again": [("E a", "E1 a"), ("E a @1", "ack E, E2 a")],
    "differences_count_with_any_nonce": [("E a", "E1 a"), ("E b @0", ""), ("E @1", "ack E, E2 b")],
    "given_up": [("E a b", "E1 a b"), ("E -a @1", "ack E"), ("E a", "E2 a")],
    "given_up_while_it_is_owed": [("E a", "E1 a"), ("E b", ""), ("E -b", ""), ("E @1", "ack E")],
    "leaving_the_wildcard": [("C", "C1 a b"), ("C -* @1", "ack C"), ("C a", "C2 a")],
    "a_name_outlives_the_wildcard": [("C * a", "C1 a b"), ("C -* @1", "ack C"), ("C *", "C2 b")],
    "given_up_under_the_wildcard_is_told": [("C * a x", "C1 a b -x"), ("C -a -x @1", "ack C, C2 a -x")],
    "the_wildcard_again_is_all_again": [("C", "C1 a b"), ("C * @1", "ack C, C2 a b")],
    "an_answer_twice": [("E a", "E1 a"), ("E @1", "ack E"), ("E @1", ""), ("E @1!", "")],
}


@pytest.mark.parametrize(
    "kind, name, case",
    [
        *((SotwStream, name, case) for name, case in SOTW.items()),
        *((DeltaStream, name, case) for name, case in DELTA.items()),
    ],
)
def test_case(kind: type[Stream], name: str, case: list[tuple[str, str]]) -> None:
    t = talk(kind, "Ca Cb Ea Eb")
    for request, expected in case:
        words = request.split()
        nonce = next((word[1:] for word in words if word[0] == "@"), "")
        names = [word for word in words[1:] if word[0] != "@"]
        said = t.ask(words[0], *names, nonce=nonce.rstrip("!"), nack=nonce.endswith("!"))
        assert ", ".join(said) == expected, f"{name}: {request}"


def test_sotw_names_appear_once_they_exist_and_a_vanished_assignment_is_not_spoken_of() -> None:
    t = talk(SotwStream, "Ea")
    assert t.ask("E", "a", "x") == ["E1 a"]
    t.ask("E", "a", "x", nonce="1")
    assert t.publish(2, "Ea Ex") == ["E2 x"]
    t.ask("E", "a", "x", nonce="2")
    assert t.publish(3, "Ea") == [] and t.publish(4, "Ea Ex") == ["E3 x"]


def test_sotw_endpoints_that_are_gone_and_wanted_again_bring_no_responses_without_end() -> None:
    # They were owed for ever, as no response can say that they are gone: each ACK brought an empty response.
    t = talk(SotwStream, "Ea Eb")
    assert t.ask("E", "a", "b") == ["E1 a b"]
    assert t.publish(2, "Ea") == []
    t.ask("E", "a", nonce="0")  # written before E1 was read: b dropped, and wanted again below
    assert t.ask("E", "a", "b", nonce="1") == ["ack E"]
    assert t.ask("E", "a", "b", nonce="1") == []
    assert t.publish(3, "Ea Eb") == ["E2 b"]
    assert t.ask("E", "a", "b", nonce="2") == ["ack E"]


def test_sotw_who_shows_the_present_version_of_everything_needs_no_response() -> None:
    t = talk(SotwStream, "Ca")
    version = t.stream.snapshot.collections[CLUSTER].version
    assert t.ask("C", version_info=version) == []
    assert t.publish(2, "Ca Cb") == ["C1 a b"]
    assert talk(SotwStream, "Ca").ask("C", "a", version_info=version) == ["C1 a"]  # by name: it does


def test_delta_reconnect_sends_only_what_differs_and_tells_what_is_gone() -> None:
    t = talk(DeltaStream, "Ea Eb=new Ec")
    old = snapshot(1, "Ea Eb=old Ex").collections[ENDPOINTS].by_name
    shown = {name: resource.version for name, resource in old.items()}
    assert t.ask("E", "a", "b", "c", "x", initial_resource_versions=shown) == ["E1 b c"]
    assert t.ask("E", nonce="1") == ["ack E", "hold order"]
    assert t.wait(5_000_000) == ["E2 -x"]  # in order: who refers to it might not have asked yet


def test_delta_what_was_refused_together_follows_when_one_of_them_is_another() -> None:
    t = talk(DeltaStream, "Ea Eb Ec")
    t.ask("E", "a", "b", "c"), t.ask("E", nonce="1")
    assert t.publish(2, "Ea=2 Eb=bad Ec") == ["E2 a b"]
    assert t.ask("E", nonce="2", nack=True) == ["nack E"]
    assert t.publish(3, "Ea=2 Eb=bad Ec=3") == ["E3 c"]  # a drain is not held up by a refusal
    assert t.ask("E", nonce="3") == ["ack E"]
    assert t.publish(4, "Ea=2 Eb=good Ec=3") == ["E4 b"]
    assert t.ask("E", nonce="4") == ["ack E", "E5 a"]


def test_delta_endpoints_due_again_still_go_after_what_refers_to_them() -> None:
    t = talk(DeltaStream, "Ca Ea Ll Rr=a")
    for request in ("C",), ("C", "1"), ("E", "", "a"), ("E", "2"), ("L",), ("L", "3"), ("R", "", "r"):
        t.ask(request[0], *request[2:], nonce="".join(request[1:2]))
    t.ask("R", nonce="4")
    assert t.publish(2, "Ca=2 Ea Ll Rr=a")[:2] == ["C5 a", "E6 a"]
    t.ask("C", nonce="5"), t.publish(3, "Ca=3 Ea Ll Rr=a")
    said = [*t.publish(4, "Cb Eb Ll Rr=b"), *t.ask("E", nonce="6"), *t.ask("C", nonce="7")]
    assert not [word for word in said if "-a" in word] and t.stream.quiet is False


def test_delta_what_was_refused_together_follows_when_one_of_them_is_given_up() -> None:
    t = talk(DeltaStream, "Ea=2 Eb=bad")
    t.ask("E", "a", "b"), t.ask("E", nonce="1", nack=True)
    assert t.ask("E", "-b") == ["E2 a"]


@BOTH
@pytest.mark.parametrize("answers", ["nothing", "refuses", "forgets"])
def test_whatever_a_subscriber_does_what_is_kept_of_it_is_bounded(
    kind: type[Stream], answers: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module, name in ("ordering", "GONE_MOST"), ("stream", "GONE_MOST"), ("stream", "NAMES_MOST"):
        monkeypatch.setattr(f"roadlb.xds.{module}.{name}", 25)
    t, most = talk(kind, None), 0
    t.ask("C"), t.ask("E", "c0")
    for turn in range(1_000):
        names = [f"c{turn + n}" for n in range(20)]  # one new and one gone each time
        t.publish(turn + 1, " ".join(f"C{name}={turn} E{name}={turn}" for name in names))
        for kind_, nonce in ("C", turn * 2), ("E", turn * 2 + 1), ("C", turn), ("E", turn):
            if answers == "refuses":
                t.ask(kind_, *(names if kind_ == "E" else ()), nonce=str(nonce), nack=True)
            elif answers == "forgets" and kind is DeltaStream:
                t.ask(kind_, names[0], f"-c{turn - 1}", nonce=str(nonce))
            elif answers == "forgets":
                t.ask(kind_, names[turn % 20], nonce=str(nonce))
        most = max(most, t.stream.kept)
    assert 0 < most <= 2 * 5 * (20 + 3 * 25)


def test_a_large_response_goes_in_parts() -> None:
    body = "x" * 400_000
    for kind, names in (DeltaStream, ()), (SotwStream, "abcd"):
        t = talk(kind, " ".join(f"E{name}={name}{body}" for name in "abcd"))
        assert t.ask("E", *"abcd") == ["E1 a b"] and t.ask("E", *names, nonce="1") == ["ack E", "E2 c d"]
