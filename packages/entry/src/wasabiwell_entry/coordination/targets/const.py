"""Constants of the knowledge of targets."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
LEAVING_KIND = "leaving-target"
"""Kind of the marks of leaving targets; the key is `TARGET_ID@HOST:PORT`."""
LEAVING_LIFETIME = timedelta(minutes=10)
"""Lifetime of a mark; the source renews it while the target is still leaving."""
OPERATOR_LEAVING_LIFETIME = timedelta(hours=24)
SOURCE_LIST = b"list"
SOURCE_LOAD = b"load"
SOURCE_OPERATOR = b"operator"
LOAD_INTERVAL = timedelta(milliseconds=500)
CACHE_EVENT_INTERVAL = timedelta(seconds=1)
MAX_CACHED_PREFIXES = 4_096
"""Prefix blocks remembered for an engine; the oldest go first, as an eviction may go unreported."""
