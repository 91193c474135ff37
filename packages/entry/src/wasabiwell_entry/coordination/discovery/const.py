"""Constants of following the platform's store."""

from datetime import timedelta

WATCHERS = 2
"""Instances that read the list of targets at intervals and tell the others."""
WATCH_INTERVAL = timedelta(milliseconds=800)
"""Time between the reads of one watcher; a leaving target is known to all within about 0.5 s."""
UNHEARD_LIMIT = timedelta(milliseconds=1_100)
"""An instance that was told of no read for this long reads itself."""
UNHEARD_STEP = timedelta(milliseconds=40)
"""Further wait for each place in the order of instances, so that one of them reads first."""
CHECK_INTERVAL = timedelta(milliseconds=100)
READ_TIMEOUT = timedelta(milliseconds=1_500)
"""Bound of one read; the users' stores answer within 0.3 s when they are slow."""
FAILED_READ_PAUSE = timedelta(milliseconds=700)
"""Pause after a failed read: calls are priced also while the store is down."""
RETURN_GRACE = timedelta(milliseconds=2_500)
"""Targets that are missing after an outage are kept this long: living ones enter themselves anew
within about 2 s of the store's return."""
OUTAGE_AGE = timedelta(milliseconds=1_500)
"""A list older than this before a read was not followed, as in an outage."""
SILENT_HEARTBEATS = 2.4
"""Heartbeat intervals without a sign of life after which a target counts as silent; the list drops
it after three."""
ROUTE_WAIT = timedelta(seconds=25)
"""Time for which the store holds a query for changes; it allows 30 s."""
ROUTE_WAIT_MARGIN = timedelta(seconds=2)
"""A query that is answered this much later than asked for has lost its connection."""
ROUTE_RETRY_PAUSE = timedelta(milliseconds=300)
MAX_ROUTE_RETRY_PAUSE = timedelta(milliseconds=1_500)
"""Pauses between failed queries; routes have to be in force 2 s after a change."""
ANNOUNCED_WAIT = timedelta(milliseconds=250)
"""Time in which the own query should bring a version that a peer has; then it is read at once."""
