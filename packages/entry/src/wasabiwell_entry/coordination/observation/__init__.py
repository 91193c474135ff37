"""Metrics of forwarded requests."""

from wasabiwell_entry.coordination.observation.coordinator import ObservedForwarder

__all__ = ["ObservedForwarder"]
