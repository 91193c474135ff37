"""Selection of the peers that an entry instance monitors."""

from collections.abc import Sequence

from wasabiwell_entry.coordination.membership.const import REMOTE_ZONES, RING_SUCCESSORS
from wasabiwell_entry.coordination.membership.ownership import owner_of
from wasabiwell_entry.state.members import Member


def monitored_peers(own: Member, members: Sequence[Member]) -> list[Member]:
    """Return the successors in the ring of the zone and one peer in each of two other zones.

    `members` are all members except the dead ones. The first other zone is the successor in the
    ring of zones, so that a zone with a single member is monitored too. The second zone is in
    another region if there is one.
    """
    others = [member for member in members if member.node_id != own.node_id]
    same_zone = sorted(
        (member for member in others if _zone_of(member) == _zone_of(own)),
        key=lambda member: (member.node_id < own.node_id, member.node_id),
    )
    remote = [
        owner_of(own.node_id, [member for member in others if _zone_of(member) == zone])
        for zone in _other_zones(own, others)
    ]
    return same_zone[:RING_SUCCESSORS] + [peer for peer in remote if isinstance(peer, Member)]


def _other_zones(own: Member, others: Sequence[Member]) -> list[tuple[str, str]]:
    zones = {_zone_of(member) for member in others} - {_zone_of(own)}
    ring = sorted(zones, key=lambda zone: (zone < _zone_of(own), zone))
    first, rest = ring[:1], ring[1:]
    if any(region != own.region for region, _ in first):
        return ring[:REMOTE_ZONES]
    other_regions = [zone for zone in rest if zone[0] != own.region]
    start = start_offset(own.node_id, len(other_regions))
    return (first + other_regions[start:] + other_regions[:start] + rest)[:REMOTE_ZONES]


def start_offset(key: str, count: int) -> int:
    """Return a start index below `count` derived from the key; 0 if `count` is 0."""
    return sum(key.encode()) % count if count else 0


def _zone_of(member: Member) -> tuple[str, str]:
    return member.region, member.zone
