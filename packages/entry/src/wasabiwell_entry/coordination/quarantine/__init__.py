"""Requests suspected of crashing targets."""

from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator

__all__ = ["QuarantineCoordinator"]
