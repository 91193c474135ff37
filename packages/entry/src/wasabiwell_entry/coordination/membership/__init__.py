"""Knowledge of the other entry instances."""

from wasabiwell_entry.coordination.membership.coordinator import MembershipCoordinator

__all__ = ["MembershipCoordinator"]
