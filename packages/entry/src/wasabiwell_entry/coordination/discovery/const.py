"""Poll intervals and timeouts for the list of targets and the routes."""

from datetime import timedelta

WATCHER_COUNT = 3
"""Instances that poll the list of targets and notify the others; two may fail at the same time."""
LISTING_POLL_WAIT = timedelta(milliseconds=1_200)
"""Time for which the store holds a watcher's long poll without changes; its response also shows
that the store is reachable. Changes are returned at once."""
LISTING_POLL_MARGIN = timedelta(milliseconds=800)
"""Time beyond the requested wait after which the connection of a poll of the list counts as silent.
With the wait, `RECONNECT_TIMEOUT` and a response within 0.3 s, as from the users' stores when they
are slow, it adds up to 2.7 s. The fastest users expect all bounds to hold again 3 s after
connections have failed; the rest is for delays of the process itself."""
RECONNECT_READS = 2
"""Reads that a watcher makes without a pause after a silent connection; the first one may fail."""
RECONNECT_TIMEOUT = timedelta(milliseconds=400)
"""Timeout of these reads except for the last, with their new connections."""
FIRST_POLL_DELAY = timedelta(milliseconds=100)
"""Time between the first read of the list and the first poll. Within it an instance is told the
addresses of the others, and that it is not one of the watchers."""
NOTICE_TIMEOUT = timedelta(milliseconds=1_400)
"""Time without a notice from a watcher after which an instance reads the list itself. With the
spread it stays below the 2 s within which the fastest users want a departure to be known, although
all watchers have ended."""
NOTICE_TIMEOUT_SPREAD = timedelta(milliseconds=200)
"""Time over which the instances of the whole fleet read, in the order of their ranks. The first of
them tells the others, so that most do not have to read."""
STALE_READ_DELAY = timedelta(milliseconds=100)
"""Delay after a read from a store that lags behind the current list."""
MISMATCH_READ_DELAY = timedelta(milliseconds=100)
"""Time after a notice that cannot be applied until the whole list is read; notices of the other
watchers often make the read unnecessary."""
MISMATCH_READ_STEP = timedelta(milliseconds=2)
"""Added to the delay for each rank, so that not all instances read at once."""
READ_TIMEOUT = timedelta(milliseconds=1_500)
"""Timeout of one read; the users' stores respond within 0.3 s when they are slow."""
FAILED_READ_DELAY = timedelta(milliseconds=700)
"""Delay after a failed read; calls are billed even while the store is unavailable."""
RECOVERY_GRACE = timedelta(milliseconds=2_500)
"""Time for which targets that are missing after an outage are kept; running targets register again
within about 2 s of the store's recovery."""
DEPARTED_HOLD = timedelta(seconds=30)
"""Longest time for which a process that had left gets no work because a copy of the store lists it
again. The platform removes entries without a living process after three heartbeats, which are a few
seconds, so an entry that is still there belongs to a process that lives."""
DEPARTURE_MEMORY = timedelta(minutes=2)
"""Time for which departures are remembered; a copy of the store is some seconds old, and the rest
covers an outage before the return."""
MAX_REMEMBERED_DEPARTURES = 4_096
"""More than leave within minutes of 12,000 targets."""
OUTDATED_LOG_INTERVAL = timedelta(seconds=5)
"""Time between two log lines on dropped answers; a peer in an older era sends a notice in 1.2 s."""
OUTAGE_THRESHOLD = timedelta(milliseconds=2_500)
"""Age of the list from which the time before a new list counts as an outage of the store. Only
failed reads, a store that does not answer, and a process that did not run make a list that old."""
ROUTE_POLL_WAIT = timedelta(seconds=29)
"""Time for which the store holds a long poll for route changes; the store's maximum is 30 s."""
ROUTE_POLL_MARGIN = timedelta(seconds=2)
"""Time beyond the requested wait after which the connection of a long poll counts as lost."""
MIN_ROUTE_RETRY_DELAY = timedelta(milliseconds=300)
MAX_ROUTE_RETRY_DELAY = timedelta(milliseconds=1_500)
"""Bounds of the delay between failed reads; routes must be in force 2 s after a change."""
FOLLOWER_POLL_WAIT = timedelta(milliseconds=800)
"""Time for which the store holds the long poll of a follower. Each response is a confirmation for
the listeners, which the fastest users want to follow a change within 2 s."""
FOLLOWER_POLL_MARGIN = timedelta(seconds=1)
"""The same as `ROUTE_POLL_MARGIN` for followers."""
ROLE_CHECK_INTERVAL = timedelta(seconds=1)
"""Interval at which an instance checks, in a longer poll than that of a follower, whether it has
become one; it may have begun to poll before it knew the fleet."""
CONFIRMATION_TIMEOUT = timedelta(milliseconds=1_300)
"""Time without a confirmation after which a listener reads the store itself. One confirmation of
each follower may be lost."""
TAKEOVER_SPREAD = timedelta(milliseconds=300)
"""Time over which the listeners read the store when no follower is heard. The first of them
confirms the routes, so that most of the others do not have to read."""
TURN_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Interval at which a listener that waits for its turn looks for a confirmation."""
LATE_READ_MARGIN = timedelta(milliseconds=250)
"""Time beyond the requested wait after which a follower reports that it cannot read the store. The
users' stores respond within 0.3 s when they are slow; the report comes before listeners miss the
confirmation."""
UNREACHABLE_REPORT_LIFETIME = timedelta(seconds=4)
"""Time for which a report of a follower counts; it covers the pause between two of its reads."""
STORE_SEARCH_RATE = 10.0
"""Reads per second, by all instances together that take turns while the store cannot be reached: it
may refuse some of them and serve others. The first that reaches it tells all."""
ANNOUNCEMENT_DELAY = timedelta(milliseconds=250)
"""Time for the store's long poll to return a version that a peer has announced, before the version
is fetched from the peer."""
SLOW_FETCH_DELAY = timedelta(milliseconds=700)
"""Time after which a fetch from a peer counts as slow, and the store is read beside it. Hundreds of
instances may fetch a large document from one peer at the same moment. With `ANNOUNCEMENT_DELAY` it
leaves a second of the 2 s within which the fastest users want a change to be in force."""
OLD_PROOF_AGE = timedelta(seconds=2)
"""Age from which the last proof that the routes are current is logged: a change must be in force
2 s after it."""
ANNOUNCEMENT_LIFETIME = timedelta(seconds=4)
"""Time for which an announced version that has not arrived makes the routes count as outdated.
Peers that have it announce it again; one odd announcement must not count for good."""
PROOF_CHECK_INTERVAL = timedelta(seconds=1)
"""Interval at which the age of the last proof is checked."""
REPEATED_LINE_INTERVAL = timedelta(seconds=5)
"""Shortest time between two log lines of one old proof, or of one version that is not applied."""
