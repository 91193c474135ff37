"""Orders to engines, sent under leases with fencing numbers."""

from wasabiwell_entry.coordination.orders.coordinator import OrderCoordinator
from wasabiwell_entry.coordination.orders.leases import OrderLeases
from wasabiwell_entry.coordination.orders.rate import WeightStoreRateLimiter

__all__ = ["OrderCoordinator", "OrderLeases", "WeightStoreRateLimiter"]
