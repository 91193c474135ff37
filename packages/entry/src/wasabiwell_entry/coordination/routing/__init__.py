"""Chooses a target for a request."""

from wasabiwell_entry.coordination.routing.coordinator import Router

__all__ = ["Router"]
