"""Constants of observing requests."""

RETAINED_RECORDS = 10_000
"""Recent request records; at 24 requests/s for each entry instance they cover 7 minutes."""
MAX_ATTEMPTS_RECORDED = 8
MAX_REASON_CHARS = 200
"""Longer reasons of failed attempts are cut, because targets choose their text."""
