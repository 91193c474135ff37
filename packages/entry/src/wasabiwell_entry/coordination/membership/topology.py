"""Choice of the peers that an entry instance monitors."""

from collections.abc import Sequence

from wasabiwell_entry.coordination.membership.const import REMOTE_ZONES, RING_SUCCESSORS
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.members import Member


def monitored_peers(own: Member, members: Sequence[Member]) -> list[Member]:
    """Return the successors in the zone's ring and one peer in each of 2 other zones.

    `members` are all members but the dead ones. The first other zone is the next one in the ring
    of zones, so that a zone with a single member is monitored as well. The second is in another
    region when there are several.
    """
    others = [member for member in members if member.node_id != own.node_id]
    zone = sorted(
        (member for member in others if _zone(member) == _zone(own)),
        key=lambda member: (member.node_id < own.node_id, member.node_id),
    )
    remote = [
        owner_of(own.node_id, [member for member in others if _zone(member) == place])
        for place in _other_zones(own, others)
    ]
    return zone[:RING_SUCCESSORS] + [peer for peer in remote if isinstance(peer, Member)]


def _other_zones(own: Member, others: Sequence[Member]) -> list[tuple[str, str]]:
    places = {_zone(member) for member in others} - {_zone(own)}
    ring = sorted(places, key=lambda place: (place < _zone(own), place))
    first, rest = ring[:1], ring[1:]
    if any(region != own.region for region, _ in first):
        return ring[:REMOTE_ZONES]
    abroad = [place for place in rest if place[0] != own.region]
    start = hash_position(own.node_id, len(abroad))
    return (first + abroad[start:] + abroad[:start] + rest)[:REMOTE_ZONES]


def hash_position(key: str, count: int) -> int:
    """Return a position below `count` that differs by key; 0 when there is none."""
    return sum(key.encode()) % count if count else 0


def _zone(member: Member) -> tuple[str, str]:
    return member.region, member.zone
