"""Constants of quarantine."""

from datetime import timedelta

SUSPECT_PREFIX = "suspect/"
QUARANTINE_LIFETIME = timedelta(hours=24)
MAX_WRITE_TRIES = 3
STORE_WAIT = timedelta(seconds=1)
"""A retry waits this long for the other entry instances' marks, then goes on with its own."""
MIN_FOLLOW_INTERVAL = timedelta(seconds=1)
FOLLOW_INTERVAL_PER_MEMBER = timedelta(milliseconds=10)
"""Keeps the scans of all entry instances together below 100/s."""
FOLLOW_LIMIT_ROWS = 1_000
TURN_PREFIX = "suspect-turn/"
TURN_LIFETIME = timedelta(seconds=30)
"""An entry instance that dies blocks a target for other suspects no longer than this. Clocks of
machines differ by seconds at most."""
TURN_POLL_INTERVAL = timedelta(milliseconds=250)
"""Suspects are few and wait seldom, so that these reads add little to the table service's load."""
CRASH_LIMIT = 3
"""Targets that may die under one request on deployments whose users allow three."""
SUSPICION_LIFETIME = timedelta(minutes=10)
"""Callers send a request that failed again within minutes."""
SUSPICION_REPEAT_TIME = timedelta(seconds=2)
"""A suspicion is repeated with the states of this long, as a single datagram may be lost."""
