"""Lets an entry instance finish its requests before it stops."""

from wasabiwell_entry.coordination.stop.coordinator import GracefulStop

__all__ = ["GracefulStop"]
