"""Durations of the steps of a graceful stop."""

from datetime import timedelta

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
"""Interval at which the number of open requests is polled."""
ACCEPT_DURATION = timedelta(milliseconds=3_300)
"""How long a leaving instance accepts connections, from the handling of the stop signal: only then
callers can learn that its address is gone, which they cache for 2 s."""
UNBOUNDED_ACCEPT_DURATION = timedelta(milliseconds=2_800)
"""How long a leaving instance takes retryable requests that may last longer than its stop: most of
them can still be finished. The users expect this for requests that are sent within 3 s of the stop
signal, which may be handled a little late."""
COMPLETION_MARGIN = timedelta(milliseconds=200)
"""Time before open requests are aborted at which the time limit of a late request must have ended,
so that its response can still be sent."""
FAILURE_SEND_DURATION = timedelta(milliseconds=200)
"""Time after open requests are aborted in which their callers are told so."""
LATE_HANDLING = timedelta(milliseconds=500)
"""Time between the possible delivery and the handling of a stop signal above which it is logged."""
RUN_RECORD_INTERVAL = timedelta(milliseconds=100)
"""Longest time between the records of an idle event loop. A stop is shorter by up to this time, and
each record costs some processor time."""
TERMINATION_MARGIN = timedelta(milliseconds=400)
"""Time before the end of the grace period at which open requests are aborted."""
