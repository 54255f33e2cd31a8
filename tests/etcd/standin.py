"""Short words for the stand-in store's transcripts."""

from __future__ import annotations

from roadlb.etcd.model import Change, Field, Reply, Request
from roadlb.lab.standin_etcd.events import Action, Answer, Asked, Cancel, Left, Refuse, Tell, Tick, Watching
from roadlb.lab.standin_etcd.store import Store

S = 1_000_000


class Told:
    """A store, its clock in seconds, and what its watches were told."""

    def __init__(self) -> None:
        self.store, self.now, self.news = Store(), 0.0, dict[int, list[Change | Cancel]]()

    def do(self, request: Request) -> Reply | str:
        """The reply, or the code with which it was refused."""
        (answer,) = self._note(self.store.handle(round(self.now * S), Asked(0, request)))
        assert isinstance(answer, Answer | Refuse)
        return answer.reply if isinstance(answer, Answer) else answer.code

    def watch(self, by: int, key: bytes, end: bytes = b"", start: int = 0) -> None:
        self.news[by] = []
        self._note(self.store.handle(round(self.now * S), Watching(by, key, end, start)))

    def leave(self, by: int) -> None:
        self._note(self.store.handle(round(self.now * S), Left(by)))

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self._note(self.store.handle(round(self.now * S), Tick()))

    def _note(self, actions: list[Action]) -> list[Action]:
        for action in actions:
            if isinstance(action, Tell):
                self.news[action.by] += action.news.changes
            elif isinstance(action, Cancel):
                self.news[action.by].append(action)
        return [action for action in actions if isinstance(action, Answer | Refuse)]

    def heard(self, by: int) -> list[tuple[bytes, bytes | None, int]]:
        """(key, value or None for a deletion, revision) of each change, as told."""
        return [
            (change.pair.key, None if change.deleted else change.pair.value, change.pair.modified)
            for change in self.news[by]
            if isinstance(change, Change)
        ]


NUMBERS = [Field.VERSION, Field.CREATED, Field.MODIFIED, Field.LEASE]
