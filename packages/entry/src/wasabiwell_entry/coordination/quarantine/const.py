"""Storage keys, lifetimes and limits of suspects and quarantined requests."""

from datetime import timedelta

SUSPECT_PREFIX = "suspect/"
QUARANTINE_LIFETIME = timedelta(hours=24)
MAX_WRITE_ATTEMPTS = 3
STORE_TIMEOUT = timedelta(seconds=1)
"""A retry waits up to this long for the table service, then proceeds with the local state."""
MIN_SYNC_INTERVAL = timedelta(seconds=1)
SYNC_INTERVAL_PER_MEMBER = timedelta(milliseconds=10)
"""Keeps the scans of all entry instances together below 100/s."""
SYNC_MAX_ROWS = 1_000
SUSPECT_LEASE_PREFIX = "suspect-turn/"
SUSPECT_LEASE_LIFETIME = timedelta(seconds=30)
"""Limits how long a crashed entry instance blocks a target for other suspects. Expiry is compared
with local wall clocks, which differ by a few seconds at most."""
SUSPECT_LEASE_POLL_INTERVAL = timedelta(milliseconds=250)
"""Suspects are few and rarely wait, so polling adds little load to the table service."""
CRASH_LIMIT = 3
"""A request that crashed this many targets is refused; users of these deployments accept three."""
MIN_PART_REQUESTS = 2
"""A prompt part is refused after crashes with this many different requests. Fewer may be due to the
request, which is refused by itself."""
PROVEN_PART_CRASH_LIMIT = 5
PROVEN_PART_MIN_REQUESTS = 3
"""The same limits for a part with which a request has succeeded lately: sound requests often run on
an engine that another one crashes. Users accept five crashes."""
MAX_PROVEN_PARTS = 4_096
VOUCHING_INSTANCES = 8
"""Instances that reply when a part with which they succeeded is suspected; replies may be lost."""
MAX_SUSPICIONS_PER_NOTICE = 16
MAX_CRASHES_PER_NOTICE = 200
"""Keep a datagram below its largest size when the names of targets have their greatest length: a
crash then takes about 255 bytes, and a cause about 280."""
INITIAL_REFUSAL_TIME = timedelta(minutes=2)
"""Time for which a cause of crashes is refused; it doubles with each crash after that time."""
MAX_REFUSAL_DOUBLINGS = 7
"""Limits the time of a refusal to about four hours."""
SUSPICION_LIFETIME = timedelta(minutes=10)
"""Callers retry a failed request within minutes."""
REFUSAL_STORE_RETRY_INTERVAL = timedelta(seconds=1)
REFUSAL_CHECK_DELAY = timedelta(seconds=3)
"""Time for the instance that decides a refusal to save it, and for messages of a success or a
release to arrive, until others look for its row."""
CHECKING_INSTANCES = 4
"""Instances that look for the row of a refusal that another one has decided; it may end before the
store is back. The number is that of a random choice, which leaves none in 2 of 100 cases."""
MAX_CAUSES = 4_096
MAX_CRASHES_PER_CAUSE = 32
"""More crashes than lead to a refusal. Twice as many cleared ones are kept, so that no crash counts
again because only its clearing was dropped."""
SUSPICION_REBROADCAST_TIME = timedelta(seconds=2)
"""A new suspicion is included in state broadcasts for this long, as a datagram may be lost."""
