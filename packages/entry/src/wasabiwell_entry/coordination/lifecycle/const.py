"""Times and limits for recovery at start, and for draining before a stop."""

from datetime import timedelta

LEAVING_PROPAGATION_TIME = timedelta(seconds=3)
"""Time until no entry instance lists a leaving one any more. Until then callers may still be given
its address."""
RELEASE_TIMEOUT = timedelta(seconds=2)
DEPARTURE_PROPAGATION_TIME = timedelta(milliseconds=1200)
"""Time for heartbeats to notify the peers that the instance has stopped."""
DEFAULT_DRAIN_LIMIT = timedelta(hours=1)
RECOVERY_PEERS = 5
RECOVERY_ATTEMPTS = 3
RECOVERY_RETRY_INTERVAL = timedelta(milliseconds=300)
