"""Constants of a graceful stop."""

from datetime import timedelta

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
"""Time between looks at the number of open requests."""
ACCEPT_DURATION = timedelta(milliseconds=3_300)
"""A leaving instance accepts connections this long: callers keep its address for 2 s, and what
they sent within 3 s of the order to stop has to be answered."""
TERMINATION_MARGIN = timedelta(milliseconds=400)
"""Time before the end of the grace period at which open requests are given up."""
