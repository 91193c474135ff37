"""Poll intervals of targets, and kinds and lifetimes of their leaving marks."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
LEAVING_KIND = "leaving-target"
"""Kind of the marks for leaving targets; the key has the form `TARGET_ID@HOST:PORT`."""
LEAVING_LIFETIME = timedelta(minutes=10)
"""Lifetime of a mark; its source renews it while the target is leaving."""
OPERATOR_LEAVING_LIFETIME = timedelta(hours=24)
SOURCE_LIST = b"list"
SOURCE_LOAD = b"load"
SOURCE_OPERATOR = b"operator"
LOAD_INTERVAL = timedelta(milliseconds=500)
CACHE_EVENT_INTERVAL = timedelta(seconds=1)
MAX_CACHED_PREFIXES = 4_096
"""Maximum number of prefix blocks that are recorded per engine.

The oldest blocks are dropped first, as their eviction may not have been reported.
"""
