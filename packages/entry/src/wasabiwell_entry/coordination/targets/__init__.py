"""Knowledge of targets."""

from wasabiwell_entry.coordination.targets.coordinator import TargetCoordinator

__all__ = ["TargetCoordinator"]
