"""Bounds of the table of evacuated zones."""

from datetime import timedelta

RESTORE_RETENTION = timedelta(seconds=10)
"""Time for which an evacuation that a copy of the store lacks stays in force. The operator repeats
the write within it; the platform states this time."""
MAX_ZONES = 64
"""Each state names all zones, and has to fit into a datagram; deployments have 3 zones."""
