"""Counts what happens to forwarded requests."""

from wasabiwell_entry.coordination.observation.coordinator import ObservedForwarder

__all__ = ["ObservedForwarder"]
