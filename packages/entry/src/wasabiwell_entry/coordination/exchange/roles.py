"""Decides which entry instances act for all others, without a message to agree on it."""

from datetime import timedelta

import xxhash

from wasabiwell_entry.coordination.discovery.ports import StoreRole
from wasabiwell_entry.coordination.exchange.const import (
    ADDRESS_SENDERS,
    LISTING_SENDERS,
    MIN_ROUTE_FOLLOWERS,
    REGISTERED_INSTANCES,
    SETTLING_TIME,
)
from wasabiwell_entry.coordination.exchange.zone_locality import ZoneLocality
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.nodes import Node, NodeTable


class FleetRoles:
    """Roles of this entry instance, which follow from the addresses of the reachable ones.

    Instances may disagree for a moment, so that several of them or none act for all.
    """

    __slots__ = ("_clock", "_nodes", "_own_address", "_role", "_seeds", "_started_at", "_zones")

    def __init__(
        self,
        own_address: str,
        nodes: NodeTable,
        zones: ZoneLocality,
        seeds: tuple[str, ...],
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._nodes = nodes
        self._zones = zones
        self._seeds = seeds
        self._clock = clock
        self._started_at: timedelta | None = None
        self._role = StoreRole.INDEPENDENT

    def start(self) -> None:
        """Record that this instance has started its exchange; only the first call counts."""
        if self._started_at is None:
            self._started_at = self._clock.monotonic()

    def peers(self) -> list[Node]:
        """Return the peers that have not timed out, in the order of addresses."""
        return self._nodes.reachable(self._clock.monotonic().total_seconds())

    def fleet_size(self) -> int:
        """Return the number of entry instances that are reachable, with this one."""
        return len(self.peers()) + 1

    def rank(self) -> int:
        """Return the zero-based rank of this instance among the reachable ones, by address."""
        return sum(1 for node in self.peers() if node.address < self._own_address)

    def watch_rank(self) -> int:
        """Return the rank among those that poll the list of targets for all.

        Just after the start the addresses of the others are known before their messages arrive.
        """
        if self.settled():
            return self.rank()
        return sum(1 for node in self._nodes if node.address < self._own_address)

    def settled(self) -> bool:
        """Return whether this process has run long enough to know most of the other instances."""
        started_at = self._started_at
        return started_at is None or self._clock.monotonic() - started_at >= SETTLING_TIME

    def store_role(self) -> StoreRole:
        """Return how this instance learns of changes in the store; log when that changes.

        The followers of a large fleet are the first ones by address in each zone. In a small fleet
        the first one of all follows the store, once it knows the others.
        """
        role, rank = self._find_store_role()
        if role is not self._role:
            log_events.emit(
                log_events.STORE_ROLE_CHANGED,
                role=role.value,
                before=self._role.value,
                zone_rank=rank,
                instances=self.fleet_size(),
            )
            self._role = role
        return role

    def _find_store_role(self) -> tuple[StoreRole, int]:
        if not self._zones.large_fleet:
            rank = self.rank()
            follows = rank == 0 and self.settled()
            return (StoreRole.FOLLOWER if follows else StoreRole.INDEPENDENT), rank
        zone_by_address = {
            node.address: node.state.zone for node in self.peers() if node.state is not None
        }
        other_zones = {
            zone for zone in zone_by_address.values() if not self._zones.is_own_zone(zone)
        }
        followers = -(-MIN_ROUTE_FOLLOWERS // (1 + len(other_zones)))
        rank = sum(
            1
            for address, zone in zone_by_address.items()
            if address < self._own_address and self._zones.is_own_zone(zone)
        )
        return (StoreRole.FOLLOWER if rank < followers else StoreRole.LISTENER), rank

    def sampled(self, key: str, count: int) -> bool:
        """Return whether this instance is one of about `count` that are selected by a key."""
        point = xxhash.xxh3_64_intdigest(f"{self._own_address} {key}".encode()) / 2**64
        return point * self.fleet_size() < count

    def sends_listing(self) -> bool:
        """Return whether this instance sends the list of targets to a peer without one.

        Only those that know targets count, as the first ones by address may have none themselves.
        """
        if not self.settled():
            return False
        before = sum(
            1
            for node in self.peers()
            if node.address < self._own_address
            and node.state is not None
            and node.state.knows_targets
        )
        return before < LISTING_SENDERS

    def introduces(self, peer: str) -> bool:
        """Return whether this instance sends a new peer the addresses of all others.

        In a large fleet only a few do: lists from all to all would grow with the cube of its size.
        """
        if not self._zones.large_fleet or self.is_contact():
            return True
        return self.sampled(peer, ADDRESS_SENDERS)

    def is_contact(self) -> bool:
        """Return whether starting instances find this one as a seed or in the store."""
        if self._own_address in self._seeds:
            return True
        return self.settled() and self.rank() < REGISTERED_INSTANCES
