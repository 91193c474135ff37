"""Limits of attempts and retries when requests are run on targets."""

from datetime import timedelta

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
"""Retries allowed per first attempt, so that retries do not overload a failing fleet."""
MAX_SAVED_RETRIES = 10.0
"""Retries allowed before any first attempt has been counted, and the most that can accumulate."""
RETRY_DELAY = timedelta(milliseconds=50)
INCOMPLETE_RETRY_AFTER = timedelta(seconds=1)
"""Delay after which callers may retry a request that no target completed in time."""
SERVICE_UNAVAILABLE = 503
"""Status after which an idempotent call is retried on another target."""
QUARANTINED_MESSAGE = "request refused: targets crashed while processing it"
