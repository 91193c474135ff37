"""Address lists for callers."""

from wasabiwell_entry.coordination.addresses.coordinator import AddressCoordinator

__all__ = ["AddressCoordinator"]
