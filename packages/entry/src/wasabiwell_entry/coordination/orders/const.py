"""Lifetimes and timeouts of orders to engines and of their leases."""

from datetime import timedelta

LEASE_LIFETIME = timedelta(seconds=15)
ORDER_TIMEOUT = timedelta(seconds=5)
"""Time within which an engine acknowledges an order; afterwards the order has no effect."""
CLOCK_DRIFT_MARGIN = timedelta(milliseconds=500)
"""Added to the wait for another holder's lease, because clocks run at different speeds."""
RATE_INTERVAL = timedelta(seconds=10)
RATE_KEY = "weight-store"
"""Ownership key of a region's share of the weight store's rate limit."""
STORE_RETRY_AFTER = timedelta(seconds=2)
