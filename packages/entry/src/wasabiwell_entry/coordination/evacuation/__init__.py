"""Decides which availability zones are evacuated."""

from wasabiwell_entry.coordination.evacuation.coordinator import EvacuationTable

__all__ = ["EvacuationTable"]
