"""Reserves, renews and releases engine memory."""

from wasabiwell_entry.coordination.reservations.coordinator import EngineReservations

__all__ = ["EngineReservations"]
