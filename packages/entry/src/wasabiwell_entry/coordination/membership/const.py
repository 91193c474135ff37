"""Intervals, timeouts and message limits of the membership protocol."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
SLOW_INSTANCE_LIST_INTERVAL = timedelta(seconds=10)
LIST_READERS_PER_ZONE = 2
"""Instances of a zone that read the instance list often; gossip brings changes to the others."""
HEARTBEAT_INTERVAL = timedelta(seconds=1)
SILENCE_TIMEOUT = timedelta(seconds=3)
"""Time without a reply (3 heartbeats) after which a stream is replaced."""
PROBE_TIMEOUT = timedelta(milliseconds=500)
SUSPICION_TIMEOUT = timedelta(seconds=3)
SWEEP_INTERVAL = timedelta(milliseconds=250)
PAUSE_THRESHOLD = timedelta(seconds=2)
"""Time between two sweeps from which this process is assumed to have been paused."""
SETTLE_TIME = timedelta(seconds=8)
"""Time after a pause until the statuses of other members are current again."""
DEAD_RETENTION = timedelta(hours=2)
"""Dead members are kept for longer than a partition between regions, which can last an hour."""
RECONNECT_INTERVAL = timedelta(seconds=5)
"""Interval of probing one dead member that is still listed, to detect the end of a partition."""
RING_SUCCESSORS = 3
REMOTE_ZONES = 2
MAX_UPDATES = 8
"""Maximum of members, and of marks, in one heartbeat; limits its size to about 1 KB."""
DIGEST_MISMATCHES = 3
"""Consecutive heartbeats with a different digest after which a batch of the table is sent."""
SENDS_PER_UPDATE_FACTOR = 3
