"""Graceful stop: an entry instance finishes its open requests before it exits."""

from wasabiwell_entry.coordination.stop.coordinator import GracefulStop

__all__ = ["GracefulStop"]
