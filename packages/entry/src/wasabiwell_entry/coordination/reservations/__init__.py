"""Reserves, renews and returns memory of engines."""

from wasabiwell_entry.coordination.reservations.coordinator import EngineReservations

__all__ = ["EngineReservations"]
