"""Marks: versioned facts that entry instances gossip through heartbeats."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mark:
    """A versioned fact about a key, such as a target that is leaving.

    Of two marks of a key, the one with the higher (`counter`, `origin`) wins. A withdrawn mark has
    `active` False; it is kept as a tombstone until `expires` (seconds since 1970), so that an older
    copy cannot restore the mark.
    """

    kind: str
    key: str
    origin: str
    counter: int
    expires: int
    active: bool = True
    value: bytes = b""

    def overrides(self, other: "Mark | None") -> bool:
        """Return whether this mark replaces another one of the same key."""
        return other is None or (self.counter, self.origin) > (other.counter, other.origin)


class MarkTable:
    """Marks by kind and key; one entry instance owns one table."""

    __slots__ = ("_marks", "_subscribers")

    def __init__(self) -> None:
        self._marks: dict[tuple[str, str], Mark] = {}
        self._subscribers: dict[str, list[Callable[[Mark], None]]] = {}

    def __iter__(self) -> Iterator[Mark]:
        return iter(list(self._marks.values()))

    def get(self, kind: str, key: str) -> Mark | None:
        """Return the mark of a key, including a withdrawn one."""
        return self._marks.get((kind, key))

    def active(self, kind: str) -> list[Mark]:
        """Return the marks of a kind that are not withdrawn."""
        return [mark for mark in self._marks.values() if mark.kind == kind and mark.active]

    def subscribe(self, kind: str, subscriber: Callable[[Mark], None]) -> None:
        """Call a subscriber with each new mark of a kind, whether set locally or by a peer."""
        self._subscribers.setdefault(kind, []).append(subscriber)

    def merge(self, mark: Mark, now: int) -> bool:
        """Store a mark if it is newer than the present one; `now` is in seconds since 1970."""
        if mark.expires <= now or not mark.overrides(self.get(mark.kind, mark.key)):
            return False
        self._marks[mark.kind, mark.key] = mark
        for subscriber in self._subscribers.get(mark.kind, []):
            subscriber(mark)
        return True

    def expire(self, now: int) -> bool:
        """Remove expired marks and return whether there were any."""
        expired = [key for key, mark in self._marks.items() if mark.expires <= now]
        for key in expired:
            del self._marks[key]
        return bool(expired)
