"""Members: the entry instances of a deployment."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass


class MemberStatus(enum.Enum):
    """Status of an entry instance; within an incarnation, a later one overrides an earlier one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance; addresses are `HOST:PORT`.

    `incarnation` grows whenever the instance restarts or refutes a suspicion. `capacity` is the
    load that it can bear relative to other instances, 0 if unknown.
    """

    node_id: str
    incarnation: int
    region: str
    zone: str
    caller_address: str
    peer_address: str
    status: MemberStatus = MemberStatus.ALIVE
    capacity: int = 0

    def overrides(self, other: "Member | None") -> bool:
        """Return whether this entry is newer than another one of the same instance."""
        if other is None:
            return True
        return (self.incarnation, STATUS_ORDER[self.status]) > (
            other.incarnation,
            STATUS_ORDER[other.status],
        )


STATUS_ORDER = {status: order for order, status in enumerate(MemberStatus)}


class MemberTable:
    """Members by node id; one entry instance owns one table."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    def get(self, node_id: str) -> Member | None:
        """Return a member, or None when it is unknown."""
        return self._members.get(node_id)

    def put(self, member: Member) -> None:
        """Add or replace a member."""
        self._members[member.node_id] = member

    def remove(self, node_id: str) -> None:
        """Remove a member; unknown ids are ignored."""
        self._members.pop(node_id, None)

    def serving(self) -> list[Member]:
        """Return all members except dead ones, sorted by node id."""
        members = [item for item in self._members.values() if item.status != MemberStatus.DEAD]
        return sorted(members, key=lambda member: member.node_id)

    def alive(self) -> list[Member]:
        """Return the members that accept new work, including suspects, sorted by node id."""
        accepted = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        members = [member for member in self._members.values() if member.status in accepted]
        return sorted(members, key=lambda member: member.node_id)
