"""Gossip updates that are piggybacked on heartbeats."""

import math
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from wasabiwell_entry.coordination.membership.const import (
    MAX_UPDATES,
    SENDS_PER_UPDATE_FACTOR,
)
from wasabiwell_entry.state.marks import Mark, MarkTable
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable

Update = Member | Mark
T = TypeVar("T")


@dataclass(slots=True)
class _QueuedUpdate:
    update: Update
    sends_left: int


class UpdateQueue:
    """Updates to be sent; each is sent `SENDS_PER_UPDATE_FACTOR * log2(members)` times."""

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[tuple[str, str], _QueuedUpdate] = {}

    def add(self, update: Update, members: int) -> None:
        """Queue an update, replacing an older one with the same key."""
        sends = math.ceil(SENDS_PER_UPDATE_FACTOR * math.log2(max(2, members)))
        self._queued[_update_key(update)] = _QueuedUpdate(update, sends)

    def take(self) -> tuple[list[Member], list[Mark]]:
        """Return the updates for the next heartbeat, the least sent ones first."""
        ordered = sorted(self._queued.items(), key=lambda item: -item[1].sends_left)
        members: list[Member] = []
        marks: list[Mark] = []
        for key, queued in ordered:
            match queued.update:
                case Member() as member if len(members) < MAX_UPDATES:
                    members.append(member)
                case Mark() as mark if len(marks) < MAX_UPDATES:
                    marks.append(mark)
                case _:
                    continue
            queued.sends_left -= 1
            if queued.sends_left == 0:
                del self._queued[key]
        return members, marks


class SyncCursor:
    """Iterates over members and marks in batches, for a peer whose digest differs."""

    __slots__ = ("_position",)

    def __init__(self) -> None:
        self._position = 0

    def next_batch(self, members: MemberTable, marks: MarkTable) -> tuple[list[Member], list[Mark]]:
        """Return the next batch of members and marks; repeated calls cover the whole tables."""
        all_members = sorted(members, key=lambda member: member.node_id)
        all_marks = sorted(marks, key=_update_key)
        start = self._position
        self._position += MAX_UPDATES
        return _batch(all_members, start), _batch(all_marks, start)


def table_digest(members: MemberTable, marks: MarkTable) -> int:
    """Return a hash over the members that are not dead and over the marks.

    Suspicions are excluded because they last only seconds, and dead members because entry instances
    remove them at different times.
    """
    lines = [
        f"{member.node_id}\0{member.incarnation}\0{member.status is MemberStatus.LEAVING}"
        for member in members.serving()
    ]
    lines += sorted(f"{mark.kind}\0{mark.key}\0{mark.counter}\0{mark.origin}" for mark in marks)
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())


def _batch(items: list[T], start: int) -> list[T]:
    if len(items) <= MAX_UPDATES:
        return list(items)
    offset = start % len(items)
    return (items + items)[offset : offset + MAX_UPDATES]


def _update_key(update: Update) -> tuple[str, str]:
    match update:
        case Member(node_id=node_id):
            return "", node_id
        case Mark(kind=kind, key=key):
            return kind, key
