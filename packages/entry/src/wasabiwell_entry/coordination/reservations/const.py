"""Constants of reservations at engines."""

from datetime import timedelta

RENEWAL_INTERVAL = timedelta(seconds=8)
"""Time between renewals of an engine reservation, which expires after 30 s."""
MAX_CONCURRENT_CALLS = 16
"""Calls to engines at once, so that a silent engine does not delay the others."""
STOP_TIMEOUT = timedelta(seconds=1)
"""Time to return reservations on stop; what is not returned expires."""
