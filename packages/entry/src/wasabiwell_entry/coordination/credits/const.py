"""Constants of credits."""

from datetime import timedelta

CREDIT_LIFETIME = timedelta(seconds=3)
REPORT_LAG = timedelta(seconds=1)
"""An owner keeps a credit this much longer than its holder may spend it.

A request that starts just before the expiry is in the engine's load report by then: reports lag by
half a second and are read twice a second.
"""
RENEW_BEFORE = timedelta(seconds=1.5)
"""A credit in use is renewed when less than this is left, which leaves time for one repeat."""
IDLE_WINDOW = timedelta(seconds=1)
"""Credit that was not used for one to two windows is given back."""
MAINTENANCE_INTERVAL = timedelta(milliseconds=250)
CLAIM_INTERVAL = timedelta(milliseconds=10)
"""Shortest time between two messages to one owner; demand in between shares a message."""
SHORTAGE_BACKOFF = timedelta(milliseconds=100)
"""Time until the next message to an owner that could not grant all; doubles with each shortage."""
MAX_SHORTAGE_BACKOFF = timedelta(milliseconds=800)
MAX_CONSECUTIVE_SHORTAGES = 4
"""Shortages in a row that are counted; enough to reach the longest interval."""
OWNERSHIP_SCAN_INTERVAL = timedelta(seconds=1)
"""Time between two looks for newly owned engines, so that their first claim needs no wait."""
COLLECT_CONCURRENCY = 16
"""Members that a new owner asks at once."""
STOP_TIMEOUT = timedelta(seconds=1)
"""Time to give credit back on stop; what is not given back expires."""
MAX_CLAIMS_PER_MESSAGE = 64
"""Engines in one message, which keeps it under 8 KB."""
