"""Run records, by which a non-idempotent call runs at most once."""

from wasabiwell_entry.coordination.runs.coordinator import RunCoordinator, open_run_coordinator

__all__ = ["RunCoordinator", "open_run_coordinator"]
