"""Runs requests on targets with retries until they are completed or their deadline passes."""

from wasabiwell_entry.coordination.dispatch.coordinator import Dispatcher

__all__ = ["Dispatcher"]
