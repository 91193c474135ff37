"""Constants of configuration versions."""

from datetime import timedelta

HEAD_KEY = "config/head"
DELTA_PREFIX = "config/delta/"
SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_OBJECT_PREFIX = "config/snapshot-"
LATEST_SNAPSHOT_OBJECT = "config/latest"
"""Copy of the newest snapshot under a fixed name, for a start without the table service."""
SNAPSHOT_VERSIONS = 100
RETAINED_DELTA_ROWS = 1000
"""Delta rows kept below a snapshot, so that lost replies can be settled for 25 minutes."""
DELETED_ROWS_AT_ONCE = 100

POLL_INTERVAL = timedelta(seconds=1)
POLLERS_PER_ZONE = 2
"""Instances that poll often; 18 zones give 36 of the 2,000 reads/s of the platform."""
RARE_POLL_INTERVAL = timedelta(seconds=30)
OVERDUE_POLL_INTERVAL = timedelta(seconds=4)
"""Poll interval of an instance whose version has no confirmation through heartbeats."""
OVERDUE_CONFIRMATION_AGE = timedelta(seconds=6)
MAX_CONFIRMATION_AGE = timedelta(seconds=8)

PUSHED_PEERS = 2
PUSH_CANDIDATES = 6
PUSHED_DELTAS = 20
"""Deltas pushed to a peer that lags; a peer that lags more fetches them."""
APPLY_ATTEMPTS = 5
COMMIT_ATTEMPTS = 3
FETCH_RETRY_INTERVAL = timedelta(milliseconds=200)
