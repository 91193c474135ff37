"""Believes targets to be well, failing, lost or gone."""

from wasabiwell_entry.coordination.health.coordinator import TargetHealth

__all__ = ["TargetHealth"]
