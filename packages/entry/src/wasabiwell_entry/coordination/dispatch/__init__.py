"""Runs a request on targets until it has its whole answer or its deadline passes."""

from wasabiwell_entry.coordination.dispatch.coordinator import Dispatcher

__all__ = ["Dispatcher"]
