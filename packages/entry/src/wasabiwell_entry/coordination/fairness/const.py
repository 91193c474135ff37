"""Times and thresholds of fair sharing."""

from datetime import timedelta

MIN_ORGANISATIONS = 2
"""Sharing has a meaning only if the configuration names more than one organisation."""
DEMAND_SECONDS = 1.0
"""Time after an organisation's last request for which it counts as having demand. An ended demand
is left to the others within this time."""
DEMAND_CHECK_SECONDS = 0.1
"""Interval at which ended demands are looked for, so that it is not done for each request."""
SHARE_SLACK = 0.25
"""Work beyond its part of the slots that an organisation may have within its share, as a ratio of
that part. It is queued at the targets, so that no slot stays free until the next request arrives.
"""
PEER_LIMIT_RATIO = 2.0
"""Ratio to its share up to which an organisation is taken to have been inside it when a peer placed
a request. Messages of concurrent placements cross each other."""
MIN_LEFT_RATIO = 0.05
"""Least part of the capacity that is taken to be left for requests beyond the shares; it bounds
their predicted time."""
MAX_PRIORITY = 2
"""Lowest priority of a route or tenant; 0 is the highest."""
URGENCY_IN_SHARE = 1
"""First urgency of requests of organisations that are inside their share."""
URGENCY_UNKNOWN = 5
"""Urgency of requests without an organisation, which have no share: that of targets for requests
that state none."""
URGENCY_OVER_SHARE = 6
"""First urgency of requests of organisations that are over their share."""
MAX_URGENCY = 9
FAR_OVER_RATIO = 2.0
"""Ratio to its share from which an organisation's requests go after those of others over theirs."""
AGEING_STEPS = 4
"""A request gains this many steps of urgency while the time until its deadline passes."""
LOW_VALUE_RATIO = 0.5
"""Ratio of the value that a request loses by waiting, for each second of target time that it takes,
to that of a usual request of its service, below which it waits for others of its priority."""
MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=10)
"""Predictions over a longer time are not reliable, as demands change within seconds."""
BURST = timedelta(milliseconds=500)
"""Time from the start of a shortage in which the work inside the shares is not expected to go on;
requests that a short burst leaves waiting are then not rejected."""
SHORTAGE_END = timedelta(seconds=1)
"""Time with capacity after which a shortage counts as ended; slots become free for moments in a
shortage, too."""
MAX_REPORTED_ORGANISATIONS = 32
"""Bounds the label values of the gauge; the organisations with the most work are reported."""
