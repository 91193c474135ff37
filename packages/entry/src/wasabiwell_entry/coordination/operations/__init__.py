"""Operators' requests to an entry instance."""

from wasabiwell_entry.coordination.operations.coordinator import OperationsCoordinator

__all__ = ["OperationsCoordinator"]
