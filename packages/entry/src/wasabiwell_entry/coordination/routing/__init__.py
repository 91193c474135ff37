"""Selects targets for requests."""

from wasabiwell_entry.coordination.routing.coordinator import Router

__all__ = ["Router"]
