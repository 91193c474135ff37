"""Resolution and usable share of the retry budget."""

BUCKETS_PER_WINDOW = 10
"""Number of buckets per window in which requests and retries are counted."""
USABLE_FRACTION = 0.8
"""Fraction of the budget that is used.

The rest covers retries of other instances that their last state message does not include yet.
"""
