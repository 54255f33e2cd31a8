"""The agreement's messages over a subscriber: a follower's side of `codec/versions`, without I/O.

What the issuer tells comes out as `Hears`; what the follower says goes in as `Say`.  A version is told to the
follower once it is whole, and the response with its `prepared` stays unanswered until the follower has
answered: who acknowledges has stored.

`settings` travel in the responses that wait so, and a server leaves out what it knows to be held.  So which
ones a version has is told by its digest: those of a response that waits or was refused, or those accepted.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ...agreement.events import Ack, Ask, Fenced, FromFollower, FromIssuer, Nack, Prepare, VersionId
from ..codec.protos import CodecError
from ..codec.versions import (
    FEATURE,
    FORCE,
    LEASES,
    NOT_WHOLE,
    PARTS,
    PREPARED,
    SETTINGS,
    STRUCT,
    WITHDRAWN,
    Key,
    PartsReader,
    Prepared,
    ask_name,
    read_force,
    read_lease,
    read_prepared,
    read_version,
    read_withdrawn,
    write_answer,
)
from ..messages import WILDCARD, ErrorDetail, Node
from .events import Accept, Came, End, Expired, Lost, Opened, Refuse, Send, Tick, Told, Want
from .subscriber import Subscriber

WHOLE_US = 500_000  # within which the parts of a version come after its `prepared`
REFUSED_MOST = 4  # bodies of settings kept of responses that were refused
VERDICT_US = 10_000_000  # within which the follower answers; a disk that takes longer is a fault


@dataclass(frozen=True, slots=True)
class Say:
    """The follower says this."""

    message: FromFollower


@dataclass(frozen=True, slots=True)
class Nothing:
    """The follower says nothing of this version: it has one that is as new, or newer."""

    id: VersionId


@dataclass(frozen=True, slots=True)
class Hears:
    """The follower hears this."""

    message: FromIssuer


@dataclass(frozen=True, slots=True)
class Fault:
    """For the log: what came could not be read, and was refused."""

    text: str


Event: TypeAlias = Opened | Came | Lost | Tick | Say | Nothing
Action: TypeAlias = Send | End | Hears | Fault


@dataclass(slots=True)
class _Pending:
    """A `prepared` that waits for its answer."""

    prepared: Prepared
    since: int
    told: bool = False  # to the follower


class Link:
    """`handle(now, event) -> actions`; `wake_at`: when a `Tick` is due.  `name` is the follower's."""

    def __init__(self, name: str) -> None:
        self._subscriber = Subscriber(Node(name, user_agent_name="roadlb", client_features=(FEATURE,)))
        self._parts: dict[Key, bytes] = {}  # but for the settings
        self._brought: dict[int, bytes] = {}  # settings, by token of the response that waits
        self._refused: list[bytes] = []
        self._accepted: tuple[int, bytes] | None = None
        self._reader = PartsReader()
        self._pending: dict[int, _Pending] = {}  # by token
        self._asked = ""
        self._open = False
        for type_url, names in ((STRUCT, (SETTINGS, PREPARED, FORCE, WITHDRAWN)), (PARTS, (WILDCARD,))):
            self._subscriber.handle(0, Want(type_url, names))

    @property
    def wake_at(self) -> int | None:
        due = [self._due(pending) for pending in self._pending.values()]
        if self._subscriber.wake_at is not None:
            due.append(self._subscriber.wake_at)
        return min(due, default=None)

    @property
    def resources(self) -> int:
        """How many parts of versions are held."""
        return len(self._parts) + len(self._brought) + len(self._refused) + (self._accepted is not None)

    def handle(self, now: int, event: Event) -> list[Action]:
        actions: list[Action] = []
        match event:
            case Opened():
                self._open = True
                self._pass(now, event, actions)
            case Lost():
                self._open = False
                self._pending.clear()
                self._brought.clear()
                self._pass(now, Want(LEASES, (), (self._asked,)), actions)
                self._pass(now, event, actions)
            case Say(message):
                self._say(now, message, actions)
            case Nothing(id):
                for token in self._of(id):
                    text = f"version {id}: not newer than the one held"
                    self._pass(now, Refuse(token, ErrorDetail(NOT_WHOLE, text)), actions)
            case Came() | Tick():
                self._pass(now, event, actions)
        self._complete(now, actions)
        return actions

    def _pass(
        self, now: int, event: Opened | Came | Lost | Tick | Want | Accept | Refuse, actions: list[Action]
    ) -> None:
        """Through the subscriber; what it tells is read at once."""
        if isinstance(event, Accept | Refuse) and (body := self._brought.pop(event.token, None)) is not None:
            if isinstance(event, Refuse):
                self._refused = [*self._refused, body][-REFUSED_MOST:]
            elif self._accepted is None or event.token > self._accepted[0]:
                self._accepted = event.token, body
        for action in self._subscriber.handle(now, event):
            match action:
                case Told():
                    self._told(now, action, actions)
                case Expired():
                    pass  # a lease, whose end the follower knows itself
                case Send() | End():
                    actions.append(action)

    # What comes

    def _told(self, now: int, told: Told, actions: list[Action]) -> None:
        try:
            waits = self._take(now, told, actions)
        except CodecError as e:
            detail = ErrorDetail(3, f"malformed: {e}")
            actions.append(Fault(detail.message))
            self._pass(now, Refuse(told.token, detail), actions)
            return
        if not waits:
            self._pass(now, Accept(told.token), actions)

    def _take(self, now: int, told: Told, actions: list[Action]) -> bool:
        """Whether the answer must wait."""
        if told.type_url == LEASES:
            actions += [Hears(read_lease(resource.body)) for resource in told.resources]
            return False
        if told.type_url == PARTS:
            for name in told.removed:
                self._parts.pop((PARTS, name), None)
            for resource in told.resources:
                self._parts[PARTS, resource.name] = resource.body
            return False
        found = {resource.name: resource for resource in told.resources}
        words: list[Action] = []
        if FORCE in found:
            words.append(Hears(read_force(found[FORCE].body)))
        if WITHDRAWN in found:
            words.append(Hears(read_withdrawn(found[WITHDRAWN].body)))
        prepared = read_prepared(found[PREPARED].body) if PREPARED in found else None
        if SETTINGS in found:
            self._brought[told.token] = found[SETTINGS].body
        actions += words
        if prepared is not None:
            self._supersede(now, actions)
            self._pending[told.token] = _Pending(prepared, now)
        return prepared is not None

    def _supersede(self, now: int, actions: list[Action]) -> None:
        """Versions that never were whole: another is told in their place."""
        for token, pending in list(self._pending.items()):
            if not pending.told:
                self._not_whole(now, token, actions)

    def _not_whole(self, now: int, token: int, actions: list[Action]) -> None:
        pending = self._pending.pop(token)
        what = "no answer from the follower" if pending.told else "not all of its parts came, or others did"
        text = f"version {pending.prepared.id}: {what}"
        actions.append(Fault(text))
        self._pass(now, Refuse(token, ErrorDetail(NOT_WHOLE, text)), actions)

    def _complete(self, now: int, actions: list[Action]) -> None:
        """Tell the follower the version that is whole now; give those up that will not be."""
        for token, pending in list(self._pending.items()):
            if not pending.told:
                try:
                    found = self._whole(pending.prepared)
                except CodecError as e:
                    del self._pending[token]
                    detail = ErrorDetail(3, f"malformed: version {pending.prepared.id}: {e}")
                    actions.append(Fault(detail.message))
                    self._pass(now, Refuse(token, detail), actions)
                    continue
                if found is not None:
                    pending.told, pending.since = True, now
                    actions.append(Hears(found))
            if now >= self._due(pending):
                self._not_whole(now, token, actions)

    def _whole(self, prepared: Prepared) -> Prepare | None:
        """The version with the settings that its digest is of, if all of it is there."""
        accepted = [self._accepted[1]] if self._accepted is not None else []
        for body in dict.fromkeys((*reversed(self._brought.values()), *accepted, *reversed(self._refused))):
            parts = {**self._parts, (STRUCT, SETTINGS): body}
            if (found := read_version(prepared, parts, self._reader)) is not None:
                return found
        return None

    def _due(self, pending: _Pending) -> int:
        return pending.since + (VERDICT_US if pending.told else WHOLE_US)

    # What is said

    def _say(self, now: int, message: FromFollower, actions: list[Action]) -> None:
        match message:
            case Ask():
                # Unasked is lost: the follower asks again once there is a stream.
                if self._open:
                    name, self._asked = self._asked, ask_name(message)
                    self._pass(now, Want(LEASES, (self._asked,), (name,)), actions)
            case Ack(id):
                for token in self._of(id):
                    self._pass(now, Accept(token), actions)
            case Nack(id):
                for token in self._of(id):
                    self._pass(now, Refuse(token, write_answer(message)), actions)
            case Fenced(epoch):
                for token, pending in list(self._pending.items()):
                    if pending.told and pending.prepared.leader < epoch:
                        del self._pending[token]
                        self._pass(now, Refuse(token, write_answer(message)), actions)

    def _of(self, id: VersionId) -> list[int]:
        """The tokens of this version's `prepared`; they no longer wait."""
        found = [
            token for token, pending in self._pending.items() if pending.told and pending.prepared.id == id
        ]
        for token in found:
            del self._pending[token]
        return found
