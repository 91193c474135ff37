"""Constants of run records."""

from datetime import timedelta

RECORD_LIFETIME = timedelta(days=7)
DEADLINE_GRACE = timedelta(seconds=5)
"""A started record counts as unknown this long after its deadline."""
INLINE_ANSWER_BYTES = 16_384
"""Larger answers go to the object store, so that rows of the table service stay small."""
SETTLE_RETRY_INTERVAL = timedelta(seconds=1)
STILL_RUNNING_RETRY_AFTER = timedelta(seconds=1)
STORE_RETRY_AFTER = timedelta(seconds=2)
