"""Constants of dispatching requests to targets."""

from datetime import timedelta

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
"""Retries allowed for each first attempt, so that a failing fleet is not overloaded by retries."""
RETRY_RESERVE = 10.0
"""Retries allowed before any first attempt has been counted."""
RETRY_DELAY = timedelta(milliseconds=50)
CAPACITY_RETRY_AFTER = timedelta(seconds=1)
SERVICE_UNAVAILABLE = 503
"""Status with which a target tells that another target may answer an idempotent call."""
QUARANTINED_MESSAGE = "targets died while they ran this request; it is refused"
