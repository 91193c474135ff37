"""Graceful stop: an entry instance finishes its open requests before it exits."""

from wasabiwell_entry.coordination.stop.coordinator import GracefulStop
from wasabiwell_entry.coordination.stop.event_loop import EventLoopMonitor

__all__ = ["EventLoopMonitor", "GracefulStop"]
