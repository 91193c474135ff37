"""Updates that ride on heartbeats."""

import math
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from wasabiwell_entry.coordination.membership.const import (
    EXCHANGES_PER_UPDATE_FACTOR,
    MAX_UPDATES,
)
from wasabiwell_entry.state.marks import Mark, MarkTable
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable

Update = Member | Mark
T = TypeVar("T")


@dataclass(slots=True)
class _Queued:
    update: Update
    sends_left: int


class UpdateQueue:
    """Updates that still have to be sent, each `3 log2(n)` times."""

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[tuple[str, str], _Queued] = {}

    def add(self, update: Update, members: int) -> None:
        """Queue an update in place of an older one of its key."""
        sends = math.ceil(EXCHANGES_PER_UPDATE_FACTOR * math.log2(max(2, members)))
        self._queued[_place(update)] = _Queued(update, sends)

    def take(self) -> tuple[list[Member], list[Mark]]:
        """Return the updates of the next heartbeat, the least sent ones first."""
        ordered = sorted(self._queued.items(), key=lambda item: -item[1].sends_left)
        members: list[Member] = []
        marks: list[Mark] = []
        for place, queued in ordered:
            match queued.update:
                case Member() as member if len(members) < MAX_UPDATES:
                    members.append(member)
                case Mark() as mark if len(marks) < MAX_UPDATES:
                    marks.append(mark)
                case _:
                    continue
            queued.sends_left -= 1
            if queued.sends_left == 0:
                del self._queued[place]
        return members, marks


class TableCursor:
    """Walks through members and marks in parts, for a peer whose digest differs."""

    __slots__ = ("_position",)

    def __init__(self) -> None:
        self._position = 0

    def next_part(self, members: MemberTable, marks: MarkTable) -> tuple[list[Member], list[Mark]]:
        """Return the next members and marks; all are returned after enough calls."""
        all_members = sorted(members, key=lambda member: member.node_id)
        all_marks = sorted(marks, key=_place)
        start = self._position
        self._position += MAX_UPDATES
        return _window(all_members, start), _window(all_marks, start)


def table_digest(members: MemberTable, marks: MarkTable) -> int:
    """Return a hash over the members that are not dead and over the marks.

    Suspicion is left out, because it lasts for seconds only. Dead members are left out, because
    entry instances forget them at different times.
    """
    lines = [
        f"{member.node_id}\0{member.incarnation}\0{member.status is MemberStatus.LEAVING}"
        for member in members.serving()
    ]
    lines += sorted(f"{mark.kind}\0{mark.key}\0{mark.counter}\0{mark.origin}" for mark in marks)
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())


def _window(items: list[T], start: int) -> list[T]:
    if len(items) <= MAX_UPDATES:
        return list(items)
    begin = start % len(items)
    return (items + items)[begin : begin + MAX_UPDATES]


def _place(update: Update) -> tuple[str, str]:
    match update:
        case Member(node_id=node_id):
            return "", node_id
        case Mark(kind=kind, key=key):
            return kind, key
