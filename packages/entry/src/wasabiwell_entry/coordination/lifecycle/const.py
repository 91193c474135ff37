"""Constants of start and stop."""

from datetime import timedelta

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
