"""Rate and concurrency limits of organisations."""

from wasabiwell_entry.coordination.limits.coordinator import LimitCoordinator

__all__ = ["LimitCoordinator"]
