"""Tracks the instance list, load and prefix caches of targets."""

from wasabiwell_entry.coordination.targets.coordinator import TargetCoordinator

__all__ = ["TargetCoordinator"]
