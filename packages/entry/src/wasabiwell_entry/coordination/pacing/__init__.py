"""Limits the requests to cold targets, and raises the load of recovering ones step by step."""

from wasabiwell_entry.coordination.pacing.coordinator import TargetPacing

__all__ = ["TargetPacing"]
