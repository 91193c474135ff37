"""Durations of the steps of a graceful stop."""

from datetime import timedelta

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
"""Interval at which the number of open requests is polled."""
ACCEPT_DURATION = timedelta(milliseconds=3_300)
"""How long a leaving instance accepts connections. Callers cache its address for 2 s, and requests
sent within 3 s of the stop signal must be served."""
TERMINATION_MARGIN = timedelta(milliseconds=400)
"""Time before the end of the grace period at which open requests are aborted."""
