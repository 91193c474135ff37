"""Lifetimes, intervals and message limits of credits."""

from datetime import timedelta

CREDIT_LIFETIME = timedelta(seconds=3)
REPORT_LAG = timedelta(seconds=1)
"""Time for which an owner keeps a credit after its holder may no longer use it.

By then, a request that started just before the expiry is part of the engine's load report: reports
are delayed by half a second and polled every half second.
"""
RENEW_BEFORE = timedelta(seconds=1.5)
"""Remaining lifetime at which a credit in use is renewed; leaves time for one retry."""
IDLE_WINDOW = timedelta(seconds=1)
"""Credit that was unused for one to two windows is released."""
MAINTENANCE_INTERVAL = timedelta(milliseconds=250)
CLAIM_INTERVAL = timedelta(milliseconds=10)
"""Minimum time between two messages to one owner; demand in between is batched."""
SHORTAGE_BACKOFF = timedelta(milliseconds=100)
"""Delay after an owner could not grant a claim in full; doubles with each further shortage."""
MAX_SHORTAGE_BACKOFF = timedelta(milliseconds=800)
MAX_CONSECUTIVE_SHORTAGES = 4
"""Maximum count of consecutive shortages; enough to reach the maximum backoff."""
OWNERSHIP_SCAN_INTERVAL = timedelta(seconds=1)
"""Interval of scans for newly owned engines, whose credits are collected before the first claim."""
COLLECT_CONCURRENCY = 16
"""Maximum number of members that a new owner queries concurrently."""
STOP_TIMEOUT = timedelta(seconds=1)
"""Timeout for releasing credits on shutdown; unreleased ones expire."""
MAX_CLAIMS_PER_MESSAGE = 64
"""Maximum number of engines in one message, which keeps it below 8 KB."""
