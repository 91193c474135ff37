"""Ownership of shared soft state by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from wasabiwell_entry.coordination.membership.errors import NoOwner
from wasabiwell_entry.state.members import Member


def owner_of(key: str, members: Iterable[Member]) -> Member | NoOwner:
    """Return the member that owns a key.

    With rendezvous hashing, only the keys that a member owns move when it joins or leaves.
    """
    candidates = list(members)
    if not candidates:
        return NoOwner(key)
    return max(candidates, key=lambda member: (_score(key, member.node_id), member.node_id))


def ranked_by_hash(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by descending rendezvous score for a key."""
    return sorted(
        members, key=lambda member: (_score(key, member.node_id), member.node_id), reverse=True
    )


def _score(key: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node_id}\0{key}".encode())
