"""Constants of the knowledge of targets."""

from datetime import timedelta

INSTANCE_LIST_INTERVAL = timedelta(seconds=1)
LOAD_INTERVAL = timedelta(milliseconds=500)
CACHE_EVENT_INTERVAL = timedelta(seconds=1)
MAX_CACHED_PREFIXES = 4_096
"""Prefix blocks remembered for an engine; the oldest go first, as an eviction may go unreported."""
