"""Constants of membership."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
RARE_INSTANCE_LIST_INTERVAL = timedelta(seconds=10)
LIST_READERS_PER_ZONE = 2
"""Instances of a zone that read the list often; the others hear of changes by gossip first."""
HEARTBEAT_INTERVAL = timedelta(seconds=1)
SILENCE_TIMEOUT = timedelta(seconds=3)
"""Time without an answer (3 heartbeats) after which a stream is replaced."""
PROBE_TIMEOUT = timedelta(milliseconds=500)
SUSPICION_TIMEOUT = timedelta(seconds=3)
SWEEP_INTERVAL = timedelta(milliseconds=250)
PAUSE_THRESHOLD = timedelta(seconds=2)
"""A sweep that is later than this shows that this process did not run."""
SETTLE_TIME = timedelta(seconds=8)
"""Time after a pause until the statuses of other members are current again."""
DEAD_RETENTION = timedelta(hours=2)
"""Regions lose each other for an hour; a dead member is remembered longer than that."""
RECONNECT_INTERVAL = timedelta(seconds=5)
"""Interval of trying one dead member that is still listed, so that a partition ends."""
RING_SUCCESSORS = 3
REMOTE_ZONES = 2
MAX_UPDATES = 8
"""Members and marks each in one heartbeat; bounds its size to about 1 KB."""
DIGEST_MISMATCHES = 3
"""Heartbeats with a different digest in a row after which a part of the table is sent."""
EXCHANGES_PER_UPDATE_FACTOR = 3
