"""Renewal interval, concurrency and timeout of calls that reserve engine memory."""

from datetime import timedelta

RENEWAL_INTERVAL = timedelta(seconds=8)
"""Default renewal interval; engine reservations expire after 30 s."""
MAX_CONCURRENT_CALLS = 16
"""Maximum number of concurrent calls, so that a silent engine does not delay the others."""
STOP_TIMEOUT = timedelta(seconds=1)
"""Timeout for releasing reservations on shutdown; unreleased ones expire."""
