"""Constants of orders to engines."""

from datetime import timedelta

LEASE_LIFETIME = timedelta(seconds=15)
ORDER_TIMEOUT = timedelta(seconds=5)
"""Time in which an engine acknowledges an order; an order has no effect after it."""
CLOCK_DRIFT_MARGIN = timedelta(milliseconds=500)
"""Added to the wait for another holder's lease, for clocks that run at different speeds."""
RATE_INTERVAL = timedelta(seconds=10)
RATE_KEY = "weight-store"
"""Key by which the owner of a region's share of the weight store's rate is found."""
STORE_RETRY_AFTER = timedelta(seconds=2)
