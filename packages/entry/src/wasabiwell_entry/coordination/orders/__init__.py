"""Fenced orders to engines."""

from wasabiwell_entry.coordination.orders.coordinator import OrderCoordinator
from wasabiwell_entry.coordination.orders.leases import OrderLeases
from wasabiwell_entry.coordination.orders.rate import WeightStoreRateLimiter

__all__ = ["OrderCoordinator", "OrderLeases", "WeightStoreRateLimiter"]
