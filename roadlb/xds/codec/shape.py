"""How a message and the fleet's data of it go together: a view, and a setter for each field of the view."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Generic, TypeVar

from ...fleet.traffic import ClusterSettings, Listener, Route, RouteTable, VirtualHost
from .protos import CodecError, Wire, held, parsed, says


T = TypeVar("T", bound=ClusterSettings | Route | VirtualHost | RouteTable | Listener)
# Told the message, the field's new value and the one before.
Setter = Callable[[Wire, Any, Any], None]


@dataclass(frozen=True, slots=True)
class Shape(Generic[T]):
    """One kind of message.  `setters` are by the names of the data's fields, in the order of writing.

    `needs`: what data of which the wire held nothing must have, so that no client refuses it.
    """

    kind: Wire
    view: Callable[[Wire], T]
    setters: Mapping[str, Setter]
    needs: Mapping[str, Callable[[T], bool]]

    def read(self, data: bytes) -> T:
        """The data of these bytes; CodecError."""
        return self.of(parsed(self.kind, data))

    def of(self, message: Wire) -> T:
        """The data of a message.  It keeps the bytes if without them another message would be written."""
        found, data = self.view(message), held(message)
        return found if says(lambda: self.write(found), data) else replace(found, origin=data)

    def write(self, item: T) -> bytes:
        """The bytes: what the wire held, changed where the data has changed; CodecError."""
        return held(self.message(item))

    def message(self, item: T) -> Wire:
        kind, label = self.kind.DESCRIPTOR.name, item.name
        for what, there in self.needs.items() if item.origin is None else ():
            if not there(item):
                raise CodecError(f"{kind} {label!r}: has not {what}: clients would refuse it")
        message = parsed(self.kind, item.origin)
        was = self.view(message)
        for name, put in self.setters.items():
            before, now = getattr(was, name), getattr(item, name)
            if before != now:
                try:
                    put(message, now, before)
                except (ValueError, TypeError, AttributeError) as e:
                    raise CodecError(f"{kind} {label!r}: {name}: {e}") from e
        return message

    def of_all(self, messages: Iterable[Wire]) -> tuple[T, ...]:
        return tuple(self.of(message) for message in messages)

    def put_all(self, messages: Wire, items: Iterable[T]) -> None:
        """Make a repeated field say these."""
        made = [self.message(item) for item in items]
        del messages[:]
        messages.extend(made)


def whole(message: Wire, field: str) -> int | None:
    """The value of a `UInt32Value`, or None without one."""
    return int(getattr(message, field).value) if message.HasField(field) else None


def put_whole(field: str) -> Setter:
    def put(message: Wire, now: int | None, _: object) -> None:
        if now is None:
            message.ClearField(field)
        else:
            getattr(message, field).value = now

    return put


def microseconds(message: Wire, field: str) -> int | None:
    """A `Duration` in whole microseconds, or None without one."""
    if not message.HasField(field):
        return None
    found = getattr(message, field)
    return int(found.seconds) * 1_000_000 + int(found.nanos / 1000)


def put_microseconds(field: str) -> Setter:
    def put(message: Wire, now: int | None, _: object) -> None:
        if now is None:
            message.ClearField(field)
            return
        if now < 0:
            raise CodecError(f"{now} us: must not be negative")
        found = getattr(message, field)
        found.seconds, found.nanos = now // 1_000_000, now % 1_000_000 * 1000

    return put


def put_plain(field: str) -> Setter:
    """A field that holds the value itself."""

    def put(message: Wire, now: Any, _: object) -> None:
        setattr(message, field, now)

    return put
