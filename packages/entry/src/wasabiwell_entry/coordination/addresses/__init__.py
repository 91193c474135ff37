"""Address lists for callers."""

from wasabiwell_entry.coordination.addresses.capacity import (
    AdvertisedCapacity,
    MachineLimits,
    nominal_capacity,
)
from wasabiwell_entry.coordination.addresses.coordinator import AddressCoordinator
from wasabiwell_entry.coordination.addresses.weighting import CapacityWeighting

__all__ = [
    "AddressCoordinator",
    "AdvertisedCapacity",
    "CapacityWeighting",
    "MachineLimits",
    "nominal_capacity",
]
