"""Start and stop of an entry instance."""

from wasabiwell_entry.coordination.lifecycle.coordinator import LifecycleCoordinator
from wasabiwell_entry.coordination.lifecycle.recovery import RecoveryCoordinator

__all__ = ["LifecycleCoordinator", "RecoveryCoordinator"]
