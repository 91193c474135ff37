"""Estimates whether targets are healthy, failing, paused or leaving."""

from wasabiwell_entry.coordination.health.coordinator import TargetHealth

__all__ = ["TargetHealth"]
