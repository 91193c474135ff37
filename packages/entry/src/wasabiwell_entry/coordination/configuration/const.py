"""Storage keys of configuration versions, and intervals for polling and pushing them."""

from datetime import timedelta

HEAD_KEY = "config/head"
DELTA_PREFIX = "config/delta/"
SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_OBJECT_PREFIX = "config/snapshot-"
LATEST_SNAPSHOT_OBJECT = "config/latest"
"""Copy of the newest snapshot under a fixed key, for startup without the table service."""
SNAPSHOT_VERSIONS = 100
RETAINED_DELTA_ROWS = 1000
"""Delta rows kept below a snapshot, so that lost replies can be resolved for 25 minutes."""
DELETE_BATCH_ROWS = 100

POLL_INTERVAL = timedelta(seconds=1)
POLLERS_PER_ZONE = 2
"""Frequent pollers in each zone; 18 zones use 36 of the platform's 2,000 reads/s."""
SLOW_POLL_INTERVAL = timedelta(seconds=30)
OVERDUE_POLL_INTERVAL = timedelta(seconds=4)
"""Poll interval of an instance whose version is not being confirmed by heartbeats."""
OVERDUE_CONFIRMATION_AGE = timedelta(seconds=6)
MAX_CONFIRMATION_AGE = timedelta(seconds=8)

PUSHED_PEERS = 2
PUSH_CANDIDATES = 6
MAX_PUSHED_DELTAS = 20
"""Maximum of deltas pushed to a lagging peer; one that lags further fetches the rest."""
APPLY_ATTEMPTS = 5
COMMIT_ATTEMPTS = 3
FETCH_RETRY_INTERVAL = timedelta(milliseconds=200)
