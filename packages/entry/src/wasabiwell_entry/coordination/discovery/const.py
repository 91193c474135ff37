"""Constants of following the platform's store."""

from datetime import timedelta

WATCHERS = 3
"""Instances that follow the list of targets and tell the others; two may be lost at once."""
WATCH_WAIT = timedelta(milliseconds=1_500)
"""Time for which the store holds a watcher's query; the answer also proves that the store is there.
Changes are answered at once."""
UNHEARD_LIMIT = timedelta(milliseconds=1_700)
"""An instance that was told of no answer for this long asks itself."""
UNHEARD_STEP = timedelta(milliseconds=40)
"""Further wait for each place in the order of instances, so that one of them asks first."""
LAGGING_READ_PAUSE = timedelta(milliseconds=100)
"""Pause after an answer of a store that lags behind what is known."""
READ_TIMEOUT = timedelta(milliseconds=1_500)
"""Bound of one read; the users' stores answer within 0.3 s when they are slow."""
FAILED_READ_PAUSE = timedelta(milliseconds=700)
"""Pause after a failed read: calls are priced also while the store is down."""
RETURN_GRACE = timedelta(milliseconds=2_500)
"""Targets that are missing after an outage are kept this long: living ones enter themselves anew
within about 2 s of the store's return."""
OUTAGE_AGE = timedelta(milliseconds=2_500)
"""A list older than this before an answer was not followed, as in an outage."""
ROUTE_WAIT = timedelta(seconds=29)
"""Time for which the store holds a query for changes; it allows 30 s."""
ROUTE_WAIT_MARGIN = timedelta(seconds=2)
"""A query that is answered this much later than asked for has lost its connection."""
ROUTE_RETRY_PAUSE = timedelta(milliseconds=300)
MAX_ROUTE_RETRY_PAUSE = timedelta(milliseconds=1_500)
"""Pauses between failed queries; routes have to be in force 2 s after a change."""
ANNOUNCED_WAIT = timedelta(milliseconds=250)
"""Time in which the own query should bring a version that a peer has; then it is read at once."""
