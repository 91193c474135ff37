"""Provides callers with the entry instances to use."""

from datetime import timedelta

import xxhash

from wasabiwell_entry.coordination.addresses.errors import AddressList
from wasabiwell_entry.coordination.addresses.ports import MemberSource
from wasabiwell_entry.coordination.addresses.weighting import CapacityWeighting
from wasabiwell_entry.state.members import Member


class AddressCoordinator:
    """Orders the addresses of the members by proximity to a caller.

    With a weighting, it selects which of them a response names.
    """

    __slots__ = ("_members", "_own", "_ttl", "_weighting")

    def __init__(
        self,
        own: Member,
        members: MemberSource,
        ttl: timedelta,
        weighting: CapacityWeighting | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._ttl = ttl
        self._weighting = weighting

    def addresses(self, zone: str | None, spread_key: str) -> AddressList:
        """Return the addresses, ordered by the caller's zone, the own region, and a hash.

        `spread_key` differs between callers, so that those in one zone are spread over its
        instances.
        """
        near = zone or self._own.zone
        members = sorted(
            self._members.alive(),
            key=lambda member: (
                member.zone != near,
                member.region != self._own.region,
                xxhash.xxh3_64_intdigest(f"{spread_key}\0{member.node_id}".encode()),
            ),
        )
        named = self._weighting.select(members, spread_key) if self._weighting else members
        return AddressList(tuple(member.caller_address for member in named), self._ttl)
