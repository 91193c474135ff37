"""Start and stop of an entry instance."""

from wasabiwell_entry.coordination.lifecycle.coordinator import LifecycleCoordinator

__all__ = ["LifecycleCoordinator"]
