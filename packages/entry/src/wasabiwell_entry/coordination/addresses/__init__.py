"""Addresses that callers should use."""

from wasabiwell_entry.coordination.addresses.coordinator import AddressCoordinator

__all__ = ["AddressCoordinator"]
