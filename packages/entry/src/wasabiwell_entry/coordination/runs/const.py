"""Constants of run records."""

from datetime import timedelta

RECORD_LIFETIME = timedelta(days=7)
CLOCK_SKEW_MARGIN = timedelta(days=1)
"""A record is kept this much longer, because a wall clock that is ahead sees it expire early."""
DEADLINE_GRACE = timedelta(seconds=5)
"""A started record counts as unknown this long after its deadline."""
INLINE_ANSWER_BYTES = 16_384
"""Larger answers go to the object store, so that rows of the table service stay small."""
MAX_CLAIM_ATTEMPTS = 3
SETTLE_TIMEOUT = timedelta(milliseconds=500)
"""A caller waits this long for its record to be settled, so that a prompt repeat finds it."""
SETTLE_RETRY_INTERVAL = timedelta(seconds=1)
MAX_SETTLE_RETRY_INTERVAL = timedelta(seconds=30)
"""Longest pause between two tries, so that a recovering table service is not overloaded."""
SETTLE_POLL_INTERVAL = timedelta(milliseconds=50)
MAX_PENDING_SETTLEMENTS = 1_000
"""Settlements at once. One more is given up; its record becomes unknown after its deadline."""
SHUTDOWN_SETTLE_TIMEOUT = timedelta(seconds=5)
SWEEP_INTERVAL = timedelta(seconds=60)
SWEEP_PAGE_ROWS = 100
STILL_RUNNING_RETRY_AFTER = timedelta(seconds=1)
STORE_RETRY_AFTER = timedelta(seconds=2)
