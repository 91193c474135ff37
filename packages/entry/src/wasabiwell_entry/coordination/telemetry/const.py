"""Size limits of request records."""

RETAINED_RECORDS = 10_000
"""Covers the last 7 minutes at 24 requests/s per entry instance."""
MAX_ATTEMPTS_RECORDED = 8
MAX_REASON_CHARS = 200
"""Longer failure reasons are truncated, because they contain text from targets."""
