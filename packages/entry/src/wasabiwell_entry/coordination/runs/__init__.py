"""Run records of non-idempotent calls."""

from wasabiwell_entry.coordination.runs.coordinator import RunCoordinator

__all__ = ["RunCoordinator"]
