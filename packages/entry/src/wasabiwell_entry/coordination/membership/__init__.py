"""Gossip-based membership of the entry instances."""

from wasabiwell_entry.coordination.membership.coordinator import MembershipCoordinator

__all__ = ["MembershipCoordinator"]
