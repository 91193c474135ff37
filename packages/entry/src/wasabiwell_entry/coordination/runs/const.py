"""Lifetimes, retries and size limits of run records."""

from datetime import timedelta

RECORD_LIFETIME = timedelta(days=7)
CLOCK_SKEW_MARGIN = timedelta(days=1)
"""Added to a record's lifetime, because an instance whose clock is ahead sees it expire early."""
DEADLINE_GRACE = timedelta(seconds=5)
"""A record that is still started this long after its deadline has an unknown result."""
MAX_INLINE_RESPONSE_BYTES = 16_384
"""Larger responses go to the object store, to keep rows of the table service small."""
MAX_CLAIM_ATTEMPTS = 3
SETTLE_TIMEOUT = timedelta(milliseconds=500)
"""A caller waits up to this long for its record to be settled, so that an immediate retry finds
the result."""
SETTLE_RETRY_INTERVAL = timedelta(seconds=1)
MAX_SETTLE_RETRY_INTERVAL = timedelta(seconds=30)
"""Limit of the exponential backoff, which keeps load off a recovering table service."""
SETTLE_POLL_INTERVAL = timedelta(milliseconds=50)
MAX_PENDING_SETTLEMENTS = 1_000
"""Limit of concurrent settlements. Beyond it a settlement is dropped, and its record counts as
unknown after its deadline."""
SHUTDOWN_SETTLE_TIMEOUT = timedelta(seconds=5)
SWEEP_INTERVAL = timedelta(seconds=60)
SWEEP_PAGE_ROWS = 100
STILL_RUNNING_RETRY_AFTER = timedelta(seconds=1)
STORE_RETRY_AFTER = timedelta(seconds=2)
