"""What one subscriber wants of one type, and where what it was sent differs from the newest.

`differs` is the debt itself: names that are wanted and whose newest state was not sent, each with what was
sent last (None: nothing).  It is empty once all is told, whatever the size of the collection, and it never
holds more names than the subscriber wants or was sent.  Old states are not queued: a name that changes ten
times while a response is in flight is owed once, in its newest state.

What was refused is kept out of the debt until it is something else than what was refused.  Then it goes
first and alone, and what had been refused with it follows, as only one of them may have been at fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .resources import Collection, Resource, digest_of


@dataclass(slots=True)
class Flight:
    """A response that waits for its answer: for each name the version in it, None if it was told as gone."""

    nonce: str
    version: str
    generation: int
    names: dict[str, str | None]


@dataclass(slots=True)
class Owed:
    """What is to be told, by name.

    `make`: there and new or changed.  `absent`: asked for and not there.  `gone`: sent once and no longer
    there, which has to wait until nothing refers to it.  `change`: not only because it was asked for.
    """

    make: list[str] = field(default_factory=list)
    absent: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    change: bool = False


class Subscription:
    """One type on one stream.  `tells_gone`: whether the variant has a way to say that a name is gone."""

    __slots__ = (
        "type_url",
        "tells_gone",
        "wildcard",
        "names",
        "newest",
        "differs",
        "again",
        "refused",
        "retry",
        "greet",
        "asked",
        "named",
        "shown",
        "flight",
        "nonce",
        "accepted",
        "beat_at",
        "_owed",
    )

    def __init__(self, type_url: str, tells_gone: bool) -> None:
        self.type_url, self.tells_gone = type_url, tells_gone
        self.wildcard = False
        self.names: set[str] = set()  # asked for by name
        self.newest = Collection(type_url)
        self.differs: dict[str, Resource | None] = {}
        self.again: set[str] = set()  # to be told whatever was sent
        self.refused: dict[str, str | None] = {}  # the version refused, None: that it is gone
        self.retry = False  # one of those refused is something else since
        self.greet = False  # a response is due even if there is nothing to tell
        self.asked = False  # what is owed was asked for, by a request
        self.named = False  # a request of this stream had names
        self.shown = ""  # version shown at first, until something is sent
        self.flight: Flight | None = None
        self.nonce = self.accepted = ""  # of the last response; last version accepted
        self.beat_at: int | None = None  # when TTLs have to be prolonged
        self._owed: Owed | None = None

    def wants(self, name: str) -> bool:
        """Whether the name is subscribed to, by itself or by the wildcard."""
        return self.wildcard or name in self.names

    def held(self, name: str) -> Resource | None:
        """What the subscriber was sent last of a wanted name."""
        return self.differs[name] if name in self.differs else self.newest.by_name.get(name)

    # ---- what is wanted

    def add(self, names: Iterable[str]) -> list[str]:
        """Subscribes to names; those that were not wanted before."""
        added = []
        for name in names:
            if not self.wants(name):
                added.append(name)
                self._owe(name, None)
            known = self.newest.by_name.get(name)
            self.names.add(known.name if known is not None else name)  # one string for all streams
        self._owed = None
        return added

    def drop(self, names: Iterable[str]) -> None:
        """Ends the subscription to names; what the wildcard covers stays wanted."""
        for name in names:
            self.names.discard(name)
            if not self.wildcard:
                self._forget(name)
        self._owed = None

    def enter_wildcard(self) -> None:
        """Subscribes to all there are.  Nothing but what is asked for by name counts as sent."""
        for name in self.newest.by_name:
            if not self.wants(name):
                self._owe(name, None)
        self.wildcard, self._owed = True, None

    def leave_wildcard(self) -> None:
        """Back to what is asked for by name; the subscriber forgets the rest by itself."""
        self.wildcard = False
        for name in {*self.differs, *self.again, *self.refused} - self.names:
            self._forget(name)
        self._owed = None

    def repeat(self, names: Iterable[str]) -> None:
        """Owes names whatever was sent of them; those that are gone only where a response can tell that."""
        self.again.update(
            name for name in names if self.wants(name) and (self.tells_gone or name in self.newest.by_name)
        )
        self._owed = None

    def claim(self, name: str, version: str) -> None:
        """The subscriber says that it has a version of a wanted name, from an earlier stream."""
        self.again.discard(name)
        now = self.newest.by_name.get(name)
        if now is not None and now.ttl_us is None and digest_of(now.version) == digest_of(version):
            self.differs.pop(name, None)
        else:
            self.differs[name] = Resource(self.type_url, name, version, b"")
        self._owed = None

    def has_all_of(self, collection: Collection) -> None:
        """The subscriber, which wants everything, has shown that it has just this collection."""
        newest, self.newest = self.newest, collection
        self.differs.clear()
        self.greet, self.shown, self._owed = False, "", None
        self.follow(newest)

    # ---- what there is

    def follow(self, newest: Collection) -> None:
        """Goes on to the newest resources; costs what changed."""
        touched, old = newest.touched_since(self.newest), self.newest
        if newest is old:
            return
        for name in touched if self.wildcard else touched & self.names:
            have = self.differs[name] if name in self.differs else old.by_name.get(name)
            now = newest.by_name.get(name)
            if now is None and not self.tells_gone:
                self._forget(name)
            elif now is have is None or (now is not None and now.same(have)):
                self.differs.pop(name, None)
            else:
                self.differs[name] = have
        self.newest, self._owed = newest, None

    def owed(self) -> Owed:
        """What is to be told now, names in order."""
        if self._owed is None:
            self._owed = self._find_owed()
        return self._owed

    def _find_owed(self) -> Owed:
        owed, refused = Owed(), []
        for name in sorted(self.differs.keys() | self.again) if self.again else sorted(self.differs):
            now, have = self.newest.by_name.get(name), self.differs.get(name)
            version = now.version if now is not None else None
            if name in self.refused and name not in self.again and self.refused[name] == version:
                refused.append(name)
                continue
            if have is not None and (have.version or name in self.refused and self.refused[name] != version):
                owed.change = True
            if now is not None:
                owed.make.append(name)
            elif have is None:
                owed.absent.append(name)
            else:
                owed.gone.append(name)
        if self.retry and not owed.make:
            owed.make += [name for name in refused if name in self.newest.by_name]
            owed.gone += [name for name in refused if name not in self.newest.by_name]
        return owed

    # ---- what is sent and answered

    def sent(self, told: Iterable[str], nonce: str, version: str, generation: int) -> None:
        """A response with the newest state of these names is on its way."""
        names: dict[str, str | None] = {}
        for name in told:
            now = self.newest.by_name.get(name)
            names[name] = now.version if now is not None else None
            self.differs.pop(name, None)
            self.again.discard(name)
            if name in self.refused:
                self.retry = self.refused.pop(name) != names[name] or self.retry
        self.differs, self.again = self.differs or {}, self.again or set()  # emptied ones keep their size
        self.retry = self.retry and bool(self.refused)
        self.greet, self.asked, self.shown, self._owed = False, False, "", None
        self.prolonged(nonce, version, generation, names)

    def prolonged(self, nonce: str, version: str, generation: int, names: dict[str, str | None]) -> None:
        """A response is on its way that tells these names; nothing of what is owed, if there are none."""
        self.flight, self.nonce = Flight(nonce, version, generation, names), nonce

    def accept(self) -> None:
        """The response in flight was accepted."""
        assert self.flight is not None
        self.accepted, self.flight = self.flight.version, None

    def refuse(self) -> None:
        """The response in flight was refused: what the subscriber has of its names is not known."""
        assert self.flight is not None
        for name, version in self.flight.names.items():
            if self.wants(name):
                self.refused[name] = version
                if version is not None or self.tells_gone:
                    self.differs.setdefault(name, Resource(self.type_url, name, "", b""))
        self.flight, self.retry, self._owed = None, False, None

    def _owe(self, name: str, have: Resource | None) -> None:
        if name in self.newest.by_name:
            self.differs[name] = have

    def _forget(self, name: str) -> None:
        self.differs.pop(name, None)
        self.again.discard(name)
        if name in self.refused:  # it may have been the one at fault
            del self.refused[name]
            self.retry = bool(self.refused)
